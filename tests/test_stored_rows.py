"""Tests that many values are sound where each of them is."""

import math
from typing import NamedTuple

import hypothesis
from hypothesis import strategies

from samphirevale import errors, stored_rows, stored_values
from tests import base, odd_values

FIELD = "field"

# Sound values, so that columns without an odd one are drawn too, and odd ones.
COLUMNS = strategies.one_of(
    strategies.lists(
        strategies.one_of(
            strategies.integers(-3, 9), odd_values.NUMBERS, strategies.none()
        )
    ),
    strategies.lists(strategies.text("ab\n\u00e9\ud800", max_size=2)),
    strategies.lists(odd_values.VALUES),
)


class Pair(NamedTuple):
    """A record to build."""

    first: str
    second: int


def build_objects(values):
    return [{FIELD: value} for value in values]


def read(method, *args):
    """Returns what a method reads, or None if it finds a malformed value."""
    try:
        return method(FIELD, *args)
    except errors.MalformedValueError:
        return None


class RowsTest(base.TestCase):
    """Tests one field of many objects."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(COLUMNS)
    def test_a_column_is_sound_where_each_value_is(self, values):
        objects = build_objects(values)
        rows = stored_rows.Rows(objects)
        fields = list(map(stored_values.Fields, objects))
        for found, each in (
            (
                read(rows.read_texts),
                [read(row.read_text) for row in fields],
            ),
            (
                read(rows.read_numbers, -2.5, 7),
                [read(row.read_number, -2.5, 7) for row in fields],
            ),
        ):
            self.assertEqual(None if None in each else each, found)

    def test_one_odd_value_anywhere_is_found(self):
        """NaN is neither below nor above what it is compared with."""
        for odd in (math.nan, math.inf, -math.inf, 10**400, True, "1", [1], 8):
            for place in range(4):
                values = [1, 2.5, 7]
                values.insert(place, odd)
                rows = stored_rows.Rows(build_objects(values))
                with self.assertRaises(errors.MalformedValueError):
                    rows.read_numbers(FIELD, 0, 7)
        for odd in (None, 0, "true"):
            values = [True, odd, False]
            found = read(stored_rows.Rows(build_objects(values)).read_flags)
            self.assertEqual(
                [True, False, False] if odd is None else None, found
            )
        for odd in ("a" * 257, "\n", "\ud800", b"a", None):
            rows = stored_rows.Rows(build_objects(["", "a", odd, "a" * 256]))
            with self.assertRaises(errors.MalformedValueError):
                rows.read_texts(FIELD)

    def test_missing_fields_have_their_default(self):
        rows = stored_rows.Rows([{FIELD: 3}, {}, {FIELD: None}])
        self.assertEqual([3, 1, 1], rows.read_numbers(FIELD, 0, 9, 1))
        self.assertEqual([3, None, None], rows.read_numbers(FIELD, 0, 9, None))
        with self.assertRaises(errors.MalformedValueError):
            rows.read_numbers(FIELD, 0, 9)

    def test_lists_of_strings(self):
        rows = stored_rows.Rows([{FIELD: ["\n" * 300]}, {}, {FIELD: []}])
        self.assertEqual([["\n" * 300], (), []], rows.read_string_lists(FIELD))
        for odd in (
            "a",
            {"a": "b"},
            [3],
            ["a", None],
            ["\ud800"],
            ["a", "\udc00"],
        ):
            rows = stored_rows.Rows(build_objects([["a"], odd]))
            with self.assertRaises(errors.MalformedValueError, msg=odd):
                rows.read_string_lists(FIELD)

    def test_what_is_no_object_is_refused(self):
        for odd in (None, 3, [], "a"):
            with self.assertRaises(errors.MalformedValueError):
                stored_rows.Rows([{}, odd])


class RecordsTest(base.TestCase):
    """Tests records of columns, and lists within lists."""

    def test_records_have_the_values_of_their_row(self):
        found = stored_rows.build(Pair, first=["a", "b"], second=[1, 2])
        self.assertEqual([Pair("a", 1), Pair("b", 2)], found)
        self.assertIsInstance(found[0], Pair)
        self.assertEqual([], stored_rows.build(Pair, first=[], second=[]))
        with self.assertRaises(ValueError):
            stored_rows.build(Pair, first=["a"], second=[])

    def test_items_go_back_into_lists_of_the_same_length(self):
        lists = [[1, 2], [], (), [3]]
        flat = stored_rows.flatten(lists)
        self.assertEqual([1, 2, 3], flat)
        self.assertEqual([(1, 2), (), (), (3,)], stored_rows.group(flat, lists))
