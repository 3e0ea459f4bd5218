"""Time, as the drivers of the decisions need it."""

import contextlib
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock with sleeps and time limits."""

    def now(self) -> float:
        """Returns monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Returns after `seconds`."""

    def limit(
        self, seconds: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Raises TimeoutError out of the block after `seconds`."""
