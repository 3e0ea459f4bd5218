"""Tests of a complete sidecar with a fake endpoint and a connected entry."""

import contextlib
import hashlib
import json
from unittest import mock

import curio

from samphirevale import (
    configuration,
    errors,
    executors,
    invariants,
    lifecycle,
    messages,
    monitors,
    settings,
    sidecar,
)
from samphirevale.adapters import endpoints, link, web, web_client, web_server
from tests import base, fakes

SECRET = "a-secret-between-processes"
ANSWER = ["a", "b", "c", "d"]


def digest_tokens(tokens):
    text = "".join(f"{token}\n" for token in tokens)
    return hashlib.sha256(text.encode()).hexdigest()


def build_lines(tokens, offset=0):
    lines = [
        {"sequence": number, "tokens": [token]}
        for number, token in enumerate(tokens)
        if number >= offset
    ]
    return [*lines, build_end(tokens)]


def build_end(tokens):
    return {
        "done": True,
        "count": len(tokens),
        "digest": digest_tokens(tokens),
        "busy_ms": 1.0,
    }


class FakeEndpoint:
    """An endpoint whose answers wait for `gate` and consist of `lines`."""

    def __init__(self):
        self.port = base.find_free_port()
        self.runs = []
        self.cancelled = []
        self.orders = []
        self.batches = ["b1"]
        self.gate = curio.Event()
        self.gate_after_first = False
        self.lines = build_lines(ANSWER)
        self.status = 200
        self.break_runs = False
        self.incarnation = "one"
        self.closes_probes = False
        self.silent_probes = 0
        self.probes = 0
        self.task = None

    async def start(self):
        self.task = await curio.spawn(
            web_server.serve, self.answer, "127.0.0.1", self.port
        )

    async def stop(self):
        await self.task.cancel()

    async def start_again(self, incarnation):
        await self.stop()
        self.incarnation = incarnation
        await self.start()
        await self.wait_until_listening()

    async def wait_until_listening(self):
        while True:
            with contextlib.suppress(errors.ConnectError):
                async with web_client.connect("127.0.0.1", self.port):
                    return
            await curio.sleep(0.005)

    async def answer(self, request):
        if request.path == "/health":
            self.probes += 1
            if self.silent_probes:
                self.silent_probes -= 1
                await curio.sleep(0.3)
            body = json.dumps({"incarnation": self.incarnation}).encode()
            closing = (("Connection", "close"),) * self.closes_probes
            return web.Response(200, body, closing)
        fixed = {
            "/load": {"running": 0, "waiting": 0, "slots": 4, "age_ms": 5},
            "/cache-events": {"events": []},
            "/state": {"batches": self.batches, "role": "", "fencing": 0},
        }
        if request.path in fixed:
            return web.build_json(200, fixed[request.path])
        body = json.loads(request.body)
        if request.path == "/cancel":
            self.cancelled.append(body["attempt"])
            return web.build_json(200, {})
        if request.path == "/orders":
            self.orders.append(body)
            return web.build_json(200, {})
        return await self.run(request.path, body)

    async def run(self, path, body):
        self.runs.append(body["attempt"])
        if self.status != 200:
            return web.build_json(self.status, {"error": "on purpose"})
        if path == "/generate":
            return web.StreamedResponse(200, self.stream())
        await self.gate.wait()
        if self.break_runs:
            return web.StreamedResponse(200, self.break_off())
        return web.build_json(200, {"result": body["input"], "busy_ms": 2})

    async def break_off(self):
        yield b'{"result": '
        raise OSError("broken on purpose")

    async def stream(self):
        if not self.gate_after_first:
            await self.gate.wait()
        for number, line in enumerate(self.lines):
            if number == 1 and self.gate_after_first:
                await self.gate.wait()
            yield json.dumps(line).encode() + b"\n"
        if self.break_runs:
            raise OSError("broken on purpose")


