"""Tests of running items here or at their owner, and of estimates."""

import curio

from samphirevale import (
    batch_dispatch,
    batching,
    cluster_state,
    item_routing,
    messages,
    ownership,
)
from samphirevale.ports import proxies
from tests import base, proxy_fakes

LIMITS = proxy_fakes.BATCH_LIMITS


class FakeOwner:
    """An entry that has not reported the state of any queue."""

    def __init__(self, name):
        self.hello = messages.Hello(name, "x", "entry", "a", "", "")

    def estimate_state(self, endpoint):
        return None


class FakeTable:
    """Runs items at another entry; each call takes one second."""

    def __init__(self, clock):
        self.clock = clock
        self.linked = {}
        self.items_run = []
        self.released = []

    async def run_items(self, owner, endpoint, items):
        self.items_run += items
        self.clock.seconds += 1.0
        return [proxies.ItemResult(f"r{i.index}", "") for i in items]

    async def release(self, owner, endpoint, names):
        self.released += names


class RoutedItemRunnerTest(base.TestCase):
    """Tests an entry that does not own the endpoint."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock()
        self.cluster = cluster_state.ClusterState(
            5.0, ownership.Member("me", "a")
        )
        self.cluster.table = proxy_fakes.build_table([])
        self.endpoint = proxy_fakes.build_endpoint(data_centre="b")
        self.cluster.catalogue.put(self.endpoint)
        self.endpoints = proxy_fakes.FakeEndpoints()
        dispatcher = batch_dispatch.BatchDispatcher(
            self.endpoints,
            self.clock,
            proxy_fakes.FakeJournal(),
            lambda _: True,
        )
        self.runner = item_routing.RoutedItemRunner(
            dispatcher, self.cluster, self.clock
        )
        self.runner.table = FakeTable(self.clock)

    def link_owner(self):
        self.cluster.adopt_members([ownership.Member("other", "b")])
        self.runner.table.linked["other"] = FakeOwner("other")

    async def run_items(self):
        return await self.runner.run_items(
            self.endpoint,
            LIMITS,
            [proxy_fakes.build_item(due_at=self.clock.now() + 1)],
        )

    def estimate(self):
        return self.runner.estimate_seconds(
            self.endpoint,
            LIMITS,
            batching.NewItems(1, 100, False),
            self.clock.now(),
        )

    async def test_owner_runs_items_and_releases_their_results(self):
        self.link_owner()
        (outcome,) = await self.run_items()
        await self.runner.release(self.endpoint, [outcome.result])
        self.assertEqual(1, len(self.runner.table.items_run))
        self.assertEqual(["r0"], self.runner.table.released)
        self.assertEqual([], self.endpoints.batches)

    async def test_entry_runs_items_itself_without_a_link_to_the_owner(self):
        self.cluster.adopt_members([ownership.Member("other", "b")])
        await self.run_items()
        self.assertEqual(1, len(self.endpoints.batches))

    async def test_results_of_a_lost_owner_are_released_locally(self):
        self.link_owner()
        (outcome,) = await self.run_items()
        self.runner.table.linked.clear()
        await self.runner.release(self.endpoint, [outcome.result])
        self.assertEqual([], self.runner.table.released)

    async def test_results_of_several_owners_are_released_by_each(self):
        local_result = (await self.run_items())[0].result
        self.link_owner()
        linked_result = (await self.run_items())[0].result
        await self.runner.release(self.endpoint, [linked_result, local_result])
        await curio.sleep(0)
        self.assertEqual([linked_result], self.runner.table.released)
        self.assertEqual([local_result], self.endpoints.released)

    async def test_slow_items_raise_the_estimate(self):
        self.link_owner()
        before = self.estimate()
        for _ in range(50):
            await self.run_items()
        self.assertGreater(self.estimate(), 2 * before)

    async def test_items_are_run_for_another_entry(self):
        request = messages.ItemsRequest(
            1, "e1", "a1", 0, [0, 1], "k", [], 100, 900, 5000, 0
        )
        results = await self.runner.serve_items(request)
        self.assertEqual(
            ["a1/0/0", "a1/0/1"], [outcome.result for outcome in results]
        )
        gone = await self.runner.serve_items(request._replace(endpoint="e9"))
        self.assertEqual(
            [batch_dispatch.UNSENT] * 2, [outcome.reason for outcome in gone]
        )
