"""Builds the tables that answer operators' queries."""

from collections.abc import Callable
from typing import Any

from samphirevale import (
    configuration,
    errors,
    language,
    observations,
    orders,
    statistics,
)

# The target of the order that loads a whole configuration.
LOAD_TARGET = "configuration"

# Values of the column `heard`: whether the counts of all entries are recent.
HEARD_ALL = "all"
HEARD_PART = "part"


Row = tuple[Any, ...]
Builder = Callable[[observations.ObservationSources, language.Show], list[Row]]

# Registered builders by subject and group.
_builders: dict[tuple[str, str], Builder] = {}


def register(subject: str, group: str = "") -> Callable[[Builder], Builder]:
    """Registers a function that builds the rows of a subject."""

    def add(builder: Builder) -> Builder:
        _builders[subject, group] = builder
        return builder

    return add


def list_builders() -> set[tuple[str, str]]:
    """Returns all pairs of subject and group that have a builder."""
    return set(_builders)


def build_rows(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    """Returns the rows of a query's table, without its filters applied.

    Raises:
        errors.InvalidInputError: the query refers to a missing object.
    """
    return _builders[query.subject, query.group](sources, query)


def find_recall_revision(
    value: configuration.ConfigurationValue, batch: str
) -> int:
    """Returns a revision from which on a batch is known to be recalled.

    This is the revision of the first recorded recall of the batch. If no
    recall is recorded, it is the revision of the oldest record, which is later
    than the recall, or that of the latest load of a whole configuration.

    Raises:
        errors.InvalidInputError: the batch is not recalled.
    """
    found = value["batches"].get(batch)
    if found is None or found["state"] != "recalled":
        got = f"{batch} {found['state']}" if found else batch
        raise errors.InvalidInputError(
            [errors.Finding("batch", "a recalled batch", got)]
        )
    recall = orders.Order("", "recall", {"batch": batch}, "")
    target = orders.format_target(recall)
    records = value["orders"]
    for record in records:
        if record["target"] == target:
            return record["revision"]
    # A load of a whole configuration can also have recalled the batch.
    later = [
        record["revision"]
        for record in records
        if record["target"] == LOAD_TARGET or record is records[0]
    ]
    return max(later, default=value["revision"])


def _round_ms(age_ms: float | None) -> int | None:
    return None if age_ms is None else round(age_ms)


@register("instances")
def _build_instances(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (
            observation.name,
            observation.role,
            observation.data_centre,
            observation.state,
            observation.revision,
            _round_ms(observation.age_ms),
        )
        for observation in [
            *observations.list_entries(sources),
            *observations.list_sidecars(sources),
        ]
    ]


@register("recall")
def _build_recall(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    revision = find_recall_revision(sources.value, query.batch)
    return [
        (
            observation.name,
            observation.role,
            _get_recall_state(observation, revision),
            observation.revision,
            _round_ms(observation.age_ms),
        )
        for observation in [
            *observations.list_entries(sources),
            *observations.list_sidecars(sources),
        ]
    ]


def _get_recall_state(
    observation: observations.Observation, revision: int
) -> str:
    # An instance's revision never decreases, so a confirmation stays valid
    # when its state is no longer fresh.
    if observation.revision is not None and observation.revision >= revision:
        return "confirmed"
    return "not confirmed" if observation.is_fresh else observations.NOT_HEARD


@register("endpoints")
def _build_endpoints(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    rows = [
        _build_endpoint(observation)
        for observation in observations.list_sidecars(sources)
        if observation.sidecar["endpoint"]
    ]
    return sorted(rows, key=lambda row: (row[1], row[0]))


def _build_endpoint(observation: observations.Observation) -> Row:
    sidecar = observation.sidecar
    head = (
        sidecar["endpoint"],
        sidecar["pool"],
        sidecar["data_centre"],
        observation.state,
    )
    if not observation.is_fresh:
        return (*head, None, None, None, None, None, [])
    return (
        *head,
        sidecar["running"],
        sidecar["waiting"],
        sidecar["limit"],
        round(sidecar["service_ms"], 1),
        round(sidecar["wait_ms"], 1),
        sorted(sidecar["batches"]),
    )


@register("batches")
def _build_batches(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    fresh = [
        observation
        for observation in observations.list_sidecars(sources)
        if observation.is_fresh
    ]
    return [
        (
            name,
            batch["model"],
            batch["version"],
            batch["adapter"],
            batch["pool"],
            batch["state"],
            batch["order"],
            sorted(
                observation.sidecar["endpoint"]
                for observation in fresh
                if name in observation.sidecar["batches"]
            ),
        )
        for name, batch in sorted(sources.value["batches"].items())
    ]


@register("pipelines")
def _build_pipelines(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (
            name,
            "stopped" if pipeline["stopped"] else "serving",
            pipeline["deadline_ms"],
            [stage["name"] for stage in pipeline["stages"]],
        )
        for name, pipeline in sorted(sources.value["pipelines"].items())
    ]


@register("accounts")
def _build_accounts(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    accounts = sorted(sources.value["accounts"].items())
    return [(name, account["share"]) for name, account in accounts]


@register("orders")
def _build_orders(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (record["id"], record["text"], record["revision"])
        for record in sources.value["orders"]
    ]


@register("configuration")
def _build_configuration(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    value = sources.value
    return [
        ("store", "heard" if sources.is_current else observations.NOT_HEARD),
        ("revision", value["revision"]),
        ("pipelines", sorted(value["pipelines"])),
        ("accounts", sorted(value["accounts"])),
        ("batches", sorted(value["batches"])),
        ("draining", sorted(value["draining"])),
        ("cordoned", sorted(configuration.list_cordoned(value))),
    ]


def merge_statistics(
    sources: observations.ObservationSources,
) -> statistics.Statistics:
    """Returns the sum of the counts of all known entries."""
    merged = statistics.Statistics()
    for status in [sources.own, *sources.others]:
        merged.merge(statistics.Statistics.from_value(status["statistics"]))
    return merged


def _build_freshness(sources: observations.ObservationSources) -> Row:
    """Returns whether all entries' counts are recent, and their maximum age."""
    entries = observations.list_entries(sources)
    is_complete = all(observation.is_fresh for observation in entries)
    oldest_ms = max(observation.age_ms or 0.0 for observation in entries)
    return (HEARD_ALL if is_complete else HEARD_PART, _round_ms(oldest_ms))


def _format_outcomes(counts: statistics.OutcomeCounts, freshness: Row) -> Row:
    attainment = counts.attainment
    return (
        counts.requests,
        counts.in_time,
        None if attainment is None else round(attainment, 4),
        counts.not_run,
        counts.not_completed,
        counts.unknown,
        *freshness,
    )


def _format_cost(cost: statistics.StageCost) -> Row:
    return (
        round(cost.busy_ms, 1),
        round(cost.wasted_ms, 1),
        cost.tokens,
        cost.wasted_tokens,
    )


@register("requests")
def _build_requests(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    counts = merge_statistics(sources).sum_outcomes()
    return [_format_outcomes(counts, _build_freshness(sources))]


@register("requests", "pipeline")
def _build_requests_by_pipeline(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    freshness = _build_freshness(sources)
    sums = merge_statistics(sources).sum_by_pipeline()
    return [
        (name, *_format_outcomes(counts, freshness))
        for name, counts in sorted(sums.items())
    ]


@register("requests", "account")
def _build_requests_by_account(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    freshness = _build_freshness(sources)
    merged = merge_statistics(sources)
    costs = merged.sum_cost_by_account()
    no_cost = statistics.StageCost()
    return [
        (
            name,
            *_format_outcomes(counts, freshness),
            *_format_cost(costs.get(name, no_cost)),
        )
        for name, counts in sorted(merged.sum_by_account().items())
    ]


@register("requests", "stage")
def _build_requests_by_stage(
    sources: observations.ObservationSources, query: language.Show
) -> list[Row]:
    freshness = _build_freshness(sources)
    costs = merge_statistics(sources).sum_cost_by_stage()
    return [
        (name, cost.attempts, cost.failed, *_format_cost(cost), *freshness)
        for name, cost in sorted(costs.items())
    ]
