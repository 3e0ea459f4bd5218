"""Tests of claims."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import claims, errors, invariants
from tests import base, fakes

CLAIM = claims.build_claim("a", "k", "d", "t0", 1000.0, 5.0, 3600.0)
NAME = claims.build_claim_name("a", "k")
OTHER = {**CLAIM, "token": "t1"}

PROBABILITY = st.sampled_from([0.0, 0.1, 0.4])
FAULTS = st.builds(
    fakes.Faults,
    unavailable=PROBABILITY,
    lost=PROBABILITY,
    dropped=PROBABILITY,
    delayed=PROBABILITY,
    stale=PROBABILITY,
    delay_seconds=st.just(2.0),
    latency_seconds=st.just(0.01),
)


class ClaimRunTest(base.TestCase):
    """Concurrent attempts for one key, on a store with random faults."""

    async def attempt(self, token, seconds):
        claim = {**CLAIM, "token": token}
        deadline = self.simulation.now() + seconds
        decision = await claims.acquire_claim(
            self.store, claim, deadline, self.simulation
        )
        if isinstance(decision, claims.Acquired):
            self.runs.append(token)
            await claims.write_outcome(
                self.store, decision, "done", token, 1e9, self.simulation
            )
        elif isinstance(decision, claims.HeldByOther):
            self.assertNotEqual(decision.claim["token"], token)
        elif decision.outstanding:
            release = claims.release_claim(self.store, claim, self.simulation)
            self.simulation.spawn(release, self.simulation.now())

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.integers(0, 2**32), FAULTS, st.integers(2, 3))
    def test_at_most_one_attempt_runs_and_no_key_stays_blocked(
        self, seed, faults, count
    ):
        self.simulation = fakes.Simulation(seed)
        self.store = fakes.FakeStore(self.simulation, faults)
        self.runs = []
        rng = self.simulation.rng
        for number in range(count):
            attempt = self.attempt(f"t{number}", rng.uniform(0.02, 3))
            self.simulation.spawn(attempt, rng.uniform(0, 0.5))
        self.simulation.run()
        self.assertLessEqual(len(self.runs), 1)
        self.store.faults = fakes.Faults()
        self.simulation.call(self.simulation.sleep(10.0))
        last = claims.acquire_claim(
            self.store,
            {**CLAIM, "token": "last"},
            self.simulation.now() + 5,
            self.simulation,
        )
        decision = self.simulation.call(last)
        if not self.runs:
            self.assertIsInstance(decision, claims.Acquired)
            return
        answer = claims.resolve_held_claim(decision.claim, "d", 1000.0)
        self.assertEqual(answer, claims.Replay(self.runs[0]))


class ClaimDecisionTest(base.TestCase):
    """Single cases, on a store without random faults."""

    def setUp(self):
        self.clock = fakes.Simulation()
        self.store = fakes.FakeStore(self.clock)

    def acquire(self, claim=CLAIM, seconds=5.0):
        deadline = self.clock.now() + seconds
        return self.clock.call(
            claims.acquire_claim(self.store, claim, deadline, self.clock)
        )

    def test_a_store_that_is_down_refuses_at_once(self):
        self.store.down = True
        self.assertEqual(self.acquire(), claims.GivenUp(False, 1.0))
        self.assertLess(self.clock.now(), 0.1)

    def test_claim_acquired_after_the_deadline_is_given_up(self):
        self.assertEqual(self.acquire(seconds=0.001), claims.GivenUp(True))

    def test_released_claim_is_not_acquired_again_by_its_attempt(self):
        self.clock.call(
            claims.release_claim(self.store, dict(CLAIM), self.clock)
        )
        self.assertEqual(self.acquire(), claims.GivenUp(False))
        self.assertIsInstance(self.acquire(OTHER), claims.Acquired)

    def test_delayed_replacement_fails_after_the_release(self):
        self.clock.call(claims.release_claim(self.store, OTHER, self.clock))
        version = self.store.objects[("claims", NAME)].version
        self.clock.call(claims.release_claim(self.store, CLAIM, self.clock))
        late = self.store.update("claims", NAME, CLAIM, version)
        with self.assertRaises(errors.StoreConflictError):
            self.clock.call(late)

    def test_answers_from_a_held_claim(self):
        done = {**CLAIM, "state": "done", "outcome": 7}
        for claim, digest, wall_now, expected in (
            (CLAIM, "d", 1001.0, claims.Running()),
            (CLAIM, "d", 2000.0, claims.OutcomeUnknown()),
            (CLAIM, "other", 1001.0, claims.KeyReused()),
            (done, "d", 2000.0, claims.Replay(7)),
            ({**CLAIM, "state": "unknown"}, "d", 1.0, claims.OutcomeUnknown()),
        ):
            answer = claims.resolve_held_claim(claim, digest, wall_now)
            # Empty named tuples of any type are equal.
            self.assertIs(type(answer), type(expected))
            self.assertEqual(answer, expected)

    def test_done_is_not_replaced_by_unknown(self):
        acquired = self.acquire()
        for state, expected in (("done", True), ("unknown", False)):
            stored = self.clock.call(
                claims.write_outcome(
                    self.store, acquired, state, 7, 100.0, self.clock
                )
            )
            self.assertEqual(stored, expected)
        claim = self.store.objects[("claims", NAME)].value
        self.assertEqual((claim["state"], claim["outcome"]), ("done", 7))

    def test_stale_read_is_not_mistaken_for_another_holder(self):
        self.clock.call(claims.release_claim(self.store, OTHER, self.clock))
        stale = [self.store.objects[("claims", NAME)]]
        acquired = self.acquire()
        read = self.store.get

        async def read_stale_once(kind, name):
            return stale.pop() if stale else await read(kind, name)

        self.store.get = read_stale_once
        self.store.faults = fakes.Faults(lost=1.0)
        before = invariants.count_violations()
        written = claims.write_outcome(
            self.store, acquired, "done", 7, 100.0, self.clock
        )
        self.assertTrue(self.clock.call(written))
        self.assertEqual(invariants.count_violations(), before)
