"""Makes the calls to batching endpoints: items of many requests in each."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import curio

from samphirevale import (
    batching,
    catalogue,
    errors,
    journal,
    metrics,
    routes,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The interval between looks for room at an endpoint, in seconds.
ROOM_CHECK_SECONDS = 0.02

# How much longer than expected a call may take before it is given up, as a
# factor and in seconds: endpoints may turn several times as slow.
PATIENCE_FACTOR = 3.0
PATIENCE_SECONDS = 0.3

# How long an endpoint is given no new items after a failed call, in seconds.
AVOID_SECONDS = 1.0

# What a failed call counts as besides, when endpoints are compared, in
# seconds.
AVOIDED_SECONDS = 2.0

# The most requests that a log line names.
REQUESTS_LIMIT = 8

# The reason of items that were not sent, as their endpoint takes no new work.
UNSENT = "unsent"


class StageResult(NamedTuple):
    """A result that is kept at an endpoint.

    Attributes:
        name: names it for later stages.
        endpoint: where it is kept.
        size: approximately, in bytes.
    """

    name: str
    endpoint: catalogue.Endpoint
    size: int


class Ticket:
    """Waits for the items that were added under it.

    Attributes:
        abandoned: nobody waits any more.
    """

    def __init__(self, items: int):
        self._missing = items
        self._done = curio.Event()
        self.abandoned = False
        self.results: dict[int, proxies.ItemResult] = {}

    async def resolve(self, index: int, result: proxies.ItemResult) -> None:
        """Keeps an item's result; the last one wakes who waits."""
        self.results[index] = result
        self._missing -= 1
        if self._missing <= 0:
            await self._done.set()

    async def wait(self) -> None:
        """Returns once every item has its result."""
        await self._done.wait()


