"""Values over time, to be read as they were a while ago."""

import collections
from typing import Generic, TypeVar

# How long values are kept after others have taken their place, in seconds.
KEPT_SECONDS = 120.0

Value = TypeVar("Value")


class History(Generic[Value]):
    """One value and its past. Times rise from call to call, in seconds."""

    def __init__(self, value: Value, now: float):
        self._entries = collections.deque([(now, value)])

    @property
    def latest(self) -> Value:
        """The value of now."""
        return self._entries[-1][1]

    def put(self, value: Value, now: float) -> None:
        """Makes `value` the one of now."""
        self._entries.append((now, value))
        while len(self._entries) > 1 and (
            self._entries[1][0] < now - KEPT_SECONDS
        ):
            self._entries.popleft()

    def get(self, at: float) -> Value:
        """Returns the value as of `at`; the oldest kept one before that."""
        for time, value in reversed(self._entries):
            if time <= at:
                return value
        return self._entries[0][1]
