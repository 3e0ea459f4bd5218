"""Fuzzes the headers of callers' requests.

Every request with an attempt id is decoded, to numbers that all later parts of
the program can use.
"""

import hypothesis
from hypothesis import strategies

from samphirevale.adapters import web
from samphirevale.platform import callers
from samphirevale.platform import headers as names
from tests import base
from tests.fuzz import inputs

DIGITS = strategies.one_of(
    strategies.integers().map(str),
    strategies.integers(1, 6000).map(lambda count: "7" * count),
    strategies.text(strategies.characters(categories=("Nd", "No", "P"))),
)

VALUES = strategies.one_of(
    DIGITS,
    strategies.lists(DIGITS, max_size=4).map(",".join),
    strategies.lists(
        strategies.tuples(strategies.text(max_size=4), DIGITS).map(":".join),
        max_size=4,
    ).map(",".join),
    strategies.text(max_size=20),
)

NAMES = [
    names.DEADLINE,
    names.PROMPT_PARTS,
    names.ITEM_COUNTS,
    names.LAST_EVENT,
    names.ITEM_KEY,
    names.RESUMES,
    names.KEY,
    "host",
]


class RequestsTest(base.TestCase):
    """Tests the decoder of requests."""

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.dictionaries(strategies.sampled_from(NAMES), VALUES),
        strategies.text(max_size=20),
    )
    def test_headers(self, given, target):
        request = web.Request(
            "POST", "/", {}, {names.ATTEMPT: "a", **given}, b"", target
        )
        found = callers.decode_request(request, 100.0)
        numbers = [*found.item_counts, found.last_event or 0]
        numbers += [part.tokens for part in found.prompt]
        for number in numbers:
            self.assertLess(float(sum([number] * 100)), 1e18)
        self.assertGreaterEqual(found.wait_seconds, 0.0)
        self.assertLess(100.0 + found.wait_seconds, 1e18)
