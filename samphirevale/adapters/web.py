"""An HTTP/1.1 server with h11 on curio sockets, one task per connection."""

import contextlib
import json
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import curio
import h11
from curio import socket

from samphirevale import errors
from samphirevale.adapters import listener

# Maximum number of bytes per socket read.
READ_BYTES = 65536


class Limits(NamedTuple):
    """Limits of a server.

    Attributes:
        head_bytes: maximum size of a request head.
        body_bytes: maximum size of a request body.
        all_bodies_bytes: maximum total size of the bodies of all requests in
            progress.
        connections: maximum number of concurrent connections.
        head_seconds: maximum time from a head's first byte to its last.
        idle_seconds: maximum wait for the next request, and for its body.
        write_seconds: timeout of a socket write.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    all_bodies_bytes: int = 64 * 1024 * 1024
    connections: int = 1000
    head_seconds: float = 10.0
    idle_seconds: float = 30.0
    write_seconds: float = 10.0


DEFAULT_LIMITS = Limits()


RawHeaders = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A request as passed to a handler.

    Attributes:
        method: the method, such as `GET`.
        path: the decoded path.
        query: the decoded query parameters; a repeated name has its last
            value.
        headers: the header values by lower-case name.
        body: the complete body.
        target: path and query as received, still encoded.
        raw_headers: header names and values as received, in order.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = "/"
    raw_headers: RawHeaders = ()


class Response(NamedTuple):
    """A response with a complete body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class StreamedResponse(NamedTuple):
    """A response whose body is sent in chunks as they become available."""

    status: int
    chunks: AsyncIterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response | StreamedResponse]]


def build_json(status: int, value: Any, *headers: tuple[str, str]) -> Response:
    """Returns a response with `value` as its JSON body."""
    body = json.dumps(value).encode()
    return Response(
        status, body, (("Content-Type", "application/json"), *headers)
    )


class ServerState:
    """State shared between a server and the task that stops it.

    Attributes:
        draining: if true, each connection closes after its next response.
        busy: number of requests read but not yet fully answered.
        body_bytes: total size of the bodies of all requests in progress.
        limits: the limits from the next request on; None to keep those that
            the server was started with.
    """

    def __init__(self):
        self.draining = False
        self.busy = 0
        self.body_bytes = 0
        self.limits: Limits | None = None


async def serve(
    handler: Handler,
    host: str,
    port: int,
    limits: Limits = DEFAULT_LIMITS,
    state: ServerState | None = None,
) -> None:
    """Serves HTTP until cancelled, with one task per connection.

    Args:
        handler: called for each request. If it raises, the response is 500.
        host: the address to listen on.
        port: the port to listen on.
        limits: limits on connections, requests and timeouts.
        state: state shared with the task that stops the server.
    """
    server_state = state or ServerState()
    connections = 0

    async def run_connection(client: Any, _: Any) -> None:
        nonlocal connections
        if connections >= limits.connections:
            await _refuse_connection(client, limits)
            return
        connections += 1
        try:
            await _ServerConnection(client, handler, limits, server_state).run()
        finally:
            connections -= 1

    await listener.serve(run_connection, host, port)


async def _refuse_connection(client: Any, limits: Limits) -> None:
    with contextlib.suppress(OSError, curio.TaskTimeout):
        async with curio.timeout_after(limits.write_seconds):
            await client.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )


# A request with both headers is refused: two HTTP implementations may
# disagree on its length, which allows request smuggling.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


# Value of Retry-After when the memory for bodies is exhausted, in seconds.
MEMORY_RETRY_SECONDS = 1


class _TooLargeError(Exception):
    """A part of the request exceeds its limit or the memory for bodies."""

    def __init__(self, status: int, part: str, limit: int):
        super().__init__(f"the {part} is over {limit} bytes")
        self.status = status


