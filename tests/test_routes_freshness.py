"""Tests of the age of routes that one entry learns from another."""

import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    cluster_state,
    errors,
    ownership,
    routes_freshness,
)
from tests import base, proxy_fakes

USABLE_SECONDS = 3.8


def build_members(count, data_centres=3):
    return [
        ownership.Member(f"entry{number}", f"dc{number % data_centres}")
        for number in range(count)
    ]


class ChooseSourcesTest(base.TestCase):
    """Tests which entries read the store often."""

    def test_number_of_sources_does_not_grow_with_the_fleet(self):
        for count in (30, 68, 300):
            sources = routes_freshness.choose_sources(build_members(count))
            self.assertEqual(6, len(sources))

    def test_each_data_centre_has_sources(self):
        members = build_members(30)
        sources = routes_freshness.choose_sources(members)
        data_centres = {m.data_centre for m in members if m.name in sources}
        self.assertEqual(3, len(data_centres))

    def test_every_entry_of_a_small_site_is_a_source(self):
        sources = routes_freshness.choose_sources(build_members(4))
        self.assertEqual(4, len(sources))

    def test_other_sources_take_the_place_of_lost_ones(self):
        members = build_members(30)
        sources = routes_freshness.choose_sources(members)
        living = [m for m in members if m.name not in sources]
        replaced = routes_freshness.choose_sources(living)
        self.assertEqual(6, len(replaced))
        self.assertFalse(replaced & sources)


class ChooseActionTest(base.TestCase):
    """Tests what an entry does at each age."""

    def choose(self, age_seconds, has_source=True, draw=0.5):
        return routes_freshness.choose_action(
            age_seconds, USABLE_SECONDS, has_source, draw
        )

    def test_recent_routes_need_nothing(self):
        self.assertEqual(routes_freshness.Action.WAIT, self.choose(0.5))

    def test_sources_are_asked_first_and_then_the_store(self):
        self.assertEqual(routes_freshness.Action.ASK, self.choose(1.5))
        self.assertEqual(routes_freshness.Action.READ, self.choose(3.0))

    def test_store_is_read_before_the_routes_expire(self):
        for draw in (0.0, 0.5, 1.0):
            action = self.choose(USABLE_SECONDS * 0.8, False, draw)
            self.assertEqual(routes_freshness.Action.READ, action)

    def test_reads_of_a_fleet_are_spread(self):
        ages = [USABLE_SECONDS * share for share in (0.57, 0.73)]
        actions = {self.choose(age, draw=0.5) for age in ages}
        self.assertEqual(2, len(actions))


class FakeSources:
    """Answers with a preset confirmation, after some seconds."""

    def __init__(self, clock):
        self.clock = clock
        self.linked = set()
        self.answer = None
        self.seconds = 0.0
        self.asked = []

    def is_linked(self, name):
        return name in self.linked

    async def ask_routes_age(self, name):
        self.asked.append(name)
        self.clock.seconds += self.seconds
        return self.answer


