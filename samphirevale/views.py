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

# Values of the column `heard`: whether the counts include all entries.
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
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    """Returns the rows of a query's table, without its filters applied.

    Raises:
        errors.InvalidInputError: the query refers to a missing object.
    """
    return _builders[query.subject, query.group](view, query)


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
    held = value["batches"].get(batch)
    if held is None or held["state"] != "recalled":
        got = f"{batch} {held['state']}" if held else batch
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
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (
            sighting.name,
            sighting.role,
            sighting.data_centre,
            sighting.state,
            sighting.revision,
            _round_ms(sighting.age_ms),
        )
        for sighting in [
            *observations.list_entries(view),
            *observations.list_sidecars(view),
        ]
    ]


@register("recall")
def _build_recall(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    revision = find_recall_revision(view.value, query.batch)
    return [
        (
            sighting.name,
            sighting.role,
            _get_recall_state(sighting, revision),
            sighting.revision,
            _round_ms(sighting.age_ms),
        )
        for sighting in [
            *observations.list_entries(view),
            *observations.list_sidecars(view),
        ]
    ]


def _get_recall_state(sighting: observations.Observation, revision: int) -> str:
    # A node's revision never decreases, so a confirmation stays valid when
    # the instance is no longer heard.
    if sighting.revision is not None and sighting.revision >= revision:
        return "confirmed"
    return "not confirmed" if sighting.is_fresh else observations.NOT_HEARD


@register("endpoints")
def _build_endpoints(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    rows = [
        _build_endpoint(sighting)
        for sighting in observations.list_sidecars(view)
        if sighting.sidecar["endpoint"]
    ]
    return sorted(rows, key=lambda row: (row[1], row[0]))


def _build_endpoint(sighting: observations.Observation) -> Row:
    item = sighting.sidecar
    head = (item["endpoint"], item["pool"], item["data_centre"], sighting.state)
    if not sighting.is_fresh:
        return (*head, None, None, None, None, None, [])
    return (
        *head,
        item["running"],
        item["waiting"],
        item["limit"],
        round(item["service_ms"], 1),
        round(item["wait_ms"], 1),
        sorted(item["batches"]),
    )


@register("batches")
def _build_batches(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    heard = [
        sighting
        for sighting in observations.list_sidecars(view)
        if sighting.is_fresh
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
                sighting.sidecar["endpoint"]
                for sighting in heard
                if name in sighting.sidecar["batches"]
            ),
        )
        for name, batch in sorted(view.value["batches"].items())
    ]


@register("pipelines")
def _build_pipelines(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (
            name,
            "stopped" if pipeline["stopped"] else "serving",
            pipeline["deadline_ms"],
            [stage["name"] for stage in pipeline["stages"]],
        )
        for name, pipeline in sorted(view.value["pipelines"].items())
    ]


@register("accounts")
def _build_accounts(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    accounts = sorted(view.value["accounts"].items())
    return [(name, account["share"]) for name, account in accounts]


@register("orders")
def _build_orders(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    return [
        (record["id"], record["text"], record["revision"])
        for record in view.value["orders"]
    ]


@register("configuration")
def _build_configuration(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    value = view.value
    return [
        ("store", "heard" if view.is_current else observations.NOT_HEARD),
        ("revision", value["revision"]),
        ("pipelines", sorted(value["pipelines"])),
        ("accounts", sorted(value["accounts"])),
        ("batches", sorted(value["batches"])),
        ("draining", sorted(value["draining"])),
    ]


def merge_statistics(
    view: observations.ObservationSources,
) -> statistics.Statistics:
    """Returns the sum of the counts of all known entries."""
    merged = statistics.Statistics()
    for status in [view.own, *view.others]:
        merged.merge(statistics.Statistics.from_value(status["statistics"]))
    return merged


def _build_freshness(view: observations.ObservationSources) -> Row:
    """Returns whether the counts include all entries, and their maximum age."""
    entries = observations.list_entries(view)
    is_whole = all(sighting.is_fresh for sighting in entries)
    oldest_ms = max(sighting.age_ms or 0.0 for sighting in entries)
    return (HEARD_ALL if is_whole else HEARD_PART, _round_ms(oldest_ms))


def _format_outcomes(counts: statistics.OutcomeCounts, heard: Row) -> Row:
    attainment = counts.attainment
    return (
        counts.requests,
        counts.in_time,
        None if attainment is None else round(attainment, 4),
        counts.not_run,
        counts.not_completed,
        counts.unknown,
        *heard,
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
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    counts = merge_statistics(view).sum_outcomes()
    return [_format_outcomes(counts, _build_freshness(view))]


@register("requests", "pipeline")
def _build_requests_by_pipeline(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    heard = _build_freshness(view)
    sums = merge_statistics(view).sum_by_pipeline()
    return [
        (name, *_format_outcomes(counts, heard))
        for name, counts in sorted(sums.items())
    ]


@register("requests", "account")
def _build_requests_by_account(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    heard = _build_freshness(view)
    merged = merge_statistics(view)
    costs = merged.sum_cost_by_account()
    no_cost = statistics.StageCost()
    return [
        (
            name,
            *_format_outcomes(counts, heard),
            *_format_cost(costs.get(name, no_cost)),
        )
        for name, counts in sorted(merged.sum_by_account().items())
    ]


@register("requests", "stage")
def _build_requests_by_stage(
    view: observations.ObservationSources, query: language.Show
) -> list[Row]:
    heard = _build_freshness(view)
    costs = merge_statistics(view).sum_cost_by_stage()
    return [
        (name, cost.attempts, cost.failed, *_format_cost(cost), *heard)
        for name, cost in sorted(costs.items())
    ]
