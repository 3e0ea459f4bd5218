"""Tests of the parsing of texts of which some parts cannot be parsed."""

import json

import hypothesis
from hypothesis import strategies

from samphirevale.adapters import json_parts
from samphirevale.ports import objects
from tests import base, odd_values

UNREADABLE = objects.UNREADABLE

DEEP = b"[" * 50_000 + b"]" * 50_000

# Texts of parts that no parser takes, although their brackets match.
ODD_PARTS = [DEEP, b"9" * 5_000, b'"\xff"', b'{"a": 1e, "b": []}', b"odd", b""]


class PartsTest(base.TestCase):
    """Tests texts that are parsed whole, in parts or not at all."""

    def test_a_text_that_can_be_parsed_is_parsed_whole(self):
        self.assertEqual({"a": [1]}, json_parts.parse_parts(b'{"a":[1]}', 0))

    def test_only_a_part_is_unreadable(self):
        text = b' {"a": [{"n": "x,]\\"}", "v": %s}, 2], "b": 3}' % DEEP
        self.assertEqual(
            {"a": [{"n": 'x,]"}', "v": UNREADABLE}, 2], "b": 3},
            json_parts.parse_parts(text, 3),
        )
        self.assertEqual(
            {"a": [UNREADABLE, 2], "b": 3}, json_parts.parse_parts(text, 2)
        )
        self.assertEqual(UNREADABLE, json_parts.parse_parts(text, 0))

    def test_a_text_whose_brackets_do_not_match_is_unreadable(self):
        for text in (
            b"",
            b"[",
            b"[1}",
            b"[1],[2]",
            b"[1]]",
            b"[[1]",
            b'["a]',
            b'{"a" 1}',
            b"{1: 2}",
        ):
            self.assertEqual(UNREADABLE, json_parts.parse_parts(text, 5))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(odd_values.VALUES, max_size=4),
        strategies.sampled_from(ODD_PARTS[:-1]),
        strategies.integers(0, 4),
        strategies.integers(0, 2),
    )
    def test_the_parts_around_an_odd_one_are_those_of_a_parser(
        self, values, odd, place, spaces
    ):
        texts = [json.dumps(value).encode() for value in values]
        parsed = [json_parts.parse_parts(text, 0) for text in texts]
        texts.insert(place, odd)
        parsed.insert(place, UNREADABLE)
        comma = b"," + b" " * spaces
        self.assertEqual(
            repr(parsed),
            repr(json_parts.parse_parts(b"[" + comma.join(texts) + b"]", 1)),
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([*b'{}[]",:\\ 1a', 0xFF]), max_size=40
        ).map(bytes),
        strategies.integers(0, 5),
    )
    def test_no_bytes_raise_an_error(self, text, levels):
        json_parts.parse_parts(text, levels)
