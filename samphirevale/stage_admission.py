"""Admission control for requests whose stages would have to queue.

The load that this answers is a burst beyond what the batching endpoints can do.
A request that misses its target then takes capacity from one that could meet
it. Requests are therefore admitted in one of two ways:

- On time: the request is expected to meet its target. The target leaves it a
  certain queueing time. Where kinds of requests share a service, none may use
  more of it than the kind with the least: longer queues would not serve more
  requests, and those that can wait would displace those that cannot. Other
  rules are registered to be measured against. Requests of lower priority, and
  of accounts above their fair share, may use a little less.
- Late: the request cannot meet its target any more, or was refused before. It
  is queued behind those on time, so it is admitted if even then a margin
  remains until its deadline.

A stream that its caller takes up is queued among those on time and admitted as
long as it can end before its deadline: its caller has a part of the answer, and
after a loss of entries many come back at once.

How much less, and how large that margin is, is the policy, which an operator
chooses by name. A request that can be admitted in neither way is refused with
the time after which the queues are expected to have room for it as a late one.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from samphirevale import registry
from samphirevale.fair_shares import standing

# The least queueing time that is allowed at rank 0, in seconds.
MIN_QUEUEING_SECONDS = 0.2

# The lower bound of the part of the allowed queueing time that a rank may use,
# so that none starves.
RANK_FLOOR = 0.5

# The share of the time to its deadline within which the stages of a stream that
# its caller takes up must be expected to end.
RESUMED_SHARE = 0.75

# The share of the queueing time of a later stage that a late request may find
# there. It would delay others in that stage.
LATE_STAGE_SHARE = 0.25

# The bounds of the retry delay that is sent with a refusal, in seconds.
RETRY_SECONDS_BOUNDS = (0.5, 10.0)


class AdmissionPolicy(NamedTuple):
    """How requests share the time that may be spent in queues.

    Attributes:
        rank_factor: the factor on the allowed queueing time for each rank below
            the most urgent.
        late_share: the share of the time to its deadline that a late request
            may be expected to need, beyond its stages' own time. Requests on
            time that arrive later go first, and a long queue of late ones takes
            capacity from them.
        least_standing: the part of the allowed queueing time that an account
            may use that is far above its fair share.
    """

    rank_factor: float
    late_share: float
    least_standing: float


policies: registry.Registry[Callable[[], AdmissionPolicy]] = registry.Registry(
    "admission policy"
)


@policies.register("ranked")
def build_ranked() -> AdmissionPolicy:
    """Lets ranks and accounts differ much, and late requests queue long."""
    return AdmissionPolicy(0.85, 0.1, 0.5)


@policies.register("even")
def build_even() -> AdmissionPolicy:
    """Lets ranks and accounts differ little, and late requests queue less."""
    return AdmissionPolicy(0.95, 0.05, 0.8)


class StageWait(NamedTuple):
    """The queue of one stage.

    Attributes:
        service: the service that runs the stage.
        seconds: the estimated time in the queue.
        later: whether the stage takes results of other stages.
    """

    service: str
    seconds: float
    later: bool


class StagesEstimate(NamedTuple):
    """The estimated times of all stages of a request.

    Attributes:
        seconds: the completion time of the last stage, from now.
        waits: the queues of the stages.
    """

    seconds: float
    waits: tuple[StageWait, ...]


class AdmissionRequest(NamedTuple):
    """The properties of a request on which the admission decision depends.

    Attributes:
        bare_seconds: the duration of all stages at idle endpoints.
        shared_queueing: the shortest queueing time that the routes with a
            service leave, in seconds, by service.
        target_seconds: the target time from arrival to the answer.
        remaining_seconds: the time until the request's deadline.
        model_seconds: the estimated time from the results of the stages to
            the answer.
        rank: the priority; 0 is the most urgent.
        returned: whether the request was refused before and is already late.
        standing: the part of the allowed queueing time that its account may
            use.
        resumed: whether its caller takes up a stream.
    """

    bare_seconds: float
    shared_queueing: Mapping[str, float]
    target_seconds: float
    remaining_seconds: float
    model_seconds: float
    rank: int
    returned: bool
    standing: float = standing.FULL_STANDING
    resumed: bool = False


class Decision(NamedTuple):
    """An admission decision with the figures behind it.

    Attributes:
        admitted: whether the request is admitted.
        late: whether the request is queued behind those that are on time.
        expected_seconds: the estimated completion time of all stages.
        allowed_seconds: the largest value of expected_seconds that is
            admitted.
        bare_seconds: the duration of all stages at idle endpoints.
        excess_wait_seconds: how much the queue of the worst stage exceeds what
            is admitted; negative if none does.
        standing: the part of the allowed queueing time that the account of the
            request may use.
    """

    admitted: bool
    late: bool
    expected_seconds: float
    allowed_seconds: float
    bare_seconds: float
    excess_wait_seconds: float
    standing: float = standing.FULL_STANDING

    def compute_retry_seconds(self) -> float:
        """Returns when a refused request should come back, in seconds.

        By then the queues are expected to have shrunk to what is admitted.
        """
        low, high = RETRY_SECONDS_BOUNDS
        excess = max(
            self.expected_seconds - self.allowed_seconds,
            self.excess_wait_seconds,
        )
        return min(max(excess, low), high)


# Takes the shortest queueing time that the routes with a service leave, and the
# one that the request's own target leaves, and returns the one that it may use.
QueueingRule = Callable[[float, float], float]

queueing_rules: registry.Registry[QueueingRule] = registry.Registry(
    "rule for queueing times"
)


@queueing_rules.register("shared")
def use_shared(shared_seconds: float, own_seconds: float) -> float:
    """Lets all kinds of requests queue equally long."""
    return shared_seconds


@queueing_rules.register("own")
def use_own(shared_seconds: float, own_seconds: float) -> float:
    """Lets each kind queue as long as its target allows; a baseline."""
    return own_seconds


@queueing_rules.register("blended")
def use_blended(shared_seconds: float, own_seconds: float) -> float:
    """Lets kinds that can wait use half of their longer time; a baseline."""
    return (shared_seconds + max(own_seconds, shared_seconds)) / 2


def decide(
    request: AdmissionRequest,
    estimate_stages: Callable[[bool], StagesEstimate],
    policy: AdmissionPolicy,
    rule: str = "shared",
) -> Decision:
    """Decides whether to admit a request to its stages, and whether as late.

    Args:
        request: the properties of the request.
        estimate_stages: returns the estimated times of all stages; the
            argument tells whether the request is queued behind those that are
            on time.
        policy: the admission policy.
        rule: the name of a registered rule for queueing times.
    """
    if request.resumed:
        return _decide_resumed(request, estimate_stages(False))
    if not request.returned:
        estimate = estimate_stages(False)
        decision = _decide_on_time(request, estimate, policy, rule)
        if decision.admitted:
            return decision
    return _decide_late(request, estimate_stages(True), policy)


def _decide_resumed(
    request: AdmissionRequest, estimate: StagesEstimate
) -> Decision:
    spare_seconds = request.remaining_seconds - request.model_seconds
    allowed = spare_seconds * RESUMED_SHARE
    return Decision(
        estimate.seconds <= allowed,
        False,
        estimate.seconds,
        allowed,
        request.bare_seconds,
        0.0,
    )


def _decide_on_time(
    request: AdmissionRequest,
    estimate: StagesEstimate,
    policy: AdmissionPolicy,
    rule: str,
) -> Decision:
    share = max(policy.rank_factor**request.rank, RANK_FLOOR)
    share *= request.standing
    own_seconds = max(
        request.target_seconds - request.model_seconds - request.bare_seconds,
        MIN_QUEUEING_SECONDS,
    )
    return _build_decision(
        request,
        False,
        estimate,
        own_seconds * share,
        share,
        estimate.waits,
        queueing_rules.get(rule),
    )


def _decide_late(
    request: AdmissionRequest,
    estimate: StagesEstimate,
    policy: AdmissionPolicy,
) -> Decision:
    spare_seconds = (
        request.remaining_seconds - request.model_seconds - request.bare_seconds
    )
    return _build_decision(
        request,
        True,
        estimate,
        max(spare_seconds, 0.0) * policy.late_share * request.standing,
        LATE_STAGE_SHARE * request.standing,
        [wait for wait in estimate.waits if wait.later],
    )


def _build_decision(
    request: AdmissionRequest,
    late: bool,
    estimate: StagesEstimate,
    queueing_seconds: float,
    stage_share: float,
    waits: Sequence[StageWait],
    rule: QueueingRule = use_shared,
) -> Decision:
    """Builds a decision.

    Args:
        request: the properties of the request.
        late: whether the request is queued behind those that are on time.
        estimate: the estimated times in that case.
        queueing_seconds: the largest queueing time of all stages together.
        stage_share: the share of the shared queueing time of a service that
            the queue of a stage may take.
        waits: the queues to which that limit applies.
        rule: returns the queueing time of which that is a share.
    """
    excess = max(
        (
            wait.seconds
            - stage_share * _compute_queueing(request, wait.service, rule)
            for wait in waits
        ),
        default=0.0,
    )
    allowed = request.bare_seconds + queueing_seconds
    return Decision(
        estimate.seconds <= allowed and excess <= 0,
        late,
        estimate.seconds,
        allowed,
        request.bare_seconds,
        excess,
        request.standing,
    )


def _compute_queueing(
    request: AdmissionRequest, service: str, rule: QueueingRule
) -> float:
    """Returns the queueing time that a request may use at a service."""
    shared = request.shared_queueing.get(service, math.inf)
    own = request.target_seconds - request.bare_seconds
    seconds = rule(shared, own) - request.model_seconds
    return max(seconds, MIN_QUEUEING_SECONDS)
