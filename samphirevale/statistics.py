"""Counts of ended requests: attainment, outcomes and cost by stage.

Each entry counts the requests that it has answered since it started. The
counts of several entries can be summed, so any entry can report the totals.
"""

import contextlib
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple, TypedDict

from samphirevale import callers, errors, metrics

# The maximum number of keys per table. Later keys are counted together.
KEYS_LIMIT = 512

# Both parts of the key under which keys beyond the limit are counted.
OTHER = "other"

# The outcome of invalid requests. They are the caller's fault and are counted
# in the metrics only.
INVALID = "invalid"


class OutcomeCounts(NamedTuple):
    """The numbers of ended requests by outcome.

    Attributes:
        requests: all ended requests except invalid ones.
        in_time: requests with a complete answer within the deadline.
        not_run: requests with the outcome `not_run`.
        not_completed: requests with the outcome `not_completed`.
        unknown: requests with the outcome `unknown`.
    """

    requests: int = 0
    in_time: int = 0
    not_run: int = 0
    not_completed: int = 0
    unknown: int = 0

    @property
    def attainment(self) -> float | None:
        """The fraction answered in time; None if no request has ended."""
        return self.in_time / self.requests if self.requests else None


class StageCost(NamedTuple):
    """The cost of a stage.

    Attributes:
        attempts: the number of attempts handed over to sidecars.
        failed: the number of attempts that ended without a result.
        busy_ms: the endpoints' busy time for answers given in time.
        wasted_ms: the endpoints' busy time for all other work.
        tokens: the number of tokens in answers given in time.
        wasted_tokens: the number of all other generated tokens.
    """

    attempts: int = 0
    failed: int = 0
    busy_ms: float = 0.0
    wasted_ms: float = 0.0
    tokens: int = 0
    wasted_tokens: int = 0


class StatisticsValue(TypedDict):
    """The counts as JSON.

    Keys:
        outcomes: rows of pipeline, account and the fields of OutcomeCounts.
        costs: rows of stage, account and the fields of StageCost.
    """

    outcomes: list[list[Any]]
    costs: list[list[Any]]


# OutcomeCounts by pipeline and account, or StageCosts by stage and account.
_Table = dict[tuple[str, str], Any]


class Statistics:
    """The counts of one entry, or the sums over several entries."""

    def __init__(self) -> None:
        self._outcomes: _Table = {}
        self._costs: _Table = {}

    def record_request(
        self,
        request: callers.CallerRequest,
        answer: callers.Answer,
        uses: Sequence[callers.StageUsage],
        seconds: float,
    ) -> None:
        """Counts a request that has ended.

        Args:
            request: the request.
            answer: the final answer.
            uses: the cost of each stage, including failed stages; empty for a
                stored answer of an earlier run.
            seconds: the time from arrival to answer.
        """
        in_time = is_in_time(request, answer, seconds)
        _count_request(request, answer, in_time, seconds)
        counts = _build_counts(answer, in_time)
        _add(self._outcomes, (request.pipeline, request.account), counts)
        for use in uses:
            cost = _build_cost(use, in_time)
            _add(self._costs, (use.stage, request.account), cost)
            _count_stage_use(request.account, use, cost)

    def merge(self, other: "Statistics") -> None:
        """Adds the counts of another entry."""
        for table, added in (
            (self._outcomes, other._outcomes),
            (self._costs, other._costs),
        ):
            for key, counts in added.items():
                _add(table, key, counts)

    def to_value(self) -> StatisticsValue:
        """Returns the counts as a JSON value of bounded size."""
        return StatisticsValue(
            outcomes=[[*key, *item] for key, item in self._outcomes.items()],
            costs=[[*key, *item] for key, item in self._costs.items()],
        )

    @classmethod
    def from_value(cls, value: Any) -> "Statistics":
        """Parses the counts that another entry wrote.

        Raises:
            errors.InvalidInputError: the value is not a StatisticsValue.
        """
        built = cls()
        try:
            _read_rows(built._outcomes, OutcomeCounts, value["outcomes"])
            _read_rows(built._costs, StageCost, value["costs"])
        except (KeyError, TypeError, ValueError) as error:
            finding = errors.Finding("statistics", "rows of counts", str(error))
            raise errors.InvalidInputError([finding]) from error
        return built

    def sum_outcomes(self) -> OutcomeCounts:
        """Returns the outcomes of all requests."""
        sums = _sum_by(self._outcomes, lambda first, account: "")
        return sums.get("", OutcomeCounts())

    def sum_by_pipeline(self) -> dict[str, OutcomeCounts]:
        """Returns the outcomes by pipeline."""
        return _sum_by(self._outcomes, lambda pipeline, account: pipeline)

    def sum_by_account(self) -> dict[str, OutcomeCounts]:
        """Returns the outcomes by account."""
        return _sum_by(self._outcomes, lambda pipeline, account: account)

    def sum_cost_by_stage(self) -> dict[str, StageCost]:
        """Returns the cost by stage."""
        return _sum_by(self._costs, lambda stage, account: stage)

    def sum_cost_by_account(self) -> dict[str, StageCost]:
        """Returns the cost by account."""
        return _sum_by(self._costs, lambda stage, account: account)


