"""Routes, which map proxied requests to services and their parameters."""

from collections.abc import Mapping
from typing import NamedTuple


class Split(NamedTuple):
    """The share of a route's requests that goes to one service."""

    service: str
    weight: float


class Stage(NamedTuple):
    """A stage that must be done before a request can run.

    Attributes:
        service: the service that runs the stage.
        after: the indices of the stages whose results it takes.
        result_bytes: the approximate size of one result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """The parameters of requests with one host and path prefix.

    Attributes:
        name: the operator's name of the route.
        host: the `Host` header in lower case.
        path_prefix: the path prefix, which starts and ends with a slash.
        splits: the services with their shares.
        repeatable: whether a request may run more than once.
        streamed: whether answers are event streams.
        resumable: whether a stream may be resumed at another endpoint.
        timeout_seconds: the longest time until a request is answered.
        target_seconds: the target time of the answer or its first event.
        priority: the priority; 0 is the highest.
        attempts_limit: the largest number of endpoints on which one request
            may run.
        stages: the stages in the order of their indices.
        anonymous: whether requests need no key.
        event_target_seconds: the target time between two events of a stream;
            0 if there is none.
        regions: the regions that may serve requests; None for any.
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
    event_target_seconds: float = 0.0
    regions: frozenset[str] | None = None

    def get_kind(self) -> str:
        """Returns the kind of the route's requests, as used in metrics."""
        if self.streamed:
            return "streamed"
        return "repeatable" if self.repeatable else "once"

    def may_run_again(self) -> bool:
        """Returns whether a request that may have run may be sent again."""
        return self.resumable if self.streamed else self.repeatable


class BatchLimits(NamedTuple):
    """The limits and costs of one endpoint of a batching service.

    Attributes:
        concurrency: the largest number of calls in flight.
        queue: the largest number of calls that may wait at the endpoint.
        items: the largest number of items of a call.
        call_seconds: the fixed time of a call without its items.
        item_seconds: the approximate time of each item.
        memory_bytes: the memory for results.
        result_seconds: how long a result is stored after its call.
    """

    concurrency: int
    queue: int
    items: int
    call_seconds: float
    item_seconds: float
    memory_bytes: int
    result_seconds: float


class ColdLimit(NamedTuple):
    """The limit on calls to the endpoints of a service that are cold.

    Attributes:
        seconds: how long an endpoint is cold after its start.
        rate: the calls a second that a cold endpoint bears from all entries.
    """

    seconds: float
    rate: float


class Service(NamedTuple):
    """The operator's configuration of a service.

    Attributes:
        name: the operator's name of the service.
        connections_limit: the largest number of connections to one endpoint
            over all callers; 0 for no limit.
        batch: the limits of batches; None if the service takes no batches.
        cold: the limit on calls to endpoints that have just started; None for
            no limit.
    """

    name: str
    connections_limit: int
    batch: BatchLimits | None
    cold: ColdLimit | None = None


class InputLimits(NamedTuple):
    """Limits on the requests of callers.

    Attributes:
        head_bytes: the largest size of a request head.
        body_bytes: the largest size of a request body.
        head_seconds: the timeout for reading a request head.
        idle_seconds: the timeout of idle connections.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Account(NamedTuple):
    """An account, which holds keys.

    Attributes:
        name: the name that is sent to endpoints.
        priority: raises or lowers the rank of its requests; None if the
            account has no priority.
        regions: the regions that may serve its requests; None for any.
    """

    name: str
    priority: int | None
    regions: frozenset[str] | None = None


class RouteTable(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        version: the version number, which rises with each change.
        routes: the routes by host, in order of decreasing prefix length.
        services: the services by name.
        accounts: the accounts by key; None if no keys are used.
        limits: the limits on callers' requests.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account] | None
    limits: InputLimits

    def list_routes(self) -> list[Route]:
        """Returns all routes."""
        return [route for found in self.routes.values() for route in found]

    def compute_rank(self, route: Route, account: Account | None) -> int:
        """Returns the rank of a request; 0 is the most urgent.

        The rank is the priority of the route plus the distance of the
        account's priority from the most urgent account. Among requests of
        accounts with the same priority, the route's priority decides.
        """
        rank = route.priority
        if account is not None and account.priority is not None:
            rank += account.priority - self._find_most_urgent_priority()
        return rank

    def _find_most_urgent_priority(self) -> int:
        priorities = {account.priority for account in self.accounts.values()}
        return min(priorities - {None})

    def find_batch_limits(self, service: str) -> BatchLimits | None:
        """Returns the batch limits of a service, or None if it has none."""
        found = self.services.get(service)
        return found.batch if found is not None else None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, in order of decreasing prefix length."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(host_routes, key=lambda route: -len(route.path_prefix))
        )
        for host, host_routes in by_host.items()
    }


def choose_service(route: Route, draw: float) -> str:
    """Returns the service for one request.

    Args:
        route: the route of the request.
        draw: a random number from 0 (inclusive) to 1 (exclusive).
    """
    remaining = draw * sum(split.weight for split in route.splits)
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return route.splits[-1].service


def find_regions(
    route: Route, account: Account | None
) -> frozenset[str] | None:
    """Returns the regions that may serve a request; None for any.

    If both the route and the account name regions, both bind.
    """
    account_regions = account.regions if account is not None else None
    if route.regions is None:
        return account_regions
    if account_regions is None:
        return route.regions
    return route.regions & account_regions
