"""Tests of watchers with the faults of a store."""

import contextlib
import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import (
    cluster_watch,
    errors,
    store_eras,
    watchers,
)
from samphirevale.availability import cordon_watch
from samphirevale.ports import objects
from tests import base, proxy_fakes, test_gateway_settings

# How long a silent store takes for an answer, in seconds.
SILENT_SECONDS = 2.0


class StopError(curio.CancelledError):
    """Ends a watcher, which otherwise runs until cancelled."""


class ScriptedStore:
    """Answers lists and watches from a script."""

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)
        self.calls = []
        self.waits = []

    def answer(self, call):
        self.calls.append(call)
        if not self.script:
            raise StopError
        seconds, answer = self.script.pop(0)
        self.clock.seconds += seconds
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list_at(self, kind):
        return self.answer("list")

    async def watch(self, kind, version, timeout_seconds):
        self.waits.append(timeout_seconds)
        return self.answer(version)


def build_object(name, value=1, version=1):
    return objects.StoredObject("kind", name, version, value)


class WaitTest(base.TestCase):
    """Tests how long watches wait, by the bounds in the settings."""

    def test_silence_is_noticed_within_the_time_of_contact(self):
        """Also one that begins just before the watch, or in its pause."""
        for contact, drain, keys in ((3, 2, 5), (5, 4, 5), (2, 1, 30)):
            settings = test_gateway_settings.SETTINGS._replace(
                contact_seconds=contact, drain_seconds=drain, keys_seconds=keys
            )
            for times in (
                cluster_watch.compute_endpoints_watch(settings),
                cluster_watch.compute_routes_watch(settings, is_source=True),
                cordon_watch.compute_watch(contact, quiet=False),
            ):
                noticed = (
                    times.pause_seconds
                    + times.wait_seconds
                    + watchers.LATE_ANSWER_SECONDS
                    + watchers.RECOVERY_SECONDS
                )
                self.assertLessEqual(noticed, contact + 1e-9)

    def test_watch_waits_a_little_also_if_the_bound_is_short(self):
        self.assertEqual(
            watchers.LEAST_WATCH_SECONDS, watchers.compute_wait(0.1)
        )


