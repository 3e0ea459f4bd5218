"""Tests of proxied requests: their sends, retries and answers."""

import random
from unittest import mock

import curio

from samphirevale import (
    answer_memory,
    catalogue,
    crash_reports,
    endpoint_choice,
    errors,
    input_fingerprints,
    placement,
    process_end,
    proxy_context,
    proxy_requests,
    proxying,
    quarantine,
    request_sends,
    retry_budgets,
    return_times,
    routes,
    stage_admission,
    stage_times,
    stream_beginnings,
    stream_origins,
)
from samphirevale.fair_shares import demands
from samphirevale.origins import own_record, records
from samphirevale.ports import proxies
from tests import base, proxy_fakes

NOW = 100.0

# The time in which a plain endpoint takes one request, in seconds.
PLACE_SECONDS = return_times.INITIAL_SECONDS / 4


class FakeItemRunner:
    """Runs items with a preset outcome."""

    def __init__(self):
        self.seconds = 0.1
        self.reason = ""
        self.released = []
        self.item_count = 0

    def estimate_seconds(self, *_):
        return self.seconds

    async def run_items(self, endpoint, limits, items):
        self.item_count += len(items)
        if self.reason:
            return [proxies.ItemResult("", self.reason)] * len(items)
        return [proxies.ItemResult(f"r{i.index}", "") for i in items]

    async def release(self, endpoint, names):
        self.released += names


# A stream of which nobody knows the version.
UNKNOWN = stream_origins.StreamOrigin("plain", stream_origins.UNKNOWN_VERSION)


class FakeOriginLinks:
    """Links to two entries, which know the streams in `known`."""

    def __init__(self):
        self.linked = ["other1", "other2"]
        self.told = []
        self.known = {}

    def list_linked(self):
        return self.linked

    async def tell_origin(self, name, attempt, origin, seconds):
        self.told.append((name, attempt, origin))

    async def ask_origin(self, name, attempt):
        return self.known.get(attempt)


