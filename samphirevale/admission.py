"""Admission control: accepts or refuses each request on arrival.

The default policy admits a request only if its stages are likely to complete
it before the deadline and every stage is below its concurrency limit. An
account that has used more than its fair share gets a smaller part of the
remaining time, so it is refused first under load. The module does no I/O and
reads no clock: `now` is in monotonic seconds.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from samphirevale import configuration, registry

# Maximum fraction of the remaining time that the estimated completion time
# may take up.
FILL_LIMIT = 0.9

# The same limit for an account that has used far more than its fair share.
OVER_SHARE_FILL_LIMIT = 0.6

# Once all requests for the same pools have been refused as late for this long,
# one is admitted as a probe. Estimates are only updated by admitted requests,
# so an estimate that is too high would otherwise never be corrected.
PROBE_SECONDS = 0.5

# Time constant of the decay of an account's recorded use.
USE_DECAY_SECONDS = 5.0

# An account counts as active for this long after its last request.
ACTIVE_SECONDS = 5.0

# Ratio of an account's use to its fair share. Up to SHARE_TOLERANCE, the full
# fill limit applies; from SHARE_EXCESS on, the lower one; between them, the
# limit is interpolated.
SHARE_TOLERANCE = 1.25
SHARE_EXCESS = 2.0

# Weight of one completed request in the moving average of the ratio of actual
# to estimated completion time, and the bounds of a single ratio.
COMPLETION_RATIO_WEIGHT = 0.02
COMPLETION_RATIO_LIMITS = (0.7, 2.0)

# Bounds of the retry delay that refused callers are told.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 30.0

# Retry delay when no endpoint of a stage accepts work.
UNKNOWN_RETRY_SECONDS = 2.0


class Decision(NamedTuple):
    """The decision on one request.

    Attributes:
        admitted: whether the request is admitted.
        reason: reason of a refusal: `late`, `share`, `stage_limit` or
            `unavailable`.
        retry_after_seconds: after a refusal, when the caller should retry.
        is_probe: whether the request is admitted only to update the
            estimates.
    """

    admitted: bool
    reason: str = ""
    retry_after_seconds: float = 0.0
    is_probe: bool = False


class AdmissionRequest(NamedTuple):
    """The input of an admission policy for one request.

    Attributes:
        account: the client account.
        stages: the stages still to run, in order.
        remaining_seconds: time left before the request's deadline.
        expected_seconds: estimated time of each of these stages.
    """

    account: str
    stages: Sequence[configuration.StageConfiguration]
    remaining_seconds: float
    expected_seconds: Sequence[float]


class DecayingSum:
    """A sum of amounts that decay exponentially.

    Args:
        seconds: time in which an amount decays to 1/e.
    """

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._amount = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self._amount = self.get_sum(now) + amount
        self._updated_at = now

    def get_sum(self, now: float) -> float:
        """Returns the sum of the decayed amounts."""
        age = max(0.0, now - self._updated_at)
        return self._amount * math.exp(-age / self._seconds)

    def get_rate(self, now: float) -> float:
        """Returns the average amount added per second."""
        return self.get_sum(now) / self._seconds


class AccountUse:
    """The recent use of each account, relative to its fair share.

    Shares are weights; an account without one has weight 1. Any account may
    use idle capacity: exceeding the share only matters when time is short.
    """

    def __init__(self, weights: Mapping[str, float]):
        self.weights = dict(weights)
        self._use_sums: dict[str, DecayingSum] = {}
        self._last_request_at: dict[str, float] = {}

    def record_request(self, account: str, now: float) -> None:
        """Records that an account has sent a request."""
        self._last_request_at[account] = now
        if account not in self._use_sums:
            self._use_sums[account] = DecayingSum(USE_DECAY_SECONDS)

    def record_use(self, account: str, seconds: float, now: float) -> None:
        """Records work that was admitted for an account."""
        self._use_sums[account].add(seconds, now)

    def compute_use_ratio(self, account: str, now: float) -> float:
        """Returns the ratio of an account's use to its fair share.

        The ratio is 0 if no other account is active.
        """
        self._remove_idle_accounts(now)
        if len(self._use_sums) < 2:
            return 0.0
        used = {name: use.get_sum(now) for name, use in self._use_sums.items()}
        total = sum(used.values())
        if total <= 0:
            return 0.0
        weight = self._get_weight(account)
        total_weight = sum(self._get_weight(name) for name in used)
        return used[account] * total_weight / (total * weight)

    def _get_weight(self, account: str) -> float:
        return self.weights.get(account, 1.0)

    def _remove_idle_accounts(self, now: float) -> None:
        cutoff = now - ACTIVE_SECONDS
        idle = [
            name for name, at in self._last_request_at.items() if at < cutoff
        ]
        for name in idle:
            del self._last_request_at[name]
            del self._use_sums[name]


class _AdmittedRequest(NamedTuple):
    account: str
    expected_seconds: float
    at: float


class Admission:
    """The admission control of one entry.

    Args:
        policy: the name of a registered policy.
        weights: the accounts' shares, as weights.

    Raises:
        ValueError: no policy of that name is registered.
    """

    def __init__(self, policy: str, weights: Mapping[str, float] | None = None):
        self._decide_by_policy = _policies.get(policy)
        self.shares = AccountUse(weights or {})
        self.completion_ratio = 1.0
        self._admitted: dict[str, _AdmittedRequest] = {}
        self._occupied_slots: dict[str, int] = {}
        # Time since which all requests were refused as late, by the pools of
        # their stages.
        self._late_since: dict[tuple[str, ...], float] = {}
        self._completed_sum = DecayingSum(USE_DECAY_SECONDS)
        self._refused_sum = DecayingSum(USE_DECAY_SECONDS)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the accounts' shares from a new configuration."""
        self.shares.weights = dict(weights)

    def admit(
        self,
        request: str,
        account: str,
        stages: Sequence[configuration.StageConfiguration],
        remaining_seconds: float,
        expected_seconds: Sequence[float],
        now: float,
    ) -> Decision:
        """Decides whether to admit a request, and records the decision.

        Args:
            request: the request's id.
            account: the client account.
            stages: the stages still to run, in order.
            remaining_seconds: time left before the request's deadline.
            expected_seconds: estimated time of each stage if it started now
                (routing.Router.estimate_best_seconds).
            now: the present time.
        """
        self.shares.record_request(account, now)
        admission_request = AdmissionRequest(
            account, stages, remaining_seconds, expected_seconds
        )
        decision = self._decide_by_policy(self, admission_request, now)
        if self._check_probe_due(decision, stages, now):
            decision = Decision(True, is_probe=True)
        if not decision.admitted:
            self._refused_sum.add(1, now)
            return decision
        expected = sum(expected_seconds)
        work = sum(stage["expected_ms"] for stage in stages) / 1000
        self.shares.record_use(account, work, now)
        self._admitted[request] = _AdmittedRequest(account, expected, now)
        return decision

    def _check_probe_due(
        self,
        decision: Decision,
        stages: Sequence[configuration.StageConfiguration],
        now: float,
    ) -> bool:
        """Records a decision; returns whether to admit the request as a probe.

        A probe is due once every request for the same pools has been refused
        as late for `PROBE_SECONDS`.
        """
        pools = tuple(stage["pool"] for stage in stages)
        if decision.admitted:
            self._late_since.pop(pools, None)
            return False
        if decision.reason != "late":
            return False
        if now - self._late_since.setdefault(pools, now) < PROBE_SECONDS:
            return False
        del self._late_since[pools]
        return True

    def acquire_slot(
        self, stage: configuration.StageConfiguration, now: float
    ) -> bool:
        """Occupies a slot of a stage; returns False if it is at its limit.

        After True, the caller must call `release_slot` exactly once.
        """
        if not self.has_free_slot(stage):
            return False
        key = _build_slot_key(stage)
        self._occupied_slots[key] = self._occupied_slots.get(key, 0) + 1
        return True

    def release_slot(
        self, stage: configuration.StageConfiguration, now: float
    ) -> None:
        """Frees a slot of a stage."""
        self._occupied_slots[_build_slot_key(stage)] -= 1

    def has_free_slot(self, stage: configuration.StageConfiguration) -> bool:
        """Returns whether the stage is below its limit."""
        return (
            self._occupied_slots.get(_build_slot_key(stage), 0) < stage["limit"]
        )

    def record_end(self, request: str, now: float, *, whole: bool) -> None:
        """Records that an admitted request has ended.

        Args:
            request: the request's id; an unknown id has no effect.
            now: the present time.
            whole: whether the caller got the complete answer in time.
        """
        admitted = self._admitted.pop(request, None)
        if admitted is None or not whole:
            return
        self._completed_sum.add(1, now)
        if math.isfinite(admitted.expected_seconds):
            self._update_completion_ratio(
                now - admitted.at, admitted.expected_seconds
            )

    def estimate_retry_seconds(
        self, excess_seconds: float, now: float
    ) -> float:
        """Returns the retry delay for a refused request, in seconds.

        The delay also covers the requests refused lately, which are likely to
        come back as well.

        Args:
            excess_seconds: by how much the estimated completion time exceeds
                the limit now; infinite if no endpoint accepts work.
            now: the present time.
        """
        if not math.isfinite(excess_seconds):
            return UNKNOWN_RETRY_SECONDS
        rate = max(self._completed_sum.get_rate(now), 1 / MAX_RETRY_SECONDS)
        others = self._refused_sum.get_sum(now) / rate
        seconds = max(MIN_RETRY_SECONDS, excess_seconds + others)
        return min(MAX_RETRY_SECONDS, seconds)

    def _update_completion_ratio(self, actual: float, expected: float) -> None:
        ratio = actual / max(expected, 0.001)
        low, high = COMPLETION_RATIO_LIMITS
        ratio = min(high, max(low, ratio))
        self.completion_ratio += COMPLETION_RATIO_WEIGHT * (
            ratio - self.completion_ratio
        )