class RoutesFreshnessTest(base.TestCase):
    """Tests one entry of a fleet that is no source."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock()
        self.sources = FakeSources(self.clock)
        members = build_members(30)
        names = routes_freshness.choose_sources(members)
        me = next(m for m in members if m.name not in names)
        self.cluster = cluster_state.ClusterState(5.0, me)
        self.cluster.adopt_table(proxy_fakes.build_table([], version=4))
        self.cluster.routes_age.confirm(self.clock.now())
        self.reads = 0
        self.store_works = True
        self.freshness = routes_freshness.RoutesFreshness(
            me.name,
            self.cluster,
            self.sources,
            self.read_routes,
            self.clock,
            random.Random(1),
            proxy_fakes.FakeJournal(),
        )
        self.freshness.adopt_members(members)
        self.sources.linked = names

    async def read_routes(self):
        self.reads += 1
        if not self.store_works:
            raise errors.StoreUnavailableError("cut off")
        self.cluster.routes_age.confirm(self.clock.now())

    async def check_after(self, seconds):
        """Checks at this age; returns the age afterwards."""
        self.clock.seconds += seconds
        await self.freshness.check()
        return self.cluster.routes_age.compute_age(self.clock.now())

    async def test_source_confirms_the_routes(self):
        self.sources.answer = routes_freshness.Confirmation(4, 0.5)
        self.assertAlmostEqual(0.5, await self.check_after(1.5))
        self.assertEqual(0, self.reads)

    async def test_delay_of_the_answer_makes_the_routes_older(self):
        self.sources.answer = routes_freshness.Confirmation(4, 0.5)
        self.sources.seconds = 0.4
        self.assertAlmostEqual(0.9, await self.check_after(1.5))

    async def test_newer_version_elsewhere_is_read_from_the_store(self):
        self.sources.answer = routes_freshness.Confirmation(5, 0.1)
        await self.check_after(1.5)
        self.assertEqual(1, self.reads)

    async def test_older_source_confirms_too(self):
        self.sources.answer = routes_freshness.Confirmation(3, 1.0)
        self.assertAlmostEqual(1.0, await self.check_after(1.5))

    async def test_silent_sources_leave_the_store(self):
        await self.check_after(1.5)
        self.assertEqual(0, self.reads)
        self.assertAlmostEqual(0.0, await self.check_after(1.5))
        self.assertEqual(1, self.reads)

    async def test_entry_without_sources_and_store_has_old_routes(self):
        self.store_works = False
        self.sources.linked = set()
        started_at = self.clock.now()
        for _ in range(20):
            await self.check_after(routes_freshness.CHECK_SECONDS)
        elapsed = self.clock.now() - started_at
        self.assertFalse(self.cluster.routes_age.is_usable(self.clock.now()))
        # Failed reads are spread by the pause after each of them.
        self.assertLess(
            self.reads, elapsed / routes_freshness.FAILED_READ_SECONDS
        )

    async def test_source_does_nothing(self):
        self.freshness.adopt_members([])
        self.freshness.is_source = True
        await self.check_after(3.0)
        self.assertEqual((0, []), (self.reads, self.sources.asked))


class SoundnessTest(base.TestCase):
    """Walks through orders of changes, reads, questions, pauses and losses.

    Whenever an entry believes that its copy was current at a time, the store
    had no newer version at that time.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["change", "read", "ask"]),
                strategies.integers(0, 2),
                strategies.integers(0, 2),
                strategies.floats(0.0, 2.0),
                strategies.floats(0.0, 2.0),
            ),
            max_size=40,
        )
    )
    def test_believed_age_is_never_too_low(self, steps):
        curio.run(self.walk, steps)

    async def walk(self, steps):
        clock = proxy_fakes.FakeClock()
        history = [(0.0, 1)]
        names = [f"entry{number}" for number in range(3)]
        states = []
        for name in names:
            state = cluster_state.ClusterState(
                5.0, ownership.Member(name, "dc")
            )
            state.adopt_table(proxy_fakes.build_table([], version=1))
            state.routes_age.confirm(clock.now())
            states.append(state)
        for kind, asker, source, before, after in steps:
            if kind == "change":
                clock.seconds += before
                history.append((clock.now(), history[-1][1] + 1))
            elif kind == "read":
                # The answer is as of the end of the wait in the store; the
                # machine may pause before it takes the answer.
                started_at = clock.now()
                clock.seconds += before
                version = history[-1][1]
                clock.seconds += after
                state = states[asker]
                state.adopt_table(proxy_fakes.build_table([], version=version))
                state.routes_age.confirm(started_at)
            elif asker != source:
                await self.ask(
                    clock, states[asker], states[source], before, after
                )
            for state in states:
                self.assert_sound(state, history)

    async def ask(self, clock, asker, source, before, after):
        """Asks with delays before and after the answer is made."""

        class Sources(FakeSources):
            async def ask_routes_age(self, name):
                clock.seconds += before
                answer = routes_freshness.Confirmation(
                    source.table.version,
                    source.routes_age.compute_age(clock.now()),
                )
                clock.seconds += after
                return answer

        async def read_nothing():
            raise errors.StoreUnavailableError("cut off")

        freshness = routes_freshness.RoutesFreshness(
            "asker",
            asker,
            Sources(clock),
            read_nothing,
            clock,
            random.Random(1),
            proxy_fakes.FakeJournal(),
        )
        await freshness.ask("source")

    def assert_sound(self, state, history):
        current = max(
            version
            for at, version in history
            if at < state.routes_age.confirmed_at
        )
        self.assertGreaterEqual(state.table.version, current)
