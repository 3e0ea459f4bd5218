"""Tests that entries know where streams began after any loss of memory."""

import contextlib

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import errors, store_eras, stream_origins
from samphirevale.origins import own_record, recorder, records
from tests import base, proxy_fakes

OLD = stream_origins.StreamOrigin("plain", "v1")
NEW = stream_origins.StreamOrigin("plain", "v2")
NAMES = ["entry0", "entry1", "entry2"]
UNKNOWN = stream_origins.StreamOrigin("plain", stream_origins.UNKNOWN_VERSION)
VERSIONS = ["v1", "v2", "v3"]

# The timeout of the streams' route, in seconds.
STREAM_SECONDS = 5.0


class FakeEntry:
    """What one process of an entry knows."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.own = own_record.OwnRecord()
        self.cluster = proxy_fakes.build_cluster_state(self.own)
        self.cluster.adopt_table(
            proxy_fakes.build_table(
                [proxy_fakes.build_route(streamed=True, resumable=True)]
            )
        )
        # The names of the entries with an open link.
        self.linked = set()
        eras = proxy_fakes.build_eras(self.cluster)
        if fleet.is_settled():
            # The store says so.
            eras.newest = fleet.store.era
        self.recorder = proxy_fakes.build_recorder(
            fleet.store,
            name,
            self.cluster,
            self.own,
            fleet.clock,
            self.linked,
            eras,
        )
        self.learn()

    def learn(self):
        """Reads which endpoints are registered."""
        self.cluster.catalogue.replace(
            [
                proxy_fakes.build_endpoint(version, "plain", version=version)
                for version in self._fleet.versions
            ],
            self._fleet.clock.now(),
        )
        self.cluster.endpoints_age.confirm(self._fleet.clock.now())

    async def update(self):
        """Writes the record if the store is there; returns whether it is."""
        with contextlib.suppress(errors.StoreError):
            await self.recorder.update()
            return True
        return False

    async def update_era(self):
        """Writes the record again if the store has returned from a copy."""
        with contextlib.suppress(errors.StoreError):
            await self.recorder.find("", "r", {"plain"})
            await self.update()
            await self.update()

    async def begin(self, attempt, version):
        """Begins a stream if it may; returns whether it has begun."""
        origin = stream_origins.StreamOrigin("plain", version)
        endpoint = self.cluster.catalogue.find(version)
        if endpoint is None or not self.cluster.is_recorded(endpoint):
            return False
        until = self._fleet.clock.now() + STREAM_SECONDS
        await self.recorder.record_stream(attempt, origin, until)
        return True

    async def begin_unknown(self, attempt):
        """Begins a stream of no known version if the store has the mark."""
        if not self.recorder.expect_unknown("plain"):
            return False
        await self.update()
        until = self._fleet.clock.now() + STREAM_SECONDS
        await self.recorder.record_stream(attempt, UNKNOWN, until)
        return self.recorder.expects_unknown("plain")

    async def find(self, attempt):
        return await self.recorder.find(attempt, "r", {"plain"})


class FakeFleet:
    """Entries that share a store."""

    def __init__(self, names=NAMES, versions=("v1",), era=1):
        self.clock = proxy_fakes.FakeClock()
        self.store = proxy_fakes.FakeStore()
        self.store.era = era
        self.returned_at = float("-inf")
        self.versions = set(versions)
        self.entries = {}
        # The entries that are cut off from the others.
        self.cut = set()
        for name in names:
            self.start(name)

    def start(self, name):
        """Starts an entry, or a new process of it."""
        self.entries[name] = FakeEntry(self, name)
        self.relink()

    def return_from(self, copy):
        """Lets the store return from a copy."""
        self.store.restore_copy(copy)
        self.returned_at = self.clock.now()

    def is_settled(self):
        """Returns whether entries have written again what a copy lacked."""
        now = self.clock.now()
        return now >= self.returned_at + store_eras.REWRITE_SECONDS

    def relink(self):
        """Opens and closes the links between the entries."""
        for name, entry in self.entries.items():
            entry.linked.clear()
            if name not in self.cut:
                entry.linked.update(self.entries.keys() - self.cut)


class RecorderTest(base.TestCase):
    """Tests what entries find after all of them have started again."""

    async def restart_all(self, fleet):
        for name in fleet.entries:
            fleet.start(name)

    async def test_a_version_that_left_while_all_were_dead_is_a_candidate(self):
        fleet = FakeFleet()
        await fleet.entries["entry0"].update()
        self.assertTrue(await fleet.entries["entry0"].begin("a1", "v1"))
        fleet.versions = {"v2"}
        await self.restart_all(fleet)
        for entry in fleet.entries.values():
            self.assertIsNone(await entry.find("a1"))
            await entry.update()
            self.assertIsNone(await entry.find("a1"))

    async def test_a_version_that_left_long_ago_is_no_candidate(self):
        fleet = FakeFleet()
        for entry in fleet.entries.values():
            await entry.update()
        fleet.versions = {"v2"}
        await self.restart_all(fleet)
        for _ in range(2):
            for entry in fleet.entries.values():
                await entry.update()
            fleet.clock.seconds += 2 * STREAM_SECONDS + 1
        for entry in fleet.entries.values():
            await entry.update()
        self.assertEqual(NEW, await fleet.entries["entry0"].find("a1"))

    async def test_an_entry_that_never_returns_counts_for_a_time_only(self):
        fleet = FakeFleet()
        for entry in fleet.entries.values():
            await entry.update()
        del fleet.entries["entry0"]
        fleet.versions = {"v2"}
        await self.restart_all(fleet)
        for _ in range(2):
            for entry in fleet.entries.values():
                await entry.update()
            self.assertIsNone(await fleet.entries["entry1"].find("a1"))
            fleet.clock.seconds += 2 * STREAM_SECONDS - 1
        fleet.clock.seconds += 2
        for entry in fleet.entries.values():
            await entry.update()
        self.assertEqual(NEW, await fleet.entries["entry1"].find("a1"))

    async def test_streams_beside_a_second_version_are_found(self):
        fleet = FakeFleet(versions=("v1", "v2"))
        entry = fleet.entries["entry0"]
        await entry.update()
        await entry.begin("a1", "v1")
        await entry.begin("a2", "v2")
        await entry.update()
        await self.restart_all(fleet)
        for entry in fleet.entries.values():
            self.assertEqual(OLD, await entry.find("a1"))
            self.assertEqual(NEW, await entry.find("a2"))
            self.assertIsNone(await entry.find("a3"))

    async def test_a_write_that_is_executed_late_removes_nothing(self):
        fleet = FakeFleet(["entry0"])
        entry = fleet.entries["entry0"]
        fleet.store.loses_answer = True
        self.assertFalse(await entry.update())
        fleet.versions = {"v1", "v2"}
        entry.learn()
        self.assertTrue(await entry.update())
        self.assertTrue(await entry.begin("a1", "v2"))
        fleet.store.execute_late()
        fleet.versions = {"v1"}
        fleet.start("entry0")
        self.assertIsNone(await fleet.entries["entry0"].find("a1"))

    async def test_without_the_store_nothing_is_inferred(self):
        fleet = FakeFleet()
        await fleet.entries["entry0"].update()
        fleet.store.away = True
        self.assertIsNone(await fleet.entries["entry0"].find("a1"))

    async def test_streams_that_ask_at_once_share_a_read(self):
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        reads = []
        list_at = fleet.store.list_at

        async def count(kind):
            reads.append(kind)
            await curio.sleep(0.01)
            return await list_at(kind)

        fleet.store.list_at = count
        async with base.open_group() as group:
            for number in range(20):
                await group.spawn(entry.find, f"a{number}")
        self.assertLessEqual(len(reads), 2)

    async def test_nothing_is_written_without_a_change(self):
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        await entry.update()
        for number in range(20):
            await entry.begin(f"a{number}", "v1")
            fleet.clock.seconds += 1
            self.assertFalse(await entry.recorder.update())
        self.assertEqual(1, fleet.store.writes)

    async def test_an_entry_without_resumable_streams_has_nothing_to_write(
        self,
    ):
        fleet = FakeFleet(["entry0"], era=None)
        entry = fleet.entries["entry0"]
        entry.cluster.adopt_table(
            proxy_fakes.build_table([proxy_fakes.build_route()], version=2)
        )
        self.assertFalse(entry.recorder.is_settled)
        self.assertFalse(await entry.recorder.update())
        self.assertTrue(entry.recorder.is_settled)
        self.assertEqual(0, fleet.store.writes)

    async def test_an_entry_is_not_settled_before_it_knows_endpoints(self):
        fleet = FakeFleet(["entry0"], versions=(), era=None)
        entry = fleet.entries["entry0"]
        entry.cluster.endpoints_age.confirmed_at = None
        self.assertFalse(await entry.recorder.update())
        self.assertFalse(entry.recorder.is_settled)

    async def test_an_entry_is_not_settled_by_a_record_that_lacks_endpoints(
        self,
    ):
        """Its first streams would be refused as of a version not recorded."""
        fleet = FakeFleet(["entry0"], versions=())
        entry = fleet.entries["entry0"]
        entry.cluster.endpoints_age.confirmed_at = None
        # A new era asks for a write in any case.
        fleet.return_from(fleet.store.take_copy())
        await entry.recorder.find("", "r", {"plain"})
        replace_version = fleet.store.replace_version

        async def learn_meanwhile(*arguments):
            version = await replace_version(*arguments)
            fleet.versions.add("v1")
            entry.learn()
            return version

        fleet.store.replace_version = learn_meanwhile
        self.assertTrue(await entry.recorder.update())
        self.assertFalse(entry.recorder.is_settled)
        self.assertTrue(await entry.recorder.update())
        self.assertTrue(entry.recorder.is_settled)
        self.assertTrue(await entry.begin("a1", "v1"))

    async def test_an_entry_is_settled_once_its_record_is_written(self):
        fleet = FakeFleet(["entry0"])
        entry = fleet.entries["entry0"]
        fleet.store.away = True
        self.assertFalse(await entry.update())
        self.assertFalse(entry.recorder.is_settled)
        fleet.store.away = False
        await entry.update()
        self.assertTrue(entry.recorder.is_settled)

    async def test_a_malformed_record_may_hide_any_version(self):
        """Nothing is inferred until its entry's streams must be over."""
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        await entry.update()
        await fleet.store.replace_version(records.KIND, "broken", 7, None)
        self.assertIsNone(await entry.find("a1"))
        fleet.clock.seconds += 2 * STREAM_SECONDS - 1
        self.assertIsNone(await entry.find("a1"))
        fleet.clock.seconds += 2
        self.assertEqual(OLD, await entry.find("a1"))

    async def test_a_copy_of_the_store_may_lack_a_version(self):
        """A stream of a version that the copy lacks is not joined."""
        fleet = FakeFleet()
        for entry in fleet.entries.values():
            await entry.update()
        copy = fleet.store.take_copy()
        fleet.versions.add("v2")
        other = fleet.entries["entry1"]
        other.learn()
        await other.update()
        self.assertTrue(await other.begin("a1", "v2"))
        await other.update()
        self.assertEqual(NEW, await fleet.entries["entry0"].find("a1"))
        fleet.return_from(copy)
        fleet.clock.seconds += 0.1
        # The first entry has not learned of the version, nor of the copy.
        self.assertIsNone(await fleet.entries["entry0"].find("a1"))
        await other.recorder.find("a2", "r", {"plain"})
        self.assertTrue(await other.update())
        fleet.clock.seconds += store_eras.REWRITE_SECONDS
        self.assertEqual(NEW, await fleet.entries["entry0"].find("a1"))
        self.assertIsNone(await fleet.entries["entry0"].find("a2"))

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [
                        "begin",
                        "begin",
                        "begin unknown",
                        "learn",
                        "update",
                        "kill",
                        "kill all",
                        "come",
                        "leave",
                        "away",
                        "lose",
                        "late",
                        "wait",
                        "cut",
                        "copy",
                        "return",
                    ]
                ),
                strategies.sampled_from(NAMES),
                strategies.sampled_from(VERSIONS),
            ),
            max_size=60,
        )
    )
    def test_no_stream_is_found_at_another_version(self, steps):
        curio.run(self.check_steps, steps)

    async def check_steps(self, steps):
        fleet = FakeFleet()
        # Where streams began, with their deadlines.
        began = {}
        # The streams that the store knows.
        written = set()
        copy = None
        for number, (action, name, version) in enumerate(steps):
            attempt = f"a{number}"
            await self.act(fleet, action, name, version, attempt)
            if action == "copy":
                copy = fleet.store.take_copy()
            if action == "return" and copy is not None:
                fleet.return_from(copy)
                copy = None
                written.clear()
            entry = fleet.entries[name]
            if action == "begin" and await entry.begin(attempt, version):
                began[attempt] = version, fleet.clock.now() + STREAM_SECONDS
            if action == "begin unknown" and await entry.begin_unknown(attempt):
                until = fleet.clock.now() + STREAM_SECONDS
                began[attempt] = stream_origins.UNKNOWN_VERSION, until
            if action == "update" and await entry.update():
                written |= entry.own.build().streams.keys()
            await self.check_streams(fleet, began, written)

    async def act(self, fleet, action, name, version, attempt):
        if action == "learn":
            fleet.entries[name].learn()
        elif action == "kill":
            fleet.start(name)
        elif action == "kill all":
            await self.restart_all(fleet)
        elif action == "come":
            fleet.versions.add(version)
        elif action == "leave":
            fleet.versions.discard(version)
        elif action == "away":
            fleet.store.away = not fleet.store.away
        elif action == "lose":
            fleet.store.loses_answer = True
        elif action == "late":
            fleet.store.execute_late()
        elif action == "cut":
            fleet.cut ^= {name}
            fleet.relink()
        elif action == "wait":
            # Entries learn within this time that the store has a new era.
            for entry in fleet.entries.values():
                await entry.update_era()
            fleet.clock.seconds += 2.0

    async def check_streams(self, fleet, began, written):
        for attempt, (version, deadline) in began.items():
            if fleet.clock.now() >= deadline:
                continue
            origin = stream_origins.StreamOrigin("plain", version)
            known = attempt in written and not fleet.store.away
            for entry in fleet.entries.values():
                found = await entry.find(attempt)
                self.assertIn(found, (origin,) if known else (None, origin))


