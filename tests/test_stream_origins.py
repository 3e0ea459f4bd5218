"""Tests that entries know which version began a stream."""

import time

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import hash_order, stream_origins
from tests import base, proxy_fakes

ORIGIN = stream_origins.StreamOrigin("lm", "v1")
OTHER = stream_origins.StreamOrigin("lm", "v2")
NAMES = [f"entry{number}" for number in range(8)]


class StreamOriginsTest(base.TestCase):
    """Tests what one entry remembers."""

    def setUp(self):
        self.origins = stream_origins.StreamOrigins()

    def test_streams_are_forgotten_after_their_time(self):
        self.origins.record("a1", ORIGIN, 110.0)
        self.assertEqual(ORIGIN, self.origins.find("a1", 109.9))
        self.assertIsNone(self.origins.find("a1", 110.0))
        self.assertIsNone(self.origins.find("a2", 100.0))
        self.origins.remove_expired(110.0)
        self.assertEqual(0, len(self.origins))

    def test_number_of_streams_is_limited(self):
        for number in range(stream_origins.STREAMS_LIMIT + 2):
            self.origins.record(f"a{number}", ORIGIN, 110.0)
        self.assertEqual(stream_origins.STREAMS_LIMIT, len(self.origins))
        self.assertIsNone(self.origins.find("a1", 100.0))
        self.assertIsNotNone(self.origins.find("a2", 100.0))


class FakeFleet:
    """Entries that tell and ask each other without sockets."""

    def __init__(self, names):
        self.clock = proxy_fakes.FakeClock()
        self.origins = {name: stream_origins.StreamOrigins() for name in names}
        self.silent = set()
        # Entries whose answer comes while the asking process stands still.
        self.stalling = set()
        # The questions that have not ended.
        self.open_questions = 0

    def build_directory(self, name):
        links = FakeLinks(self, [n for n in self.origins if n != name])
        return stream_origins.OriginDirectory(
            self.origins[name], links, self.clock
        )


class FakeLinks:
    """The links of one entry of a fake fleet."""

    def __init__(self, fleet, names):
        self._fleet = fleet
        self._names = names

    def list_linked(self):
        return [name for name in self._names if name in self._fleet.origins]

    async def tell_origin(self, name, attempt, origin, seconds):
        until = self._fleet.clock.now() + seconds
        self._fleet.origins[name].record(attempt, origin, until)

    async def ask_origin(self, name, attempt):
        self._fleet.open_questions += 1
        try:
            return await self._answer(name, attempt)
        finally:
            self._fleet.open_questions -= 1

    async def _answer(self, name, attempt):
        if name in self._fleet.silent:
            await curio.sleep(100)
        if name in self._fleet.stalling:
            await curio.sleep(0.01)
            time.sleep(2 * stream_origins.ASK_SECONDS)
        return self._fleet.origins[name].find(attempt, self._fleet.clock.now())


class OriginDirectoryTest(base.TestCase):
    """Tests that entries find what others have recorded."""

    async def test_other_entries_find_a_stream(self):
        fleet = FakeFleet(NAMES)
        await fleet.build_directory("entry0").record("a1", ORIGIN, 110.0)
        for name in NAMES:
            directory = fleet.build_directory(name)
            self.assertEqual(ORIGIN, await directory.find("a1"))
            self.assertIsNone(await directory.find("a2"))
            self.assertIsNone(await directory.find(""))

    async def test_stream_is_found_after_its_entry_has_gone(self):
        fleet = FakeFleet(NAMES)
        await fleet.build_directory("entry0").record("a1", ORIGIN, 110.0)
        del fleet.origins["entry0"]
        for name in NAMES[1:]:
            found = await fleet.build_directory(name).find("a1")
            self.assertEqual(ORIGIN, found)

    async def test_stream_is_found_behind_entries_that_have_come_since(self):
        fleet = FakeFleet(NAMES)
        await fleet.build_directory("entry0").record("a1", ORIGIN, 110.0)
        holders = hash_order.order_by_hash("a1", NAMES[1:])
        for name in ("entry0", *holders[: stream_origins.HOLDERS - 1]):
            del fleet.origins[name]
        ordered = hash_order.order_by_hash(
            "a1", [holders[0], *(f"new{number}" for number in range(99))]
        )
        newcomers = ordered[: ordered.index(holders[0])]
        for name in newcomers[: stream_origins.HOLDERS + 1]:
            fleet.origins[name] = stream_origins.StreamOrigins()
        for name in list(fleet.origins):
            self.assertEqual(
                ORIGIN, await fleet.build_directory(name).find("a1")
            )

    async def test_silent_entries_do_not_delay_an_answer_for_long(self):
        fleet = FakeFleet(["entry0", "entry1", "entry2"])
        fleet.silent = {"entry1", "entry2"}
        async with curio.timeout_after(4 * stream_origins.ASK_SECONDS):
            self.assertIsNone(await fleet.build_directory("entry0").find("a1"))

    async def test_answer_that_came_while_the_process_stood_still_is_used(self):
        fleet = FakeFleet(["entry0", "entry1", "entry2", "entry3"])
        await fleet.build_directory("entry1").record("a1", ORIGIN, 110.0)
        # The entry itself has forgotten it.
        fleet.origins["entry0"] = stream_origins.StreamOrigins()
        fleet.stalling = {"entry1"}
        fleet.silent = {"entry2", "entry3"}
        asking = fleet.build_directory("entry0")
        self.assertEqual(ORIGIN, await asking.find("a1"))
        self.assertEqual(0, fleet.open_questions)

    async def test_entry_without_links_knows_its_own_streams(self):
        fleet = FakeFleet(["entry0"])
        directory = fleet.build_directory("entry0")
        await directory.record("a1", ORIGIN, 110.0)
        self.assertEqual(ORIGIN, await directory.find("a1"))

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["begin", "leave", "wait"]),
                strategies.sampled_from(NAMES),
                strategies.sampled_from(["a1", "a2", "a3"]),
            ),
            max_size=30,
        )
    )
    def test_no_stream_is_ever_found_at_another_version(self, steps):
        curio.run(self.check_steps, steps)

    async def check_steps(self, steps):
        fleet = FakeFleet(NAMES)
        began = {}
        for action, name, attempt in steps:
            if action == "wait":
                fleet.clock.seconds += 1.0
            elif action == "leave" and len(fleet.origins) > 1:
                fleet.origins.pop(name, None)
            elif name in fleet.origins and attempt not in began:
                began[attempt] = ORIGIN if len(began) % 2 else OTHER
                until = fleet.clock.now() + 5.0
                await fleet.build_directory(name).record(
                    attempt, began[attempt], until
                )
            for asking in list(fleet.origins):
                found = await fleet.build_directory(asking).find(attempt)
                self.assertIn(found, (None, began.get(attempt)))
