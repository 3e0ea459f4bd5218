"""Tests of the registrations of entries in the store."""

from samphirevale import registrations
from samphirevale.ports import objects
from tests import base


class RegistrationTest(base.TestCase):
    """Tests the decoding of stored registrations."""

    def test_registration_is_decoded_as_it_was_encoded(self):
        registration = registrations.Registration("n", "h", 2, "x", 0.3)
        value = registrations.encode_registration(registration)
        stored = objects.StoredObject(registrations.KIND, "n", 1, value)
        found = registrations.decode_registration(stored)
        self.assertEqual(registration, found)

    def test_processor_of_a_registration_may_be_missing_but_not_absurd(self):
        value = {"host": "h", "port": 2, "token": "x"}
        stored = objects.StoredObject(registrations.KIND, "n", 1, value)
        found = registrations.decode_registration(stored)
        self.assertEqual(1.0, found.processor)
        for processor in (
            *(0, -1, "2", None, True),
            *(float("nan"), float("inf"), 10**400, 5e-324),
        ):
            wrong = stored._replace(value=value | {"processor": processor})
            self.assertIsNone(registrations.decode_registration(wrong))

    def test_malformed_registration_is_none(self):
        sound = {"host": "h", "port": 2, "token": "x"}
        for value in (
            *(None, [], {}, objects.UNREADABLE),
            sound | {"host": 1},
            sound | {"host": "\ud800"},
            sound | {"port": True},
            sound | {"port": 0},
            sound | {"port": 65536},
            sound | {"token": "x\r\nOther: y"},
        ):
            stored = objects.StoredObject(registrations.KIND, "n", 1, value)
            self.assertIsNone(registrations.decode_registration(stored))
