"""Tests of the registrations of entries in the store."""

from samphirevale import registrations
from samphirevale.ports import objects
from tests import base


class RegistrationTest(base.TestCase):
    """Tests the decoding of stored registrations."""

    def test_malformed_registration_is_none(self):
        for value in (None, [], {}, {"host": 1, "port": 2, "token": "x"}):
            stored = objects.StoredObject(registrations.KIND, "n", 1, value)
            self.assertIsNone(registrations.decode_registration(stored))
