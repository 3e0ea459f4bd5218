"""Divides the limit that an endpoint names among the entries it has told.

An endpoint in need names in its answers how many calls a second it takes from
all entries together. Entries report to each other which limits they were told.
Those that were told lately share the limit evenly: each makes one call at a
time and then waits for its share of the limit. If the limit is too low for all
of them, the ones that come first in the hash order share it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from samphirevale import catalogue
from samphirevale.availability import call_shares

# An entry shares a limit for this time after it was told, in seconds.
SHARING_SECONDS = 30.0

# A limit is forgotten if no entry has heard of it for this time, in seconds.
LIMIT_SECONDS = 60.0

# The lowest and the highest limit, in calls a second. A lower one is raised, so
# that the end of a limit is noticed.
LEAST_LIMIT = 0.1
MOST_LIMIT = 1e6

# The largest number of entries that share a limit: this many, and so many more
# for each call a second. Each of them may make one call at any moment.
LEAST_SHARERS = 3
SHARERS_PER_CALL = 2

# How long a computed share is used, in seconds.
SHARE_SECONDS = 0.25

# The largest number of limits in a report.
REPORTED_LIMIT = 64


class Told(NamedTuple):
    """What an endpoint has told one entry.

    Attributes:
        limit: the calls a second from all entries; 0 if it no longer names a
            limit.
        at: when it said so last.
    """

    limit: float
    at: float


class _DatedShare(NamedTuple):
    """This entry's share of a limit, and when it was computed."""

    share: call_shares.CallShare
    computed_at: float


class EndpointLimits:
    """The limits of all endpoints, and this entry's shares of them."""

    def __init__(self, me: str):
        """Initializes it without limits.

        Args:
            me: the name of this entry.
        """
        self._me = me
        # What each entry was told, by the endpoint and the entry.
        self._told: dict[catalogue.EndpointStart, dict[str, Told]] = {}
        # When this entry made its last call to each endpoint with a limit.
        self._called_at: dict[catalogue.EndpointStart, float] = {}
        self._shares: dict[catalogue.EndpointStart, _DatedShare] = {}

    def __bool__(self) -> bool:
        """Returns whether any endpoint has or had a limit lately."""
        return bool(self._told)

    def record_answer(
        self, start: catalogue.EndpointStart, limit: float | None, now: float
    ) -> bool:
        """Records what an answer to this entry says about the limit.

        Args:
            start: the endpoint.
            limit: the calls a second; None if the answer names no limit.
            now: the present time.

        Returns:
            Whether the limit is new, has changed or has ended.
        """
        if limit is None and start not in self._told:
            return False
        before = self.get_limit(start, now)
        after = 0.0
        if limit is not None:
            after = min(max(limit, LEAST_LIMIT), MOST_LIMIT)
        self._adopt(start, self._me, Told(after, now), now)
        return before != after

    def adopt_report(
        self,
        entry: str,
        told: Iterable[tuple[catalogue.EndpointStart, Told]],
        now: float,
    ) -> None:
        """Adopts what other entries' endpoints have told them."""
        for start, value in told:
            self._adopt(start, entry, value, now)

    def _adopt(
        self,
        start: catalogue.EndpointStart,
        entry: str,
        value: Told,
        now: float,
    ) -> None:
        known = self._told.setdefault(start, {})
        if entry in known and known[entry].at > value.at:
            return
        if entry not in known or known[entry].limit != value.limit:
            self._shares.pop(start, None)
        known[entry] = value
        # Calls that were made before count as one made now.
        self._called_at.setdefault(start, now)

    def get_limit(self, start: catalogue.EndpointStart, now: float) -> float:
        """Returns the calls a second of all entries; 0 without a limit."""
        told = self._told.get(start)
        if not told:
            return 0.0
        newest = max(told.values(), key=lambda value: value.at)
        return newest.limit if now < newest.at + LIMIT_SECONDS else 0.0

    def compute_wait(self, start: catalogue.EndpointStart, now: float) -> float:
        """Returns when this entry may make its next call to an endpoint.

        Returns:
            The time in seconds from now; 0 if it may make one now.
        """
        if start not in self._told or not self.get_limit(start, now):
            return 0.0
        share = self._get_share(start, now)
        return share.compute_wait(self._called_at[start], now)

    def _get_share(
        self, start: catalogue.EndpointStart, now: float
    ) -> call_shares.CallShare:
        dated = self._shares.get(start)
        if dated is None or now >= dated.computed_at + SHARE_SECONDS:
            dated = _DatedShare(self._compute_share(start, now), now)
            self._shares[start] = dated
        return dated.share

    def _compute_share(
        self, start: catalogue.EndpointStart, now: float
    ) -> call_shares.CallShare:
        limit = self.get_limit(start, now)
        names = {
            entry
            for entry, told in self._told[start].items()
            if now < told.at + SHARING_SECONDS
        }
        names.add(self._me)
        most = LEAST_SHARERS + int(SHARERS_PER_CALL * limit)
        return call_shares.divide_rate(start.name, names, self._me, limit, most)

    def record_call(self, start: catalogue.EndpointStart, now: float) -> None:
        """Records that this entry makes a call to an endpoint."""
        if start in self._told:
            self._called_at[start] = now

    def list_told(
        self, now: float
    ) -> list[tuple[catalogue.EndpointStart, Told]]:
        """Returns what endpoints have told this entry, for its report."""
        told = [
            (start, by_entry[self._me])
            for start, by_entry in self._told.items()
            if self._me in by_entry
        ]
        current = [
            (start, value)
            for start, value in told
            if now < value.at + LIMIT_SECONDS
        ]
        current.sort(key=lambda item: item[1].at)
        return current[-REPORTED_LIMIT:]

    def remove_expired(self, now: float) -> None:
        """Forgets what was told long ago."""
        for start, told in list(self._told.items()):
            for entry, value in list(told.items()):
                if now >= value.at + LIMIT_SECONDS:
                    del told[entry]
            if not told:
                del self._told[start]
                self._called_at.pop(start, None)
                self._shares.pop(start, None)
