"""Spreads the callers that are refused while all endpoints pause.

If all of them were told the end of the first pause they would come back at the
same time, and most would be refused once more. Each is told a later time than
those before it, as fast as the endpoints can take requests after their pauses.
"""

import heapq
import random
from collections.abc import Collection
from typing import NamedTuple

# The share of the time between the end of a pause and the caller's deadline in
# which callers are told to come back.
SPREAD_SHARE = 0.5

# The weight of a new measurement in the average duration of requests, and the
# initial duration in seconds.
DURATION_WEIGHT = 0.05
INITIAL_SECONDS = 0.1


class PausedEndpoint(NamedTuple):
    """An endpoint that pauses.

    Attributes:
        ends_at: the end of its pause.
        rate: the number of requests per second that it can take afterwards.
    """

    ends_at: float
    rate: float


class ReturnSchedule:
    """When the callers that this entry has refused come back.

    All entries together spread callers as one entry would, as each assumes that
    the others have refused as many.
    """

    def __init__(self):
        # The times at which callers come back to a service, as a heap.
        self._returns: dict[str, list[float]] = {}
        # Moving average of the duration of requests, by service.
        self._durations: dict[str, float] = {}

    def record_duration(self, service: str, seconds: float) -> None:
        """Records how long an endpoint was busy with a request."""
        before = self.get_duration(service)
        self._durations[service] = before + DURATION_WEIGHT * (seconds - before)

    def get_duration(self, service: str) -> float:
        """Returns how long requests take at a service, in seconds."""
        return self._durations.get(service, INITIAL_SECONDS)

    def plan_return(
        self,
        service: str,
        paused: Collection[PausedEndpoint],
        entries: int,
        deadline_at: float,
        now: float,
        rng: random.Random,
    ) -> float:
        """Returns when a refused caller should come back.

        Args:
            service: the service whose endpoints all pause.
            paused: these endpoints, one or more.
            entries: the number of entries, including this one.
            deadline_at: the caller's deadline.
            now: the present time.
            rng: the source of random numbers.
        """
        returns = self._returns.setdefault(service, [])
        while returns and returns[0] <= now:
            heapq.heappop(returns)
        begin = min(endpoint.ends_at for endpoint in paused)
        end = begin + max(deadline_at - begin, 0.0) * SPREAD_SHARE
        rank = entries * (len(returns) + rng.random())
        return_at = compute_return(paused, rank)
        if return_at > end:
            return_at = rng.uniform(begin, end)
        heapq.heappush(returns, return_at)
        return return_at


def compute_return(paused: Collection[PausedEndpoint], rank: float) -> float:
    """Returns when endpoints have taken a number of requests.

    Args:
        paused: the endpoints, one or more, which take requests from the ends of
            their pauses on.
        rank: the number of requests.
    """
    first, *later = sorted(paused)
    at, rate = first
    for endpoint in later:
        taken = rate * (endpoint.ends_at - at)
        if taken >= rank:
            break
        rank -= taken
        at = endpoint.ends_at
        rate += endpoint.rate
    return at + rank / rate
