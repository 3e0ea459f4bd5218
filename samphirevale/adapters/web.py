"""An HTTP/1.1 server with h11 on curio sockets, one task per connection."""

import contextlib
import fcntl
import json
import sys
import termios
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

# The last wait for a request after the idle timeout, in seconds.
LAST_READ_SECONDS = 0.01


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


class ClosedConnection(NamedTuple):
    """The end of a connection.

    Attributes:
        reason: one of the constants below.
        unread_bytes: number of bytes received that belong to no answered
            request, those of a request read in part included.
        requests: number of requests that were read whole.
        answered: number of requests whose answer was sent whole.
        idle_seconds: the idle timeout that was in force for the connection.
        address: the caller's address.
        error: the unexpected error; empty if there was none.
    """

    reason: str
    unread_bytes: int
    requests: int
    answered: int
    idle_seconds: float
    address: str
    error: str = ""


# Reasons why a connection ends. The expected ones are no failures if all
# requests have been answered.
CALLER_LEFT = "caller_left"
IDLE = "idle"
HEAD_TIMEOUT = "head_timeout"
BODY_TIMEOUT = "body_timeout"
WRITE_TIMEOUT = "write_timeout"
CONNECTION_LIMIT = "connection_limit"
HEAD_REFUSED = "head_refused"
BODY_REFUSED = "body_refused"
LAST_ANSWER = "last_answer"
DRAINING = "draining"
ANSWER_BROKEN = "answer_broken"
CANCELLED = "cancelled"
REFUSED_AT_END = "refused_at_end"
UNEXPECTED_ERROR = "unexpected_error"

EXPECTED_REASONS = frozenset(
    {CALLER_LEFT, IDLE, LAST_ANSWER, DRAINING, CANCELLED}
)

# Reasons after which the caller may still be sending, and has an answer to
# read.
_LINGERING_REASONS = frozenset(
    {
        HEAD_TIMEOUT,
        BODY_TIMEOUT,
        HEAD_REFUSED,
        BODY_REFUSED,
        LAST_ANSWER,
        DRAINING,
    }
)

# How long the server reads on after its last answer, in seconds.
LINGER_SECONDS = 1.0

# The same while the server is draining, as the process may be about to end.
DRAINING_LINGER_SECONDS = 0.2

