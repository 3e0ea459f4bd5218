"""The base class of the test doubles: routes, fault switches, process."""

import contextlib
import re
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import curio
import curio.io
import defopt

from samphirevale import errors
from samphirevale.adapters import web, web_client, web_server
from standins import faults

# The polling interval until the server listens, in seconds.
LISTEN_CHECK_SECONDS = 0.01

# The server's limits: prompts are small and there are many connections.
LIMITS = web.Limits(
    body_bytes=4 * 1024 * 1024, connections=4000, idle_seconds=120.0
)


class AnswerDroppedError(curio.TaskCancelled):
    """Makes web_server.serve close the connection without sending an answer.

    web_server.serve handles it like the end of the server.
    """


Handler = Callable[..., Awaitable[web.Response | web.StreamedResponse]]


class Routes:
    """The calls that a program handles, registered by its methods."""

    def __init__(self, *parents: "Routes"):
        self._handlers: list[tuple[str, re.Pattern, Handler, bool]] = []
        for parent in parents:
            self._handlers += parent._handlers

    def add(
        self, method: str, path: str, control: bool = False
    ) -> Callable[[Handler], Handler]:
        """Registers a method as the handler of a call.

        Args:
            method: the HTTP method.
            path: the path; `{name}` matches one segment, which is passed as an
                argument.
            control: the call is for tests only and unaffected by faults.
        """
        pattern = re.compile(re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", path))

        def register(handler: Handler) -> Handler:
            self._handlers.append((method, pattern, handler, control))
            return handler

        return register

    def find(
        self, request: web.Request
    ) -> tuple[Handler, dict[str, str], bool] | None:
        """Returns the handler, its arguments and the value of `control`."""
        for method, pattern, handler, control in self._handlers:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                return handler, match.groupdict(), control
        return None


class Program:
    """The base class; subclasses extend ROUTES and FAULTS."""

    ROUTES = Routes()
    FAULTS = faults.Registry()

    def __init__(self):
        self.faults = faults.Switches(self.FAULTS)

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Handles one request."""
        found = self.ROUTES.find(request)
        if found is None:
            return build_error(404, f"no {request.method} {request.path}")
        handler, arguments, control = found
        if not control:
            response = await self.faults.run_guards(time.monotonic())
            if response is not None:
                return response
        try:
            return await handler(self, request, **arguments)
        except errors.InvalidInputError as error:
            findings = [finding._asdict() for finding in error.findings]
            return web.build_json(
                400, {"error": str(error), "findings": findings}
            )
        except errors.ProtocolError as error:
            return build_error(400, str(error))

    def read_fault(self, name: str) -> Any:
        """Returns a switch's present value, or None if it is off."""
        return self.faults.get(name, time.monotonic())

    @ROUTES.add("GET", "/health")
    async def show_health(self, request: web.Request) -> web.Response:
        """Confirms that the process is running."""
        return web.build_json(200, {"ok": True})

    @ROUTES.add("GET", "/faults", control=True)
    async def show_faults(self, request: web.Request) -> web.Response:
        """Returns the values of all switches."""
        return web.build_json(200, self.faults.describe(time.monotonic()))

    @ROUTES.add("POST", "/faults", control=True)
    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets switches."""
        self.faults.change(web_client.read_json(request.body), time.monotonic())
        return await self.show_faults(request)

    @ROUTES.add("DELETE", "/faults", control=True)
    async def clear_faults(self, request: web.Request) -> web.Response:
        """Turns all switches off."""
        self.faults.clear()
        return await self.show_faults(request)


def build_error(
    status: int, text: str, *headers: tuple[str, str]
) -> web.Response:
    """Returns an error in the format of docs/PROTOCOL.md."""
    return web.build_json(status, {"error": text}, *headers)


def read_fields(request: web.Request, /, **types: type) -> list[Any]:
    """Returns the body's fields in the order of `types`.

    Raises:
        errors.InvalidInputError: fields are not valid; carries one finding
            for each.
    """
    body = web_client.read_json(request.body)
    if not isinstance(body, dict):
        raise errors.InvalidInputError(
            [errors.Finding("body", "a JSON object")]
        )
    findings = [
        errors.Finding(name, field_type.__name__, repr(body.get(name))[:80])
        for name, field_type in types.items()
        if not isinstance(body.get(name), field_type)
    ]
    if findings:
        raise errors.InvalidInputError(findings)
    return [body.get(name) for name in types]


def read_integer(request: web.Request, name: str, default: int) -> int:
    """Returns the query parameter `name`.

    Raises:
        errors.InvalidInputError: the value is not an integer of 0 or more.
    """
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise errors.InvalidInputError(
            [errors.Finding(name, "an integer of 0 or more", text[:80])]
        )
    return int(text)


async def hang() -> None:
    """Never returns."""
    await curio.Event().wait()


@contextlib.contextmanager
def receive_signals(*numbers: int) -> Iterator[curio.io.Socket]:
    """Handles signals; yields a socket that receives one byte per signal."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, lambda *_: None) for number in numbers
    }
    try:
        yield curio.io.Socket(reader)
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_fd)
        reader.close()
        writer.close()


async def _wait_until_listening(server: Any, host: str, port: int) -> None:
    while True:
        await curio.sleep(LISTEN_CHECK_SECONDS)
        if server.terminated:
            await server.join()
        with contextlib.suppress(errors.ConnectError):
            async with web_client.connect(host, port):
                return


async def _serve(program: Program, host: str, port: int) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        server = await curio.spawn(
            web_server.serve, program.handle, host, port, LIMITS
        )
        await _wait_until_listening(server, host, port)
        print("ready", flush=True)
        await signals.recv(1)
        await server.cancel()


def run(program_type: Callable[[Any], Program], settings_type: type) -> None:
    """Serves until SIGTERM or SIGINT; prints `ready` when it listens.

    Args:
        program_type: called with the settings.
        settings_type: a NamedTuple, with `host` and `port`; its fields are
            the flags of the command line.
    """
    settings = defopt.run(settings_type, cli_options="all", short={})
    program = program_type(settings)
    curio.run(_serve, program, settings.host, settings.port)
