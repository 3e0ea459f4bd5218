"""Websocket links with CBOR frames between entries and sidecars.

The links use the sans-I/O part of the websockets library on curio sockets.
On each side any task may send, and one task reads.
"""

import collections
import contextlib
import hmac
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

import curio
from curio import socket
from websockets import client as websocket_client
from websockets import exceptions as websocket_exceptions
from websockets import frames as websocket_frames
from websockets import server as websocket_server
from websockets import uri as websocket_uri

from samphirevale import errors, messages
from samphirevale.adapters import connecting, listener

# Maximum number of bytes per socket read.
READ_BYTES = 65536

# Timeout of the connection and its handshake, in seconds.
HANDSHAKE_SECONDS = 2.0

# Timeout of a socket write, in seconds, which limits the wait for a remote
# side that does not read.
WRITE_SECONDS = 5.0

# Longest wait for queued frames when a link closes, in seconds.
CLOSE_SECONDS = 0.5

# Maximum number of concurrent incoming connections.
CONNECTIONS_LIMIT = 1024

# Maximum number of queued bytes that the remote side has not read.
PENDING_BYTES_LIMIT = 16 * 1024 * 1024


class Link:
    """One connection that carries messages in both directions.

    A separate task writes to the socket. A cancelled sender therefore leaves
    no partial frame, and frames queued together go out in one write.
    """

    def __init__(
        self, stream: Any, protocol: Any, initial_events: Iterable[Any] = ()
    ):
        """Creates a link on a connection whose handshake is complete.

        Args:
            stream: the socket.
            protocol: the websocket protocol object of the connection.
            initial_events: protocol events received with the handshake.
        """
        self._stream = stream
        self._protocol = protocol
        self._pending = bytearray()
        self._output_queued = curio.Event()
        self._received: collections.deque[bytes] = collections.deque()
        self._closed = False
        for event in initial_events:
            self._handle_event(event)
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message: Any, revision: int) -> None:
        """Queues one message for the writer task.

        Raises:
            errors.PeerClosedError: the connection has ended, or the remote
                side reads too slowly.
        """
        data = messages.encode_frame(message, revision)
        if self._closed:
            raise errors.PeerClosedError("the connection is closed")
        try:
            self._protocol.send_binary(data)
        except websocket_exceptions.InvalidState as error:
            raise errors.PeerClosedError(str(error)) from error
        await self._queue_output()

    async def receive(self) -> messages.Frame:
        """Returns the next frame.

        Raises:
            errors.PeerClosedError: the connection has ended.
            errors.ProtocolError: the frame is not allowed. The connection has
                been closed with this error as the reason.
        """
        while not self._received:
            await self._read_more()
        data = self._received.popleft()
        try:
            return messages.decode_frame(data)
        except errors.ProtocolError as error:
            await self.close(
                websocket_frames.CloseCode.PROTOCOL_ERROR, str(error)[:120]
            )
            raise

    async def close(
        self,
        code: int = websocket_frames.CloseCode.NORMAL_CLOSURE,
        reason: str = "",
    ) -> None:
        """Queues a close frame and ends the link once the queue is written.

        Further calls do nothing.
        """
        if self._closed:
            return
        with contextlib.suppress(websocket_exceptions.InvalidState):
            self._protocol.send_close(code, reason)
        self._pending += b"".join(self._protocol.data_to_send())
        self._closed = True
        await self._output_queued.set()

    async def write_queued(self) -> None:
        """Writes queued frames until the connection has ended."""
        try:
            while self._pending or not self._closed:
                await self._output_queued.wait()
                self._output_queued.clear()
                await self._write_pending()
        except (OSError, curio.TaskTimeout):
            self._closed = True

    async def _write_pending(self) -> None:
        while self._pending:
            data = bytes(self._pending)
            self._pending.clear()
            async with curio.timeout_after(WRITE_SECONDS):
                await self._stream.sendall(data)
            self.bytes_sent += len(data)

    async def _read_more(self) -> None:
        if self._closed:
            raise errors.PeerClosedError("the connection is closed")
        try:
            data = await self._stream.recv(READ_BYTES)
        except OSError as error:
            raise errors.PeerClosedError(str(error)) from error
        if not data:
            raise errors.PeerClosedError("the other side closed")
        self.bytes_received += len(data)
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            self._handle_event(event)
        await self._queue_output()
        if self._protocol.close_expected() and not self._received:
            raise errors.PeerClosedError("the other side closed")

    def _handle_event(self, event: Any) -> None:
        if not isinstance(event, websocket_frames.Frame):
            return
        # Links never send text or fragmented frames, so any other data frame
        # is a protocol violation.
        if event.opcode is websocket_frames.Opcode.BINARY and event.fin:
            self._received.append(bytes(event.data))
        elif event.opcode in websocket_frames.DATA_OPCODES:
            self._protocol.fail(
                websocket_frames.CloseCode.UNSUPPORTED_DATA,
                "whole binary frames only",
            )

    async def _queue_output(self) -> None:
        self._pending += b"".join(self._protocol.data_to_send())
        if len(self._pending) > PENDING_BYTES_LIMIT:
            self._closed = True
            raise errors.PeerClosedError("the other side reads too slowly")
        if self._pending:
            await self._output_queued.set()


