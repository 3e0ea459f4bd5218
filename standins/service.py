"""A test double of a service whose calls are not idempotent.

It does not deduplicate calls by their key: each call takes effect.
"""

import itertools
from typing import Any, NamedTuple

from samphirevale.adapters import web
from standins import endpoints, programs


class Settings(NamedTuple):
    """Runs a plain service.

    Args:
        port: the port to listen on.
        host: the address to listen on.
        name: the prefix of the confirmations' ids.
        workers: the number of calls that run concurrently.
        waiting_limit: the maximum queue length; further calls are refused.
        base_seconds: the minimum duration of a call.
        jitter_seconds: the maximum random time added to a call's duration.
        seed: the seed of the random durations.
        journal: the file that the record is written to; empty for none.
        reports_load: whether `GET /load` is supported.
    """

    port: int
    host: str = "127.0.0.1"
    name: str = "service"
    workers: int = 4
    waiting_limit: int = 8
    base_seconds: float = 0.03
    jitter_seconds: float = 0.005
    seed: int = 1
    journal: str = ""
    reports_load: bool = True


class Service(endpoints.PooledEndpoint):
    """The service's HTTP server."""

    ROUTES = programs.Routes(endpoints.PooledEndpoint.ROUTES)

    def __init__(self, settings: Settings):
        super().__init__(settings)
        self._settings = settings
        self._numbers = itertools.count(1)

    def build_result(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Returns a confirmation with a new id."""
        confirmation = f"{self._settings.name}-{next(self._numbers)}"
        return {"confirmation": confirmation, "key": fields.get("key", "")}

    @ROUTES.add("POST", "/call")
    async def call(self, request: web.Request) -> web.Response:
        """Runs a call, which takes effect each time."""
        return await self.run_call(request)

    @ROUTES.add("GET", "/load")
    async def show_load(self, request: web.Request) -> web.Response:
        """Returns the load, or 404 if the service does not report it."""
        if not self._settings.reports_load:
            return programs.build_error(404, "no load is reported")
        load = self.slots.loads.latest._asdict()
        return web.build_json(200, {**load, "age_ms": 0})


if __name__ == "__main__":
    programs.run(Service, Settings)
