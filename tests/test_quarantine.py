"""Tests of quarantine."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import quarantine
from samphirevale.ports import objects
from samphirevale.quarantine import Verdict
from tests import base, fakes, test_claims

FINGERPRINT = quarantine.compute_fingerprint("a", {"x": 1, "y": 2})


class QuarantineTest(base.TestCase):
    """Tests the decisions of one entry."""

    def setUp(self):
        self.quarantine = quarantine.Quarantine(10.0, fingerprints_limit=2)

    def test_two_distinct_crashes_refuse(self):
        self.assertEqual(
            self.quarantine.decide(FINGERPRINT, 0.0), Verdict.ALLOWED
        )
        self.quarantine.add_crashes(FINGERPRINT, ["a1"], 0.0)
        self.quarantine.add_crashes(FINGERPRINT, ["a1"], 1.0)
        self.assertEqual(
            self.quarantine.decide(FINGERPRINT, 1.0), Verdict.TRIAL
        )
        self.quarantine.add_crashes(FINGERPRINT, ["a2"], 1.0)
        self.assertEqual(
            self.quarantine.decide(FINGERPRINT, 1.0), Verdict.REFUSED
        )

    def test_only_one_trial_runs_at_a_time(self):
        self.quarantine.add_crashes(FINGERPRINT, ["a1"], 0.0)
        with self.quarantine.hold_trial(FINGERPRINT):
            self.assertEqual(
                self.quarantine.decide(FINGERPRINT, 0.0), Verdict.BUSY
            )
        self.assertEqual(
            self.quarantine.decide(FINGERPRINT, 0.0), Verdict.TRIAL
        )

    def test_memory_is_bounded_and_crashes_expire(self):
        for name in ("p1", "p2", "p3"):
            self.quarantine.add_crashes(name, ["a1", "a2"], 0.0)
        self.assertEqual(self.quarantine.count(), 2)
        self.assertEqual(self.quarantine.decide("p1", 0.0), Verdict.ALLOWED)
        self.assertEqual(self.quarantine.decide("p3", 10.0), Verdict.REFUSED)
        self.assertEqual(self.quarantine.decide("p3", 10.1), Verdict.ALLOWED)

    def test_fingerprint_covers_account_and_canonical_input(self):
        same = quarantine.compute_fingerprint("a", {"y": 2, "x": 1})
        self.assertEqual(same, FINGERPRINT)
        other = quarantine.compute_fingerprint("b", {"x": 1, "y": 2})
        self.assertNotEqual(other, FINGERPRINT)

    def test_record_of_another_form_is_no_record(self):
        """Another writer's object does not end the watch of the others."""
        for value in (None, 1, [], {}, {"attempts": 1}, {"attempts": [[], 2]}):
            stored = objects.StoredObject(
                quarantine.OBJECT_KIND, FINGERPRINT, 1, value
            )
            self.quarantine.adopt_record(stored, 0.0)
        self.assertEqual(
            Verdict.ALLOWED, self.quarantine.decide(FINGERPRINT, 0.0)
        )


class CrashRunTest(base.TestCase):
    """Simulates entries that retry an input which crashes every endpoint."""

    def start_simulation(self, seed, faults):
        self.clock = fakes.Simulation(seed)
        self.store = fakes.FakeStore(self.clock, faults)
        self.entries = [quarantine.Quarantine() for _ in range(3)]
        self.crashed = []

    async def send(self, number, attempt):
        entry = self.entries[number]
        verdict = entry.decide(FINGERPRINT, self.clock.now())
        if verdict is Verdict.ALLOWED:
            await self.run_attempt(attempt)
        if verdict is not Verdict.TRIAL:
            return
        with entry.hold_trial(FINGERPRINT):
            crashes = entry.list_crashes(FINGERPRINT, self.clock.now())
            deadline = self.clock.now() + 2.0
            if await quarantine.begin_trial(
                self.store,
                FINGERPRINT,
                attempt,
                crashes,
                0.0,
                deadline,
                self.clock,
            ):
                await self.run_attempt(attempt)

    async def run_attempt(self, attempt):
        self.crashed.append(attempt)
        for entry in self.entries:
            entry.add_crashes(FINGERPRINT, [attempt], self.clock.now())
        deadline = self.clock.now() + 100
        await quarantine.record_crash(
            self.store, FINGERPRINT, attempt, 0.0, deadline, self.clock
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, 2**32), test_claims.FAULTS, st.booleans())
    def test_at_most_two_endpoints_crash(self, seed, faults, down):
        self.start_simulation(seed, faults)
        self.clock.call(self.send(0, "first"))
        self.store.down = down
        for count in range(12):
            at = self.clock.now() + self.clock.rng.uniform(0, 3)
            number = self.clock.rng.randrange(3)
            self.clock.spawn(self.send(number, f"a{count}"), at)
        self.clock.spawn(self.restore_store(), self.clock.now() + 1)
        self.clock.run()
        self.assertLessEqual(len(self.crashed), 2)

    async def restore_store(self):
        self.store.down = False

    def test_no_trial_while_the_store_is_down(self):
        self.start_simulation(1, fakes.Faults())
        self.clock.call(self.send(0, "first"))
        self.store.down = True
        self.clock.call(self.send(1, "second"))
        self.assertEqual(self.crashed, ["first"])
        self.store.down = False
        self.clock.call(self.send(1, "third"))
        self.assertEqual(self.crashed, ["first", "third"])
        stored = self.store.objects[("quarantine", FINGERPRINT)].value
        self.assertEqual(stored["attempts"], ["first", "third"])

    def test_successful_trial_permits_the_next_one(self):
        self.start_simulation(1, fakes.Faults())
        for attempt, allowed in (("t1", True), ("t2", False)):
            reservation = quarantine.begin_trial(
                self.store,
                FINGERPRINT,
                attempt,
                ["first"],
                0.0,
                99.0,
                self.clock,
            )
            self.assertEqual(self.clock.call(reservation), allowed)
        self.clock.call(
            quarantine.end_trial(
                self.store, FINGERPRINT, "t1", 0.0, 99.0, self.clock
            )
        )
        reservation = quarantine.begin_trial(
            self.store, FINGERPRINT, "t2", ["first"], 0.0, 99.0, self.clock
        )
        self.assertTrue(self.clock.call(reservation))

    def test_reservation_is_removed_despite_stale_reads(self):
        for seed in range(20):
            self.start_simulation(seed, fakes.Faults(stale=0.5))
            reservation = quarantine.begin_trial(
                self.store, FINGERPRINT, "t1", ["c"], 0.0, 99.0, self.clock
            )
            self.assertTrue(self.clock.call(reservation))
            end = quarantine.end_trial(
                self.store, FINGERPRINT, "t1", 0.0, 99.0, self.clock
            )
            self.clock.call(end)
            stored = self.store.objects[("quarantine", FINGERPRINT)].value
            self.assertEqual(stored["trials"], [])