class WatcherTest(base.TestCase):
    """Tests a watcher with scripted answers of the store."""

    store_type = ScriptedStore

    async def run_script(self, *script, times=watchers.DEFAULT_TIMES):
        """Runs a script; returns the store and the calls of the callbacks."""
        clock = proxy_fakes.FakeClock()
        store = self.store_type(clock, script)
        callback_calls = []
        log = proxy_fakes.FakeJournal()
        self.eras_changed_at = []
        self.eras = store_eras.StoreEras(self.eras_changed_at.append, log)
        callbacks = watchers.WatchCallbacks(
            lambda found, now: callback_calls.append(("list", list(found))),
            lambda found, now: callback_calls.append(("changes", list(found))),
            lambda started_at: callback_calls.append(("confirmed", started_at)),
            lambda now: callback_calls.append(("recovery", now)),
        )
        watcher = watchers.Watcher(
            store,
            "kind",
            callbacks,
            self.eras,
            clock,
            random.Random(1),
            log,
            times,
        )
        with contextlib.suppress(StopError):
            await watcher.run()
        return store, callback_calls

    async def test_answer_confirms_the_copy_at_the_start_of_the_call(self):
        _, callback_calls = await self.run_script(
            (1.0, objects.Listing([], 5)), (1.5, objects.WatchEvents([], 5))
        )
        confirmed = [at for kind, at in callback_calls if kind == "confirmed"]
        self.assertEqual([100.0, 101.0], confirmed)

    async def test_expired_history_causes_a_new_list(self):
        store, _ = await self.run_script(
            (0, objects.Listing([], 5)),
            (0, errors.StoreWatchExpiredError("old")),
            (0, objects.Listing([build_object("a")], 9)),
        )
        self.assertEqual(["list", 5, "list", 9], store.calls)

    async def test_failed_watch_resumes_at_the_same_version(self):
        store, callback_calls = await self.run_script(
            (0, objects.Listing([], 5)),
            (0.5, errors.StoreUnavailableError("cut")),
            (0, objects.WatchEvents([build_object("a")], 7)),
        )
        self.assertEqual(["list", 5, 5, 7], store.calls)
        self.assertNotIn("recovery", [kind for kind, _ in callback_calls])

    async def test_end_of_an_outage_is_reported(self):
        _, callback_calls = await self.run_script(
            (0, objects.Listing([], 5)),
            (3.0, errors.StoreUnavailableError("cut")),
            (3.0, errors.StoreUnavailableError("cut")),
            (0, objects.WatchEvents([], 5)),
        )
        self.assertIn("recovery", [kind for kind, _ in callback_calls])

    async def test_watches_are_short_while_the_store_is_lost(self):
        store, _ = await self.run_script(
            (0, objects.Listing([], 5)),
            (3.0, errors.StoreUnavailableError("silent")),
            (1.0, errors.StoreUnavailableError("silent")),
            (0, objects.WatchEvents([], 5)),
            (0, objects.WatchEvents([], 5)),
        )
        short, normal = watchers.OUTAGE_WATCH_SECONDS, watchers.WATCH_SECONDS
        self.assertEqual([normal, short, short, normal, normal], store.waits)

    async def test_reset_of_a_long_watch_is_no_outage(self):
        store, callback_calls = await self.run_script(
            (0, objects.Listing([], 5)),
            (2.5, errors.StoreUnavailableError("reset")),
            (0, objects.WatchEvents([], 5)),
            times=watchers.WatchTimes(wait_seconds=5.0),
        )
        self.assertNotIn("recovery", [kind for kind, _ in callback_calls])
        # The watch after a failure is short.
        self.assertEqual(watchers.OUTAGE_WATCH_SECONDS, store.waits[1])

    async def test_registrations_of_a_starting_fleet_take_few_calls(self):
        fleet = [build_object(f"e{number}") for number in range(68)]

        class StartingStore(ScriptedStore):
            """Registers an entry every 20 ms; a watch returns what is new."""

            def answer(self, call):
                if call == "list":
                    self.calls.append(call)
                    return objects.Listing([], 0)
                if self.clock.seconds > 110.0:
                    raise StopError
                self.calls.append(call)
                registered = int((self.clock.seconds - 100.0) / 0.02)
                if registered <= call < len(fleet):
                    registered = call + 1
                    self.clock.seconds = 100.0 + 0.02 * registered
                elif call == len(fleet):
                    self.clock.seconds += 10.0
                count = min(registered, len(fleet))
                return objects.WatchEvents(fleet[call:count], count)

        async def count_calls(times):
            self.store_type = StartingStore
            store, callback_calls = await self.run_script(times=times)
            changes = [found for kind, found in callback_calls if found]
            self.assertTrue(changes)
            return len(store.calls)

        calls = await count_calls(watchers.WatchTimes(10.0, pause_seconds=1.0))
        self.assertLess(calls, 6)
        self.assertGreater(await count_calls(watchers.WatchTimes(10.0)), 60)

    async def test_answer_of_a_new_era_causes_a_new_list(self):
        store, callback_calls = await self.run_script(
            (0, objects.Listing([], 5, 3)),
            (0, objects.WatchEvents([build_object("b")], 6, 4)),
            (0, objects.Listing([build_object("a")], 2, 4)),
            (0, objects.WatchEvents([build_object("c")], 3, 4)),
        )
        self.assertEqual(["list", 5, "list", 2, 3], store.calls)
        self.assertEqual([100.0], self.eras_changed_at)
        # The changes after a revision of another era are not adopted.
        adopted = [found for kind, found in callback_calls if kind == "changes"]
        self.assertEqual([[build_object("c")]], adopted)

    async def test_answer_of_an_older_era_changes_nothing(self):
        case = self

        class LateStore(ScriptedStore):
            async def list_at(self, kind):
                # Another call has learned of a new era meanwhile.
                if self.calls:
                    await case.eras.observe(4, "other", 100.0)
                return self.answer("list")

        self.store_type = LateStore
        store, callback_calls = await self.run_script(
            (0, objects.Listing([], 5, 3)),
            (0, errors.StoreWatchExpiredError("old")),
            (0, objects.Listing([build_object("lost")], 9, 3)),
            (0, objects.Listing([build_object("a")], 2, 4)),
        )
        self.assertEqual(["list", 5, "list", "list", 2], store.calls)
        lists = [found for kind, found in callback_calls if kind == "list"]
        self.assertEqual([[], [build_object("a")]], lists)
        confirmed = [kind for kind, _ in callback_calls if kind == "confirmed"]
        self.assertEqual(2, len(confirmed))

    async def test_waiting_watch_is_given_up_in_a_new_era(self):
        case = self

        class SilentStore(ScriptedStore):
            async def watch(self, kind, version, timeout_seconds):
                if len(self.calls) == 1:
                    self.calls.append(version)
                    await case.eras.observe(4, "other", 100.0)
                    await curio.sleep(SILENT_SECONDS)
                return self.answer(version)

        self.store_type = SilentStore
        store, _ = await self.run_script(
            (0, objects.Listing([], 5, 3)), (0, objects.Listing([], 2, 4))
        )
        self.assertEqual(["list", 5, "list", 2], store.calls)

    async def test_lists_after_a_new_era_are_spread(self):
        times = watchers.WatchTimes(relist_seconds=8.0)
        _, callback_calls = await self.run_script(
            (0, objects.Listing([], 5, 3)),
            (0, objects.WatchEvents([], 6, 4)),
            (0, objects.Listing([], 2, 4)),
            times=times,
        )
        confirmed = [at for kind, at in callback_calls if kind == "confirmed"]
        self.assertGreater(confirmed[1], 100.0)
        self.assertLess(confirmed[1], 108.0)

    async def test_first_watch_after_the_rewrites_is_answered_soon(self):
        rewrite, short = store_eras.REWRITE_SECONDS, 0.05
        times = watchers.WatchTimes(wait_seconds=5.0, relist_seconds=0.0)
        store, _ = await self.run_script(
            (0, objects.Listing([], 5, 3)),
            (0, objects.WatchEvents([], 5, 4)),
            (0, objects.Listing([], 2, 4)),
            (rewrite, objects.WatchEvents([], 2, 4)),
            (0, objects.WatchEvents([], 2, 4)),
            times=times,
        )
        # The first era may have begun just before the process, too.
        self.assertEqual([rewrite, rewrite, short, 5.0], store.waits)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["list", "events", "gone", "cut"]),
            max_size=30,
        )
    )
    def test_watched_version_never_decreases(self, kinds):
        version = 5
        script = [(0, objects.Listing([], version))]
        expected_lists = 1
        for kind in kinds:
            if kind == "events":
                version += 1
                script.append((0, objects.WatchEvents([], version)))
            elif kind == "cut":
                script.append((0, errors.StoreUnavailableError("cut")))
            elif kind == "gone":
                script.append((0, errors.StoreWatchExpiredError("old")))
                version += 1
                script.append((0, objects.Listing([], version)))
                expected_lists += 1
        store, _ = curio.run(self.run_script, *script)
        watched = [call for call in store.calls if call != "list"]
        self.assertEqual(sorted(watched), watched)
        self.assertEqual(expected_lists, store.calls.count("list"))


