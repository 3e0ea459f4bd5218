"""Tests of leases."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import leases
from samphirevale.ports import objects
from tests import base, fakes, test_claims

CONTENDER = leases.Contender("e1", "i1", "t1", 5.0, 2.0)
LEASE = leases.Lease(
    fencing=3,
    version=9,
    renewal=0,
    acquired_at=100.0,
    valid_until=105.0,
    predecessor=True,
)


def build_stored(**changes):
    value = leases.build_next_value(None, CONTENDER)
    return objects.StoredObject("leases", "e1", 9, {**value, **changes})


class LeaseDecisionTest(base.TestCase):
    """Validity, takeover and the wait before the first order."""

    def test_validity_ends(self):
        self.assertTrue(leases.is_valid(LEASE, 104.9))
        self.assertFalse(leases.is_valid(LEASE, 105.0))

    def test_the_first_order_waits_where_fencing_is_ignored(self):
        for now, checks_fencing, expected in (
            (101.9, True, True),
            (101.9, False, False),
            (102.0, False, True),
            (105.0, False, False),
        ):
            allowed = leases.may_send_order(
                LEASE, CONTENDER, now, checks_fencing
            )
            self.assertEqual(allowed, expected)

    def test_take_over(self):
        other = CONTENDER._replace(token="t2")
        observation = leases.observe(None, build_stored(), 100.0)
        observation = leases.observe(observation, build_stored(), 105.0)
        for stored, now, expected in (
            (None, 100.0, True),
            (build_stored(), 105.0, False),
            (build_stored(), 105.5, True),
            (build_stored(released=True), 100.0, True),
            (build_stored(token="t2"), 100.0, True),
        ):
            allowed = leases.may_take_over(observation, stored, other, now)
            self.assertEqual(allowed, expected)

    def test_a_new_version_starts_the_wait_again(self):
        observation = leases.observe(None, build_stored(), 100.0)
        renewed = build_stored()._replace(version=10)
        self.assertEqual(
            leases.observe(observation, renewed, 104.0).since, 104.0
        )


class PausingClock:
    """A clock whose sleeps randomly last longer, as if the process froze."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.now = simulation.now
        self.timeout = simulation.timeout

    async def sleep(self, seconds):
        await self._simulation.sleep(seconds)
        if self._simulation.rng.random() < 0.03:
            freeze_seconds = self._simulation.rng.uniform(1, 12)
            await self._simulation.sleep(freeze_seconds)


class PausingStore:
    """Forwards calls to a store; the process may freeze around each call."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock

    def __getattr__(self, name):
        async def call(*arguments):
            await self._clock.sleep(0)
            result = await getattr(self._store, name)(*arguments)
            await self._clock.sleep(0)
            return result

        return call


class LeaseRunTest(base.TestCase):
    """Contenders that freeze at random, on a store with random faults."""

    END_SECONDS = 60.0

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 2**32), test_claims.FAULTS)
    def test_at_most_one_valid_lease_and_fencing_increases(self, seed, faults):
        self.simulation = fakes.Simulation(seed)
        self.store = fakes.FakeStore(self.simulation, faults)
        self.lease_by_token = {}
        self.fencing_tokens = []
        self.orders = []
        for number in range(3):
            self.simulation.spawn(self.contend(f"t{number}"), number * 0.1)
        self.simulation.spawn(self.watch_holders())
        self.simulation.run(until=self.END_SECONDS)
        self.assertEqual(self.fencing_tokens, sorted(set(self.fencing_tokens)))
        self.check_orders()

    async def contend(self, token):
        contender = CONTENDER._replace(token=token)
        clock = PausingClock(self.simulation)
        store = PausingStore(self.store, clock)

        def publish(lease):
            self.lease_by_token[token] = lease
            if lease is not None:
                self.send_order(contender, lease)

        while True:
            lease = await leases.acquire_lease(store, contender, clock)
            self.fencing_tokens.append(lease.fencing)
            await leases.hold_lease(store, contender, lease, clock, publish)
            if self.simulation.rng.random() < 0.5:
                await leases.release_lease(store, contender, lease, clock)

    def send_order(self, contender, lease):
        """Sends an order to an endpoint that ignores fencing tokens."""
        now = self.simulation.now()
        if leases.may_send_order(lease, contender, now, False):
            max_seconds = contender.order_seconds
            end = now + self.simulation.rng.uniform(0, max_seconds)
            self.orders.append((now, end, lease.fencing))

    def check_orders(self):
        for start, _, fencing in self.orders:
            for other_start, other_end, other in self.orders:
                if other < fencing and other_start <= start:
                    self.assertGreaterEqual(start, other_end)

    async def watch_holders(self):
        while True:
            now = self.simulation.now()
            valid = [
                token
                for token, lease in self.lease_by_token.items()
                if lease is not None and leases.is_valid(lease, now)
            ]
            self.assertLessEqual(len(valid), 1)
            await self.simulation.sleep(0.05)
