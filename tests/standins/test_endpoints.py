"""Tests of the test doubles of endpoints."""

import hashlib

import curio

from samphirevale import errors
from tests import processes

CALL = {"request": "r", "attempt": "a", "key": "k", "input": "x"}
PROMPT = {"request": "r", "attempt": "a", "prompt": "rows", "batch": "b"}
BATCH = {"id": "c", "model": "m", "version": "2", "adapter": ""}


class EngineTest(processes.ProcessTestCase):
    """Tests the engine."""

    def start_engine(self, *arguments):
        return self.group.start_standin(
            "engine", "engine", "--batches", "b=m/1", *arguments
        )

    async def order(self, engine, order, fencing):
        value = {"order": order, "batch": BATCH, "fencing": fencing}
        return (await self.call(engine, "POST", "/orders", value))[0]

    async def test_stream_resumed_on_another_engine_is_complete(self):
        first, second = self.start_engine(), self.start_engine("--seed", "9")
        *chunks, _ = await self.read_lines(first, "/generate", PROMPT)
        tokens = chunks[0]["tokens"]
        *chunks, ending = await self.read_lines(
            second, "/generate", {**PROMPT, "offset": len(tokens)}
        )
        self.assertEqual(chunks[0]["sequence"], len(tokens))
        tokens += [token for chunk in chunks for token in chunk["tokens"]]
        text = "".join(f"{token}\n" for token in tokens)
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.assertEqual(
            (ending["count"], ending["digest"]), (len(tokens), digest)
        )
        for engine in (first, second):
            _, record = await self.call(engine, "GET", "/record")
            (run,) = record["runs"]
            self.assertEqual((run["status"], run["digest"]), ("done", digest))

    async def test_engine_with_fencing_refuses_outdated_token(self):
        engine = self.start_engine()
        self.assertEqual(await self.order(engine, "load", 2), 200)
        self.assertEqual(await self.order(engine, "unload", 1), 409)
        _, state = await self.call(engine, "GET", "/state")
        self.assertEqual((state["batches"], state["fencing"]), (["b", "c"], 2))
        _, record = await self.call(engine, "GET", "/record")
        accepted = [order["accepted"] for order in record["orders"]]
        self.assertEqual(accepted, [True, False])

    async def test_slow_load_is_fenced_by_newer_order(self):
        engine = self.start_engine()
        load = await curio.spawn(self.order, engine, "load", 1)
        await curio.sleep(0.1)
        self.assertEqual(await self.order(engine, "unload", 2), 200)
        self.assertEqual(await load.join(), 409)

    async def test_engine_without_fencing_accepts_outdated_token(self):
        engine = self.start_engine("--no-checks-fencing")
        self.assertEqual(await self.order(engine, "load", 2), 200)
        self.assertEqual(await self.order(engine, "unload", 1), 200)
        _, state = await self.call(engine, "GET", "/state")
        self.assertEqual(state["batches"], ["b"])

    async def test_input_with_crash_text_ends_process(self):
        engine = self.start_engine()
        await self.call(engine, "POST", "/faults", {"crash_on": "poison"})
        await self.read_lines(engine, "/generate", PROMPT)
        with self.assertRaises(errors.TransportError):
            await self.read_lines(
                engine, "/generate", {**PROMPT, "prompt": "some poison"}
            )
        self.assertEqual(engine.wait(), 1)

    async def test_cancel_ends_waiting_and_running_attempts(self):
        engine = self.start_engine("--slots", "1", "--tokens", "2000")
        streams = []
        for attempt in ("runs", "waits"):
            value = {**PROMPT, "attempt": attempt}
            streams.append(
                await curio.spawn(self.read_lines, engine, "/generate", value)
            )
            await curio.sleep(0.1)
        for attempt, stream in (("waits", streams[1]), ("runs", streams[0])):
            await self.call(engine, "POST", "/cancel", {"attempt": attempt})
            self.assertEqual((await stream.join())[-1], {"cancelled": True})
        _, record = await self.call(engine, "GET", "/record")
        runs = [(run["attempt"], run["status"]) for run in record["runs"]]
        self.assertEqual(runs, [("runs", "cancelled")])


class ServiceTest(processes.ProcessTestCase):
    """Tests the plain service."""

    async def test_each_call_takes_effect_even_if_answer_is_lost(self):
        service = self.group.start_standin("filing", "service")
        await self.call(service, "POST", "/faults", {"lose_answer": True})
        with self.assertRaises(errors.AnswerLostError):
            await self.call(service, "POST", "/call", CALL)
        await self.call(service, "DELETE", "/faults")
        status, answer = await self.call(service, "POST", "/call", CALL)
        expected = {"confirmation": "service-2", "key": "k"}
        self.assertEqual((status, answer["result"]), (200, expected))
        _, record = await self.call(service, "GET", "/record")
        statuses = [run["status"] for run in record["runs"]]
        self.assertEqual(statuses, ["lost", "done"])
        self.assertEqual(self.group.stop_all(), {"filing": 0})


class StageTest(processes.ProcessTestCase):
    """Tests a stage."""

    async def test_full_queue_refuses_call_without_running_it(self):
        stage = self.group.start_standin(
            *("stage", "stage", "--kind", "encoder", "--workers", "1"),
            *("--waiting-limit", "1", "--base-seconds", "0.5"),
        )
        calls = []
        for _ in range(3):
            calls.append(
                await curio.spawn(self.call, stage, "POST", "/run", CALL)
            )
            await curio.sleep(0.05)
        statuses = [(await call.join())[0] for call in calls]
        self.assertEqual(statuses, [200, 200, 503])
        _, record = await self.call(stage, "GET", "/record")
        self.assertEqual(len(record["runs"]), 2)

    async def test_stage_that_refuses_runs_is_healthy(self):
        stage = self.group.start_standin("stage", "stage", "--kind", "encoder")
        await self.call(stage, "POST", "/faults", {"refuse_runs": True})
        status, _ = await self.call(stage, "POST", "/run", CALL)
        self.assertEqual(status, 503)
        status, _ = await self.call(stage, "GET", "/health")
        self.assertEqual(status, 200)
        _, record = await self.call(stage, "GET", "/record")
        self.assertEqual(record["runs"], [])
