"""The machine's monotonic clock, with curio's sleeps and time limits."""

import contextlib
import time
from collections.abc import AsyncIterator

import curio


class MonotonicClock:
    """Implements ports.clock.Clock."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Returns after `seconds`."""
        await curio.sleep(seconds)

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Raises TimeoutError out of the block after `seconds`."""
        try:
            async with curio.timeout_after(max(seconds, 0.0)):
                yield
        except curio.TaskTimeout as error:
            raise TimeoutError(f"not done in {seconds} s") from error


class BootClock(MonotonicClock):
    """A clock that counts on while the machine is suspended."""

    def now(self) -> float:
        """Returns seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
