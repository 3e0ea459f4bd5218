"""Tests of the order that loads a configuration."""

import copy
from typing import Any

from samphirevale import configuration_loader, errors, orders
from tests import base, test_configuration


class LoadingTest(base.TestCase):
    """What a load replaces in the configuration, and what it keeps."""

    def setUp(self):
        self.current = test_configuration.build_value()
        self.loaded = copy.deepcopy(self.current)

    def load(self, base_revision: int | None = None) -> Any:
        if base_revision is None:
            base_revision = self.current["revision"]
        order = configuration_loader.build_order(
            "o-9", self.loaded, base_revision
        )
        return orders.apply_order(self.current, order)

    def find_places(self, base_revision: int | None = None) -> list[str]:
        with self.assertRaises(errors.InvalidInputError) as caught:
            self.load(base_revision)
        return [finding.place for finding in caught.exception.findings]

    def test_replaces_pipelines(self):
        self.loaded["pipelines"]["harvest"]["deadline_ms"] = 77
        self.loaded["draining"] = []
        after = self.load()
        self.assertEqual(77, after["pipelines"]["harvest"]["deadline_ms"])
        self.assertEqual([], after["draining"])
        self.assertEqual(self.current["revision"] + 1, after["revision"])
        self.assertEqual("o-9", after["orders"][-1]["id"])
        self.assertEqual(len(self.current["orders"]) + 1, len(after["orders"]))

    def test_first_load(self):
        order = configuration_loader.build_order("o-1", self.loaded, 0)
        after = orders.apply_order(None, order)
        self.assertEqual(1, after["revision"])
        self.assertEqual({1}, {b["order"] for b in after["batches"].values()})

    def test_other_base_revision_is_refused(self):
        revision = self.current["revision"]
        self.assertEqual(["revision"], self.find_places(revision - 1))

    def test_batches_cannot_be_changed_or_removed(self):
        name, batch = next(iter(self.loaded["batches"].items()))
        self.current["batches"][name]["state"] = "recalled"
        batch["version"] = "other"
        self.current["batches"]["gone"] = dict(batch)
        self.assertEqual(
            [
                f"batches.{name}.version",
                f"batches.{name}.state",
                "batches.gone",
            ],
            self.find_places(),
        )

    def test_new_batch_has_latest_revision(self):
        name, batch = next(iter(self.loaded["batches"].items()))
        self.loaded["batches"]["new"] = batch | {"order": 1}
        after = self.load()
        self.assertEqual(after["revision"], after["batches"]["new"]["order"])
        self.assertEqual(
            self.current["batches"][name]["order"],
            after["batches"][name]["order"],
        )

    def test_missing_fields_get_defaults(self):
        self.assertEqual(
            {"revision": 1, "orders": [], "x": 1},
            configuration_loader.add_defaults({"x": 1}),
        )
