"""Tests of the statuses that entries write into the store."""

import random
import types

from samphirevale import errors, messages, statistics, statuses
from tests import base, fakes

KEY = (statuses.OBJECT_KIND, "entry-0")


def build_status(instance="entry-0", revision=5, written_at=0.0, **changes):
    return statuses.EntryStatus(
        instance=instance,
        incarnation="i1",
        data_centre="dc1",
        leaving=False,
        revision=revision,
        sidecars=[],
        statistics=statistics.Statistics().to_value(),
        started_at=1.0,
        written_at=written_at,
        expires_at=written_at + statuses.RETENTION_SECONDS,
    ) | {**changes}


class StatusWriterTest(base.TestCase):
    """The writer's timing and its handling of store faults."""

    def setUp(self):
        self.clock = fakes.Simulation(1)
        self.store = fakes.FakeStore(self.clock)
        self.revision = 5
        self.peer = types.SimpleNamespace(
            address="host:1", hello=None, heartbeat=None, revision=5
        )

    def build(self, **changes):
        # The test case acts as the holder and provides `revision`.
        fake_context = types.SimpleNamespace(
            store=self.store,
            rng=random.Random(1),
            clock=self.clock,
            holder=self,
            peers=types.SimpleNamespace(
                peers={"host:1": self.peer}, leaving=False
            ),
        )
        return statuses.StatusWriter(
            fake_context,
            lambda: build_status(
                revision=self.revision, written_at=self.clock.now(), **changes
            ),
        )

    def read(self):
        return self.store.objects[KEY].value

    def test_writes_slowly_without_changes_and_quickly_after_a_change(self):
        self.clock.spawn(self.build().run())
        self.clock.advance(200.0)
        self.assertIn(self.store.writes, range(16, 40))
        self.revision = 6
        self.clock.advance(202.0)
        self.assertEqual(self.read()["revision"], 6)

    def test_writes_quickly_after_a_change_of_a_sidecar(self):
        # A write without changes is not due within 2 s of the last write, so
        # each write is caused by a change.
        self.clock.spawn(self.build().run())
        changes = (
            ("revision", 6),
            ("heartbeat", messages.Heartbeat(0, False)),
            ("hello", messages.Hello("s", "1", "sidecar", "dc1", "e", "p")),
        )
        for changed_at, (name, value) in zip((2, 4, 6), changes, strict=True):
            with self.subTest(name=name):
                self.clock.advance(changed_at)
                setattr(self.peer, name, value)
                self.clock.advance(changed_at + 2)
                self.assertGreaterEqual(self.read()["written_at"], changed_at)

    def test_changes_are_written_at_a_bounded_rate(self):
        self.clock.spawn(self.build().run())
        for step in range(100):
            self.revision += 1
            self.clock.advance(step * 0.1)
        self.assertLess(
            self.store.writes, 2 * 10 / statuses.MIN_INTERVAL_SECONDS
        )

    def test_continues_after_outages_and_lost_answers(self):
        self.clock.spawn(self.build().run())
        for faults in ({"unavailable": 1}, {"lost": 1}, {"dropped": 1}, {}):
            self.store.faults = fakes.Faults(**faults)
            self.clock.advance(self.clock.now() + 40.0)
        self.assertLess(self.clock.now() - self.read()["written_at"], 12.0)

    def test_newer_process_takes_over_the_name(self):
        later = self.build(incarnation="i2", started_at=2.0)
        for writer in (later, self.build()):
            self.clock.spawn(writer.run())
        self.clock.advance(60.0)
        self.assertEqual(self.read()["incarnation"], "i2")
        writes = self.store.writes
        self.clock.advance(120.0)
        self.assertLess(self.store.writes - writes, 15)

    def test_only_own_status_is_removed(self):
        own_writer = self.build()
        self.clock.spawn(own_writer.run())
        self.clock.spawn(self.build(incarnation="i2").remove(), 0.5)
        self.clock.advance(1.0)
        self.assertEqual(self.read()["incarnation"], "i1")
        self.clock.spawn(own_writer.remove())
        self.clock.run(1.2)
        self.assertNotIn(KEY, self.store.objects)

    def test_statuses_of_other_entries_are_listed(self):
        old = build_status("entry-1")
        self.clock.call(self.store.create("status", "entry-1", old))
        self.clock.call(self.store.create("status", "entry-2", {"x": 1}))
        listed = self.clock.call(statuses.list_statuses(self.store, "entry-0"))
        self.assertEqual(listed, [old])
        with self.assertRaises(errors.InvalidInputError):
            statuses.read_status(old | {"sidecars": [{}]})
