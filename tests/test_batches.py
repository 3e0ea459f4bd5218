"""Tests of batches."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import batches, leases, orders
from samphirevale.batches import EngineOrder
from tests import base, fakes, test_claims, test_configuration, test_orders


def apply_all(*applied):
    value = test_configuration.build_value()
    for order in applied:
        value = orders.apply_order(value, order)
    return value


def recall(name):
    return test_orders.build(f"recall-{name}", "recall", batch=name)


B2 = test_orders.build_roll_out("roll-b2", "b2")
B3 = test_orders.build_roll_out("roll-b3", "b3")


class BatchTest(base.TestCase):
    """Which batch serves, and which ones an engine loads."""

    def test_the_newest_loaded_batch_serves_new_requests(self):
        value = apply_all(B2)
        for loaded, expected in (
            ({"b1"}, "b1"),
            ({"b1", "b2"}, "b2"),
            (set(), None),
        ):
            result = batches.choose_batch(value, "assistant", "engines", loaded)
            self.assertEqual(result, expected)

    def test_a_recalled_batch_serves_nothing(self):
        value = apply_all(B2, recall("b2"))
        loaded = {"b1", "b2"}
        result = batches.choose_batch(value, "assistant", "engines", loaded)
        self.assertEqual(result, "b1")
        self.assertEqual(batches.find_refusal(value, "b2"), "recalled")
        self.assertEqual(batches.find_refusal(value, "b1"), "")
        self.assertEqual(batches.find_refusal(value, "b9"), "no_configuration")

    def test_engine_orders_come_one_at_a_time(self):
        value = apply_all(B2, recall("b2"), B3)
        for loaded, expected in (
            ({"b1", "b2"}, EngineOrder("unload", "b2")),
            (set(), EngineOrder("load", "b3")),
            ({"b3"}, EngineOrder("load", "b1")),
            ({"b1", "b3", "unknown"}, None),
        ):
            result = batches.decide_engine_order(value, "engines", loaded)
            self.assertEqual(result, expected)

    def test_the_old_batch_stays_until_the_new_one_is_loaded(self):
        value = apply_all(B2, B3)
        for loaded, expected in (
            ({"b1"}, EngineOrder("load", "b3")),
            ({"b1", "b3"}, EngineOrder("load", "b2")),
            ({"b1", "b2", "b3"}, EngineOrder("unload", "b1")),
        ):
            result = batches.decide_engine_order(value, "engines", loaded)
            self.assertEqual(result, expected)

    def test_confirmations(self):
        value = apply_all(B2, recall("b2"), B3)
        revision = batches.find_recall_revision(value, "b2")
        self.assertEqual(revision, 7)
        reports = {
            name: batches.Report(name, revision, loaded, received_at)
            for name, revision, loaded, received_at in (
                ("i1", 7, ["b1"], 10.0),
                ("i2", 8, ["b2"], 10.0),
                ("i3", 6, [], 10.0),
                ("i4", 8, [], 1.0),
            )
        }
        result = batches.classify_by_recall(
            reports, ["i1", "i5"], revision, "b2", 9.0
        )
        self.assertEqual(result, (["i1"], ["i2"], ["i3"], ["i4", "i5"]))


class RollOutRunTest(base.TestCase):
    """Engines that load a new batch, on a store with random faults."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 2**32), test_claims.FAULTS, st.integers(2, 6))
    def test_loading_leaves_engines_that_serve(self, seed, faults, engines):
        self.clock = fakes.Simulation(seed)
        self.store = fakes.FakeStore(self.clock, faults)
        self.tickets = batches.count_tickets(engines)
        self.loading = set()
        self.loaded = {f"e{number}": {"b1"} for number in range(engines)}
        for name in self.loaded:
            self.clock.spawn(self.run_engine(name, apply_all(B2)))
        self.clock.run(until=400.0)
        for loaded in self.loaded.values():
            self.assertEqual(loaded, {"b1", "b2"})

    async def run_engine(self, name, value):
        ticket = batches.build_ticket("engines", name, name, name, self.tickets)
        while order := batches.decide_engine_order(
            value, "engines", self.loaded[name]
        ):
            lease = await leases.acquire_lease(self.store, ticket, self.clock)
            self.loading.add(name)
            self.assertLessEqual(len(self.loading), self.tickets)
            self.assertLess(len(self.loading), len(self.loaded))
            await self.clock.sleep(self.clock.rng.uniform(1, 4))
            self.loaded[name].add(order.batch)
            self.loading.remove(name)
            await leases.release_lease(self.store, ticket, lease, self.clock)
