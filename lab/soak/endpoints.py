"""Stand-ins of endpoints that end and start again as real processes do.

One process hosts all of them, each on a port of its own. At a restart all
connections of an endpoint break, and its port is closed for a while. Then it
serves again, and only later is its registration in the store a new one.
"""

import contextlib
import json
import random
import socket
import time
from typing import Any, NamedTuple

import curio

from lab import processes
from lab.soak import records
from samphirevale import errors
from samphirevale.adapters import listener, web, web_client, web_connections
from standins import manifests, programs, servers

# The pause between two tries to register, in seconds.
RETRY_SECONDS = 0.1

# The timeout of a call to the store, in seconds.
STORE_SECONDS = 1.0

# The faults of streams: they end within an event, fall silent in the middle or
# before the first event, or are refused.
FAULTS = ("cut", "stall", "late", "full")

# The fault of reports that stands for any of them.
ANY = "any"

# The longest time that a plain request takes, in seconds.
PLAIN_SECONDS = 0.1


class Settings(NamedTuple):
    """Hosts endpoints.

    Args:
        port: the port of the calls that control them.
        store_port: the port of the store.
        events: the number of events of a stream.
        event_seconds: the time to make an event.
        slots: the requests that each endpoint says it runs at a time.
        closing: the share of reports behind which a connection is closed.
        faults: the share of streams that have a fault.
        wrong_reports: the share of starts whose reports are wrong.
        report_fault: what is wrong with them; `any` for one fault each.
        endpoint_host: the address of the endpoints.
        host: the address of the calls that control them.
    """

    port: int
    store_port: int
    events: int = 10
    event_seconds: float = 0.2
    slots: int = 16
    closing: float = 0.0
    faults: float = 0.0
    wrong_reports: float = 0.0
    report_fault: str = ANY
    endpoint_host: str = "127.0.0.1"
    host: str = "127.0.0.1"


class _Lifetime:
    """One start of an endpoint, from its first connection to its last."""

    def __init__(
        self, start: records.Start, server: servers.Server, settings: Settings
    ):
        self.start = start
        self._server = server
        self._settings = settings
        self._rng = random.Random(start.number)
        self._clients: set[Any] = set()
        self._state = web.ServerState()
        self._ended = False
        self.runs: list[records.Run] = []

    async def run(self, host: str, port: int) -> None:
        """Serves until cancelled."""
        await listener.serve(self._run_connection, host, port)

    async def _run_connection(self, client: Any, address: Any) -> None:
        if self._ended:
            return
        self._clients.add(client)
        try:
            await web_connections.ServerConnection(
                client,
                self._handle,
                programs.LIMITS,
                self._state,
                str(address),
            ).run()
        finally:
            self._clients.discard(client)

    async def _handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        is_stream = "samphirevale-prefix-hash" in request.headers
        if is_stream and self._rng.random() < self._settings.faults:
            self._server.faults = [self._rng.choice(FAULTS)]
        response = await self._server.handle(request)
        attempt = request.headers.get("samphirevale-attempt-id", "")
        if attempt and response.status == 200:
            last_event = int(request.headers.get("last-event-id", "0"))
            self.runs.append(
                records.Run(
                    attempt,
                    request.path,
                    time.time(),
                    last_event,
                    self.start.number,
                )
            )
            if isinstance(response, web.Response):
                await curio.sleep(self._rng.uniform(0, PLAIN_SECONDS))
        closes = request.path == "/report" and (
            self._rng.random() < self._settings.closing
        )
        if not closes:
            return response
        return response._replace(
            headers=(*response.headers, ("Connection", "close"))
        )

    async def break_connections(self) -> None:
        """Ends all connections at once, as the end of a process does."""
        self._ended = True
        for client in [*self._clients]:
            with contextlib.suppress(OSError):
                await client.shutdown(socket.SHUT_RDWR)


class _Place:
    """A port, and the endpoint that serves there."""

    def __init__(self, service: str, lifetime: _Lifetime):
        self.port = processes.choose_port()
        self.service = service
        self.lifetime = lifetime
        # The id in the store; empty before the first registration.
        self.registered = ""
        self.task: curio.Task | None = None
        self.lock = curio.Lock()


