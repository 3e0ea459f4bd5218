"""Tests of the choice of endpoints for the items of stages."""

import random

from samphirevale import ownership, routes, stage_placement
from tests import base, proxy_fakes

NOW = 100.0


class FakeItemRunner:
    """Estimates times by scripted loads."""

    def __init__(self):
        self.loads = {}

    def estimate_seconds(self, endpoint, limits, work, now):
        return 0.1 + self.loads.get(endpoint.name, 0)


class JitterTest(base.TestCase):
    """Tests entries that choose endpoints by the same load reports."""

    def count_most_chosen(self, entries):
        """Returns how many entries choose the same endpoint at most."""
        cluster = proxy_fakes.build_cluster_state()
        cluster.table = proxy_fakes.build_table([])
        cluster.adopt_members(
            ownership.Member(f"entry{i}", "a") for i in range(entries - 1)
        )
        for number in range(8):
            cluster.catalogue.put(proxy_fakes.build_endpoint(f"s{number}"))
        runner = FakeItemRunner()
        # The first endpoint has a slightly lower load than the others.
        runner.loads = {f"s{number}": 0.05 for number in range(1, 8)}
        chosen = [
            stage_placement.choose_endpoint(
                runner,
                cluster,
                routes.Stage("stage", (), 100),
                1,
                (),
                False,
                NOW,
                random.Random(seed),
            )[0].name
            for seed in range(entries)
        ]
        return max(map(chosen.count, chosen))

    def test_many_entries_spread_their_choices(self):
        self.assertLess(self.count_most_chosen(30), 30 / 2)

    def test_few_entries_choose_the_best(self):
        self.assertEqual(4, self.count_most_chosen(4))
