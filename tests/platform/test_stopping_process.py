"""Tests of a proxying entry in a process of its own that gets SIGTERM."""

from tests.platform import stopping_processes

# The steps in the log that each stop has.
STEPS = ("stopping", "refusing", "stopped", "tasks_ended")


class StoppingProcessTest(stopping_processes.StoppingProcessTestCase):
    """Callers keep their connections until the process has gone."""

    async def test_requests_in_their_stages_are_answered_as_the_process_ends(
        self,
    ):
        async with self.run_process():
            for name in ("first1", "first2"):
                self.servers[name].call_seconds = 1.5
            lines = await self.play()
            self.assertEqual([], self.list_lost(lines))
            statuses = {outcome.status for outcome in self.outcomes}
            self.assertLessEqual(statuses, {0, 200, 503, 504})
            self.assertEqual(0, self.process.returncode)
            steps = [line["event"] for line in lines if line["event"] in STEPS]
            self.assertEqual(STEPS, tuple(steps))


# Runs the process in an interpreter that takes long to shut down.
SLOW_SHUTDOWN = """
import atexit, runpy, time
atexit.register(time.sleep, 10.0)
runpy.run_module("samphirevale.platform", run_name="__main__")
"""


class SlowShutdownTest(stopping_processes.StoppingProcessTestCase):
    """The interpreter of the process takes long to shut down."""

    caller_count = 4
    command = ("-c", SLOW_SHUTDOWN)

    async def test_process_that_shuts_down_slowly_is_killed_at_its_end(self):
        async with self.run_process():
            await self.play()
            self.assertEqual(0, self.process.returncode)
