"""Tests of sessions with a sound server that falls silent and goes on."""

import curio

from samphirevale import reports
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

    async def test_all_requests_are_answered_if_all_servers_fall_silent(self):
        names = ("plain1", "plain2", "model1", "model2", "first1", "first2")
        async with self.run_all(names):
            for name in names:
                self.plan_silence(name, "silent")
            tasks = []
            async with curio.TaskGroup() as group:
                for number in range(12):
                    path = ("/once/x", "/read/x", "/write/x")[number % 3]
                    tasks.append(
                        await group.spawn(self.send_counted, path, number)
                    )
                    await curio.sleep(0.03)
            self.assertEqual([200] * 12, [task.result for task in tasks])
            attempts = [
                headers["samphirevale-attempt-id"]
                for headers in self.list_received_headers("plain")
            ]
            for number in range(0, 12, 3):
                self.assertEqual(1, attempts.count(f"a{number}"))

    async def test_items_at_another_entry_outlast_a_silence(self):
        async with (
            self.run_all(("model1", "first1")),
            self.run_second_entry() as second_port,
        ):
            # One of the entries owns the server, and the other one asks it.
            for port in (self.port, second_port):
                self.port = port
                self.plan_silence("first1", "silent")
                await self.check_stream()
                # The other entry learns by a report that the server works.
                await curio.sleep(3 * reports.REPORT_SECONDS)

    async def send_counted(self, path, number):
        """Sends a request with an id of its own and returns the status."""
        headers = {"Samphirevale-Attempt-Id": f"a{number}"}
        if path != "/write/x":
            return (await self.call(path, **headers))[0]
        status, _, body = await self.write(**headers)
        self.assertEqual(sessions.STREAM, body)
        return status

    async def test_a_server_is_used_again_after_a_silence(self):
        async with self.run_all():
            self.plan_silence("plain1", "silent")
            await self.read_until_reached("plain1")
            await curio.sleep(SILENCE_SECONDS)
            await self.read_until_reached("plain1")
