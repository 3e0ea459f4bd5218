"""Tests of the shared test helpers."""

import socket

import curio

from lab import processes
from tests import base


class FreePortTest(base.TestCase):
    """Free ports for servers."""

    def test_ports_are_not_repeated(self):
        ports = [base.find_free_port() for _ in range(500)]
        self.assertEqual(500, len(set(ports)))

    def test_port_is_held_for_its_server(self):
        port = base.find_free_port()
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.1", port))

    def test_ports_of_programs_are_others(self):
        self.assertFalse(set(base.PORTS) & set(processes.PORTS))


class ReplacedMethodTest(base.TestCase):
    """Helpers of a test class keep the assertions of unittest."""

    def test_helper_that_replaces_an_assertion_is_an_error(self):
        async def fail(self):
            pass

        with self.assertRaisesRegex(TypeError, "HelperTest replaces fail"):
            type("HelperTest", (base.TestCase,), {"fail": fail})


class GroupTest(base.TestCase):
    """Tasks of a group whose checks fail."""

    async def test_failed_check_of_a_task_is_lost(self):
        async def fail():
            self.assertTrue(False)

        with self.assertRaises(AssertionError):
            async with base.open_group() as group:
                await group.spawn(curio.sleep, 10.0)
                await group.spawn(fail)
