"""Tests of links between entries: reports, items and disconnections."""

import contextlib
import itertools
import random
from unittest import mock

import curio

from samphirevale import (
    batching,
    crash_reports,
    entries,
    entry_handler,
    entry_messages,
    errors,
    load_totals,
    registrations,
    routes_freshness,
    stream_origins,
)
from samphirevale.adapters import clock
from samphirevale.fair_shares import demands
from samphirevale.ports import proxies
from tests import base, proxy_fakes

WAIT_TIMEOUT_SECONDS = 5.0

STATE = batching.QueueState(1, 100, 0, 0, 900, 0.2, 0.6)


class FakeServer:
    """Runs items that finish when `may_finish` is set."""

    def __init__(self):
        self.may_finish = curio.Event()
        self.started = curio.Event()
        self.cancelled = False
        self.released = []
        # What the results of each request begin with.
        self.prefixes = itertools.repeat("")

    async def serve_items(self, pieces):
        await self.started.set()
        try:
            await self.may_finish.wait()
        except curio.CancelledError:
            self.cancelled = True
            raise
        prefix = next(self.prefixes)
        return [proxies.ItemResult(f"{prefix}r{i}", "") for i in pieces.indices]

    async def release_results(self, released):
        self.released += released.results

    def describe_queue(self, endpoint, now):
        return list(STATE)


class FakeNotices:
    """Records what other entries tell of endpoints."""

    def __init__(self):
        self.leaving = entry_messages.EndpointsLeaving(["e7"], [5])
        self.adopted = []
        self.pauses = []
        self.limits = None

    def build_leaving(self):
        return self.leaving

    async def adopt_leaving(self, entry, message):
        self.adopted.append((entry, message))

    def adopt_pauses(self, pauses):
        self.pauses = pauses

    def adopt_limits(self, entry, limits):
        self.limits = entry, limits


class Side:
    """The table of one entry, with the notifications that it received."""

    def __init__(self, name):
        self.server = FakeServer()
        self.notices = FakeNotices()
        self.crashes = crash_reports.CrashReports(
            None, clock.BootClock(), proxy_fakes.FakeJournal()
        )
        self.members = []
        self.crashed = []
        self.store_reports = set()
        self.registration = registrations.Registration(
            name, "127.0.0.1", base.find_free_port(), f"token-{name}"
        )
        self.origins = stream_origins.StreamOrigins()
        self.demands = demands.ServiceDemands()
        self.handler = entry_handler.MessageHandler(
            self.server,
            self.notices,
            self.crashes,
            self.crashed.extend,
            self.adopt_store_report,
            lambda now: routes_freshness.Confirmation(7, 0.25, 4),
            self.origins,
            self.demands,
            clock.BootClock(),
        )
        self.table = entries.EntryTable(
            self.registration,
            "a",
            self.handler,
            lambda now: entry_messages.EntryReport(
                [["e1", *STATE]],
                [["e2", 3, 500]],
                [["f", name]],
                [["e3", 1, 700]],
                [["e4", 1, 1.5, 20]],
                4,
                7,
            ),
            lambda members: setattr(self, "members", list(members)),
            clock.BootClock(),
            random.Random(1),
            proxy_fakes.FakeJournal(),
        )

    async def adopt_store_report(self, entry, known):
        self.store_reports.add((entry, known))


