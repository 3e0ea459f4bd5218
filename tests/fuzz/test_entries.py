"""Fuzzes what another entry sends on its link.

Seen from outside, a message that can be decoded but has odd values ends nothing
but, at most, its own link. Sound rows beside odd ones hold, what the store says
afterwards is in force, the load and the endpoints of requests stay known, and
nothing odd is sent on. An answer is handed to its own call or to none.
"""

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    catalogue,
    entry_messages,
    message_checks,
    proxy_requests,
)
from samphirevale.platform import cordon_objects, endpoint_objects, manifest
from tests import proxy_fakes
from tests.fuzz import entry_links, entry_sessions, inputs, test_stored_objects

# After this time nothing that another entry has told is in force, in seconds.
FORGOTTEN_SECONDS = 1000.0

# The memory of the stage endpoints for results, in bytes.
MEMORY_BYTES = 1_000_000


def moves_store(message):
    """Returns whether a message may tell of a newer state of the store."""
    if isinstance(message, entry_messages.EntryReport):
        return (
            entry_sessions.ERA < message.store_era <= entry_sessions.LAST_ERA
            or 1 < message.routes_version <= entry_sessions.LARGEST
            or 1 < message.cordons_version <= entry_sessions.LARGEST
        )
    return False


class EntriesTest(entry_sessions.EntryTestCase):
    """Tests one entry with links to a sound one and to an odd one."""

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.one_of(
            strategies.just(entry_links.SOUND[-3]),
            entry_links.build_odd([entry_links.SOUND[-3]]),
        ),
        strategies.lists(entry_links.build_odd(), min_size=1, max_size=4),
    )
    def test_messages(self, hello, told):
        curio.run(self.check_messages, hello, told)

    async def test_last_of_many_items_are_not_answered(self):
        """Seed 1770001: their calls follow one another."""
        request = next(
            message
            for message in entry_links.SOUND
            if isinstance(message, entry_messages.ItemsRequest)
        )
        many = request._replace(indices=[0, 1, *[0] * 102])
        await self.check_messages(entry_links.SOUND[-3], [many])

    async def test_items_that_fit_in_no_memory_hold_up_no_others(self):
        """Seed 204000: one result of 694 PB made its queue the longest."""
        await self.start()
        odd = entry_links.SOUND[3]._replace(result_bytes=694444444444943481)
        link = entry_links.ScriptedLink([entry_links.SOUND[-3], odd])
        task = await curio.spawn(self.run_link, link)
        await self.let_run()
        self.check_requests()
        await self.check_answered(link, [odd._replace(result_bytes=0)])
        await link.put(None)
        await task.join()
        await self.sound.put(None)
        await self.sound_task.join()

    async def check_messages(self, hello, told):
        await self.start()
        link = entry_links.ScriptedLink([hello, *told])
        task = await curio.spawn(self.run_link, link)
        await self.let_run()
        self.check_requests()
        await self.check_sent()
        await self.check_answered(link, told)
        if not link.ended.is_set():
            await link.put(entry_sessions.SOUND_REPORT)
            await self.let_run()
            await self.check_reported(hello.instance)
        if not any(map(moves_store, told)):
            await self.check_store()
        await link.put(None)
        await task.join()
        self.assertFalse(self.sound.ended.is_set())
        totals = self.entry.table.loads
        for name in ("plain1", "plain2", "model1"):
            expected = (4, 900) if name == "plain1" else (0, 0)
            self.assertEqual(expected, totals.get(name))
        await self.check_forgotten()
        await self.sound.put(None)
        await self.sound_task.join()

    async def check_answered(self, link, told):
        """Checks that each request of items is answered, or the link ends."""
        if link.ended.is_set():
            return
        requests = [
            message
            for message in told
            if isinstance(message, entry_messages.ItemsRequest)
        ]
        wanted = [len(each.indices) * each.result_bytes for each in requests]
        if sum(max(size, 0) for size in wanted) > MEMORY_BYTES:
            # Some items wait for memory, until their deadline.
            return
        # Calls with a part of the items each follow one another.
        for _ in range(2 * sum(len(each.indices) for each in requests)):
            await curio.sleep(0)
        asked = {message.exchange for message in requests}
        cancelled = {
            message.exchange
            for message in told
            if isinstance(message, entry_messages.ItemsCancelled)
        }
        answered = {
            message.exchange
            for message in link.sent
            if isinstance(message, entry_messages.ItemsResult)
        }
        self.assertLessEqual(asked - cancelled, answered)

    async def check_reported(self, name):
        """Checks that a sound report that follows is in force."""
        totals = self.entry.table.loads
        self.assertEqual((8, 1800), totals.get("plain1"))
        start = catalogue.EndpointStart("kept1", 1)
        paused = self.entry.cluster_state.notices._paused_elsewhere_until
        self.assertIn(start, paused)

    async def check_store(self):
        """Checks that what the store says now is in force."""
        known = self.entry.cluster_state
        await entry_sessions.read_store(
            self.entry, manifest.KIND, entry_sessions.list_table(2)
        )
        self.assertEqual(2, known.table.version)
        self.assertTrue(known.routes_age.is_usable(self.clock.now()))
        drained = entry_sessions.list_endpoints(state="draining")
        await entry_sessions.read_store(
            self.entry, endpoint_objects.KIND, drained
        )
        self.assertEqual([], known.catalogue.list_accepting("plain"))
        await entry_sessions.read_store(
            self.entry,
            cordon_objects.KIND,
            test_stored_objects.build_list(
                test_stored_objects.build_object("b", b"{}")
            ),
        )
        self.assertIn("b", known.cordons.newest.names)

    async def check_forgotten(self):
        """Checks that what was told of endpoints ends in time."""
        self.clock.seconds += FORGOTTEN_SECONDS
        now = self.clock.now()
        self.entry._notices.remove_expired(now)
        self.entry._origins.remove_expired(now)
        self.entry._crashes.update()
        parts = self.entry._crashes.parts
        notices = self.entry.cluster_state.notices
        self.assertEqual(([], []), (parts.list_crashes(), parts.list_heard()))
        self.assertFalse(notices.limits)
        self.assertFalse(notices._paused_elsewhere_until)

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                entry_links.SCALARS[str], strategies.sampled_from("pqr")
            ),
            min_size=1,
            max_size=6,
        ),
        strategies.integers(1, 40),
    )
    def test_callers(self, texts, crashes):
        """What callers name is told only as far as other entries take it."""
        curio.run(self.check_callers, texts, crashes)

    async def check_callers(self, texts, crashes):
        await self.start()
        now = self.clock.now()
        parts = tuple(proxy_requests.PromptPart(text, 1) for text in texts)
        request = proxy_fakes.build_request(prompt=(*parts, parts[0]))
        for number in range(crashes):
            endpoint = proxy_fakes.build_endpoint(f"e{number}")
            self.entry._crashes.record_crash(endpoint, request, now)
            attempts = [f"{number}{text}" for text in texts]
            self.entry._quarantine.add_crashes("f", attempts, now)
        self.entry._crashes.record_answer(request)
        for message in (
            self.entry._crashes.build_evidence(),
            self.entry._build_report(now),
        ):
            self.assertIs(message, message_checks.check(message))
        await self.check_sent()
        await self.sound.put(None)
        await self.sound_task.join()

    @inputs.limit_inputs
    @hypothesis.given(strategies.data())
    def test_rows(self, data):
        """Sound rows beside odd ones are adopted."""
        sound = entry_links.SOUND[0]
        fields = list(entry_links.SOUND[0])
        for index in range(len(fields)):
            if isinstance(fields[index], list) and fields[index]:
                fields[index] = [list(row) for row in fields[index]]
                entry_links._change_rows(data.draw, fields[index])
        message = entry_messages.EntryReport(*fields)
        curio.run(self.check_rows, sound, message)

    async def check_rows(self, sound, message):
        await self.start()
        link = entry_links.ScriptedLink([entry_links.SOUND[-3], message])
        task = await curio.spawn(self.run_link, link)
        await self.let_run()
        self.assertFalse(link.ended.is_set())
        found = self.entry.table.linked["o"]
        # A row that is not odd but for its size may follow a sound one.
        self.assertLessEqual({"first1", "first2"}, found.queues.keys())
        self.assertLessEqual({"plain1", "model1"}, found.loads.keys())
        notices = self.entry.cluster_state.notices
        start = catalogue.EndpointStart("plain2", 1)
        self.assertIn(start, notices._paused_elsewhere_until)
        self.assertTrue(notices.limits)
        self.assertIn("acme", self.entry._demands.sum_up("plain", 10_000.0))
        crashes = self.entry._quarantine.list_crashes("f2", 10_000.0)
        self.assertLessEqual({"a2", "a3"}, crashes)
        await link.put(None)
        await task.join()

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["items", "age", "origin"]),
            min_size=1,
            max_size=3,
        ),
        strategies.data(),
    )
    def test_answers(self, calls, data):
        curio.run(self.check_answers, calls, data)

    async def check_answers(self, calls, data):
        """Checks that calls get their own answers, or none."""
        await self.start()
        link = entry_links.ScriptedLink([entry_links.SOUND[-3]])
        task = await curio.spawn(self.run_link, link)
        await self.let_run()
        self.results = {}
        pending = []
        for number, kind in enumerate(calls):
            pending.append(await curio.spawn(self.call, kind, number))
        await self.let_run()
        answers = [
            _answer(message)
            for message in link.sent
            if hasattr(message, "exchange")
        ]
        for answer in data.draw(_arrange(answers)):
            await link.put(answer)
        await self.let_run()
        age = self.entry.cluster_state.routes_age
        if not link.ended.is_set():
            await link.put(None)
        await task.join()
        for waiting in pending:
            await waiting.join()
        self.assertEqual(len(calls), len(self.results))
        self.assertGreaterEqual(age.compute_age(self.clock.now()), 0.0)
        await self.sound.put(None)
        await self.sound_task.join()

    async def call(self, kind, number):
        """Makes a call; `number` is the number of its exchange too."""
        table = self.entry.table
        entry = table.linked["o"]
        if kind == "items":
            endpoint = self.entry.cluster_state.catalogue.find("first1")
            items = [proxy_fakes.build_item(index=i) for i in range(2)]
            found = await table.run_items(entry, endpoint, items)
            self.assertEqual(2, len(found))
            for outcome in found:
                self.assertEqual(bool(outcome.result), not outcome.reason)
                text = outcome.result + outcome.reason
                self.assertTrue(text.isascii() and text.isprintable(), text)
                self.assertNotIn(",", text)
                # Nothing tells the results of one call from each other.
                if outcome.result.startswith("h-"):
                    self.assertIn(f"h-{number}-", outcome.result)
        elif kind == "age":
            found = await table.ask_routes_age("o")
            if found is not None:
                self.assertTrue(0 <= found.age_seconds < 1e12)
                self.assertLessEqual(0, found.version)
        else:
            found = await table.ask_origin("o", f"a{number}")
            if found is not None and found.service.startswith("m-"):
                self.assertEqual(f"m-{number}", found.service)
            if found is not None:
                self.assertLessEqual(
                    len(found.service), entry_sessions.LONGEST_TEXT
                )
        self.results[number] = found


