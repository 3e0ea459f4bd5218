"""The catalogue: which endpoints there are, by what the store says.

Entries lapse while the store is away, as nobody can renew them. After its
return they stay usable for a while, until a live endpoint must be back.
"""

from collections.abc import Iterable
from typing import NamedTuple

# How long entries that are missing after an outage stay usable, in seconds:
# by then a live endpoint has renewed its own.
LAPSE_SECONDS = 2.0


class Endpoint(NamedTuple):
    """What an endpoint says of itself in the store.

    Attributes:
        name: its id, new at most starts.
        service: what it serves.
        host: its address.
        port: its port.
        data_centre: where it runs.
        accepting: it takes new work.
        slots: requests that it runs at once.
        started: a token that changes with each start.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    accepting: bool
    slots: int
    started: int


class Change(NamedTuple):
    """An endpoint that is new, other than it was, or gone (`after` None)."""

    before: Endpoint | None
    after: Endpoint | None


class Catalogue:
    """The endpoints by name, and by service."""

    def __init__(self):
        self._endpoints: dict[str, Endpoint] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        # Entries that are missing since an outage, with when they end.
        self._lapsing: dict[str, float] = {}
        self._lapses_until = 0.0

    def find(self, name: str) -> Endpoint | None:
        """Returns the endpoint of that name."""
        return self._endpoints.get(name)

    def list_service(self, service: str) -> list[Endpoint]:
        """Returns all endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def list_accepting(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self._services.get(service, {}).values()
            if endpoint.accepting
        ]

    def is_accepting(self, endpoint: Endpoint) -> bool:
        """Tells whether this very start of an endpoint takes new work."""
        held = self._endpoints.get(endpoint.name)
        return (
            held is not None
            and held.accepting
            and held.started == endpoint.started
            and (held.host, held.port) == (endpoint.host, endpoint.port)
        )

    def note_return(self, now: float) -> None:
        """Takes note that the store is back after an outage."""
        self._lapses_until = now + LAPSE_SECONDS

    def replace(self, listed: Iterable[Endpoint], now: float) -> list[Change]:
        """Takes over a whole list; returns what has changed."""
        current = {endpoint.name: endpoint for endpoint in listed}
        changes = [
            change
            for name in list(self._endpoints)
            if name not in current
            for change in self.remove(name, now)
        ]
        for endpoint in current.values():
            changes += self.put(endpoint)
        return changes

    def put(self, endpoint: Endpoint) -> list[Change]:
        """Adds an endpoint or replaces it; returns what has changed."""
        self._lapsing.pop(endpoint.name, None)
        before = self._endpoints.get(endpoint.name)
        if before == endpoint:
            return []
        if before is not None:
            self._services[before.service].pop(before.name, None)
        self._endpoints[endpoint.name] = endpoint
        service = self._services.setdefault(endpoint.service, {})
        service[endpoint.name] = endpoint
        return [Change(before, endpoint)]

    def remove(self, name: str, now: float) -> list[Change]:
        """Removes an endpoint, at once or when its lapse is over."""
        if name not in self._endpoints:
            return []
        if now < self._lapses_until:
            self._lapsing.setdefault(name, self._lapses_until)
            return []
        return self._drop(name)

    def drop_lapsed(self, now: float) -> list[Change]:
        """Removes those that have not come back; returns what changed."""
        over = [name for name, until in self._lapsing.items() if until <= now]
        return [change for name in over for change in self._drop(name)]

    def _drop(self, name: str) -> list[Change]:
        self._lapsing.pop(name, None)
        before = self._endpoints.pop(name)
        self._services[before.service].pop(name, None)
        return [Change(before, None)]
