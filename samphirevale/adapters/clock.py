"""System clocks, with curio's sleeps and timeouts."""

import contextlib
import time
from collections.abc import AsyncIterator

import curio


class MonotonicClock:
    """Implements ports.clock.Clock with the system's monotonic clock."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Sleeps for `seconds`."""
        await curio.sleep(seconds)

    @contextlib.asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Cancels the block after `seconds` and raises TimeoutError."""
        try:
            async with curio.timeout_after(max(seconds, 0.0)):
                yield
        except curio.TaskTimeout as error:
            raise TimeoutError(f"not done in {seconds} s") from error


class BootClock(MonotonicClock):
    """A monotonic clock that includes time in which the machine slept."""

    def now(self) -> float:
        """Returns the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
