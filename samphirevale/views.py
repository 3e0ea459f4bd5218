"""The tables that operators are shown, from what the entries know."""

import math
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from samphirevale import (
    configuration,
    errors,
    language,
    orders,
    statistics,
    statuses,
)

# The state of an instance whose present state is not known.
NOT_HEARD = "not heard"

# Stands for the entries whose names are not known while the store is down.
OTHER_ENTRIES = "other entries"

# The target of the order that loads a whole configuration.
LOAD_TARGET = "configuration"

# What the column `heard` of counts says: whether all entries are in them.
HEARD_ALL = "all"
HEARD_PART = "part"


class View(NamedTuple):
    """What an entry knows when it answers.

    Attributes:
        value: the configuration.
        own: the entry's own status, as it is now.
        others: the latest statuses of the other entries.
        is_current: the store has just told them; False if it is down and
            they are those of an earlier answer.
        wall_now: wall-clock seconds.
        suspect_ms: silence after which a sidecar counts as not heard.
    """

    value: configuration.ConfigurationValue
    own: statuses.EntryStatus
    others: list[statuses.EntryStatus]
    is_current: bool
    wall_now: float
    suspect_ms: float


class Sighting(NamedTuple):
    """An instance as somebody has last seen it.

    Attributes:
        name: its instance name.
        role: `entry` or `sidecar`.
        data_centre: where it runs.
        revision: the configuration revision that it held; None if unknown.
        age_ms: time since it was heard; None if it never was.
        is_heard: what is known of it holds for the present.
        leaving: it takes no new work.
        draining: it takes none because an order says so.
        sidecar: the sidecar's status; None for an entry.
    """

    name: str
    role: str
    data_centre: str
    revision: int | None
    age_ms: float | None
    is_heard: bool
    leaving: bool
    draining: bool
    sidecar: statuses.SidecarStatus | None

    @property
    def state(self) -> str:
        """What operators are told of it, in one word or two."""
        if not self.is_heard:
            return NOT_HEARD
        # A sidecar that drains says that it is leaving, for the same effect.
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        if self.sidecar is not None and not self.sidecar["healthy"]:
            return "unhealthy"
        return "serving"


Row = tuple[Any, ...]
Builder = Callable[[View, language.Show], list[Row]]

# The builders by subject and group.
_builders: dict[tuple[str, str], Builder] = {}


def register(subject: str, group: str = "") -> Callable[[Builder], Builder]:
    """Makes a function the builder of a subject's rows."""

    def add(builder: Builder) -> Builder:
        _builders[subject, group] = builder
        return builder

    return add


def list_builders() -> set[tuple[str, str]]:
    """Returns every subject and group that can be shown."""
    return set(_builders)


def build_rows(view: View, query: language.Show) -> list[Row]:
    """Returns the rows of a query's whole table.

    Raises:
        errors.InvalidInputError: it asks for what is not there.
    """
    return _builders[query.subject, query.group](view, query)


def list_entries(view: View) -> list[Sighting]:
    """Returns the entries, this one first."""
    own = view.own
    found = [_sight_entry(own, 0.0, True)]
    for status in sorted(view.others, key=lambda item: item["instance"]):
        age_seconds = max(view.wall_now - status["written_at"], 0.0)
        is_heard = view.is_current and _is_fresh(status, view.wall_now)
        found.append(_sight_entry(status, age_seconds * 1000, is_heard))
    if not view.is_current:
        found.append(_sight_nobody())
    return found


def _is_fresh(status: statuses.EntryStatus, wall_now: float) -> bool:
    age_seconds = abs(wall_now - status["written_at"])
    return age_seconds <= statuses.NOT_HEARD_SECONDS


def _sight_entry(
    status: statuses.EntryStatus, age_ms: float, is_heard: bool
) -> Sighting:
    return Sighting(
        status["instance"],
        "entry",
        status["data_centre"],
        status["revision"],
        age_ms,
        is_heard,
        status["leaving"],
        False,
        None,
    )


def _sight_nobody() -> Sighting:
    return Sighting(
        OTHER_ENTRIES, "entry", "", None, None, False, False, False, None
    )


def list_sidecars(view: View) -> list[Sighting]:
    """Returns each sidecar as it was last seen by any entry, by name."""
    latest: dict[str, Sighting] = {}
    for seen in _iterate_sidecars(view):
        held = latest.get(seen.name)
        if held is None or _rank(seen) < _rank(held):
            latest[seen.name] = seen
    return [latest[name] for name in sorted(latest)]


def _iterate_sidecars(view: View) -> Iterator[Sighting]:
    for item in view.own["sidecars"]:
        yield _sight_sidecar(view, item, 0.0, True)
    for status in view.others:
        age_ms = max(view.wall_now - status["written_at"], 0.0) * 1000
        is_fresh = view.is_current and _is_fresh(status, view.wall_now)
        for item in status["sidecars"]:
            yield _sight_sidecar(view, item, age_ms, is_fresh)


def _sight_sidecar(
    view: View,
    item: statuses.SidecarStatus,
    written_age_ms: float,
    is_fresh: bool,
) -> Sighting:
    heard_ms = item["heard_age_ms"]
    is_heard = heard_ms is not None and heard_ms <= view.suspect_ms
    return Sighting(
        item["instance"],
        "sidecar",
        item["data_centre"],
        None if heard_ms is None else item["revision"],
        None if heard_ms is None else heard_ms + written_age_ms,
        is_fresh and is_heard and item["connected"],
        item["leaving"],
        item["endpoint"] in view.value["draining"],
        item,
    )


def _rank(seen: Sighting) -> tuple[bool, float]:
    """Orders sightings of one instance, the one to believe first."""
    age_ms = math.inf if seen.age_ms is None else seen.age_ms
    return not seen.is_heard, age_ms


