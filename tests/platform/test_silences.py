"""Tests of sessions with a sound server that falls silent and goes on."""

import curio

from tests.platform import sessions

# The duration of a silence, in seconds.
SILENCE_SECONDS = 1.4


class SilenceTest(sessions.SessionTestCase):
    """Nothing is given up for a silence if there is no other server."""

    def plan_silence(self, name, fault):
        self.servers[name].silence_seconds = SILENCE_SECONDS
        self.servers[name].faults = [fault]

    async def test_a_stream_goes_on_after_a_silence_in_its_middle(self):
        async with self.run_all(("model1", "first1")):
            self.plan_silence("model1", "stall")
            await self.check_stream()
            self.assertEqual(1, len(self.servers["model1"].seen_headers))

    async def test_a_stream_begins_after_a_silence(self):
        async with self.run_all(("model1", "first1")):
            for fault in ("late", "silent"):
                self.plan_silence("model1", fault)
                await self.check_stream()
            self.assertEqual(2, len(self.servers["model1"].seen_headers))

    async def test_a_request_is_answered_after_a_silence(self):
        async with self.run_all(("plain1",)):
            self.plan_silence("plain1", "silent")
            await self.read()

    async def test_a_stage_call_is_answered_after_a_silence(self):
        async with self.run_all(("model1", "first1")):
            self.plan_silence("first1", "silent")
            await self.check_stream()

    async def test_an_overdue_stage_call_is_noticed_while_it_goes_on(self):
        async with self.run_all(("model1", "first1")):
            self.plan_silence("first1", "silent")
            self.servers["first1"].silence_seconds = 0.8
            await self.check_stream()
            self.assertIn("batch_overdue", self.log.list_events())
            self.assertNotIn("batch_failed", self.log.list_events())

    async def test_a_server_is_used_again_after_a_silence(self):
        async with self.run_all():
            self.plan_silence("plain1", "silent")
            await self.read_until_reached("plain1")
            await curio.sleep(SILENCE_SECONDS)
            await self.read_until_reached("plain1")