class _ServerConnection:
    """One connection of a server; its requests are served in sequence."""

    def __init__(
        self,
        client: Any,
        handler: Handler,
        limits: Limits,
        state: ServerState,
    ):
        self._client = client
        self._handler = handler
        self._limits = state.limits or limits
        self._state = state
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        # Bytes received while the previous request was still being answered.
        self._buffered = bytearray()
        # Size of the current request's body so far.
        self._body_bytes = 0

    async def run(self) -> None:
        """Serves requests until the connection ends.

        If the source of a streamed body fails, the connection is closed in
        the middle of the body, so the client does not take it for complete.
        """
        self._client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(
            OSError, curio.TaskTimeout, errors.AnswerLostError
        ):
            while await self._serve_request():
                self._protocol.start_next_cycle()

    async def _serve_request(self) -> bool:
        """Serves one request and returns whether another may follow."""
        try:
            return await self._read_and_answer()
        finally:
            self._state.body_bytes -= self._body_bytes
            self._body_bytes = 0

    async def _read_and_answer(self) -> bool:
        try:
            request = await self._read_request()
        except _TooLargeError as error:
            await self._refuse(error.status, str(error))
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint, str(error))
            return False
        except curio.TaskTimeout:
            await self._refuse(408, "the request did not arrive in time")
            return False
        if request is None:
            return False
        self._state.busy += 1
        try:
            async with self._cancelled_on_disconnect():
                await self._answer(request)
        finally:
            self._state.busy -= 1
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    @contextlib.asynccontextmanager
    async def _cancelled_on_disconnect(self) -> AsyncIterator[None]:
        """Cancels the current task if the caller disconnects in the block."""
        task = await curio.current_task()
        watcher = await curio.spawn(
            self._wait_for_disconnect, task, daemon=True
        )
        try:
            yield
        finally:
            await watcher.cancel()

    async def _wait_for_disconnect(self, task: curio.Task) -> None:
        """Reads ahead until the caller disconnects, then cancels `task`.

        Stops watching once READ_BYTES of further input are buffered.
        """
        while len(self._buffered) < READ_BYTES:
            try:
                data = await self._client.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                await task.cancel(blocking=False)
                return
            self._buffered += data

    async def _answer(self, request: Request) -> None:
        try:
            response = await self._handler(request)
        except Exception as error:
            await self._refuse(500, f"{type(error).__name__}: {error}")
            raise
        await self._send_response(response)

    async def _read_request(self) -> Request | None:
        self._limits = self._state.limits or self._limits
        if not await self._wait_first_bytes():
            return None
        async with curio.timeout_after(self._limits.head_seconds):
            head = await self._read_event()
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        async with curio.timeout_after(self._limits.idle_seconds):
            body = await self._read_body()
        return _build_request(head, body)

    async def _wait_first_bytes(self) -> bool:
        """Waits for the first bytes of a request.

        Returns:
            Whether bytes arrived before the idle timeout and before the
            connection ended.
        """
        if self._buffered or self._protocol.trailing_data[0]:
            return True
        try:
            async with curio.timeout_after(self._limits.idle_seconds):
                data = await self._client.recv(READ_BYTES)
        except curio.TaskTimeout:
            return False
        self._buffered += data
        return bool(data)

    async def _read_body(self) -> bytes:
        limits = self._limits
        body = bytearray()
        while True:
            event = await self._read_event()
            if not isinstance(event, h11.Data):
                return bytes(body)
            body += event.data
            self._body_bytes += len(event.data)
            self._state.body_bytes += len(event.data)
            if len(body) > limits.body_bytes:
                raise _TooLargeError(413, "body", limits.body_bytes)
            if self._state.body_bytes > limits.all_bodies_bytes:
                raise _TooLargeError(
                    503, "memory for bodies", limits.all_bodies_bytes
                )

    def _check_head(self, head: h11.Request) -> None:
        """Checks the size and the framing headers of a complete head.

        h11 limits only a head that is still incomplete, not one that arrives
        in a single read.
        """
        size = len(head.target)
        framing_headers = set()
        for name, value in head.headers:
            size += len(name) + len(value)
            framing_headers |= {name} & _FRAMING_HEADERS
        if len(framing_headers) > 1:
            raise h11.RemoteProtocolError("a length and a transfer encoding")
        if size > self._limits.head_bytes:
            raise _TooLargeError(431, "head", self._limits.head_bytes)

    async def _read_event(self) -> Any:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self._send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            self._protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        if not self._buffered:
            return await self._client.recv(READ_BYTES)
        data = bytes(self._buffered)
        self._buffered.clear()
        return data

    async def _refuse(self, status: int, text: str) -> None:
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("Connection", "close")]
        if status == 503:
            headers.append(("Retry-After", str(MEMORY_RETRY_SECONDS)))
        problem = build_json(
            status, {"status": status, "title": text}, *headers
        )
        await self._send_response(problem)

    async def _send_response(
        self, response: Response | StreamedResponse
    ) -> None:
        headers = list(response.headers)
        if self._state.draining:
            headers.append(("Connection", "close"))
        if isinstance(response, Response):
            headers.append(("Content-Length", str(len(response.body))))
            await self._send(
                h11.Response(status_code=response.status, headers=headers),
                h11.Data(data=response.body),
                h11.EndOfMessage(),
            )
            return
        async with contextlib.aclosing(response.chunks) as chunks:
            await self._send(
                h11.Response(status_code=response.status, headers=headers)
            )
            async for chunk in chunks:
                await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

    async def _send(self, *events: Any) -> None:
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        async with curio.timeout_after(self._limits.write_seconds):
            await self._client.sendall(data)


def _build_request(head: h11.Request, body: bytes) -> Request:
    parts = urllib.parse.urlsplit(head.target.decode("ascii", "replace"))
    return Request(
        method=head.method.decode(),
        path=urllib.parse.unquote(parts.path),
        query=dict(urllib.parse.parse_qsl(parts.query)),
        headers={
            name.decode().lower(): value.decode("latin-1")
            for name, value in head.headers
        },
        body=body,
        target=head.target.decode("latin-1"),
        raw_headers=tuple(head.headers.raw_items()),
    )