@contextlib.asynccontextmanager
async def _managed_link(
    stream: Any, protocol: Any, initial_events: Iterable[Any] = ()
) -> AsyncIterator[Link]:
    """Runs a link's writer task and closes the link after the block.

    Args:
        stream: the socket.
        protocol: the websocket protocol object, after the handshake.
        initial_events: protocol events received with the handshake.
    """
    link = Link(stream, protocol, initial_events)
    writer = await curio.spawn(link.write_queued, daemon=True)
    try:
        yield link
    finally:
        await link.close()
        await curio.ignore_after(CLOSE_SECONDS, writer.wait)
        await writer.cancel()
        with contextlib.suppress(OSError):
            await stream.close()


@contextlib.asynccontextmanager
async def dial(host: str, port: int, secret: str) -> AsyncIterator[Link]:
    """Opens a link to a sidecar and closes it at the end of the block.

    Raises:
        errors.ConnectError: the connection or its handshake failed.
    """
    try:
        async with curio.timeout_after(HANDSHAKE_SECONDS):
            stream = await connecting.open_stream(host, port)
            try:
                protocol, initial_events = await _perform_handshake(
                    stream, host, port, secret
                )
            except BaseException:
                await stream.close()
                raise
    except (OSError, curio.TaskTimeout) as error:
        raise errors.ConnectError(f"{host}:{port}: {error}") from error
    async with _managed_link(stream, protocol, initial_events) as link:
        yield link


async def _perform_handshake(
    stream: Any, host: str, port: int, secret: str
) -> tuple[websocket_client.ClientProtocol, list[Any]]:
    """Returns the protocol and the events received with the handshake.

    The sidecar sends its first frames right after the handshake response, so
    both may arrive in the same read.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    protocol = websocket_client.ClientProtocol(
        websocket_uri.parse_uri(f"ws://{host}:{port}/"),
        max_size=messages.FRAME_BYTES_LIMIT,
    )
    request = protocol.connect()
    request.headers["Authorization"] = f"Bearer {secret}"
    protocol.send_request(request)
    await stream.sendall(b"".join(protocol.data_to_send()))
    events: list[Any] = []
    while protocol.state is websocket_client.CONNECTING:
        data = await stream.recv(READ_BYTES)
        if not data:
            raise errors.ConnectError(f"{host}:{port}: closed in handshake")
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise errors.ConnectError(f"{host}:{port}: refused")
        events += protocol.events_received()
    return protocol, events


async def serve(
    handler: Callable[[Link], Awaitable[None]],
    host: str,
    port: int,
    secret: str,
    connections_limit: int = CONNECTIONS_LIMIT,
) -> None:
    """Accepts links until cancelled and runs `handler` for each.

    Connections over `connections_limit` are closed without reading from them.
    """
    connections = 0

    async def run_connection(stream: Any, _: Any) -> None:
        nonlocal connections
        if connections >= connections_limit:
            return
        connections += 1
        try:
            await serve_connection(stream)
        finally:
            connections -= 1

    async def serve_connection(stream: Any) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(HANDSHAKE_SECONDS):
                protocol = await _accept_handshake(stream, secret)
        except (OSError, curio.TaskTimeout):
            return
        if protocol is None:
            return
        # The handler has reported its errors already, and they must not end
        # the server.
        with contextlib.suppress(errors.TransportError):
            async with _managed_link(stream, protocol) as link:
                await handler(link)

    await listener.serve(run_connection, host, port)


async def _accept_handshake(
    stream: Any, secret: str
) -> websocket_server.ServerProtocol | None:
    protocol = websocket_server.ServerProtocol(
        max_size=messages.FRAME_BYTES_LIMIT
    )
    events: list[Any] = []
    while not events:
        data = await stream.recv(READ_BYTES)
        if not data:
            return None
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            await stream.sendall(b"".join(protocol.data_to_send()))
            return None
        events = protocol.events_received()
    request, *early = events
    response = _choose_response(protocol, request, secret)
    if response.status_code != 101:
        # The protocol cannot send it if what came behind the request was odd.
        await stream.sendall(response.serialize())
        return None
    # Frames before the answer, which may have ended the protocol already.
    if early or protocol.eof_sent:
        return None
    protocol.send_response(response)
    await stream.sendall(b"".join(protocol.data_to_send()))
    return protocol


def _choose_response(
    protocol: websocket_server.ServerProtocol, request: Any, secret: str
) -> Any:
    # A repeated header is joined into a value that never matches.
    received = "\n".join(request.headers.get_all("Authorization"))
    expected = f"Bearer {secret}"
    if not hmac.compare_digest(received.encode(), expected.encode()):
        return protocol.reject(401, "wrong secret between processes\n")
    return protocol.accept(request)
