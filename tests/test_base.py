"""Tests of the shared test helpers."""

from tests import base


class FreePortTest(base.TestCase):
    """Free ports for servers."""

    def test_ports_are_not_repeated(self):
        ports = [base.find_free_port() for _ in range(500)]
        self.assertEqual(500, len(set(ports)))