def find_recall(value: configuration.ConfigurationValue, batch: str) -> int:
    """Returns a revision from which on a batch is recalled.

    That is the revision of its first recall that is still recorded. Without
    one it is that of the oldest record, which is later than the recall, or
    that of the latest load of a whole configuration.

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
    target = orders.name_target(recall)
    records = value["orders"]
    for record in records:
        if record["target"] == target:
            return record["revision"]
    # A load of a whole configuration may have recalled it too.
    later = [
        record["revision"]
        for record in records
        if record["target"] == LOAD_TARGET or record is records[0]
    ]
    return max(later, default=value["revision"])


def _round_ms(age_ms: float | None) -> int | None:
    return None if age_ms is None else round(age_ms)


@register("instances")
def _build_instances(view: View, query: language.Show) -> list[Row]:
    return [
        (
            seen.name,
            seen.role,
            seen.data_centre,
            seen.state,
            seen.revision,
            _round_ms(seen.age_ms),
        )
        for seen in [*list_entries(view), *list_sidecars(view)]
    ]


@register("recall")
def _build_recall(view: View, query: language.Show) -> list[Row]:
    revision = find_recall(view.value, query.batch)
    return [
        (
            seen.name,
            seen.role,
            _judge_recall(seen, revision),
            seen.revision,
            _round_ms(seen.age_ms),
        )
        for seen in [*list_entries(view), *list_sidecars(view)]
    ]


def _judge_recall(seen: Sighting, revision: int) -> str:
    # A node never goes back to a lower revision, so that a confirmation
    # holds also when the instance is not heard any more.
    if seen.revision is not None and seen.revision >= revision:
        return "confirmed"
    return "not confirmed" if seen.is_heard else NOT_HEARD


@register("endpoints")
def _build_endpoints(view: View, query: language.Show) -> list[Row]:
    rows = [
        _build_endpoint(seen)
        for seen in list_sidecars(view)
        if seen.sidecar["endpoint"]
    ]
    return sorted(rows, key=lambda row: (row[1], row[0]))


def _build_endpoint(seen: Sighting) -> Row:
    item = seen.sidecar
    head = (item["endpoint"], item["pool"], item["data_centre"], seen.state)
    if not seen.is_heard:
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
def _build_batches(view: View, query: language.Show) -> list[Row]:
    heard = [seen for seen in list_sidecars(view) if seen.is_heard]
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
                seen.sidecar["endpoint"]
                for seen in heard
                if name in seen.sidecar["batches"]
            ),
        )
        for name, batch in sorted(view.value["batches"].items())
    ]


@register("pipelines")
def _build_pipelines(view: View, query: language.Show) -> list[Row]:
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
def _build_accounts(view: View, query: language.Show) -> list[Row]:
    accounts = sorted(view.value["accounts"].items())
    return [(name, account["share"]) for name, account in accounts]


@register("orders")
def _build_orders(view: View, query: language.Show) -> list[Row]:
    return [
        (record["id"], record["text"], record["revision"])
        for record in view.value["orders"]
    ]


@register("configuration")
def _build_configuration(view: View, query: language.Show) -> list[Row]:
    value = view.value
    return [
        ("revision", value["revision"]),
        ("pipelines", sorted(value["pipelines"])),
        ("accounts", sorted(value["accounts"])),
        ("batches", sorted(value["batches"])),
        ("draining", sorted(value["draining"])),
    ]


def merge_statistics(view: View) -> statistics.Statistics:
    """Returns the counts of all entries that are known."""
    merged = statistics.Statistics()
    for status in [view.own, *view.others]:
        merged.merge(statistics.Statistics.from_value(status["statistics"]))
    return merged


def _judge_counts(view: View) -> Row:
    """Returns whether all entries are counted, and how old the counts are."""
    entries = list_entries(view)
    is_whole = all(seen.is_heard for seen in entries)
    oldest_ms = max(seen.age_ms or 0.0 for seen in entries)
    return (HEARD_ALL if is_whole else HEARD_PART, _round_ms(oldest_ms))


def _list_outcomes(counts: statistics.OutcomeCounts, heard: Row) -> Row:
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


def _list_cost(cost: statistics.StageCost) -> Row:
    return (
        round(cost.busy_ms, 1),
        round(cost.wasted_ms, 1),
        cost.tokens,
        cost.wasted_tokens,
    )


@register("requests")
def _build_requests(view: View, query: language.Show) -> list[Row]:
    counts = merge_statistics(view).sum_outcomes()
    return [_list_outcomes(counts, _judge_counts(view))]


@register("requests", "pipeline")
def _build_requests_by_pipeline(view: View, query: language.Show) -> list[Row]:
    heard = _judge_counts(view)
    sums = merge_statistics(view).sum_by_pipeline()
    return [
        (name, *_list_outcomes(counts, heard))
        for name, counts in sorted(sums.items())
    ]


@register("requests", "account")
def _build_requests_by_account(view: View, query: language.Show) -> list[Row]:
    heard = _judge_counts(view)
    merged = merge_statistics(view)
    costs = merged.sum_cost_by_account()
    nothing = statistics.StageCost()
    return [
        (
            name,
            *_list_outcomes(counts, heard),
            *_list_cost(costs.get(name, nothing)),
        )
        for name, counts in sorted(merged.sum_by_account().items())
    ]


@register("requests", "stage")
def _build_requests_by_stage(view: View, query: language.Show) -> list[Row]:
    heard = _judge_counts(view)
    costs = merge_statistics(view).sum_cost_by_stage()
    return [
        (name, cost.attempts, cost.failed, *_list_cost(cost), *heard)
        for name, cost in sorted(costs.items())
    ]
