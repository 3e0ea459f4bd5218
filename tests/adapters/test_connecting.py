"""Tests of how TCP connections are opened."""

import socket
import threading
from unittest import mock

from curio import socket as curio_socket

from samphirevale.adapters import connecting
from tests import base

FAMILIES = {"127.0.0.1": socket.AF_INET, "::1": socket.AF_INET6}


class OpenStreamTest(base.TestCase):
    """Opens connections to a socket that listens."""

    async def open_and_read(self, host):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            async with await connecting.open_stream(host, port) as stream:
                accepted, _ = server.accept()
                with accepted:
                    accepted.sendall(b"abc")
                    self.assertEqual(b"abc", await stream.recv(10))

    async def test_address_takes_no_thread(self):
        before = threading.active_count()
        await self.open_and_read("127.0.0.1")
        self.assertEqual(before, threading.active_count())

    async def test_name_is_looked_up(self):
        await self.open_and_read("localhost")

    async def test_family_is_that_of_the_address(self):
        for host, family in FAMILIES.items():
            with (
                self.subTest(host=host),
                mock.patch.object(connecting.socket, "socket") as opened,
            ):
                opened.return_value.connect = mock.AsyncMock()
                await connecting.open_stream(host, 80)
                opened.assert_called_once_with(family, socket.SOCK_STREAM)

    async def test_refused_connection_raises_an_error_and_is_closed(self):
        opened = []

        def record(*arguments):
            opened.append(curio_socket.io.Socket(socket.socket(*arguments)))
            return opened[-1]

        with (
            mock.patch.object(connecting.socket, "socket", record),
            self.assertRaises(ConnectionRefusedError),
        ):
            await connecting.open_stream("127.0.0.1", base.find_free_port())
        self.assertEqual(-1, opened[0].fileno())
