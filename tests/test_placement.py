"""Which endpoint a request is placed at."""

import random

from samphirevale import placement, proxied
from tests import base, proxy_fakes

NOW = 100.0

ENDPOINTS = [
    proxy_fakes.build_endpoint(f"e{i}", "model", data_centre="ab"[i % 2])
    for i in range(6)
]


def build_demand(part="shared", **changes):
    prompt = (
        proxied.PromptPart(part, 10_000),
        proxied.PromptPart("own", 1_000),
    )
    return placement.Demand(prompt)._replace(**changes)


class PlacerTest(base.TestCase):
    """Choices from what an entry knows."""

    def setUp(self):
        self.others = {}
        self.placer = placement.Placer(
            random.Random(1), lambda name: self.others.get(name, (0, 0))
        )

    def choose(self, demand):
        return self.placer.choose(ENDPOINTS, demand, NOW)

    def test_prompts_with_a_shared_part_meet(self):
        chosen = {self.choose(build_demand()).name for _ in range(20)}
        self.assertEqual(1, len(chosen))

    def test_a_loaded_endpoint_keeps_no_affinity(self):
        first = self.choose(build_demand())
        self.placer.note_sent(first.name, 100_000)
        self.assertNotEqual(first, self.choose(build_demand()))

    def test_what_other_entries_have_sent_counts(self):
        first = self.choose(build_demand())
        self.others[first.name] = (3, 100_000)
        self.assertNotEqual(first, self.choose(build_demand()))

    def test_results_draw_a_request_to_their_data_centre(self):
        for part in "abcdefgh":
            demand = build_demand(part, result_bytes=(("a", 20_000_000),))
            self.assertEqual("a", self.choose(demand).data_centre)

    def test_tried_endpoints_are_not_chosen_again(self):
        names = frozenset(endpoint.name for endpoint in ENDPOINTS)
        self.assertIsNone(self.choose(build_demand(tried=names)))

    def test_failing_endpoints_are_avoided_for_a_while(self):
        first = self.choose(build_demand())
        for _ in range(placement.FAILURES_LIMIT):
            self.placer.note_sent(first.name, 0)
            self.placer.note_ended(first.name, True, NOW)
        self.assertNotEqual(first, self.choose(build_demand()))
        later = NOW + placement.AVOID_SECONDS
        self.assertEqual(
            first, self.placer.choose(ENDPOINTS, build_demand(), later)
        )

    def test_an_endpoint_that_is_not_reached_is_avoided_at_once(self):
        first = self.choose(build_demand())
        self.placer.note_unreachable(first.name, NOW)
        self.assertNotEqual(first, self.choose(build_demand()))

    def test_not_all_are_avoided_at_once(self):
        for endpoint in ENDPOINTS:
            for _ in range(placement.FAILURES_LIMIT):
                self.placer.note_sent(endpoint.name, 0)
                self.placer.note_ended(endpoint.name, True, NOW)
        self.assertIsNotNone(self.choose(build_demand()))


class LoadTest(base.TestCase):
    """Many prompts over few endpoints, played without a network."""

    def play(self, policy):
        """Returns the tokens that engines read of parts they had not."""
        placer = placement.Placer(random.Random(1), policy=policy)
        rng = random.Random(2)
        kept = {endpoint.name: set() for endpoint in ENDPOINTS}
        read = 0
        for _ in range(600):
            part = f"p{rng.randrange(40)}"
            chosen = placer.choose(ENDPOINTS, build_demand(part), NOW)
            if part not in kept[chosen.name]:
                kept[chosen.name].add(part)
                read += 10_000
        return read

    def test_affinity_reads_less_than_the_baseline(self):
        self.assertLess(3 * self.play("affinity"), self.play("least_running"))
