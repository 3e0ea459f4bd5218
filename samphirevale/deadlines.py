"""Arithmetic on the time that a request has left.

All times are in seconds on the local monotonic clock; between processes
only remaining milliseconds travel, as clocks are not comparable.
"""

import math
from collections.abc import Sequence

# What is reserved for later stages beyond what they are expected to take, as
# a share of their service time: it varies, and an attempt that ends just in
# time is wasted when they take longer.
SERVICE_MARGIN = 0.6

# Remaining time that no attempt can use any more, in seconds.
SMALLEST_USABLE_SECONDS = 0.001


def read_remaining(deadline_at: float, now: float) -> float:
    """Returns the seconds left, never below 0."""
    return max(0.0, deadline_at - now)


def encode_remaining_ms(
    deadline_at: float, now: float, transit_seconds: float = 0.0
) -> int:
    """Returns the whole ms left when a message has arrived; rounded down."""
    remaining = read_remaining(deadline_at, now + transit_seconds)
    return math.floor(remaining * 1000)


def decode_remaining_ms(remaining_ms: int, now: float) -> float:
    """Returns the deadline on the receiver's clock."""
    return now + remaining_ms / 1000


def split_remaining(
    remaining_seconds: float, expected_seconds: Sequence[float]
) -> list[float]:
    """Returns the longest time that each stage ahead may take.

    The remaining time is divided in proportion to what the stages are
    expected to take; evenly, when nothing is known of them.
    """
    total = sum(expected_seconds)
    if total <= 0:
        count = len(expected_seconds)
        return [remaining_seconds / count] * count
    factor = remaining_seconds / total
    return [seconds * factor for seconds in expected_seconds]


def reserve_for_later(
    deadline_at: float,
    expected_after_seconds: Sequence[float],
    service_after_seconds: Sequence[float] = (),
) -> float:
    """Returns when the present stage must end for the later ones to fit.

    Args:
        deadline_at: the request's deadline.
        expected_after_seconds: what each later stage should take, waiting
            included.
        service_after_seconds: the part of it that is service.
    """
    margin = SERVICE_MARGIN * sum(service_after_seconds)
    return deadline_at - sum(expected_after_seconds) - margin


def should_cancel(
    deadline_at: float, now: float, needed_seconds: float = 0.0
) -> bool:
    """Returns whether work can no longer be of use to its caller.

    Args:
        deadline_at: the request's deadline.
        now: the present time.
        needed_seconds: the least time that is still needed.
    """
    remaining = read_remaining(deadline_at, now)
    return remaining < max(needed_seconds, SMALLEST_USABLE_SECONDS)
