"""Tests of the learned time to the first event of a model engine."""

import random

from samphirevale import prompt_speed
from tests import base


class PromptSpeedTest(base.TestCase):
    """Plays engines of other speeds than the initial estimate."""

    def setUp(self):
        self.speed = prompt_speed.PromptSpeed()
        self.rng = random.Random(3)

    def observe(self, count, fixed_seconds, token_seconds, jitter=0.0):
        for _ in range(count):
            tokens = self.rng.randrange(200, 20_000)
            seconds = fixed_seconds + tokens * token_seconds
            seconds *= 1 + self.rng.uniform(-jitter, jitter)
            self.speed.record(tokens, seconds)

    def test_engines_of_half_and_four_times_the_speed_are_learned(self):
        for token_seconds in (2e-5, 2.5e-6):
            with self.subTest(token_seconds=token_seconds):
                self.speed = prompt_speed.PromptSpeed()
                self.observe(400, 0.03, token_seconds, jitter=0.2)
                expected = 0.03 + 9000 * token_seconds
                estimate = self.speed.estimate_first_event(9000)
                self.assertAlmostEqual(expected, estimate, delta=expected / 5)

    def test_first_observations_change_the_estimate_little(self):
        before = self.speed.estimate_first_event(9000)
        self.speed.record(9000, 60.0)
        self.assertLess(self.speed.estimate_first_event(9000), 2 * before)

    def test_overload_is_forgotten(self):
        self.observe(400, 0.03, 1e-5)
        before = self.speed.estimate_first_event(9000)
        self.observe(100, 2.0, 1e-5)
        self.assertGreater(self.speed.estimate_first_event(9000), 2 * before)
        self.observe(400, 0.03, 1e-5)
        after = self.speed.estimate_first_event(9000)
        self.assertAlmostEqual(before, after, delta=before / 10)

    def test_prompts_of_one_length_keep_the_estimate_sane(self):
        for _ in range(400):
            self.speed.record(9000, 0.2)
        self.assertAlmostEqual(
            0.2, self.speed.estimate_first_event(9000), delta=0.02
        )
        self.assertGreaterEqual(self.speed.estimate_first_event(0), 0.0)
