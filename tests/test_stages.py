"""Tests of stages: their order, chunks, retries and released results."""

import random

from samphirevale import (
    batch_dispatch,
    errors,
    ownership,
    routes,
    stages,
)
from samphirevale.ports import proxies
from tests import base, proxy_fakes

NOW = 100.0

CHAIN = (
    routes.Stage("stage", (), 100),
    routes.Stage("stage", (0,), 100),
)


class FakeItemRunner:
    """Fails calls with scripted reasons; an empty reason succeeds."""

    def __init__(self):
        self.calls = []
        self.reasons = []
        self.released = []
        self.loads = {}
        # The endpoint that stores the results, if it is not the called one.
        self.stored_at = ""

    def estimate_seconds(self, endpoint, limits, work, now):
        return 0.1 + self.loads.get(endpoint.name, 0)

    async def run_items(self, endpoint, limits, items):
        self.calls.append((endpoint.name, list(items)))
        self.loads[endpoint.name] = self.loads.get(endpoint.name, 0) + 0.4
        reason = self.reasons.pop(0) if self.reasons else ""
        return [
            proxies.ItemResult(
                "" if reason else f"{endpoint.name}.{i.stage}.{i.index}",
                reason,
                self.stored_at,
            )
            for i in items
        ]

    async def release(self, endpoint, names):
        self.released += names


