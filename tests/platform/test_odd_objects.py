"""Tests of sessions while another writer leaves odd objects in the store."""

import json

import curio

from samphirevale import crashing_part_store, registrations
from samphirevale.origins import records
from standins import metadata_store
from tests.platform import sessions

# The longest time from a change to its effect, in seconds: the bound within
# which an endpoint that leaves gets no more requests.
EFFECT_SECONDS = 2.0

# The number of digits of the longest numbers, and the deepest nesting.
DIGITS = 5_000
DEPTH = 100_000

# The number of requests of each kind beside an odd registration.
REQUESTS = 3

SOUND = sessions.build_registration("plain1", 9)


def nest(depth):
    """Returns a text that nests arrays."""
    return "[" * depth + "]" * depth


def build_raw(**fields):
    """Returns a registration with some fields written as raw texts."""
    members = {name: json.dumps(value) for name, value in SOUND.items()}
    members |= fields
    texts = [f'"{name}": {text}' for name, text in members.items()]
    text = "{" + ", ".join(texts) + "}"
    return metadata_store.RawText(text.encode("utf-8", "surrogateescape"))


MANY_DIGITS = "9" * DIGITS

ODD_FIELDS = {
    "port with a superscript": build_raw(address='"127.0.0.1:874\\u00b2"'),
    "port with foreign digits": build_raw(address='"127.0.0.1:\\u0668\\u0660"'),
    "port of many digits": build_raw(address=f'"127.0.0.1:{MANY_DIGITS}"'),
    "port out of range": build_raw(address='"127.0.0.1:70000"'),
    "port 0": build_raw(address='"127.0.0.1:0"'),
    "host with a lone surrogate": build_raw(address='"\\ud800:80"'),
    "host that is no address": build_raw(address='"a b\\r\\nc:80"'),
    "data centre with a lone surrogate": build_raw(zone='"\\ud800"'),
    "service with a lone surrogate": build_raw(service='"\\udfff"'),
    "stage service in an odd data centre": build_raw(
        service='"first"', zone='"\\ud800"'
    ),
    "version with a lone surrogate": build_raw(
        service='"model"', version='"\\ud800"'
    ),
    "version of a megabyte": build_raw(
        service='"model"', version=json.dumps("v" * 900_000)
    ),
    "slots of 400 digits": build_raw(slots="9" * 400),
    "start of many digits": build_raw(born="9" * 400),
    "nested deeply but readable": build_raw(version=nest(700)),
    "number with a huge exponent": build_raw(slots="1e400"),
    "not a number": build_raw(slots="NaN"),
    "negative slots": build_raw(slots="-1"),
    "negative start": build_raw(born="-1"),
    "no fields": metadata_store.RawText(b"{}"),
    "nothing": metadata_store.RawText(b"null"),
}

# What makes a parser give up on the whole text around it.
UNREADABLE = {
    "slots of many digits": build_raw(slots=MANY_DIGITS),
    "nested fields": build_raw(other=nest(DEPTH)),
    "bytes that are no text": build_raw(zone='"\udcff\udcfe"'),
    "nested array": metadata_store.RawText(nest(DEPTH).encode()),
    "number": metadata_store.RawText(MANY_DIGITS.encode()),
}


class OddRegistrationTest(sessions.SessionTestCase):
    """One odd registration names nothing to use, and the others hold."""

    async def check_followed(self):
        """Checks that a change to another server takes effect in time."""
        async with curio.timeout_after(EFFECT_SECONDS):
            self.change_server("plain2", state="draining")
            await self.wait_until_accepting("plain1")
        async with curio.timeout_after(EFFECT_SECONDS):
            self.change_server("plain2")
            await self.wait_until_accepting("plain1", "plain2")

    async def check_held(self, case, odd):
        """Checks what an odd registration does to a running entry.

        Args:
            case: what is odd.
            odd: the registration.
        """
        with self.subTest(case):
            self.store.put("servers", "odd1", odd)
            await self.check_followed()
            self.assertFalse(self.task.terminated)
            found = self.gateway.cluster_state.catalogue.find("odd1")
            self.assertIsNone(found)
            self.assertIn("registration_malformed", self.log.list_events())
            for _ in range(REQUESTS):
                await self.read()
                await self.check_stream()
        self.store.remove("servers", "odd1")

    async def test_odd_field_ends_no_process_and_names_nothing(self):
        """A field of a port or number that no code can use ends no process."""
        async with self.run_all():
            for case, odd in ODD_FIELDS.items():
                await self.check_held(case, odd)

    async def test_process_starts_beside_odd_registrations(self):
        """An entry that starts lists what is odd, and serves."""
        async with self.run_all():
            for number, odd in enumerate(ODD_FIELDS.values()):
                self.store.put("servers", f"odd{number}", odd)
            await self.kill_entry()
            await self.start_entry()
            await self.check_followed()
            await self.check_stream()

    async def test_list_is_followed_beside_an_unreadable_object(self):
        """The changes of other objects in the same answer are in force."""
        async with self.run_all():
            for case, odd in UNREADABLE.items():
                await self.check_held(case, odd)

    async def test_an_object_that_has_become_unreadable_is_not_used(self):
        async with self.run_all():
            self.store.put("servers", "plain1", UNREADABLE["nested fields"])
            await self.wait_until_accepting("plain2")
            self.change_server("plain1")
            await self.wait_until_accepting("plain1", "plain2")

    async def test_process_starts_beside_unreadable_objects(self):
        """An entry that starts lists them, also where they fill a page."""
        async with self.run_all():
            for number, odd in enumerate(UNREADABLE.values()):
                self.store.put("servers", f"odd{number}", odd)
            await self.kill_entry()
            await self.start_entry()
            await self.check_followed()
            await self.check_stream()


class OddOwnObjectTest(sessions.SessionTestCase):
    """Odd objects among those that entries write themselves."""

    async def test_entry_goes_on_and_starts_beside_odd_objects(self):
        """A number too large for a float, among others, ends no process."""
        parts = {"parts": ["x"], "ends_at": 10**400}
        async with self.run_all():
            self.store.put(
                registrations.KIND,
                crashing_part_store.NAME,
                {"groups": [parts]},
            )
            odd = {"host": "\ud800", "port": 10**9, "token": "\n"}
            self.store.put(registrations.KIND, "odd1", odd)
            odd = {"origins": [["plain", 5]], "moved": {}, "streams": {"a": -1}}
            self.store.put(records.KIND, "odd1", odd)
            await self.check_entries_followed("entry8")
            await self.kill_entry()
            await self.start_entry()
            await self.check_entries_followed("entry9")
            await self.check_stream()

    async def check_entries_followed(self, name):
        """Checks that a registration that is written now is read."""
        other = registrations.Registration(name, "127.0.0.1", 9, "x")
        value = registrations.encode_registration(other)
        self.store.put(registrations.KIND, name, value)
        await self.wait_until(
            lambda: name in self.gateway.table.list_registered()
        )