class EntryTableTest(base.TestCase):
    """Tests two entries that are linked by loopback sockets."""

    @contextlib.asynccontextmanager
    async def run_both(self):
        self.first, self.second = Side("a"), Side("b")
        sides = (self.first, self.second)
        async with contextlib.AsyncExitStack() as stack:
            for side in sides:
                for task_function in (
                    side.table.serve,
                    side.table.connect_to_entries,
                ):
                    task = await curio.spawn(task_function, daemon=True)
                    stack.push_async_callback(task.cancel)
                side.table.adopt([s.registration for s in sides], whole=True)
            await self.wait_until(
                lambda: (
                    all(
                        entry.queues
                        for side in sides
                        for entry in side.table.linked.values()
                    )
                    and self.first.table.linked
                    and self.second.table.linked
                )
            )
            yield

    async def wait_until(self, condition):
        async with curio.timeout_after(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await curio.sleep(0.01)

    def find_second(self):
        return self.first.table.linked["b"]

    async def run_items(self):
        return await self.first.table.run_items(
            self.find_second(),
            proxy_fakes.build_endpoint("e1"),
            [proxy_fakes.build_item(0), proxy_fakes.build_item(1)],
        )

    async def test_registration_that_comes_after_the_link_is_heeded(self):
        async with self.run_both():
            changed = self.second.registration._replace(processor=2.0)
            self.first.table.adopt([changed], whole=False)
            (member,) = self.first.members
            self.assertEqual(2.0, member.processor)

    async def test_reports_and_members_are_received(self):
        async with self.run_both():
            second = self.find_second()
            self.assertEqual(STATE, second.estimate_state("e1"))
            self.assertEqual(load_totals.Load(3, 500), second.loads["e2"])
            self.assertEqual(
                load_totals.Load(3, 500), self.first.table.loads.get("e2")
            )
            self.assertEqual(["b"], [m.name for m in self.first.members])
            self.assertIn(["f", "b"], self.first.crashed)
            known = routes_freshness.StoreKnowledge(4, 7)
            self.assertEqual({("b", known)}, self.first.store_reports)

    async def test_origins_of_streams_are_told_and_asked(self):
        origin = stream_origins.StreamOrigin("lm", "v1")
        async with self.run_both():
            first, second = self.first.table, self.second.table
            self.assertIsNone(await first.ask_origin("b", "a1"))
            self.assertIsNone(await first.ask_origin("unlinked", "a1"))
            await first.tell_origin("b", "a1", origin, 10.0)
            self.assertEqual(origin, await first.ask_origin("b", "a1"))
            self.assertIsNone(await second.ask_origin("a", "a1"))
            await first.tell_origin("b", "a2", origin, 0.0)
            self.assertIsNone(await first.ask_origin("b", "a2"))

    async def test_endpoints_that_leave_are_told_on_connecting(self):
        async with self.run_both():
            self.assertIn(
                ("b", entry_messages.EndpointsLeaving(["e7"], [5])),
                self.first.notices.adopted,
            )

    async def test_endpoint_that_leaves_is_told_at_once(self):
        async with self.run_both():
            self.second.notices.adopted.clear()
            message = entry_messages.EndpointsLeaving(["e8"], [6])
            await self.first.table.broadcast(message)
            await self.wait_until(lambda: self.second.notices.adopted)
            self.assertEqual([("a", message)], self.second.notices.adopted)

    async def test_limits_are_reported(self):
        async with self.run_both():
            expected = ("b", [["e4", 1, 1.5, 20]])
            await self.wait_until(lambda: self.first.notices.limits == expected)

    async def test_pauses_are_reported(self):
        async with self.run_both():
            self.assertEqual([["e3", 1, 700]], self.first.notices.pauses)

    async def test_items_are_run_by_the_other_entry(self):
        async with self.run_both():
            await self.second.server.may_finish.set()
            results = await self.run_items()
            self.assertEqual(
                ["r0", "r1"], [outcome.result for outcome in results]
            )

    async def test_sent_items_count_until_the_next_report(self):
        async with self.run_both():
            task = await curio.spawn(self.run_items)
            await self.second.server.started.wait()
            self.assertEqual(3, self.find_second().estimate_state("e1").waiting)
            await task.cancel()

    async def test_results_bring_the_state_of_the_queue(self):
        async with self.run_both():
            second = self.find_second()
            second.queues.clear()
            second.count_sent("e1", 9, 900)
            await self.second.server.may_finish.set()
            await self.run_items()
            self.assertEqual(STATE, second.estimate_state("e1"))

    async def test_age_of_the_routes_is_answered(self):
        async with self.run_both():
            self.find_second()
            answer = await self.first.table.ask_routes_age("b")
            self.assertEqual((7, 0.25, 4), answer)
            self.assertIsNone(await self.first.table.ask_routes_age("c"))

    async def test_answer_of_another_kind_is_handed_to_no_call(self):
        """An age of routes with the id of a call of items ended the request."""
        async with self.run_both():
            task = await curio.spawn(self.run_items)
            await self.second.server.started.wait()
            (exchange,) = self.find_second()._waiting
            other = entry_messages.RoutesAge(exchange, 7, 0.25, 4)
            await self.second.table.broadcast(other)
            await self.second.table.broadcast(self.notice)
            await self.wait_until(lambda: self.notice in self.list_adopted())
            await self.second.server.may_finish.set()
            results = await task.join()
            self.assertEqual(["r0", "r1"], [found.result for found in results])

    async def test_odd_report_does_not_end_the_link(self):
        """One row with a field too few ended the link, again and again."""
        report = entry_messages.EntryReport(
            [["e9"]], [["e5", 7, 70], ["e6", "x"]], [["f"]], [[]], [5 * [0]]
        )
        async with self.run_both():
            linked = self.find_second()
            await self.second.table.broadcast(report)
            await self.second.table.broadcast(self.notice)
            await self.wait_until(lambda: self.notice in self.list_adopted())
            self.assertIs(linked, self.find_second())

    notice = entry_messages.EndpointsLeaving(["e8"], [6])

    def list_adopted(self):
        return [message for _, message in self.first.notices.adopted]

    async def test_cancelled_items_are_withdrawn(self):
        async with self.run_both():
            task = await curio.spawn(self.run_items)
            await self.second.server.started.wait()
            await task.cancel()
            await self.wait_until(lambda: self.second.server.cancelled)

    async def test_results_that_cross_a_cancellation_are_released(self):
        async with self.run_both():
            task = await curio.spawn(self.run_items)
            await self.second.server.started.wait()
            await self.second.server.may_finish.set()
            await task.cancel()
            await curio.sleep(0.5)
            self.assertFalse(self.second.server.cancelled)
            self.assertEqual(["r0", "r1"], self.second.server.released)

    @contextlib.asynccontextmanager
    async def run_copying(self, at_once):
        """Runs both; the second writes each answer to the first once more.

        Args:
            at_once: whether the copy follows its answer; otherwise it comes
                before the next answer.
        """
        async with self.run_both():
            link = self.second.table.linked["a"].link
            send = link.send
            copies = []

            async def send_copies(message, revision):
                if hasattr(message, "exchange"):
                    copies.append(message)
                    if not at_once:
                        while len(copies) > 1:
                            await send(copies.pop(0), revision)
                await send(message, revision)
                while at_once and copies:
                    await send(copies.pop(0), revision)

            with mock.patch.object(link, "send", send_copies):
                yield

    async def test_answer_written_twice_is_that_of_one_question(self):
        """It is told by its exchange, in both orders."""
        versions = itertools.count(7)
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                async with self.run_copying(at_once):
                    self.second.handler._get_routes_age = lambda now: (
                        routes_freshness.Confirmation(next(versions), 0.25, 4)
                    )
                    found = [
                        (await self.first.table.ask_routes_age("b")).version
                        for _ in range(3)
                    ]
                    self.assertEqual([found[0] + n for n in range(3)], found)

    async def test_results_written_twice_are_those_of_one_request(self):
        """Their copy is neither another's result nor to be released."""
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                async with self.run_copying(at_once):
                    await self.second.server.may_finish.set()
                    self.second.server.prefixes = itertools.count()
                    found = [await self.run_items() for _ in range(3)]
                    await self.first.table.ask_routes_age("b")
                    self.assertEqual(
                        [["0r0", "0r1"], ["1r0", "1r1"], ["2r0", "2r1"]],
                        [[item.result for item in items] for items in found],
                    )
                    await self.second.table.ask_routes_age("a")
                    self.assertEqual([], self.second.server.released)

    async def test_items_of_a_lost_link_fail(self):
        async with self.run_both():
            task = await curio.spawn(self.run_items)
            await self.second.server.started.wait()
            await self.first.table.linked["b"].link.close()
            results = await task.join()
            self.assertEqual(
                ["error", "error"], [outcome.reason for outcome in results]
            )

    async def test_results_are_released_by_the_other_entry(self):
        async with self.run_both():
            await self.first.table.release(
                self.find_second(), proxy_fakes.build_endpoint("e1"), ["r"]
            )
            await self.wait_until(lambda: self.second.server.released == ["r"])

    async def test_closed_link_is_reopened(self):
        async with self.run_both():
            before = self.find_second()
            await before.link.close()
            await self.wait_until(
                lambda: self.first.table.linked.get("b", before) is not before
            )

    async def test_connection_with_a_wrong_token_is_refused(self):
        async with self.run_both():
            address = self.first.registration
            with self.assertRaises(errors.ConnectError):
                async with entries.links.dial(
                    address.host,
                    address.port,
                    "other",
                ):
                    pass
