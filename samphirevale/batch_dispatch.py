"""Makes batched calls to endpoints, each with items of many requests."""

import contextlib
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

import curio

from samphirevale import (
    batching,
    catalogue,
    errors,
    item_moves,
    journal,
    metrics,
    routes,
    stage_times,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The polling interval while items wait for memory or a backoff, in seconds.
POLL_SECONDS = 0.02

# A call is overdue after OVERDUE_FACTOR times its expected duration plus
# OVERDUE_MARGIN_SECONDS. The factor allows for endpoints that become several
# times slower. No further items wait for the endpoint then.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_SECONDS = 0.3

# The largest slowness that the expected duration of a call allows for. A silent
# endpoint that was slow before is then noticed in time.
OVERDUE_SLOWNESS = 2.0

# How long after it is overdue a call times out, in seconds. An endpoint that
# works may be silent for about a second.
SILENCE_SECONDS = 1.0

# The timeout of a query of an endpoint's free memory, in seconds.
FREE_MEMORY_SECONDS = 0.3

# The timeout of a release of results, in seconds, and how often it is sent at
# most. An endpoint that works may be silent for about a second.
RELEASE_SECONDS = 2.0
RELEASE_ATTEMPTS = 2

# How long an endpoint is penalized after a failed call, in seconds.
PENALTY_DURATION_SECONDS = 1.0

# The penalty that is added to the estimated completion time of such an endpoint
# when endpoints are compared, in seconds.
PENALTY_SECONDS = 2.0

# The largest number of requests that a log line lists.
LOGGED_REQUESTS_LIMIT = 8

# The failure reason of items that were not sent because their endpoint accepts
# no new work.
UNSENT = "unsent"

# The failure reason of items that were not sent because a call of their
# endpoint is overdue.
OVERDUE = "overdue"

# The failure reason of items that were not sent because their endpoint could
# not be connected to.
UNREACHABLE = "unreachable"


class StageResult(NamedTuple):
    """A result of a stage that is stored at an endpoint.

    Attributes:
        name: the name by which later stages refer to the result.
        endpoint: the endpoint that stores the result.
        size: the approximate size in bytes.
    """

    name: str
    endpoint: catalogue.Endpoint
    size: int


class _WatchedCall(NamedTuple):
    """A call in progress that is not overdue yet.

    Attributes:
        endpoint: the endpoint that is called.
        overdue_at: when the call is overdue.
        times_out_at: when it times out.
    """

    endpoint: catalogue.Endpoint
    overdue_at: float
    times_out_at: float


class Availability(Protocol):
    """Tells which endpoints may be called."""

    def is_usable(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether new work may be sent to an endpoint now."""

    def has_other_endpoint(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> bool:
        """Returns whether another endpoint of the service is usable now."""

    def are_interchangeable(
        self, endpoint: catalogue.Endpoint, other: catalogue.Endpoint
    ) -> bool:
        """Returns whether this entry may move items from one to the other."""

    def compute_call_delay(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> float | None:
        """Returns the time until a call other than new work may be sent.

        Returns:
            The time in seconds; None if no call may be sent any more.
        """


class Ticket:
    """Collects the results of a group of items and wakes the waiting task.

    Attributes:
        endpoint: the endpoint at which the items are queued or were run.
        abandoned: whether the waiting task has been cancelled.
        results: the results so far, by the index of the item in its stage.
    """

    def __init__(self, items: int, endpoint: catalogue.Endpoint):
        self.endpoint = endpoint
        self._pending = items
        self._done = curio.Event()
        self.abandoned = False
        self.results: dict[int, proxies.ItemResult] = {}

    async def resolve(self, index: int, result: proxies.ItemResult) -> None:
        """Stores an item's result; the last result wakes the waiting task."""
        self.results[index] = result
        self._pending -= 1
        if self._pending <= 0:
            await self._done.set()

    async def wait(self) -> None:
        """Returns once every item has its result."""
        await self._done.wait()


class BatchDispatcher:
    """Runs the queues of the batching endpoints that this entry owns."""

    def __init__(
        self,
        endpoints: proxies.ProxyEndpoints,
        clock: clocks.Clock,
        log: journal.Journal,
        availability: Availability,
    ):
        """Initializes a dispatcher without queues.

        Args:
            endpoints: makes the calls.
            clock: the source of the present time.
            log: the log of failed calls.
            availability: tells which endpoints may be called.
        """
        self._endpoints = endpoints
        self._availability = availability
        self._clock = clock
        self._log = log
        self._queues: dict[str, batching.BatchQueue] = {}
        self._queued_endpoints: dict[str, catalogue.Endpoint] = {}
        self._queue_tasks: dict[str, curio.Task] = {}
        self._penalized_until: dict[str, float] = {}
        self._pending_releases: dict[str, list[str]] = {}
        self._watched_calls: list[_WatchedCall] = []

    def find_queue(
        self, endpoint: catalogue.Endpoint, limits: routes.BatchLimits
    ) -> batching.BatchQueue:
        """Returns the queue of an endpoint, which is created if needed."""
        key = _build_key(endpoint)
        if key not in self._queues:
            self._queues[key] = batching.BatchQueue(limits)
            self._queued_endpoints[key] = endpoint
        return self._queues[key]

    def build_states(self, now: float) -> dict[str, batching.QueueState]:
        """Returns the state of each queue by the name of its endpoint."""
        return {
            key.rpartition("/")[0]: self._build_queue_state(key, now)
            for key in self._queues
        }

    def _build_queue_state(self, key: str, now: float) -> batching.QueueState:
        state = self._queues[key].build_state(now)
        if self._penalized_until.get(key.rpartition("/")[0], 0.0) > now:
            busy = state.busy_seconds + PENALTY_SECONDS
            state = state._replace(busy_seconds=busy)
        return state

    def build_state(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        now: float,
    ) -> batching.QueueState:
        """Returns the state of an endpoint's queue."""
        self.find_queue(endpoint, limits)
        return self._build_queue_state(_build_key(endpoint), now)

    def find_state(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> batching.QueueState | None:
        """Returns the state of an endpoint's queue, or None without a queue."""
        key = _build_key(endpoint)
        if key not in self._queues:
            return None
        return self._build_queue_state(key, now)

    def remove_endpoint(self, endpoint: catalogue.Endpoint) -> None:
        """Removes the state of an endpoint that no longer exists."""
        key = _build_key(endpoint)
        if key in self._queues and not self._queues[key].running:
            del self._queues[key]
            del self._queued_endpoints[key]
            self._queue_tasks.pop(key, None)
        self._penalized_until.pop(endpoint.name, None)

    def record_slowness(
        self, endpoint: catalogue.Endpoint, stated: float
    ) -> None:
        """Records how slow an endpoint says that it is at this moment."""
        queue = self._queues.get(_build_key(endpoint))
        if queue is not None:
            queue.slowness.record(stated, self._clock.now())

    async def withdraw_items(
        self, endpoint: catalogue.Endpoint, reason: str = UNSENT
    ) -> None:
        """Ends the items queued for an endpoint, which can go to another."""
        queue = self._queues.get(_build_key(endpoint))
        if queue is not None:
            await _resolve_all(queue.take_all(), reason)

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items at an endpoint and returns their results in order.

        Args:
            endpoint: the endpoint to call.
            limits: the limits of its service.
            items: items of one stage of one request; their tickets are
                replaced.
        """
        queue = self.find_queue(endpoint, limits)
        ticket = Ticket(len(items), endpoint)
        for item in items:
            queue.add(item._replace(ticket=ticket))
        await self._start_queue_task(endpoint, queue)
        await self._wake_idle(endpoint)
        try:
            await ticket.wait()
        except curio.CancelledError:
            ticket.abandoned = True
            self.find_queue(ticket.endpoint, limits).withdraw(ticket)
            await self._release_results(ticket)
            raise
        return [
            ticket.results[item.index]._replace(endpoint=ticket.endpoint.name)
            for item in items
        ]

    async def _release_results(self, ticket: Ticket) -> None:
        names = [
            outcome.result
            for outcome in ticket.results.values()
            if outcome.result
        ]
        await self.release(ticket.endpoint, names)

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Starts the release of results and returns without waiting for it."""
        if not names:
            return
        now = self._clock.now()
        queue = self._queues.get(_build_key(endpoint))
        if queue is not None:
            for name in names:
                queue.release(name, now)
        pending_names = self._pending_releases.setdefault(endpoint.name, [])
        pending_names += names
        if len(pending_names) == len(names):
            await curio.spawn(self._send_releases, endpoint, daemon=True)

    async def _send_releases(self, endpoint: catalogue.Endpoint) -> None:
        """Sends the pending releases, after a pause of the endpoint if any.

        An endpoint that leaves gets none, as its results end with it.
        """
        may_call = await self._wait_for_pause(endpoint)
        names = self._pending_releases.pop(endpoint.name, [])
        for _ in range(RELEASE_ATTEMPTS):
            if not may_call or await self._try_release(endpoint, names):
                return
            may_call = await self._wait_for_pause(endpoint)

    async def _wait_for_pause(self, endpoint: catalogue.Endpoint) -> bool:
        """Waits for the end of an endpoint's pause.

        Returns:
            Whether it may be called then; it may not if it leaves.
        """
        now = self._clock.now()
        delay = self._availability.compute_call_delay(endpoint, now)
        while delay:
            await self._clock.sleep(delay)
            now = self._clock.now()
            delay = self._availability.compute_call_delay(endpoint, now)
        return delay is not None

    async def _try_release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> bool:
        """Sends a release once; returns whether it was answered."""
        try:
            async with self._clock.timeout(RELEASE_SECONDS):
                await self._endpoints.release(endpoint, names)
        except (errors.TransportError, TimeoutError) as error:
            self._log.record_failure(
                "release_failed", endpoint=endpoint.name, error=str(error)
            )
            return False
        return True

    async def _start_queue_task(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        key = _build_key(endpoint)
        task = self._queue_tasks.get(key)
        if task is None or task.terminated:
            self._queue_tasks[key] = await curio.spawn(
                self._run_queue, endpoint, queue, daemon=True
            )

    async def _run_queue(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        """Starts calls while items are queued."""
        while True:
            now = self._clock.now()
            self._pull_items(endpoint, queue, now)
            if not len(queue):
                return
            if not self._availability.is_usable(endpoint, now):
                await _resolve_all(queue.take_all(), UNSENT)
                return
            await _resolve_all(queue.take_expired(now), "late")
            batch = queue.take_batch(now)
            if batch:
                await curio.spawn(
                    self._call, endpoint, queue, batch, daemon=True
                )
            elif queue.running:
                # The call in flight restarts this task when it ends.
                return
            elif len(queue):
                await self._clock.sleep(POLL_SECONDS)

    def _list_others(
        self, endpoint: catalogue.Endpoint
    ) -> list[item_moves.QueuedEndpoint]:
        """Returns the other endpoints at which its items could run."""
        return [
            item_moves.QueuedEndpoint(other, self._queues[key])
            for key, other in self._queued_endpoints.items()
            if other.name != endpoint.name
            and self._availability.are_interchangeable(other, endpoint)
        ]

    async def _wake_idle(self, endpoint: catalogue.Endpoint) -> None:
        """Lets idle endpoints take items that wait at another one."""
        for other, queue in self._list_others(endpoint):
            if not queue.running and not len(queue):
                await self._start_queue_task(other, queue)

    def _pull_items(
        self,
        endpoint: catalogue.Endpoint,
        queue: batching.BatchQueue,
        now: float,
    ) -> None:
        """Moves items here that would wait longer elsewhere, if it is free."""
        if not queue.running and self._availability.is_usable(endpoint, now):
            free = item_moves.QueuedEndpoint(endpoint, queue)
            item_moves.pull_items(free, self._list_others(endpoint), now)

    async def _call(
        self,
        endpoint: catalogue.Endpoint,
        queue: batching.BatchQueue,
        batch: list[batching.Item],
    ) -> None:
        """Makes one call and distributes its results."""
        started_at = self._clock.now()
        configured = stage_times.estimate_call_seconds(queue.limits, len(batch))
        expected = min(
            queue.estimate_call_seconds(batch, started_at),
            OVERDUE_SLOWNESS * configured,
        )
        overdue = OVERDUE_FACTOR * expected + OVERDUE_MARGIN_SECONDS
        timeout = overdue + SILENCE_SECONDS
        results = [proxies.ItemResult("", "error")] * len(batch)
        try:
            async with self._clock.timeout(timeout):
                with self._watching_overdue(
                    endpoint, started_at + overdue, started_at + timeout
                ):
                    results = await self._endpoints.run_batch(
                        endpoint, batch, started_at
                    )
        except Exception as error:
            # Whatever the error is, the items must end and the queue go on.
            now = self._clock.now()
            if errors.is_endpoint_failure(error):
                self._penalized_until[endpoint.name] = (
                    now + PENALTY_DURATION_SECONDS
                )
            if isinstance(error, errors.ConnectError):
                reason = UNREACHABLE
                if isinstance(error, errors.NotAcceptingError):
                    reason = UNSENT
                results = [proxies.ItemResult("", reason)] * len(batch)
            if not isinstance(
                error, errors.ConnectError | errors.NotExecutedError
            ):
                queue.record_lost_call(batch, now)
            self._log.record_failure(
                "batch_failed",
                endpoint=endpoint.name,
                items=len(batch),
                requests=_list_requests(batch),
                error=f"{type(error).__name__}: {error}",
            )
        else:
            now = self._clock.now()
            queue.slowness.record_call(configured, now - started_at, now)
        now = self._clock.now()
        metrics.BATCH_SECONDS.observe(now - started_at)
        for outcome in results:
            metrics.ITEMS.labels(reason=outcome.reason).inc()
        failure_reasons = [
            outcome.reason for outcome in results if outcome.reason
        ]
        if failure_reasons:
            self._log.record_failure(
                "pieces_not_made",
                endpoint=endpoint.name,
                service=endpoint.service,
                items=len(batch),
                reasons=sorted(set(failure_reasons)),
                not_made=len(failure_reasons),
                requests=_list_requests(
                    [
                        item
                        for item, outcome in zip(batch, results, strict=True)
                        if outcome.reason
                    ]
                ),
                stages=sorted({item.stage for item in batch}),
                room_bytes=queue.compute_free_memory(now),
                wanted_bytes=sum(item.result_bytes for item in batch),
            )
        queue.end_call(
            batch, [outcome.result or None for outcome in results], now
        )
        short_items = [
            item
            for item, outcome in zip(batch, results, strict=True)
            if outcome.reason == "room"
        ]
        if short_items:
            smallest = min(item.result_bytes for item in short_items)
            queue.record_memory_shortage(smallest, now)
        await self._resolve_items(endpoint, batch, results)
        if short_items:
            await self._refresh_free_memory(endpoint, queue)
        for item in short_items:
            if not item.ticket.abandoned:
                queue.add(item)
        await self._start_queue_task(endpoint, queue)

    async def _resolve_items(
        self,
        endpoint: catalogue.Endpoint,
        batch: Sequence[batching.Item],
        results: Sequence[proxies.ItemResult],
    ) -> None:
        """Resolves the items of a call, but for those that lacked memory."""
        abandoned_results = []
        for item, outcome in zip(batch, results, strict=True):
            if item.ticket.abandoned:
                abandoned_results += [outcome.result] if outcome.result else []
            elif outcome.reason != "room":
                await item.ticket.resolve(item.index, outcome)
        await self.release(endpoint, abandoned_results)

    @contextlib.contextmanager
    def _watching_overdue(
        self,
        endpoint: catalogue.Endpoint,
        overdue_at: float,
        times_out_at: float,
    ) -> Iterator[None]:
        """Lets handle_overdue_calls() find the call that the block makes."""
        call = _WatchedCall(endpoint, overdue_at, times_out_at)
        self._watched_calls.append(call)
        try:
            yield
        finally:
            if call in self._watched_calls:
                self._watched_calls.remove(call)
        # The endpoint has answered.
        self._penalized_until.pop(endpoint.name, None)

    async def handle_overdue_calls(self, now: float) -> None:
        """Spares other items the wait for calls that are overdue."""
        overdue = [
            call for call in self._watched_calls if call.overdue_at <= now
        ]
        for call in overdue:
            self._watched_calls.remove(call)
            name = call.endpoint.name
            self._penalized_until[name] = call.times_out_at
            self._log.record_failure("batch_overdue", endpoint=name)
        for call in overdue:
            if self._availability.has_other_endpoint(call.endpoint, now):
                await self.withdraw_items(call.endpoint, OVERDUE)

    async def _refresh_free_memory(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        """Queries the free memory of an endpoint.

        Called after an endpoint had less free memory than expected.
        """
        now = self._clock.now()
        if self._availability.compute_call_delay(endpoint, now) != 0:
            return
        estimated_bytes = queue.compute_free_memory(now)
        try:
            async with self._clock.timeout(FREE_MEMORY_SECONDS):
                free_bytes = await self._endpoints.read_free_memory(endpoint)
        except (errors.TransportError, TimeoutError) as error:
            self._log.record_failure(
                "room_unknown", endpoint=endpoint.name, error=str(error)
            )
            return
        queue.adopt_free_memory(free_bytes, self._clock.now())
        self._log.record_event(
            "room_adopted",
            endpoint=endpoint.name,
            believed_bytes=estimated_bytes,
            room_bytes=free_bytes,
        )


async def _resolve_all(items: Sequence[batching.Item], reason: str) -> None:
    for item in items:
        await item.ticket.resolve(item.index, proxies.ItemResult("", reason))


def _list_requests(items: Sequence[batching.Item]) -> list[str]:
    """Returns the attempt ids of items for a log line."""
    return sorted({item.attempt for item in items})[:LOGGED_REQUESTS_LIMIT]


def _build_key(endpoint: catalogue.Endpoint) -> str:
    return f"{endpoint.name}/{endpoint.started}"
