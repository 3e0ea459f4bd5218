"""An event loop in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Loop:
    """Calls functions at scheduled times, in order.

    Attributes:
        now: the current virtual time, in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def call_at(self, at: float, call: Callable, *arguments: Any) -> None:
        """Schedules a call at a time, or now if that time has passed."""
        event = (max(at, self.now), next(self._numbers), call, arguments)
        heapq.heappush(self._events, event)

    def call_later(self, delay: float, call: Callable, *arguments: Any) -> None:
        """Schedules a call after a delay in seconds."""
        self.call_at(self.now + delay, call, *arguments)

    def run(self, until: float) -> None:
        """Makes all calls that are scheduled up to and including a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
