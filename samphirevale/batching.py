"""The items that wait for one batching endpoint, and which go together.

A call takes a fixed time and a little for each item, so that full calls do
several times as much work. What comes while a call is in progress waits for
the next one. Results take room at their endpoint until they are released.
"""

from typing import Any, NamedTuple

from samphirevale import routes

# The first guess of how long a result is kept, in seconds.
KEPT_SECONDS = 0.6

# Weight of a new measurement in the smoothed time that results are kept.
KEPT_WEIGHT = 0.1

# The names of what takes room and is no result that the queue knows of, and
# how long the endpoint's word on it counts, in seconds.
UNSEEN = "unseen"
LOST = "lost"
UNSEEN_SECONDS = 1.0

# The part of the room that must be in use for a lack of room to tell that
# results are larger than the operator says, and the largest factor learned.
LEARNING_SHARE = 0.5
SIZE_FACTOR_LIMIT = 1.15

# The part of what was learned that one call makes forget.
FORGETTING_SHARE = 0.2

# How long before its deadline a late item's turn comes, in seconds: what is
# still to be done after it takes about that long.
LATE_MARGIN_SECONDS = 2.0

# How long an endpoint that lacked room is left alone, in seconds: doubled with
# each further lack up to the limit.
LACK_SECONDS = 0.02
LACK_SECONDS_LIMIT = 1.0

# The unit in which an endpoint tells its room.
ROOM_UNIT_BYTES = 1_000_000

# The part of the room that a waiting request needs which a later one may take
# before it.
BYPASS_SHARE = 0.25


