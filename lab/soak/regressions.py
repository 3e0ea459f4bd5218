"""Plays that once broke a rule, with the cause.

What a seed draws must stay the same, or the entry means nothing.
"""

from typing import NamedTuple

from lab.soak import plans


class Regression(NamedTuple):
    """A play that broke a rule, and why."""

    play: plans.Play
    cause: str


REGRESSIONS = tuple(
    Regression(
        plans.Play(seed, seconds=15.0, load=seed % 2 * 2),
        "streams began at starts that their entries did not know yet, and "
        "went on at the version that was known (issue 48)",
    )
    for seed in range(1, 21)
)