def _answer(request):
    """Returns the sound answer to a request."""
    number = request.exchange
    if isinstance(request, entry_messages.ItemsRequest):
        names = [f"h-{number}-{index}" for index in request.indices]
        return entry_messages.ItemsResult(
            number, "first1", names, [""] * len(names), entry_links.QUEUE
        )
    if isinstance(request, entry_messages.RoutesAgeRequest):
        return entry_messages.RoutesAge(number, 1, 0.25, entry_sessions.ERA)
    return entry_messages.StreamOriginAnswer(number, True, f"m-{number}", "v1")


@strategies.composite
def _arrange(draw, answers):
    """Draws answers in any order, some odd, twice, or to other calls."""
    found = draw(strategies.permutations(answers))
    arranged = []
    for answer in found:
        kind = draw(
            strategies.sampled_from(
                ["", "odd", "odd", "twice", "none", "other"]
            )
        )
        if kind == "odd":
            own = answer.exchange
            answer = entry_links.change(draw, answer)
            # Nothing but the exchange tells whose answer it is.
            if answer.exchange in range(len(answers)):
                answer = answer._replace(exchange=own)
        elif kind == "other":
            # An answer of another kind, or of another exchange's.
            other = draw(strategies.sampled_from(entry_links.SOUND[5:11]))
            if hasattr(other, "exchange"):
                answer = other._replace(exchange=answer.exchange)
        if kind != "none":
            arranged += [answer] * (2 if kind == "twice" else 1)
    return arranged