Policy = Callable[[Admission, AdmissionRequest, float], Decision]

_policies: registry.Registry[Policy] = registry.Registry("admission policy")
register = _policies.register
list_policies = _policies.list_names


@register("none")
def admit_all(
    admission: Admission, request: AdmissionRequest, now: float
) -> Decision:
    """Baseline: admits every request."""
    return Decision(True)


@register("stage_limit")
def admit_below_limits(
    admission: Admission, request: AdmissionRequest, now: float
) -> Decision:
    """Baseline: admits while every stage is below its limit."""
    if all(admission.has_free_slot(stage) for stage in request.stages):
        return Decision(True)
    retry = admission.estimate_retry_seconds(0.0, now)
    return Decision(False, "stage_limit", retry)


@register("deadline")
def admit_in_time(
    admission: Admission, request: AdmissionRequest, now: float
) -> Decision:
    """Admits what is likely to complete in time, with fair shares."""
    limit_decision = admit_below_limits(admission, request, now)
    if not limit_decision.admitted:
        return limit_decision
    expected = sum(request.expected_seconds) * admission.completion_ratio
    if not math.isfinite(expected):
        retry = admission.estimate_retry_seconds(expected, now)
        return Decision(False, "unavailable", retry)
    use_ratio = admission.shares.compute_use_ratio(request.account, now)
    limit = _compute_fill_limit(use_ratio)
    excess = expected - limit * request.remaining_seconds
    if excess <= 0:
        return Decision(True)
    reason = "share" if limit < FILL_LIMIT else "late"
    retry = admission.estimate_retry_seconds(excess, now)
    return Decision(False, reason, retry)


def _compute_fill_limit(use: float) -> float:
    """Returns the maximum fraction of the remaining time to take up.

    Args:
        use: ratio of the account's use to its fair share.
    """
    excess = (use - SHARE_TOLERANCE) / (SHARE_EXCESS - SHARE_TOLERANCE)
    part = min(1.0, max(0.0, excess))
    return FILL_LIMIT + part * (OVER_SHARE_FILL_LIMIT - FILL_LIMIT)


def _build_slot_key(stage: configuration.StageConfiguration) -> str:
    """Returns the key under which a stage's occupied slots are counted."""
    return f"{stage['pool']}/{stage['name']}"
