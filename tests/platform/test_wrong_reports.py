"""Tests of streams at servers whose reports go wrong."""

import time
from unittest import mock

import curio

from samphirevale import stream_beginnings
from standins import servers
from tests.platform import sessions, test_versions

# After this time without an event, in seconds, callers leave a stream.
LEAVING_SECONDS = 2.0

# The number of streams in tests of a single way, which are spread over servers.
STREAMS = 9

# The ways in which the listed start is confirmed after all, soon.
CONFIRMED_LATER = ("closing", "slow")


class WrongReportsTest(test_versions.VersionSessionTestCase):
    """Guards against streams that depend on a second call to their server."""

    async def write_timed(self, number):
        """Sends a request; returns its status, body and duration."""
        began_at = time.monotonic()
        status, _, body = await self.write(**self.build_headers(number))
        return status, body, time.monotonic() - began_at

    async def test_all_streams_are_served_in_each_way_reports_go_wrong(self):
        for fault in servers.REPORT_FAULTS:
            async with self.run_all(test_versions.SERVERS, test_versions.ALIKE):
                self.set_report_faults(fault, *test_versions.MODELS)
                for number in range(test_versions.PROMPTS):
                    status, body, seconds = await self.write_timed(number)
                    with self.subTest(fault, number=number):
                        self.assertEqual(200, status)
                        self.assertEqual(
                            servers.EVENTS, body.count(b"data:"), body
                        )
                        self.assertLess(seconds, LEAVING_SECONDS)

    def set_report_faults(self, fault, *names):
        """Lets all reports of servers be wrong in one way."""
        for name in names:
            self.servers[name].report_fault = fault

    async def take_up_once_known(self, number):
        """Takes a stream up until it goes on; returns the versions."""
        async with curio.timeout_after(sessions.TIMEOUT_SECONDS):
            while True:
                status, _, body = await self.take_up(number)
                if status == 200:
                    return test_versions.list_versions(body)
                self.assertEqual(503, status)
                await curio.sleep(0.05)

    async def test_no_stream_is_joined_in_each_way_reports_go_wrong(self):
        """One server has started again with another version, unlisted."""
        for name, seconds in (("ASK_AGAIN", 0.1), ("ANSWER", 0.3)):
            self.enterContext(
                mock.patch.object(stream_beginnings, f"{name}_SECONDS", seconds)
            )
        for fault in servers.REPORT_FAULTS:
            async with self.run_all(test_versions.SERVERS, test_versions.ALIKE):
                self.servers["model1"].version = "v2"
                self.servers["model1"].born += 1
                # All of them, as streams rather begin where reports are sound.
                self.set_report_faults(fault, *test_versions.MODELS)
                begun = [await self.begin(number) for number in range(STREAMS)]
                while fault not in CONFIRMED_LATER and "v2" not in begun:
                    # Otherwise the server is known to have started again.
                    begun.append(await self.begin(len(begun)))
                self.set_report_faults("", "model2", "model3")
                for number, version in enumerate(begun):
                    # A start that is never listed has no version.
                    if version == "v1" and fault != "other start":
                        versions = await self.take_up_once_known(number)
                        self.assertEqual({"v1"}, versions, fault)
                for number, version in enumerate(begun):
                    if version == "v2" or fault == "other start":
                        status, *_ = await self.take_up(number)
                        self.assertEqual(503, status, fault)

    async def test_streams_rather_begin_where_reports_are_sound(self):
        """They can be taken up there."""
        for fault in servers.REPORT_FAULTS:
            async with self.run_all(test_versions.SERVERS, test_versions.ALIKE):
                self.set_report_faults(fault, "model1")
                for number in range(STREAMS):
                    await self.begin(number)
                runs = self.servers["model1"].seen_headers
                self.assertEqual([], runs, fault)

    async def test_stream_is_taken_up_once_its_start_is_confirmed(self):
        for fault in CONFIRMED_LATER:
            async with self.run_all(test_versions.SERVERS, test_versions.ALIKE):
                self.set_report_faults(fault, *test_versions.MODELS)
                await self.begin(0)
                await self.wait_until(
                    lambda: "stream_version_known" in self.log.list_events()
                )
                self.set_report_faults("", *test_versions.MODELS)
                status, _, body = await self.take_up(0)
                self.assertEqual(200, status, fault)
                self.assertEqual({"v1"}, test_versions.list_versions(body))

    async def test_no_stream_is_joined_after_the_loss_of_all_memory(self):
        """The mark of streams of no known version is in the store."""
        async with self.run_all(test_versions.SERVERS, test_versions.ALIKE):
            for name in test_versions.MODELS:
                self.servers[name].report_fault = "refused"
                self.servers[name].version = "v2"
                self.servers[name].born += 1
            for number in range(3):
                self.assertEqual("v2", await self.begin(number))
            await self.kill_entry()
            for name in test_versions.MODELS:
                self.servers[name].report_fault = ""
                self.servers[name].version = "v1"
                self.servers[name].born -= 1
            await self.start_entry()
            for number in range(3):
                status, *_ = await self.take_up(number)
                self.assertEqual(503, status)


class PlainRequestsTest(sessions.SessionTestCase):
    """Requests for which the start does not matter."""

    async def test_plain_requests_ask_no_reports(self):
        async with self.run_all():
            for _ in range(sessions.REQUESTS):
                await self.read()
            calls = self.servers["plain1"].arrivals
            self.assertNotIn("/report", [call.path for call in calls])
