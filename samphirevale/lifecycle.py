"""The lifecycle of a role: readiness, the stop and the state dump."""

import curio

from samphirevale import dump, logs


class Lifecycle:
    """The shared state of the daemon and the role that it runs.

    Attributes:
        stop: set when the process is told to stop; the role then accepts no
            new work, finishes the work in flight and returns.
        sections: the sections of the state dump, to which the role adds its
            own.
    """

    def __init__(self) -> None:
        self.stop = curio.Event()
        self.sections = dump.Sections()
        self._ready = False

    def report_ready(self) -> None:
        """Marks the role as ready; prints `ready` to stdout the first time."""
        if self._ready:
            return
        self._ready = True
        logs.log_event("ready")
        print("ready", flush=True)

    def is_ready(self) -> bool:
        """Returns whether the role is ready and not stopping."""
        return self._ready and not self.stop.is_set()

    async def request_stop(self, reason: str) -> None:
        """Starts the graceful stop."""
        if self.stop.is_set():
            return
        logs.log_event("stopping", reason=reason)
        await self.stop.set()
