"""Tests of keyed requests: what a re-send and a refused claim are told."""

from samphirevale import callers, claims, errors, keyed
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
        self.keeper = keyed.Keeper(self.store, self.clock, 60.0)
        self.request = build_request()

    async def acquire(self) -> claims.Won:
        deadline_at = self.clock.now() + 5.0
        return await self.keeper.acquire(self.request, deadline_at)

    async def test_kept_answer_is_told_when_it_came_meanwhile(self):
        won = await self.acquire()
        whole = callers.Whole({"confirmation": "filing-1"}, 0, "", ())
        await self.keeper.settle(self.request, won, whole, True)
        await self.keeper.finish()
        with self.assertRaises(errors.KeyHeldError) as raised:
            await self.acquire()
        self.assertEqual(raised.exception.answer.result, whole.result)
        self.assertTrue(raised.exception.answer.replayed)

    async def test_running_attempt_is_told(self):
        await self.acquire()
        with self.assertRaises(errors.KeyHeldError) as raised:
            await self.acquire()
        self.assertEqual(raised.exception.answer.outcome, "unknown")
        self.assertEqual(raised.exception.answer.reason, "running")
