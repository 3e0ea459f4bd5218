"""Tests of the ports that programs are given."""

import socket

from lab import processes
from tests import base

HOST = "127.0.0.1"


class PortTest(base.TestCase):
    """Ports of programs that do not listen yet, or not any more."""

    def test_port_is_held_for_its_program(self):
        port = processes.choose_port()
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((HOST, port))
        self.assertIsNone(processes.hold_port(port))

    def test_program_listens_on_its_port_again_and_again(self):
        port = processes.choose_port()
        for _ in range(2):
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((HOST, port))
            with socket.create_server((HOST, port)):
                socket.create_connection((HOST, port)).close()
            self.assertIsNone(processes.hold_port(port))

    def test_port_is_free_once_its_socket_is_closed(self):
        holders = filter(None, map(processes.hold_port, processes.PORTS))
        with next(holders) as holder:
            port = holder.getsockname()[1]
            self.assertIsNone(processes.hold_port(port))
        with processes.hold_port(port) as holder:
            self.assertEqual(port, holder.getsockname()[1])
