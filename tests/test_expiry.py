"""Tests of expiry."""

from samphirevale import expiry
from tests import base, fakes

EXPIRES_AT = 5000.0


class SweepTest(base.TestCase):
    """Tests which objects a sweep deletes and at which rate."""

    def setUp(self):
        self.clock = fakes.Simulation()
        self.store = fakes.FakeStore(self.clock)

    def sweep(self, wall_now):
        return self.clock.call(
            expiry.sweep_expired(self.store, "claims", wall_now, self.clock)
        )

    def test_object_is_kept_until_expiry_plus_clock_skew(self):
        value = {"state": "unknown", "expires_at": EXPIRES_AT}
        self.clock.call(self.store.create("claims", "n", value))
        last = EXPIRES_AT + expiry.CLOCK_SKEW_SECONDS
        self.assertEqual(self.sweep(last), 0)
        self.assertEqual(self.sweep(last + 1), 1)
        self.assertEqual(self.store.objects, {})

    def test_object_without_a_time_of_expiry_is_kept(self):
        """Another writer's object does not keep the others from expiring."""
        odd_values = (1, "x", [], {}, {"expires_at": "1"}, {"expires_at": []})
        for number, value in enumerate(odd_values):
            self.clock.call(self.store.create("claims", f"odd{number}", value))
        sound = {"expires_at": EXPIRES_AT}
        self.clock.call(self.store.create("claims", "sound", sound))
        self.assertEqual(1, self.sweep(9000.0))

    def test_rate_is_limited(self):
        for name in range(40):
            value = {"expires_at": EXPIRES_AT}
            self.clock.call(self.store.create("claims", str(name), value))
        started_at = self.clock.now()
        self.assertEqual(self.sweep(9000.0), 40)
        rate = 40 / (self.clock.now() - started_at)
        self.assertLessEqual(rate, expiry.SWEEP_RATE_PER_SECOND)
