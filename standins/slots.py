"""Concurrency slots with a priority queue."""

import contextlib
import heapq
import itertools
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

import curio

from standins import histories


class WaitCancelledError(Exception):
    """The wait for a slot was cancelled."""


class Load(NamedTuple):
    """The numbers of running and waiting calls."""

    running: int
    waiting: int


class Waiter:
    """A call that needs a slot; priority 0 is the most urgent."""

    def __init__(self, priority: int = 0):
        self.priority = priority
        self.cancelled = False
        self.has_slot = False
        self.woken = curio.Event()


class SlotPool:
    """A fixed number of slots and a priority queue of waiting calls."""

    def __init__(self, count: int, waiting_limit: int):
        self.count = count
        self.loads = histories.History(Load(0, 0), time.monotonic())
        self._waiting_limit = waiting_limit
        self._running = 0
        self._queue: list[tuple[int, int, Waiter]] = []
        self._numbers = itertools.count()

    def is_full(self) -> bool:
        """Returns whether all slots are taken and the queue is full."""
        return (
            self._running >= self.count
            and len(self._queue) >= self._waiting_limit
        )

    @contextlib.asynccontextmanager
    async def hold(self, waiter: Waiter) -> AsyncIterator[None]:
        """Holds a slot while the block runs; waits for it if none is free.

        The queue's limit is not enforced here: callers that refuse work when
        the queue is full check `is_full` first.

        Raises:
            WaitCancelledError: `cancel_wait` was called during the wait.
        """
        await self._acquire(waiter)
        try:
            yield
        finally:
            await self._release()

    async def cancel_wait(self, waiter: Waiter) -> None:
        """Marks the call as cancelled and ends its wait, if it is waiting."""
        waiter.cancelled = True
        if self._leave_queue(waiter):
            await waiter.woken.set()

    async def _acquire(self, waiter: Waiter) -> None:
        if self._running < self.count:
            self._running += 1
            self._record_load()
            return
        entry = (waiter.priority, next(self._numbers), waiter)
        heapq.heappush(self._queue, entry)
        self._record_load()
        try:
            await waiter.woken.wait()
        except BaseException:
            self._leave_queue(waiter)
            if waiter.has_slot:
                await self._release()
            raise
        # A call that got a slot before it was cancelled keeps the slot, and
        # `hold` releases it.
        if not waiter.has_slot:
            raise WaitCancelledError

    def _leave_queue(self, waiter: Waiter) -> bool:
        remaining = [entry for entry in self._queue if entry[2] is not waiter]
        found = len(remaining) < len(self._queue)
        self._queue = remaining
        heapq.heapify(self._queue)
        self._record_load()
        return found

    async def _release(self) -> None:
        if self._queue:
            _, _, waiter = heapq.heappop(self._queue)
            waiter.has_slot = True
            await waiter.woken.set()
        else:
            self._running -= 1
        self._record_load()

    def _record_load(self) -> None:
        load = Load(self._running, len(self._queue))
        self.loads.put(load, time.monotonic())
