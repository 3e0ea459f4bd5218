"""The configuration that a node holds, and how it comes by a newer one."""

from collections.abc import Callable

import curio

from samphirevale import configuration


class SnapshotHolder:
    """Holds the newest configuration seen; its revision never goes back."""

    def __init__(self):
        self.held = configuration.EMPTY
        self._first = curio.Event()
        self._listeners: list[Callable[[configuration.Configuration], None]]
        self._listeners = []

    @property
    def revision(self) -> int:
        """The held revision; 0 when there is none."""
        return self.held.revision

    def listen(
        self, listener: Callable[[configuration.Configuration], None]
    ) -> None:
        """Calls `listener` with each configuration that is adopted."""
        self._listeners.append(listener)

    async def adopt(self, seen: configuration.Configuration) -> bool:
        """Takes `seen` if it is newer; returns whether it was."""
        chosen = configuration.choose_newer(self.held, seen)
        if chosen is self.held:
            return False
        self.held = chosen
        for listener in self._listeners:
            listener(chosen)
        await self._first.set()
        return True

    async def wait_first(self) -> None:
        """Returns once there is a configuration."""
        await self._first.wait()
