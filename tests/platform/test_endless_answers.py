"""Tests of servers that send bytes without end that are no answer."""

import contextlib
import pathlib
import resource
import subprocess
import sys
import tempfile
import time

import curio

from samphirevale import errors
from tests import base
from tests.platform import sessions

# The longest time that the answer to another caller may take, in seconds.
OTHER_SECONDS = 1.0

# The deadline of the requests, and how long one may last after it, in seconds.
DEADLINE_SECONDS = 2.0
LATE_SECONDS = 1.0

REQUESTS = 8

# The largest growth of the memory in use, in bytes: a fifth of the entry's
# memory on the users' platform.
MEMORY_BYTES = 60_000_000

# Statuses of answers of the entry itself, and of a sound server.
STATUSES = {200, 502, 503, 504}


class EndlessAnswersTest(sessions.SessionTestCase):
    """One server of a service sends without end until it is closed."""

    @contextlib.asynccontextmanager
    async def run_endless(self, kind, service):
        """Runs such a server beside a sound one during the block."""
        async with self.run_all():
            port = base.find_free_port()
            with tempfile.TemporaryDirectory() as folder:
                self.lines = pathlib.Path(folder, "lines")
                with self.lines.open("wb") as file:
                    process = subprocess.Popen(
                        [sys.executable, "-m", "standins.endless"]
                        + [str(port), kind],
                        stdout=file,
                    )
                try:
                    await self.use_endless(f"{service}1", port)
                    yield
                finally:
                    process.kill()
                    process.wait()

    async def use_endless(self, name, port):
        """Registers the server in place of another one."""
        async with curio.timeout_after(sessions.TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    connection = await curio.open_connection("127.0.0.1", port)
                    await connection.close()
                    break
                await curio.sleep(0.05)
        self.ports[name] = port
        self.change_server(name, born=2)
        catalogue = self.gateway.cluster_state.catalogue
        await self.wait_until(lambda: catalogue.find(name).port == port)

    def count_open(self):
        lines = self.lines.read_text().splitlines()
        return lines.count("open") - lines.count("closed")

    async def send(self, service):
        """Sends a request; returns the status, or 0 if the answer broke."""
        deadline = {
            "Samphirevale-Deadline-Ms": str(int(DEADLINE_SECONDS * 1e3))
        }
        with contextlib.suppress(errors.TransportError):
            if service == "plain":
                return (await self.call("/read/x", **deadline))[0]
            return (await self.write(**deadline))[0]
        return 0

    async def check_others(self, ends_at):
        """Checks that other callers get their answers meanwhile."""
        while time.monotonic() < ends_at:
            begin = time.monotonic()
            self.assertEqual(404, (await self.call("/none/x"))[0])
            self.assertLess(time.monotonic() - begin, OTHER_SECONDS)
            await curio.sleep(0.05)

    async def check(self, service, kinds):
        for kind in kinds:
            with self.subTest(kind):
                await self.check_kind(service, kind)

    async def check_kind(self, service, kind):
        async with self.run_endless(kind, service):
            used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
            begin = time.monotonic()
            async with curio.TaskGroup() as group:
                senders = [
                    await group.spawn(self.send, service)
                    for _ in range(REQUESTS)
                ]
                await group.spawn(self.check_others, begin + 1.0)
            for task in group.tasks:
                self.assertIsNone(task.exception)
            statuses = {sender.result for sender in senders}
            self.assertLessEqual(statuses, STATUSES | {0})
            self.assertLess(
                time.monotonic() - begin, DEADLINE_SECONDS + LATE_SECONDS
            )
            await self.wait_until(lambda: self.count_open() <= 0)
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
            self.assertLess(peak - used, MEMORY_BYTES)

    async def test_plain_request_to_a_server_that_sends_no_answer(self):
        kinds = ("garbage", "empty lines", "head", "interim answers")
        await self.check("plain", (*kinds, "body", "chunk size"))

    async def test_stream_of_a_server_that_sends_no_answer(self):
        kinds = ("garbage", "interim answers", "event", "events")
        await self.check("model", (*kinds, "event number"))

    async def test_stage_call_to_a_server_that_sends_no_answer(self):
        await self.check("first", ("garbage", "interim answers", "body"))
