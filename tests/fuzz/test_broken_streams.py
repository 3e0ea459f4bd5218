"""Fuzzes the answers of endpoints one after the other, as a caller sees them.

Endpoints break off anywhere, write errors between events, ignore where a stream
goes on, or answer with a failure. A caller gets whole events in order and once,
the whole body of one answer, or an answer that does not look complete.
"""

import functools
import re

import curio
import hypothesis
from hypothesis import strategies

from standins import servers
from tests import raw_answers
from tests.fuzz import inputs
from tests.platform import sessions, test_broken_streams

EVENTS = [servers.build_event(i) for i in range(1, servers.EVENTS + 1)]
COMMENTS = (b": ping\n\n", b"\n\n")
UNNUMBERED = [
    text
    for text in test_broken_streams.ERROR_TEXTS.values()
    if text.startswith((b"data:", b"event:"))
]
BODY = b"0123456789\n\n" * 3

# What one endpoint answers.
STEPS = strategies.fixed_dictionaries(
    {
        "status": strategies.sampled_from([200] * 8 + [400, 409, 500, 503]),
        "refused": strategies.booleans(),
        "framing": strategies.sampled_from(raw_answers.FRAMINGS),
        # Whether a stream goes on where it is asked to.
        "goes_on": strategies.sampled_from([True, True, True, False]),
        # The text that comes after a number of events.
        "text": strategies.sampled_from(
            [b""] * 6 + [*COMMENTS, *test_broken_streams.ERROR_TEXTS.values()]
        ),
        "text_after": strategies.integers(0, servers.EVENTS),
        # The part of the answer that is written, from 0 to 1.
        "cut": strategies.one_of(strategies.just(1.0), strategies.floats(0, 1)),
        "ends_by": strategies.sampled_from(["close", "reset"]),
        # The part that is written first.
        "first": strategies.one_of(
            strategies.just(0.0), strategies.floats(0, 1)
        ),
        "interim": strategies.sampled_from([0, 0, 0, 2]),
    }
)

CASES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["/write/x", "/write/x", "/twice/x", "/single/x", "/read/x"]
        ),
        strategies.lists(STEPS, min_size=1, max_size=3),
    ),
    min_size=10,
    max_size=20,
)


# The number of inputs in CI. Each of them has many cases.
CI_INPUTS = 15


class Endpoint:
    """Answers one request by a step, and records what it has answered.

    Attributes:
        step: what it answers.
        cut_at_end: whether the answer has no length and was cut off by an
            orderly close, so that what has come of its body is whole.
        failure: the status and the body of an answer that is a failure.
    """

    def __init__(self, step, is_stream):
        self.step = step
        self._is_stream = is_stream
        self.cut_at_end = False
        self.failure = None

    def answer(self, request):
        step = self.step
        status = step["status"]
        headers = test_broken_streams.SEAL
        body = BODY
        if step["refused"] and status != 200:
            headers += test_broken_streams.NOT_EXECUTED
        if status != 200:
            body = b"engine failed\n\n"
            self.failure = (status, body)
        elif self._is_stream:
            headers += test_broken_streams.EVENTS
            body = self.build_events(request)
        data = b"HTTP/1.1 103 X\r\n\r\n" * step["interim"]
        data += raw_answers.build_answer(body, step["framing"], status, headers)
        found = re.search(rb"samphirevale-attempt-id: *(\S+)", request, re.I)
        data = data.replace(b"{attempt}", found[1])
        size = int(step["cut"] * len(data))
        whole = step["framing"] != "none"
        self.cut_at_end = (
            not whole and size < len(data) and step["ends_by"] == "close"
        )
        return raw_answers.RawAnswer(
            data[:size], step["ends_by"], int(step["first"] * size)
        )

    def build_events(self, request):
        step = self.step
        found = re.search(rb"last-event-id: *(\d+)", request, re.I)
        first = int(found[1]) if found and step["goes_on"] else 0
        events = EVENTS[first:]
        events.insert(step["text_after"], step["text"])
        return b"".join(events)


class BrokenStreamsTest(test_broken_streams.BrokenStreamTestCase):
    """Tests what callers get of scripted endpoints."""

    @functools.partial(inputs.limit_inputs, ci_inputs=CI_INPUTS)
    @hypothesis.given(CASES)
    def test_broken_streams(self, cases):
        curio.run(self.check_cases, cases)

    async def check_cases(self, cases):
        async with self.run_raw():
            for path, steps in cases:
                await self.check_case(path, steps)

    async def check_case(self, path, steps):
        is_stream = path != "/read/x"
        used = []

        def build_next(step):
            def answer(request):
                endpoint = Endpoint(step, is_stream)
                used.append(endpoint)
                return endpoint.answer(request)

            return answer

        sound = {
            "status": 200,
            "refused": False,
            "framing": "chunks",
            "goes_on": True,
            "text": b"",
            "text_after": 0,
            "cut": 1.0,
            "ends_by": "close",
            "first": 0.0,
            "interim": 0,
        }
        script = [build_next(step) for step in [*steps, *[sound] * 4]]
        read = await self.send(script, path)
        if read.status != 200:
            self.check_failure(read, used)
        elif is_stream:
            self.check_stream(read, used)
        else:
            self.assertTrue(read.complete)
            if not used[-1].cut_at_end:
                self.assertEqual(BODY, read.body)
            self.assertTrue(BODY.startswith(read.body))

    def check_failure(self, read, used):
        """Checks that a failure is the entry's own, or an endpoint's."""
        self.assertTrue(read.complete)
        if b"samphirevale-response-seal" not in read.headers:
            self.assertIn(read.status, (502, 503, 504))
            return
        found = {
            (status, body[:size] if endpoint.cut_at_end else body)
            for endpoint in used
            if endpoint.failure is not None
            for status, body in [endpoint.failure]
            for size in range(len(body) + 1)
        }
        self.assertIn((read.status, read.body), found)

    def remove_first_text(self, body, used):
        """Returns a body without an event without a number at its begin.

        Such a stream is passed on as it is, but not resumed.
        """
        for text in UNNUMBERED:
            if body.startswith(text):
                self.assertEqual(text, used[-1].step["text"])
                return body.removeprefix(text)
        return body

    def check_stream(self, read, used):
        """Checks that a stream is whole, or a whole number of events."""
        body = read.body
        for comment in COMMENTS:
            body = body.replace(b"\n\n" + comment, b"\n\n")
            body = body.removeprefix(comment)
        body = self.remove_first_text(body, used)
        self.assertIn(body, [b"".join(EVENTS[:n]) for n in range(6)])
        if read.complete and not used[-1].cut_at_end:
            self.assertEqual(sessions.STREAM, body)
        self.assertEqual(b"", read.extra)