# Maximum number of connections over the limit that linger.
LINGERING_REFUSED_LIMIT = 50


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
            the server was started with. A raised idle timeout also holds for
            connections that are idle.
        report_closed: called at the end of each connection.
    """

    def __init__(
        self,
        report_closed: Callable[[ClosedConnection], None] = lambda _: None,
    ):
        self.draining = False
        self.busy = 0
        self.body_bytes = 0
        self.limits: Limits | None = None
        self.report_closed = report_closed


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
    refused = 0

    async def run_connection(client: Any, address: Any) -> None:
        nonlocal connections, refused
        name = _format_address(address)
        if connections >= limits.connections:
            refused += 1
            try:
                await _refuse_connection(
                    client,
                    limits,
                    server_state,
                    name,
                    lingers=refused <= LINGERING_REFUSED_LIMIT,
                )
            finally:
                refused -= 1
            return
        connections += 1
        connection = _ServerConnection(
            client, handler, limits, server_state, name
        )
        try:
            await connection.run()
        finally:
            connections -= 1

    await listener.serve(run_connection, host, port)


def _format_address(address: Any) -> str:
    return ":".join(str(part) for part in address[:2])


async def _refuse_connection(
    client: Any,
    limits: Limits,
    state: ServerState,
    address: str,
    lingers: bool,
) -> None:
    state.report_closed(
        ClosedConnection(
            CONNECTION_LIMIT,
            _count_unread(client),
            requests=0,
            answered=0,
            idle_seconds=limits.idle_seconds,
            address=address,
        )
    )
    with contextlib.suppress(OSError, curio.TaskTimeout):
        async with curio.timeout_after(limits.write_seconds):
            await client.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
        if lingers:
            await _linger(client, LINGER_SECONDS)


async def _linger(client: Any, seconds: float) -> None:
    """Discards input until the caller closes the connection.

    Closing a socket with unread input, or before more input arrives, resets the
    connection, upon which a caller may not read its answer.
    """
    with contextlib.suppress(OSError):
        await client.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(seconds):
            while await client.recv(READ_BYTES):
                continue


def _count_unread(client: Any) -> int:
    """Returns the number of bytes in the receive buffer of a socket."""
    try:
        size = fcntl.ioctl(client.fileno(), termios.FIONREAD, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(size, sys.byteorder)


# A request with both headers is refused: two HTTP implementations may
# disagree on its length, which allows request smuggling.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


# Value of Retry-After of the server's own refusals, in seconds.
RETRY_SECONDS = 1


class _RefusedError(Exception):
    """The request is refused before it is read whole."""

    def __init__(self, status: int, reason: str, text: str):
        super().__init__(text)
        self.status = status
        self.reason = reason


class _EndedError(Exception):
    """The connection has ended or does not accept further data."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class _ServerConnection:
    """One connection of a server; its requests are served in sequence."""

    def __init__(
        self,
        client: Any,
        handler: Handler,
        limits: Limits,
        state: ServerState,
        address: str,
    ):
        self._client = client
        self._handler = handler
        self._limits = state.limits or limits
        self._state = state
        self._address = address
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        # Bytes received while the previous request was still being answered.
        self._buffered = bytearray()
        # Size of the current request's body so far.
        self._body_bytes = 0
        # Bytes received and requests read and answered, for the report.
        self._received_bytes = 0
        self._request_bytes = 0
        self._requests = 0
        self._answered = 0
        self._caller_left = False

    async def run(self) -> None:
        """Serves requests until the connection ends.

        If the source of a streamed body fails, the connection is closed in
        the middle of the body, so the client does not take it for complete.
        """
        self._client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reason = UNEXPECTED_ERROR
        unexpected = ""
        try:
            reason = await self._serve_requests()
        except _EndedError as error:
            reason = error.reason
        except errors.AnswerLostError:
            reason = ANSWER_BROKEN
        except curio.TaskCancelled:
            reason = CALLER_LEFT
            if not self._caller_left:
                reason = await self._refuse_last()
            raise
        except BaseException as error:
            unexpected = f"{type(error).__name__}: {error}"
            raise
        finally:
            self._report_closed(reason, unexpected)
        if reason in _LINGERING_REASONS:
            seconds = LINGER_SECONDS
            if self._state.draining:
                seconds = DRAINING_LINGER_SECONDS
            await _linger(self._client, seconds)

    async def _refuse_last(self) -> str:
        """Refuses a request that arrives while the server ends.

        Returns:
            The reason why the connection ends.
        """
        if self._requests > self._answered:
            return CANCELLED
        try:
            await self._read_ahead(LAST_READ_SECONDS)
            if self._received_bytes == self._request_bytes:
                return CALLER_LEFT if self._caller_left else CANCELLED
            await self._refuse(503, "the server ends")
        except _EndedError as error:
            return error.reason
        return REFUSED_AT_END

    def _report_closed(self, reason: str, error: str) -> None:
        unread = self._received_bytes - self._request_bytes
        self._state.report_closed(
            ClosedConnection(
                reason,
                unread + _count_unread(self._client),
                self._requests,
                self._answered,
                self._limits.idle_seconds,
                self._address,
                error,
            )
        )

    async def _serve_requests(self) -> str:
        """Serves requests; returns the reason why no other one may follow."""
        while True:
            try:
                reason = await self._read_and_answer()
            finally:
                self._state.body_bytes -= self._body_bytes
                self._body_bytes = 0
            if reason is not None:
                return reason
            self._protocol.start_next_cycle()

    async def _read_and_answer(self) -> str | None:
        """Serves one request.

        Returns:
            The reason why the connection ends; None if another request may
            follow.
        """
        try:
            request = await self._read_request()
        except _RefusedError as error:
            await self._refuse(error.status, str(error))
            return error.reason
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint, str(error))
            return CALLER_LEFT if self._caller_left else HEAD_REFUSED
        if request is None:
            return CALLER_LEFT if self._caller_left else IDLE
        self._requests += 1
        self._request_bytes = self._received_bytes - self._count_buffered()
        self._state.busy += 1
        try:
            async with self._cancelled_on_disconnect():
                await self._answer(request)
                self._answered += 1
        finally:
            self._state.busy -= 1
        if (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        ):
            return None
        return DRAINING if self._state.draining else LAST_ANSWER

    def _count_buffered(self) -> int:
        """Returns the number of bytes that were received ahead."""
        return len(self._buffered) + len(self._protocol.trailing_data[0])

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
                data = await self._receive_from_socket()
            except _EndedError:
                data = b""
            if not data:
                await task.cancel(blocking=False)
                return
            self._buffered += data

    async def _receive_from_socket(self) -> bytes:
        """Returns the next bytes; empty if the caller sends no more.

        Raises:
            _EndedError: the connection was reset.
        """
        try:
            data = await self._client.recv(READ_BYTES)
        except OSError as error:
            self._caller_left = True
            raise _EndedError(CALLER_LEFT) from error
        self._received_bytes += len(data)
        if not data:
            self._caller_left = True
        return data

    async def _answer(self, request: Request) -> None:
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await self._handler(request)
                if isinstance(response, StreamedResponse):
                    stack.push_async_callback(response.chunks.aclose)
                head = self._build_head(response)
            except (Exception, curio.TaskTimeout) as error:
                with contextlib.suppress(_EndedError):
                    await self._refuse(500, f"{type(error).__name__}: {error}")
                raise
            await self._send_response(head, response)

    async def _read_request(self) -> Request | None:
        self._adopt_limits()
        if not await self._wait_first_bytes():
            return None
        async with _refuse_after(self._limits.head_seconds, HEAD_TIMEOUT):
            head = await self._read_event()
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        async with _refuse_after(self._limits.idle_seconds, BODY_TIMEOUT):
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
        started_at = await curio.clock()
        ends_at = started_at + self._limits.idle_seconds
        while ends_at > await curio.clock():
            if await self._read_ahead(ends_at - await curio.clock()):
                return not self._caller_left
            # The timeout may have been raised meanwhile.
            self._adopt_limits()
            ends_at = started_at + self._limits.idle_seconds
        # A request may have arrived while other tasks ran.
        return (
            await self._read_ahead(LAST_READ_SECONDS) and not self._caller_left
        )

    async def _read_ahead(self, seconds: float) -> bool:
        """Reads bytes of the next request.

        Returns:
            Whether bytes or the end of the connection arrived in time.
        """
        async with curio.ignore_after(seconds):
            self._buffered += await self._receive_from_socket()
            return True
        return False

    def _adopt_limits(self) -> None:
        self._limits = self._state.limits or self._limits

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
                raise _build_size_refusal(
                    413, BODY_REFUSED, "body", limits.body_bytes
                )
            if self._state.body_bytes > limits.all_bodies_bytes:
                raise _build_size_refusal(
                    503,
                    BODY_REFUSED,
                    "memory for bodies",
                    limits.all_bodies_bytes,
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
            raise _build_size_refusal(
                431, HEAD_REFUSED, "head", self._limits.head_bytes
            )

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
            return await self._receive_from_socket()
        data = bytes(self._buffered)
        self._buffered.clear()
        return data

    async def _refuse(self, status: int, text: str) -> None:
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("Connection", "close")]
        if status == 503:
            headers.append(("Retry-After", str(RETRY_SECONDS)))
        problem = build_json(
            status, {"status": status, "title": text}, *headers
        )
        await self._send_response(self._build_head(problem), problem)

    def _build_head(
        self, response: Response | StreamedResponse
    ) -> h11.Response:
        """Returns the head of a response.

        Raises:
            h11.LocalProtocolError: it is not valid HTTP.
        """
        headers = list(response.headers)
        if self._state.draining:
            headers.append(("Connection", "close"))
        if isinstance(response, Response):
            headers.append(("Content-Length", str(len(response.body))))
        return h11.Response(status_code=response.status, headers=headers)

    async def _send_response(
        self, head: h11.Response, response: Response | StreamedResponse
    ) -> None:
        if isinstance(response, Response):
            await self._send(
                head, h11.Data(data=response.body), h11.EndOfMessage()
            )
            return
        await self._send(head)
        async for chunk in response.chunks:
            await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

    async def _send(self, *events: Any) -> None:
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        try:
            async with curio.timeout_after(self._limits.write_seconds):
                await self._client.sendall(data)
        except curio.TaskTimeout as error:
            raise _EndedError(WRITE_TIMEOUT) from error
        except OSError as error:
            raise _EndedError(CALLER_LEFT) from error


@contextlib.asynccontextmanager
async def _refuse_after(seconds: float, reason: str) -> AsyncIterator[None]:
    """Raises a refusal if the block takes longer than `seconds`."""
    try:
        async with curio.timeout_after(seconds):
            yield
    except curio.TaskTimeout as error:
        raise _RefusedError(
            408, reason, "the request did not arrive in time"
        ) from error


def _build_size_refusal(
    status: int, reason: str, part: str, limit: int
) -> _RefusedError:
    return _RefusedError(status, reason, f"the {part} is over {limit} bytes")


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
