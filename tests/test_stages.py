"""Tests of stages: their order, chunks, retries and released results."""

import collections
import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    batch_dispatch,
    catalogue,
    errors,
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
        # The endpoints whose results are gone.
        self.ended = set()

    def estimate_seconds(self, endpoint, limits, work, now):
        return 0.1 + self.loads.get(endpoint.name, 0)

    async def run_items(self, endpoint, limits, items):
        self.calls.append((endpoint.name, list(items)))
        self.loads[endpoint.name] = self.loads.get(endpoint.name, 0) + 0.4
        reason = self.reasons.pop(0) if self.reasons else ""
        stored_at = {name.split(".")[0] for i in items for name in i.inputs}
        if stored_at & self.ended:
            reason = "gone"
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


class BreakingItemRunner(FakeItemRunner):
    """Breaks down in its second call, while the first one goes on."""

    async def run_items(self, endpoint, limits, items):
        self.calls.append((endpoint.name, list(items)))
        self.loads[endpoint.name] = 0.4
        if len(self.calls) > 1:
            raise KeyError("odd")
        await curio.sleep(60)


class StageRunTestCase(base.TestCase):
    """Sets up two endpoints that can run the items of stages."""

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


class StageSequenceRunTest(StageRunTestCase):
    """Tests runs of stages with scripted outcomes of items."""

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

    async def test_items_behind_overdue_calls_are_never_given_up(self):
        self.runner.reasons = [batch_dispatch.OVERDUE] * 9
        self.retries_left = 0
        self.assertEqual(1, len(await self.build_run((1,), CHAIN[:1]).run()))

    async def test_failure_beside_unsent_items_takes_a_retry(self):
        for unsent in (batch_dispatch.UNSENT, batch_dispatch.OVERDUE):
            self.retries_left = 1
            self.runner.reasons = [unsent, "error"]
            await self.build_run((6,), CHAIN[:1]).run()
            self.assertEqual(0, self.retries_left)

    async def test_failed_items_take_a_retry_beside_unsent_ones(self):
        self.runner.reasons = [batch_dispatch.UNSENT, "error"]
        await self.build_run((6,), CHAIN[:1]).run()
        self.assertLess(self.retries_left, 9)

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

    async def check_breakdown(self, counts, stage_list):
        self.runner = BreakingItemRunner()
        with self.assertLogs("curio", "ERROR"), self.assertRaises(KeyError):
            await self.build_run(counts, stage_list).run()

    async def test_error_of_a_concurrent_call_is_no_cancellation(self):
        await self.check_breakdown((6,), CHAIN[:1])

    async def test_error_of_a_concurrent_stage_is_no_cancellation(self):
        await self.check_breakdown((1, 1), (CHAIN[0], CHAIN[0]))


class LostInputsTest(StageRunTestCase):
    """Tests stages whose inputs have gone with the endpoint that held them."""

    def setUp(self):
        super().setUp()
        self.runner.loads = {"s2": 9.0}
        run_items = self.runner.run_items

        async def run_items_until_left(endpoint, limits, items):
            results = await run_items(endpoint, limits, items)
            await curio.sleep(0)
            if len(self.runner.calls) == self.calls_before_leaving:
                self.end_endpoint("s1")
            return results

        self.calls_before_leaving = 1
        self.runner.run_items = run_items_until_left

    def end_endpoint(self, name):
        endpoint = self.cluster.catalogue.find(name)
        start = catalogue.get_start(endpoint)
        self.cluster.notices.record_leaving(start, NOW)
        self.runner.ended.add(name)

    def list_calls(self):
        return [
            (name, items[0].stage, len(items))
            for name, items in self.runner.calls
        ]

    async def test_stage_whose_input_has_left_is_not_refused(self):
        (final,) = await self.build_run((2, 1)).run()
        self.assertEqual("s2.1.0", final.name)
        self.assertEqual(
            [("s1", 0, 2), ("s2", 1, 1), ("s2", 0, 2), ("s2", 1, 1)],
            self.list_calls(),
        )

    async def test_inputs_that_are_held_elsewhere_are_not_run_again(self):
        stage_list = (*CHAIN[:1] * 2, routes.Stage("stage", (0, 1), 100))
        self.runner.loads = {"s2": 0.1}
        self.calls_before_leaving = 2
        await self.build_run((1, 1, 1), stage_list).run()
        lost = {
            stage for name, stage, _ in self.list_calls()[:2] if name == "s1"
        }
        self.assertEqual(1, len(lost))
        repeated = [stage for _, stage, _ in self.list_calls()[3:]]
        self.assertEqual([*lost, 2], repeated)

    async def test_inputs_of_lost_inputs_are_run_again_too(self):
        stage_list = (*CHAIN, routes.Stage("stage", (1,), 100))
        self.calls_before_leaving = 2
        (final,) = await self.build_run((1, 1, 1), stage_list).run()
        self.assertEqual("s2.2.0", final.name)
        order = [stage for _, stage, _ in self.list_calls()]
        self.assertEqual([0, 1, 2, 0, 1, 2], order)

    async def test_stages_with_the_same_lost_input_run_it_again_once(self):
        stage_list = (*CHAIN, CHAIN[1])
        await self.build_run((2, 1, 1), stage_list).run()
        order = [stage for _, stage, _ in self.list_calls()]
        self.assertEqual(2, order.count(0))
        inputs = [
            item.inputs for _, items in self.runner.calls for item in items
        ]
        self.assertEqual({0, 2}, set(map(len, inputs)))

    async def test_lost_inputs_of_a_sound_endpoint_are_run_again(self):
        self.calls_before_leaving = 0
        self.runner.reasons = ["", "gone"]
        await self.build_run((1, 1)).run()
        order = [stage for _, stage, _ in self.list_calls()]
        self.assertEqual([0, 1, 0, 1], order)

    async def test_each_repeated_call_takes_a_retry(self):
        await self.build_run((1, 1)).run()
        self.assertEqual(7, self.retries_left)

    async def test_lost_inputs_without_retries_fail(self):
        self.retries_left = 1
        with self.assertRaises(errors.EarlierStageError):
            await self.build_run((1, 1)).run()

    async def test_lost_inputs_are_not_run_again_too_late(self):
        """The two stages together need 0.34 s."""
        with self.assertRaises(errors.EarlierStageError):
            await self.build_run((1, 1), deadline_at=NOW + 0.3).run()
        self.assertEqual(2, len(self.runner.calls))

    async def test_run_whose_results_were_released_makes_no_more_calls(self):
        run = self.build_run((1, 1))
        run_items = self.runner.run_items

        async def run_items_and_release(*arguments):
            results = await run_items(*arguments)
            await run.release_all()
            return results

        self.runner.run_items = run_items_and_release
        with self.assertRaises(errors.EarlierStageError):
            async with stages.release_on_error(run):
                await run.run()
        self.assertEqual(1, len(self.runner.calls))
        self.assertEqual(["s1.0.0"], self.runner.released)

    async def test_all_results_are_released_at_the_end(self):
        run = self.build_run((2, 1))
        results = await run.run()
        await run.release_all()
        made = [
            f"{name}.{stage}.{i}"
            for name, stage, count in self.list_calls()
            for i in range(count)
        ]
        self.assertEqual(
            set(made) - {"s2.1.0"},
            set(self.runner.released) - {results[0].name},
        )
        self.assertIn(results[0].name, self.runner.released)