class RewindingStore:
    """A store that a script writes to and rewinds between its answers.

    Each answer takes steps of the script until `call` or `late`. The answer is
    of the time before these steps if it is `late`.
    """

    def __init__(self, steps, eras):
        self.steps = list(steps)
        self.eras = eras
        self.era = 1
        self.revision = 1
        self.stored = {}
        self.changes = []
        self.copies = []
        # The calls that are answered when the script is over.
        self.last_calls = 4

    async def list_at(self, kind):
        return await self.answer(self.build_listing)

    async def watch(self, kind, version, timeout_seconds):
        return await self.answer(lambda: self.build_events(version))

    async def answer(self, build):
        early = build()
        while self.steps:
            step = self.steps.pop(0)
            if step == "call":
                return self.raise_or_return(build())
            if step == "late":
                return self.raise_or_return(early)
            await self.take(step)
        if not self.last_calls:
            raise StopError
        self.last_calls -= 1
        return self.raise_or_return(build())

    def raise_or_return(self, answer):
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def take(self, step):
        if step == "rewind" and self.copies:
            state = self.copies[-2 if len(self.copies) > 1 else -1]
            self.revision, self.stored, self.changes = state
            self.stored, self.changes = dict(self.stored), list(self.changes)
            self.era += 1
        elif step == "announce":
            await self.eras.observe(self.era, "other", 100.0)
        elif step != "rewind":
            state = (self.revision, dict(self.stored), list(self.changes))
            self.copies.append(state)
            self.revision += 1
            written = build_object(step, self.era, self.revision)
            self.stored[step] = written
            self.changes.append(written)

    def build_listing(self):
        found = list(self.stored.values())
        return objects.Listing(found, self.revision, self.era)

    def build_events(self, version):
        if version > self.revision:
            return errors.StoreWatchExpiredError("a later revision")
        found = [one for one in self.changes if one.version > version]
        return objects.WatchEvents(found, self.revision, self.era)


class RewindTest(base.TestCase):
    """Tests the copy while the store loses writes and repeats revisions."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ["a", "b", "c", "rewind", "announce", "call", "late"]
            ),
            max_size=40,
        )
    )
    def test_no_change_is_skipped_when_revisions_are_given_out_again(
        self, steps
    ):
        curio.run(self.check_copy, steps)

    async def check_copy(self, steps):
        copy, log = {}, proxy_fakes.FakeJournal()
        eras = store_eras.StoreEras(lambda now: None, log)
        store = RewindingStore(steps, eras)

        def replace(found, now):
            copy.clear()
            apply(found, now)

        def apply(found, now):
            copy.update({one.name: one for one in found})

        callbacks = watchers.WatchCallbacks(
            replace, apply, lambda at: None, lambda now: None
        )
        watcher = watchers.Watcher(
            store,
            "kind",
            callbacks,
            eras,
            proxy_fakes.FakeClock(),
            random.Random(1),
            log,
        )
        with contextlib.suppress(StopError):
            await watcher.run()
        self.assertEqual(store.stored, copy)