@contextlib.contextmanager
def count_running(pipeline: str) -> Iterator[None]:
    """Counts a request as in flight while the block runs."""
    gauge = metrics.REQUESTS_RUNNING.labels(pipeline=pipeline)
    gauge.inc()
    try:
        yield
    finally:
        gauge.dec()


def is_in_time(
    request: callers.CallerRequest, answer: callers.Answer, seconds: float
) -> bool:
    """Returns whether a complete answer was given within the deadline."""
    is_complete = isinstance(answer, callers.CompleteAnswer)
    return is_complete and seconds * 1000 <= request.deadline_ms


def _build_counts(answer: callers.Answer, in_time: bool) -> OutcomeCounts:
    if isinstance(answer, callers.CompleteAnswer):
        return OutcomeCounts(requests=1, in_time=int(in_time))
    if answer.outcome == INVALID:
        return OutcomeCounts()
    return OutcomeCounts(requests=1)._replace(**{answer.outcome: 1})


def _build_cost(use: callers.StageUsage, in_time: bool) -> StageCost:
    cost = StageCost(
        use.attempts,
        use.failed,
        use.busy_ms,
        use.wasted_ms,
        use.tokens,
        use.wasted_tokens,
    )
    if in_time:
        return cost
    return cost._replace(
        busy_ms=0.0,
        wasted_ms=cost.wasted_ms + cost.busy_ms,
        tokens=0,
        wasted_tokens=cost.wasted_tokens + cost.tokens,
    )


def _count_request(
    request: callers.CallerRequest,
    answer: callers.Answer,
    in_time: bool,
    seconds: float,
) -> None:
    """Counts a request in the process's metrics."""
    is_complete = isinstance(answer, callers.CompleteAnswer)
    outcome = "whole" if is_complete else answer.outcome
    pipeline = request.pipeline
    metrics.REQUESTS.labels(pipeline=pipeline, outcome=outcome).inc()
    metrics.REQUEST_SECONDS.labels(pipeline=pipeline).observe(seconds)
    if in_time:
        metrics.REQUESTS_IN_TIME.labels(pipeline=pipeline).inc()


def _count_stage_use(
    account: str, use: callers.StageUsage, cost: StageCost
) -> None:
    """Counts a stage's cost in the process's metrics."""
    stage = use.stage
    metrics.HANDOVERS.labels(stage=stage).inc(use.attempts)
    metrics.STAGE_SECONDS.labels(stage=stage).observe(use.seconds)
    metrics.count_cost(stage, account, "whole", cost.busy_ms, cost.tokens)
    metrics.count_cost(
        stage, account, "wasted", cost.wasted_ms, cost.wasted_tokens
    )


def _add(table: _Table, key: tuple[str, str], counts: Any) -> None:
    if key not in table and len(table) >= KEYS_LIMIT:
        key = (OTHER, OTHER)
    existing = table.get(key)
    table[key] = counts if existing is None else _add_counts(existing, counts)


def _add_counts(left: Any, right: Any) -> Any:
    return type(left)(*(a + b for a, b in zip(left, right, strict=True)))


def _sum_by(
    table: _Table, choose_name: Callable[[str, str], str]
) -> dict[str, Any]:
    sums: dict[str, Any] = {}
    for key, counts in table.items():
        name = choose_name(*key)
        existing = sums.get(name)
        sums[name] = (
            counts if existing is None else _add_counts(existing, counts)
        )
    return sums


def _read_rows(table: _Table, row_type: type, rows: list[list[Any]]) -> None:
    for first, account, *numbers in rows:
        counts = row_type(*numbers)
        if not all(isinstance(number, int | float) for number in counts):
            raise ValueError(f"no numbers: {numbers}"[:80])
        _add(table, (str(first), str(account)), counts)
