"""Tests of the queue and the batches of a batching endpoint."""

from samphirevale import batching, stage_times
from tests import base, proxy_fakes

NOW = 100.0


class BatchQueueTest(base.TestCase):
    """Tests the queue of one endpoint."""

    def setUp(self):
        self.queue = batching.BatchQueue(proxy_fakes.BATCH_LIMITS)

    def add(self, *items):
        for item in items:
            self.queue.add(item)

    def take_names(self, now=NOW):
        return [
            (item.attempt, item.index) for item in self.queue.take_batch(now)
        ]

    def test_items_of_several_requests_share_a_call(self):
        self.add(
            proxy_fakes.build_item(0, "a"),
            proxy_fakes.build_item(0, "b"),
            proxy_fakes.build_item(1, "b"),
        )
        self.assertEqual([("a", 0), ("b", 0), ("b", 1)], self.take_names())

    def test_concurrency_limit_holds_back_the_next_call(self):
        self.add(proxy_fakes.build_item(0, "a"))
        batch = self.queue.take_batch(NOW)
        self.add(proxy_fakes.build_item(0, "b"))
        self.assertEqual([], self.queue.take_batch(NOW))
        self.queue.end_call(batch, ["r"], NOW)
        self.assertEqual([("b", 0)], self.take_names())

    def test_items_sort_by_due_time_with_late_ones_last(self):
        self.add(
            proxy_fakes.build_item(0, "late", due_at=NOW),
            proxy_fakes.build_item(0, "later", due_at=NOW + 2),
            proxy_fakes.build_item(0, "soon", due_at=NOW + 1),
        )
        names = [name for name, _ in self.take_names()]
        self.assertEqual(["soon", "later", "late"], names)

    def test_late_items_go_first_near_their_deadline_or_with_held_results(self):
        call_seconds = stage_times.estimate_call_seconds(
            proxy_fakes.BATCH_LIMITS, proxy_fakes.BATCH_LIMITS.items
        )
        near_deadline = NOW + batching.LATE_MARGIN_CALLS * call_seconds
        self.add(
            proxy_fakes.build_item(0, "soon", due_at=NOW + 1),
            proxy_fakes.build_item(
                0, "near", due_at=NOW, deadline_at=near_deadline
            ),
            proxy_fakes.build_item(0, "holds", due_at=NOW - 1, inputs=("r",)),
        )
        names = [name for name, _ in self.take_names()]
        self.assertEqual(["holds", "near", "soon"], names)

    def test_state_counts_late_items_separately(self):
        self.add(
            proxy_fakes.build_item(0, "late", due_at=NOW),
            proxy_fakes.build_item(0, "soon", due_at=NOW + 1),
        )
        state = self.queue.build_state(NOW)
        self.assertEqual((1, 100, 1, 100), state[:4])

    def test_request_starts_only_with_memory_for_all_its_items(self):
        self.add(*(proxy_fakes.build_item(i, "a") for i in range(3)))
        first = self.queue.take_batch(NOW)
        self.queue.end_call(first, ["r0", "r1", "r2"], NOW)
        next_items = [
            proxy_fakes.build_item(i, "b", result_bytes=400) for i in range(2)
        ]
        self.add(*next_items)
        self.assertEqual([], self.take_names())
        self.queue.release("r0", NOW + 1)
        self.assertEqual([("b", 0), ("b", 1)], self.take_names())

    def test_small_request_overtakes_one_that_waits_for_memory(self):
        self.add(proxy_fakes.build_item(0, "first", result_bytes=300))
        self.queue.end_call(self.queue.take_batch(NOW), ["r"], NOW)
        self.add(
            proxy_fakes.build_item(0, "large", result_bytes=800),
            proxy_fakes.build_item(0, "small", result_bytes=100, due_at=102.0),
            proxy_fakes.build_item(0, "middle", result_bytes=400, due_at=103.0),
        )
        self.assertEqual([("small", 0)], self.take_names())

    def test_request_larger_than_the_memory_is_split(self):
        self.add(
            *(
                proxy_fakes.build_item(i, "a", result_bytes=400)
                for i in range(3)
            )
        )
        self.assertEqual([("a", 0), ("a", 1)], self.take_names())

    def test_started_request_continues_with_the_free_memory(self):
        self.add(
            *(
                proxy_fakes.build_item(i, "a", result_bytes=220)
                for i in range(6)
            )
        )
        first = self.queue.take_batch(NOW)
        self.assertEqual(4, len(first))
        names = [str(item.index) for item in first]
        self.queue.end_call(first, names, NOW)
        self.assertEqual([], self.queue.take_batch(NOW))
        self.queue.release("0", NOW)
        self.assertEqual([("a", 4)], self.take_names())

    def test_expired_results_free_their_memory(self):
        self.add(proxy_fakes.build_item(0, "a", result_bytes=1000))
        batch = self.queue.take_batch(NOW)
        self.queue.end_call(batch, ["r"], NOW)
        self.assertEqual(0, self.queue.compute_free_memory(NOW + 3.9))
        self.assertEqual(1000, self.queue.compute_free_memory(NOW + 4.1))

    def test_reported_free_memory_overrides_the_estimate(self):
        limits = proxy_fakes.BATCH_LIMITS._replace(memory_bytes=10_000_000)
        queue = batching.BatchQueue(limits)
        queue.adopt_free_memory(2_000_000, NOW)
        self.assertEqual(2_000_000, queue.compute_free_memory(NOW))
        self.assertEqual(10_000_000, queue.compute_free_memory(NOW + 2))

    def test_memory_shortage_corrects_the_result_size(self):
        self.add(*(proxy_fakes.build_item(i, "a") for i in range(8)))
        for _ in range(2):
            batch = self.queue.take_batch(NOW)
            names = [str(item.index) for item in batch]
            self.queue.end_call(batch, names, NOW)
        self.add(proxy_fakes.build_item(0, "b", result_bytes=150))
        batch = self.queue.take_batch(NOW)
        self.queue.end_call(batch, [None], NOW)
        self.queue.record_memory_shortage(150, NOW)
        self.add(*batch)
        after = NOW + batching.SHORTAGE_BACKOFF_SECONDS
        self.assertEqual([], self.queue.take_batch(after))
        self.queue.release("0", after)
        self.assertEqual(batch, self.queue.take_batch(after))

    def test_expired_items_are_returned(self):
        item = proxy_fakes.build_item(deadline_at=NOW + 0.1)
        self.add(item)
        self.assertEqual([item], self.queue.take_expired(NOW))
        self.assertEqual(0, len(self.queue))

    def test_withdrawn_items_are_not_sent(self):
        ticket = object()
        self.add(proxy_fakes.build_item(ticket=ticket))
        self.queue.withdraw(ticket)
        self.assertEqual([], self.take_names())


