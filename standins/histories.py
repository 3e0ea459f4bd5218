"""A value with its history, from which past states can be read."""

import collections
from typing import Generic, TypeVar

# The time for which replaced values are kept, in seconds.
RETENTION_SECONDS = 120.0

Value = TypeVar("Value")


class History(Generic[Value]):
    """A value and its past. Times are in seconds and never decrease."""

    def __init__(self, value: Value, now: float):
        self._entries = collections.deque([(now, value)])

    @property
    def latest(self) -> Value:
        """The current value."""
        return self._entries[-1][1]

    def put(self, value: Value, now: float) -> None:
        """Sets the current value."""
        self._entries.append((now, value))
        while len(self._entries) > 1 and (
            self._entries[1][0] < now - RETENTION_SECONDS
        ):
            self._entries.popleft()

    def get(self, at: float) -> Value:
        """Returns the value as of `at`, or else the oldest value kept."""
        for time, value in reversed(self._entries):
            if time <= at:
                return value
        return self._entries[0][1]
