"""Tests of the fleet's needs that are computed from slopes."""

import collections

from lab import fits, fleet, slopes
from tests import base


class FleetTest(base.TestCase):
    """Tests the formulas with slopes that make results easy to compute."""

    def setUp(self):
        super().setUp()
        zero = fits.Fit(0.0, 0.0, 0.0, 0.0, 5)
        self.measured = collections.defaultdict(
            lambda: collections.defaultdict(lambda: zero)
        )

    def set_slope(self, name, figure, slope, intercept=0.0):
        self.measured[name][figure] = fits.Fit(slope, 0.0, intercept, 0.0, 5)

    def test_need_of_an_entry_grows_with_its_sidecars(self):
        self.set_slope("entry_per_sidecar", "cpu", 0.5, 10.0)
        self.set_slope("entry_per_sidecar", "memory", 20.0, 40_000.0)
        layout = fleet.Layout("", 10, 300, 720, 280)
        need = fleet.compute_entry(self.measured, layout)
        self.assertAlmostEqual(510.0, need.cpu_ms)
        self.assertAlmostEqual(60.0, need.memory_mb)
        self.set_slope("entry_per_slow_sidecar", "cpu", 0.125)
        slower = layout._replace(heartbeat_seconds=1.0)
        need = fleet.compute_entry(self.measured, slower)
        self.assertAlmostEqual(260.0, need.cpu_ms)

    def test_need_of_a_sidecar_grows_with_its_entries(self):
        self.set_slope("engine_sidecar_per_entry", "cpu", 1.0)
        layout = fleet.Layout("", 120, 300, 72, 300)
        need = fleet.compute_sidecar(self.measured, layout, engine=True)
        self.assertAlmostEqual(12.0, need.cpu_ms)

    def test_tokens_share_the_cost_of_a_frame(self):
        self.set_slope("entry_per_frame", "cpu", 0.2)
        self.set_slope("entry_per_token", "cpu", 0.1)
        single = fleet.compute_work(self.measured, 1).entry_tokens
        ten = fleet.compute_work(self.measured, 10).entry_tokens
        self.assertAlmostEqual(fleet.TOKENS * 0.2 / 1000, single)
        self.assertAlmostEqual(fleet.TOKENS * 0.11 / 1000, ten)

    def test_writes_of_keyed_requests_include_the_sweep(self):
        self.set_slope("store_per_keyed_request", "writes", 2.0)
        none = fleet.compute_store(self.measured, fleet.USERS_FLEET, 0.0)
        tenth = fleet.compute_store(self.measured, fleet.USERS_FLEET, 0.1)
        self.assertAlmostEqual(
            fleet.REQUESTS * 0.1 * 3.0, tenth.writes - none.writes
        )

    def test_all_tables_of_the_page_are_built(self):
        for name in slopes.figures.MEASUREMENTS:
            for figure in slopes.figures.MEASUREMENTS[name].figures:
                self.set_slope(name, figure.name, 1.0, 1.0)
        tables = slopes.build_tables(self.measured)
        self.assertEqual(set(slopes.TABLES), set(tables))
