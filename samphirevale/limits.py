"""Limits on how many attempts a sidecar runs at the same time."""

import math
from collections.abc import Callable
from typing import Protocol

from samphirevale import registry

# Ratio of the short-term to the long-term average latency above which an
# adaptive limiter lowers its limit.
LATENCY_TOLERANCE = 2.0

# Factor by which `aimd` multiplies the limit to lower it.
DECREASE_FACTOR = 0.9

# Weight of a new measurement in the long-term and short-term latency averages.
LONG_TERM_WEIGHT = 0.005
SHORT_TERM_WEIGHT = 0.1

# Weight of the new target in the moving average that `gradient` uses as limit.
GRADIENT_WEIGHT = 0.2


class Limiter(Protocol):
    """Sets the maximum number of concurrent attempts.

    Attributes:
        limit: the present limit, at least 1.
    """

    limit: int

    def record_service_time(self, seconds: float, running: int) -> None:
        """Records an attempt's service time.

        Args:
            seconds: how long the endpoint worked on the attempt.
            running: number of attempts that ran, this one included.
        """


# Constructors of the limiters; the argument is the maximum of the limit.
_limiters: registry.Registry[Callable[[int], Limiter]] = registry.Registry(
    "limit policy"
)
register = _limiters.register
list_policies = _limiters.list_names


def build_limiter(name: str, maximum: int) -> Limiter:
    """Returns a new limiter.

    Raises:
        ValueError: no limiter of that name is registered.
    """
    return _limiters.get(name)(maximum)


@register("fixed")
class FixedLimiter:
    """Baseline: the limit is always the maximum."""

    def __init__(self, maximum: int):
        self.limit = maximum

    def record_service_time(self, seconds: float, running: int) -> None:
        """Does nothing, as the limit is fixed."""


class _LatencyAverages:
    """Short-term and long-term moving averages of a latency.

    The long-term average is never above the short-term one.
    """

    def __init__(self):
        self.short = 0.0
        self.long = 0.0

    def record(self, seconds: float) -> None:
        if not self.long:
            self.short = self.long = seconds
        self.short += SHORT_TERM_WEIGHT * (seconds - self.short)
        self.long += LONG_TERM_WEIGHT * (seconds - self.long)
        if self.long > self.short:
            self.long = self.short


@register("aimd")
class AimdLimiter:
    """Additive increase, multiplicative decrease.

    The limit rises while it is fully used, and falls while the latency is too
    high.
    """

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._exact_limit = float(maximum)
        self._latency = _LatencyAverages()
        self._ended_since_decrease = 0

    @property
    def limit(self) -> int:
        """The present limit."""
        return int(self._exact_limit)

    def record_service_time(self, seconds: float, running: int) -> None:
        """Updates the limit from an attempt's service time.

        After a decrease, as many attempts as the limit must end before the
        next one.
        """
        self._latency.record(seconds)
        self._ended_since_decrease += 1
        slow = self._latency.short > LATENCY_TOLERANCE * self._latency.long
        if slow and self._ended_since_decrease >= self.limit:
            self._exact_limit = max(1.0, self._exact_limit * DECREASE_FACTOR)
            self._ended_since_decrease = 0
        elif not slow and running >= self.limit:
            self._exact_limit = min(
                self._maximum, self._exact_limit + 1 / self._exact_limit
            )


@register("gradient")
class GradientLimiter:
    """Scales the limit by the ratio of long-term to short-term latency.

    The square root of the limit is added, so the limit can grow again.
    """

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._exact_limit = float(maximum)
        self._latency = _LatencyAverages()

    @property
    def limit(self) -> int:
        """The present limit."""
        return int(self._exact_limit)

    def record_service_time(self, seconds: float, running: int) -> None:
        """Moves the limit towards its present target."""
        self._latency.record(seconds)
        ratio = LATENCY_TOLERANCE * self._latency.long / self._latency.short
        gradient = min(1.0, max(0.5, ratio))
        target = self._exact_limit * gradient + math.sqrt(self._exact_limit)
        if gradient >= 1.0 and running < self.limit:
            target = self._exact_limit
        self._exact_limit += GRADIENT_WEIGHT * (target - self._exact_limit)
        self._exact_limit = min(
            float(self._maximum), max(1.0, self._exact_limit)
        )