@strategies.composite
def _stage_lists(draw):
    """Draws up to four stages, each after any of those before it."""
    count = draw(strategies.integers(1, 4))
    return tuple(
        routes.Stage(
            "stage",
            tuple(sorted(draw(strategies.sets(strategies.integers(0, i - 1)))))
            if i
            else (),
            100,
        )
        for i in range(count)
    )


class AnyLossTest(StageRunTestCase):
    """Tests any stages while any endpoints end and start again."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        _stage_lists(),
        strategies.lists(strategies.integers(0, 6), min_size=4, max_size=4),
        strategies.lists(
            strategies.sampled_from(["", "", "s1", "s2", "s3"]), min_size=6
        ),
        strategies.integers(0, 9),
    )
    def test_items_have_all_inputs_and_repeats_are_within_the_budget(
        self, stage_list, counts, ends, retries
    ):
        self.setUp()
        self.cluster.catalogue.put(proxy_fakes.build_endpoint("s3"))
        self.retries_left = retries
        self.counts, self.ends = counts[: len(stage_list)], list(ends)
        self.starts, self.made = collections.Counter(), {}
        self.runner.run_items = self.run_items
        curio.run(self.check_run, stage_list)

    async def run_items(self, endpoint, limits, items):
        self.runner.calls.append((endpoint.name, items))
        loads = self.runner.loads
        loads[endpoint.name] = loads.get(endpoint.name, 0) + 0.4
        await curio.sleep(0)
        ended = self.ends.pop(0) if self.ends else ""
        self.starts[ended] += 1
        return [self.run_item(endpoint, item) for item in items]

    def run_item(self, endpoint, item):
        for name in item.inputs:
            holder, start = self.made[name][:2]
            if start != self.starts[holder]:
                return proxies.ItemResult("", "gone", endpoint.name)
        start = self.starts[endpoint.name]
        name = f"{endpoint.name}.{start}.{item.stage}.{item.index}"
        self.made[name] = (endpoint.name, start, item.stage, item.index)
        return proxies.ItemResult(name, "", endpoint.name)

    async def check_run(self, stage_list):
        run = self.build_run(tuple(self.counts), stage_list)
        before, failed = self.retries_left, False
        try:
            async with stages.release_on_error(run):
                results = await run.run()
        except errors.EarlierStageError:
            failed = True
        self.check_inputs(stage_list)
        self.check_repeats(before)
        if failed:
            self.assertEqual(set(self.made), set(self.runner.released))
            return
        consumed = {i for stage in stage_list for i in stage.after}
        self.assertEqual(
            self.list_items(set(range(len(stage_list))) - consumed),
            [self.made[stage_result.name][2:] for stage_result in results],
        )
        await run.release_all()
        self.assertEqual(set(self.made), set(self.runner.released))

    def list_items(self, stage_indices):
        return [
            (stage, index)
            for stage in sorted(stage_indices)
            for index in range(self.counts[stage])
        ]

    def check_inputs(self, stage_list):
        for _, items in self.runner.calls:
            for item in items:
                self.assertEqual(
                    self.list_items(stage_list[item.stage].after),
                    [self.made[name][2:] for name in item.inputs],
                )

    def check_repeats(self, retries):
        """Checks that each call beyond the first of its items took a retry."""
        seen, repeats = set(), 0
        for _, items in self.runner.calls:
            keys = {(item.stage, item.index) for item in items}
            repeats += bool(keys & seen)
            seen |= keys
        self.assertLessEqual(repeats, retries)
