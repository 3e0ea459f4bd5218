"""Tests of applying and submitting orders."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import configuration, errors, orders
from tests import base, fakes, test_claims, test_configuration

KEY = (configuration.OBJECT_KIND, configuration.OBJECT_NAME)


def build_roll_out(order_id, batch="b2", model="assistant"):
    arguments = {
        "batch": batch,
        "model": model,
        "version": "2",
        "adapter": "",
        "pool": "engines",
    }
    return orders.Order(order_id, "roll_out", arguments, "roll out")


def build(order_id, verb, **arguments):
    return orders.Order(order_id, verb, arguments, verb)


class ApplyTest(base.TestCase):
    """The effect and the findings of each verb."""

    def apply(self, order):
        return orders.apply_order(test_configuration.build_value(), order)

    def find_places(self, order):
        with self.assertRaises(errors.InvalidInputError) as caught:
            self.apply(order)
        return [finding.place for finding in caught.exception.findings]

    def test_every_verb(self):
        pipeline = test_configuration.build_value()["pipelines"]["harvest"]
        account = {"token_digest": "b" * 64, "share": 2.0}
        for order, place, expected in (
            (build_roll_out("o1"), ("batches", "b2", "order"), 6),
            (
                build("o1", "recall", batch="b1"),
                ("batches", "b1", "state"),
                "recalled",
            ),
            (build("o1", "drain", endpoint="e2"), ("draining", 1), "e2"),
            (build("o1", "resume", endpoint="e1"), ("draining",), []),
            (build("o1", "cordon", data_centre="a"), ("cordoned",), ["a"]),
            (
                build("o1", "stop", pipeline="harvest"),
                ("pipelines", "harvest", "stopped"),
                True,
            ),
            (
                build("o1", "start", pipeline="harvest"),
                ("pipelines", "harvest", "stopped"),
                False,
            ),
            (
                build("o1", "set_pipeline", pipeline="p2", value=pipeline),
                ("pipelines", "p2"),
                pipeline,
            ),
            (
                build("o1", "set_account", account="a2", value=account),
                ("accounts", "a2"),
                account,
            ),
        ):
            after = self.apply(order)
            self.assertEqual(after["revision"], 6)
            self.assertEqual(after["orders"][-1]["id"], "o1")
            found = after
            for key in place:
                found = found[key]
            self.assertEqual(found, expected)

    def test_findings(self):
        for order, places in (
            (build("o1", "explode"), ["verb"]),
            (build("o1", "drain", what="x"), ["endpoint", "what"]),
            (build("o1", "drain", endpoint="e1"), ["endpoint"]),
            (build("o1", "uncordon", data_centre="a"), ["data_centre"]),
            (build("o1", "cordon", data_centre="?"), ["cordoned[0]"]),
            (build("o1", "recall", batch="b9"), ["batch"]),
            (build_roll_out("o1", "b1"), ["batch"]),
            (
                build("o1", "set_pipeline", pipeline="p", value={"stages": 1}),
                [
                    "pipelines.p.stages",
                    "pipelines.p.deadline_ms",
                    "pipelines.p.stopped",
                ],
            ),
        ):
            self.assertEqual(self.find_places(order), places)

    def test_cordon_is_taken_back_once(self):
        cordoned = self.apply(build("o1", "cordon", data_centre="a"))
        with self.assertRaises(errors.InvalidInputError):
            orders.apply_order(cordoned, build("o2", "cordon", data_centre="a"))
        after = orders.apply_order(
            cordoned, build("o3", "uncordon", data_centre="a")
        )
        self.assertEqual([], after["cordoned"])

    def test_recalled_batch_id_cannot_be_reused(self):
        after = self.apply(build("o1", "recall", batch="b1"))
        with self.assertRaises(errors.InvalidInputError):
            orders.apply_order(after, build_roll_out("o2", "b1"))


class SubmitTest(base.TestCase):
    """Concurrent orders with a faulty store."""

    def start(self, seed=0, faults=fakes.Faults()):  # noqa: B008
        self.clock = fakes.Simulation(seed)
        self.store = fakes.FakeStore(self.clock)
        value = test_configuration.build_value()
        self.clock.call(self.store.create(*KEY, value))
        self.store.faults = faults
        self.results = {}

    async def submit(self, order, seconds=5.0):
        deadline = self.clock.now() + seconds
        try:
            result = await orders.submit_order(
                self.store, order, deadline, self.clock
            )
        except (errors.StoreUnavailableError, errors.InvalidInputError):
            result = None
        self.results[order.id] = result

    def race(self, *concurrent_orders):
        for order in concurrent_orders:
            self.clock.spawn(self.submit(order), self.clock.now())
        self.clock.run()
        return [self.results[order.id] for order in concurrent_orders]

    def test_one_of_two_orders_on_same_object_is_accepted(self):
        self.start()
        results = self.race(
            build("o1", "drain", endpoint="e2"),
            build("o2", "drain", endpoint="e2"),
        )
        results.sort(key=lambda result: type(result).__name__)
        self.assertEqual(results[0], orders.Accepted(6))
        accepted_record = self.store.objects[KEY].value["orders"][-1]
        self.assertEqual(results[1].conflicting_order, accepted_record)

    def test_order_for_earlier_revision_gets_conflict(self):
        self.start()
        self.race(build("o1", "drain", endpoint="e2"))
        late_submission = orders.submit_order(
            self.store, build("o2", "resume", endpoint="e2"), 9, self.clock, 5
        )
        self.assertEqual(
            self.clock.call(late_submission).conflicting_order["id"], "o1"
        )

    def test_one_of_two_roll_outs_of_a_model_is_accepted(self):
        self.start()
        results = self.race(
            build_roll_out("o1", "b2"), build_roll_out("o2", "b3")
        )
        names = {type(result).__name__ for result in results}
        self.assertEqual(names, {"Accepted", "Rejected"})

    def test_orders_on_different_objects_are_all_accepted(self):
        self.start()
        results = self.race(
            build("o1", "drain", endpoint="e2"),
            build("o2", "recall", batch="b1"),
            build("o3", "recall", batch="b1"),
        )
        revisions = sorted(result.revision for result in results)
        self.assertEqual(revisions, [6, 7, 8])

    def test_stale_read_does_not_refuse_order(self):
        self.start()
        stale = self.store.objects[KEY]
        self.race(build("o1", "drain", endpoint="e2"))
        read = self.store.get
        fresh_at = self.clock.now() + 1.0

        async def read_stale(kind, name):
            stored = await read(kind, name)
            return stale if self.clock.now() < fresh_at else stored

        self.store.get = read_stale
        resume = orders.submit_order(
            self.store,
            build("o2", "resume", endpoint="e2"),
            self.clock.now() + 5.0,
            self.clock,
            known_revision=6,
        )
        self.assertEqual(self.clock.call(resume), orders.Accepted(7))

    def test_many_concurrent_orders_are_all_accepted(self):
        self.start()
        concurrent_orders = [
            build(f"o{n}", "recall", batch="b1") for n in range(20)
        ]
        for result in self.race(*concurrent_orders):
            self.assertIsInstance(result, orders.Accepted)

    def test_lost_answer_is_resolved_by_reading(self):
        self.start(faults=fakes.Faults(lost=1.0))
        (result,) = self.race(build("o1", "drain", endpoint="e2"))
        self.assertEqual(result, orders.Accepted(6))
        self.assertEqual(self.store.writes, 2)

    def test_repeated_order_takes_effect_once(self):
        self.start()
        order = build("o1", "recall", batch="b1")
        self.assertEqual(self.race(order), self.race(order))
        other = order._replace(text="recall another")
        self.assertEqual(self.race(other), [None])

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.integers(0, 2**32),
        test_claims.FAULTS,
        st.lists(
            st.sampled_from(["drain", "resume", "recall", "roll"]), max_size=5
        ),
    )
    def test_results_match_stored_configuration(self, seed, faults, verbs):
        self.start(seed, faults)
        self.race(
            *(self.build_any(f"o{n}", verb) for n, verb in enumerate(verbs))
        )
        self.store.faults = fakes.Faults()
        self.clock.call(self.clock.sleep(10.0))
        stored = self.clock.call(self.store.get(*KEY)).value
        found = {item["id"]: item["revision"] for item in stored["orders"]}
        for order_id, result in self.results.items():
            if isinstance(result, orders.Accepted):
                self.assertEqual(found.get(order_id), result.revision)
            elif not isinstance(result, orders.Unconfirmed):
                self.assertNotIn(order_id, found)
        self.assertEqual(configuration.check_configuration(stored), [])

    def build_any(self, order_id, verb):
        if verb == "roll":
            return build_roll_out(order_id, "b-" + order_id)
        if verb == "recall":
            return build(order_id, "recall", batch="b1")
        name = "e1" if verb == "resume" else "e2"
        return build(order_id, verb, endpoint=name)