class SidecarTestCase(base.TestCase):
    """Starts a sidecar beside a fake endpoint."""

    @contextlib.asynccontextmanager
    async def running(self, kind="engine", refuse_seconds=0.02, **changes):
        self.endpoint = FakeEndpoint()
        await self.endpoint.start()
        common = settings.CommonSettings(
            instance="sidecar-1",
            data_centre="dc1",
            host="127.0.0.1",
            admin_port=base.find_free_port(),
            store_url=f"http://127.0.0.1:{base.find_free_port()}",
            peer_secret=SECRET,
            heartbeat_seconds=0.1,
            suspect_seconds=5.0,
            drain_seconds=5.0,
            fatal_invariants=True,
        )
        self.settings = settings.SidecarSettings(
            common=common,
            peer_port=base.find_free_port(),
            endpoint="endpoint-1",
            endpoint_url=f"http://127.0.0.1:{self.endpoint.port}",
            endpoint_kind=kind,
            pool="pool-1",
            load_seconds=0.05,
            **changes,
        )
        invariants.set_fatal(True)
        self.addCleanup(invariants.set_fatal, False)
        self.enterContext(
            mock.patch.object(
                sidecar, "REFUSE_AFTER_DRAIN_SECONDS", refuse_seconds
            )
        )
        self.enterContext(
            mock.patch.object(executors, "FETCH_WAIT_SECONDS", 0.5)
        )
        self.life = lifecycle.Lifecycle()
        self.sidecar = sidecar.Sidecar(self.settings)
        task = await curio.spawn(self.sidecar.run, self.life)
        try:
            yield
        finally:
            await self.endpoint.gate.set()
            await self.life.request_stop("test")
            await task.join()
            await self.endpoint.stop()

    @contextlib.asynccontextmanager
    async def connected(self, revision=1):
        """Connects as an entry, sends a configuration and waits for health."""
        connection = await self._dial()
        async with connection as entry:
            await entry.send(
                messages.Hello("entry-1", "token", "entry", "dc1", "", ""), 0
            )
            value = self.build_configuration(revision)
            await entry.send(messages.Snapshot(revision, value), revision)
            while True:
                frame = await entry.receive()
                if (
                    isinstance(frame.message, messages.Heartbeat)
                    and frame.message.healthy
                    and frame.revision >= revision
                ):
                    break
            yield entry

    async def _dial(self):
        for _ in range(100):
            with contextlib.suppress(Exception):
                async with link.dial(
                    "127.0.0.1", self.settings.peer_port, SECRET
                ):
                    break
            await curio.sleep(0.02)
        return link.dial("127.0.0.1", self.settings.peer_port, SECRET)

    def build_configuration(self, revision, state="serving", draining=()):
        return configuration.ConfigurationValue(
            revision=revision,
            pipelines={},
            accounts={},
            batches={
                "b1": self.build_batch(state),
                "b2": self.build_batch("serving"),
            },
            draining=list(draining),
            orders=[],
        )

    def build_batch(self, state):
        return configuration.BatchConfiguration(
            model="m",
            version="1",
            adapter="",
            pool="pool-1",
            state=state,
            order=1,
        )

    def build_handover(self, attempt="a1", **changes):
        handover = messages.Handover(
            request="r1",
            stage="generate",
            attempt=attempt,
            pipeline="p",
            account="account-1",
            payload={"input": "hello", "prior": None},
            remaining_ms=5000,
            priority=0,
            repeatable=True,
            key="",
            batch="b1",
            offset=0,
            fingerprint="f1",
            stream=True,
        )
        return handover._replace(**changes)

    async def hand_over(self, entry, **changes):
        await entry.send(self.build_handover(**changes), 1)

    async def receive(self, entry, *types):
        while True:
            frame = await entry.receive()
            if isinstance(frame.message, types):
                return frame.message

    async def receive_ending(self, entry, offset=0):
        """Returns the received tokens, and the result or the refusal."""
        tokens = []
        while True:
            message = (await entry.receive()).message
            if isinstance(message, messages.Chunk):
                self.assertEqual(message.sequence, offset + len(tokens))
                tokens += message.tokens
            if isinstance(message, messages.Result | messages.Refusal):
                return tokens, message

    async def wait_for_runs(self, count):
        while len(self.endpoint.runs) < count:
            await curio.sleep(0.01)