class Gatherer:
    """The queues of the endpoints whose items this entry gathers."""

    def __init__(
        self,
        endpoints: proxies.ProxyEndpoints,
        clock: clocks.Clock,
        log: journal.Journal,
        is_accepting: Callable[[catalogue.Endpoint], bool],
    ):
        """Prepares a gatherer.

        Args:
            endpoints: makes the calls.
            clock: the present time.
            log: told of calls that fail.
            is_accepting: whether an endpoint may be given new work now.
        """
        self._endpoints = endpoints
        self._is_accepting = is_accepting
        self._clock = clock
        self._log = log
        self._queues: dict[str, batching.BatchQueue] = {}
        self._drivers: dict[str, curio.Task] = {}
        self._avoided_until: dict[str, float] = {}
        self._freed: dict[str, list[str]] = {}

    def find_queue(
        self, endpoint: catalogue.Endpoint, limits: routes.BatchLimits
    ) -> batching.BatchQueue:
        """Returns the endpoint's queue."""
        key = _build_key(endpoint)
        if key not in self._queues:
            self._queues[key] = batching.BatchQueue(limits)
        return self._queues[key]

    def read_states(self, now: float) -> dict[str, batching.QueueState]:
        """Returns the state of each queue, by the endpoint's name."""
        return {
            key.rpartition("/")[0]: self._read_queue(key, now)
            for key in self._queues
        }

    def _read_queue(self, key: str, now: float) -> batching.QueueState:
        state = self._queues[key].read_state(now)
        if self._avoided_until.get(key.rpartition("/")[0], 0.0) > now:
            busy = state.busy_seconds + AVOIDED_SECONDS
            state = state._replace(busy_seconds=busy)
        return state

    def read_state(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        now: float,
    ) -> batching.QueueState:
        """Returns the state of an endpoint's queue."""
        self.find_queue(endpoint, limits)
        return self._read_queue(_build_key(endpoint), now)

    def forget(self, endpoint: catalogue.Endpoint) -> None:
        """Drops what is kept of an endpoint that is gone."""
        key = _build_key(endpoint)
        if key in self._queues and not self._queues[key].running:
            del self._queues[key]
        self._avoided_until.pop(endpoint.name, None)

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Has items done at an endpoint; returns their results in order.

        Args:
            endpoint: who does them.
            limits: of its service.
            items: of one stage of one request; their tickets are replaced.
        """
        queue = self.find_queue(endpoint, limits)
        ticket = Ticket(len(items))
        for item in items:
            queue.add(item._replace(ticket=ticket))
        await self._start_driver(endpoint, queue)
        try:
            await ticket.wait()
        except curio.CancelledError:
            ticket.abandoned = True
            queue.withdraw(ticket)
            await self._release_made(endpoint, ticket)
            raise
        return [ticket.results[item.index] for item in items]

    async def _release_made(
        self, endpoint: catalogue.Endpoint, ticket: Ticket
    ) -> None:
        names = [made.result for made in ticket.results.values() if made.result]
        await self.release(endpoint, names)

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Frees results; returns at once."""
        if not names:
            return
        now = self._clock.now()
        queue = self._queues.get(_build_key(endpoint))
        if queue is not None:
            for name in names:
                queue.release(name, now)
        waiting = self._freed.setdefault(endpoint.name, [])
        waiting += names
        if len(waiting) == len(names):
            await curio.spawn(self._free, endpoint, daemon=True)

    async def _free(self, endpoint: catalogue.Endpoint) -> None:
        names = self._freed.pop(endpoint.name, [])
        try:
            await self._endpoints.release(endpoint, names)
        except errors.TransportError as error:
            self._log.note_failure(
                "release_failed", endpoint=endpoint.name, error=str(error)
            )

    async def _start_driver(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        driver = self._drivers.get(endpoint.name)
        if driver is None or driver.terminated:
            self._drivers[endpoint.name] = await curio.spawn(
                self._drive, endpoint, queue, daemon=True
            )

    async def _drive(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        """Starts calls for as long as items wait."""
        while len(queue):
            now = self._clock.now()
            if not self._is_accepting(endpoint):
                await _resolve_all(queue.take_waiting(), UNSENT)
                return
            await _resolve_all(queue.take_expired(now), "late")
            batch = queue.take_batch(now)
            if batch:
                await curio.spawn(
                    self._call, endpoint, queue, batch, daemon=True
                )
            elif queue.running:
                # The end of a call starts the driver again.
                return
            elif len(queue):
                await self._clock.sleep(ROOM_CHECK_SECONDS)

    async def _call(
        self,
        endpoint: catalogue.Endpoint,
        queue: batching.BatchQueue,
        batch: list[batching.Item],
    ) -> None:
        """Makes one call and hands out its results."""
        began_at = self._clock.now()
        expected = batching.compute_call_seconds(queue.limits, len(batch))
        limit = PATIENCE_FACTOR * expected + PATIENCE_SECONDS
        results = [proxies.ItemResult("", "error")] * len(batch)
        try:
            async with self._clock.limit(limit):
                results = await self._endpoints.run_batch(
                    endpoint, batch, began_at
                )
        except (errors.TransportError, TimeoutError) as error:
            now = self._clock.now()
            self._avoided_until[endpoint.name] = now + AVOID_SECONDS
            if not isinstance(
                error, errors.ConnectError | errors.NotExecutedError
            ):
                queue.note_lost(batch, now)
            self._log.note_failure(
                "batch_failed",
                endpoint=endpoint.name,
                items=len(batch),
                requests=_list_requests(batch),
                error=f"{type(error).__name__}: {error}",
            )
        now = self._clock.now()
        metrics.BATCH_SECONDS.observe(now - began_at)
        for made in results:
            metrics.PIECES.labels(reason=made.reason).inc()
        refused = [made.reason for made in results if made.reason]
        if refused:
            self._log.note_failure(
                "pieces_not_made",
                endpoint=endpoint.name,
                service=endpoint.service,
                items=len(batch),
                reasons=sorted(set(refused)),
                not_made=len(refused),
                requests=_list_requests(
                    [
                        item
                        for item, made in zip(batch, results, strict=True)
                        if made.reason
                    ]
                ),
                stages=sorted({item.stage for item in batch}),
                room_bytes=queue.read_room(now),
                wanted_bytes=sum(item.result_bytes for item in batch),
            )
        queue.end_call(batch, [made.result or None for made in results], now)
        if "room" in refused:
            sizes = [
                item.result_bytes
                for item, made in zip(batch, results, strict=True)
                if made.reason == "room"
            ]
            queue.note_lack(min(sizes), now)
            await self._adopt_room(endpoint, queue)
        unwanted = []
        for item, made in zip(batch, results, strict=True):
            if item.ticket.abandoned:
                unwanted += [made.result] if made.result else []
            elif made.reason == "room":
                queue.add(item)
            else:
                await item.ticket.resolve(item.index, made)
        await self.release(endpoint, unwanted)
        if len(queue):
            await self._start_driver(endpoint, queue)

    async def _adopt_room(
        self, endpoint: catalogue.Endpoint, queue: batching.BatchQueue
    ) -> None:
        """Asks an endpoint that had less room than expected for its room."""
        believed = queue.read_room(self._clock.now())
        try:
            async with self._clock.limit(PATIENCE_SECONDS):
                room = await self._endpoints.read_room(endpoint)
        except (errors.TransportError, TimeoutError) as error:
            room = 0
            self._log.note_failure(
                "room_unknown", endpoint=endpoint.name, error=str(error)
            )
        queue.adopt_room(room, self._clock.now())
        self._log.note_change(
            "room_adopted",
            endpoint=endpoint.name,
            believed_bytes=believed,
            room_bytes=room,
        )


async def _resolve_all(items: Sequence[batching.Item], reason: str) -> None:
    for item in items:
        await item.ticket.resolve(item.index, proxies.ItemResult("", reason))


def _list_requests(items: Sequence[batching.Item]) -> list[str]:
    """Returns the requests of items, for the log."""
    return sorted({item.attempt for item in items})[:REQUESTS_LIMIT]


def _build_key(endpoint: catalogue.Endpoint) -> str:
    return f"{endpoint.name}/{endpoint.started}"
