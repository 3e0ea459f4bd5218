"""Admission control for requests whose stages would have to queue.

When load exceeds the capacity of the batching endpoints, a request that misses
its target takes capacity from one that could meet it, so it is refused. The
target leaves each request a certain queueing time. Requests of lower priority
may use only a part of it, which keeps the queue short for urgent ones. A
request that is retried after a refusal is already late: it is queued behind
the others and its allowed queueing time is shorter.
"""

from typing import NamedTuple

# The least queueing time that is allowed at rank 0, in seconds.
MIN_QUEUEING_SECONDS = 0.2

# Factor on the allowed queueing time for each rank below the most urgent.
RANK_FACTOR = 0.6

# Factor on the allowed queueing time of a request that was refused before. Its
# answer will be late in any case, while those of other requests can still be in
# time.
RETURNED_FACTOR = 0.6

# The retry delay sent with a refusal, in seconds. An earlier retry would find
# the same queue.
RETRY_AFTER_SECONDS = 3.0


class AdmissionRequest(NamedTuple):
    """The properties of a request on which the admission decision depends.

    Attributes:
        expected_seconds: the estimated completion time of all stages.
        bare_seconds: the duration of all stages at idle endpoints.
        target_seconds: the target time from arrival to the answer.
        model_seconds: the estimated time from the results of the stages to
            the answer.
        rank: the priority; 0 is the most urgent.
        returned: whether the request was refused before and is already late.
    """

    expected_seconds: float
    bare_seconds: float
    target_seconds: float
    model_seconds: float
    rank: int
    returned: bool


class Decision(NamedTuple):
    """An admission decision with the figures behind it.

    Attributes:
        expected_seconds: the estimated completion time of all stages.
        allowed_seconds: the largest value of expected_seconds that is
            admitted.
        bare_seconds: the duration of all stages at idle endpoints.
    """

    expected_seconds: float
    allowed_seconds: float
    bare_seconds: float

    def is_admitted(self) -> bool:
        """Returns whether the request is admitted."""
        return self.expected_seconds <= self.allowed_seconds


def decide(request: AdmissionRequest) -> Decision:
    """Decides whether to admit a request to its stages."""
    results_due_seconds = request.target_seconds - request.model_seconds
    queueing_seconds = max(
        results_due_seconds - request.bare_seconds, MIN_QUEUEING_SECONDS
    )
    allowed_share = RANK_FACTOR**request.rank
    if request.returned:
        allowed_share *= RETURNED_FACTOR
    allowed = request.bare_seconds + queueing_seconds * allowed_share
    return Decision(request.expected_seconds, allowed, request.bare_seconds)
