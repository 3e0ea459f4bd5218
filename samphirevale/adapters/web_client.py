"""An HTTP/1.1 client with h11 on curio sockets.

It distinguishes two failures: ConnectError means that no connection was made
and the server has read nothing; AnswerLostError means that the connection
broke after bytes were sent, which the server may have read.
"""

import contextlib
import json
import select
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any

import curio
import h11
from curio import socket

from samphirevale import errors
from samphirevale.adapters import connecting, web

# Default timeout for opening a connection, in seconds.
CONNECT_SECONDS = 1.0

# The largest number of interim answers (status 1xx) before an answer.
INTERIM_ANSWERS_LIMIT = 16

# After this number of reads other tasks run, also if there is more to read.
READS_IN_A_ROW = 8


def split_address(url: str) -> tuple[str, int]:
    """Returns host and port of an `http://host:port` URL."""
    parts = urllib.parse.urlsplit(url)
    return parts.hostname, parts.port


class Answer:
    """A response whose head has been read and whose body can be streamed."""

    def __init__(self, connection: "ClientConnection", head: h11.Response):
        self._connection = connection
        self.status = head.status_code
        self.raw_headers: web.RawHeaders = tuple(head.headers.raw_items())
        self.headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in head.headers
        }

    async def read_parts(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive.

        Raises:
            errors.AnswerLostError: the connection broke before the end of
                the body.
        """
        while True:
            event = await self._connection.read_event()
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def read_lines(self) -> AsyncIterator[bytes]:
        """Yields the lines of the body as they arrive, without newlines."""
        partial_line = b""
        async with contextlib.aclosing(self.read_parts()) as parts:
            async for part in parts:
                *lines, partial_line = (partial_line + part).split(b"\n")
                for line in lines:
                    yield line
        if partial_line:
            yield partial_line

    async def read_body(self, limit: int = 16 * 1024 * 1024) -> bytes:
        """Returns the complete body.

        Raises:
            errors.ProtocolError: the body is larger than `limit` bytes.
        """
        body = bytearray()
        async with contextlib.aclosing(self.read_parts()) as parts:
            async for part in parts:
                body += part
                if len(body) > limit:
                    raise errors.ProtocolError(f"a body over {limit} bytes")
        return bytes(body)


class ClientConnection:
    """A connection to a server, for one request at a time.

    Attributes:
        targets: the targets of all requests that it has carried.
    """

    def __init__(self, stream: Any, host: str, port: int):
        self.targets: set[str] = set()
        self._stream = stream
        self._authority = f"{host}:{port}"
        self._protocol = h11.Connection(h11.CLIENT)
        self._reads = 0
        # Whether there may be more to read at once.
        self._has_more = False

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str | bytes, str | bytes], ...] = (),
        authority: str = "",
    ) -> Answer:
        """Sends a request and returns when the response head has been read.

        Args:
            method: the method, such as `GET`.
            target: path and query.
            body: the complete body.
            headers: headers to add to `Host` and `Content-Length`.
            authority: the value of `Host`; empty for the server's address.

        Raises:
            errors.AnswerLostError: the connection broke; the server may have
                read the request.
            errors.ProtocolError: the answer is not valid HTTP.
        """
        head = h11.Request(
            method=method,
            target=target,
            headers=[
                ("Host", authority or self._authority),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        self.targets.add(target)
        data = self._protocol.send(head)
        data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        try:
            await self._stream.sendall(data)
        except OSError as error:
            raise errors.AnswerLostError(str(error)) from error
        event = await self._read_final_head()
        if not isinstance(event, h11.Response):
            raise errors.AnswerLostError("closed before an answer")
        return Answer(self, event)

    async def _read_final_head(self) -> Any:
        """Returns the first event that is no interim answer."""
        for _ in range(INTERIM_ANSWERS_LIMIT):
            event = await self.read_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise errors.ProtocolError("too many interim answers")

    async def read_event(self) -> Any:
        """Returns the next h11 event of the answer.

        Raises:
            errors.AnswerLostError: the connection broke.
            errors.ProtocolError: the answer is not valid HTTP.
        """
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                if self._protocol.trailing_data[1]:
                    raise errors.AnswerLostError(
                        "the other side closed before the end of its answer"
                    ) from error
                raise errors.ProtocolError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        """Returns the next bytes, and lets other tasks run now and then.

        A read returns at once while the other side sends faster than this one
        reads, so that not even a timeout would take effect.
        """
        self._reads += 1
        if self._has_more or self._reads % READS_IN_A_ROW == 0:
            await curio.sleep(0)
        try:
            data = await self._stream.recv(web.READ_BYTES)
        except OSError as error:
            raise errors.AnswerLostError(str(error)) from error
        self._has_more = len(data) == web.READ_BYTES
        return data

    def is_stale(self) -> bool:
        """Returns whether an idle connection cannot be used any more.

        The server sends nothing between two exchanges, so a readable socket
        means that the connection has ended, or that what is there belongs to no
        request.
        """
        poll = select.poll()
        poll.register(self._stream.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def is_reusable(self) -> bool:
        """Returns whether the connection can carry another request.

        It cannot if bytes have come behind the answer, which belong to none,
        or if it has ended with the answer. If it can, prepares the protocol
        state for it.
        """
        data, ended = self._protocol.trailing_data
        if data or ended:
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            await self._stream.close()


@contextlib.asynccontextmanager
async def connect(host: str, port: int) -> AsyncIterator[ClientConnection]:
    """Opens a connection and closes it at the end of the block.

    Raises:
        errors.ConnectError: the connection could not be opened.
    """
    connection = await open_connection(host, port)
    try:
        yield connection
    finally:
        await connection.close()


async def open_connection(
    host: str, port: int, timeout_seconds: float = CONNECT_SECONDS
) -> ClientConnection:
    """Opens a connection, which the calling code has to close.

    Raises:
        errors.ConnectError: the connection could not be opened.
    """
    try:
        async with curio.timeout_after(timeout_seconds):
            stream = await connecting.open_stream(host, port)
    except curio.TaskTimeout as error:
        raise errors.ConnectTimeoutError(
            f"{host}:{port}: no connection in {timeout_seconds} s"
        ) from error
    except ConnectionRefusedError as error:
        raise errors.ConnectRefusedError(f"{host}:{port}: {error}") from error
    except OSError as error:
        raise errors.ConnectError(f"{host}:{port}: {error}") from error
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return ClientConnection(stream, host, port)


async def call_json(
    url: str,
    method: str,
    target: str,
    value: Any = None,
    headers: tuple[tuple[str, str], ...] = (),
    timeout_seconds: float = 10.0,
) -> tuple[int, Any, dict[str, str]]:
    """Makes one call on a new connection.

    Returns:
        The status, the body parsed as JSON (None if it is empty) and the
        headers.

    Raises:
        errors.ConnectError: nothing was sent.
        errors.AnswerLostError: the connection broke or the call timed out;
            the server may have read the request.
    """
    host, port = split_address(url)
    body = b"" if value is None else json.dumps(value).encode()
    async with connect(host, port) as connection:
        try:
            async with curio.timeout_after(timeout_seconds):
                answer = await connection.request(method, target, body, headers)
                data = await answer.read_body()
        except curio.TaskTimeout as error:
            raise errors.AnswerLostError(
                f"no answer in {timeout_seconds} s"
            ) from error
    return answer.status, read_json(data), answer.headers


def read_json(data: bytes) -> Any:
    """Returns the parsed JSON value, or None for empty data.

    Raises:
        errors.ProtocolError: the data is not valid JSON.
    """
    if not data:
        return None
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"not JSON: {error}") from error
