"""Tests of keyed requests: answers for held keys and for refused claims."""

import types

from lab import deployments
from samphirevale import callers, claims, errors, execution, idempotency
from samphirevale.adapters import clock
from tests import base, fakes

PIPELINE = "filing"


def build_request() -> callers.CallerRequest:
    return callers.CallerRequest(
        id="entry-0-1",
        account="hoppyard",
        pipeline=PIPELINE,
        input="File it.",
        deadline_ms=5000,
        stream=False,
        idempotent=False,
        key="key-1",
        priority=9,
        fingerprint="f",
    )


class AcquireTest(base.TestCase):
    """A key that another attempt holds."""

    def setUp(self):
        self.clock = clock.MonotonicClock()
        self.store = fakes.FakeStore()
        self.claim_manager = idempotency.ClaimManager(
            self.store, self.clock, 60.0
        )
        self.request = build_request()

    async def acquire(self) -> claims.Acquired:
        deadline_at = self.clock.now() + 5.0
        return await self.claim_manager.acquire(self.request, deadline_at)

    async def test_stored_answer_of_another_attempt_is_replayed(self):
        acquired = await self.acquire()
        answer = callers.CompleteAnswer({"confirmation": "filing-1"}, 0, "", ())
        await self.claim_manager.record_outcome(
            self.request, acquired, answer, True
        )
        await self.claim_manager.wait_for_background_tasks()
        with self.assertRaises(errors.KeyHeldError) as raised:
            await self.acquire()
        self.assertEqual(raised.exception.answer.result, answer.result)
        self.assertTrue(raised.exception.answer.replayed)

    async def test_running_attempt_is_reported(self):
        await self.acquire()
        with self.assertRaises(errors.KeyHeldError) as raised:
            await self.acquire()
        self.assertEqual(raised.exception.answer.outcome, "unknown")
        self.assertEqual(raised.exception.answer.reason, "running")


class RefusedClaimTest(base.TestCase):
    """A claim that the store cannot accept, after other stages have run."""

    def build_execution(
        self, claim_manager: idempotency.ClaimManager
    ) -> execution.Execution:
        value = deployments.build_configuration()
        held = types.SimpleNamespace(value=value)
        context = types.SimpleNamespace(
            holder=types.SimpleNamespace(held=held),
            claim_manager=claim_manager,
            clock=clock.MonotonicClock(),
        )
        deadline_at = context.clock.now() + 5.0
        return execution.Execution(context, build_request(), deadline_at, None)

    async def refuse(self, handover_count: int) -> callers.Refusal:
        store = fakes.FakeStore()
        store.down = True
        claim_manager = idempotency.ClaimManager(
            store, clock.MonotonicClock(), 60.0
        )
        run = self.build_execution(claim_manager)
        for _ in range(handover_count):
            run._handover_counts.record_handover(True)
        stage = run._stages[-1]
        with self.assertRaises(errors.RequestRefusedError) as raised:
            await run._run_stage(stage, None)
        return raised.exception.refusal

    async def test_not_completed_once_a_stage_has_run(self):
        refusal = await self.refuse(handover_count=4)
        self.assertEqual(refusal.outcome, "not_completed")
        self.assertEqual(refusal.reason, "store_unavailable")

    async def test_not_run_before_any_stage(self):
        refusal = await self.refuse(handover_count=0)
        self.assertEqual(refusal.outcome, "not_run")
