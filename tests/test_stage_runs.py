"""Tests of one stage: retries, recall, resumed answers, quarantine trials."""

import hashlib

import curio

from samphirevale import (
    errors,
    handover_counts,
    messages,
    stage_runs,
    token_buffers,
)
from samphirevale.ports import endpoints
from tests import base, nodes

# Long enough for the entry to process the messages that were sent.
PROCESSING_SECONDS = 0.05

# Indices of stages in the pipeline.
GENERATION = 3
ENCODING = 0
BOOKING = 4


class StageRunTest(nodes.EntryTestCase):
    """A stage on scripted sidecars of one pool."""

    def setUp(self):
        super().setUp()
        self.counts = handover_counts.HandoverCounts()
        self.emitted: list[str] = []

    async def emit(self, sequence: int, tokens: list[str]) -> None:
        self.assertEqual(len(self.emitted), sequence)
        self.emitted += tokens

    async def run_stage(
        self, number: int, stream: bool = False
    ) -> stage_runs.StageOutcome:
        value = self.context.holder.held.value
        request = nodes.build_request()
        run = stage_runs.StageRun(
            self.context,
            request,
            value["pipelines"][request.pipeline]["stages"][number],
            {"input": request.input, "prior": None},
            self.context.clock.now() + 5.0,
            self.counts,
            self.emit if stream else None,
        )
        return await run.run()

    async def check_refused(self, number: int, reason: str, **options) -> str:
        """Checks that a stage is refused, and returns the outcome."""
        with self.assertRaises(errors.RequestRefusedError) as caught:
            await self.run_stage(number, **options)
        self.assertEqual(reason, caught.exception.refusal.reason)
        return caught.exception.refusal.outcome

    def check_complete(self, outcome: stage_runs.StageOutcome) -> None:
        self.assertEqual(nodes.TOKENS, outcome.payload["tokens"])
        digest = token_buffers.digest_tokens(nodes.TOKENS)
        self.assertEqual((4, digest), (outcome.count, outcome.digest))

    async def test_resume_on_another_endpoint_of_the_batch(self):
        broken = nodes.build_refusing_step("failed", tokens=2)
        first = await self.add_sidecar("engines-0", "engines", broken)
        second = await self.add_sidecar("engines-1", "engines")
        outcome = await self.run_stage(GENERATION, stream=True)
        self.check_complete(outcome)
        self.assertEqual(nodes.TOKENS, self.emitted)
        (started,), (resumed,) = first.handovers, second.handovers
        self.assertEqual((0, 2), (started.offset, resumed.offset))
        self.assertEqual(("b2", "b2"), (started.batch, resumed.batch))
        self.assertNotEqual(started.attempt, resumed.attempt)

    async def test_suspected_sidecar_is_not_given_up_without_another_endpoint(
        self,
    ):
        async def fall_silent(sidecar, handover):
            await nodes.send_tokens(sidecar, handover, 2)
            await sidecar.peer.notify_suspected()
            await curio.sleep(PROCESSING_SECONDS)
            await nodes.send_result(sidecar, handover)

        await self.add_sidecar("engines-0", "engines", fall_silent)
        self.check_complete(await self.run_stage(GENERATION, stream=True))

    async def test_suspected_sidecar_is_left_for_another_endpoint(self):
        async def stay_silent(sidecar, handover):
            await nodes.send_tokens(sidecar, handover, 2)
            await sidecar.peer.notify_suspected()

        await self.add_sidecar("engines-0", "engines", stay_silent)
        second = await self.add_sidecar("engines-1", "engines")
        self.check_complete(await self.run_stage(GENERATION, stream=True))
        self.assertEqual([2], [h.offset for h in second.handovers])

    async def test_resume_never_goes_to_another_batch(self):
        broken = nodes.build_refusing_step("failed", tokens=2)
        await self.add_sidecar("engines-0", "engines", broken)
        other = await self.add_sidecar("engines-1", "engines")
        other.peer.heartbeat = other.peer.heartbeat._replace(batches=["b1"])
        await self.check_refused(GENERATION, "endpoint_failed", stream=True)
        self.assertEqual([], other.handovers)

    async def recall_mid_answer(self, sidecar, handover) -> None:
        """Sends two tokens, and the rest after the batch's recall."""
        await nodes.send_tokens(sidecar, handover, 2)
        await curio.sleep(PROCESSING_SECONDS)
        self.recall(handover.batch)
        await nodes.send_result(sidecar, handover)

    async def test_recall_during_a_stream_to_the_caller(self):
        await self.add_sidecar("engines-0", "engines", self.recall_mid_answer)
        await self.add_sidecar("engines-1", "engines")
        outcome = await self.check_refused(
            GENERATION, "broken_answer", stream=True
        )
        self.assertEqual("not_completed", outcome)
        self.assertEqual(nodes.TOKENS[:2], self.emitted)

    async def test_recall_during_an_answer_that_is_not_streamed(self):
        first = await self.add_sidecar(
            "engines-0", "engines", self.recall_mid_answer
        )
        second = await self.add_sidecar("engines-1", "engines")
        self.check_complete(await self.run_stage(GENERATION))
        self.assertEqual("b2", first.handovers[0].batch)
        last = (first.handovers + second.handovers)[-1]
        self.assertEqual(("b1", 0), (last.batch, last.offset))

    async def test_recall_that_the_entry_does_not_know_yet(self):
        refusing = nodes.build_refusing_step("not_run", "recalled")
        sidecar = await self.add_sidecar("engines-0", "engines", refusing)
        self.check_complete(await self.run_stage(GENERATION))
        batches = [handover.batch for handover in sidecar.handovers]
        self.assertEqual(["b2", "b1"], batches)

    async def test_wrong_digest_is_no_answer(self):
        async def send_different_token(sidecar, handover):
            await nodes.send_tokens(sidecar, handover, 3)
            ids = (handover.request, handover.stage, handover.attempt)
            await sidecar.send_to_entry(messages.Chunk(*ids, 3, ["another"]))
            await nodes.send_result(
                sidecar, handover._replace(offset=len(nodes.TOKENS))
            )

        await self.add_sidecar("engines-0", "engines", send_different_token)
        second = await self.add_sidecar("engines-1", "engines")
        self.check_complete(await self.run_stage(GENERATION))
        self.assertEqual(1, len(second.handovers))

    async def test_same_attempt_is_handed_over_again_after_a_lost_link(self):
        sidecar = await self.add_sidecar(
            "booking-0", "booking", nodes.disconnect
        )
        await self.run_stage(BOOKING)
        first, second = sidecar.handovers
        self.assertEqual(first, second)

    async def test_outcome_is_fetched_after_a_late_refusal(self):
        late = nodes.build_refusing_step("unknown", "late")
        sidecar = await self.add_sidecar("booking-0", "booking", late)
        outcome = await self.run_stage(BOOKING)
        self.assertEqual({"of": "booking"}, outcome.payload)
        self.assertEqual(sidecar.handovers[0], sidecar.handovers[1])

    async def test_leaving_and_draining_endpoints_get_no_work(self):
        leaving = await self.add_sidecar("encoders-0", "encoders")
        leaving.peer.member = leaving.peer.member._replace(leaving=True)
        draining = await self.add_sidecar("encoders-1", "encoders")
        self.context.holder.held.value["draining"].append("encoders-1")
        self.assertEqual(
            "not_run", await self.check_refused(ENCODING, "no_endpoint")
        )
        self.assertEqual([], leaving.handovers + draining.handovers)

    async def test_suspect_input_runs_as_a_trial(self):
        now = self.context.clock.now()
        self.context.quarantine.add_crashes("f", ["first"], now)
        reserved = []

        async def record_trials(sidecar, handover):
            (record,) = await self.store.list_kind("quarantine")
            reserved.append((record.value["trials"], [handover.attempt]))
            await nodes.send_result(sidecar, handover)

        await self.add_sidecar(
            "encoders-0", "encoders", record_trials, record_trials
        )
        await self.run_stage(ENCODING)
        self.assertEqual(1, len(reserved))
        self.assertEqual(*reserved[0])
        await self.context.claim_manager.wait_for_background_tasks()
        (record,) = await self.store.list_kind("quarantine")
        self.assertEqual([], record.value["trials"])

    async def test_copy_of_an_input_that_crashed_is_run_again_as_a_trial(self):
        async def crash_elsewhere(sidecar, handover):
            notice = messages.CrashNotice(handover.fingerprint, "another")
            now = self.context.clock.now()
            self.context.quarantine.add_crashes("f", ["another"], now)
            await self.context.peers.notify_input_crash(notice)

        first = await self.add_sidecar(
            "encoders-0", "encoders", crash_elsewhere
        )
        second = await self.add_sidecar("encoders-1", "encoders")
        await self.run_stage(ENCODING)
        (cancelled,), (trial,) = first.handovers, second.handovers
        self.assertEqual([cancelled.attempt], first.cancelled)
        record = await self.store.get("quarantine", "f")
        self.assertEqual(["another"], record.value["attempts"])
        self.assertNotEqual(cancelled.attempt, trial.attempt)

    async def test_suspect_input_does_not_run_without_a_trial(self):
        now = self.context.clock.now()
        self.context.quarantine.add_crashes("f", ["first"], now)
        sidecar = await self.add_sidecar("encoders-0", "encoders")
        self.store.down = True
        outcome = await self.check_refused(ENCODING, "quarantined")
        self.store.down = False
        with self.context.quarantine.hold_trial("f"):
            await self.check_refused(ENCODING, "quarantined")
        self.context.quarantine.add_crashes("f", ["second"], now)
        await self.check_refused(ENCODING, "quarantined")
        self.assertEqual(("not_run", []), (outcome, sidecar.handovers))


class HandoverCountsTest(base.TestCase):
    """The outcome that a refusal reports after handovers."""

    def test_outcomes(self):
        for handed_over, not_run, outcome in (
            ([], [], "not_run"),
            ([True], [True], "not_run"),
            ([True], [], "not_completed"),
            ([True, False], [False], "not_completed"),
            ([True, False], [], "unknown"),
            ([False, False], [False], "unknown"),
        ):
            counts = handover_counts.HandoverCounts()
            for repeatable in handed_over:
                counts.record_handover(repeatable)
            for repeatable in not_run:
                counts.record_not_run(repeatable)
            self.assertEqual(outcome, counts.get_outcome())


class PrefixTest(base.TestCase):
    """The entry's digest of a prefix matches that of an engine's cache."""

    def test_digest_is_of_the_prompt_that_the_sidecar_sends(self):
        for value in ("São Paulo", {"rows": 7, "farm": "Serra Gaúcha"}):
            prompt = endpoints.build_prompt(value)
            digest = hashlib.sha256(prompt[:64].encode()).hexdigest()
            self.assertEqual(stage_runs.digest_prefix(value), digest[:16])
