"""Tests of batched calls with items of many requests."""

import contextlib
import random
import time

import curio

from samphirevale import (
    batch_dispatch,
    batching,
    errors,
    gateway,
    routes,
    stage_times,
    stages,
)
from samphirevale.adapters import clock
from samphirevale.ports import proxies
from tests import base, proxy_fakes

LIMITS = proxy_fakes.BATCH_LIMITS


def make_silent(endpoints, seconds):
    """Makes the calls of fake endpoints return only after a silence."""

    async def run_batch(endpoint, items, now):
        await curio.sleep(seconds)
        return endpoints.succeed_all(items)

    endpoints.run_batch = run_batch


@contextlib.asynccontextmanager
async def checking_overdue(dispatcher, begin):
    """Handles overdue calls during the block, like the periodic checks.

    Args:
        dispatcher: the dispatcher that makes the calls.
        begin: the time by the dispatcher's clock.
    """
    began_at = time.monotonic()

    async def check():
        while True:
            await curio.sleep(gateway.CHECK_SECONDS)
            now = begin + time.monotonic() - began_at
            await dispatcher.handle_overdue_calls(now)

    task = await curio.spawn(check, daemon=True)
    try:
        yield
    finally:
        await task.cancel()


class BatchDispatcherTest(base.TestCase):
    """Tests the dispatcher with scripted endpoints."""

    def setUp(self):
        self.endpoint = proxy_fakes.build_endpoint()
        self.endpoints = proxy_fakes.FakeEndpoints()
        self.availability = proxy_fakes.FakeAvailability()
        self.clock = proxy_fakes.FakeClock()
        self.journal = proxy_fakes.FakeJournal()
        self.dispatcher = batch_dispatch.BatchDispatcher(
            self.endpoints,
            self.clock,
            self.journal,
            self.availability,
        )

    async def run_items(self, *items):
        return await self.dispatcher.run_items(self.endpoint, LIMITS, items)

    def hold_calls(self):
        """Holds calls; returns events of their start and for their end."""
        call_started, call_may_end = curio.Event(), curio.Event()

        async def run_batch(endpoint, items, now):
            await call_started.set()
            await call_may_end.wait()
            return self.endpoints.succeed_all(items)

        self.endpoints.run_batch = run_batch
        return call_started, call_may_end

    async def test_results_are_in_the_order_of_the_items(self):
        results = await self.run_items(
            proxy_fakes.build_item(1), proxy_fakes.build_item(0)
        )
        self.assertEqual(
            ["a1/0/1", "a1/0/0"], [outcome.result for outcome in results]
        )

    async def test_draining_endpoint_gets_no_items(self):
        self.availability.usable = False
        results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual(
            [batch_dispatch.UNSENT], [outcome.reason for outcome in results]
        )
        self.assertEqual([], self.endpoints.batches)

    async def test_items_without_memory_are_sent_again_by_the_owner(self):
        self.endpoints.free_memory = 5_000_000
        refusals = [proxies.ItemResult("", "room")]

        def run_items(items):
            if refusals:
                return [refusals.pop()]
            return self.endpoints.succeed_all(items)

        self.endpoints.run_items = run_items
        results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual("a1/0/0", results[0].result)
        self.assertEqual(2, len(self.endpoints.batches))
        self.assertIn("room_adopted", self.journal.list_events())

    async def test_endpoint_without_memory_is_not_called_endlessly(self):
        """Its free memory is less than the unit in which it is reported."""
        self.endpoints.free_memory = 0
        self.endpoints.run_items = lambda items: [
            proxies.ItemResult("", "room") for _ in items
        ]
        results = await self.run_items(proxy_fakes.build_item(result_bytes=10))
        self.assertEqual("late", results[0].reason)
        # The item expires after five seconds.
        self.assertLess(len(self.endpoints.batches), 15)

    async def test_lost_call_occupies_memory_until_its_results_expire(self):
        self.endpoints.run_items = lambda _: proxy_fakes.LOST_ANSWER
        queue = self.dispatcher.find_queue(self.endpoint, LIMITS)
        before = queue.compute_free_memory(100.0)
        await self.run_items(proxy_fakes.build_item(result_bytes=300))
        self.assertEqual(before - 300, queue.compute_free_memory(100.0))
        later = 100.0 + LIMITS.result_seconds + 1
        self.assertEqual(before, queue.compute_free_memory(later))

    async def test_failed_call_fails_its_items_and_is_logged(self):
        self.endpoints.run_items = lambda _: proxy_fakes.LOST_ANSWER
        results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual("error", results[0].reason)
        self.assertIn("batch_failed", self.journal.list_events())

    async def test_queue_goes_on_after_a_call_that_broke_down(self):
        self.endpoints.run_items = lambda _: KeyError("odd")
        async with curio.timeout_after(5.0):
            results = await self.run_items(proxy_fakes.build_item())
            self.assertEqual("error", results[0].reason)
            self.endpoints.run_items = self.endpoints.succeed_all
            results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual("a1/0/0", results[0].result)
        self.assertIn("KeyError", str(self.journal.lines))

    async def test_call_of_a_briefly_silent_endpoint_is_not_given_up(self):
        make_silent(self.endpoints, 1.4)
        async with checking_overdue(self.dispatcher, self.clock.now()):
            results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual("a1/0/0", results[0].result)
        self.assertIn("batch_overdue", self.journal.list_events())
        self.assertFalse(self.is_penalized())

    async def test_call_of_a_slow_endpoint_outlasts_a_brief_silence(self):
        work_seconds = 2 * LIMITS.call_seconds
        make_silent(self.endpoints, work_seconds + 1.4)
        async with checking_overdue(self.dispatcher, self.clock.now()):
            results = await self.run_items(proxy_fakes.build_item())
        self.assertEqual([""], [outcome.reason for outcome in results])

    async def test_items_behind_an_overdue_call_are_returned(self):
        make_silent(self.endpoints, 1.4)
        async with checking_overdue(self.dispatcher, self.clock.now()):
            first = await curio.spawn(self.run_items, proxy_fakes.build_item())
            await curio.sleep(0.05)
            started_at = time.monotonic()
            results = await self.run_items(proxy_fakes.build_item(attempt="a2"))
            self.assertEqual(batch_dispatch.OVERDUE, results[0].reason)
            self.assertLess(time.monotonic() - started_at, 1.2)
            self.assertTrue(self.is_penalized())
            self.assertEqual("a1/0/0", (await first.join())[0].result)

    async def test_a_call_is_not_overdue_before_its_time(self):
        make_silent(self.endpoints, 0.2)
        first = await curio.spawn(self.run_items, proxy_fakes.build_item())
        await curio.sleep(0.05)
        queued = await curio.spawn(
            self.run_items, proxy_fakes.build_item(attempt="a2")
        )
        expected = stage_times.estimate_call_seconds(LIMITS, 1)
        overdue = (
            batch_dispatch.OVERDUE_FACTOR * expected
            + batch_dispatch.OVERDUE_MARGIN_SECONDS
        )
        await self.dispatcher.handle_overdue_calls(
            self.clock.now() + overdue - 0.001
        )
        self.assertFalse(self.is_penalized())
        self.assertEqual("a1/0/0", (await first.join())[0].result)
        self.assertEqual("a2/0/0", (await queued.join())[0].result)

    async def test_a_call_that_has_ended_is_not_overdue_later(self):
        await self.run_items(proxy_fakes.build_item())
        await self.dispatcher.handle_overdue_calls(self.clock.now() + 60)
        self.assertFalse(self.is_penalized())
        self.assertEqual([], self.journal.list_events())

    async def test_endpoint_that_answers_again_is_not_penalized(self):
        self.endpoints.run_items = lambda _: proxy_fakes.LOST_ANSWER
        await self.run_items(proxy_fakes.build_item())
        self.assertTrue(self.is_penalized())
        self.endpoints.run_items = self.endpoints.succeed_all
        await self.run_items(proxy_fakes.build_item())
        self.assertFalse(self.is_penalized())

    async def test_items_stay_behind_an_overdue_call_of_the_only_endpoint(self):
        self.availability.has_other = False
        make_silent(self.endpoints, 1.4)
        first = await curio.spawn(self.run_items, proxy_fakes.build_item())
        await curio.sleep(0.05)
        (outcome,) = await self.run_items(proxy_fakes.build_item(attempt="a2"))
        self.assertEqual("a2/0/0", outcome.result)
        await first.join()

    def is_penalized(self):
        state = self.dispatcher.find_state(self.endpoint, 100.0)
        return state.busy_seconds >= batch_dispatch.PENALTY_SECONDS

    def build_state(self):
        return self.dispatcher.build_state(
            self.endpoint, LIMITS, self.clock.now()
        )

    async def test_slow_endpoint_is_expected_to_stay_slow(self):
        async def run_slowly(endpoint, items, now):
            self.clock.seconds += 4 * (
                LIMITS.call_seconds + len(items) * LIMITS.item_seconds
            )
            return self.endpoints.succeed_all(items)

        self.endpoints.run_batch = run_slowly
        for _ in range(3):
            now = self.clock.now()
            item = proxy_fakes.build_item(due_at=now + 10, deadline_at=now + 20)
            await self.run_items(item)
        state = self.dispatcher.build_state(
            self.endpoint, LIMITS, self.clock.now()
        )
        self.assertGreater(state.slowness, 3.0)

    async def test_queued_items_can_go_elsewhere_at_once(self):
        call_started, call_may_end = self.hold_calls()
        running = await curio.spawn(self.run_items, proxy_fakes.build_item())
        await call_started.wait()
        queued = await curio.spawn(self.run_items, proxy_fakes.build_item(1))
        await curio.sleep(0.02)
        self.availability.usable = False
        await self.dispatcher.withdraw_items(self.endpoint)
        async with curio.timeout_after(1):
            (outcome,) = await queued.join()
        self.assertEqual(batch_dispatch.UNSENT, outcome.reason)
        await call_may_end.set()
        (outcome,) = await running.join()
        self.assertEqual("a1/0/0", outcome.result)

    async def test_releases_wait_for_the_end_of_a_pause(self):
        self.availability.paused_until = self.clock.now() + 2.0
        released_at = []

        async def release(endpoint, results):
            released_at.append((self.clock.now(), list(results)))

        self.endpoints.release = release
        await self.dispatcher.release(self.endpoint, ["r1"])
        await self.dispatcher.release(self.endpoint, ["r2"])
        await curio.sleep(0.02)
        self.assertEqual(
            [(self.availability.paused_until, ["r1", "r2"])], released_at
        )

    async def release_after(self, *failures):
        """Releases a result at an endpoint whose first calls fail."""
        script = list(failures)

        async def release(endpoint, results):
            if script:
                await script.pop(0)()
            self.endpoints.released += results

        self.endpoints.release = release
        await self.dispatcher.release(self.endpoint, ["r1"])
        async with curio.ignore_after(batch_dispatch.RELEASE_SECONDS + 0.5):
            while not self.endpoints.released:
                await curio.sleep(0.01)

    async def test_release_on_a_connection_that_breaks_is_sent_again(self):
        async def fail():
            raise proxy_fakes.LOST_ANSWER

        await self.release_after(fail)
        self.assertEqual(["r1"], self.endpoints.released)
        self.endpoints.released = []
        await self.release_after(*[fail] * batch_dispatch.RELEASE_ATTEMPTS)
        self.assertEqual([], self.endpoints.released)

    async def test_release_on_a_silent_connection_is_sent_again(self):
        async def hang():
            await curio.sleep(50.0)

        await self.release_after(hang)
        self.assertEqual(["r1"], self.endpoints.released)

    async def test_endpoint_that_leaves_gets_no_releases(self):
        self.availability.leaving = True
        await self.dispatcher.release(self.endpoint, ["r1"])
        await curio.sleep(0.02)
        self.assertEqual([], self.endpoints.released)

    async def test_free_memory_is_not_read_during_a_pause(self):
        reads = []

        async def read_free_memory(endpoint):
            reads.append(endpoint.name)
            return 5_000_000

        def run_items(items):
            self.availability.usable = False
            self.availability.paused_until = self.clock.now() + 9.0
            return [proxies.ItemResult("", "room")]

        self.endpoints.read_free_memory = read_free_memory
        self.endpoints.run_items = run_items
        (outcome,) = await self.run_items(proxy_fakes.build_item())
        self.assertEqual(batch_dispatch.UNSENT, outcome.reason)
        self.assertEqual([], reads)

    async def test_pause_is_no_penalty_after_its_end(self):
        refusal = errors.NotExecutedError("status 503", asks_pause=True)
        self.endpoints.run_items = lambda _: refusal
        (outcome,) = await self.run_items(proxy_fakes.build_item())
        self.assertEqual("error", outcome.reason)
        self.assertEqual(0.0, self.build_state().busy_seconds)
        self.endpoints.run_items = lambda _: errors.NotExecutedError("full")
        await self.run_items(proxy_fakes.build_item())
        self.assertGreater(self.build_state().busy_seconds, 0.0)

    async def test_items_that_were_not_sent_can_go_elsewhere(self):
        refusal = errors.NotAcceptingError("pauses")
        self.endpoints.run_items = lambda _: refusal
        (outcome,) = await self.run_items(proxy_fakes.build_item())
        self.assertEqual(batch_dispatch.UNSENT, outcome.reason)
        self.assertEqual(0.0, self.build_state().busy_seconds)

    async def test_results_of_cancelled_items_are_released(self):
        call_started, call_may_end = self.hold_calls()
        task = await curio.spawn(self.run_items, proxy_fakes.build_item())
        await call_started.wait()
        await task.cancel()
        await call_may_end.set()
        await curio.sleep(0.05)
        self.assertEqual(["a1/0/0"], self.endpoints.released)


