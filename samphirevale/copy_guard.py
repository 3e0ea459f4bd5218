"""Keeps a copy of the store from bringing endpoints back.

A store that returns from a copy may list endpoints that have gone since, that
accept work although they had begun to drain, or an earlier start of an
endpoint. Such a registration is held back until its endpoint writes it again.
One that the store still has after HOLD_SECONDS is in use, as the registration
of an endpoint that has gone expires before.

The sequence number in a registration decides nothing. It rises without a
change that a watch returns, so the copy may have a higher one than was seen
before its endpoint had gone.
"""

from collections.abc import Iterable
from typing import NamedTuple

from samphirevale import catalogue

# How long a registration is held back, in seconds. An endpoint that has gone
# renews its registration no more, and it has expired by then.
HOLD_SECONDS = 10.0

# How long endpoints that have gone are remembered, in seconds. No copy of the
# store is that old.
DEPARTED_SECONDS = 60.0


class _Dated(NamedTuple):
    """An endpoint and a time.

    Attributes:
        endpoint: the endpoint.
        at: since when it is gone or held back.
    """

    endpoint: catalogue.Endpoint
    at: float


class CopyGuard:
    """Remembers the endpoints of earlier eras."""

    def __init__(self):
        # Endpoints that have gone, by name, oldest first.
        self._departed: dict[str, _Dated] = {}
        # The last state in earlier eras of the endpoints that have not written
        # in this one. Those that had gone accept no work.
        self._earlier: dict[str, catalogue.Endpoint] = {}
        # Registrations that are held back, by name.
        self._held: dict[str, _Dated] = {}

    def start_era(
        self, known: Iterable[catalogue.Endpoint], now: float
    ) -> None:
        """Records that the store has returned from a copy.

        Args:
            known: the endpoints that have not gone.
            now: the present time.
        """
        self._forget_old_departures(now)
        self._held = {}
        self._earlier = {
            name: departed.endpoint._replace(accepting=False)
            for name, departed in self._departed.items()
        }
        self._earlier |= {endpoint.name: endpoint for endpoint in known}

    def record_change(self, change: catalogue.Change, now: float) -> None:
        """Records that an endpoint has come, changed or gone."""
        if change.after is not None:
            self._departed.pop(change.after.name, None)
            return
        self._forget_old_departures(now)
        name = change.before.name
        self._departed.pop(name, None)
        self._departed[name] = _Dated(change.before, now)

    def _forget_old_departures(self, now: float) -> None:
        for name, departed in list(self._departed.items()):
            if now < departed.at + DEPARTED_SECONDS:
                return
            del self._departed[name]

    def record_write(self, name: str) -> None:
        """Records that a registration was written or deleted in this era."""
        self._earlier.pop(name, None)
        self._held.pop(name, None)

    def filter_listed(
        self, listed: Iterable[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints that a list of this era contains.

        An endpoint whose registration is held back is in its earlier state, or
        left out if it had gone.
        """
        current = []
        held = {}
        for endpoint in listed:
            name = endpoint.name
            if not self._is_outdated(endpoint):
                self.record_write(name)
                current.append(endpoint)
                continue
            since = self._held.get(name, _Dated(endpoint, now)).at
            held[name] = _Dated(endpoint, since)
            if name not in self._departed:
                current.append(self._earlier[name])
        self._held = held
        return current

    def _is_outdated(self, listed: catalogue.Endpoint) -> bool:
        earlier = self._earlier.get(listed.name)
        if earlier is None:
            return False
        return _order_states(listed) < _order_states(earlier)

    def is_held(self, name: str) -> bool:
        """Returns whether a registration is held back."""
        return name in self._held

    def release_held(self, now: float) -> list[catalogue.Endpoint]:
        """Returns the endpoints whose registrations are in use after all."""
        released = [
            held.endpoint
            for held in self._held.values()
            if now >= held.at + HOLD_SECONDS
        ]
        for endpoint in released:
            self.record_write(endpoint.name)
        return released


def _order_states(endpoint: catalogue.Endpoint) -> tuple[int, bool]:
    """Returns a key that only rises in the life of an endpoint.

    A later start is newer, and one start goes from accepting to draining.
    """
    return endpoint.started, not endpoint.accepting