class EstimateTest(base.TestCase):
    """Tests the estimated completion time of new items."""

    def estimate(self, state, result_bytes=100, late=False):
        work = batching.NewItems(1, result_bytes, late)
        return batching.estimate_seconds(state, proxy_fakes.BATCH_LIMITS, work)

    def test_estimate_includes_queued_full_calls(self):
        state = batching.QueueState(4, 400, 8, 800, 1000, 0.1, 0.6)
        # The call in flight, two calls of 0.15 s and five items.
        expected = 0.1 + 2 * 0.15 + 5 * 0.02
        self.assertAlmostEqual(expected, self.estimate(state))

    def test_estimate_of_late_items_includes_all_others(self):
        state = batching.QueueState(4, 400, 8, 800, 2000, 0.1, 0.6)
        expected = 0.1 + 4 * 0.15 + 13 * 0.02
        self.assertAlmostEqual(expected, self.estimate(state, late=True))

    def test_estimate_includes_the_wait_for_memory(self):
        state = batching.QueueState(0, 0, 0, 0, 0, 0.0, 0.6)
        self.assertAlmostEqual(0.6, self.estimate(state, result_bytes=1000))


class BurstTest(base.TestCase):
    """Simulates a burst of requests to one endpoint without a network."""

    def simulate_burst(self, items_limit):
        """Returns how many requests of a burst meet their target."""
        limits = proxy_fakes.BATCH_LIMITS._replace(
            items=items_limit, memory_bytes=10**9
        )
        queue = batching.BatchQueue(limits)
        for index in range(40):
            queue.add(proxy_fakes.build_item(0, f"a{index}", due_at=NOW + 2.0))
        now = NOW
        in_time = 0
        while len(queue):
            batch = queue.take_batch(now)
            now += stage_times.estimate_call_seconds(limits, len(batch))
            queue.end_call(batch, [None] * len(batch), now)
            in_time += len(batch) if now <= NOW + 2.0 else 0
        return in_time

    def test_full_batches_meet_the_target_of_three_times_as_many(self):
        self.assertGreater(self.simulate_burst(8), 3 * self.simulate_burst(1))
