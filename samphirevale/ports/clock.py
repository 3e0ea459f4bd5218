"""The protocol for clocks, which tests replace by simulated time."""

import contextlib
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock with sleeps and timeouts."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""

    async def sleep(self, seconds: float) -> None:
        """Sleeps for `seconds`."""

    def timeout(
        self, seconds: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Cancels the block after `seconds` and raises TimeoutError."""