class SilentEndpointTest(base.TestCase):
    """Tests calls to an endpoint that is silent for a while."""

    def setUp(self):
        self.endpoints = proxy_fakes.FakeEndpoints()
        self.clock = clock.MonotonicClock()
        self.cluster = proxy_fakes.build_cluster_state()
        self.dispatcher = batch_dispatch.BatchDispatcher(
            self.endpoints,
            self.clock,
            proxy_fakes.FakeJournal(),
            self.cluster,
        )

    async def run_stage(self, cluster, attempt):
        now = self.clock.now()
        request = proxy_fakes.build_request(attempt=attempt, item_counts=(4,))
        run = stages.StageSequenceRun(
            self,
            cluster,
            self.clock,
            request,
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 10),)),
            stages.StageConstraints(now + 1.0, now + 5.0, 0, ""),
            lambda _: False,
            random.Random(1),
        )
        return await run.run()

    def estimate_seconds(self, endpoint, limits, work, now):
        state = self.dispatcher.build_state(endpoint, limits, now)
        return batching.estimate_seconds(state, limits, work)

    async def run_items(self, endpoint, limits, items):
        return await self.dispatcher.run_items(endpoint, limits, items)

    async def release(self, endpoint, names):
        await self.dispatcher.release(endpoint, names)

    async def test_items_of_a_silent_endpoint_wait_if_there_is_no_other(self):
        make_silent(self.endpoints, 1.4)
        self.use_endpoints("e1", concurrency=3)
        await self.check_stages_of_requests(4)

    async def run_beside_a_shortage(self):
        """Runs two items in one call; the second one finds no memory.

        The endpoint is silent when it is asked for its free memory.

        Returns:
            The times that the items took, in seconds.
        """
        shortages = ["room"]

        def run_items(items):
            results = self.endpoints.succeed_all(items)
            if shortages:
                results[-1] = proxies.ItemResult("", shortages.pop())
            return results

        async def read_free_memory(endpoint):
            await curio.sleep(50.0)

        self.endpoints.run_items = run_items
        self.endpoints.read_free_memory = read_free_memory
        tasks = [await curio.spawn(self.measure_item, name) for name in "ab"]
        return [await task.join() for task in tasks]

    async def measure_item(self, attempt):
        now = self.clock.now()
        item = proxy_fakes.build_item(
            attempt=attempt, due_at=now + 1.0, deadline_at=now + 5.0
        )
        endpoint = proxy_fakes.build_endpoint()
        limits = self.cluster.find_batch_limits("stage")
        await self.dispatcher.run_items(endpoint, limits, [item])
        return self.clock.now() - now

    async def test_results_do_not_wait_for_a_silent_report(self):
        self.use_endpoints("e1", memory_bytes=50_000_000)
        done, _ = await self.run_beside_a_shortage()
        self.assertLess(done, batch_dispatch.FREE_MEMORY_SECONDS)

    async def test_silent_report_does_not_count_as_a_full_memory(self):
        self.use_endpoints("e1", memory_bytes=50_000_000)
        _, short = await self.run_beside_a_shortage()
        self.assertLess(short, 2 * batch_dispatch.FREE_MEMORY_SECONDS)

    async def test_items_need_no_retry_if_the_connect_is_not_answered(self):
        failures = [errors.ConnectTimeoutError("no connection")] * 2

        def run_items(items):
            return (
                failures.pop()
                if failures
                else self.endpoints.succeed_all(items)
            )

        self.endpoints.run_items = run_items
        self.use_endpoints("e1")
        await self.check_stages_of_requests(1)

    async def test_items_of_an_endpoint_that_is_down_are_given_up(self):
        self.endpoints.run_items = lambda _: errors.ConnectError("down")
        self.use_endpoints("e1")
        with self.assertRaises(errors.EarlierStageError):
            await self.run_stage(self.cluster, "a1")
        self.assertEqual(1 + stages.RETRIES_LIMIT, len(self.endpoints.batches))

    async def test_items_wait_if_all_endpoints_fall_silent_at_once(self):
        silent_until = self.clock.now() + 1.4

        async def run_batch(endpoint, items, now):
            await curio.sleep(max(silent_until - self.clock.now(), 0))
            return self.endpoints.succeed_all(items)

        self.endpoints.run_batch = run_batch
        self.use_endpoints("e1", "e2")
        await self.check_stages_of_requests(6)

    def use_endpoints(self, *names, **limits):
        table = proxy_fakes.build_table([])
        service = table.services["stage"]
        service = service._replace(batch=LIMITS._replace(**limits))
        self.cluster.table = table._replace(services={"stage": service})
        for name in names:
            self.cluster.catalogue.put(proxy_fakes.build_endpoint(name))

    async def check_stages_of_requests(self, count):
        tasks = []
        async with checking_overdue(self.dispatcher, self.clock.now()):
            for number in range(count):
                name = f"a{number}"
                tasks.append(
                    await curio.spawn(self.run_stage, self.cluster, name)
                )
                await curio.sleep(0.1)
            for task in tasks:
                await task.wait()
        self.assertEqual([None] * count, [task.exception for task in tasks])


