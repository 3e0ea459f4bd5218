"""Tests of the age of routes that one entry learns from another."""

import contextlib
import random
from typing import NamedTuple

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    cluster_state,
    errors,
    ownership,
    routes_freshness,
    store_eras,
    watchers,
)
from samphirevale.ports import objects
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
        self.eras = store_eras.StoreEras(
            self.cluster.start_era, proxy_fakes.FakeJournal()
        )
        self.reads = 0
        self.store_works = True
        self.freshness = routes_freshness.RoutesFreshness(
            me.name,
            self.cluster,
            self.sources,
            self.read_routes,
            self.eras,
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
        self.cluster.confirm_routes(self.clock.now(), self.eras.newest)

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

    async def test_source_of_an_older_era_does_not_confirm(self):
        await self.eras.observe(4, "other", self.clock.now())
        self.sources.answer = routes_freshness.Confirmation(4, 0.5, 3)
        self.assertAlmostEqual(1.5, await self.check_after(1.5))

    async def test_source_tells_of_a_new_era(self):
        await self.eras.observe(3, "other", self.clock.now())
        self.sources.answer = routes_freshness.Confirmation(4, 0.5, 4)
        await self.check_after(1.5)
        self.assertEqual(4, self.eras.newest)

    async def test_store_that_lost_the_newest_routes_does_not_confirm(self):
        self.sources.answer = routes_freshness.Confirmation(5, 0.1)
        await self.check_after(1.5)
        # The read has brought version 4, and its failure is followed by a
        # pause.
        self.assertAlmostEqual(
            1.5 + routes_freshness.FAILED_READ_SECONDS,
            self.cluster.routes_age.compute_age(self.clock.now()),
        )

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


def build_steps(*kinds):
    """Returns a strategy of steps of three entries, each with two delays."""
    return strategies.lists(
        strategies.tuples(
            strategies.sampled_from(kinds),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.floats(0.0, 2.0),
            strategies.floats(0.0, 2.0),
        ),
        max_size=40,
    )


async def ask(clock, state, eras, source_state, delays):
    """Lets an entry ask a source.

    Args:
        clock: the clock of all entries.
        state: what the asking entry knows.
        eras: the eras that it has seen.
        source_state: what the source knows.
        delays: the delays before and after the answer is made, in seconds.
    """
    before, after = delays

    class Sources(FakeSources):
        async def ask_routes_age(self, name):
            clock.seconds += before
            answer = routes_freshness.Confirmation(
                source_state.table.version,
                source_state.routes_age.compute_age(clock.now()),
                source_state.routes_era,
            )
            clock.seconds += after
            return answer

    async def read_nothing():
        raise errors.StoreUnavailableError("cut off")

    freshness = routes_freshness.RoutesFreshness(
        "asker",
        state,
        Sources(clock),
        read_nothing,
        eras,
        clock,
        random.Random(1),
        proxy_fakes.FakeJournal(),
    )
    await freshness.ask("source")


class SoundnessTest(base.TestCase):
    """Walks through orders of changes, reads, questions, pauses and losses.

    Whenever an entry believes that its copy was current at a time, the store
    had no newer version at that time.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(build_steps("change", "read", "ask"))
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
                state = states[asker]
                eras = store_eras.StoreEras(
                    state.start_era, proxy_fakes.FakeJournal()
                )
                delays = (before, after)
                await ask(clock, state, eras, states[source], delays)
            for state in states:
                self.assert_sound(state, history)

    def assert_sound(self, state, history):
        current = max(
            version
            for at, version in history
            if at < state.routes_age.confirmed_at
        )
        self.assertGreaterEqual(state.table.version, current)


class Operator:
    """What the operator wrote, and what the store has of it.

    Attributes:
        writes: the times and versions that the store acknowledged.
        returns: the returns of the store from a copy.
    """

    class Return(NamedTuple):
        """A return from a copy `age` old; lost writes come after `delay`."""

        at: float
        age: float
        delay: float

    def __init__(self):
        self.writes = [(0.0, 1)]
        self.returns = []

    def find_version(self, at):
        """Returns the version that the store had at a time."""
        returns = [one for one in self.returns if one.at <= at]
        if not returns or at >= returns[-1].at + returns[-1].delay:
            return max(v for written_at, v in self.writes if written_at <= at)
        last = returns[-1]
        versions = [v for w, v in self.writes if last.at < w <= at]
        copied_at = min(last.at - last.age, last.at - 0.001)
        return max([self.find_version(copied_at), *versions])

    def find_era(self, at):
        return sum(one.at <= at for one in self.returns)


class RewindSoundnessTest(base.TestCase):
    """Walks through the steps of SoundnessTest, and returns from copies.

    No entry uses a version for longer than the limit after the store has
    acknowledged a newer one, even if it never reaches the store again.
    """

    LIMIT_SECONDS = 5.0

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(build_steps("change", "return", "read", "ask", "report"))
    def test_replaced_routes_are_not_used_after_the_limit(self, steps):
        curio.run(self.walk, steps)

    async def walk(self, steps):
        self.clock = proxy_fakes.FakeClock()
        self.operator = Operator()
        self.entries = [self.build_entry(number) for number in range(3)]
        for entry in self.entries:
            await self.read(entry, 0.0, 0.0)
        for kind, asker, source, before, after in steps:
            if kind == "change":
                self.clock.seconds += before
                version = self.operator.writes[-1][1] + 1
                self.operator.writes.append((self.clock.now(), version))
            elif kind == "return":
                self.clock.seconds += before
                self.operator.returns.append(
                    Operator.Return(self.clock.now(), before + after, after)
                )
            elif kind == "read":
                await self.read(self.entries[asker], before, after)
            elif kind == "ask" and asker != source:
                state, eras, _ = self.entries[asker]
                source_state, _, _ = self.entries[source]
                delays = (before, after)
                await ask(self.clock, state, eras, source_state, delays)
            elif kind == "report":
                await self.report(asker, source)
            for state, _, _ in self.entries:
                self.assert_sound(state)

    def build_entry(self, number):
        """Returns the state, eras and watcher of an entry."""
        state = cluster_state.ClusterState(
            self.LIMIT_SECONDS, ownership.Member(f"entry{number}", "dc")
        )
        log = proxy_fakes.FakeJournal()
        eras = store_eras.StoreEras(state.start_era, log)

        def adopt(found, now):
            for stored in found:
                table = proxy_fakes.build_table([], version=stored.value)
                state.adopt_table(table)

        callbacks = watchers.WatchCallbacks(
            adopt,
            adopt,
            lambda started_at: state.confirm_routes(started_at, eras.newest),
            lambda now: None,
        )
        watcher = watchers.Watcher(
            self, "kind", callbacks, eras, self.clock, random.Random(1), log
        )
        return state, eras, watcher

    async def list_at(self, kind):
        """Answers as the store does after a delay, and delays the answer."""
        before, after = self.delays
        self.clock.seconds += before
        now = self.clock.now()
        version = self.operator.find_version(now)
        stored = objects.StoredObject(kind, "main", 1, version)
        self.clock.seconds += after
        return objects.Listing([stored], 1, self.operator.find_era(now))

    async def read(self, entry, before, after):
        self.delays = (before, after)
        with contextlib.suppress(errors.StoreEraPassedError):
            await entry[2].read_now()

    async def report(self, receiver, sender):
        state, eras, _ = self.entries[receiver]
        sender_state, sender_eras, _ = self.entries[sender]
        await eras.observe(sender_eras.newest, "sender", self.clock.now())
        state.note_routes_version(sender_state.get_routes_version())

    def assert_sound(self, state):
        usable_until = (
            state.routes_age.confirmed_at
            + state.routes_age.get_usable_seconds()
        )
        replaced_at = min(
            (
                at
                for at, version in self.operator.writes
                if version > state.table.version
            ),
            default=usable_until,
        )
        self.assertLessEqual(
            usable_until, replaced_at + self.LIMIT_SECONDS + 1e-6
        )
