"""Tests of broken streams while the endpoints that could go on pause."""

import contextlib
import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    catalogue,
    errors,
    retry_budgets,
    routes,
    stream_waits,
)
from tests import base, proxy_fakes, test_event_streams, test_proxying

NOW = test_proxying.NOW

FIRST_EVENT = b"id: 1\n\n"
SECOND_EVENT = b"id: 2\n\n"

REFUSAL = errors.NotExecutedError("status 503", asks_pause=True)


class LatestWaitTest(base.TestCase):
    """Tests how long a stream may wait, without a network."""

    def build_stream(self, target=0.3, event_target=0.04, **changes):
        route = proxy_fakes.build_route(
            target_seconds=target, event_target_seconds=event_target
        )
        stream = stream_waits.BrokenStream(route, NOW, NOW + 60.0, 0.0)
        return stream._replace(**changes)

    def test_callers_abandon_a_stream_after_the_longest_of_three_gaps(self):
        for target, event_target, patience in (
            (0.3, 0.04, 2.0),
            (0.8, 0.04, 3.2),
            (0.3, 0.5, 4.0),
            (0.3, 0.0, 2.0),
        ):
            stream = self.build_stream(target, event_target)
            self.assertTrue(stream_waits.may_wait(stream, patience - 0.1, NOW))
            self.assertFalse(stream_waits.may_wait(stream, patience + 0.1, NOW))

    def test_time_since_the_last_event_counts(self):
        stream = self.build_stream()
        self.assertTrue(stream_waits.may_wait(stream, 0.9, NOW + 1.0))
        self.assertFalse(stream_waits.may_wait(stream, 1.1, NOW + 1.0))

    def test_time_to_the_next_event_counts(self):
        stream = self.build_stream(resumption_seconds=0.5)
        self.assertTrue(stream_waits.may_wait(stream, 1.4, NOW))
        self.assertFalse(stream_waits.may_wait(stream, 1.6, NOW))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.floats(0.0, 10.0),
        strategies.floats(0.0, 10.0),
        strategies.floats(0.0, 10.0),
        strategies.floats(0.0, 5.0),
    )
    def test_no_wait_ends_after_the_deadline(
        self, deadline, elapsed, pause, resumption
    ):
        stream = self.build_stream(
            deadline_at=NOW + deadline, resumption_seconds=resumption
        )
        if stream_waits.may_wait(stream, pause, NOW + elapsed):
            self.assertLessEqual(elapsed + pause + resumption, deadline + 1e-9)


