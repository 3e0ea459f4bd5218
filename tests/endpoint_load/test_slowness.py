"""Tests of the learned slowness of endpoints."""

import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies

from samphirevale import batching, routes
from samphirevale.endpoint_load import slowness
from tests import base, proxy_fakes

NOW = 100.0

LIMITS = routes.BatchLimits(
    concurrency=1,
    queue=2,
    items=20,
    call_seconds=0.15,
    item_seconds=0.005,
    memory_bytes=10**9,
    result_seconds=4.0,
)


class SlownessTest(base.TestCase):
    """Tests the slowness of one endpoint."""

    def setUp(self):
        self.slowness = slowness.Slowness()

    def record(self, ratio, seconds=0.0):
        self.slowness.record_call(0.2, 0.2 * ratio, NOW + seconds)

    def get(self, seconds=0.0):
        return self.slowness.get(NOW + seconds)

    def test_endpoint_without_calls_has_the_configured_speed(self):
        self.assertEqual(1.0, self.get())

    def test_slow_calls_are_learned_and_forgotten(self):
        self.record(4.0)
        self.assertEqual(2.5, self.get())
        self.record(4.0)
        self.assertEqual(3.25, self.get())
        self.assertLess(self.get(10.0), 1.2)

    def test_fast_calls_end_the_slowness(self):
        for _ in range(4):
            self.record(4.0)
        for _ in range(4):
            self.record(1.0)
        self.assertLess(self.get(), 1.2)

    def test_statement_counts_as_a_call(self):
        self.slowness.record(4.0, NOW)
        self.assertEqual(2.5, self.get())

    def test_one_observation_is_bounded(self):
        self.record(1e9)
        self.assertLess(self.get(), slowness.OBSERVATION_BOUNDS[1])

    def test_overdue_call_is_expected_to_last_as_long_again(self):
        self.assertAlmostEqual(0.3, slowness.estimate_rest(NOW + 0.3, NOW))
        self.assertAlmostEqual(0.7, slowness.estimate_rest(NOW - 0.7, NOW))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 100), strategies.floats(0, 10)
            )
        ),
        strategies.sampled_from(slowness.estimators.list_names()),
    )
    def test_slowness_stays_within_the_bounds(self, calls, estimator):
        learned = slowness.Slowness(estimator)
        now = NOW
        for ratio, pause in calls:
            now += pause
            learned.record_call(0.2, 0.2 * ratio, now)
            low, high = slowness.OBSERVATION_BOUNDS
            self.assertTrue(low <= learned.get(now) <= high)


class Play:
    """Requests that arrive at the owner of some endpoints, on played time.

    Endpoint 0 is slow for a while. Each request goes to the endpoint that is
    expected to be done first.
    """

    SLOW_FROM, SLOW_UNTIL, SLOW_FACTOR = 4.0, 10.0, 5.0

    def __init__(self, estimator, seed):
        self.queues = [batching.BatchQueue(LIMITS) for _ in range(4)]
        for queue in self.queues:
            queue.slowness = slowness.Slowness(estimator)
        self.rng = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.seconds = []

    def run(self, rate, seconds):
        """Returns the durations of all requests."""
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(rate)
            self.push(now, self.arrive)
        while self.events:
            now, _, handle, *arguments = heapq.heappop(self.events)
            handle(now, *arguments)
        return self.seconds

    def push(self, at, handle, *arguments):
        heapq.heappush(self.events, (at, next(self.order), handle, *arguments))

    def arrive(self, now):
        work = batching.NewItems(4, 0, False)

        def estimate(index):
            state = self.queues[index].build_state(now)
            return batching.estimate_seconds(state, LIMITS, work)

        chosen = min(range(4), key=estimate)
        for index in range(4):
            item = proxy_fakes.build_item(
                index, due_at=now + 5, deadline_at=now + 60, ticket=now
            )
            self.queues[chosen].add(item._replace(result_bytes=0))
        self.start(now, chosen)

    def start(self, now, index):
        queue = self.queues[index]
        batch = queue.take_batch(now)
        if not batch:
            return
        seconds = LIMITS.call_seconds + len(batch) * LIMITS.item_seconds
        if index == 0 and self.SLOW_FROM <= now < self.SLOW_UNTIL:
            seconds *= self.SLOW_FACTOR
        self.push(now + seconds, self.end, index, batch, now)

    def end(self, now, index, batch, began_at):
        queue = self.queues[index]
        configured = LIMITS.call_seconds + len(batch) * LIMITS.item_seconds
        queue.slowness.record_call(configured, now - began_at, now)
        queue.end_call(batch, [None] * len(batch), now)
        self.seconds += {
            item.ticket: now - item.ticket for item in batch
        }.values()
        self.start(now, index)


class SlowEndpointTest(base.TestCase):
    """One of four busy endpoints turns slow."""

    def measure(self, estimator, target=0.8):
        """Returns the share of requests that are done within the target."""
        seconds = [
            duration
            for seed in range(5)
            for duration in Play(estimator, seed).run(rate=45.0, seconds=14.0)
        ]
        return sum(value <= target for value in seconds) / len(seconds)

    def test_more_requests_are_on_time_than_by_the_configured_speed(self):
        shares = {
            name: self.measure(name)
            for name in slowness.estimators.list_names()
        }
        self.assertGreater(shares["average"], 0.97, shares)
        late = {name: 1 - share for name, share in shares.items()}
        self.assertLess(late["average"], 0.5 * late["nominal"], shares)
        self.assertLess(late["average"], late["last"] + 0.01, shares)
