"""Queues items for one batching endpoint and forms batches from them.

A call takes a fixed time plus a short time for each item, so full batches give
several times the throughput. Items that arrive while a call is in flight wait
for the next one. Results occupy memory at their endpoint until they are
released.
"""

from typing import Any, NamedTuple

from samphirevale import routes, stage_times
from samphirevale.endpoint_load import slowness

# Initial estimate of how long a result stays at its endpoint, in seconds.
INITIAL_RETENTION_SECONDS = 0.6

# Weight of a new measurement in the moving average of that time.
RETENTION_WEIGHT = 0.1

# The keys for memory that no known result occupies: memory use that only the
# endpoint reports, and results of calls whose answer was lost. A report of
# memory use is valid for REPORTED_USE_SECONDS.
REPORTED_USE = "unseen"
LOST_CALL = "lost"
REPORTED_USE_SECONDS = 1.0

# If an endpoint runs out of memory while more than this share of its memory is
# accounted for, results are assumed to be larger than configured.
# SIZE_FACTOR_LIMIT is the upper bound of the learned correction factor.
LEARNING_SHARE = 0.5
SIZE_FACTOR_LIMIT = 1.15

# Share of the learned correction that the end of each call removes.
CORRECTION_DECAY = 0.2

# Late items are scheduled as if they were due this number of full calls before
# their deadline. A call is then free for them in time.
LATE_MARGIN_CALLS = 2

# Initial backoff after an endpoint ran out of memory, in seconds. It doubles
# with each consecutive shortage up to the limit.
SHORTAGE_BACKOFF_SECONDS = 0.02
SHORTAGE_BACKOFF_LIMIT_SECONDS = 1.0

# The unit in which an endpoint reports its free memory.
FREE_MEMORY_UNIT_BYTES = 1_000_000

# A request may overtake one that waits for memory if it needs at most this
# share of the memory that the waiting request needs.
OVERTAKING_SHARE = 0.25


class Item(NamedTuple):
    """One unit of work of a request's stage.

    Attributes:
        attempt: the id of the caller's attempt.
        stage: the stage's index.
        index: the item's index in its stage.
        key: the key of the input data, if the stage takes no results of
            other stages.
        inputs: the names of the results of earlier stages that the item takes.
        result_bytes: the approximate size of its result.
        due_at: the latest completion time at which the request can still meet
            its target; in the past if the request is late.
        deadline_at: the latest completion time at which the request can still
            be answered before its deadline.
        rank: the request's priority; 0 is the most urgent.
        transfers: pairs of a data centre and the bytes that the item fetches
            from there, or that are fetched from its result to there.
        ticket: identifies the task that waits for the item; only its identity
            matters here.
    """

    attempt: str
    stage: int
    index: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    due_at: float
    deadline_at: float
    rank: int
    ticket: Any
    transfers: tuple[tuple[str, int], ...] = ()


class _HeldResult(NamedTuple):
    size: int
    since: float
    until: float


class QueueState(NamedTuple):
    """A snapshot of the queue, used to estimate completion times.

    Attributes:
        waiting: the number of queued items that can still meet their target.
        waiting_bytes: the memory that their results will occupy.
        late: the number of late items, which are queued behind the others.
        late_bytes: the memory that the results of late items will occupy.
        room_bytes: the free memory of the endpoint.
        busy_seconds: the estimated time until the next call can start, which
            depends on the call in flight and on the backoff.
        kept_seconds: the moving average of how long results stay in memory.
        slowness: the time of a call as a multiple of the configured one.
    """

    waiting: int
    waiting_bytes: int
    late: int
    late_bytes: int
    room_bytes: int
    busy_seconds: float
    kept_seconds: float
    slowness: float = slowness.NOMINAL


class NewItems(NamedTuple):
    """New items of one stage that have not been queued yet.

    Attributes:
        items: the number of items.
        result_bytes: the memory that all their results will occupy.
        late: whether they are queued behind the items that can still meet
            their target.
    """

    items: int
    result_bytes: int
    late: bool


