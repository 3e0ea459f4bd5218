"""Fuzzes what answers say about further calls, and what it leads to.

Whatever an endpoint writes there, the others stay in use, what it says ends in
time, and what is told to other entries can be used by them.
"""

import math

import curio
import hypothesis
from hypothesis import strategies

from samphirevale.platform import headers, notices
from tests import odd_values
from tests.fuzz import entry_sessions, inputs

# After this time a pause or limit is over, and a server is cold no more, in
# seconds.
FORGOTTEN_SECONDS = 700.0

DIGITS = strategies.one_of(
    strategies.integers(0, 10**6).map(str),
    strategies.integers().map(str),
    strategies.floats().map(repr),
    strategies.integers(1, 6000).map(lambda count: "9" * count),
    strategies.integers(1, 400).map(lambda count: "0." + "0" * count + "1"),
    strategies.text(strategies.characters(categories=("Nd", "No", "P"))),
)

TEXTS = strategies.one_of(
    DIGITS,
    DIGITS,
    strategies.lists(DIGITS, max_size=5).map(",".join),
    odd_values.TEXTS,
    strategies.just("1"),
)

NAMES = [
    headers.LEAVING,
    headers.RETRY_AFTER,
    headers.LIMIT,
    headers.COLD_MS,
    headers.LOAD,
]

ANSWERS = strategies.tuples(
    strategies.sampled_from([200, 409, 421, 429, 500, 503, 503]),
    strategies.dictionaries(strategies.sampled_from(NAMES), TEXTS, min_size=1),
    strategies.sampled_from(["plain2", "first1", "model2"]),
)


class NoticesTest(entry_sessions.EntryTestCase):
    """Tests an entry of which one endpoint answers with odd notices."""

    @inputs.limit_inputs
    @hypothesis.given(strategies.lists(ANSWERS, min_size=1, max_size=4))
    def test_notices(self, answers):
        curio.run(self.check_notices, answers)

    async def check_notices(self, answers):
        await self.start()
        known = self.entry.cluster_state
        told = set()
        for status, fields, name in answers:
            notice = notices.decode_notice(status, fields)
            for number in (
                notice.cold_seconds,
                notice.pause_seconds,
                notice.limit or 0.0,
                notice.slowness or 0.0,
            ):
                self.assertFalse(math.isnan(number))
                self.assertGreaterEqual(number, 0.0)
            endpoint = known.catalogue.find(name)
            await self.entry._notices.handle_notice(endpoint, notice)
            self.entry._notices.record_call(endpoint)
            told.add(name)
            self.check_requests()
        await self.check_sent()
        usable = {
            endpoint.name
            for endpoint in known.catalogue.list_all()
            if known.is_usable(endpoint, self.clock.now())
        }
        every = {"plain1", "plain2", "first1", "first2", "model1", "model2"}
        self.assertLessEqual(every - told, usable)
        self.clock.seconds += FORGOTTEN_SECONDS
        now = self.clock.now()
        self.entry._notices.remove_expired(now)
        for endpoint in known.catalogue.list_all():
            if not known.notices.is_leaving(endpoint):
                self.assertTrue(known.is_usable(endpoint, now), endpoint)
        await self.sound.put(None)
        await self.sound_task.join()
