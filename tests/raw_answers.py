"""A server that writes raw bytes, and callers that read them.

What is broken off, or is no HTTP, cannot be written with an HTTP server.
"""

import contextlib
import re
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import curio
import h11
from curio import socket

# How an answer can state where its body ends: by a length, in chunks, or not at
# all, in which case it ends with its connection.
FRAMINGS = ("length", "chunks", "none")

# The start that reports name.
BORN = 2

# How long a server waits between two writes, in seconds.
MOMENT_SECONDS = 0.002

REPORT = b'{"born": %d, "queued": 0, "free_mb": 3}' % BORN


class RawAnswer(NamedTuple):
    """What a server writes after it has read a request.

    Attributes:
        data: the bytes, with a place for the id of the caller's attempt.
        ends_by: `close` or `reset` to end the connection; empty to keep it.
        first_bytes: how many bytes are written a moment before the others.
    """

    data: bytes
    ends_by: str = "close"
    first_bytes: int = 0


def frame(body: bytes, framing: str) -> tuple[bytes, bytes]:
    """Returns the header, if any, and the bytes of a body as framed."""
    if framing == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if framing == "chunks":
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return b"Transfer-Encoding: chunked\r\n", chunk + b"0\r\n\r\n"
    return b"", body


def build_answer(
    body: bytes,
    framing: str,
    status: int = 200,
    headers: bytes = b"",
) -> bytes:
    """Returns a whole answer that names its request.

    Args:
        body: the body.
        framing: one of FRAMINGS.
        status: the status.
        headers: lines of further headers.
    """
    header, framed = frame(body, framing)
    return (
        b"HTTP/1.1 %d X\r\nSamphirevale-Attempt-Id: {attempt}\r\n" % status
        + header
        + headers
        + b"\r\n"
        + framed
    )


def reset_at_close(client: Any) -> None:
    """Makes the close of a socket reset its connection."""
    linger = struct.pack("ii", 1, 0)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class RawServer:
    """Gives the next answer of a script to each request but reports.

    Attributes:
        ports: the ports; all give answers of the same script.
        script: the answers that are left, or functions that return one for a
            request.
        requests: the requests that were read, as received.
        reports: answers to `/report` in place of a sound one.
        closing: how many connections are closed before anything is read.
    """

    def __init__(self):
        self.ports: list[int] = []
        self.script: list[RawAnswer | Callable[[bytes], RawAnswer]] = []
        self.requests: list[bytes] = []
        self.reports: list[RawAnswer] = []
        self.closing = 0

    async def serve(self, client: Any, address: Any) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError):
            async with client:
                if self.closing:
                    self.closing -= 1
                    return
                while request := await self._read_request(client):
                    answer = self._find_answer(request)
                    found = re.search(
                        rb"samphirevale-attempt-id: *(\S+)", request, re.I
                    )
                    attempt = found[1] if found else b""
                    data = answer.data.replace(b"{attempt}", attempt)
                    if answer.first_bytes:
                        await client.sendall(data[: answer.first_bytes])
                        await curio.sleep(MOMENT_SECONDS)
                    await client.sendall(data[answer.first_bytes :])
                    if answer.ends_by == "reset":
                        reset_at_close(client)
                    if answer.ends_by:
                        return

    async def _read_request(self, client: Any) -> bytes:
        data = b""
        while True:
            head, end, body = data.partition(b"\r\n\r\n")
            found = re.search(rb"content-length: *(\d+)", head, re.I)
            if end and len(body) >= (int(found[1]) if found else 0):
                return data
            part = await client.recv(65536)
            if not part:
                return b""
            data += part

    def _find_answer(self, request: bytes) -> RawAnswer:
        if b" /report " in request.partition(b"\r\n")[0]:
            if self.reports:
                return self.reports.pop(0)
            return RawAnswer(build_answer(REPORT, "length"), "")
        self.requests.append(request)
        answer = self.script.pop(0)
        return answer(request) if callable(answer) else answer


@contextlib.asynccontextmanager
async def run_server(ports: int = 1) -> AsyncIterator[RawServer]:
    """Runs a server on a number of ports during the block."""
    server = RawServer()
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(ports):
            listening = curio.network.tcp_server_socket("127.0.0.1", 0)
            server.ports.append(listening.getsockname()[1])
            task = await curio.spawn(
                curio.network.run_server, listening, server.serve, daemon=True
            )
            stack.push_async_callback(task.cancel)
        yield server


class ReadAnswer(NamedTuple):
    """What a caller has read until its connection ended.

    Attributes:
        status: the status; 0 if there was no whole head.
        headers: the headers by lower-case name.
        body: the body as far as it came.
        complete: whether the answer is whole to a caller.
        extra: the bytes behind the answer.
        reset: whether the connection was reset.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool
    extra: bytes
    reset: bool


async def read_answer(port: int, request: bytes) -> ReadAnswer:
    """Sends a request and reads the answer until the connection ends.

    The request should ask for the end of the connection.
    """
    data = b""
    reset = False
    client = await curio.open_connection("127.0.0.1", port)
    async with client:
        await client.sendall(request)
        try:
            while part := await client.recv(65536):
                data += part
        except ConnectionResetError:
            reset = True
    return parse_answer(data, reset)


def parse_answer(data: bytes, reset: bool) -> ReadAnswer:
    """Returns what the bytes of a connection that has ended mean."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method="GET", target="/", headers=[("Host", "h")])
    )
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(data)
    status, headers, body, complete = 0, {}, b"", False
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                if reset:
                    break
                protocol.receive_data(b"")
            elif isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                complete = True
                break
            elif isinstance(event, h11.ConnectionClosed):
                break
    extra = protocol.trailing_data[0] if complete else b""
    return ReadAnswer(status, headers, body, complete, extra, reset)
