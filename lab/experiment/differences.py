"""Differences between variants over the same plays, with intervals."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy import stats

# The confidence level of an interval.
CONFIDENCE = 0.95

# The fewest pairs from which an interval is computed.
PAIRS_LEAST = 3

# The seed of the resampling, so that the same plays give the same interval.
RESAMPLING_SEED = 1


class Difference(NamedTuple):
    """The mean difference of a figure between two variants.

    Attributes:
        mean: the mean of the pairs' differences.
        low: the lower end of the interval; None with too few pairs.
        high: its upper end; None with too few pairs.
        pairs: the number of pairs.
    """

    mean: float
    low: float | None
    high: float | None
    pairs: int

    def excludes_zero(self) -> bool:
        """Returns whether the variants differ as far as the interval tells."""
        return self.low is not None and (self.low > 0 or self.high < 0)


def compute_difference(
    before: Sequence[float], after: Sequence[float]
) -> Difference:
    """Returns the difference `after - before` of paired figures.

    Raises:
        ValueError: the numbers of figures differ, or there are none.
    """
    pairs = np.array(after, dtype=float) - np.array(before, dtype=float)
    if not len(pairs):
        raise ValueError("no pairs")
    mean = float(pairs.mean())
    if len(pairs) < PAIRS_LEAST or not pairs.std():
        return Difference(mean, None, None, len(pairs))
    interval = stats.bootstrap(
        (pairs,),
        np.mean,
        confidence_level=CONFIDENCE,
        method="percentile",
        rng=np.random.default_rng(RESAMPLING_SEED),
    ).confidence_interval
    return Difference(
        mean, float(interval.low), float(interval.high), len(pairs)
    )