class HostProgram(programs.Program):
    """Starts endpoints and tells what they have seen."""

    ROUTES = programs.Routes(programs.Program.ROUTES)

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        self._store_url = f"http://127.0.0.1:{settings.store_port}"
        self._places: list[_Place] = []
        self._lifetimes: list[_Lifetime] = []

    @ROUTES.add("POST", "/start")
    async def start(self, request: web.Request) -> web.Response:
        """Starts an endpoint, and registers it before it returns."""
        name, service, version = programs.read_fields(
            request, name=str, service=str, version=str
        )
        lifetime = self._build_lifetime(name, 1, version)
        place = _Place(service, lifetime)
        self._places.append(place)
        await self._serve(place)
        await self._register(place)
        return web.build_json(200, {"place": len(self._places) - 1})

    @ROUTES.add("POST", "/restart")
    async def restart(self, request: web.Request) -> web.Response:
        """Ends an endpoint, and has another start in its place.

        The fields: `place`, its number; `name`, the new id, empty for the
        same; `version`, empty for the same; `down_seconds`, how long the port
        is closed; `register_seconds`, from the start to the registration.
        """
        value = json.loads(request.body)
        place = self._places[value["place"]]
        await curio.spawn(self._replace, place, value, daemon=True)
        return web.build_json(200, {})

    @ROUTES.add("GET", "/seen")
    async def show_seen(self, request: web.Request) -> web.Response:
        """Returns all starts and runs."""
        return web.build_json(
            200,
            {
                "starts": [lifetime.start for lifetime in self._lifetimes],
                "runs": [run for item in self._lifetimes for run in item.runs],
            },
        )

    def _build_lifetime(self, name: str, born: int, version: str) -> _Lifetime:
        server = servers.Server(name, version)
        server.born = born
        server.events = self._settings.events
        server.event_seconds = self._settings.event_seconds
        server.report_fault = self._draw_report_fault()
        start = records.Start(
            len(self._lifetimes), name, born, version, time.time(), None, None
        )
        lifetime = _Lifetime(start, server, self._settings)
        self._lifetimes.append(lifetime)
        return lifetime

    def _draw_report_fault(self) -> str:
        """Returns what is wrong with the reports of the next start."""
        rng = random.Random(f"reports {len(self._lifetimes)}")
        if rng.random() >= self._settings.wrong_reports:
            return ""
        if self._settings.report_fault != ANY:
            return self._settings.report_fault
        return rng.choice(list(servers.REPORT_FAULTS))

    async def _serve(self, place: _Place) -> None:
        place.task = await curio.spawn(
            place.lifetime.run,
            self._settings.endpoint_host,
            place.port,
            daemon=True,
        )
        await curio.sleep(0)

    async def _replace(self, place: _Place, value: dict[str, Any]) -> None:
        """Ends an endpoint and starts another; one at a time in a place."""
        async with place.lock:
            former = place.lifetime
            await former.break_connections()
            await place.task.cancel()
            former.start = former.start._replace(ended_at=time.time())
            await curio.sleep(value["down_seconds"])
            name = value["name"] or former.start.name
            born = former.start.born + 1 if name == former.start.name else 1
            version = value["version"] or former.start.version
            place.lifetime = self._build_lifetime(name, born, version)
            await self._serve(place)
        await curio.sleep(value["register_seconds"])
        await self._register(place)

    async def _register(self, place: _Place) -> None:
        """Registers an endpoint, and removes a former id."""
        lifetime = place.lifetime
        start = lifetime.start
        spec = manifests.build_registration(
            start.name,
            place.port,
            service=place.service,
            address=f"{self._settings.endpoint_host}:{place.port}",
            version=start.version,
            slots=self._settings.slots,
            sequence=start.number + 1,
            born=start.born,
        )
        value = {"metadata": {"name": start.name}, "spec": spec}
        path = f"/objects/servers/{start.name}"
        if await self._call("PUT", path, value) == 404:
            await self._call("POST", "/objects/servers", value)
        if place.registered not in ("", start.name):
            await self._call("DELETE", f"/objects/servers/{place.registered}")
        place.registered = start.name
        if lifetime.start.registered_at is None:
            lifetime.start = lifetime.start._replace(registered_at=time.time())

    async def _call(self, method: str, path: str, value: Any = None) -> int:
        """Returns the status of a call to the store, tried until it answers."""
        while True:
            try:
                status, *_ = await web_client.call_json(
                    self._store_url,
                    method,
                    path,
                    value,
                    timeout_seconds=STORE_SECONDS,
                )
            except errors.TransportError:
                await curio.sleep(RETRY_SECONDS)
            else:
                return status


if __name__ == "__main__":
    programs.run(HostProgram, Settings)
