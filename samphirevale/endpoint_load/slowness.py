"""Learns how much slower than configured the calls to an endpoint are.

The load that this answers: some of a service's endpoints turn slow for seconds
while all of them are busy. Items that are placed there by the operator's
figures alone would miss their targets.

The slowness is the time of a call as a multiple of the configured one. A call
that is still running counts as well once it takes longer than expected: its end
is then as far away as it is overdue. What an endpoint states of the time that
work takes at this moment counts as a call that took so long.
"""

import math
from collections.abc import Callable

from samphirevale import registry

# The slowness of an endpoint of which nothing is known.
NOMINAL = 1.0

# The bounds of one observation. A call that is far off has failed otherwise.
OBSERVATION_BOUNDS = (0.25, 16.0)

# The weight of a new observation in the moving average.
OBSERVATION_WEIGHT = 0.5

# The time in which the learned difference falls to 1/e without a call, in
# seconds. An endpoint that was slow is then tried again.
FORGETTING_SECONDS = 4.0

# Takes the slowness before an observation and the observation, and returns the
# slowness after it.
Estimator = Callable[[float, float], float]

estimators: registry.Registry[Estimator] = registry.Registry(
    "estimator of slowness"
)


@estimators.register("nominal")
def keep_nominal(before: float, observed: float) -> float:
    """Learns nothing; the baseline."""
    return NOMINAL


@estimators.register("last")
def take_last(before: float, observed: float) -> float:
    """Expects the next call to be like the last one."""
    return observed


@estimators.register("average")
def take_average(before: float, observed: float) -> float:
    """Takes a moving average, as single calls vary."""
    return before + OBSERVATION_WEIGHT * (observed - before)


class Slowness:
    """The learned slowness of one endpoint."""

    def __init__(self, estimator: str = "average"):
        """Initializes it at the configured speed.

        Args:
            estimator: the name of a registered estimator.
        """
        self._estimate = estimators.get(estimator)
        self._value = NOMINAL
        self._learned_at = 0.0

    def record_call(
        self, expected_seconds: float, seconds: float, now: float
    ) -> None:
        """Records the duration of a call.

        Args:
            expected_seconds: its duration by the operator's figures.
            seconds: its duration.
            now: the present time.
        """
        self.record(seconds / expected_seconds, now)

    def record(self, observed: float, now: float) -> None:
        """Records a slowness that was observed, or stated by the endpoint."""
        low, high = OBSERVATION_BOUNDS
        observed = min(max(observed, low), high)
        self._value = self._estimate(self.get(now), observed)
        self._learned_at = now

    def get(self, now: float) -> float:
        """Returns the factor on the configured duration of a call now."""
        age = max(now - self._learned_at, 0.0)
        weight = math.exp(-age / FORGETTING_SECONDS)
        return NOMINAL + (self._value - NOMINAL) * weight


def estimate_rest(expected_end: float, now: float) -> float:
    """Returns when a running call ends, in seconds from now.

    Args:
        expected_end: when it was expected to end.
        now: the present time.
    """
    return abs(expected_end - now)
