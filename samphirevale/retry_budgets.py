"""The retry budget, which limits sends beyond the first of each request.

The limit applies to all entries together. Each entry keeps to an even share of
it without coordination, even immediately after a restart.
"""

import collections
from typing import NamedTuple


class RetryBudgetLimits(NamedTuple):
    """The limit of retries of each service over all entries.

    Attributes:
        ratio: the number of retries allowed for each request in the window.
        allowance: the number of retries allowed in addition.
        window_seconds: the length of the sliding window.
    """

    ratio: float
    allowance: float
    window_seconds: float


# The share of the limit that all entries together use. The rest is a margin, as
# a retry that one process sends at the end of a window may be counted by
# another in the next window.
USED_SHARE = 0.6


class RetryBudget:
    """One entry's share of the retry budget of each service.

    Attributes:
        limits: the limits over all entries.
    """

    def __init__(self, limits: RetryBudgetLimits):
        self.limits = limits
        self._first_sends: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_first_send(self, service: str, now: float) -> None:
        """Records the first send of a request for a service."""
        self._list_recent(self._first_sends, service, now).append(now)

    def compute_remaining(
        self, service: str, entries: int, now: float
    ) -> float:
        """Returns the number of retries that this entry may send now."""
        first_sends = len(self._list_recent(self._first_sends, service, now))
        retries = len(self._list_recent(self._retries, service, now))
        allowance = self.limits.allowance / max(entries, 1)
        total = self.limits.ratio * first_sends + allowance
        return USED_SHARE * total - retries

    def has_retry(self, service: str, entries: int, now: float) -> bool:
        """Returns whether a retry is left."""
        return self.compute_remaining(service, entries, now) >= 1

    def take(self, service: str, entries: int, now: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        if not self.has_retry(service, entries, now):
            return False
        self._list_recent(self._retries, service, now).append(now)
        return True

    def _list_recent(
        self,
        counts: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] < now - self.limits.window_seconds:
            times.popleft()
        return times
