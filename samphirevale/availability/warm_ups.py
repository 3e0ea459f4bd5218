"""Limits the calls to endpoints that have started and are still cold.

The load that this answers: starts of endpoints after crashes, releases, returns
of whole data centres and mass restarts, when every entry sees an idle endpoint
and prefers it.

A cold endpoint bears a rate of calls from all entries together. The entries
that are first in its hash order share that rate. All registered entries count,
also those that are not linked: after a mass restart none is.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from samphirevale import catalogue, routes
from samphirevale.availability import call_shares

# The share of the bound that the entries which share a rate may use up. The
# rest covers entries that know different lists of entries.
SHARERS_SHARE = 0.75

# The largest number of endpoints whose starts are remembered after their
# registrations have ended.
REMEMBERED_STARTS = 4096


class ColdBound(NamedTuple):
    """What a cold endpoint may get in any second.

    Attributes:
        factor: the multiple of the rate.
        allowance: the calls beyond it.
    """

    factor: float
    allowance: float

    def count_sharers(self, rate: float, entries: int) -> int:
        """Returns how many entries may share a rate, at least one.

        Each of k entries makes one call more in any second, at most, than fit
        into it at an interval of k / rate.

        Args:
            rate: the calls a second.
            entries: the number of entries.
        """
        most = (rate * self.factor + self.allowance) * SHARERS_SHARE
        fitting = [
            count
            for count in range(1, entries + 1)
            if count * (int(rate / count) + 1) <= most
        ]
        return max(fitting, default=1)


class WarmUps:
    """The cold endpoints, and this entry's shares of their rates."""

    def __init__(
        self,
        me: str,
        bound: ColdBound | None,
        find_limit: Callable[[str], routes.ColdLimit | None],
        list_sharers: Callable[[catalogue.Endpoint], Collection[str]],
    ):
        """Initializes it without cold endpoints.

        Args:
            me: the name of this entry.
            bound: the bound of the settings; None if they state none, so that
                nothing is limited.
            find_limit: returns the limit of a service, None without one.
            list_sharers: returns the names of the entries that may call an
                endpoint; empty if they are not known yet.
        """
        self._me = me
        self._bound = bound
        self._find_limit = find_limit
        self._list_sharers = list_sharers
        # By the names of endpoints.
        self._cold_until: dict[str, float] = {}
        self._called_at: dict[str, float] = {}
        self._shares: dict[str, call_shares.CallShare] = {}
        self._started: dict[str, int] = {}

    def __bool__(self) -> bool:
        """Returns whether any endpoint may be cold."""
        return bool(self._cold_until)

    def record_registered(
        self, endpoint: catalogue.Endpoint, at_first: bool, now: float
    ) -> bool:
        """Records a registration; a start that is new makes it cold.

        Args:
            endpoint: the endpoint.
            at_first: whether this is the first list of endpoints, which tells
                nothing of when they started.
            now: the present time.

        Returns:
            Whether the endpoint turns cold.
        """
        before = self._started.pop(endpoint.name, None)
        self._started[endpoint.name] = endpoint.started
        if len(self._started) > REMEMBERED_STARTS:
            del self._started[next(iter(self._started))]
        if at_first or before == endpoint.started:
            return False
        return self._record_start(endpoint, now)

    def record_named(
        self, endpoint: catalogue.Endpoint, started: int, now: float
    ) -> bool:
        """Records a start that an endpoint has named before its registration.

        Args:
            endpoint: the endpoint as it is registered.
            started: the start that it has named.
            now: the present time.

        Returns:
            Whether the endpoint turns cold.
        """
        named = endpoint._replace(started=started)
        return self.record_registered(named, False, now)

    def record_refused(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Records a refused connect, as no process listens there now.

        Returns:
            Whether the endpoint turns cold.
        """
        return self._record_start(endpoint, now)

    def _record_start(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        limit = self._find_limit(endpoint.service)
        seconds = limit.seconds if limit is not None else 0.0
        return self.record_cold(endpoint, seconds, now)

    def record_cold(
        self, endpoint: catalogue.Endpoint, seconds: float, now: float
    ) -> bool:
        """Records how much longer an endpoint is cold, as it says itself.

        Returns:
            Whether the endpoint turns cold.
        """
        if self._bound is None or seconds <= 0:
            return False
        before = self._cold_until.get(endpoint.name, now)
        self._cold_until[endpoint.name] = max(before, now + seconds)
        return before <= now

    def record_call(self, endpoint: catalogue.Endpoint, now: float) -> None:
        """Records that this entry makes a call to an endpoint."""
        if endpoint.name in self._cold_until:
            self._called_at[endpoint.name] = now

    def is_cold(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether the calls to an endpoint are limited now."""
        return self.compute_rest(endpoint, now) > 0

    def compute_rest(self, endpoint: catalogue.Endpoint, now: float) -> float:
        """Returns how much longer an endpoint is cold, in seconds."""
        until = self._cold_until.get(endpoint.name)
        if until is None or self._find_limit(endpoint.service) is None:
            return 0.0
        return max(until - now, 0.0)

    def compute_wait(self, endpoint: catalogue.Endpoint, now: float) -> float:
        """Returns when this entry may make its next call to an endpoint.

        Returns:
            The time in seconds from now; 0 if it may make one now.
        """
        rest = self.compute_rest(endpoint, now)
        if not rest:
            return 0.0
        share = self._get_share(endpoint)
        called_at = self._called_at.get(endpoint.name, float("-inf"))
        return min(share.compute_wait(called_at, now), rest)

    def _get_share(self, endpoint: catalogue.Endpoint) -> call_shares.CallShare:
        share = self._shares.get(endpoint.name)
        if share is None:
            share = self._shares[endpoint.name] = self._compute_share(endpoint)
        return share

    def _compute_share(
        self, endpoint: catalogue.Endpoint
    ) -> call_shares.CallShare:
        rate = self._find_limit(endpoint.service).rate
        names = self._list_sharers(endpoint)
        if not names or rate <= 0:
            return call_shares.CallShare(float("inf"), False)
        most = self._bound.count_sharers(rate, len(names))
        return call_shares.divide_rate(
            endpoint.name, names, self._me, rate, most
        )

    def invalidate_shares(self) -> None:
        """Discards the shares, as entries or limits have changed."""
        self._shares = {}

    def remove_expired(self, now: float) -> None:
        """Forgets the endpoints whose cold time is over."""
        for name, until in list(self._cold_until.items()):
            if until <= now:
                del self._cold_until[name]
                self._called_at.pop(name, None)
                self._shares.pop(name, None)
