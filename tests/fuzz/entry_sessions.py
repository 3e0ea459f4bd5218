"""An entry whose store and endpoints are fakes, and what must hold of it."""

import json
import math
from unittest import mock

import curio

from samphirevale import (
    batching,
    entry_messages,
    errors,
    gateway,
    messages,
    reports,
)
from samphirevale.adapters import json_parts, store_client
from samphirevale.platform import __main__ as program
from samphirevale.platform import endpoint_objects, headers, manifest, node_file
from tests import base, proxy_fakes
from tests.fuzz import entry_links, test_stored_objects
from tests.platform import sessions

# The era of the store, and the last one that it can state.
ERA = 4
LAST_ERA = 999_999_999

# The largest whole number that a message may pass on, and the largest time.
LARGEST = 2**63 - 1

# The longest text that a message passes on, in characters.
LONGEST_TEXT = 256

# The largest message that an entry sends, in bytes.
FRAME_BYTES = messages.FRAME_BYTES_LIMIT / 2

SOUND_LOAD = ["plain1", 4, 900]
SOUND_REPORT = entry_messages.EntryReport(
    queues=[],
    loads=[SOUND_LOAD],
    crashed=[],
    pauses=[["kept1", 1, 5000]],
    limits=[],
)

REQUEST = proxy_fakes.build_request()


class PagedStore(test_stored_objects.ScriptedStore):
    """Answers reads with bodies in order, and states its era."""

    def put(self, body):
        self._bodies.append(body)

    async def read(self, target, seconds=None, levels=0):
        if not self._bodies:
            raise test_stored_objects.StopError
        value = json_parts.parse_parts(self._bodies.pop(0), levels)
        return store_client.Reply(200, value, {headers.STORE_ERA: str(ERA)})


def build_gateway(endpoints):
    """Returns an entry whose store and endpoints are fakes."""
    file = node_file.NodeFile(
        test_stored_objects.SETTINGS, "http://127.0.0.1:9"
    )
    adapters = program.build_platform_adapters(file)._replace(
        store=PagedStore([]), build_endpoints=lambda listener: endpoints
    )
    return gateway.Gateway(
        test_stored_objects.SETTINGS,
        adapters,
        proxy_fakes.FakeClock(10_000.0),
        proxy_fakes.FakeJournal(),
    )


class EncodingEndpoints(proxy_fakes.FakeEndpoints):
    """Runs all items, of which a call must be encodable."""

    async def run_batch(self, endpoint, items, now):
        json.dumps([item._replace(ticket=None) for item in items])
        return await super().run_batch(endpoint, items, now)


def list_endpoints(**changes):
    """Returns the answer to a list of two endpoints of each service."""
    names = [f"{name}{n}" for name in ("plain", "model", "first") for n in "12"]
    found = [
        test_stored_objects.build_object(
            name,
            test_stored_objects.encode(
                sessions.build_registration(name, 80, **changes)
            ),
        )
        for name in names
    ]
    return test_stored_objects.build_list(*found)


def list_table(version):
    value = test_stored_objects.encode(sessions.build_manifest(version))
    return test_stored_objects.build_list(
        test_stored_objects.build_object(manifest.NAME, value)
    )


async def read_store(entry, kind, body):
    """Lets an entry list a kind."""
    entry._adapters.store.put(body)
    for watcher in entry.cluster_watch.build_watchers():
        if watcher._kind == kind:
            try:
                await watcher.run()
            except test_stored_objects.StopError:
                return


def check_values(test, value):
    """Checks that all values in a message can be used by every reader."""
    if isinstance(value, list | tuple):
        for item in value:
            check_values(test, item)
    elif isinstance(value, str):
        test.assertLessEqual(len(value), LONGEST_TEXT)
    elif isinstance(value, int | float):
        test.assertTrue(math.isfinite(value), value)
        test.assertLessEqual(abs(value), LARGEST)
    else:
        test.fail(f"{value!r} in a message")


class EntryTestCase(base.TestCase):
    """Tests one entry with a link to a sound one."""

    def setUp(self):
        # No link falls silent, however slow the machine is.
        self.enterContext(mock.patch.object(reports, "SILENCE_SECONDS", 600.0))

    async def start(self):
        self.endpoints = EncodingEndpoints()
        self.entry = build_gateway(self.endpoints)
        self.clock = self.entry.clock
        await read_store(self.entry, manifest.KIND, list_table(1))
        await read_store(self.entry, endpoint_objects.KIND, list_endpoints())
        self.entry.cluster_watch.eras.settle()
        hello = messages.Hello("s", "t", "entry", "a", "", "")
        self.sound = entry_links.ScriptedLink([hello, SOUND_REPORT])
        self.sound_task = await curio.spawn(self.run_link, self.sound)
        await self.let_run()

    async def run_link(self, link):
        """Runs a link as the server of links does."""
        try:
            await self.entry.table.run_link(link)
        except errors.TransportError:
            await link.ended.set()

    async def let_run(self):
        """Lets other tasks run until they wait."""
        for _ in range(12):
            await curio.sleep(0)

    def check_requests(self):
        """Checks what decides where requests go."""
        now = self.clock.now()
        known = self.entry.cluster_state
        runner = self.entry.item_runner
        work = batching.NewItems(2, 2000, False)
        for endpoint in known.catalogue.list_all():
            limits = known.find_batch_limits(endpoint.service)
            if limits is not None:
                seconds = runner.estimate_seconds(endpoint, limits, work, now)
                self.assertTrue(0 <= seconds < 1e12, seconds)
            self.assertLess(known.notices.compute_pause(endpoint, now), 61.0)
        self.assertIn(
            "plain1", {e.name for e in known.list_available("plain", now)}
        )
        for seconds in self.entry._demands.sum_up("plain", now).values():
            self.assertTrue(0 <= seconds < 1e12)
        self.assertFalse(self.entry._crashes.refuses(REQUEST))
        self.entry._quarantine.decide("f", now)

    async def check_sent(self):
        """Checks all that this entry sends, also to one that connects."""
        now = self.clock.now()
        other = entry_links.ScriptedLink()
        entry = self.entry
        await entry._crashes.send_pending()
        await other.send(entry._build_report(now), 0)
        await other.send(entry._notices.build_leaving(), 0)
        await other.send(entry._crashes.build_evidence(), 0)
        for found in (other, self.sound):
            for message in found.sent:
                check_values(self, message)
            for frame in found.frames:
                self.assertLess(len(frame), FRAME_BYTES)
