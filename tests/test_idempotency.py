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
        self.keeper = idempotency.ClaimManager(self.store, self.clock, 60.0)
        self.request = build_request()

    async def acquire(self) -> claims.Acquired:
        deadline_at = self.clock.now() + 5.0
        return await self.keeper.acquire(self.request, deadline_at)

    async def test_kept_answer_of_another_attempt_is_replayed(self):
        won = await self.acquire()
        whole = callers.CompleteAnswer({"confirmation": "filing-1"}, 0, "", ())
        await self.keeper.record_outcome(self.request, won, whole, True)
        await self.keeper.wait_for_background_tasks()
        with self.assertRaises(errors.KeyHeldError) as raised:
            await self.acquire()
        self.assertEqual(raised.exception.answer.result, whole.result)
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
        self, keeper: idempotency.ClaimManager
    ) -> execution.Execution:
        value = deployments.build_configuration()
        held = types.SimpleNamespace(value=value)
        entry_node = types.SimpleNamespace(
            holder=types.SimpleNamespace(held=held),
            claim_manager=keeper,
            clock=clock.MonotonicClock(),
        )
        deadline_at = entry_node.clock.now() + 5.0
        return execution.Execution(
            entry_node, build_request(), deadline_at, None
        )

    async def refuse(self, handed: int) -> callers.Refusal:
        store = fakes.FakeStore()
        store.down = True
        keeper = idempotency.ClaimManager(store, clock.MonotonicClock(), 60.0)
        run = self.build_execution(keeper)
        for _ in range(handed):
            run._progress.record_handover(True)
        stage = run._stages[-1]
        with self.assertRaises(errors.RequestRefusedError) as raised:
            await run._run_stage(stage, None)
        return raised.exception.refusal

    async def test_not_completed_once_a_stage_has_run(self):
        refusal = await self.refuse(handed=4)
        self.assertEqual(refusal.outcome, "not_completed")
        self.assertEqual(refusal.reason, "store_unavailable")

    async def test_not_run_before_any_stage(self):
        refusal = await self.refuse(handed=0)
        self.assertEqual(refusal.outcome, "not_run")
