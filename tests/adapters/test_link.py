"""Tests of links: the handshake and the connection limit."""

import contextlib

import curio
from websockets import server as websocket_server

from samphirevale import errors, messages
from samphirevale.adapters import link
from tests import base

HOST = "127.0.0.1"
SECRET = "secret"
HELLO = messages.Hello("sidecar-1", "i1", "sidecar", "dc1", "e1", "engines")


class HandshakeTest(base.TestCase):
    """The sidecar's first message may arrive with its handshake response."""

    async def serve_at_once(self, stream, _) -> None:
        """Answers the handshake and sends a message in one write."""
        protocol = websocket_server.ServerProtocol()
        request = None
        while request is None:
            protocol.receive_data(await stream.recv(65536))
            request = next(iter(protocol.events_received()), None)
        protocol.send_response(protocol.accept(request))
        protocol.send_binary(messages.encode_frame(HELLO, 3))
        await stream.sendall(b"".join(protocol.data_to_send()))
        with contextlib.suppress(OSError):
            await stream.recv(65536)

    async def test_first_message_is_not_lost(self):
        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, HOST, port, self.serve_at_once, daemon=True
        )
        await curio.sleep(0.05)
        async with (
            curio.timeout_after(2.0),
            link.dial(HOST, port, SECRET) as connection,
        ):
            frame = await connection.receive()
        self.assertEqual(frame.message, HELLO)
        self.assertEqual(frame.revision, 3)
        await server.cancel()


class OddHandshakeTest(base.TestCase):
    """Bytes behind the request of a handshake."""

    async def ask(self, secret, behind):
        """Returns the answer to a handshake with some bytes behind it."""
        request = (
            b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
            b"Authorization: Bearer " + secret + b"\r\n\r\n"
        )

        async def read_all(connection):
            with contextlib.suppress(errors.TransportError):
                while True:
                    await connection.receive()

        port = base.find_free_port()
        server = await curio.spawn(
            link.serve, read_all, HOST, port, SECRET, daemon=True
        )
        await curio.sleep(0.05)
        client = await curio.open_connection(HOST, port)
        async with client:
            await client.sendall(request + behind)
            answer = await client.recv(65536)
        await server.cancel()
        return answer

    async def test_refusal_is_written_whatever_comes_behind_the_request(self):
        """An odd frame behind a wrong secret raised an error of the program."""
        answer = await self.ask(b"other", b"\x00\x00")
        self.assertTrue(answer.startswith(b"HTTP/1.1 401 "), answer)

    async def test_no_link_begins_with_frames_before_the_answer(self):
        """A close before the answer raised an error of the program.

        Seed 810001 of tests.fuzz.test_links with 5,000 inputs.
        """
        early_close = b"\x88\xfe\x00\x00\x00\x00\x00\x00"
        with self.assertNoLogs("curio", "ERROR"):
            answer = await self.ask(SECRET.encode(), early_close)
        self.assertEqual(b"", answer)


class LimitTest(base.TestCase):
    """Connections over a server's limit."""

    async def test_a_connection_over_the_limit_is_closed_until_another_ends(
        self,
    ):
        async def wait_for_end(connection):
            await connection.receive()

        port = base.find_free_port()
        server = await curio.spawn(
            link.serve, wait_for_end, HOST, port, SECRET, 1, daemon=True
        )
        await curio.sleep(0.05)
        async with link.dial(HOST, port, SECRET):
            with self.assertRaises(errors.ConnectError):
                async with link.dial(HOST, port, SECRET):
                    self.fail("a second connection was accepted")
        await curio.sleep(0.05)
        async with link.dial(HOST, port, SECRET):
            pass
        await server.cancel()
