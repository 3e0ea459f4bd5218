"""Plays that once broke a rule, with the cause.

What a seed draws must stay the same, or the entry means nothing.
"""

from typing import NamedTuple

from lab.soak import plans

UNKNOWN_START = (
    "streams began at starts that their entries did not know yet, and went on "
    "at the version that was known (issue 48)"
)
TIMEOUT_IN_JOIN = (
    "a take-up got a 500 as an entry told its origin when the time ended "
    "(answer-as-the-time-ends)"
)


class Regression(NamedTuple):
    """A play that broke a rule, and why."""

    play: plans.Play
    cause: str


REGRESSIONS = (
    *(
        Regression(
            plans.Play(seed, seconds=15.0, load=seed % 2 * 2), UNKNOWN_START
        )
        for seed in range(1, 21)
    ),
    *(
        Regression(plans.Play(seed, seconds=15.0, closing=0.5), UNKNOWN_START)
        for seed in (201, 202, 203)
    ),
    *(
        Regression(plans.Play(seed, seconds=15.0, mass_kills=2), UNKNOWN_START)
        for seed in (301, 302)
    ),
    *(
        Regression(plans.Play(seed, seconds=12.0), UNKNOWN_START)
        for seed in (4, 8, 10)
    ),
    Regression(
        plans.Play(703, entries=68, servers=39, seconds=8.0, callers=120),
        UNKNOWN_START,
    ),
    Regression(
        plans.Play(303, seconds=15.0, mass_kills=2),
        TIMEOUT_IN_JOIN,
    ),
    Regression(
        plans.Play(105, seconds=15.0, new_ids=1.0, load=2), TIMEOUT_IN_JOIN
    ),
    Regression(
        plans.Play(501, seconds=10.0, new_ids=1.0, faults=0.15),
        TIMEOUT_IN_JOIN,
    ),
)