class UnknownVersionTest(base.TestCase):
    """Tests the mark of streams that began at a start that nobody knows."""

    async def test_nothing_is_inferred_beside_streams_of_no_known_version(self):
        """A stream of no known version would be joined with the only one."""
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        await entry.update()
        self.assertFalse(entry.recorder.expects_unknown("plain"))
        self.assertTrue(await entry.begin_unknown("a1"))
        await entry.begin("a2", "v1")
        await entry.update()
        for name in NAMES:
            fleet.start(name)
        for entry in fleet.entries.values():
            self.assertEqual(UNKNOWN, await entry.find("a1"))
            self.assertEqual(OLD, await entry.find("a2"))
            self.assertIsNone(await entry.find("a3"))

    async def test_mark_counts_as_long_as_such_a_stream_may_run(self):
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        await entry.begin_unknown("a1")
        fleet.clock.seconds += 2 * STREAM_SECONDS + 1
        await entry.update()
        self.assertFalse(entry.recorder.expects_unknown("plain"))
        self.assertEqual(OLD, await entry.find("a3"))

    async def test_no_such_stream_begins_if_neither_store_nor_entry_knows(self):
        fleet = FakeFleet()
        entry = fleet.entries["entry0"]
        fleet.store.away = True
        # That the store is away turns out as the mark is written.
        self.assertTrue(entry.recorder.expect_unknown("plain"))
        self.assertFalse(await entry.update())
        self.assertTrue(entry.recorder.is_failing())
        self.assertTrue(entry.recorder.expect_unknown("plain"))
        entry.linked.clear()
        self.assertFalse(entry.recorder.expect_unknown("plain"))
        fleet.store.away = False
        self.assertTrue(await entry.update())
        self.assertTrue(entry.recorder.expect_unknown("plain"))
        fleet.store.away = True
        self.assertTrue(entry.recorder.expects_unknown("plain"))


class SpacingTest(base.TestCase):
    """Tests the time between writes."""

    def test_all_entries_together_take_a_share_of_the_writes(self):
        for entries, rate in ((4, 400.0), (30, 1200.0), (300, 1200.0)):
            spacing = recorder.compute_spacing(entries, rate)
            self.assertLessEqual(
                entries / spacing, recorder.WRITES_SHARE * rate + 1e-9
            )

    def test_writes_have_a_smallest_distance(self):
        for rate in (0.0, 1e9):
            self.assertEqual(
                recorder.SPACING_SECONDS, recorder.compute_spacing(4, rate)
            )