class PausedStreamTest(test_proxying.ProxyTestCase):
    """Tests a stream that breaks while all other endpoints pause."""

    def setUp(self):
        super().setUp()
        self.use_stream_route()
        self.sent_at = []

    def use_stream_route(self, **changes):
        self.use_route(
            proxy_fakes.build_route(
                repeatable=False, streamed=True, resumable=True, **changes
            )
        )

    def build_stream(self, *parts):
        return proxy_fakes.FakeAnswer(parts, streamed=True)

    def build_broken(self):
        return self.build_stream(FIRST_EVENT, proxy_fakes.LOST_ANSWER)

    def pause(self, name, seconds):
        start = catalogue.EndpointStart(name, 1)
        self.cluster.notices.record_pause(start, seconds, self.clock.now())

    async def begin(self, *script, **changes):
        """Begins a stream; returns its answer and the other endpoint."""
        answer = await self.answer(*script, **changes)
        self.endpoints.send = self.record_time(self.endpoints.send)
        first = self.endpoints.sends[0][0]
        return answer, ({"p1", "p2"} - {first}).pop()

    def record_time(self, send):
        async def send_recorded(*arguments):
            self.sent_at.append(round(self.clock.now() - NOW, 3))
            return await send(*arguments)

        return send_recorded

    async def read(self, answer):
        async with contextlib.aclosing(answer.chunks) as chunks:
            return b"".join([chunk async for chunk in chunks])

    async def check_ends(self, answer, reason):
        with self.assertRaisesRegex(errors.AnswerLostError, reason):
            await self.read(answer)
        self.assertEqual(1, len(self.endpoints.sends))
        self.assertEqual(NOW, self.clock.now())

    async def test_stream_of_a_crashed_endpoint_waits_for_a_pause(self):
        answer, other = await self.begin(
            self.build_broken(), self.build_stream(SECOND_EVENT)
        )
        self.pause(other, 1.5)
        self.assertEqual(FIRST_EVENT + SECOND_EVENT, await self.read(answer))
        self.assertEqual([1.5], self.sent_at)
        self.assertEqual(other, self.endpoints.sends[1][0])

    async def test_stream_goes_on_at_the_first_end_of_all_pauses(self):
        answer, other = await self.begin(
            self.build_broken(), self.build_stream(SECOND_EVENT)
        )
        self.pause(other, 1.5)
        first = self.endpoints.sends[0][0]
        self.pause(first, 0.5)
        self.assertEqual(FIRST_EVENT + SECOND_EVENT, await self.read(answer))
        self.assertEqual([0.5], self.sent_at)
        self.assertEqual(first, self.endpoints.sends[1][0])

    async def test_stream_waits_for_an_endpoint_that_refuses_to_go_on(self):
        def refuse():
            self.pause(other, 1.0)
            return REFUSAL

        answer, other = await self.begin(
            self.build_broken(), refuse, self.build_stream(SECOND_EVENT)
        )
        self.assertEqual(FIRST_EVENT + SECOND_EVENT, await self.read(answer))
        self.assertEqual([0.0, 1.0], self.sent_at)
        budget = self.budget.limits
        total = budget.allowance + budget.ratio
        self.assertAlmostEqual(
            retry_budgets.USED_SHARE * total - 2, self.count_retries_left()
        )

    async def test_stream_does_not_outwait_its_caller(self):
        """The caller abandons it after 4 s, four times the target."""
        answer, other = await self.begin(self.build_broken())
        self.pause(other, 4.1)
        await self.check_ends(answer, "endpoints_paused")

    async def test_patience_counts_from_the_last_event(self):
        self.use_stream_route(timeout_seconds=20.0)

        def begin_late():
            self.clock.seconds += 3.0
            return self.build_broken()

        answer, other = await self.begin(
            begin_late, self.build_stream(SECOND_EVENT), wait_seconds=20.0
        )
        self.pause(other, 2.0)
        self.assertEqual(FIRST_EVENT + SECOND_EVENT, await self.read(answer))
        self.assertEqual([5.0], self.sent_at)

    async def test_stream_does_not_wait_beyond_its_deadline(self):
        answer, other = await self.begin(self.build_broken(), wait_seconds=1.0)
        self.pause(other, 1.1)
        await self.check_ends(answer, "endpoints_paused")

    async def test_stream_without_retries_does_not_wait(self):
        self.budget_limits = retry_budgets.RetryBudgetLimits(0.0, 0, 10.0)
        answer, other = await self.begin(self.build_broken())
        self.pause(other, 1.0)
        await self.check_ends(answer, "no_retry_left")

    async def test_stream_does_not_wait_for_another_version(self):
        endpoint = proxy_fakes.build_endpoint("p2", "plain", version="v2")
        self.cluster.catalogue.put(endpoint)
        answer, other = await self.begin(self.build_broken())
        self.pause(other, 1.0)
        await self.check_ends(answer, "no_endpoint")

    async def test_stream_does_not_wait_for_an_endpoint_that_leaves(self):
        answer, other = await self.begin(self.build_broken())
        self.pause(other, 1.0)
        start = catalogue.EndpointStart(other, 1)
        self.cluster.notices.record_leaving(start, NOW)
        await self.check_ends(answer, "no_endpoint")

    async def test_stream_waits_for_its_stages(self):
        self.use_stream_route(stages=(routes.Stage("stage", (), 100),))
        answer, _ = await self.begin(
            self.build_broken(),
            self.build_stream(SECOND_EVENT),
            item_counts=(1,),
        )
        self.pause("s1", 1.0)
        self.assertEqual(FIRST_EVENT + SECOND_EVENT, await self.read(answer))
        self.assertEqual([1.0], self.sent_at)

    async def test_stream_whose_caller_leaves_is_not_sent_after_a_pause(self):
        self.clock = test_event_streams.RunningClock()
        answer, other = await self.begin(
            self.build_broken(), self.build_stream(SECOND_EVENT)
        )
        self.pause(other, 0.4)
        reading = await curio.spawn(self.read, answer, daemon=True)
        await curio.sleep(0.2)
        await reading.cancel()
        await curio.sleep(0.4)
        self.assertEqual([], self.sent_at)

    async def answer_after_loss(self, first_loss, *script, **changes):
        """Answers a stream that breaks before its first event.

        The other endpoint begins a pause of 1 s at the loss.
        """

        def lose():
            (lost,) = [name for name, *_ in self.endpoints.sends]
            (other,) = {"p1", "p2"} - {lost}
            self.pause(other, 1.0)
            return first_loss

        return await self.answer(lose, *script, **changes)

    async def test_stream_that_breaks_before_its_first_event_waits(self):
        answer = await self.answer_after_loss(
            proxy_fakes.LOST_ANSWER, self.build_stream(FIRST_EVENT)
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(NOW + 1.0, self.clock.now())
        self.assertEqual(FIRST_EVENT, await self.read(answer))
        self.assertEqual(2, len(self.endpoints.sends))
        budget = self.budget.limits
        total = budget.allowance + budget.ratio
        self.assertAlmostEqual(
            retry_budgets.USED_SHARE * total - 1, self.count_retries_left()
        )

    async def test_stream_without_events_waits_for_one_that_refuses(self):
        def refuse():
            for name in ("p1", "p2"):
                self.pause(name, 1.0)
            return REFUSAL

        answer = await self.answer(
            proxy_fakes.LOST_ANSWER, refuse, self.build_stream(FIRST_EVENT)
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(NOW + 1.0, self.clock.now())
        self.assertEqual(3, len(self.endpoints.sends))
        await answer.chunks.aclose()

    async def test_stream_that_may_come_back_is_refused_at_once(self):
        answer = await self.answer_after_loss(
            errors.NotExecutedError("full"), wait_seconds=5.0
        )
        self.assertEqual(503, answer.status)
        self.assertEqual(NOW, self.clock.now())

    async def test_stream_without_events_does_not_wait_beyond_its_deadline(
        self,
    ):
        answer = await self.answer_after_loss(
            proxy_fakes.LOST_ANSWER, wait_seconds=0.9
        )
        self.assertEqual(502, answer.status)
        self.assertEqual(NOW, self.clock.now())

    async def test_request_that_is_no_stream_does_not_wait(self):
        self.use_route(proxy_fakes.build_route())
        answer = await self.answer_after_loss(proxy_fakes.LOST_ANSWER)
        self.assertEqual(502, answer.status)
        self.assertEqual(NOW, self.clock.now())

    async def test_any_pauses_get_nothing_and_all_retries_are_taken(self):
        rng = random.Random(1)
        for _ in range(100):
            self.setUp()
            await self.check_random_pauses(rng)

    async def check_random_pauses(self, rng):
        paused_until = {"p1": 0.0, "p2": 0.0}

        async def send(endpoint, *_):
            now = self.clock.now()
            self.assertLessEqual(paused_until[endpoint.name], now)
            self.sent_at.append(now)
            if rng.random() < 0.3:
                return self.build_stream(SECOND_EVENT)
            seconds = rng.uniform(0.1, 2.0)
            paused_until[endpoint.name] = now + seconds
            self.pause(endpoint.name, seconds)
            raise REFUSAL

        answer, other = await self.begin(self.build_broken())
        self.pause(other, 1.0)
        paused_until[other] = NOW + 1.0
        self.endpoints.send = send
        with contextlib.suppress(errors.AnswerLostError):
            await self.read(answer)
        self.assertLessEqual(self.clock.now(), NOW + 4.0)
        budget = self.budget.limits
        total = budget.allowance + budget.ratio
        self.assertAlmostEqual(
            retry_budgets.USED_SHARE * total - len(self.sent_at),
            self.count_retries_left(),
        )
