"""Pauses between tries, which double up to a limit."""

import random

# The first and the longest pause between two calls of the store, in seconds.
FIRST_SECONDS = 0.05
LONGEST_SECONDS = 1.0

# Doublings after which a pause surely has reached its limit.
_DOUBLINGS_LIMIT = 32


def compute_pause(
    tries: int,
    first_seconds: float = FIRST_SECONDS,
    longest_seconds: float = LONGEST_SECONDS,
    rng: random.Random | None = None,
) -> float:
    """Returns how long to wait, in seconds.

    Args:
        tries: how many tries have failed before the last one.
        first_seconds: the pause after the first failure.
        longest_seconds: the limit.
        rng: draws between half of the pause and all of it, so that many
            instances do not try at one moment; None for no jitter.
    """
    doublings = min(tries, _DOUBLINGS_LIMIT)
    pause = min(first_seconds * 2**doublings, longest_seconds)
    return pause if rng is None else pause * rng.uniform(0.5, 1.0)
