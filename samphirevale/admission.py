"""Admission: whether a request is taken at all, decided on arrival.

A request is taken only if every stage ahead is likely to finish it in
time, if no stage ahead has used up its own limit, and, when time is short,
if its account has not had more than its share. No I/O and no clock: `now`
is in monotonic seconds.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from samphirevale import configuration, registry

# The share of the remaining time that the expected time may fill.
FILL_LIMIT = 0.9

# The same for an account that has had more than its share.
OVER_SHARE_FILL_LIMIT = 0.6

# How long a pipeline's requests are all refused as late before one is taken:
# expected times are only measured anew by what is taken, in seconds.
PROBE_SECONDS = 0.5

# The time over which an account's use is remembered, in seconds.
USE_SECONDS = 5.0

# An account counts as active for this long after its last request.
ACTIVE_SECONDS = 5.0

# Use as a factor on the fair part: up to the first an account is within its
# share, from the second on it is held to the lower fill limit.
SHARE_TOLERANCE = 1.25
SHARE_EXCESS = 2.0

# Weight of one finished request in the smoothed ratio of real to expected.
STRETCH_WEIGHT = 0.02
STRETCH_LIMITS = (0.7, 2.0)

# Bounds of what callers are told, in seconds.
SHORTEST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 30.0

# What they are told when no endpoint of a stage takes work.
UNKNOWN_RETRY_SECONDS = 2.0


class Decision(NamedTuple):
    """Whether a request is taken.

    Attributes:
        admitted: it is.
        reason: if not: `late`, `share`, `stage_limit` or `unavailable`.
        retry_after_seconds: if not: when it may be worth asking again.
        is_probe: it is taken to learn whether the expected times still hold.
    """

    admitted: bool
    reason: str = ""
    retry_after_seconds: float = 0.0
    is_probe: bool = False


class Question(NamedTuple):
    """One request that asks to be taken, as a policy sees it.

    Attributes:
        account: the client account.
        stages: the stages ahead, in order.
        remaining_seconds: time left before its deadline.
        expected_seconds: what each stage ahead should take now.
    """

    account: str
    stages: Sequence[configuration.StageConfiguration]
    remaining_seconds: float
    expected_seconds: Sequence[float]


class DecayingSum:
    """A sum in which every amount fades out.

    Args:
        seconds: time after which an amount has faded to 1/e.
    """

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._amount = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self._amount = self.read(now) + amount
        self._at = now

    def read(self, now: float) -> float:
        """Returns what is left of all amounts."""
        age = max(0.0, now - self._at)
        return self._amount * math.exp(-age / self._seconds)

    def read_rate(self, now: float) -> float:
        """Returns the amount a second."""
        return self.read(now) / self._seconds


class Shares:
    """What each account has used lately, against its share.

    Shares are weights; an account without one has weight 1. Room that the
    others leave is everybody's: being over the share matters only when
    time is short.
    """

    def __init__(self, weights: Mapping[str, float]):
        self.weights = dict(weights)
        self._used: dict[str, DecayingSum] = {}
        self._asked_at: dict[str, float] = {}

    def note_asked(self, account: str, now: float) -> None:
        """Takes in that an account has sent a request."""
        self._asked_at[account] = now
        if account not in self._used:
            self._used[account] = DecayingSum(USE_SECONDS)

    def note_used(self, account: str, seconds: float, now: float) -> None:
        """Takes in work that was admitted for an account."""
        self._used[account].add(seconds, now)

    def read_use(self, account: str, now: float) -> float:
        """Returns an account's use as a factor on its fair part."""
        self._drop_idle(now)
        if len(self._used) < 2:
            return 0.0
        used = {name: use.read(now) for name, use in self._used.items()}
        total = sum(used.values())
        if total <= 0:
            return 0.0
        weight = self._read_weight(account)
        total_weight = sum(self._read_weight(name) for name in used)
        return used[account] * total_weight / (total * weight)

    def _read_weight(self, account: str) -> float:
        return self.weights.get(account, 1.0)

    def _drop_idle(self, now: float) -> None:
        oldest = now - ACTIVE_SECONDS
        idle = [name for name, at in self._asked_at.items() if at < oldest]
        for name in idle:
            del self._asked_at[name]
            del self._used[name]


class _Admitted(NamedTuple):
    account: str
    expected_seconds: float
    at: float


