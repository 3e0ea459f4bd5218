"""Tests of watchers with the faults of a store."""

import contextlib
import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import errors, watchers
from samphirevale.ports import objects
from tests import base, proxy_fakes


class StopError(Exception):
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


class WatcherTest(base.TestCase):
    """Tests a watcher with scripted answers of the store."""

    store_type = ScriptedStore

    async def run_script(self, *script, times=watchers.DEFAULT_TIMES):
        """Runs a script; returns the store and the calls of the callbacks."""
        clock = proxy_fakes.FakeClock()
        store = self.store_type(clock, script)
        callback_calls = []
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
            clock,
            random.Random(1),
            proxy_fakes.FakeJournal(),
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
