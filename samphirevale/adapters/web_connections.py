"""One connection of an HTTP/1.1 server, with h11 on a curio socket."""

import contextlib
import fcntl
import struct
import sys
import termios
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any

import curio
import h11
from curio import socket

from samphirevale import errors
from samphirevale.adapters import web

# The last wait for a request after the idle timeout, in seconds.
LAST_READ_SECONDS = 0.01

# Reasons after which the caller may still be sending, and has an answer to
# read.
_LINGERING_REASONS = frozenset(
    {
        web.HEAD_TIMEOUT,
        web.BODY_TIMEOUT,
        web.HEAD_REFUSED,
        web.BODY_REFUSED,
        web.LAST_ANSWER,
        web.DRAINING,
    }
)

# How long the server reads on after its last answer, in seconds.
LINGER_SECONDS = 1.0

# The same while the server is draining, as the process may be about to end.
DRAINING_LINGER_SECONDS = 0.2


async def linger(client: Any, seconds: float) -> None:
    """Discards input until the caller closes the connection.

    Closing a socket with unread input, or before more input arrives, resets the
    connection, upon which a caller may not read its answer.
    """
    with contextlib.suppress(OSError):
        await client.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(seconds):
            while await client.recv(web.READ_BYTES):
                continue


def reset_at_close(client: Any) -> None:
    """Makes the close of a socket reset its connection."""
    with contextlib.suppress(OSError):
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )


def count_unread(client: Any) -> int:
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


class ServerConnection:
    """One connection of a server; its requests are served in sequence."""

    def __init__(
        self,
        client: Any,
        handler: web.Handler,
        limits: web.Limits,
        state: web.ServerState,
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
        the middle of the body, so the client does not take it for complete. If
        the body has no framing, the connection is reset.
        """
        self._client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reason = web.UNEXPECTED_ERROR
        unexpected = ""
        try:
            reason = await self._serve_requests()
        except _EndedError as error:
            reason = error.reason
        except errors.AnswerLostError:
            reason = web.ANSWER_BROKEN
        except curio.TaskCancelled:
            reason = web.CALLER_LEFT
            if not self._caller_left:
                reason = await self._refuse_last()
            raise
        except BaseException as error:
            unexpected = f"{type(error).__name__}: {error}"
            raise
        finally:
            self._report_closed(reason, unexpected)
            if self._ends_inside_unframed():
                reset_at_close(self._client)
        if reason in _LINGERING_REASONS:
            seconds = LINGER_SECONDS
            if self._state.draining:
                seconds = DRAINING_LINGER_SECONDS
            await linger(self._client, seconds)

    def _ends_inside_unframed(self) -> bool:
        """Returns whether a body is unfinished whose end is the connection's.

        That is so for callers with HTTP/1.0, which knows no chunks.
        """
        return self._protocol.their_http_version == b"1.0" and (
            self._protocol.our_state in (h11.SEND_BODY, h11.ERROR)
        )

    async def _refuse_last(self) -> str:
        """Answers the last request while the server ends.

        One that has just arrived is refused. One in progress may have run, so
        that its answer must promise nothing.

        Returns:
            The reason why the connection ends.
        """
        try:
            if self._requests > self._answered:
                if not self._state.draining:
                    # The server fails, and does not end in an orderly way.
                    return web.CANCELLED
                if self._protocol.our_state is not h11.SEND_RESPONSE:
                    return web.CANCELLED
                await self._refuse(504, "the server ends")
                self._answered += 1
                return web.ANSWERED_AT_END
            await self._read_ahead(LAST_READ_SECONDS)
            if self._received_bytes == self._request_bytes:
                return web.CALLER_LEFT if self._caller_left else web.CANCELLED
            await self._refuse(503, "the server ends")
        except _EndedError as error:
            return error.reason
        return web.REFUSED_AT_END

    def _report_closed(self, reason: str, error: str) -> None:
        unread = self._received_bytes - self._request_bytes
        self._state.report_closed(
            web.ClosedConnection(
                reason,
                unread + count_unread(self._client),
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
            return web.CALLER_LEFT if self._caller_left else web.HEAD_REFUSED
        if request is None:
            return web.CALLER_LEFT if self._caller_left else web.IDLE
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
        return web.DRAINING if self._state.draining else web.LAST_ANSWER

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
        while len(self._buffered) < web.READ_BYTES:
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
            data = await self._client.recv(web.READ_BYTES)
        except OSError as error:
            self._caller_left = True
            raise _EndedError(web.CALLER_LEFT) from error
        self._received_bytes += len(data)
        if not data:
            self._caller_left = True
        return data

    async def _answer(self, request: web.Request) -> None:
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await self._handler(request)
                if isinstance(response, web.StreamedResponse):
                    stack.push_async_callback(response.chunks.aclose)
                head = self._build_head(response)
            except (Exception, curio.TaskTimeout) as error:
                with contextlib.suppress(_EndedError):
                    await self._refuse(500, f"{type(error).__name__}: {error}")
                raise
            await self._send_response(head, response)

    async def _read_request(self) -> web.Request | None:
        self._adopt_limits()
        if not await self._wait_first_bytes():
            return None
        async with _refuse_after(self._limits.head_seconds, web.HEAD_TIMEOUT):
            head = await self._read_event()
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        async with _refuse_after(self._limits.idle_seconds, web.BODY_TIMEOUT):
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
                    413, web.BODY_REFUSED, "body", limits.body_bytes
                )
            if self._state.body_bytes > limits.all_bodies_bytes:
                raise _build_size_refusal(
                    503,
                    web.BODY_REFUSED,
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
                431, web.HEAD_REFUSED, "head", self._limits.head_bytes
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
        problem = web.build_json(
            status, {"status": status, "title": text}, *headers
        )
        await self._send_response(self._build_head(problem), problem)

    def _build_head(
        self, response: web.Response | web.StreamedResponse
    ) -> h11.Response:
        """Returns the head of a response.

        Raises:
            h11.LocalProtocolError: it is not valid HTTP.
        """
        headers = list(response.headers)
        if self._state.draining:
            headers.append(("Connection", "close"))
        if isinstance(response, web.Response):
            headers.append(("Content-Length", str(len(response.body))))
        return h11.Response(status_code=response.status, headers=headers)

    async def _send_response(
        self, head: h11.Response, response: web.Response | web.StreamedResponse
    ) -> None:
        if isinstance(response, web.Response):
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
            raise _EndedError(web.WRITE_TIMEOUT) from error
        except OSError as error:
            raise _EndedError(web.CALLER_LEFT) from error


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


def _build_request(head: h11.Request, body: bytes) -> web.Request:
    parts = urllib.parse.urlsplit(head.target.decode("ascii", "replace"))
    return web.Request(
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
