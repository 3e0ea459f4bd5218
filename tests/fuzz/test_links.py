"""Fuzzes the bytes of the connections between processes.

Whatever comes in a handshake or behind it, the connection ends with an error of
the transport, and others go on being accepted.
"""

import contextlib

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import entry_messages, errors, messages
from samphirevale.adapters import link as links
from tests import base, odd_values
from tests.fuzz import inputs

SECRET = "secret"

MESSAGE = entry_messages.RoutesAgeRequest(1)
FRAME = messages.encode_frame(MESSAGE, 0)

HANDSHAKE = (
    b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
    b"Sec-WebSocket-Version: 13\r\nAuthorization: Bearer secret\r\n\r\n"
)


def mask(opcode, data, fin=True, reserved=0):
    """Returns the bytes of a frame of a client, with a mask of zeros."""
    first = (0x80 if fin else 0) | reserved << 4 | opcode
    size = bytes([0x80 | 126]) + len(data).to_bytes(2, "big")
    return bytes([first]) + size + bytes(4) + data


FRAMES = strategies.one_of(
    strategies.builds(
        mask,
        strategies.integers(0, 15),
        strategies.one_of(
            strategies.binary(max_size=200), strategies.just(FRAME)
        ),
        strategies.booleans(),
        strategies.integers(0, 7),
    ),
    strategies.binary(max_size=60),
)


@strategies.composite
def build_handshake(draw):
    """Draws a handshake with odd bytes, or a sound one."""
    data = HANDSHAKE
    kind = draw(strategies.sampled_from(["", "cut", "insert", "header"]))
    position = draw(strategies.integers(0, len(data)))
    if kind == "cut":
        return data[:position]
    if kind == "insert":
        odd = draw(strategies.binary(max_size=20))
        return data[:position] + odd + data[position + len(odd) :]
    if kind == "header":
        name = draw(
            strategies.sampled_from(
                [b"Authorization", b"Host", b"Sec-WebSocket-Key", b"Upgrade"]
            )
        )
        text = draw(odd_values.TEXTS).encode(errors="surrogatepass")
        odd = name + b": " + text + b"\r\n"
        return data[:-2] + odd + b"\r\n"
    return data


class LinksTest(base.TestCase):
    """Tests a server of links with one odd client beside a sound one."""

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.one_of(strategies.just(HANDSHAKE), build_handshake()),
        strategies.lists(FRAMES, max_size=4).map(b"".join),
    )
    def test_bytes(self, handshake, data):
        with self.assertNoLogs("curio", "ERROR"):
            curio.run(self.check_bytes, handshake, data)

    async def check_bytes(self, handshake, data):
        port = base.find_free_port()
        task = await curio.spawn(
            links.serve, self.handle, "127.0.0.1", port, SECRET, daemon=True
        )
        for _ in range(3):
            await curio.sleep(0)
        with contextlib.suppress(OSError):
            client = await curio.open_connection("127.0.0.1", port)
            async with client:
                await client.sendall(handshake + data)
                await client.shutdown(1)
                async with curio.ignore_after(0.5):
                    while await client.recv(65536):
                        pass
        async with links.dial("127.0.0.1", port, SECRET) as link:
            await link.send(MESSAGE, 7)
            frame = await link.receive()
        self.assertEqual((7, MESSAGE), (frame.revision, frame.message))
        await task.cancel()

    async def handle(self, link):
        """Sends back what it receives; only errors of a transport end it."""
        try:
            while True:
                frame = await link.receive()
                await link.send(frame.message, frame.revision)
        except errors.TransportError:
            pass
