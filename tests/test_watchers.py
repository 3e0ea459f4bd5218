"""Tests of followers with the faults of a store."""

import contextlib
import random

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import errors, watchers
from samphirevale.ports import objects
from tests import base, proxy_fakes


class StopError(Exception):
    """Ends a follower, which otherwise runs until cancelled."""


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


class FollowerTest(base.TestCase):
    """Tests a follower with scripted answers of the store."""

    async def follow(self, *script):
        """Runs a script; returns the store and the calls of the sink."""
        clock = proxy_fakes.FakeClock()
        store = ScriptedStore(clock, script)
        sink_calls = []
        sink = watchers.WatchCallbacks(
            lambda found, now: sink_calls.append(("list", list(found))),
            lambda found, now: sink_calls.append(("changes", list(found))),
            lambda started_at: sink_calls.append(("confirmed", started_at)),
            lambda now: sink_calls.append(("return", now)),
        )
        follower = watchers.Watcher(
            store,
            "kind",
            sink,
            clock,
            random.Random(1),
            proxy_fakes.FakeJournal(),
        )
        with contextlib.suppress(StopError):
            await follower.run()
        return store, sink_calls

    async def test_answer_confirms_the_copy_at_the_start_of_the_call(self):
        _, sink_calls = await self.follow(
            (1.0, objects.Listing([], 5)), (1.5, objects.WatchEvents([], 5))
        )
        confirmed = [at for kind, at in sink_calls if kind == "confirmed"]
        self.assertEqual([100.0, 101.0], confirmed)

    async def test_expired_history_causes_a_new_list(self):
        store, _ = await self.follow(
            (0, objects.Listing([], 5)),
            (0, errors.StoreWatchExpiredError("old")),
            (0, objects.Listing([build_object("a")], 9)),
        )
        self.assertEqual(["list", 5, "list", 9], store.calls)

    async def test_failed_watch_resumes_at_the_same_version(self):
        store, sink_calls = await self.follow(
            (0, objects.Listing([], 5)),
            (0.5, errors.StoreUnavailableError("cut")),
            (0, objects.WatchEvents([build_object("a")], 7)),
        )
        self.assertEqual(["list", 5, 5, 7], store.calls)
        self.assertNotIn("return", [kind for kind, _ in sink_calls])

    async def test_end_of_an_outage_is_reported_to_the_sink(self):
        _, sink_calls = await self.follow(
            (0, objects.Listing([], 5)),
            (3.0, errors.StoreUnavailableError("cut")),
            (3.0, errors.StoreUnavailableError("cut")),
            (0, objects.WatchEvents([], 5)),
        )
        self.assertIn("return", [kind for kind, _ in sink_calls])

    async def test_watches_are_short_while_the_store_is_lost(self):
        store, _ = await self.follow(
            (0, objects.Listing([], 5)),
            (3.0, errors.StoreUnavailableError("silent")),
            (1.0, errors.StoreUnavailableError("silent")),
            (0, objects.WatchEvents([], 5)),
            (0, objects.WatchEvents([], 5)),
        )
        short, normal = watchers.OUTAGE_WATCH_SECONDS, watchers.WATCH_SECONDS
        self.assertEqual([normal, short, short, normal, normal], store.waits)

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
        store, _ = curio.run(self.follow, *script)
        watched = [call for call in store.calls if call != "list"]
        self.assertEqual(sorted(watched), watched)
        self.assertEqual(expected_lists, store.calls.count("list"))
