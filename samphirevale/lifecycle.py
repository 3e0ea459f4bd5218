"""The lifecycle of a role: ready, draining, and the sections of its dump."""

import curio

from samphirevale import dump, logs


class Lifecycle:
    """What the daemon and the role that it runs tell each other.

    Attributes:
        stop: set once the process has been told to stop; the role then
            takes nothing new, finishes what is in flight and returns.
        sections: the sections of the state dump; the role adds its own.
    """

    def __init__(self) -> None:
        self.stop = curio.Event()
        self.sections = dump.Sections()
        self._ready = False

    def report_ready(self) -> None:
        """Says that the role serves; prints `ready` on stdout, once."""
        if self._ready:
            return
        self._ready = True
        logs.log_change("ready")
        print("ready", flush=True)

    def is_ready(self) -> bool:
        """Tells whether new work is welcome: serving, and not stopping."""
        return self._ready and not self.stop.is_set()

    async def request_stop(self, reason: str) -> None:
        """Begins the graceful stop."""
        if self.stop.is_set():
            return
        logs.log_change("stopping", reason=reason)
        await self.stop.set()
