"""The metadata store's stand-in as a process with switches."""

import time
from typing import NamedTuple

from samphirevale.adapters import web
from standins import faults, metadata_store, programs


class Settings(NamedTuple):
    """Runs the store.

    Args:
        port: the port to listen on.
        poll_seconds: the interval at which a watch looks for changes.
        host: the address to listen on.
    """

    port: int
    poll_seconds: float = metadata_store.POLL_SECONDS
    host: str = "127.0.0.1"


class StoreProgram(programs.Program):
    """Serves the store, and the switches `away` and `drops`."""

    FAULTS = faults.Registry()
    FAULTS.declare("away", faults.FLAG)
    FAULTS.declare("drops", faults.FLAG)

    def __init__(self, settings: Settings):
        super().__init__()
        self._store = metadata_store.MetadataStore()
        self._store.poll_seconds = settings.poll_seconds

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Handles a call; `drops` takes effect after the call did."""
        if request.path == "/faults":
            response = await super().handle(request)
            self._store.away = bool(self.faults.get("away", time.monotonic()))
            return response
        self._store.away = bool(self.read_fault("away"))
        response = await self._store.handle(request)
        if self.read_fault("drops"):
            raise programs.AnswerDroppedError
        return response


if __name__ == "__main__":
    programs.run(StoreProgram, Settings)
