"""Tests of the comparison of needs with limits."""

import collections

import curio

from lab import capacity, connections, fits, fleet
from tests import base


class CapacityTest(base.TestCase):
    """Tests the tables with slopes that make the results easy to compute."""

    def setUp(self):
        super().setUp()
        self.set_all(1.0)

    def set_all(self, slope):
        fit = fits.Fit(slope, 0.0, 0.0, 0.0, 5)
        self.measured = collections.defaultdict(
            lambda: collections.defaultdict(lambda: fit)
        )

    def test_scale_at_which_a_bound_is_reached(self):
        bound = capacity.Bound(
            "", lambda _, layout: layout.sidecars_connected / 102
        )
        scale = capacity.find_scale(bound, self.measured, fleet.USERS_FLEET)
        self.assertAlmostEqual(0.1, scale)

    def test_scale_of_a_bound_that_is_never_reached(self):
        bound = capacity.Bound("", lambda _, __: 0.0)
        scale = capacity.find_scale(bound, self.measured, fleet.USERS_FLEET)
        self.assertAlmostEqual(fleet.SCALE_LIMIT, scale)

    def test_limits_are_ordered_by_scale(self):
        rows = capacity.build_limit_rows(self.measured)
        self.assertEqual(len(capacity.BOUNDS), len(rows))
        scales = [row[1] for row in rows if "above" not in row[1]]
        numbers = [float(scale.rstrip("%")) for scale in scales]
        self.assertEqual(sorted(numbers), numbers)

    def test_need_exceeds_the_bound_above_its_scale(self):
        bound = next(b for b in capacity.BOUNDS if b.name == "entry: processor")
        scale = capacity.find_scale(bound, self.measured, fleet.USERS_FLEET)
        for factor, over in ((0.99, False), (1.01, True)):
            layout = fleet.scale_layout(fleet.USERS_FLEET, scale * factor)
            need = bound.compute(self.measured, layout)
            self.assertEqual(over, need > 1)

    def test_changes_include_new_and_evicted_prefixes(self):
        layout = fleet.USERS_FLEET._replace(engines=10, generations=80.0)
        expected = 8.0 * fleet.NEW_PREFIX_SHARE * 2
        self.assertAlmostEqual(expected, layout.changes)

    def test_site_entries_connect_to_all_sidecars(self):
        self.assertEqual(
            [37, 26], [site.sidecars_connected for site in fleet.SITES]
        )


class HeartbeatTest(base.TestCase):
    """Tests the sizes of heartbeats."""

    def test_only_changed_prefixes_cost_bytes_at_rest(self):
        measured = curio.run(connections.measure_heartbeat_per_prefix)
        lines = {
            name: fits.fit_line(points) for name, points in measured.items()
        }
        self.assertEqual(0.0, lines["rest"].slope)
        self.assertAlmostEqual(
            lines["first"].slope, lines["changed"].slope, delta=0.5
        )