class ProxyTestCase(base.TestCase):
    """Sets up a proxy with two plain endpoints and a stage endpoint."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock(NOW)
        self.own_record = own_record.OwnRecord()
        self.cluster = proxy_fakes.build_cluster_state()
        self.cluster.routes_age.confirm(NOW)
        self.cluster.catalogue.replace(
            [
                proxy_fakes.build_endpoint("p1", "plain"),
                proxy_fakes.build_endpoint("p2", "plain"),
                proxy_fakes.build_endpoint("s1", "stage"),
            ],
            NOW,
        )
        self.use_route(proxy_fakes.build_route())
        self.runner = FakeItemRunner()
        self.journal = proxy_fakes.FakeJournal()
        self.closed = False
        self.process_end = process_end.ProcessEnd()
        self.origins = stream_origins.StreamOrigins()
        self.links = FakeOriginLinks()
        self.store = proxy_fakes.FakeStore()
        self.returns = return_times.ReturnSchedule()
        self.selector = placement.EndpointSelector(random.Random(1))
        self.budget_limits = retry_budgets.RetryBudgetLimits(0.2, 50, 10.0)
        self.quarantine = quarantine.Quarantine(
            input_fingerprints.CRASHES_SECONDS
        )
        self.crashes = crash_reports.CrashReports(
            None, self.clock, self.journal
        )

    def use_route(self, route):
        self.cluster.table = proxy_fakes.build_table([route])

    def use_stream_route(self, **changes):
        self.use_route(
            proxy_fakes.build_route(
                repeatable=False, streamed=True, resumable=True, **changes
            )
        )

    def build_stream(self, *parts):
        return proxy_fakes.FakeAnswer(parts, streamed=True)

    async def answer(self, *script, **changes):
        proxy = self.build_proxy(*script)
        return await proxy.answer(proxy_fakes.build_request(**changes))

    def build_proxy(self, *script):
        self.budget = retry_budgets.RetryBudget(self.budget_limits)
        self.endpoints = proxy_fakes.FakeEndpoints(script)
        directory = stream_origins.OriginDirectory(
            self.origins, self.links, self.clock
        )
        self.recorder = proxy_fakes.build_recorder(
            self.store,
            "me",
            self.cluster,
            self.own_record,
            self.clock,
            self.links.list_linked(),
        )
        self.beginnings = stream_beginnings.StreamBeginnings(
            self.cluster,
            self.endpoints,
            directory,
            self.recorder,
            self.clock,
            self.journal,
        )
        context = proxy_context.ProxyContext(
            self.cluster,
            self.selector,
            self.runner,
            self.budget,
            self.quarantine,
            self.crashes,
            self.process_end,
            answer_memory.AnswerMemory(10_000_000),
            self.endpoints,
            directory,
            self.recorder,
            self.beginnings,
            self.returns,
            demands.ServiceDemands(),
            stage_admission.build_ranked(),
            self.clock,
            random.Random(1),
            self.journal,
        )
        proxy = proxying.Proxy(context)
        proxy.closed = self.closed
        return proxy

    def pause(self, name, seconds):
        """Records a pause that an endpoint asks for."""
        self.cluster.notices.record_pause(
            catalogue.EndpointStart(name, 1), seconds, NOW
        )

    def check_told(self, answer, pause_seconds, place_seconds=PLACE_SECONDS):
        """Checks when the first refused caller is told to come back.

        Args:
            answer: the refusal.
            pause_seconds: the rest of the pause.
            place_seconds: the time in which the service takes one caller.
        """
        self.assertEqual((503, "endpoints_paused"), answer[:2])
        # The difference of two times is not exact.
        self.assertGreater(answer.retry_seconds, pause_seconds - 1e-9)
        self.assertLess(answer.retry_seconds, pause_seconds + place_seconds)

    def count_retries_left(self):
        return self.budget.compute_remaining("plain", 1, NOW)


class AcceptanceTest(ProxyTestCase):
    """Tests which requests are accepted."""

    async def assert_refused(self, status, reason, **changes):
        answer = await self.answer(**changes)
        self.assertEqual((status, reason), (answer.status, answer.reason))
        self.assertEqual([], self.endpoints.sends)

    async def test_requests_before_the_first_routes_are_refused(self):
        self.cluster.table = None
        await self.assert_refused(503, "no_routes")

    async def test_outdated_routes_refuse_as_keys_may_be_revoked(self):
        self.clock.seconds = NOW + 4.0
        await self.assert_refused(503, "routes_outdated")

    async def test_closed_proxy_refuses_requests(self):
        self.closed = True
        await self.assert_refused(503, "leaving")

    async def test_unknown_key_and_path_are_refused(self):
        await self.assert_refused(401, "unknown_key", key="k2")
        await self.assert_refused(404, "no_route", path="/other")

    async def test_anonymous_route_needs_no_key(self):
        self.use_route(proxy_fakes.build_route(anonymous=True))
        answer = await self.answer(proxy_fakes.FakeAnswer([b"x"]), key="")
        self.assertEqual(b"x", answer.body)

    async def test_account_and_remaining_time_are_sent(self):
        self.clock.seconds = NOW + 1.0
        await self.answer(proxy_fakes.FakeAnswer([b"x"]))
        send = self.endpoints.sends[0][2]
        self.assertEqual("acme", send.account)
        self.assertAlmostEqual(4.0, send.wait_seconds)


class CompleteAnswerTest(ProxyTestCase):
    """Tests answers that are returned as a whole."""

    async def test_body_and_headers_of_the_endpoint_are_returned(self):
        answer = await self.answer(proxy_fakes.FakeAnswer([b"a", b"b"]))
        self.assertEqual(
            proxy_requests.CompleteAnswer(200, ((b"X-Seal", b"s"),), b"ab"),
            answer,
        )

    async def test_idempotent_request_is_retried_at_another_endpoint(self):
        answer = await self.answer(
            proxy_fakes.LOST_ANSWER, proxy_fakes.FakeAnswer([b"x"])
        )
        self.assertEqual(b"x", answer.body)
        names = [name for name, *_ in self.endpoints.sends]
        self.assertEqual({"p1", "p2"}, set(names))

    async def test_truncated_body_is_retried(self):
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"a", proxy_fakes.LOST_ANSWER]),
            proxy_fakes.FakeAnswer([b"x"]),
        )
        self.assertEqual(b"x", answer.body)

    async def test_request_that_may_have_run_is_not_sent_again(self):
        self.use_route(proxy_fakes.build_route(repeatable=False))
        answer = await self.answer(proxy_fakes.LOST_ANSWER)
        self.assertEqual(502, answer.status)
        self.assertIsNone(answer.retry_seconds)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_request_that_has_not_run_is_sent_again(self):
        self.use_route(proxy_fakes.build_route(repeatable=False))
        answer = await self.answer(
            errors.NotExecutedError("full"),
            errors.ConnectError("down"),
        )
        self.assertEqual((503, "no_endpoint"), (answer.status, answer.reason))
        self.assertIsNotNone(answer.retry_seconds)

    async def test_refusal_after_a_lost_answer_does_not_invite_a_retry(self):
        answer = await self.answer(
            proxy_fakes.LOST_ANSWER, errors.NotExecutedError("full")
        )
        self.assertEqual(502, answer.status)

    async def test_input_that_crashes_endpoints_is_refused(self):
        self.use_route(proxy_fakes.build_route(attempts_limit=9))
        for index in range(2):
            answer = await self.answer(
                proxy_fakes.LOST_ANSWER,
                proxy_fakes.LOST_ANSWER,
                attempt=f"a{index}",
            )
        self.assertEqual("answer_lost", answer.reason)
        self.assertEqual(1, len(self.endpoints.sends))
        answer = await self.answer(attempt="a3")
        self.assertEqual("input_crashes_endpoints", answer.reason)
        self.assertEqual([], self.endpoints.sends)
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"x"]), body=b"other"
        )
        self.assertEqual(200, answer.status)

    async def test_answered_input_leaves_the_quarantine(self):
        await self.answer(
            proxy_fakes.LOST_ANSWER,
            proxy_fakes.FakeAnswer([b"x"]),
            attempt="a1",
        )
        self.assertEqual([], self.quarantine.list_newest(9, NOW))

    async def test_silent_endpoint_is_waited_for_if_no_other_may_answer(self):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        silent = [proxy_fakes.Silence(0.5), b"x"]
        self.budget_limits = retry_budgets.RetryBudgetLimits(0.0, 0, 10.0)
        answer = await self.answer(proxy_fakes.FakeAnswer(silent))
        self.assertEqual((200, b"x"), (answer.status, answer.body))
        self.budget_limits = retry_budgets.RetryBudgetLimits(0.2, 50, 10.0)
        self.cluster.catalogue.remove("p2", NOW)
        answer = await self.answer(proxy_fakes.FakeAnswer(silent))
        self.assertEqual((200, b"x"), (answer.status, answer.body))

    async def test_request_to_a_silent_endpoint_is_sent_to_another(self):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        silent = proxy_fakes.FakeAnswer([proxy_fakes.Silence(5.0)])
        answer = await self.answer(silent, proxy_fakes.FakeAnswer([b"x"]))
        self.assertEqual((200, b"x"), (answer.status, answer.body))
        self.assertTrue(silent.closed)

    async def test_silence_is_a_failure_if_another_endpoint_answers(self):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        silent = proxy_fakes.FakeAnswer([proxy_fakes.Silence(5.0)])
        await self.answer(silent, proxy_fakes.FakeAnswer([b"x"]))
        self.assertEqual([1, 0], self.list_failures())

    async def test_silence_is_a_failure_if_the_deadline_passes(self):
        def pass_deadline():
            self.clock.seconds += 60
            return proxy_fakes.FakeAnswer([proxy_fakes.Silence(5.0)])

        answer = await self.answer(pass_deadline)
        self.assertEqual(504, answer.status)
        self.assertEqual([1], self.list_failures())

    async def test_silence_is_no_failure_if_the_endpoint_answers(self):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        self.cluster.catalogue.remove("p2", NOW)
        silent = proxy_fakes.FakeAnswer([proxy_fakes.Silence(0.5), b"x"])
        await self.answer(silent)
        self.assertEqual([0], self.list_failures())

    def list_failures(self):
        """Returns the consecutive failures of each endpoint sent to."""
        return [
            self.selector.get_load(name).failures
            for name, _, _ in self.endpoints.sends
        ]

    async def test_request_to_silent_endpoints_is_sent_as_often_as_allowed(
        self,
    ):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        self.cluster.catalogue.put(proxy_fakes.build_endpoint("p3", "plain"))
        answer = await self.answer(
            proxy_fakes.FakeAnswer([proxy_fakes.Silence(5.0)]),
            proxy_fakes.FakeAnswer([proxy_fakes.Silence(0.5), b"x"]),
        )
        self.assertEqual((200, b"x"), (answer.status, answer.body))

    async def test_input_of_silent_endpoints_is_not_refused_as_crashing(self):
        self.use_route(proxy_fakes.build_route(target_seconds=0.1))
        for index in range(4):
            silent = proxy_fakes.FakeAnswer([proxy_fakes.Silence(0.4), b"x"])
            answer = await self.answer(
                silent,
                proxy_fakes.FakeAnswer([b"failed"], status=500),
                attempt=f"a{index}",
            )
            self.assertEqual((200, b"x"), (answer.status, answer.body))

    async def test_attempts_are_limited_by_the_route(self):
        self.use_route(proxy_fakes.build_route(attempts_limit=1))
        answer = await self.answer(proxy_fakes.LOST_ANSWER)
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_last_failure_of_an_endpoint_is_returned(self):
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"1"], 500),
            proxy_fakes.FakeAnswer([b"2"], 500),
        )
        self.assertEqual((500, b"2"), (answer.status, answer.body))

    async def test_failure_is_not_given_up_for_an_endpoint_that_is_down(self):
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"1"], 500), errors.ConnectError("down")
        )
        self.assertEqual((500, b"1"), (answer.status, answer.body))

    async def test_failure_is_returned_without_another_endpoint(self):
        self.cluster.catalogue.remove("p2", NOW)
        answer = await self.answer(proxy_fakes.FakeAnswer([b"1"], 500))
        self.assertEqual(500, answer.status)
        self.assertGreater(
            self.count_retries_left(),
            retry_budgets.USED_SHARE * self.budget.limits.allowance,
        )

    async def test_only_endpoint_is_connected_to_again_after_a_silence(self):
        self.cluster.catalogue.remove("p2", NOW)
        silent = errors.ConnectTimeoutError("no connection")
        for changes in ({}, {"repeatable": False}):
            self.use_route(proxy_fakes.build_route(**changes))
            answer = await self.answer(
                silent, silent, proxy_fakes.FakeAnswer([b"x"])
            )
            self.assertEqual(200, answer.status)
        answer = await self.answer(silent, silent, silent)
        self.assertEqual((503, "unreachable"), (answer.status, answer.reason))

    async def test_endpoint_that_has_the_request_is_not_connected_to_again(
        self,
    ):
        self.cluster.catalogue.remove("p2", NOW)
        silent = errors.ConnectTimeoutError("no connection")
        answer = await self.answer(silent, proxy_fakes.LOST_ANSWER)
        self.assertEqual((502, 2), (answer.status, len(self.endpoints.sends)))

    async def test_endpoint_that_is_down_is_not_connected_to_again(self):
        self.cluster.catalogue.remove("p2", NOW)
        answer = await self.answer(errors.ConnectError("refused"))
        self.assertEqual(503, answer.status)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_draining_endpoint_gets_no_requests(self):
        for name in ("p1", "p2"):
            endpoint = self.cluster.catalogue.find(name)
            self.cluster.catalogue.put(endpoint._replace(accepting=False))
        answer = await self.answer()
        self.assertEqual((503, []), (answer.status, self.endpoints.sends))


class PauseTest(ProxyTestCase):
    """Tests requests while endpoints leave or pause."""

    async def test_pausing_endpoint_gets_no_requests(self):
        self.pause("p1", 2.0)
        for _ in range(9):
            await self.answer(proxy_fakes.FakeAnswer([b"x"]))
            self.assertEqual("p2", self.endpoints.sends[0][0])

    async def test_endpoint_that_leaves_gets_no_requests(self):
        for name in ("p1", "p2"):
            self.cluster.notices.record_leaving(
                catalogue.EndpointStart(name, 1), NOW
            )
        answer = await self.answer()
        self.assertEqual((503, "no_endpoint"), (answer.status, answer.reason))
        self.assertEqual([], self.endpoints.sends)

    async def test_caller_learns_when_the_first_endpoint_ends_its_pause(self):
        self.pause("p1", 2.0)
        self.pause("p2", 3.0)
        answer = await self.answer()
        self.check_told(answer, 2.0)
        self.assertEqual([], self.endpoints.sends)

    async def test_callers_refused_in_a_pause_do_not_return_as_one_herd(self):
        self.pause("p1", 2.0)
        self.pause("p2", 2.5)
        proxy = self.build_proxy()
        told = []
        for number in range(40):
            request = proxy_fakes.build_request(attempt=f"a{number}")
            told.append((await proxy.answer(request)).retry_seconds)
        self.assertEqual(sorted(told), told)
        for number in range(20):
            seconds = 2.0 + number * PLACE_SECONDS
            self.assertLessEqual(seconds, told[number])
            self.assertLess(told[number], seconds + PLACE_SECONDS)
        for number in range(20, 40):
            seconds = 2.5 + (number - 20) * PLACE_SECONDS / 2
            self.assertLessEqual(seconds, told[number])
            self.assertLess(told[number], seconds + PLACE_SECONDS / 2)

    async def test_longer_requests_are_spread_over_a_longer_time(self):
        for _ in range(200):
            self.returns.record_duration("plain", 1.0)
        self.pause("p1", 2.0)
        self.pause("p2", 9.0)
        proxy = self.build_proxy()
        for _ in range(4):
            answer = await proxy.answer(proxy_fakes.build_request())
        self.assertGreater(answer.retry_seconds, 2.0 + 3 * 0.99 / 4)

    async def test_duration_of_answered_requests_is_learned(self):
        def answer_late():
            self.clock.seconds += 1.0
            return proxy_fakes.FakeAnswer([b"x"])

        refusal = errors.NotExecutedError("status 503", asks_pause=True)
        await self.answer(refusal, answer_late)
        weight = return_times.DURATION_WEIGHT
        self.assertAlmostEqual(
            (1 - weight) * return_times.INITIAL_SECONDS + weight,
            self.returns.get_duration("plain"),
        )

    async def test_pause_is_no_failure_of_the_endpoint(self):
        refusal = errors.NotExecutedError("status 503", asks_pause=True)
        await self.answer(refusal, refusal)
        for name in ("p1", "p2"):
            load = self.selector.get_load(name)
            self.assertEqual((0, 0.0), (load.failures, load.avoided_until))

    async def test_refused_request_goes_on_and_counts_as_a_retry(self):
        refusal = errors.NotExecutedError("status 503", asks_pause=True)
        answer = await self.answer(refusal, proxy_fakes.FakeAnswer([b"x"]))
        self.assertEqual(b"x", answer.body)
        budget = self.budget.limits
        total = budget.allowance + budget.ratio
        self.assertAlmostEqual(
            retry_budgets.USED_SHARE * total - 1, self.count_retries_left()
        )

    async def test_refusal_without_another_endpoint_takes_no_retry(self):
        self.pause("p1", 2.0)

        def refuse():
            self.pause("p2", 3.0)
            return errors.NotExecutedError("status 503", asks_pause=True)

        answer = await self.answer(refuse)
        self.assertEqual("endpoints_paused", answer.reason)
        self.assertEqual(1, len(self.endpoints.sends))
        self.assertGreater(
            self.count_retries_left(),
            retry_budgets.USED_SHARE * self.budget.limits.allowance,
        )

    async def test_pause_that_begins_during_the_connect_is_no_failure(self):
        pause = errors.NotAcceptingError("p1 pauses")
        answer = await self.answer(pause, proxy_fakes.FakeAnswer([b"x"]))
        self.assertEqual(b"x", answer.body)
        for name in ("p1", "p2"):
            load = self.selector.get_load(name)
            self.assertEqual((0, 0.0), (load.failures, load.avoided_until))

    async def test_pause_that_outlasts_the_stages_refuses_at_once(self):
        self.use_route(
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 100),))
        )
        for name in ("p1", "p2"):
            self.pause(name, 2.0)
        answer = await self.answer(item_counts=(1,))
        self.check_told(answer, 2.0)
        self.assertEqual(0, self.runner.item_count)

    async def test_pause_that_ends_before_the_stages_refuses_nothing(self):
        self.use_route(
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 100),))
        )
        for name in ("p1", "p2"):
            self.pause(name, 0.1)
        self.runner.run_items = self.run_items
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"x"]), item_counts=(1,)
        )
        self.assertEqual(200, answer.status)

    async def run_items(self, endpoint, limits, items):
        self.clock.seconds += 0.2
        return [proxies.ItemResult(f"r{i.index}", "") for i in items]

    async def test_paused_stage_refuses_at_once(self):
        self.use_route(
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 100),))
        )
        self.pause("s1", 1.5)
        answer = await self.answer(item_counts=(1,))
        limits = proxy_fakes.BATCH_LIMITS
        seconds = stage_times.estimate_call_seconds(limits, limits.items)
        self.check_told(answer, 1.5, seconds / limits.items)
        answer = await self.answer(
            proxy_fakes.FakeAnswer([b"x"]), item_counts=(0,)
        )
        self.assertEqual(200, answer.status)

    async def test_pause_of_a_stage_does_not_end_a_request_beyond_it(self):
        self.use_route(
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 100),))
        )

        def refuse():
            self.pause("s1", 3.0)
            return errors.NotExecutedError("status 503", asks_pause=True)

        answer = await self.answer(
            refuse, proxy_fakes.FakeAnswer([b"x"]), item_counts=(1,)
        )
        self.assertEqual(200, answer.status)

    async def test_endpoint_that_pauses_for_others_is_the_last_choice(self):
        start = catalogue.EndpointStart("p1", 1)
        self.cluster.notices.record_pause_elsewhere(start, 2.0, NOW)
        refusal = errors.NotExecutedError("full")
        await self.answer(refusal, proxy_fakes.FakeAnswer([b"x"]))
        self.assertEqual(
            ["p2", "p1"], [name for name, *_ in self.endpoints.sends]
        )

    async def test_broken_stream_goes_on_where_nothing_pauses(self):
        self.use_stream_route()
        self.cluster.catalogue.put(proxy_fakes.build_endpoint("p3", "plain"))
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )
        first = self.endpoints.sends[0][0]
        paused, free = sorted({"p1", "p2", "p3"} - {first})
        self.pause(paused, 2.0)
        _ = [chunk async for chunk in answer.chunks]
        self.assertEqual(free, self.endpoints.sends[1][0])


class StreamTest(ProxyTestCase):
    """Tests that streams deliver whole events, once each and in order."""

    def setUp(self):
        super().setUp()
        self.use_stream_route()

    async def read_stream(self, answer):
        return b"".join([chunk async for chunk in answer.chunks])

    async def test_events_are_joined_across_chunks(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\nda", b"ta: x\n\nid: 2\n", b"\n")
        )
        self.assertEqual(
            b"id: 1\ndata: x\n\nid: 2\n\n", await self.read_stream(answer)
        )

    async def test_broken_stream_is_resumed_at_another_endpoint(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\nid: 3\n\n"),
        )
        self.assertEqual(
            b"id: 1\n\nid: 2\n\nid: 3\n\n", await self.read_stream(answer)
        )
        self.assertEqual(1, self.endpoints.sends[1][2].last_event)

    async def test_endpoint_is_asked_for_its_start_if_its_version_matters(self):
        """An endpoint that has started again may have another version."""
        answer = await self.answer(
            self.build_stream(b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )
        await self.read_stream(answer)
        begin_seconds, go_on_seconds = self.list_asked()
        self.assertEqual(request_sends.BEGIN_ASK_SECONDS, begin_seconds)
        self.assertEqual(request_sends.GOING_ON_ASK_SECONDS, go_on_seconds)
        self.assertEqual(
            [False, True],
            [send.start_required for *_, send in self.endpoints.sends],
        )

    def list_asked(self):
        """Returns the timeout of the question to the endpoint of each send."""
        sends = self.endpoints.sends
        return [parameters.ask_seconds for *_, parameters in sends]

    async def test_all_questions_before_a_stream_begins_take_a_limited_time(
        self,
    ):
        """A slow report would hold up each stream."""
        self.use_stream_route()
        self.own_record.record_written(
            records.OriginRecord(frozenset({UNKNOWN}))
        )
        stream = self.build_stream(b"id: 1\n\n")

        def answer_slowly():
            self.clock.seconds += 0.2
            return stream

        proxy = self.build_proxy(answer_slowly, answer_slowly)
        self.endpoints.named_starts = {"p1": None, "p2": None}
        answer = await proxy.answer(proxy_fakes.build_request())
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))
        first, second = self.list_asked()
        self.assertEqual(request_sends.BEGIN_ASK_SECONDS, first)
        self.assertAlmostEqual(first - 0.2, second)

    async def test_endpoint_that_has_named_no_start_is_not_asked_at_once(self):
        answer = await self.begin_unknown(b"id: 1\n\n")
        await self.read_stream(answer)
        self.assertEqual([None], self.list_asked())

    async def test_endpoint_is_not_asked_if_no_stream_can_go_on(self):
        self.use_route(proxy_fakes.build_route(repeatable=False, streamed=True))
        answer = await self.answer(self.build_stream(b"id: 1\n\n"))
        await self.read_stream(answer)
        self.assertEqual([None], self.list_asked())

    async def test_nothing_is_sent_to_an_endpoint_that_left_during_the_question(
        self,
    ):
        """The question may take longer than an endpoint that leaves serves."""
        self.use_stream_route()
        proxy = self.build_proxy(self.build_stream(b"id: 1\n\n"))
        send = self.endpoints.send

        async def ask_slowly(endpoint, request, parameters, on_connected):
            for item in self.cluster.catalogue.list_all():
                self.cluster.catalogue.put(item._replace(accepting=False))
            return await send(endpoint, request, parameters, on_connected)

        self.endpoints.send = ask_slowly
        answer = await proxy.answer(proxy_fakes.build_request())
        self.assertEqual((503, "no_endpoint"), (answer.status, answer.reason))

    async def test_endpoints_that_confirm_no_start_are_no_unreachable_ones(
        self,
    ):
        """A release may end several endpoints while they are asked."""
        self.register_versions(p1="v1", p2="v1", p3="v1", p4="v1", p5="v1")
        unconfirmed = errors.UnconfirmedStartError("no report")
        answer = await self.answer(
            *[unconfirmed] * 4, self.build_stream(b"id: 1\n\n")
        )
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))

    async def test_no_stream_is_sent_whose_part_crashed_endpoints_meanwhile(
        self,
    ):
        """The question to the endpoint may take a while."""
        self.use_stream_route()
        proxy = self.build_proxy(self.build_stream(b"id: 1\n\n"))
        send = self.endpoints.send
        request = proxy_fakes.build_request(
            prompt=(
                proxy_requests.PromptPart("x", 10),
                proxy_requests.PromptPart("q", 5),
            )
        )

        async def ask_slowly(endpoint, request, parameters, on_connected):
            for name in ("c1", "c2", "c3"):
                crashed = proxy_fakes.build_endpoint(name, "plain")
                now = self.clock.seconds
                self.crashes.record_crash(crashed, request, now)
                self.clock.seconds += 0.3
            return await send(endpoint, request, parameters, on_connected)

        self.endpoints.send = ask_slowly
        answer = await proxy.answer(request)
        self.assertEqual(
            (503, crash_reports.REASON), (answer.status, answer.reason)
        )

    async def test_answer_with_events_of_another_route_is_not_joined(self):
        """A repeatable request may run again, but not go on elsewhere."""
        self.use_route(proxy_fakes.build_route())
        answer = await self.answer(
            self.build_stream(b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)

    async def test_events_before_a_gap_are_not_lost(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", b"id: 2\n\nid: 4\n\n"),
            self.build_stream(b"id: 2\n\nid: 3\n\n"),
        )
        self.assertEqual(
            b"id: 1\n\nid: 2\n\nid: 3\n\n", await self.read_stream(answer)
        )

    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\n\nid: 2\nda"),
            self.build_stream(b"id: 2\n\n"),
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))
        self.assertEqual(1, self.endpoints.sends[1][2].last_event)

    async def test_stream_that_ends_inside_its_first_event_is_sent_again(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\nda"), self.build_stream(b"id: 1\n\n")
        )
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))

    async def test_stream_that_may_not_be_resumed_ends_with_an_error(self):
        self.use_route(proxy_fakes.build_route(repeatable=False, streamed=True))
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER)
        )
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_stream_without_numbers_is_not_resumed(self):
        """It cannot be told which of its events the caller has."""
        for silence in ((), (proxy_fakes.Silence(2.5),)):
            answer = await self.answer(
                self.build_stream(
                    b"data: x\n\n", *silence, proxy_fakes.LOST_ANSWER
                ),
                self.build_stream(b"data: x\n\ndata: y\n\n"),
            )
            with self.assertRaises(errors.AnswerLostError):
                await self.read_stream(answer)
            self.assertEqual(1, len(self.endpoints.sends))

    async def test_stream_that_ends_inside_an_event_fails(self):
        self.use_route(proxy_fakes.build_route(repeatable=False, streamed=True))
        answer = await self.answer(self.build_stream(b"id: 1\n\nid: 2"))
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)

    async def test_end_of_a_stream_tells_why_it_was_not_resumed(self):
        self.cluster.catalogue.remove("p2", NOW)
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER)
        )
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)
        (outcome,) = [
            fields["outcome"]
            for _, event, fields in self.journal.lines
            if event == "stream_ended"
        ]
        self.assertEqual(
            "AnswerLostError: lost; not resumed: no_endpoint", outcome
        )

    async def test_stream_of_a_silent_endpoint_is_not_cut_without_retries(self):
        self.budget_limits = retry_budgets.RetryBudgetLimits(0.0, 0, 10.0)
        answer = await self.answer(
            self.build_stream(
                b"id: 1\n\n", proxy_fakes.Silence(2.5), b"id: 2\n\n"
            )
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_stream_of_a_silent_endpoint_is_not_cut_by_a_failed_stage(
        self,
    ):
        self.use_stream_route(
            stages=(routes.Stage("stage", (), 100),),
        )
        answer = await self.answer(
            self.build_stream(
                b"id: 1\n\n", proxy_fakes.Silence(2.5), b"id: 2\n\n"
            ),
            item_counts=(1,),
        )
        self.runner.reason = "late"
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_stream_of_a_briefly_silent_endpoint_stays_there(self):
        answer = await self.answer(
            self.build_stream(
                b"id: 1\n\n", proxy_fakes.Silence(1.5), b"id: 2\n\n"
            ),
            self.build_stream(b"id: 2\n\n"),
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_stream_of_a_dead_endpoint_is_resumed_at_another(self):
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.Silence(5.0)),
            self.build_stream(b"id: 2\n\n"),
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_broken_stream_is_not_resumed_at_another_version(self):
        self.register_versions(p1="v1", p2="v2", p3="v3")
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_broken_stream_is_resumed_at_its_own_version(self):
        self.register_versions(p1="v1", p2="v2", p3="v1", p4="v2")
        answer = await self.answer(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))
        first, second = [name for name, *_ in self.endpoints.sends]
        versions = {"p1": "v1", "p2": "v2", "p3": "v1", "p4": "v2"}
        self.assertEqual(versions[first], versions[second])

    async def test_stream_that_is_taken_up_goes_on_where_it_began(self):
        self.register_versions(p1="v1", p2="v2", p3="v2", p4="v2")
        answer = await self.answer(self.build_stream(b"id: 1\n\n"))
        await self.read_stream(answer)
        (began,) = [name for name, *_ in self.endpoints.sends]
        for _ in range(4):
            answer = await self.take_up(self.build_stream(b"id: 2\n\n"))
            self.assertEqual(b"id: 2\n\n", await self.read_stream(answer))
            (goes_on,) = [name for name, *_ in self.endpoints.sends]
            self.assertEqual(began == "p1", goes_on == "p1")

    async def take_up(self, *script, **changes):
        """Takes the stream of the attempt a1 up after its first event."""
        return await self.answer(
            *script,
            **{
                "attempt": "again",
                "last_event": 1,
                "first_attempt": "a1",
                **changes,
            },
        )

    async def test_stream_that_is_taken_up_does_not_wait_behind_others(self):
        proxy = self.build_proxy(
            self.build_stream(b"id: 1\n\n"),
            self.build_stream(b"id: 2\n\n"),
            self.build_stream(b"id: 1\n\n"),
        )
        for changes in (
            {"attempt": "a1", "wait_seconds": 5.0},
            {
                "attempt": "again",
                "wait_seconds": 3.0,
                "last_event": 1,
                "first_attempt": "a1",
            },
            {"attempt": "a2", "wait_seconds": 3.0},
        ):
            request = proxy_fakes.build_request(**changes)
            await (await proxy.answer(request)).chunks.aclose()
        returned = [
            fields["returned"]
            for _, event, fields in self.journal.lines
            if event == "request_accepted"
        ]
        self.assertEqual([False, False, True], returned)

    async def test_stream_that_began_at_another_entry_goes_on(self):
        self.register_versions(p1="v1", p2="v2")
        self.links.known["a1"] = stream_origins.StreamOrigin("plain", "v2")
        answer = await self.take_up(self.build_stream(b"id: 2\n\n"))
        self.assertEqual(b"id: 2\n\n", await self.read_stream(answer))
        self.assertEqual("p2", self.endpoints.sends[0][0])
        (bound,) = self.list_fields("stream_bound")
        self.assertEqual(("v2", True), (bound["version"], bound["remembered"]))
        (sent,) = self.list_fields("request_sent")
        self.assertEqual((1, True), (sent["started"], sent["asked"]))

    def list_fields(self, event):
        """Returns the fields of the log's lines of one kind."""
        return [
            fields for _, name, fields in self.journal.lines if name == event
        ]

    async def test_stream_of_unknown_version_is_refused(self):
        self.register_versions(p1="v1", p2="v2")
        answer = await self.take_up()
        self.assertEqual(
            (503, "unknown_version"), (answer.status, answer.reason)
        )
        self.assertIsNotNone(answer.retry_seconds)

    def end_starts(self):
        """Marks the listed starts of all endpoints as over."""
        for endpoint in self.cluster.catalogue.list_all():
            start = catalogue.get_start(endpoint)
            self.cluster.ended_starts.record(start, self.clock.now())

    async def test_stream_does_not_go_on_while_no_start_is_listed(self):
        self.register_versions(p1="v1", p2="v2")
        self.links.known["a1"] = stream_origins.StreamOrigin("plain", "v2")
        self.end_starts()
        answer = await self.take_up()
        self.assertEqual(
            (503, "no_endpoint_of_version"), (answer.status, answer.reason)
        )
        self.assertEqual([], self.endpoints.sends)

    def name_start(self, started):
        """Lets all endpoints name a start, or have named none."""
        self.endpoints.named_starts = {"p1": started, "p2": started}
        for name in ("p1", "p2"):
            start = catalogue.EndpointStart(name, 1)
            if started is None:
                self.cluster.unnamed_starts.record(start, self.clock.now())

    async def begin_unknown(self, *parts, named=None):
        """Begins a stream at endpoints that name another start, or none.

        The store has the mark of such streams already.
        """
        self.use_stream_route()
        self.own_record.record_written(
            records.OriginRecord(frozenset({UNKNOWN}))
        )
        proxy = self.build_proxy(
            self.build_stream(*parts), self.build_stream(b"id: 2\n\n")
        )
        self.name_start(named)
        return await proxy.answer(proxy_fakes.build_request())

    async def test_stream_rather_begins_where_it_can_be_taken_up(self):
        """Not at an endpoint that names no start, unless others are full."""
        self.use_stream_route()
        start = catalogue.EndpointStart("p1", 1)
        self.cluster.unnamed_starts.record(start, NOW)
        self.own_record.record_written(
            records.OriginRecord(frozenset({UNKNOWN}))
        )
        slots = self.cluster.catalogue.find("p2").slots
        streams = [self.build_stream(b"id: 1\n\n") for _ in range(slots + 1)]
        proxy = self.build_proxy(*streams)
        answers = [
            await proxy.answer(proxy_fakes.build_request(attempt=f"a{number}"))
            for number in range(slots + 1)
        ]
        for answer in answers:
            await answer.chunks.aclose()
        names = [name for name, *_ in self.endpoints.sends]
        self.assertEqual(["p2"] * slots + ["p1"], names)

    async def test_stream_begins_while_no_start_is_listed(self):
        self.end_starts()
        answer = await self.begin_unknown(b"id: 1\n\n", named=2)
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))
        self.assertEqual(UNKNOWN, self.origins.find("a1", self.clock.now()))
        self.assertEqual([UNKNOWN] * 2, [told for *_, told in self.links.told])

    async def test_stream_of_no_known_version_does_not_go_on(self):
        answer = await self.begin_unknown(
            b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER
        )
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_stream_goes_on_once_its_start_is_confirmed(self):
        """The listed start was there before the stream and is there after."""
        answer = await self.begin_unknown(
            b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER
        )
        self.endpoints.asked_starts = {"p1": 1, "p2": 1}
        await self.check_beginnings()
        self.assertEqual("v1", self.origins.find("a1", NOW).version)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_stream_goes_on_once_its_start_is_listed(self):
        answer = await self.begin_unknown(
            b"id: 1\n\nid: 2", proxy_fakes.LOST_ANSWER, named=2
        )
        for name in ("p1", "p2"):
            self.cluster.catalogue.put(
                proxy_fakes.build_endpoint(
                    name, "plain", started=2, version="v2"
                )
            )
        await self.check_beginnings()
        self.assertEqual("v2", self.origins.find("a1", NOW).version)
        self.endpoints.named_starts = {}
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def check_beginnings(self):
        """Lets the entry ask endpoints, and learn what they have said."""
        for _ in range(2):
            await self.beginnings.check(self.clock.now())
            await curio.sleep(0.01)

    async def test_caller_gets_nothing_before_its_stream_is_marked(self):
        """Otherwise a version could be inferred after a kill."""
        self.use_stream_route()
        self.clock.sleep = curio.sleep
        proxy = self.build_proxy(self.build_stream(b"id: 1\n\n"))
        self.name_start(None)
        task = await curio.spawn(proxy.answer, proxy_fakes.build_request())
        while not self.links.told:
            await curio.sleep(0.01)
        await curio.sleep(0.05)
        self.assertFalse(task.terminated)
        self.own_record.record_written(
            records.OriginRecord(frozenset({UNKNOWN}))
        )
        answer = await task.join()
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))

    async def test_another_entry_is_told_while_the_store_is_away(self):
        self.use_stream_route()
        self.clock.sleep = curio.sleep
        proxy = self.build_proxy(self.build_stream(b"id: 1\n\n"))
        self.store.away = True
        with self.assertRaises(errors.StoreError):
            self.recorder.expect_unknown("plain")
            await self.recorder.update()
        self.name_start(None)
        task = await curio.spawn(proxy.answer, proxy_fakes.build_request())
        await curio.sleep(0.05)
        self.assertFalse(task.terminated)
        self.links.known["a1"] = UNKNOWN
        answer = await task.join()
        self.assertEqual(b"id: 1\n\n", await self.read_stream(answer))

    async def test_no_such_stream_begins_if_nobody_can_know_it(self):
        """The store is away and there is no other entry."""
        self.use_stream_route()
        self.links.linked = []
        stream = self.build_stream(b"id: 1\n\n")
        proxy = self.build_proxy(stream, stream)
        self.store.away = True
        with self.assertRaises(errors.StoreError):
            self.recorder.expect_unknown("plain")
            await self.recorder.update()
        self.name_start(None)
        answer = await proxy.answer(proxy_fakes.build_request())
        self.assertEqual((503, "no_endpoint"), (answer.status, answer.reason))

    async def test_endpoint_whose_start_ended_after_the_choice_gets_nothing(
        self,
    ):
        """The stages may run again between the choice and the send."""
        chosen = []
        record_send = endpoint_choice.EndpointChoice.record_send

        def end_first_start(choice, endpoint):
            record_send(choice, endpoint)
            if not chosen:
                start = catalogue.get_start(endpoint)
                self.cluster.ended_starts.record(start, self.clock.now())
            chosen.append(endpoint.name)

        self.enterContext(
            mock.patch.object(
                endpoint_choice.EndpointChoice, "record_send", end_first_start
            )
        )
        answer = await self.answer(self.build_stream(b"id: 1\n\n"))
        await self.read_stream(answer)
        self.assertEqual(2, len(chosen))
        self.assertEqual(
            chosen[1:], [name for name, *_ in self.endpoints.sends]
        )

    async def test_no_stream_begins_at_a_version_that_is_not_recorded(self):
        self.use_stream_route()
        self.cluster.own_record = self.own_record
        answer = await self.answer()
        self.assertEqual(
            (503, "version_not_recorded"), (answer.status, answer.reason)
        )
        origin = stream_origins.StreamOrigin("plain", "v1")
        self.own_record.record_written(
            records.OriginRecord(frozenset({origin}))
        )
        self.register_versions(p2="v2")
        answer = await self.answer(self.build_stream(b"id: 1\n\n"))
        await answer.chunks.aclose()
        self.assertEqual("p1", self.endpoints.sends[0][0])

    async def test_stream_of_unknown_version_goes_on_if_there_is_only_one(self):
        answer = await self.take_up(self.build_stream(b"id: 2\n\n"))
        self.assertEqual(b"id: 2\n\n", await self.read_stream(answer))
        (bound,) = self.list_fields("stream_bound")
        self.assertFalse(bound["remembered"])

    async def test_stream_whose_version_has_gone_is_refused_before_stages(self):
        self.use_stream_route(
            stages=(routes.Stage("stage", (), 100),),
        )
        self.links.known["a1"] = stream_origins.StreamOrigin("plain", "v0")
        answer = await self.take_up(item_counts=(1,))
        self.assertEqual("no_endpoint_of_version", answer.reason)
        self.assertEqual(0, self.runner.item_count)

    async def test_stream_learns_when_its_version_ends_its_pause(self):
        self.register_versions(p1="v1", p2="v2")
        self.links.known["a1"] = stream_origins.StreamOrigin("plain", "v1")
        self.pause("p1", 1.5)
        answer = await self.take_up()
        self.check_told(answer, 1.5)

    async def test_stream_of_a_service_that_was_replaced_is_refused(self):
        self.links.known["a1"] = stream_origins.StreamOrigin("old", "v1")
        answer = await self.take_up()
        self.assertEqual(
            (503, "service_replaced"), (answer.status, answer.reason)
        )

    async def test_stream_stays_at_its_service_of_several(self):
        self.use_stream_route(
            splits=(
                routes.Split("canary", 99.0),
                routes.Split("plain", 1.0),
            ),
        )
        self.cluster.catalogue.put(proxy_fakes.build_endpoint("c1", "canary"))
        self.assertEqual("unknown_version", (await self.take_up()).reason)
        self.links.known["a1"] = stream_origins.StreamOrigin("plain", "v1")
        answer = await self.take_up(self.build_stream(b"id: 2\n\n"))
        self.assertEqual(b"id: 2\n\n", await self.read_stream(answer))
        self.assertIn(self.endpoints.sends[0][0], ("p1", "p2"))

    async def test_other_entries_know_a_stream_before_its_caller(self):
        answer = await self.answer(self.build_stream(b"id: 1\n\n"))
        origin = stream_origins.StreamOrigin("plain", "v1")
        self.assertEqual(
            {("other1", "a1", origin), ("other2", "a1", origin)},
            set(self.links.told),
        )
        await answer.chunks.aclose()

    async def test_stream_taken_up_twice_is_known_by_its_first_attempt(self):
        answer = await self.take_up(self.build_stream(b"id: 2\n\n"))
        await answer.chunks.aclose()
        self.assertIsNone(self.origins.find("again", NOW))
        self.assertIsNotNone(self.origins.find("a1", NOW))

    def register_versions(self, **versions):
        for name, version in versions.items():
            self.cluster.catalogue.put(
                proxy_fakes.build_endpoint(name, "plain", version=version)
            )

    async def test_disconnect_of_the_caller_closes_the_exchange(self):
        exchange = self.build_stream(b"id: 1\n\n", b"id: 2\n\n")
        answer = await self.answer(exchange)
        await answer.chunks.aclose()
        self.assertTrue(exchange.closed)


