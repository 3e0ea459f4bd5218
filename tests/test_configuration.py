"""Tests of the configuration's validation and adoption."""

import copy

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import configuration, invariants
from tests import base


def build_value(revision=5):
    stage = {
        "name": "generation",
        "pool": "engines",
        "kind": "engine",
        "repeatable": None,
        "model": "assistant",
        "limit": 8,
        "expected_ms": 50.0,
    }
    call = {**stage, "name": "booking", "kind": "service", "model": ""}
    return {
        "revision": revision,
        "pipelines": {
            "harvest": {
                "stages": [stage, call],
                "deadline_ms": 2000,
                "stopped": False,
            }
        },
        "accounts": {"farm": {"token_digest": "a" * 64, "share": 1.0}},
        "batches": {
            "b1": {
                "model": "assistant",
                "version": "1",
                "adapter": "",
                "pool": "engines",
                "state": "serving",
                "order": 2,
            }
        },
        "draining": ["e1"],
        "orders": [{"id": "o", "text": "", "target": "", "revision": 5}],
    }


class CheckTest(base.TestCase):
    """The findings of validation and their places."""

    def find_places(self, change):
        value = build_value()
        change(value)
        findings = configuration.check_configuration(value)
        return [finding.place for finding in findings]

    def test_valid_value_has_no_findings(self):
        self.assertEqual(self.find_places(lambda value: None), [])

    def test_all_findings_are_reported_at_once(self):
        def change(value):
            stages = value["pipelines"]["harvest"]["stages"]
            stages[1]["pool"] = ""
            stages[0]["model"] = ""
            value["accounts"]["farm"]["share"] = float("nan")
            del value["batches"]["b1"]["state"]
            value["draining"].append("e1")
            value["cordoned"] = ["a", "b", "a"]
            value["extra"] = 1

        self.assertEqual(
            self.find_places(change),
            [
                "extra",
                "pipelines.harvest.stages[0].model",
                "pipelines.harvest.stages[1].pool",
                "accounts.farm.share",
                "batches.b1.state",
                "draining[1]",
                "cordoned[2]",
            ],
        )

    def test_duplicate_stage_name(self):
        def change(value):
            value["pipelines"]["harvest"]["stages"][1]["name"] = "generation"

        places = self.find_places(change)
        self.assertEqual(places, ["pipelines.harvest.stages[1].name"])

    def test_order_of_later_revision(self):
        places = self.find_places(lambda value: value.update(revision=1))
        self.assertEqual(places, ["batches.b1.order", "orders[0].revision"])

    @settings(derandomize=True, max_examples=300)
    @given(st.data())
    def test_wrong_type_gives_finding_at_its_place(self, data):
        value = build_value()
        place = value
        while isinstance(place, dict | list) and place:
            keys = place if isinstance(place, dict) else range(len(place))
            parent, key = place, data.draw(st.sampled_from(sorted(keys)))
            place = place[key]
        parent[key] = data.draw(st.sampled_from([[], {}, 1j, b""]))
        findings = configuration.check_configuration(value)
        self.assertEqual(len(findings), 1)
        self.assertIn(str(key), findings[0].place)


class AdoptTest(base.TestCase):
    """Adoption never decreases the revision or reverts a recall."""

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 6), st.sampled_from(configuration.BATCH_STATES)
            ),
            max_size=8,
        )
    )
    def test_adopting_snapshots_in_any_order(self, snapshots):
        held = configuration.EMPTY
        recalled = False
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, logging.INFO)
        for revision, state in snapshots:
            value = build_value(revision)
            value["batches"]["b1"]["state"] = state
            before = held
            received = configuration.Configuration(revision, value)
            held = configuration.adopt(held, copy.deepcopy(received))
            self.assertEqual(held.revision, max(before.revision, revision))
            recalled = recalled or (held is not before and state == "recalled")
            if recalled:
                batch = held.value["batches"]["b1"]
                self.assertEqual(batch["state"], "recalled")

    def test_reverted_recall_is_an_invariant_violation(self):
        held, received = build_value(5), build_value(6)
        held["batches"]["b1"]["state"] = "recalled"
        name = invariants.CONFIGURATION_NEVER_REVERTS
        before = invariants.count_violations()[name]
        with self.assertLogs(logging.get_absl_logger()):
            configuration.adopt(
                configuration.Configuration(5, held),
                configuration.Configuration(6, received),
            )
        self.assertEqual(invariants.count_violations()[name], before + 1)
