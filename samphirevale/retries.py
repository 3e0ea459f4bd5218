"""Retries: whether an attempt that ended badly is made again.

Each stage has a budget that grows with its first attempts, so that a stage
that fails altogether gets little more than its usual load. There is no
hedging: a second attempt at 1.5 or 2.5 times the expected time raised the
cost of a whole answer in steady state by 3 to 6%.
"""

from collections.abc import Callable
from typing import NamedTuple

from samphirevale import registry

# Retries allowed for each first attempt, on average.
BUDGET_SHARE = 0.1

# The most retries that a stage may save up, and what it starts with.
BUDGET_LIMIT = 10.0

# The most attempts of one stage of one request, the first included.
ATTEMPTS_LIMIT = 3

# Refusals that mean too much work: to send it again would add to it.
OVERLOAD_REASONS = frozenset({"overloaded", "late"})

# Endings after which no other attempt can help.
FINAL_REASONS = frozenset({"cancelled", "duplicate"})


class Ending(NamedTuple):
    """How an attempt ended without a result.

    Attributes:
        stage: the stage's name.
        repeatable: whether the stage may run again in this request.
        outcome: `not_run`, `failed` or `unknown`, as in messages.Refusal.
        reason: one of messages.REFUSAL_REASONS.
        attempts: attempts made so far, this one included.
    """

    stage: str
    repeatable: bool
    outcome: str
    reason: str
    attempts: int


class Verdict(NamedTuple):
    """Whether to make another attempt, and in a word why not."""

    retry: bool
    reason: str = ""


class Budget:
    """A token bucket that is filled by first attempts.

    Attributes:
        tokens: retries that may be made now.
    """

    def __init__(self, share: float = BUDGET_SHARE):
        self._share = share
        self.tokens = BUDGET_LIMIT

    def note_first(self) -> None:
        """Adds what one first attempt allows."""
        self.tokens = min(BUDGET_LIMIT, self.tokens + self._share)

    def spend(self) -> bool:
        """Takes one retry; returns False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


Rule = Callable[[Ending, Budget, float, float], Verdict]

_policies: registry.Registry[Rule] = registry.Registry("retry policy")
register = _policies.register


@register("none")
def refuse_always(
    ending: Ending, budget: Budget, expected: float, remaining: float
) -> Verdict:
    """Baseline: never another attempt."""
    return Verdict(False, "policy")


@register("naive")
def allow_within_count(
    ending: Ending, budget: Budget, expected: float, remaining: float
) -> Verdict:
    """Baseline: a fixed number of attempts, whatever the cause."""
    if not _is_safe(ending):
        return Verdict(False, "not_repeatable")
    if ending.attempts >= ATTEMPTS_LIMIT:
        return Verdict(False, "attempts")
    return Verdict(remaining > 0, "late")


@register("budget")
def allow_within_budget(
    ending: Ending, budget: Budget, expected: float, remaining: float
) -> Verdict:
    """Within count, deadline and budget; never when the cause is overload."""
    if ending.reason in FINAL_REASONS:
        return Verdict(False, "final")
    if ending.reason in OVERLOAD_REASONS:
        return Verdict(False, "overload")
    if not _is_safe(ending):
        return Verdict(False, "not_repeatable")
    if ending.attempts >= ATTEMPTS_LIMIT:
        return Verdict(False, "attempts")
    if expected > remaining:
        return Verdict(False, "late")
    if not budget.spend():
        return Verdict(False, "budget")
    return Verdict(True)


class Retries:
    """The retry decisions of one entry, with a budget for each stage.

    Args:
        policy: the name of a registered policy.

    Raises:
        ValueError: no policy of that name is registered.
    """

    def __init__(self, policy: str = "budget"):
        self._rule = _policies.get(policy)
        self._budgets: dict[str, Budget] = {}

    def note_first(self, stage: str) -> None:
        """Takes in that a first attempt of a stage is being made."""
        self._get_budget(stage).note_first()

    def decide(
        self,
        ending: Ending,
        expected_seconds: float,
        remaining_seconds: float,
    ) -> Verdict:
        """Returns whether to try again, and takes it from the budget.

        Args:
            ending: how the last attempt ended.
            expected_seconds: what another endpoint and the stages after it
                should take (infinite if there is none).
            remaining_seconds: time left before the request's deadline.
        """
        budget = self._get_budget(ending.stage)
        return self._rule(ending, budget, expected_seconds, remaining_seconds)

    def read_budget(self, stage: str) -> float:
        """Returns how many retries the stage has left."""
        return self._get_budget(stage).tokens

    def _get_budget(self, stage: str) -> Budget:
        return self._budgets.setdefault(stage, Budget())


def _is_safe(ending: Ending) -> bool:
    """Returns whether another attempt cannot run anything twice in harm."""
    return ending.repeatable or ending.outcome == "not_run"