class StageSequenceRunTest(base.TestCase):
    """Tests runs of stages with scripted outcomes of items."""

    def setUp(self):
        self.cluster = proxy_fakes.build_cluster_state()
        self.cluster.table = proxy_fakes.build_table([])
        for name in ("s1", "s2"):
            self.cluster.catalogue.put(proxy_fakes.build_endpoint(name))
        self.runner = FakeItemRunner()
        self.retries_left = 9

    def take_retry(self, _):
        self.retries_left -= 1
        return self.retries_left >= 0

    def build_run(self, counts, stage_list=CHAIN, **constraints):
        return stages.StageSequenceRun(
            self.runner,
            self.cluster,
            proxy_fakes.FakeClock(NOW),
            proxy_fakes.build_request(item_counts=counts, item_key="k"),
            proxy_fakes.build_route(stages=stage_list),
            stages.StageConstraints(NOW + 1, NOW + 5, 0, "")._replace(
                **constraints
            ),
            self.take_retry,
            random.Random(1),
        )

    async def test_later_stage_takes_all_results_and_releases_them(self):
        run = self.build_run((2, 1))
        (final,) = await run.run()
        inputs = self.runner.calls[1][1][0].inputs
        self.assertEqual(("s1.0.0", "s1.0.1"), inputs)
        self.assertEqual(list(inputs), self.runner.released)
        await run.release_all()
        self.assertEqual([*inputs, final.name], self.runner.released)

    async def test_first_stage_is_due_before_its_dependents(self):
        await self.build_run((1, 1)).run()
        first, second = (items[0] for _, items in self.runner.calls)
        self.assertAlmostEqual(0.17, second.due_at - first.due_at)

    async def test_later_stages_of_a_late_request_follow_those_on_time(self):
        run = self.build_run((1, 1), due_at=NOW - 1, late=True)
        await run.run()
        (_, (first,)), (_, (later,)) = self.runner.calls
        self.assertLess(first.due_at, NOW - 1)
        held_seconds = proxy_fakes.BATCH_LIMITS.result_seconds
        self.assertAlmostEqual(
            NOW + held_seconds * stages.LATE_HELD_SHARE, later.due_at
        )

    async def test_results_that_no_stage_takes_are_computed_last(self):
        """The results then occupy memory for the shortest time."""
        stage_list = (routes.Stage("stage", (), 100), *CHAIN[:1])
        stage_list += (routes.Stage("stage", (1,), 100),)
        await self.build_run((1, 1, 1), stage_list).run()
        order = [items[0].stage for _, items in self.runner.calls]
        self.assertEqual(1, order[0])
        self.assertEqual({0, 2}, set(order[1:]))

    async def test_many_items_go_to_several_endpoints_concurrently(self):
        results = await self.build_run((6,), CHAIN[:1]).run()
        self.assertEqual({"s1", "s2"}, {name for name, _ in self.runner.calls})
        self.assertEqual(
            6, len({stage_result.name for stage_result in results})
        )

    async def test_items_go_to_the_data_centre_of_most_inputs(self):
        remote_endpoint = proxy_fakes.build_endpoint("s2", data_centre="b")
        self.cluster.catalogue.put(remote_endpoint)
        stage_list = (
            routes.Stage("stage", (), 9_000_000),
            routes.Stage("stage", (0,), 100),
        )
        self.runner.loads = {"s1": 0.3}
        await self.build_run((1, 1), stage_list).run()
        self.assertEqual(["s2", "s2"], [name for name, _ in self.runner.calls])

    async def test_results_are_released_where_the_owner_stored_them(self):
        released = []

        async def release(endpoint, names):
            released.append(endpoint.name)

        self.runner.release = release
        self.runner.stored_at = "s2"
        self.runner.loads = {"s2": 9.0}
        run = self.build_run((1,), CHAIN[:1])
        (result,) = await run.run()
        self.assertEqual("s2", result.endpoint.name)
        await run.release_all()
        self.assertEqual(["s2"], released)

    async def test_failed_items_are_retried(self):
        self.runner.reasons = ["error"]
        self.assertEqual(1, len(await self.build_run((1,), CHAIN[:1]).run()))
        self.assertEqual(8, self.retries_left)

    async def test_unsent_items_use_no_retry_budget(self):
        self.runner.reasons = [batch_dispatch.UNSENT]
        await self.build_run((1,), CHAIN[:1]).run()
        self.assertEqual(9, self.retries_left)

    async def test_unsent_items_are_not_offered_to_the_same_endpoint(self):
        self.runner.reasons = [batch_dispatch.UNSENT]
        self.runner.loads = {"s2": 9.0}
        await self.build_run((1,), CHAIN[:1]).run()
        self.assertEqual(["s1", "s2"], [name for name, _ in self.runner.calls])

    async def test_run_fails_without_retry_budget(self):
        self.runner.reasons = ["error"]
        self.retries_left = 0
        with self.assertRaises(errors.EarlierStageError):
            await self.build_run((1,), CHAIN[:1]).run()

    async def test_late_items_are_not_retried(self):
        self.runner.reasons = ["late"]
        with self.assertRaises(errors.EarlierStageError):
            await self.build_run((1,), CHAIN[:1]).run()
        self.assertEqual(1, len(self.runner.calls))

    async def test_failure_of_a_concurrent_stage_releases_results(self):
        self.runner.reasons = ["", "late"]
        concurrent_stages = (CHAIN[0], routes.Stage("stage", (), 100))
        run = self.build_run((1, 1), concurrent_stages)
        with self.assertRaises(errors.EarlierStageError):
            async with stages.release_on_error(run):
                await run.run()
        self.assertEqual(1, len(self.runner.released))


class JitterTest(base.TestCase):
    """Tests entries that choose endpoints by the same load reports."""

    def count_most_chosen(self, entries):
        """Returns how many entries choose the same endpoint at most."""
        cluster = proxy_fakes.build_cluster_state()
        cluster.table = proxy_fakes.build_table([])
        cluster.adopt_members(
            ownership.Member(f"entry{i}", "a") for i in range(entries - 1)
        )
        for number in range(8):
            cluster.catalogue.put(proxy_fakes.build_endpoint(f"s{number}"))
        runner = FakeItemRunner()
        # The first endpoint has a slightly lower load than the others.
        runner.loads = {f"s{number}": 0.05 for number in range(1, 8)}
        chosen = [
            stages.choose_endpoint(
                runner,
                cluster,
                CHAIN[0],
                1,
                (),
                False,
                NOW,
                random.Random(seed),
            )[0].name
            for seed in range(entries)
        ]
        return max(map(chosen.count, chosen))

    def test_many_entries_spread_their_choices(self):
        self.assertLess(self.count_most_chosen(30), 30 / 2)

    def test_few_entries_choose_the_best(self):
        self.assertEqual(4, self.count_most_chosen(4))
