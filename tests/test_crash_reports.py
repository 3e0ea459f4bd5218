"""Tests of what entries tell each other of crashes."""

from samphirevale import (
    crash_reports,
    crashing_parts,
    message_checks,
    messages,
    proxy_requests,
)
from tests import base, proxy_fakes

NOW = 100.0


def build_request(*parts):
    prompt = [proxy_requests.PromptPart(part, 10) for part in parts]
    return proxy_fakes.build_request(prompt=tuple(prompt))


CRASHING = build_request("p", "x", "q1")
SOUND = build_request("p", "s", "q2")


class CrashReportsTest(base.TestCase):
    """Tests two entries, one of which tells the other."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock(NOW)
        self.journal = proxy_fakes.FakeJournal()
        self.told = []
        self.reports = self.build_reports()
        self.other = self.build_reports()
        self.crashes = 0

    def build_reports(self):
        return crash_reports.CrashReports(
            self.record_told, self.clock, self.journal
        )

    async def record_told(self, message):
        frame = messages.decode_frame(messages.encode_frame(message, 0))
        self.told.append(frame.message)

    def crash(self, reports, request=CRASHING):
        self.crashes += 1
        sent_at = self.clock.seconds
        self.clock.seconds += 0.1
        endpoint = proxy_fakes.build_endpoint(f"e{self.crashes}")
        reports.record_crash(endpoint, request, sent_at)

    async def tell(self, source, target):
        await source.send_pending()
        for message in self.told:
            target.adopt_evidence("source", message)
        self.told = []

    async def test_a_part_too_long_to_be_told_hides_no_other(self):
        """Parts of a caller's whole head made frames that others refuse."""
        long = "x" * 300
        self.crash(self.reports, build_request(long, "p", "q1"))
        (row,) = self.reports.build_evidence().crashes
        self.assertEqual((["p"], 1), (row[3], len(row[4])))
        self.reports.record_answer(build_request(long, "p", "q2"))
        self.assertEqual(
            ["p"], [part for part, _ in self.reports.build_evidence().answered]
        )
        evidence = self.reports.build_evidence()
        self.assertIs(evidence, message_checks.check(evidence))

    async def test_crashes_at_two_entries_refuse_a_part_at_both(self):
        self.reports.record_answer(SOUND)
        self.crash(self.reports)
        self.crash(self.other)
        self.crash(self.reports)
        await self.tell(self.reports, self.other)
        await self.tell(self.other, self.reports)
        for reports in (self.reports, self.other):
            self.assertTrue(reports.refuses(build_request("p", "x", "q9")))
            self.assertFalse(reports.refuses(build_request("p", "x")))
            self.assertFalse(reports.refuses(SOUND))

    async def test_nothing_new_is_not_told(self):
        self.crash(self.reports)
        await self.reports.send_pending()
        (message,) = self.told
        self.other.adopt_evidence("source", message)
        self.other.adopt_evidence("source", message)
        await self.other.send_pending()
        await self.reports.send_pending()
        self.assertEqual([message], self.told)

    async def test_earlier_answer_elsewhere_is_told_to_the_accuser(self):
        self.other.record_answer(SOUND)
        for _ in range(3):
            self.crash(self.reports)
        self.assertFalse(self.reports.refuses(build_request("x", "q")))
        await self.tell(self.reports, self.other)
        await self.tell(self.other, self.reports)
        self.assertTrue(self.reports.refuses(build_request("x", "q")))
        self.assertFalse(self.reports.refuses(SOUND))

    async def test_entry_that_connects_gets_all(self):
        for _ in range(3):
            self.crash(self.reports)
        self.other.adopt_evidence("source", self.reports.build_evidence())
        self.assertTrue(self.other.refuses(CRASHING))
        self.assertEqual([], self.told)

    async def test_endpoint_that_goes_on_is_told(self):
        for _ in range(3):
            self.crash(self.reports)
        await self.tell(self.reports, self.other)
        self.clock.seconds += crashing_parts.ARRIVAL_SECONDS
        self.other.record_heard(proxy_fakes.build_endpoint("e2"))
        await self.tell(self.other, self.reports)
        self.assertFalse(self.reports.refuses(CRASHING))
        self.assertFalse(self.other.refuses(CRASHING))

    def test_refused_parts_are_logged_and_counted(self):
        before = base.read_counter("endpoint_crashes", service="stage")
        for _ in range(3):
            self.crash(self.reports)
        self.assertEqual(
            ["endpoint_crashed"] * 3 + ["parts_refused"],
            self.journal.list_events(),
        )
        after = base.read_counter("endpoint_crashes", service="stage")
        self.assertEqual(before + 3, after)
        self.clock.seconds += crashing_parts.CRASH_SECONDS
        self.reports.update()
        self.assertEqual("parts_accepted", self.journal.list_events()[-1])
