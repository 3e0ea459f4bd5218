"""The budget of repeats: sends beyond the first of a request.

The bound holds for all entries together. Each keeps to an even part of it
without talking to the others, also while it has just been restarted.
"""

import collections
from typing import NamedTuple


class BudgetTerms(NamedTuple):
    """The bound over all entries, for each service.

    Attributes:
        ratio: repeats allowed for each request in the window.
        allowance: repeats allowed besides.
        window_seconds: the sliding window.
    """

    ratio: float
    allowance: float
    window_seconds: float


# The part of the bound that the entries use together: what one sends at the
# end of a window another may count in the next.
USED_SHARE = 0.6


class RetryBudget:
    """One entry's part of the budget of each service."""

    def __init__(self, terms: BudgetTerms):
        self.terms = terms
        self._firsts: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def note_first(self, service: str, now: float) -> None:
        """Counts a request for a service."""
        self._count(self._firsts, service, now).append(now)

    def read_left(self, service: str, entries: int, now: float) -> float:
        """Returns how many repeats this entry may still send now."""
        firsts = len(self._count(self._firsts, service, now))
        repeats = len(self._count(self._repeats, service, now))
        allowance = self.terms.allowance / max(entries, 1)
        total = self.terms.ratio * firsts + allowance
        return USED_SHARE * total - repeats

    def take(self, service: str, entries: int, now: float) -> bool:
        """Takes one repeat if there is one left; tells whether it did."""
        if self.read_left(service, entries, now) < 1:
            return False
        self._count(self._repeats, service, now).append(now)
        return True

    def _count(
        self,
        counts: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] < now - self.terms.window_seconds:
            times.popleft()
        return times
