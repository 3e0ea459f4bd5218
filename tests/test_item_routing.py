"""Tests of running items here or at their owner, and of estimates."""

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


class GroupTest(base.TestCase):
    """Tests an entry with another one that owns the endpoint."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock()
        self.known = cluster_state.ClusterState(
            5.0, ownership.Member("me", "a")
        )
        self.known.table = proxy_fakes.build_table([])
        self.endpoint = proxy_fakes.build_endpoint(data_centre="b")
        self.known.catalogue.put(self.endpoint)
        self.endpoints = proxy_fakes.FakeEndpoints()
        gatherer = batch_dispatch.BatchDispatcher(
            self.endpoints,
            self.clock,
            proxy_fakes.FakeJournal(),
            lambda _: True,
        )
        self.group = item_routing.RoutedItemRunner(
            gatherer, self.known, self.clock
        )
        self.group.table = FakeTable(self.clock)

    def link_owner(self):
        self.known.adopt_members([ownership.Member("other", "b")])
        self.group.table.linked["other"] = FakeOwner("other")

    async def run_items(self):
        return await self.group.run_items(
            self.endpoint,
            LIMITS,
            [proxy_fakes.build_item(due_at=self.clock.now() + 1)],
        )

    def estimate(self):
        return self.group.estimate_seconds(
            self.endpoint,
            LIMITS,
            batching.NewItems(1, 100, False),
            self.clock.now(),
        )

    async def test_owner_runs_items_and_releases_their_results(self):
        self.link_owner()
        (outcome,) = await self.run_items()
        await self.group.release(self.endpoint, [outcome.result])
        self.assertEqual(1, len(self.group.table.items_run))
        self.assertEqual(["r0"], self.group.table.released)
        self.assertEqual([], self.endpoints.batches)

    async def test_entry_runs_items_itself_without_a_link_to_the_owner(self):
        self.known.adopt_members([ownership.Member("other", "b")])
        await self.run_items()
        self.assertEqual(1, len(self.endpoints.batches))

    async def test_results_of_a_lost_owner_are_released_locally(self):
        self.link_owner()
        (outcome,) = await self.run_items()
        self.group.table.linked.clear()
        await self.group.release(self.endpoint, [outcome.result])
        self.assertEqual([], self.group.table.released)

    async def test_slow_items_raise_the_estimate(self):
        self.link_owner()
        before = self.estimate()
        for _ in range(50):
            await self.run_items()
        self.assertGreater(self.estimate(), 2 * before)

    async def test_items_are_run_for_another_entry(self):
        pieces = messages.ItemsRequest(
            1, "e1", "a1", 0, [0, 1], "k", [], 100, 900, 5000, 0
        )
        results = await self.group.serve_items(pieces)
        self.assertEqual(["a1/0/0", "a1/0/1"], [m.result for m in results])
        gone = await self.group.serve_items(pieces._replace(endpoint="e9"))
        self.assertEqual([batch_dispatch.UNSENT] * 2, [m.reason for m in gone])