class StartAvailability(proxy_fakes.FakeAvailability):
    """Only one start of an endpoint is usable."""

    def __init__(self):
        super().__init__()
        self.started = 1

    def is_usable(self, endpoint, now):
        return endpoint.started == self.started


class RestartedEndpointTest(base.TestCase):
    """Tests an endpoint that starts again under its name."""

    async def test_items_for_a_new_start_do_not_wait_for_the_old_queue(self):
        endpoints = proxy_fakes.FakeEndpoints()
        machine_clock = clock.MonotonicClock()
        availability = StartAvailability()
        dispatcher = batch_dispatch.BatchDispatcher(
            endpoints, machine_clock, proxy_fakes.FakeJournal(), availability
        )
        now = machine_clock.now()
        items = [
            proxy_fakes.build_item(
                attempt=attempt,
                result_bytes=900,
                due_at=now + 1.0,
                deadline_at=now + 3.0,
            )
            for attempt in ("a1", "a2", "a3")
        ]
        before = proxy_fakes.build_endpoint(started=1)
        await dispatcher.run_items(before, LIMITS, [items[0]])
        waiting = await curio.spawn(
            dispatcher.run_items, before, LIMITS, [items[1]]
        )
        await curio.sleep(0.1)
        availability.started = 2
        async with curio.ignore_after(2.0) as limit:
            results = await dispatcher.run_items(
                proxy_fakes.build_endpoint(started=2), LIMITS, [items[2]]
            )
        await waiting.join()
        self.assertFalse(limit.expired)
        self.assertEqual(["a3/0/0"], [outcome.result for outcome in results])


