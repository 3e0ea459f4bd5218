"""Tests of the choice of an endpoint for a request."""

import random

from samphirevale import placement, proxy_requests
from tests import base, proxy_fakes

NOW = 100.0

ENDPOINTS = [
    proxy_fakes.build_endpoint(f"e{i}", "model", data_centre="ab"[i % 2])
    for i in range(6)
]


def build_request(part="shared", **changes):
    prompt = (
        proxy_requests.PromptPart(part, 10_000),
        proxy_requests.PromptPart("own", 1_000),
    )
    return placement.PlacementRequest(prompt)._replace(**changes)


class EndpointSelectorTest(base.TestCase):
    """Tests single choices."""

    def setUp(self):
        self.other_loads = {}
        self.selector = placement.EndpointSelector(
            random.Random(1), lambda name: self.other_loads.get(name, (0, 0))
        )

    def choose(self, request):
        return self.selector.choose(ENDPOINTS, request, NOW)

    def test_prompts_with_a_shared_part_go_to_one_endpoint(self):
        chosen = {self.choose(build_request()).name for _ in range(20)}
        self.assertEqual(1, len(chosen))

    def test_loaded_endpoint_loses_its_affinity(self):
        first = self.choose(build_request())
        self.selector.record_sent(first.name, 100_000)
        self.assertNotEqual(first, self.choose(build_request()))

    def test_load_of_other_entries_counts(self):
        first = self.choose(build_request())
        self.other_loads[first.name] = (3, 100_000)
        self.assertNotEqual(first, self.choose(build_request()))

    def test_requests_go_to_the_data_centre_of_their_results(self):
        for part in "abcdefgh":
            request = build_request(part, result_bytes=(("a", 20_000_000),))
            self.assertEqual("a", self.choose(request).data_centre)

    def test_tried_endpoints_are_not_chosen_again(self):
        names = frozenset(endpoint.name for endpoint in ENDPOINTS)
        self.assertIsNone(self.choose(build_request(tried=names)))

    def test_failing_endpoints_are_avoided_for_a_while(self):
        first = self.choose(build_request())
        for _ in range(placement.FAILURES_LIMIT):
            self.selector.record_sent(first.name, 0)
            self.selector.record_end(first.name, True, NOW)
        self.assertNotEqual(first, self.choose(build_request()))
        avoidance_ends_at = NOW + placement.AVOID_SECONDS
        self.assertEqual(
            first,
            self.selector.choose(ENDPOINTS, build_request(), avoidance_ends_at),
        )

    def fail_requests(self, name, count, now):
        for _ in range(count):
            self.selector.record_sent(name, 0)
        for _ in range(count):
            self.selector.record_end(name, True, now)

    def test_requests_that_fail_together_do_not_prolong_the_avoidance(self):
        first = self.choose(build_request())
        self.fail_requests(first.name, 20, NOW)
        self.assertNotEqual(first, self.choose(build_request()))
        chosen = self.selector.choose(
            ENDPOINTS, build_request(), NOW + placement.AVOID_SECONDS
        )
        self.assertEqual(first, chosen)

    def test_endpoint_that_fails_again_is_avoided_for_longer(self):
        first = self.choose(build_request())
        self.fail_requests(first.name, placement.FAILURES_LIMIT, NOW)
        now = NOW + placement.AVOID_SECONDS
        self.fail_requests(first.name, 1, now)
        now += placement.AVOID_SECONDS
        self.assertNotEqual(
            first, self.selector.choose(ENDPOINTS, build_request(), now)
        )

    def test_unreachable_endpoint_is_avoided_after_one_failure(self):
        first = self.choose(build_request())
        self.selector.record_unreachable(first.name, NOW)
        self.assertNotEqual(first, self.choose(build_request()))

    def test_not_all_endpoints_are_avoided(self):
        for endpoint in ENDPOINTS:
            for _ in range(placement.FAILURES_LIMIT):
                self.selector.record_sent(endpoint.name, 0)
                self.selector.record_end(endpoint.name, True, NOW)
        self.assertIsNotNone(self.choose(build_request()))


class PolicyTest(base.TestCase):
    """Simulates many prompts at few endpoints without a network."""

    def simulate_policy(self, policy):
        """Returns the number of tokens of shared parts that engines read."""
        selector = placement.EndpointSelector(random.Random(1), policy=policy)
        rng = random.Random(2)
        cached_parts = {endpoint.name: set() for endpoint in ENDPOINTS}
        tokens_read = 0
        for _ in range(600):
            part = f"p{rng.randrange(40)}"
            chosen = selector.choose(ENDPOINTS, build_request(part), NOW)
            if part not in cached_parts[chosen.name]:
                cached_parts[chosen.name].add(part)
                tokens_read += 10_000
        return tokens_read

    def test_affinity_reads_less_than_the_baseline(self):
        self.assertLess(
            3 * self.simulate_policy("affinity"),
            self.simulate_policy("least_running"),
        )