class Item(NamedTuple):
    """One piece of one stage of a request.

    Attributes:
        attempt: the id of the caller's attempt.
        stage: the stage's index.
        index: the piece's index in its stage.
        key: what the piece is made of, where the stage needs no results.
        inputs: the results that it is made of otherwise.
        result_bytes: the approximate size of its result.
        due_at: when it must be done for the request to be in time; past for
            one that is late.
        deadline_at: when it is of no use any more.
        rank: the request's; 0 is the most urgent.
        ticket: for who waits for it; not looked at here.
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


class _Kept(NamedTuple):
    size: int
    since: float
    until: float


class QueueState(NamedTuple):
    """What decides when new items will be done, as of some moment.

    Attributes:
        waiting: items that wait and can be in time.
        waiting_bytes: the room that their results will take.
        late: items that wait behind these.
        late_bytes: the room that their results will take.
        room_bytes: the room that is left.
        busy_seconds: how much longer the call in progress should take.
        kept_seconds: how long results are kept, smoothed.
    """

    waiting: int
    waiting_bytes: int
    late: int
    late_bytes: int
    room_bytes: int
    busy_seconds: float
    kept_seconds: float


class Work(NamedTuple):
    """New items of one stage, before they are added to a queue.

    Attributes:
        items: how many they are.
        result_bytes: the room that their results will take.
        late: they wait behind those that can be in time.
    """

    items: int
    result_bytes: int
    late: bool


def compute_call_seconds(limits: routes.BatchLimits, items: int) -> float:
    """Returns the time of a call with so many items."""
    return limits.call_seconds + items * limits.item_seconds


def estimate_seconds(
    state: QueueState, limits: routes.BatchLimits, work: Work
) -> float:
    """Returns when new items should be done, in seconds from now.

    Those that can be in time go before the late ones.
    """
    total = state.waiting + work.items
    total_bytes = state.waiting_bytes + work.result_bytes
    if work.late:
        total += state.late
        total_bytes += state.late_bytes
    calls = -(-total // limits.items)
    busy = calls * limits.call_seconds + total * limits.item_seconds
    lacking = total_bytes - state.room_bytes
    room = 0.0
    if lacking > 0:
        room = state.kept_seconds * lacking / limits.memory_bytes
    return state.busy_seconds + max(busy, room)


class BatchQueue:
    """The items that wait for one endpoint, and the room it has.

    Attributes:
        limits: what the endpoint takes.
        running: calls in progress.
    """

    def __init__(self, limits: routes.BatchLimits):
        self.limits = limits
        self._waiting: list[Item] = []
        self._kept: dict[str, _Kept] = {}
        self._kept_seconds = KEPT_SECONDS
        self._reserved_bytes = 0
        self._busy_until = 0.0
        self.running = 0
        # How much larger results are than the operator says.
        self._size_factor = 1.0
        # Requests and stages of which some pieces wait and others do not.
        self._begun: set[tuple[str, int]] = set()
        # After a lack of room, and how long the last such pause was.
        self._paused_until = 0.0
        self._pause_seconds = 0.0
        self._lost_calls = 0

    def __len__(self) -> int:
        """Returns how many items wait."""
        return len(self._waiting)

    def add(self, item: Item) -> None:
        """Lets an item wait for the next call that has a place for it."""
        self._waiting.append(item)

    def withdraw(self, ticket: Any) -> None:
        """Forgets the items of a ticket that still wait."""
        self._waiting = [
            item for item in self._waiting if item.ticket is not ticket
        ]

    def take_expired(self, now: float) -> list[Item]:
        """Removes and returns the items that are of no use any more."""
        soonest = now + self.limits.call_seconds
        expired = [i for i in self._waiting if i.deadline_at <= soonest]
        if expired:
            self._waiting = [
                i for i in self._waiting if i.deadline_at > soonest
            ]
        return expired

    def take_batch(self, now: float) -> list[Item]:
        """Removes and returns the items of the next call, if one may start.

        Those that can still be in time go first, the soonest due before the
        others. Late ones follow, unless their deadline is near or results
        are held for them.
        """
        if not self._waiting or self.running >= self.limits.concurrency:
            return []
        if now < self._paused_until:
            return []
        self._waiting.sort(key=lambda item: self._compute_turn(item, now))
        batch = self._cut_batch(self.read_room(now))
        if batch:
            self.running += 1
            self._reserved_bytes += sum(item.result_bytes for item in batch)
            seconds = compute_call_seconds(self.limits, len(batch))
            self._busy_until = now + seconds
        return batch

    def _is_late(self, item: Item, now: float) -> bool:
        soonest = now + self.limits.call_seconds + self.limits.item_seconds
        return item.due_at < soonest and not item.inputs

    def _compute_turn(self, item: Item, now: float) -> float:
        """Returns the time that decides an item's place in the queue."""
        if self._is_late(item, now):
            return item.deadline_at - LATE_MARGIN_SECONDS
        return item.due_at

    def _cut_batch(self, room: int) -> list[Item]:
        """Takes the pieces of whole requests, in the order of the queue.

        A request of which some pieces lie ready while others find no room
        holds room for nothing, so that one starts only if all of its pieces
        have room; once begun, it goes on piece by piece. Those that need far
        less may pass one that waits for room.
        """
        batch: list[Item] = []
        bypass_bytes = self.limits.memory_bytes
        for key, group in self._group_waiting().items():
            places = self.limits.items - len(batch)
            if not places:
                break
            size = sum(item.result_bytes for item in group)
            if size <= room and size <= bypass_bytes:
                taken = group[:places]
            elif key in self._begun or size > self.limits.memory_bytes:
                fitting = room // max(group[0].result_bytes, 1)
                taken = group[: min(places, fitting)]
            else:
                taken = []
                bypass_bytes = min(bypass_bytes, size * BYPASS_SHARE)
            if taken:
                batch += taken
                room -= size
                self._begun.add(key)
        done = set(map(id, batch))
        self._waiting = [i for i in self._waiting if id(i) not in done]
        self._begun &= set(self._group_waiting())
        return batch

    def _group_waiting(self) -> dict[tuple[str, int], list[Item]]:
        """Returns the items by request and stage, in the queue's order."""
        groups: dict[tuple[str, int], list[Item]] = {}
        for item in self._waiting:
            groups.setdefault((item.attempt, item.stage), []).append(item)
        return groups

    def end_call(
        self, batch: list[Item], results: list[str | None], now: float
    ) -> None:
        """Takes note of a call's end.

        Args:
            batch: its items.
            results: the name of each item's result, None where it has none.
            now: the present time.
        """
        self.running -= 1
        self._reserved_bytes -= sum(item.result_bytes for item in batch)
        self._size_factor -= (self._size_factor - 1.0) * FORGETTING_SHARE
        until = now + self.limits.result_seconds
        if any(result is not None for result in results):
            self._pause_seconds = 0.0
        for item, result in zip(batch, results, strict=True):
            if result is not None:
                self._kept[result] = _Kept(item.result_bytes, now, until)

    def note_lost(self, batch: list[Item], now: float) -> None:
        """Takes note of a call whose answer was lost.

        What it has made takes room until it lapses, as nobody can free it.
        """
        self._lost_calls += 1
        size = sum(item.result_bytes for item in batch)
        until = now + self.limits.result_seconds
        self._kept[f"{LOST}/{self._lost_calls}"] = _Kept(size, now, until)

    def note_lack(self, result_bytes: int, now: float) -> None:
        """Learns from an item that found no room, and pauses the calls.

        Args:
            result_bytes: what the item's result should have taken.
            now: the present time.
        """
        doubled = max(2 * self._pause_seconds, LACK_SECONDS)
        self._pause_seconds = min(doubled, LACK_SECONDS_LIMIT)
        self._paused_until = now + self._pause_seconds
        memory = self.limits.memory_bytes
        used = memory - self.read_room(now)
        if used > memory * LEARNING_SHARE:
            factor = self._size_factor * (memory - result_bytes / 2) / used
            factor = min(max(factor, self._size_factor), SIZE_FACTOR_LIMIT)
            self._size_factor = factor

    def adopt_room(self, room_bytes: int, now: float) -> None:
        """Takes over the room that the endpoint has told, in whole MB.

        Some results may be kept that this queue does not know of.
        """
        self._kept.pop(UNSEEN, None)
        size = self.read_room(now) - room_bytes
        if size > ROOM_UNIT_BYTES:
            self._kept[UNSEEN] = _Kept(size, now, now + UNSEEN_SECONDS)

    def take_waiting(self) -> list[Item]:
        """Removes and returns all items that wait."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def release(self, result: str, now: float) -> None:
        """Takes note that a result has been released."""
        kept = self._kept.pop(result, None)
        if kept is not None:
            seconds = now - kept.since
            self._kept_seconds += KEPT_WEIGHT * (seconds - self._kept_seconds)

    def read_room(self, now: float) -> int:
        """Returns the bytes that new results may take."""
        over = [name for name, kept in self._kept.items() if kept.until <= now]
        for name in over:
            del self._kept[name]
        kept_bytes = sum(kept.size for kept in self._kept.values())
        used = (kept_bytes + self._reserved_bytes) * self._size_factor
        return int(self.limits.memory_bytes - used)

    def read_state(self, now: float) -> QueueState:
        """Returns what decides when new items will be done."""
        busy_until = self._paused_until
        if self.running:
            busy_until = max(busy_until, self._busy_until)
        busy = max(busy_until - now, 0.0)
        late = [i.result_bytes for i in self._waiting if self._is_late(i, now)]
        waiting_bytes = sum(item.result_bytes for item in self._waiting)
        return QueueState(
            len(self._waiting) - len(late),
            waiting_bytes - sum(late),
            len(late),
            sum(late),
            self.read_room(now),
            busy,
            self._kept_seconds,
        )
