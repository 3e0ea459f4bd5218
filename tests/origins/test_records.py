"""Tests the stored form of records and what follows from them."""

import cbor2
import hypothesis
from hypothesis import strategies

from samphirevale import stream_origins
from samphirevale.origins import records
from tests import base, odd_values

OLD = stream_origins.StreamOrigin("lm", "v1")
NEW = stream_origins.StreamOrigin("lm", "v2")
OTHER = stream_origins.StreamOrigin("other", "v1")


def _nest(depth):
    return [] if depth == 0 else [_nest(depth - 1)]


class EncodingTest(base.TestCase):
    """Tests encoding and decoding."""

    def test_decoded_record_is_the_encoded_one(self):
        record = records.OriginRecord(
            frozenset({OLD, NEW}),
            {"r": frozenset({"other"})},
            {"a1": NEW, "a2": OLD},
        )
        decoded = records.decode_record(records.encode_record(record))
        self.assertEqual(record, decoded)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.fixed_dictionaries(
            {},
            optional={
                "origins": strategies.lists(
                    strategies.lists(odd_values.VALUES, max_size=3)
                ),
                "moved": strategies.dictionaries(
                    odd_values.TEXTS, odd_values.VALUES, max_size=2
                ),
                "streams": strategies.dictionaries(
                    odd_values.TEXTS, odd_values.VALUES, max_size=2
                ),
            },
        )
    )
    def test_what_is_decoded_can_be_encoded(self, change):
        good = records.encode_record(
            records.OriginRecord(frozenset({OLD, NEW}), {}, {"a1": OLD})
        )
        decoded = records.decode_record({**good, **change})
        if decoded is not None:
            cbor2.dumps(records.encode_record(decoded))

    def test_malformed_records_are_none(self):
        good = records.encode_record(
            records.OriginRecord(frozenset({OLD}), {}, {"a1": OLD})
        )
        for change in (
            {"origins": None},
            {"origins": [["lm"]]},
            {"origins": [7]},
            {"origins": []},
            {"moved": []},
            {"moved": {"r": 7}},
            {"streams": {"a1": "x"}},
            {"streams": 7},
            {"streams": {"a1": -1}},
            {"streams": {"a1": False}},
            {"streams": {"a1": 10**400}},
            {"origins": [["lm", _nest(700)]]},
            {"origins": [["lm", "\ud800"]]},
            {"moved": {"r": "lm"}},
        ):
            with self.subTest(change):
                self.assertIsNone(records.decode_record({**good, **change}))
        for value in (None, 7, [], {}, "x"):
            self.assertIsNone(records.decode_record(value))


class CandidatesTest(base.TestCase):
    """Tests where a stream may have begun."""

    def test_versions_of_all_entries_count(self):
        known = [
            records.OriginRecord(frozenset({OLD, OTHER})),
            records.OriginRecord(frozenset({NEW})),
        ]
        self.assertEqual(
            {OLD, NEW}, records.list_candidates(known, "r", {"lm"})
        )

    def test_services_that_a_route_had_count(self):
        known = [
            records.OriginRecord(frozenset({OLD, OTHER})),
            records.OriginRecord(
                frozenset(), {"r": frozenset({"other"}), "q": frozenset("x")}
            ),
        ]
        self.assertEqual(
            {OLD, OTHER}, records.list_candidates(known, "r", {"lm"})
        )
        self.assertEqual({OLD}, records.list_candidates(known, "q", {"lm"}))

    def test_stream_is_found_in_any_record(self):
        known = [
            records.OriginRecord(),
            records.OriginRecord(frozenset(), {}, {"a1": OLD}),
        ]
        self.assertEqual(OLD, records.find_stream(known, "a1"))
        self.assertIsNone(records.find_stream(known, "a2"))
