"""Tests of what an entry does with notices of endpoints."""

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    endpoint_notices,
    entry_messages,
    log_limits,
    notice_handler,
    routes,
)
from samphirevale.availability import warm_ups
from samphirevale.ports import proxies
from tests import base, proxy_fakes

NOW = 100.0

ENDPOINT = proxy_fakes.build_endpoint("e1")
LEAVING = proxies.EndpointNotice(leaving=True)
LIMIT = proxies.EndpointNotice(limit=2.0)
PAUSE = proxies.EndpointNotice(pause_seconds=2.0)
MESSAGE = entry_messages.EndpointsLeaving(["e1"], [1])


def _sampled(values):
    return strategies.sampled_from(values) if values else strategies.nothing()


class NoticeHandlerTest(base.TestCase):
    """Tests the handler of one entry."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock(NOW)
        self.cluster = proxy_fakes.build_cluster_state()
        self.cluster.catalogue.put(ENDPOINT)
        self.journal = proxy_fakes.FakeJournal()
        self.withdrawn = []
        self.told = []
        self.stated = []
        self.handler = notice_handler.NoticeHandler(
            self.cluster,
            self.record_withdrawn,
            lambda endpoint, slowness: self.stated.append(slowness),
            self.record_told,
            self.clock,
            self.journal,
        )

    async def test_stated_slowness_and_cold_time_are_applied(self):
        endpoint = proxy_fakes.build_endpoint()
        notice = proxies.EndpointNotice(slowness=2.5, cold_seconds=3.0)
        await self.handler.handle_notice(endpoint, notice)
        self.assertEqual([2.5], self.stated)
        self.assertNotIn("endpoint_cold", self.journal.list_events())

    def test_start_that_was_known_before_the_list_changed_tells_nothing(self):
        """The answer to a question may be read after the list has changed."""
        self.cluster.warm_ups = warm_ups.WarmUps(
            "me",
            warm_ups.ColdBound(1.5, 5.0),
            lambda service: routes.ColdLimit(3.0, 8.0),
            lambda endpoint: ("me",),
        )
        self.cluster.catalogue.put(ENDPOINT._replace(started=3))
        self.handler.handle_other_start(ENDPOINT, 2)
        self.assertFalse(self.cluster.warm_ups)
        self.cluster.catalogue.put(ENDPOINT)
        self.handler.handle_other_start(ENDPOINT, 2)
        self.assertTrue(self.cluster.warm_ups.is_cold(ENDPOINT, NOW))
        self.assertIn("endpoint_cold", self.journal.list_events())

    async def record_withdrawn(self, endpoint):
        self.withdrawn.append(endpoint)

    async def record_told(self, message):
        self.told.append(message)

    def count(self, name):
        return base.read_counter(name, service="stage")

    async def test_leaving_is_told_once_and_ends_what_is_queued(self):
        before = self.count("endpoints_leaving")
        for _ in range(2):
            await self.handler.handle_notice(ENDPOINT, LEAVING)
        self.assertFalse(self.handler.may_call(ENDPOINT))
        self.assertEqual([MESSAGE], self.told)
        self.assertEqual([ENDPOINT], self.withdrawn)
        self.assertEqual(["endpoint_leaving"], self.journal.list_events())
        self.assertEqual(before + 1, self.count("endpoints_leaving"))
        self.assertEqual(MESSAGE, self.handler.build_leaving())

    async def test_leaving_told_by_an_entry_is_not_told_on(self):
        await self.handler.adopt_leaving("other", MESSAGE)
        await self.handler.handle_notice(ENDPOINT, LEAVING)
        self.assertFalse(self.handler.may_call(ENDPOINT))
        self.assertEqual([ENDPOINT], self.withdrawn)
        self.assertEqual([], self.told)

    async def test_leaving_of_an_earlier_start_leaves_the_present_one(self):
        restarted = ENDPOINT._replace(started=2)
        self.cluster.catalogue.put(restarted)
        await self.handler.adopt_leaving("other", MESSAGE)
        self.assertTrue(self.handler.may_call(restarted))
        self.assertEqual([], self.withdrawn)

    async def test_limit_is_logged_once_counted_and_reported(self):
        before = self.count("endpoint_limits")
        for _ in range(2):
            await self.handler.handle_notice(ENDPOINT, LIMIT)
        self.assertEqual(["endpoint_limited"], self.journal.list_events())
        self.assertEqual(before + 2, self.count("endpoint_limits"))
        self.assertFalse(self.handler.may_call(ENDPOINT))
        report = self.handler.describe_limits(NOW)
        self.assertEqual([["e1", 1, 2.0, 0]], report)

    async def test_limit_ends_with_an_answer_that_names_none(self):
        await self.handler.handle_notice(ENDPOINT, LIMIT)
        malformed = proxies.EndpointNotice(limit_malformed=True)
        await self.handler.handle_notice(ENDPOINT, malformed)
        self.assertFalse(self.handler.may_call(ENDPOINT))
        await self.handler.handle_notice(ENDPOINT, proxies.NO_NOTICE)
        self.assertTrue(self.handler.may_call(ENDPOINT))

    async def test_limit_of_another_entry_holds_here(self):
        self.handler.adopt_limits("other", [["e1", 1, 2.0, 0]])
        self.assertFalse(self.handler.may_call(ENDPOINT))
        self.clock.seconds += 1.0
        self.assertTrue(self.handler.may_call(ENDPOINT))
        self.handler.record_call(ENDPOINT)
        self.assertFalse(self.handler.may_call(ENDPOINT))
        self.assertEqual([], self.handler.describe_limits(NOW))

    async def test_pause_is_counted_and_reported(self):
        before = self.count("endpoint_pauses")
        for _ in range(2):
            await self.handler.handle_notice(ENDPOINT, PAUSE)
        self.assertFalse(self.handler.may_call(ENDPOINT))
        self.assertEqual([ENDPOINT], self.withdrawn)
        self.assertEqual(["endpoint_paused"], self.journal.list_events())
        self.assertEqual(before + 2, self.count("endpoint_pauses"))
        self.assertEqual(
            [["e1", 1, 1500]], self.handler.describe_pauses(NOW + 0.5)
        )

    async def test_reported_pause_is_adopted_without_binding(self):
        self.handler.adopt_pauses([["e1", 1, 1500]])
        self.assertTrue(self.handler.may_call(ENDPOINT))
        self.assertEqual([ENDPOINT], self.cluster.list_usable("stage", NOW))
        self.assertEqual(
            1.5, self.cluster.notices.compute_pause_elsewhere(ENDPOINT, NOW)
        )

    async def test_malformed_and_huge_notices_are_logged_and_counted(self):
        before = self.count("notices_malformed")
        await self.handler.handle_notice(
            ENDPOINT, proxies.EndpointNotice(malformed=("retry-after: -1",))
        )
        self.assertTrue(self.handler.may_call(ENDPOINT))
        await self.handler.handle_notice(
            ENDPOINT, proxies.EndpointNotice(pause_seconds=1e9)
        )
        self.assertEqual(
            ["notice_malformed", "notice_malformed", "endpoint_paused"],
            self.journal.list_events(),
        )
        self.assertEqual(before + 2, self.count("notices_malformed"))
        self.clock.seconds += endpoint_notices.PAUSE_SECONDS_LIMIT
        self.assertTrue(self.handler.may_call(ENDPOINT))

    async def test_malformed_notices_are_counted_and_logged_now_and_then(self):
        before = self.count("notices_malformed")
        for number in range(50):
            for notice in (
                proxies.EndpointNotice(malformed=("server-leaving: yes",)),
                proxies.EndpointNotice(malformed=(f"retry-after: -{number}",)),
                proxies.EndpointNotice(pause_seconds=1e3 + number),
            ):
                await self.handler.handle_notice(ENDPOINT, notice)
        self.assertEqual(3, self.count_lines("notice_malformed"))
        self.assertEqual(before + 150, self.count("notices_malformed"))
        self.clock.seconds += log_limits.INTERVAL_SECONDS
        notice = proxies.EndpointNotice(malformed=("server-leaving: yes",))
        await self.handler.handle_notice(ENDPOINT, notice)
        self.assertEqual(4, self.count_lines("notice_malformed"))

    def count_lines(self, event):
        return self.journal.list_events().count(event)

    async def test_infinite_pause_is_shortened_and_logged_as_a_number(self):
        notice = proxies.EndpointNotice(pause_seconds=float("inf"))
        await self.handler.handle_notice(ENDPOINT, notice)
        (seconds,) = [
            fields["seconds"]
            for _, event, fields in self.journal.lines
            if event == "endpoint_paused"
        ]
        self.assertEqual(endpoint_notices.PAUSE_SECONDS_LIMIT, seconds)
        self.assertEqual([["e1", 1, 60_000]], self.handler.describe_pauses(NOW))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.data())
    def test_entries_agree_after_messages_in_any_order(self, data):
        curio.run(self.check_messages, data)

    async def check_messages(self, data):
        told = []

        async def record_told(message):
            told.append(message)

        async def ignore_withdrawn(endpoint):
            pass

        handlers = []
        for _ in range(3):
            cluster = proxy_fakes.build_cluster_state()
            cluster.catalogue.put(ENDPOINT)
            handlers.append(
                notice_handler.NoticeHandler(
                    cluster,
                    ignore_withdrawn,
                    lambda endpoint, slowness: None,
                    record_told,
                    self.clock,
                    self.journal,
                )
            )
        answers = data.draw(
            strategies.lists(
                strategies.tuples(
                    strategies.sampled_from(handlers),
                    strategies.integers(1, 3),
                ),
                max_size=6,
            )
        )
        for handler, started in answers:
            endpoint = ENDPOINT._replace(started=started)
            await handler.handle_notice(endpoint, LEAVING)
        for handler in handlers:
            # A message may arrive twice, as entries that connect get all.
            sent = [*told, *data.draw(strategies.lists(_sampled(told)))]
            for message in data.draw(strategies.permutations(sent)):
                await handler.adopt_leaving("other", message)
        self.assertLessEqual(len(told), len({*answers}))
        expected = {started for _, started in answers}
        for handler in handlers:
            self.assertEqual(expected, set(handler.build_leaving().starts))
            self.assertEqual(1 not in expected, handler.may_call(ENDPOINT))

    async def test_notices_that_are_over_are_removed(self):
        await self.handler.handle_notice(ENDPOINT, PAUSE)
        self.handler.remove_expired(NOW + 2.0)
        self.assertEqual([], self.handler.describe_pauses(NOW))
