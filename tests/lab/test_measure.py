"""Tests that the chosen policies are no worse than the baselines."""

from lab import bound, measure, sites, system, workload
from samphirevale import routing
from tests import base

SITE = sites.SITES[1]
SEED = "tests"


def run(policy, requests, scenario):
    simulation = system.Simulation(
        SITE, scenario, measure.SYSTEMS[policy], SEED
    )
    simulation.run(requests)
    return simulation


class BurstTest(base.TestCase):
    """Runs every system on the arrivals of one burst."""

    @classmethod
    def setUpClass(cls):
        cls.scenario = workload.scenarios["friday_burst"](SITE)
        arrivals = workload.draw_requests(cls.scenario, SEED)
        cls.requests = [item for item in arrivals if item.at < 12.0]
        cls.simulations = {
            policy: run(policy, cls.requests, cls.scenario)
            for policy in measure.SYSTEMS
            if policy not in measure.VARIANTS
        }

    def count_whole(self, policy):
        return sum(item.whole for item in self.simulations[policy].outcomes)

    def test_chosen_is_no_worse_than_any_baseline(self):
        for policy in self.simulations:
            self.assertGreaterEqual(
                self.count_whole(measure.CHOSEN), self.count_whole(policy)
            )

    def test_every_request_ends_once_and_in_time(self):
        for simulation in self.simulations.values():
            ended = [item.request.id for item in simulation.outcomes]
            self.assertEqual(
                sorted(ended), sorted(item.id for item in self.requests)
            )
            for item in simulation.outcomes:
                self.assertLessEqual(
                    item.end_seconds, sites.DEADLINE_SECONDS + 1e-6
                )

    def test_no_system_exceeds_the_bound(self):
        best = bound.bound_attainment(SITE, self.scenario, self.requests)
        for policy in self.simulations:
            share = self.count_whole(policy) / len(self.requests)
            self.assertLessEqual(share, best)

    def test_all_tokens_of_whole_answers_are_counted(self):
        for policy, simulation in self.simulations.items():
            for item in simulation.outcomes:
                if not item.whole or item.request.kind != "draft":
                    continue
                counted = simulation.work_log.tokens[item.request.id, "engines"]
                self.assertGreaterEqual(counted, item.request.tokens, policy)

    def test_callers_learn_of_a_refusal_without_delay(self):
        most = routing.REMOTE_LATENCY_SECONDS
        for simulation in self.simulations.values():
            for item in simulation.outcomes:
                self.assertGreaterEqual(item.notice_seconds, 0.0)
                self.assertLessEqual(item.notice_seconds, most + 1e-9)

    def test_the_same_seed_gives_the_same_run(self):
        again = run(measure.CHOSEN, self.requests, self.scenario)
        self.assertEqual(
            again.outcomes, self.simulations[measure.CHOSEN].outcomes
        )