class HandoverTest(SidecarTestCase):
    """Runs one attempt from the handover to its result."""

    async def test_streams_an_engines_answer(self):
        async with self.running(), self.connected() as entry:
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            tokens, ending = await self.receive_ending(entry)
            self.assertEqual(tokens, ANSWER)
            self.assertEqual(ending.count, 4)
            self.assertEqual(ending.digest, digest_tokens(ANSWER))

    async def test_returns_a_stages_result(self):
        async with self.running("stage"), self.connected() as entry:
            await self.endpoint.gate.set()
            await self.hand_over(entry, batch="")
            _, ending = await self.receive_ending(entry)
            self.assertEqual(ending.payload, "hello")

    async def test_returns_all_tokens_with_the_result_without_streaming(
        self,
    ):
        async with self.running(), self.connected() as entry:
            await self.endpoint.gate.set()
            await self.hand_over(entry, stream=False)
            tokens, ending = await self.receive_ending(entry)
            self.assertEqual(tokens, [])
            self.assertEqual(ending.payload, {"tokens": ANSWER})

    async def test_resumes_at_an_offset(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.lines = build_lines(ANSWER, offset=2)
            await self.endpoint.gate.set()
            await self.hand_over(entry, offset=2)
            tokens, ending = await self.receive_ending(entry, offset=2)
            self.assertEqual(tokens, ["c", "d"])
            self.assertEqual(ending.count, 4)


class DisconnectedTest(SidecarTestCase):
    """A sidecar without a connected entry."""

    async def test_reads_newer_configurations_from_the_store(self):
        store = fakes.FakeStore()
        key = (configuration.OBJECT_KIND, configuration.OBJECT_NAME)
        short_intervals = mock.patch.multiple(
            sidecar, INITIAL_READ_SECONDS=0.01, UNCONNECTED_READ_SECONDS=0.02
        )
        with short_intervals:
            async with self.running():
                self.sidecar._store = store
                first = self.build_configuration(1)
                stored = await store.create(*key, first)
                await self.wait_for_revision(1)
                second = self.build_configuration(2, "recalled")
                await store.update(*key, second, stored.version)
                await self.wait_for_revision(2)
                self.assertTrue(self.sidecar._holder.is_recalled("b1"))

    async def wait_for_revision(self, revision):
        while self.sidecar._holder.revision < revision:
            await curio.sleep(0.01)


class OnceTest(SidecarTestCase):
    """An attempt runs once; a repeated handover gets the same ending."""

    async def test_an_attempt_handed_over_twice_runs_once(self):
        async with self.running(), self.connected() as entry:
            await self.hand_over(entry)
            await self.wait_for_runs(1)
            await self.hand_over(entry)
            await self.endpoint.gate.set()
            await self.receive_ending(entry)
            await self.hand_over(entry)
            _, ending = await self.receive_ending(entry)
            self.assertIsInstance(ending, messages.Result)
            self.assertEqual(self.endpoint.runs, ["a1"])

    @mock.patch.object(executors, "REATTACH_SECONDS", 0.1)
    async def test_a_reconnected_entry_gets_the_ending(self):
        async with self.running("service"):
            async with self.connected() as entry:
                await self.hand_over(entry, repeatable=False, batch="")
                await self.wait_for_runs(1)
            await curio.sleep(0.3)
            async with self.connected() as entry:
                await self.hand_over(entry, repeatable=False, batch="")
                await self.endpoint.gate.set()
                _, ending = await self.receive_ending(entry)
            self.assertIsInstance(ending, messages.Result)
            self.assertEqual(self.endpoint.runs, ["a1"])

    async def test_repeatable_work_of_a_disconnected_entry_is_cancelled(self):
        async with self.running():
            self.endpoint.gate_after_first = True
            async with self.connected() as entry:
                await self.hand_over(entry, remaining_ms=60_000)
                await self.receive(entry, messages.Chunk)
            while not self.endpoint.cancelled:
                await curio.sleep(0.02)
            self.assertEqual(self.endpoint.cancelled, ["a1"])

    async def test_a_cancel_frees_the_slot(self):
        async with self.running(concurrency_limit=1), self.connected() as entry:
            await self.hand_over(entry)
            await self.wait_for_runs(1)
            await self.hand_over(entry, attempt="a2")
            await entry.send(messages.Cancel("r1", "generate", "a1"), 1)
            _, ending = await self.receive_ending(entry)
            self.assertEqual(
                (ending.attempt, ending.outcome, ending.reason),
                ("a1", "failed", "cancelled"),
            )
            await self.wait_for_runs(2)

    async def test_a_waiting_attempt_is_cancelled_as_not_run(self):
        async with self.running(concurrency_limit=1), self.connected() as entry:
            await self.hand_over(entry)
            await self.wait_for_runs(1)
            await self.hand_over(entry, attempt="a2")
            await entry.send(messages.Cancel("r1", "generate", "a2"), 1)
            _, ending = await self.receive_ending(entry)
            self.assertEqual(
                (ending.attempt, ending.outcome), ("a2", "not_run")
            )
            self.assertEqual(self.endpoint.runs, ["a1"])


class RefusalTest(SidecarTestCase):
    """A refusal's outcome states whether the endpoint ran the attempt."""

    async def receive_refusal(self, entry, **changes):
        await self.hand_over(entry, **changes)
        _, ending = await self.receive_ending(entry)
        return ending.outcome, ending.reason

    async def test_an_endpoints_503_is_not_run(self):
        async with self.running("service"), self.connected() as entry:
            self.endpoint.status = 503
            self.assertEqual(
                await self.receive_refusal(entry, batch="", repeatable=False),
                ("not_run", "endpoint_refused"),
            )

    async def test_a_500_of_a_call_that_may_not_be_repeated_is_unknown(self):
        async with self.running("service"), self.connected() as entry:
            self.endpoint.status = 500
            self.assertEqual(
                await self.receive_refusal(entry, batch="", repeatable=False),
                ("unknown", "endpoint_failed"),
            )
            self.assertEqual(
                await self.receive_refusal(entry, batch="", attempt="a2"),
                ("failed", "endpoint_failed"),
            )

    async def test_a_broken_answer_is_unknown(self):
        async with self.running("service"), self.connected() as entry:
            self.endpoint.break_runs = True
            await self.endpoint.gate.set()
            self.assertEqual(
                await self.receive_refusal(entry, batch="", repeatable=False),
                ("unknown", "endpoint_failed"),
            )

    async def test_an_unreachable_endpoint_is_not_run(self):
        async with self.running("service"), self.connected() as entry:
            await self.endpoint.stop()
            self.assertEqual(
                await self.receive_refusal(entry, batch="", repeatable=False),
                ("not_run", "unreachable"),
            )

    async def test_expired_work_is_refused_on_arrival(self):
        async with self.running(), self.connected() as entry:
            self.assertEqual(
                await self.receive_refusal(entry, remaining_ms=0),
                ("not_run", "late"),
            )
            self.assertEqual(self.endpoint.runs, [])

    async def test_work_past_its_deadline_is_cancelled_at_the_engine(self):
        async with self.running(), self.connected() as entry:
            self.assertEqual(
                await self.receive_refusal(entry, remaining_ms=200),
                ("failed", "late"),
            )
            while not self.endpoint.cancelled:
                await curio.sleep(0.02)

    async def test_the_outcome_of_a_late_call_is_kept(self):
        async with self.running("service"), self.connected() as entry:
            changes = {"batch": "", "repeatable": False}
            self.assertEqual(
                await self.receive_refusal(entry, remaining_ms=200, **changes),
                ("unknown", "late"),
            )
            await self.endpoint.gate.set()
            await self.hand_over(entry, **changes)
            _, ending = await self.receive_ending(entry)
            self.assertIsInstance(ending, messages.Result)
            self.assertEqual(self.endpoint.runs, ["a1"])

    async def test_a_batch_that_is_not_loaded_is_not_run(self):
        async with self.running(), self.connected() as entry:
            self.assertEqual(
                await self.receive_refusal(entry, batch="b2"),
                ("not_run", "not_loaded"),
            )
            self.assertEqual(self.endpoint.runs, [])

    async def test_an_unknown_batch_is_not_run(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.batches = ["b1", "b3"]
            self.assertEqual(
                await self.receive_refusal(entry, batch="b3"),
                ("not_run", "no_configuration"),
            )


class RecallTest(SidecarTestCase):
    """A recalled batch gives no more answers, even for calls in flight."""

    async def recall(self, entry):
        value = self.build_configuration(2, state="recalled")
        await entry.send(messages.Snapshot(2, value), 2)

    async def test_a_recalled_batch_is_refused_on_arrival(self):
        async with self.running(), self.connected() as entry:
            await self.recall(entry)
            await self.hand_over(entry)
            _, ending = await self.receive_ending(entry)
            self.assertEqual(
                (ending.outcome, ending.reason), ("not_run", "recalled")
            )

    async def test_a_recall_stops_an_answer_in_flight(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.gate_after_first = True
            await self.hand_over(entry)
            await self.receive(entry, messages.Chunk)
            await self.recall(entry)
            ending = await self.receive(entry, messages.Refusal, messages.Chunk)
            # No further tokens are sent after the recall.
            self.assertIsInstance(ending, messages.Refusal)
            self.assertEqual(
                (ending.outcome, ending.reason), ("failed", "recalled")
            )
            while not self.endpoint.cancelled:
                await curio.sleep(0.02)

    async def test_a_recalled_answer_that_may_not_be_repeated_is_withheld(
        self,
    ):
        async with self.running(), self.connected() as entry:
            self.endpoint.gate_after_first = True
            await self.hand_over(entry, repeatable=False)
            await self.receive(entry, messages.Chunk)
            await self.recall(entry)
            await curio.sleep(0.05)
            await self.endpoint.gate.set()
            ending = await self.receive(
                entry, messages.Refusal, messages.Chunk, messages.Result
            )
            self.assertEqual(
                (ending.outcome, ending.reason), ("unknown", "recalled")
            )

    async def test_an_older_configuration_is_not_adopted(self):
        async with self.running(), self.connected() as entry:
            await self.recall(entry)
            old = self.build_configuration(1)
            await entry.send(messages.Snapshot(1, old), 2)
            await self.hand_over(entry)
            _, ending = await self.receive_ending(entry)
            self.assertEqual(ending.reason, "recalled")

    async def test_a_higher_revision_is_requested(self):
        async with self.running(), self.connected() as entry:
            await entry.send(messages.Heartbeat(1, False), 7)
            request = await self.receive(entry, messages.SnapshotRequest)
            self.assertEqual(request.known_revision, 1)


class LeavingTest(SidecarTestCase):
    """A leaving sidecar refuses new work and finishes its work in flight."""

    async def test_a_stop_finishes_running_work_and_refuses_new_work(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.gate_after_first = True
            await self.hand_over(entry)
            await self.receive(entry, messages.Chunk)
            await self.life.request_stop("test")
            while not (await self.receive(entry, messages.Heartbeat)).leaving:
                pass
            await self.hand_over(entry, attempt="a2")
            refusal = await self.receive(entry, messages.Refusal)
            self.assertEqual(
                (refusal.attempt, refusal.outcome, refusal.reason),
                ("a2", "not_run", "leaving"),
            )
            await self.endpoint.gate.set()
            result = await self.receive(entry, messages.Result)
            self.assertEqual((result.attempt, result.count), ("a1", 4))
            self.assertEqual(self.endpoint.runs, ["a1"])

    async def test_a_draining_endpoint_refuses_new_work(self):
        async with self.running(), self.connected() as entry:
            value = self.build_configuration(2, draining=["endpoint-1"])
            await entry.send(messages.Snapshot(2, value), 2)
            await self.hand_over(entry)
            refusal = await self.receive(entry, messages.Refusal)
            self.assertEqual(refusal.reason, "leaving")
            heartbeat = await self.receive(entry, messages.Heartbeat)
            self.assertTrue(heartbeat.leaving)

    async def test_queued_work_of_a_cordoned_data_centre_is_not_run(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.gate.clear()
            limit = self.sidecar._queue.limit
            for number in range(limit + 1):
                await self.hand_over(entry, attempt=f"a{number}")
            await self.wait_for_runs(limit)
            value = self.build_configuration(2)
            value["cordoned"] = [self.settings.common.data_centre]
            await entry.send(messages.Snapshot(2, value), 2)
            await self.hand_over(entry, attempt="new")
            refused = [await self.receive(entry, messages.Refusal)]
            await self.endpoint.gate.set()
            refused.append(await self.receive(entry, messages.Refusal))
            self.assertEqual(
                {("new", "leaving"), (f"a{limit}", "leaving")},
                {(refusal.attempt, refusal.reason) for refusal in refused},
            )
            self.assertEqual(limit, len(self.endpoint.runs))

    async def test_a_stop_waits_for_a_disconnected_entry_to_fetch_an_outcome(
        self,
    ):
        async with self.running("service"):
            changes = {"repeatable": False, "batch": ""}
            async with self.connected() as entry:
                await self.hand_over(entry, **changes)
                await self.wait_for_runs(1)
            await self.life.request_stop("test")
            await self.endpoint.gate.set()
            await curio.sleep(0.2)
            async with await self._dial() as entry:
                await entry.send(
                    messages.Hello("entry-1", "t", "entry", "dc1", "", ""), 1
                )
                await self.hand_over(entry, **changes)
                _, ending = await self.receive_ending(entry)
            self.assertIsInstance(ending, messages.Result)

    async def test_a_handover_in_transit_at_the_stop_is_refused(self):
        running = self.running(refuse_seconds=0.5)
        async with running, self.connected() as entry:
            await self.life.request_stop("test")
            await curio.sleep(0.1)
            await self.hand_over(entry)
            refusal = await self.receive(entry, messages.Refusal)
            self.assertEqual(refusal.reason, "leaving")


class CrashTest(SidecarTestCase):
    """Every entry is notified of an endpoint's crash during an attempt."""

    async def test_a_crash_notice_has_the_fingerprint(self):
        async with self.running("service"), self.connected() as entry:
            await self.hand_over(entry, batch="")
            await self.wait_for_runs(1)
            await self.endpoint.stop()
            notice = await self.receive(entry, messages.CrashNotice)
            self.assertEqual(notice, messages.CrashNotice("f1", "a1"))
            ending = await self.receive(entry, messages.Refusal)
            self.assertEqual(
                (ending.outcome, ending.reason), ("failed", "crashed")
            )
            heartbeat = await self.receive(entry, messages.Heartbeat)
            self.assertFalse(heartbeat.healthy)

    async def test_an_entry_that_connects_later_first_gets_the_notice(
        self,
    ):
        async with self.running("service"):
            async with self.connected() as entry:
                await self.hand_over(entry, batch="")
                await self.wait_for_runs(1)
                await self.endpoint.stop()
                await self.receive(entry, messages.Refusal)
            async with await self._dial() as later:
                hello = messages.Hello("entry-2", "t", "entry", "dc1", "", "")
                await later.send(hello, 1)
                received = await self.receive(
                    later, messages.CrashNotice, messages.Heartbeat
                )
                self.assertEqual(received, messages.CrashNotice("f1", "a1"))

    async def test_all_attempts_running_at_a_crash_are_reported(self):
        async with self.running("service"), self.connected() as entry:
            for attempt, fingerprint in (("a1", "f1"), ("a2", "f2")):
                await self.hand_over(
                    entry, attempt=attempt, fingerprint=fingerprint, batch=""
                )
            await self.wait_for_runs(2)
            await self.endpoint.stop()
            notices = {
                await self.receive(entry, messages.CrashNotice)
                for _ in range(2)
            }
            self.assertEqual(
                {notice.fingerprint for notice in notices}, {"f1", "f2"}
            )

    async def test_a_broken_answer_of_a_live_endpoint_is_not_a_crash(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.break_runs = True
            self.endpoint.lines = build_lines(ANSWER)[:2]
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            ending = await self.receive(
                entry, messages.Refusal, messages.CrashNotice
            )
            self.assertEqual(
                (ending.outcome, ending.reason), ("failed", "endpoint_failed")
            )

    async def break_call(self, entry):
        """Returns what the entry is told of a call that breaks."""
        self.endpoint.break_runs = True
        await self.endpoint.gate.set()
        await self.hand_over(entry, batch="")
        return await self.receive(entry, messages.Refusal, messages.CrashNotice)

    def stop_probes(self):
        """Lets no regular probe follow the first one."""
        self.enterContext(
            mock.patch.object(monitors, "PROBE_INTERVAL_SECONDS", 60.0)
        )

    async def test_restart_before_a_call_is_no_crash_of_its_input(self):
        self.stop_probes()
        for closes_probes in (False, True):
            async with self.running("service"), self.connected() as entry:
                self.endpoint.closes_probes = closes_probes
                await self.endpoint.start_again("two")
                ending = await self.break_call(entry)
                self.assertEqual(
                    (ending.outcome, ending.reason),
                    ("failed", "endpoint_failed"),
                )

    async def test_restart_during_a_call_is_a_crash_of_its_input(self):
        self.stop_probes()
        async with self.running("service"), self.connected() as entry:
            await self.endpoint.start_again("two")
            await self.hand_over(entry, batch="")
            await self.wait_for_runs(1)
            await self.endpoint.start_again("three")
            notice = await self.receive(entry, messages.CrashNotice)
            self.assertEqual(notice, messages.CrashNotice("f1", "a1"))

    async def test_call_to_an_endpoint_that_goes_on_asks_for_nothing(self):
        self.stop_probes()
        async with self.running("service"), self.connected() as entry:
            probes = self.endpoint.probes
            await self.endpoint.gate.set()
            for attempt in ("a1", "a2", "a3"):
                await self.hand_over(entry, attempt=attempt, batch="")
                await self.receive(entry, messages.Result)
            self.assertEqual(probes, self.endpoint.probes)

    async def test_call_to_an_endpoint_that_tells_no_start_is_no_crash(self):
        """It does not answer in time when it is asked before the call."""
        self.stop_probes()
        self.enterContext(mock.patch.object(endpoints, "REPORT_SECONDS", 0.1))
        async with self.running("service"), self.connected() as entry:
            await self.endpoint.start_again("two")
            self.endpoint.silent_probes = 1
            ending = await self.break_call(entry)
            self.assertEqual(
                (ending.outcome, ending.reason), ("failed", "endpoint_failed")
            )


class ChunkTest(SidecarTestCase):
    """Chunks reach the entry once, in order and without gaps."""

    async def test_duplicate_and_reordered_chunks_are_corrected(self):
        async with self.running(), self.connected() as entry:
            first, second, third, fourth, end = build_lines(ANSWER)
            self.endpoint.lines = [
                second,
                first,
                first,
                fourth,
                second,
                third,
                end,
            ]
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            tokens, ending = await self.receive_ending(entry)
            self.assertEqual(tokens, ANSWER)
            self.assertIsInstance(ending, messages.Result)

    async def test_a_missing_chunk_is_a_failure(self):
        async with self.running(), self.connected() as entry:
            first, _, third, fourth, end = build_lines(ANSWER)
            self.endpoint.lines = [first, third, fourth, end]
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            tokens, ending = await self.receive_ending(entry)
            self.assertEqual(tokens, ["a"])
            self.assertEqual(ending.outcome, "failed")

    async def test_a_missing_chunk_of_a_resumed_answer_is_a_failure(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.lines = build_lines(ANSWER, offset=3)
            await self.endpoint.gate.set()
            await self.hand_over(entry, offset=2)
            _, ending = await self.receive_ending(entry, offset=2)
            self.assertEqual(ending.outcome, "failed")

    async def test_another_answers_digest_is_a_failure(self):
        async with self.running(), self.connected() as entry:
            self.endpoint.lines = build_lines(ANSWER)
            self.endpoint.lines[-1]["digest"] = digest_tokens(["z"])
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            _, ending = await self.receive_ending(entry)
            self.assertEqual(ending.outcome, "failed")
