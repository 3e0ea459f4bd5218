"""Exponential backoff between attempts of a call."""

import random

# The first and the longest pause between two calls of the store, in seconds.
FIRST_SECONDS = 0.05
LONGEST_SECONDS = 1.0

# The largest number of doublings, which keeps the power small. Every pause has
# reached its limit by then.
_DOUBLINGS_LIMIT = 32


def compute_pause(
    previous_failures: int,
    first_seconds: float = FIRST_SECONDS,
    longest_seconds: float = LONGEST_SECONDS,
    rng: random.Random | None = None,
) -> float:
    """Returns the pause after a failure, in seconds.

    Args:
        previous_failures: the number of consecutive failures before the last
            one.
        first_seconds: the pause after the first failure.
        longest_seconds: the limit of the pause.
        rng: the source of jitter between half of the pause and all of it,
            which keeps instances from retrying at the same moment; None for
            no jitter.
    """
    doublings = min(previous_failures, _DOUBLINGS_LIMIT)
    pause = min(first_seconds * 2**doublings, longest_seconds)
    return pause if rng is None else pause * rng.uniform(0.5, 1.0)
