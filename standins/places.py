"""Places to run in, and the queue before them."""

import contextlib
import heapq
import itertools
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

import curio

from standins import histories


class WaitCancelledError(Exception):
    """The wait for a place was cancelled."""


class Load(NamedTuple):
    """How many run and wait."""

    running: int
    waiting: int


class Ticket:
    """One wait for a place; priority 0 is the most urgent."""

    def __init__(self, priority: int = 0):
        self.priority = priority
        self.cancelled = False
        self.placed = False
        self.called = curio.Event()


class Places:
    """A number of places to run in, and a queue by priority before them."""

    def __init__(self, count: int, waiting_limit: int):
        self.count = count
        self.loads = histories.History(Load(0, 0), time.monotonic())
        self._waiting_limit = waiting_limit
        self._running = 0
        self._queue: list[tuple[int, int, Ticket]] = []
        self._numbers = itertools.count()

    def is_full(self) -> bool:
        """Tells whether nothing more may wait."""
        return (
            self._running >= self.count
            and len(self._queue) >= self._waiting_limit
        )

    @contextlib.asynccontextmanager
    async def hold(self, ticket: Ticket) -> AsyncIterator[None]:
        """Holds a place for the block; waits for one if there is none.

        Whoever is to be refused while the queue is full asks `is_full` first.

        Raises:
            WaitCancelledError: `cancel_wait` was called.
        """
        await self._take(ticket)
        try:
            yield
        finally:
            await self._give_back()

    async def cancel_wait(self, ticket: Ticket) -> None:
        """Ends the ticket's wait, if it waits."""
        ticket.cancelled = True
        if self._leave_queue(ticket):
            await ticket.called.set()

    async def _take(self, ticket: Ticket) -> None:
        if self._running < self.count:
            self._running += 1
            self._note_load()
            return
        entry = (ticket.priority, next(self._numbers), ticket)
        heapq.heappush(self._queue, entry)
        self._note_load()
        try:
            await ticket.called.wait()
        except BaseException:
            self._leave_queue(ticket)
            if ticket.placed:
                await self._give_back()
            raise
        # A ticket that was placed before its wait was cancelled owns the
        # place, and its holder gives it back.
        if not ticket.placed:
            raise WaitCancelledError

    def _leave_queue(self, ticket: Ticket) -> bool:
        rest = [entry for entry in self._queue if entry[2] is not ticket]
        found = len(rest) < len(self._queue)
        self._queue = rest
        heapq.heapify(self._queue)
        self._note_load()
        return found

    async def _give_back(self) -> None:
        if self._queue:
            _, _, ticket = heapq.heappop(self._queue)
            ticket.placed = True
            await ticket.called.set()
        else:
            self._running -= 1
        self._note_load()

    def _note_load(self) -> None:
        load = Load(self._running, len(self._queue))
        self.loads.put(load, time.monotonic())