class MovedItemsTest(base.TestCase):
    """Tests items that wait at one endpoint while another one is idle."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock()
        self.endpoints = proxy_fakes.FakeEndpoints()
        self.busy = proxy_fakes.build_endpoint("busy", data_centre="a")
        self.idle = proxy_fakes.build_endpoint("idle", data_centre="b")
        self.availability = proxy_fakes.FakeAvailability()
        self.dispatcher = batch_dispatch.BatchDispatcher(
            self.endpoints,
            self.clock,
            proxy_fakes.FakeJournal(),
            self.availability,
        )
        self.gate = curio.Event()
        self.endpoints.run_batch = self.run_batch

    async def run_batch(self, endpoint, items, now):
        self.endpoints.batches.append((endpoint.name, list(items)))
        if endpoint.name == "busy":
            await self.gate.wait()
        return self.endpoints.succeed_all(items)

    def build_items(self, attempt, count=1, **changes):
        now = self.clock.now()
        changes = {"due_at": now + 5, "deadline_at": now + 50, **changes}
        return [
            proxy_fakes.build_item(index, attempt, **changes)
            for index in range(count)
        ]

    async def start(self, attempt, **changes):
        """Runs items at the busy endpoint; returns their task."""
        task = await curio.spawn(
            self.dispatcher.run_items,
            self.busy,
            LIMITS,
            self.build_items(attempt, **changes),
        )
        await curio.sleep(0.01)
        return task

    async def fill(self):
        """Occupies the busy endpoint with a call and a full batch."""
        tasks = [await self.start("running")]
        for number in range(LIMITS.items):
            tasks.append(await self.start(f"waiting{number}"))
        return tasks

    def list_batches(self, name):
        return [
            sorted({item.attempt for item in items})
            for endpoint, items in self.endpoints.batches
            if endpoint == name
        ]

    async def finish(self, tasks):
        """Ends all calls; returns the endpoints of the results."""
        await self.gate.set()
        results = [await task.join() for task in tasks]
        return [result.endpoint for group in results for result in group]

    async def test_idle_endpoint_takes_what_would_wait_longest(self):
        tasks = await self.fill()
        self.dispatcher.find_queue(self.idle, LIMITS)
        tasks.append(await self.start("last", due_at=self.clock.now() + 9))
        self.assertIn("last", self.list_batches("idle")[0])
        self.assertEqual("idle", (await self.finish(tasks))[-1])

    async def test_items_stay_where_their_transfers_cost_more(self):
        tasks = await self.fill()
        self.dispatcher.find_queue(self.idle, LIMITS)
        transfers = (("a", 100_000_000),)
        tasks.append(await self.start("last", transfers=transfers))
        moved = sum(self.list_batches("idle"), [])
        self.assertNotIn("last", moved)
        self.assertEqual("busy", (await self.finish(tasks))[-1])

    async def test_items_stay_at_the_endpoints_of_another_owner(self):
        self.availability.interchangeable = False
        tasks = await self.fill()
        self.dispatcher.find_queue(self.idle, LIMITS)
        tasks.append(await self.start("last"))
        self.assertEqual([], self.list_batches("idle"))
        await self.finish(tasks)

    async def test_moved_items_that_are_cancelled_are_released(self):
        tasks = await self.fill()
        self.dispatcher.find_queue(self.idle, LIMITS)
        idle_gate = curio.Event()
        run_batch = self.run_batch

        async def run_held(endpoint, items, now):
            if endpoint.name == "idle":
                await idle_gate.wait()
            return await run_batch(endpoint, items, now)

        self.endpoints.run_batch = run_held
        moved = await self.start("last", due_at=self.clock.now() + 9)
        await moved.cancel()
        await idle_gate.set()
        await self.finish(tasks)
        await curio.sleep(0.01)
        self.assertIn("last/0/0", self.endpoints.released)

    async def test_each_item_runs_once(self):
        tasks = await self.fill()
        self.dispatcher.find_queue(self.idle, LIMITS)
        for number in range(12):
            tasks.append(await self.start(f"more{number}", count=2))
        await self.finish(tasks)
        ran = [
            (item.attempt, item.index)
            for _, items in self.endpoints.batches
            for item in items
        ]
        self.assertEqual(len(set(ran)), len(ran))
        self.assertEqual(1 + LIMITS.items + 24, len(ran))
