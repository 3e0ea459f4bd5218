"""The helpers that several tests share."""

from tests import base


class FreePortTest(base.TestCase):
    """Ports for servers."""

    def test_none_is_returned_twice(self):
        ports = [base.find_free_port() for _ in range(500)]
        self.assertEqual(500, len(set(ports)))
