"""Tests of the requests that are unanswered as an entry ends."""

import time
from unittest import mock

import curio

from samphirevale import stages
from tests.platform import sessions

REQUESTS = 10

# How long a request takes to end after its stages were given up, in seconds.
END_SECONDS = 0.7

GRACE_SECONDS = 2.0


class LastAnswersTest(sessions.SessionTestCase):
    """Requests are in their stages when the order to stop comes."""

    async def test_requests_that_end_slowly_lose_their_answers_at_the_stop(
        self,
    ):
        async def release_slowly(run):
            await curio.sleep(END_SECONDS)

        slow = mock.patch.object(
            stages.StageSequenceRun, "release_all", release_slowly
        )
        with slow:
            async with self.run_all():
                self.gateway.adopt_settings(
                    self.gateway.settings._replace(grace_seconds=GRACE_SECONDS)
                )
                self.servers["first1"].call_seconds = 2 * GRACE_SECONDS
                async with curio.TaskGroup() as group:
                    for _ in range(REQUESTS):
                        await group.spawn(self.write)
                    await curio.sleep(0.2)
                    begin = time.monotonic()
                    await self.gateway.stop.set()
                    await self.task.join()
                    self.assertLess(time.monotonic() - begin, GRACE_SECONDS)
                statuses = {status for status, _, _ in group.results}
                self.assertLessEqual(statuses, {503, 504})