class Admission:
    """The admission decisions of one entry.

    Args:
        policy: the name of a registered policy.
        weights: the accounts' shares, as weights.

    Raises:
        ValueError: no policy of that name is registered.
    """

    def __init__(self, policy: str, weights: Mapping[str, float] | None = None):
        self._policy = _policies.get(policy)
        self.shares = Shares(weights or {})
        self.stretch = 1.0
        self._admitted: dict[str, _Admitted] = {}
        self._in_stage: dict[str, int] = {}
        # By the pools of a pipeline: since when all has been refused as late.
        self._late_since: dict[tuple[str, ...], float] = {}
        self._finished = DecayingSum(USE_SECONDS)
        self._refused = DecayingSum(USE_SECONDS)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Takes over the accounts' shares of a new configuration."""
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
        """Decides at once whether a request is taken.

        Args:
            request: its id.
            account: the client account.
            stages: the stages ahead, in order.
            remaining_seconds: time left before its deadline.
            expected_seconds: what each stage ahead should take if it were
                started now (routing.Router.expect_seconds).
            now: the present time.
        """
        self.shares.note_asked(account, now)
        question = Question(
            account, stages, remaining_seconds, expected_seconds
        )
        decision = self._policy(self, question, now)
        if self._is_probe_due(decision, stages, now):
            decision = Decision(True, is_probe=True)
        if not decision.admitted:
            self._refused.add(1, now)
            return decision
        expected = sum(expected_seconds)
        work = sum(stage["expected_ms"] for stage in stages) / 1000
        self.shares.note_used(account, work, now)
        self._admitted[request] = _Admitted(account, expected, now)
        return decision

    def _is_probe_due(
        self,
        decision: Decision,
        stages: Sequence[configuration.StageConfiguration],
        now: float,
    ) -> bool:
        """Notes a decision; tells whether to take the request all the same."""
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

    def enter_stage(
        self, stage: configuration.StageConfiguration, now: float
    ) -> bool:
        """Takes a place in a stage; returns False if it has none left.

        Every True is to be followed by one `leave_stage`.
        """
        if not self.has_place(stage):
            return False
        name = _name_place(stage)
        self._in_stage[name] = self._in_stage.get(name, 0) + 1
        return True

    def leave_stage(
        self, stage: configuration.StageConfiguration, now: float
    ) -> None:
        """Gives a place back."""
        self._in_stage[_name_place(stage)] -= 1

    def has_place(self, stage: configuration.StageConfiguration) -> bool:
        """Returns whether the stage is below its limit."""
        return self._in_stage.get(_name_place(stage), 0) < stage["limit"]

    def note_finished(self, request: str, now: float, *, whole: bool) -> None:
        """Takes in that an admitted request has ended.

        Args:
            request: its id; one that is not known changes nothing.
            now: the present time.
            whole: its caller got the whole answer in time.
        """
        admitted = self._admitted.pop(request, None)
        if admitted is None or not whole:
            return
        self._finished.add(1, now)
        if math.isfinite(admitted.expected_seconds):
            self._note_stretch(now - admitted.at, admitted.expected_seconds)

    def estimate_retry_seconds(
        self, excess_seconds: float, now: float
    ) -> float:
        """Returns when the queue should have room for one more.

        Args:
            excess_seconds: by how much it is too long now.
            now: the present time.
        """
        if not math.isfinite(excess_seconds):
            return UNKNOWN_RETRY_SECONDS
        rate = max(self._finished.read_rate(now), 1 / LONGEST_RETRY_SECONDS)
        others = self._refused.read(now) / rate
        seconds = max(SHORTEST_RETRY_SECONDS, excess_seconds + others)
        return min(LONGEST_RETRY_SECONDS, seconds)

    def _note_stretch(self, taken: float, expected: float) -> None:
        ratio = taken / max(expected, 0.001)
        low, high = STRETCH_LIMITS
        ratio = min(high, max(low, ratio))
        self.stretch += STRETCH_WEIGHT * (ratio - self.stretch)


Policy = Callable[[Admission, Question, float], Decision]

_policies: registry.Registry[Policy] = registry.Registry("admission policy")
register = _policies.register
list_policies = _policies.list_names


@register("none")
def admit_all(admission: Admission, question: Question, now: float) -> Decision:
    """Baseline: everything is taken."""
    return Decision(True)


@register("stage_limit")
def admit_below_limits(
    admission: Admission, question: Question, now: float
) -> Decision:
    """Baseline: taken while every stage ahead is below its limit."""
    if all(admission.has_place(stage) for stage in question.stages):
        return Decision(True)
    retry = admission.estimate_retry_seconds(0.0, now)
    return Decision(False, "stage_limit", retry)


@register("deadline")
def admit_in_time(
    admission: Admission, question: Question, now: float
) -> Decision:
    """Taken if it is likely to be whole in time, with fair shares."""
    limited = admit_below_limits(admission, question, now)
    if not limited.admitted:
        return limited
    expected = sum(question.expected_seconds) * admission.stretch
    if not math.isfinite(expected):
        retry = admission.estimate_retry_seconds(expected, now)
        return Decision(False, "unavailable", retry)
    use = admission.shares.read_use(question.account, now)
    limit = _choose_fill_limit(use)
    excess = expected - limit * question.remaining_seconds
    if excess <= 0:
        return Decision(True)
    reason = "share" if limit < FILL_LIMIT else "late"
    retry = admission.estimate_retry_seconds(excess, now)
    return Decision(False, reason, retry)


def _choose_fill_limit(use: float) -> float:
    """Returns how much of its time a request may be expected to take."""
    excess = (use - SHARE_TOLERANCE) / (SHARE_EXCESS - SHARE_TOLERANCE)
    part = min(1.0, max(0.0, excess))
    return FILL_LIMIT + part * (OVER_SHARE_FILL_LIMIT - FILL_LIMIT)


def _name_place(stage: configuration.StageConfiguration) -> str:
    """Returns the name under which a stage's places are counted."""
    return f"{stage['pool']}/{stage['name']}"