class StagesTest(ProxyTestCase):
    """Tests requests with stages."""

    def setUp(self):
        super().setUp()
        self.use_route(
            proxy_fakes.build_route(stages=(routes.Stage("stage", (), 100),))
        )

    async def test_results_are_sent_and_released(self):
        await self.answer(
            proxy_fakes.FakeAnswer([b"x"]), item_counts=(2,), item_key="k"
        )
        self.assertEqual(("r0", "r1"), self.endpoints.sends[0][2].results)
        self.assertEqual(["r0", "r1"], self.runner.released)

    async def test_missing_results_are_computed_again_once(self):
        gone = errors.NotExecutedError("status 409", lacks_results=True)
        answer = await self.answer(
            gone, proxy_fakes.FakeAnswer([b"x"]), item_counts=(1,)
        )
        self.assertEqual((200, 2), (answer.status, self.runner.item_count))
        answer = await self.answer(gone, gone, item_counts=(1,))
        self.assertEqual("results_gone", answer.reason)

    async def test_stage_without_items_is_not_run(self):
        await self.answer(proxy_fakes.FakeAnswer([b"x"]), item_counts=(0,))
        self.assertEqual(0, self.runner.item_count)

    async def test_overload_is_refused_immediately(self):
        self.runner.seconds = 3.0
        answer = await self.answer(item_counts=(2,))
        self.assertEqual("stages_overloaded", answer.reason)
        self.assertEqual(0, self.runner.item_count)

    async def test_lower_priority_allows_less_queueing(self):
        self.runner.seconds = 0.88
        self.assertFalse(await self.is_queued_as_late())
        self.use_route(
            proxy_fakes.build_route(
                stages=(routes.Stage("stage", (), 100),),
                timeout_seconds=20.0,
                priority=2,
            )
        )
        self.assertTrue(await self.is_queued_as_late())

    async def is_queued_as_late(self):
        """Returns whether a request is admitted as a late one."""
        self.journal.lines.clear()
        script = proxy_fakes.FakeAnswer([b"x"])
        answer = await self.answer(script, item_counts=(1,), wait_seconds=20.0)
        self.assertEqual(200, answer.status)
        (late,) = [
            fields["late"]
            for _, event, fields in self.journal.lines
            if event == "stages_begun"
        ]
        return late

    async def test_failed_stage_refuses_the_request(self):
        self.runner.reason = "late"
        answer = await self.answer(item_counts=(1,))
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.endpoints.sends)
