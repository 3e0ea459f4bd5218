"""Fuzzes the objects that entries read from the platform's store.

One odd object lies among sound ones. Seen from outside, it names nothing to
use, and the others hold: they are known, and changes of them take effect.
"""

import contextlib
import json

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    crashing_part_store,
    errors,
    gateway,
    messages,
    registrations,
    settled_era,
    stored_values,
)
from samphirevale.adapters import json_parts, store_client
from samphirevale.origins import records
from samphirevale.platform import __main__ as program
from samphirevale.platform import cordon_objects, endpoint_objects, node_file
from samphirevale.platform import store as platform_store
from samphirevale.ports import objects
from tests import base, odd_values, proxy_fakes, test_gateway_settings
from tests.fuzz import inputs
from tests.platform import sessions

SETTINGS = test_gateway_settings.SETTINGS._replace(cordon_seconds=5.0)

ENDPOINT = sessions.build_registration("plain1", 80)
ENTRY = {"host": "10.0.0.9", "port": 7000, "token": "t", "processor": 1.0}
RECORD = {"origins": [["plain", "v1"]], "moved": {}, "streams": {"a": 0}}


PARTS = {"groups": [{"parts": ["p", "q"], "ends_at": 4e9}]}

# The newest version that a manifest can have.
LAST_VERSION = stored_values.INTEGER_LIMIT


class StopError(curio.CancelledError):
    """Ends a watcher, which otherwise runs until cancelled."""


class ScriptedStore(platform_store.PlatformStore):
    """Answers all reads with bodies in order."""

    def __init__(self, bodies):
        super().__init__("http://127.0.0.1:9")
        self._bodies = list(bodies)
        self.written = []

    async def read(self, target, seconds=None, levels=0):
        if not self._bodies:
            raise StopError
        value = json_parts.parse_parts(self._bodies.pop(0), levels)
        if value is objects.UNREADABLE:
            raise errors.StoreUnavailableError("not JSON")
        return store_client.Reply(200, value, {})

    async def write(self, method, target, value, request_headers=()):
        self.written.append(value)
        return store_client.Reply(200, {"metadata": {"revision": 6}}, {})


def nest(depth):
    """Returns a text that nests objects."""
    return '{"a":' * depth + "1" + "}" * depth


def encode(value):
    """Returns the text of a value, as lax writers write it."""
    return json.dumps(value).encode()


# Texts that no strategy of values brings: too deep, too long, no characters.
RAW_TEXTS = strategies.one_of(
    strategies.integers(0, 2000).map(lambda n: nest(n).encode()),
    strategies.integers(1, 6000).map(lambda n: b"-" + b"7" * n),
    strategies.binary(max_size=6).map(
        lambda data: b'"' + data.replace(b'"', b"").replace(b"\\", b"") + b'"'
    ),
    strategies.integers(-9999, 9999).map(lambda n: b"1e%d" % n),
    strategies.sampled_from([b"tru", b"-", b"01", b'"\\ud800"', b'"\\x"']),
)


def build_specs(sound):
    """Returns a strategy for texts of odd objects.

    They are sound ones with odd fields or odd values at any depth, or any text.
    """
    texts = strategies.one_of(RAW_TEXTS, odd_values.VALUES.map(encode))
    names = [*sound, "other"]

    def join(fields):
        members = {name: encode(value) for name, value in sound.items()}
        members |= fields
        return (
            b"{"
            + b",".join(
                encode(name) + b":" + text for name, text in members.items()
            )
            + b"}"
        )

    fields = strategies.dictionaries(
        strategies.sampled_from(names), texts, min_size=1, max_size=3
    )
    changed = odd_values.build_changed(sound) if sound else odd_values.VALUES
    return strategies.one_of(fields.map(join), changed.map(encode), texts)


def build_object(name, text, revision=5):
    """Returns the text of a stored object."""
    metadata = encode({"name": name, "revision": revision})
    return b'{"metadata":' + metadata + b',"spec":' + text + b',"status":null}'


def build_list(*found):
    """Returns the answer to a list."""
    return b'{"items":[' + b",".join(found) + b'],"more_pages":false,"at":5}'


def build_events(*found):
    """Returns the answer to a watch."""
    events = [b'{"deleted":false,"object":' + item + b"}" for item in found]
    return b'{"events":[' + b",".join(events) + b'],"at":6}'


def build_gateway(bodies):
    """Returns an entry, of which nothing runs yet."""
    file = node_file.NodeFile(SETTINGS, "http://127.0.0.1:9")
    adapters = program.build_platform_adapters(file)._replace(
        store=ScriptedStore(bodies)
    )
    return gateway.Gateway(
        SETTINGS, adapters, proxy_fakes.FakeClock(), proxy_fakes.FakeJournal()
    )


async def read(kind, *bodies):
    """Runs the watch of a kind on some answers; returns the entry."""
    entry = build_gateway(bodies)
    (watcher,) = [
        watcher
        for watcher in entry.cluster_watch.build_watchers()
        if watcher._kind == kind
    ]
    with contextlib.suppress(StopError):
        await watcher.run()
    return entry