def estimate_seconds(
    state: QueueState, limits: routes.BatchLimits, work: NewItems
) -> float:
    """Returns the estimated completion time of new items, in seconds from now.

    Items that can still meet their target go before late ones.
    """
    total = state.waiting + work.items
    total_bytes = state.waiting_bytes + work.result_bytes
    if work.late:
        total += state.late
        total_bytes += state.late_bytes
    calls = -(-total // limits.items)
    busy = calls * limits.call_seconds + total * limits.item_seconds
    busy *= state.slowness
    missing_bytes = total_bytes - state.room_bytes
    memory_wait = 0.0
    if missing_bytes > 0:
        memory_wait = state.kept_seconds * missing_bytes / limits.memory_bytes
    return state.busy_seconds + max(busy, memory_wait)


class BatchQueue:
    """The queue of one endpoint, which also tracks the endpoint's memory use.

    Attributes:
        limits: the endpoint's limits on calls, items and memory.
        running: the number of calls in flight.
        slowness: how much slower than configured calls are.
    """

    def __init__(self, limits: routes.BatchLimits):
        self.limits = limits
        self._waiting: list[Item] = []
        self._held: dict[str, _HeldResult] = {}
        self._retention_seconds = INITIAL_RETENTION_SECONDS
        self._reserved_bytes = 0
        self._busy_until = 0.0
        self.running = 0
        self.slowness = slowness.Slowness()
        # Ratio of the actual size of results to the configured size.
        self._size_factor = 1.0
        # The (attempt, stage) pairs of which some items have been sent while
        # others still wait.
        self._started_groups: set[tuple[str, int]] = set()
        # End and length of the backoff after a memory shortage.
        self._backoff_until = 0.0
        self._backoff_seconds = 0.0
        self._lost_calls = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._waiting)

    def add(self, item: Item) -> None:
        """Queues an item."""
        self._waiting.append(item)

    def withdraw(self, ticket: Any) -> None:
        """Removes the queued items of a ticket."""
        self._waiting = [
            item for item in self._waiting if item.ticket is not ticket
        ]

    def find_last_group(
        self, items_limit: int, bytes_limit: int, now: float
    ) -> list[Item]:
        """Returns the items of the ticket that would wait longest here.

        A ticket of which an item has been sent stays here.

        Args:
            items_limit: the largest number of items.
            bytes_limit: the largest size of their results.
            now: the present time.

        Returns:
            None of them if no ticket fits.
        """
        groups: dict[int, list[Item]] = {}
        for item in self._waiting:
            if (item.attempt, item.stage) not in self._started_groups:
                groups.setdefault(id(item.ticket), []).append(item)
        fitting = [
            group
            for group in groups.values()
            if len(group) <= items_limit
            and sum(item.result_bytes for item in group) <= bytes_limit
        ]
        if not fitting:
            return []
        return max(
            fitting,
            key=lambda group: max(
                self._compute_sort_time(item, now) for item in group
            ),
        )

    def take_expired(self, now: float) -> list[Item]:
        """Removes and returns items that would miss their deadline."""
        earliest_end = now + self.limits.call_seconds * self.slowness.get(now)
        expired = [i for i in self._waiting if i.deadline_at <= earliest_end]
        if expired:
            self._waiting = [
                i for i in self._waiting if i.deadline_at > earliest_end
            ]
        return expired

    def take_batch(self, now: float) -> list[Item]:
        """Removes and returns the items of the next call, if one may start.

        Items that can still meet their target go first, in the order of their
        due times. Late items follow, unless their deadline is near or results
        of earlier stages are held in memory for them.
        """
        if not self._waiting or self.running >= self.limits.concurrency:
            return []
        if now < self._backoff_until:
            return []
        self._waiting.sort(key=lambda item: self._compute_sort_time(item, now))
        batch = self._form_batch(self.compute_free_memory(now))
        if batch:
            self.running += 1
            self._reserved_bytes += sum(item.result_bytes for item in batch)
            self._busy_until = now + self.estimate_call_seconds(batch, now)
        return batch

    def estimate_call_seconds(self, batch: list[Item], now: float) -> float:
        """Returns the expected duration of a call that begins now."""
        seconds = stage_times.estimate_call_seconds(self.limits, len(batch))
        return seconds * self.slowness.get(now)

    def _is_late(self, item: Item, now: float) -> bool:
        earliest_end = now + self.limits.call_seconds + self.limits.item_seconds
        return item.due_at < earliest_end and not item.inputs

    def _compute_sort_time(self, item: Item, now: float) -> float:
        """Returns the time by which an item is sorted into the queue."""
        if self._is_late(item, now):
            call_seconds = stage_times.estimate_call_seconds(
                self.limits, self.limits.items
            )
            return item.deadline_at - LATE_MARGIN_CALLS * call_seconds
        return item.due_at

    def _form_batch(self, free_bytes: int) -> list[Item]:
        """Removes the items of the next batch from the queue.

        The batch takes the items of whole requests in the order of the queue.
        A request that is only partly done occupies memory without any benefit
        while its other items wait for memory. Therefore a request starts only
        if there is memory for all of its items. A request that has started
        continues item by item, and so does one that needs more than the whole
        memory. Requests that need much less memory may overtake one that
        waits for memory.
        """
        batch: list[Item] = []
        overtaking_bytes = self.limits.memory_bytes
        for key, group in self._group_waiting().items():
            free_slots = self.limits.items - len(batch)
            if not free_slots:
                break
            size = sum(item.result_bytes for item in group)
            if size <= free_bytes and size <= overtaking_bytes:
                selected = group[:free_slots]
            elif key in self._started_groups or size > self.limits.memory_bytes:
                fitting_items = free_bytes // max(group[0].result_bytes, 1)
                selected = group[: min(free_slots, fitting_items)]
            else:
                selected = []
                overtaking_bytes = min(
                    overtaking_bytes, size * OVERTAKING_SHARE
                )
            if selected:
                batch += selected
                free_bytes -= size
                self._started_groups.add(key)
        batched_ids = set(map(id, batch))
        self._waiting = [i for i in self._waiting if id(i) not in batched_ids]
        self._started_groups &= set(self._group_waiting())
        return batch

    def _group_waiting(self) -> dict[tuple[str, int], list[Item]]:
        """Returns the queued items by request and stage, in queue order."""
        groups: dict[tuple[str, int], list[Item]] = {}
        for item in self._waiting:
            groups.setdefault((item.attempt, item.stage), []).append(item)
        return groups

    def end_call(
        self, batch: list[Item], results: list[str | None], now: float
    ) -> None:
        """Records the end of a call.

        Args:
            batch: the items of the call.
            results: the name of each item's result; None if the item failed.
            now: the present time.
        """
        self.running -= 1
        self._reserved_bytes -= sum(item.result_bytes for item in batch)
        self._size_factor -= (self._size_factor - 1.0) * CORRECTION_DECAY
        until = now + self.limits.result_seconds
        if any(result is not None for result in results):
            self._backoff_seconds = 0.0
        for item, result in zip(batch, results, strict=True):
            if result is not None:
                self._held[result] = _HeldResult(item.result_bytes, now, until)

    def record_lost_call(self, batch: list[Item], now: float) -> None:
        """Records a call whose answer was lost.

        Its results occupy memory until they expire, as their names are unknown
        and they cannot be released.
        """
        self._lost_calls += 1
        size = sum(item.result_bytes for item in batch)
        until = now + self.limits.result_seconds
        self._held[f"{LOST_CALL}/{self._lost_calls}"] = _HeldResult(
            size, now, until
        )

    def record_memory_shortage(self, result_bytes: int, now: float) -> None:
        """Records that the endpoint had no memory for an item.

        Corrects the assumed size of results and backs off from the endpoint.

        Args:
            result_bytes: the configured size of the item's result.
            now: the present time.
        """
        doubled = max(2 * self._backoff_seconds, SHORTAGE_BACKOFF_SECONDS)
        self._backoff_seconds = min(doubled, SHORTAGE_BACKOFF_LIMIT_SECONDS)
        self._backoff_until = now + self._backoff_seconds
        memory = self.limits.memory_bytes
        used = memory - self.compute_free_memory(now)
        if used > memory * LEARNING_SHARE:
            factor = self._size_factor * (memory - result_bytes / 2) / used
            factor = min(max(factor, self._size_factor), SIZE_FACTOR_LIMIT)
            self._size_factor = factor

    def adopt_free_memory(self, room_bytes: int, now: float) -> None:
        """Adopts the free memory that the endpoint reports in whole MB.

        The endpoint may hold results that this queue does not know of.
        """
        self._held.pop(REPORTED_USE, None)
        size = self.compute_free_memory(now) - room_bytes
        if size > FREE_MEMORY_UNIT_BYTES:
            self._held[REPORTED_USE] = _HeldResult(
                size, now, now + REPORTED_USE_SECONDS
            )

    def take_all(self) -> list[Item]:
        """Removes and returns all queued items."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def release(self, result: str, now: float) -> None:
        """Records that a result has been released."""
        held = self._held.pop(result, None)
        if held is not None:
            seconds = now - held.since
            self._retention_seconds += RETENTION_WEIGHT * (
                seconds - self._retention_seconds
            )

    def count_waiting_bytes(self) -> int:
        """Returns the size of the results of all queued items."""
        return sum(item.result_bytes for item in self._waiting)

    def compute_free_memory(self, now: float) -> int:
        """Returns the free memory for new results, in bytes."""
        expired_names = [
            name for name, held in self._held.items() if held.until <= now
        ]
        for name in expired_names:
            del self._held[name]
        held_bytes = sum(held.size for held in self._held.values())
        used = (held_bytes + self._reserved_bytes) * self._size_factor
        return int(self.limits.memory_bytes - used)

    def build_state(self, now: float) -> QueueState:
        """Returns a snapshot of the queue for estimates."""
        busy = max(self._backoff_until - now, 0.0)
        if self.running:
            rest = slowness.estimate_rest(self._busy_until, now)
            busy = max(busy, rest)
        late = [i.result_bytes for i in self._waiting if self._is_late(i, now)]
        waiting_bytes = sum(item.result_bytes for item in self._waiting)
        return QueueState(
            len(self._waiting) - len(late),
            waiting_bytes - sum(late),
            len(late),
            sum(late),
            self.compute_free_memory(now),
            busy,
            self._retention_seconds,
            self.slowness.get(now),
        )
