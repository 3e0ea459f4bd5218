"""The catalogue of endpoints as registered in the store.

Registrations expire during an outage of the store, as they cannot be renewed.
After the outage, missing endpoints remain usable for a grace period in which
every live endpoint renews its registration.
"""

from collections.abc import Iterable
from typing import NamedTuple

# How long endpoints that are missing after an outage remain usable, in seconds.
# By then, a live endpoint has renewed its registration.
GRACE_SECONDS = 2.0


class Endpoint(NamedTuple):
    """An endpoint as registered in the store.

    Attributes:
        name: the id of the endpoint; most restarts change it.
        service: the service that the endpoint provides.
        host: the host of the endpoint.
        port: the port of the endpoint.
        data_centre: the data centre in which the endpoint runs.
        accepting: whether the endpoint accepts new work.
        slots: the number of requests that the endpoint runs concurrently.
        started: identifies the start of the endpoint; differs at each start.
        version: the version of the endpoint's software, in no known order.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    accepting: bool
    slots: int
    started: int
    version: str


class Change(NamedTuple):
    """A change of an endpoint.

    Attributes:
        before: the previous state; None if the endpoint is new.
        after: the present state; None if the endpoint is gone.
    """

    before: Endpoint | None
    after: Endpoint | None


class EndpointStart(NamedTuple):
    """One start of an endpoint.

    Attributes:
        name: the id of the endpoint.
        started: identifies the start among those under the same id.
    """

    name: str
    started: int


def get_start(endpoint: Endpoint) -> EndpointStart:
    """Returns the present start of an endpoint."""
    return EndpointStart(endpoint.name, endpoint.started)


class Catalogue:
    """The known endpoints by name and by service.

    Attributes:
        changes: the number of changes so far.
    """

    def __init__(self):
        self.changes = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        # Endpoints that are missing since an outage, with their removal time.
        self._missing_until: dict[str, float] = {}
        self._grace_ends_at = 0.0

    def find(self, name: str) -> Endpoint | None:
        """Returns the endpoint with this name, or None."""
        return self._endpoints.get(name)

    def list_all(self) -> list[Endpoint]:
        """Returns all endpoints."""
        return list(self._endpoints.values())

    def list_service(self, service: str) -> list[Endpoint]:
        """Returns all endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def list_accepting(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new work."""
        return [
            endpoint
            for endpoint in self._services.get(service, {}).values()
            if endpoint.accepting
        ]

    def is_accepting(self, endpoint: Endpoint) -> bool:
        """Returns whether this start of an endpoint accepts new work."""
        registered = self._endpoints.get(endpoint.name)
        return (
            registered is not None
            and registered.accepting
            and registered.started == endpoint.started
            and (registered.host, registered.port)
            == (endpoint.host, endpoint.port)
        )

    def start_grace_period(self, now: float) -> None:
        """Records that the store is reachable after an outage."""
        self._grace_ends_at = now + GRACE_SECONDS

    def replace(self, listed: Iterable[Endpoint], now: float) -> list[Change]:
        """Replaces all endpoints and returns the changes."""
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
        """Adds or replaces an endpoint and returns the changes."""
        self._missing_until.pop(endpoint.name, None)
        before = self._endpoints.get(endpoint.name)
        if before == endpoint:
            return []
        self.changes += 1
        if before is not None:
            self._services[before.service].pop(before.name, None)
        self._endpoints[endpoint.name] = endpoint
        service = self._services.setdefault(endpoint.service, {})
        service[endpoint.name] = endpoint
        return [Change(before, endpoint)]

    def remove(self, name: str, now: float) -> list[Change]:
        """Removes an endpoint now or at the end of the grace period."""
        if name not in self._endpoints:
            return []
        if now < self._grace_ends_at:
            self._missing_until.setdefault(name, self._grace_ends_at)
            return []
        return self._drop(name)

    def remove_expired(self, now: float) -> list[Change]:
        """Removes endpoints whose grace period is over; returns changes."""
        expired = [
            name for name, until in self._missing_until.items() if until <= now
        ]
        return [change for name in expired for change in self._drop(name)]

    def _drop(self, name: str) -> list[Change]:
        self.changes += 1
        self._missing_until.pop(name, None)
        before = self._endpoints.pop(name)
        self._services[before.service].pop(name, None)
        return [Change(before, None)]