class StoredObjectsTest(base.TestCase):
    """Tests each kind that is read with one odd object of it."""

    @inputs.limit_inputs
    @hypothesis.given(
        build_specs(ENDPOINT), build_specs(ENDPOINT), odd_values.VALUES
    )
    def test_endpoints(self, odd, later, revision):
        sound = [
            build_object(name, encode(ENDPOINT | {"address": address}))
            for name, address in (("a", "10.0.0.1:80"), ("c", "10.0.0.2:80"))
        ]
        drained = build_object("a", encode(ENDPOINT | {"state": "draining"}))
        entry = curio.run(
            read(
                endpoint_objects.KIND,
                build_list(
                    sound[0], build_object("b", odd, revision), sound[1]
                ),
                build_events(build_object("b", later), drained),
            )
        )
        known = entry.cluster_state
        accepting = {e.name for e in known.catalogue.list_accepting("plain")}
        self.assertEqual({"c"}, accepting - {"b"})
        self.assertFalse(known.catalogue.find("a").accepting)
        for endpoint in known.catalogue.list_all():
            self.assertIn(endpoint.port, range(1, 65536))
            f"{endpoint}".encode()
            json.dumps(known.list_origins(), default=list)

    @inputs.limit_inputs
    @hypothesis.given(build_specs(ENTRY), build_specs(ENTRY))
    def test_entries(self, odd, later):
        sound = encode(ENTRY)
        entry = curio.run(
            read(
                registrations.KIND,
                build_list(build_object("a", sound), build_object("b", odd)),
                build_events(
                    build_object("b", later), build_object("c", sound)
                ),
            )
        )
        self.assertLessEqual({"a", "c"}, set(entry.table.list_registered()))

    @inputs.limit_inputs
    @hypothesis.given(build_specs({}), odd_values.TEXTS)
    def test_cordons(self, odd, name):
        entry = curio.run(
            read(
                cordon_objects.KIND,
                build_list(build_object("a", odd), build_object(name, b"{}")),
                build_events(build_object("b", odd)),
            )
        )
        cordoned = entry.cluster_state.cordons.newest.names
        self.assertLessEqual({"a", "b"}, cordoned)
        for each in cordoned:
            each.encode()

    @inputs.limit_inputs
    @hypothesis.given(build_specs(sessions.build_manifest()))
    def test_routes(self, odd):
        table = encode(sessions.build_manifest(version=LAST_VERSION))
        entry = curio.run(
            read(
                "config",
                build_list(build_object("main", odd)),
                build_events(
                    build_object("other", odd), build_object("main", table)
                ),
            )
        )
        self.assertEqual(LAST_VERSION, entry.cluster_state.table.version)

    @inputs.limit_inputs
    @hypothesis.given(
        build_specs(ENTRY),
        build_specs(PARTS),
        build_specs({"era": 4}),
        strategies.sampled_from(["list", "watch"]),
    )
    def test_shared(self, own, parts, era, kind):
        """Odd objects that all entries write lie beside a sound entry."""
        odd = [
            build_object(SETTINGS.instance, own),
            build_object(crashing_part_store.NAME, parts),
            build_object(settled_era.NAME, era),
            build_object("a", encode(ENTRY)),
        ]
        found = build_list(*odd) if kind == "list" else build_list()
        events = build_events(*(odd if kind == "watch" else odd[-1:]))
        entry = curio.run(read(registrations.KIND, found, events))
        self.assertEqual(["a"], entry.table.list_registered())
        store = entry.crashing_part_store
        groups = store._build_missing(0.0)
        if groups is not None:
            encode(crashing_part_store.encode_groups(groups))
        messages.encode_frame(entry._crashes.build_evidence(), 0)
        self.assertFalse(entry._crashes.refuses(proxy_fakes.build_request()))

    @inputs.limit_inputs
    @hypothesis.given(
        build_specs(RECORD),
        strategies.sampled_from(["x", SETTINGS.instance]),
        odd_values.VALUES,
    )
    def test_records(self, odd, name, revision):
        """An odd record, also an earlier process's, lies beside a sound one."""
        listed = build_list(
            build_object(name, odd, revision),
            build_object("y", encode(RECORD)),
        )
        entry = build_gateway([listed, listed])
        store = entry._adapters.store
        adapters = program.build_platform_adapters(
            node_file.NodeFile(SETTINGS, "http://127.0.0.1:9")
        )
        table = adapters.decode_routes(sessions.build_manifest())
        entry.cluster_state.adopt_table(table)
        find = entry.origin_recorder.find("a", "/write/", {"plain"})
        found = curio.run(find)
        if found is not None:
            records.encode_record(records.OriginRecord(frozenset({found})))
        curio.run(entry.origin_recorder.update)
        for written in store.written:
            encode(written)
