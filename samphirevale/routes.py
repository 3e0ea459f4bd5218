"""Routes: which service takes a proxied request, and on what terms."""

from collections.abc import Mapping
from typing import NamedTuple


class Split(NamedTuple):
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float


class Stage(NamedTuple):
    """Work that must be done before a request can run.

    Attributes:
        service: whose endpoints do it.
        after: the indices of the stages whose results it needs.
        result_bytes: the approximate size of one result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """What holds for the requests of one host and path prefix.

    Attributes:
        name: the operator's name for it.
        host: the `Host` header, in lower case.
        path_prefix: begins and ends with a slash.
        splits: the services, with their shares.
        repeatable: a request may run more than once.
        streamed: answers are event streams.
        resumable: a stream may go on at another endpoint.
        timeout_seconds: the longest that a request is kept waiting.
        target_seconds: when the answer, or its first event, is due.
        priority: its rank; 0 is the highest.
        attempts_limit: the most endpoints that one request may run on.
        stages: in the order of their indices.
        anonymous: no key is asked for.
    """

    name: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repeatable: bool
    streamed: bool
    resumable: bool
    timeout_seconds: float
    target_seconds: float
    priority: int
    attempts_limit: int
    stages: tuple[Stage, ...]
    anonymous: bool

    def describe_kind(self) -> str:
        """Returns the kind of its requests, as metrics name it."""
        if self.streamed:
            return "streamed"
        return "repeatable" if self.repeatable else "once"

    def may_run_again(self) -> bool:
        """Tells whether a request that may have run may be sent again."""
        return self.resumable if self.streamed else self.repeatable


class BatchLimits(NamedTuple):
    """What one endpoint of a batching service takes.

    Attributes:
        concurrency: calls in progress at once.
        queue: calls that may wait.
        items: the most items of a call.
        call_seconds: the time of a call besides its items.
        item_seconds: the approximate time of an item.
        memory_bytes: the room for results.
        result_seconds: how long a result is kept after its call.
    """

    concurrency: int
    queue: int
    items: int
    call_seconds: float
    item_seconds: float
    memory_bytes: int
    result_seconds: float


class Service(NamedTuple):
    """What the operator says of a service.

    Attributes:
        name: the operator's name for it.
        connections_limit: of one endpoint, over all callers.
        batch: set where the service takes batches of items.
    """

    name: str
    connections_limit: int
    batch: BatchLimits | None


class InputLimits(NamedTuple):
    """Bounds on what callers may send."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Account(NamedTuple):
    """The holder of keys.

    Attributes:
        name: as endpoints know it.
        priority: goes before the route's; None if it has none.
    """

    name: str
    priority: int | None


class RouteTable(NamedTuple):
    """One version of what the operator has configured.

    Attributes:
        version: rises with each change.
        routes: by host, those with the longest prefix first.
        services: by name.
        accounts: by key; None where no keys are used.
        limits: bounds on callers' input.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account] | None
    limits: InputLimits

    def compute_rank(self, route: Route, account: Account | None) -> int:
        """Returns how far a request stands behind the most urgent ones.

        The account's priority goes before the route's; among requests of
        equal accounts the route's decides.
        """
        rank = route.priority
        if account is not None and account.priority is not None:
            rank += account.priority - self._find_first_priority()
        return rank

    def _find_first_priority(self) -> int:
        given = {account.priority for account in self.accounts.values()}
        return min(given - {None})

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(some, key=lambda route: -len(route.path_prefix)))
        for host, some in by_host.items()
    }


def choose_service(route: Route, draw: float) -> str:
    """Returns the service for one request.

    Args:
        route: its route.
        draw: from 0 up to, but without, 1.
    """
    left = draw * sum(split.weight for split in route.splits)
    for split in route.splits:
        left -= split.weight
        if left < 0:
            return split.service
    return route.splits[-1].service
