"""Tests of the requests that are unanswered as an entry ends."""

import contextlib
import os
import signal
import time
from unittest import mock

import curio

from samphirevale import errors, registrar, signals, stages
from samphirevale.adapters import web_client
from samphirevale.platform import __main__ as program
from tests.platform import sessions

REQUESTS = 10

# How long a request takes to end after its stages were given up, in seconds.
END_SECONDS = 0.7

GRACE_SECONDS = 2.0

# Longer grace periods, in seconds.
LONG_GRACE_SECONDS = 4.0
LONGER_GRACE_SECONDS = 8.0

# How long the entry does something else as the order to stop comes, in seconds.
BUSY_SECONDS = 1.2


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

    async def test_request_that_comes_as_the_tasks_end_is_passed_on_and_cut(
        self,
    ):
        async def end_slowly(_):
            try:
                await curio.sleep(100.0)
            finally:
                await curio.sleep(END_SECONDS)

        async def send(connection):
            with contextlib.suppress(errors.AnswerLostError):
                await connection.request(
                    "POST",
                    "/once/x",
                    b"",
                    (
                        ("Samphirevale-Attempt-Id", "a1"),
                        ("Samphirevale-Key", "k1"),
                    ),
                    "h.example",
                )

        slow = mock.patch.object(registrar.Registrar, "run", end_slowly)
        with slow:
            async with self.run_all():
                self.gateway.adopt_settings(
                    self.gateway.settings._replace(grace_seconds=GRACE_SECONDS)
                )
                connection = await web_client.open_connection(
                    "127.0.0.1", self.port
                )
                await self.gateway.stop.set()
                await self.wait_until(
                    lambda: "stopped" in self.log.list_events()
                )
                await curio.sleep(0.1)
                await send(connection)
                await connection.close()
                self.assertEqual([], self.list_received_headers("plain"))

    async def test_busy_entry_that_sees_the_order_late_outlasts_its_grace(self):
        number = signal.SIGUSR1
        orders = mock.patch.object(program, "STOP_SIGNALS", {number})
        with orders:
            async with (
                self.run_all(),
                signals.open_signals(
                    {number}, self.gateway.clock.now
                ) as stream,
            ):
                self.gateway.adopt_settings(
                    self.gateway.settings._replace(grace_seconds=GRACE_SECONDS)
                )
                await curio.spawn(
                    program.process_signals,
                    stream,
                    self.gateway,
                    self.log,
                    daemon=True,
                )
                self.servers["first1"].call_seconds = 2 * GRACE_SECONDS
                writing = await curio.spawn(self.write)
                await curio.sleep(0.2)
                begin = time.monotonic()
                os.kill(os.getpid(), number)
                time.sleep(BUSY_SECONDS)
                await self.task.join()
                self.assertLess(time.monotonic() - begin, GRACE_SECONDS)
                status, *_ = await writing.join()
                self.assertIn(status, {503, 504})

    async def test_request_that_cannot_be_answered_in_a_short_grace_is_run(
        self,
    ):
        async with self.run_all():
            self.gateway.adopt_settings(
                self.gateway.settings._replace(grace_seconds=GRACE_SECONDS)
            )
            for name in ("plain1", "plain2"):
                self.servers[name].faults = ["silent"]
            await self.gateway.stop.set()
            await curio.sleep(GRACE_SECONDS * 0.45)
            status, headers, _ = await self.call("/once/x")
            self.assertEqual(503, status)
            self.assertIn("retry-after", headers)
            self.assertEqual([], self.list_received_headers("plain"))

    async def test_new_connections_are_served_before_the_last_answers(self):
        async def release_slowly(run):
            await curio.sleep(END_SECONDS)

        async def call_last():
            await curio.sleep(GRACE_SECONDS / 2 + 0.3)
            # The entry waits for one connection when it stops to accept them.
            async with web_client.connect("127.0.0.1", self.port):
                with contextlib.suppress(errors.TransportError):
                    status, *_ = await self.call("/once/x")
                    self.assertEqual(503, status)
            return time.monotonic()

        async def write():
            await self.write()
            return time.monotonic()

        slow = mock.patch.object(
            stages.StageSequenceRun, "release_all", release_slowly
        )
        with slow:
            async with self.run_all():
                self.gateway.adopt_settings(
                    self.gateway.settings._replace(grace_seconds=GRACE_SECONDS)
                )
                self.servers["first1"].call_seconds = 2 * GRACE_SECONDS
                writing = await curio.spawn(write)
                await curio.sleep(0.2)
                calling = await curio.spawn(call_last)
                await self.gateway.stop.set()
                self.assertGreater(await calling.join(), await writing.join())

    async def stop_with_slow_turns(
        self, grace_seconds, turn_seconds, until_end
    ):
        """Stops an entry with requests that are in their stages.

        Args:
            grace_seconds: the grace period.
            turn_seconds: how long a turn of all tasks takes.
            until_end: whether turns take long after the last answer, too.

        Returns:
            How long it took until all had their answers, and until the entry
            had ended, in seconds.
        """

        async def block():
            while True:
                time.sleep(turn_seconds)
                await curio.sleep(0)

        manifest = sessions.build_manifest(version=2)
        for route in manifest["routes"]:
            route["timeout_ms"] = 3000 * grace_seconds
        deadline = {"Samphirevale-Deadline-Ms": str(int(3000 * grace_seconds))}
        async with self.run_all():
            self.store.put("config", "main", manifest)
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            self.gateway.adopt_settings(
                self.gateway.settings._replace(grace_seconds=grace_seconds)
            )
            self.servers["first1"].call_seconds = 2 * grace_seconds
            async with curio.TaskGroup() as group:
                for _ in range(REQUESTS):
                    await group.spawn(lambda: self.write(**deadline))
                await curio.sleep(0.2)
                blocking = await curio.spawn(block, daemon=True)
                begin = time.monotonic()
                await self.gateway.stop.set()
            answered = time.monotonic() - begin
            if not until_end:
                await blocking.cancel()
            await self.task.join()
            ended = time.monotonic() - begin
            await blocking.cancel()
            statuses = {status for status, _, _ in group.results}
            self.assertLessEqual(statuses, {503, 504})
            return answered, ended

    async def test_tasks_that_end_in_turn_outlast_the_grace(self):
        _, ended = await self.stop_with_slow_turns(
            LONG_GRACE_SECONDS, 0.03, until_end=True
        )
        self.assertLess(ended, LONG_GRACE_SECONDS)

    async def test_last_answers_of_a_busy_entry_come_after_the_grace(self):
        answered, _ = await self.stop_with_slow_turns(
            LONGER_GRACE_SECONDS, 0.7, until_end=False
        )
        self.assertLess(answered, LONGER_GRACE_SECONDS)
