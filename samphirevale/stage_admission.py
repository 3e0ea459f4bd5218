"""Admission control for requests whose stages would have to queue.

The load that this answers is a burst beyond what the batching endpoints can do.
A request that misses its target then takes capacity from one that could meet
it. Requests are therefore admitted to one of two lanes:

- On time: the request is expected to meet its target. The target leaves it a
  certain queueing time. Where kinds of requests share a service, none may use
  more of it than the kind with the least: longer queues would not serve more
  requests, and those that can wait would displace those that cannot. Requests
  of lower priority may use a little less.
- Late: the request cannot meet its target any more, or was refused before. It
  is queued behind those on time, so it is admitted if even then a margin
  remains until its deadline.

A request that fits into neither lane is refused with the time after which the
late lane is expected to have room for it.
"""

from collections.abc import Callable
from typing import NamedTuple

# The least queueing time that is allowed at rank 0, in seconds.
MIN_QUEUEING_SECONDS = 0.2

# Factor on the allowed queueing time for each rank below the most urgent, and
# its lower bound, so that no rank starves.
RANK_FACTOR = 0.9
RANK_FACTOR_FLOOR = 0.5

# The share of the time to its deadline that a late request may be expected to
# need, beyond its stages' own time. Requests on time that arrive later go
# first, and a long queue of late ones takes capacity from them.
LATE_SHARE = 0.1

# The bounds of the retry delay that is sent with a refusal, in seconds.
RETRY_SECONDS_BOUNDS = (0.5, 10.0)


class AdmissionRequest(NamedTuple):
    """The properties of a request on which the admission decision depends.

    Attributes:
        bare_seconds: the duration of all stages at idle endpoints.
        shared_queueing_seconds: the shortest queueing time that the targets of
            the routes with the same services leave them.
        target_seconds: the target time from arrival to the answer.
        remaining_seconds: the time until the request's deadline.
        model_seconds: the estimated time from the results of the stages to
            the answer.
        rank: the priority; 0 is the most urgent.
        returned: whether the request was refused before and is already late.
    """

    bare_seconds: float
    shared_queueing_seconds: float
    target_seconds: float
    remaining_seconds: float
    model_seconds: float
    rank: int
    returned: bool


class Decision(NamedTuple):
    """An admission decision with the figures behind it.

    Attributes:
        admitted: whether the request is admitted.
        late: whether the request is queued behind those that are on time.
        expected_seconds: the estimated completion time of all stages.
        allowed_seconds: the largest value of expected_seconds that is
            admitted.
        bare_seconds: the duration of all stages at idle endpoints.
    """

    admitted: bool
    late: bool
    expected_seconds: float
    allowed_seconds: float
    bare_seconds: float

    def compute_retry_seconds(self) -> float:
        """Returns when a refused request should come back, in seconds.

        By then the queue is expected to have shrunk to what is admitted.
        """
        low, high = RETRY_SECONDS_BOUNDS
        excess = self.expected_seconds - self.allowed_seconds
        return min(max(excess, low), high)


def decide(
    request: AdmissionRequest, estimate_seconds: Callable[[bool], float]
) -> Decision:
    """Decides whether to admit a request to its stages, and to which lane.

    Args:
        request: the properties of the request.
        estimate_seconds: returns the estimated completion time of all stages
            in seconds; the argument tells whether the request is queued
            behind those that are on time.
    """
    if not request.returned:
        decision = _build_decision(
            request,
            False,
            estimate_seconds(False),
            _compute_allowed_on_time(request),
        )
        if decision.admitted:
            return decision
    return _build_decision(
        request, True, estimate_seconds(True), _compute_allowed_late(request)
    )


def _build_decision(
    request: AdmissionRequest,
    late: bool,
    expected_seconds: float,
    allowed_seconds: float,
) -> Decision:
    return Decision(
        expected_seconds <= allowed_seconds,
        late,
        expected_seconds,
        allowed_seconds,
        request.bare_seconds,
    )


def _compute_allowed_on_time(request: AdmissionRequest) -> float:
    own_seconds = (
        request.target_seconds - request.model_seconds - request.bare_seconds
    )
    queueing_seconds = max(
        min(
            own_seconds, request.shared_queueing_seconds - request.model_seconds
        ),
        MIN_QUEUEING_SECONDS,
    )
    allowed_share = max(RANK_FACTOR**request.rank, RANK_FACTOR_FLOOR)
    return request.bare_seconds + queueing_seconds * allowed_share


def _compute_allowed_late(request: AdmissionRequest) -> float:
    spare_seconds = (
        request.remaining_seconds - request.model_seconds - request.bare_seconds
    )
    return request.bare_seconds + max(spare_seconds, 0.0) * LATE_SHARE
