"""Arithmetic on deadlines and remaining time.

All times are in seconds on the local monotonic clock. Messages between
processes carry the remaining milliseconds instead of a deadline, since the
clocks of two machines are not comparable.
"""

import math
from collections.abc import Sequence

# Extra time reserved for later stages, as a fraction of their service time.
# Service times vary, and an attempt that ends just in time is wasted if a
# later stage then takes longer than estimated.
SERVICE_MARGIN = 0.6

# A remaining time below this is too short for any attempt.
MIN_USABLE_SECONDS = 0.001


def compute_remaining(deadline_at: float, now: float) -> float:
    """Returns the remaining time in seconds, at least 0."""
    return max(0.0, deadline_at - now)


def encode_remaining_ms(
    deadline_at: float, now: float, transit_seconds: float = 0.0
) -> int:
    """Returns the remaining time on a message's arrival, in whole ms.

    Args:
        deadline_at: the deadline.
        now: the present time.
        transit_seconds: expected transit time of the message.
    """
    remaining = compute_remaining(deadline_at, now + transit_seconds)
    return math.floor(remaining * 1000)


def decode_remaining_ms(remaining_ms: int, now: float) -> float:
    """Returns the deadline by the receiver's clock."""
    return now + remaining_ms / 1000


def split_remaining(
    remaining_seconds: float, expected_seconds: Sequence[float]
) -> list[float]:
    """Returns the maximum time for each of the remaining stages.

    The remaining time is divided in proportion to the stages' estimated
    times, or evenly if all of these are 0.
    """
    total = sum(expected_seconds)
    if total <= 0:
        count = len(expected_seconds)
        return [remaining_seconds / count] * count
    factor = remaining_seconds / total
    return [seconds * factor for seconds in expected_seconds]


def compute_stage_deadline(
    deadline_at: float,
    expected_after_seconds: Sequence[float],
    service_after_seconds: Sequence[float] = (),
) -> float:
    """Returns the deadline of a stage that leaves time for the later ones.

    Args:
        deadline_at: the request's deadline.
        expected_after_seconds: estimated time of each later stage, including
            queueing.
        service_after_seconds: service time of each later stage, from which
            the margin is computed.
    """
    margin = SERVICE_MARGIN * sum(service_after_seconds)
    return deadline_at - sum(expected_after_seconds) - margin


def should_cancel(
    deadline_at: float, now: float, needed_seconds: float = 0.0
) -> bool:
    """Returns whether too little time is left for the work to be useful.

    Args:
        deadline_at: the request's deadline.
        now: the present time.
        needed_seconds: minimum time that the work still needs.
    """
    remaining = compute_remaining(deadline_at, now)
    return remaining < max(needed_seconds, MIN_USABLE_SECONDS)
