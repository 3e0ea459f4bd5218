"""Batches: which one serves new requests, and which ones engines load.

A recall is final: `configuration.adopt` preserves it against older snapshots,
and no order reverts it. Sidecars check each handover with `find_refusal`.
Entries and sidecars also check for a recall while an answer arrives.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from samphirevale import configuration, leases

# Number of a model's newest serving batches that an engine keeps loaded: the
# one for new requests, and the fallback in case that one is recalled.
LOADED_BATCHES_LIMIT = 2

# Maximum number of engines of a pool that load weights at the same time.
TICKETS_LIMIT = 2

# Lease duration of a ticket, after which that of a failed engine is free.
TICKET_SECONDS = 6.0


class EngineOrder(NamedTuple):
    """An order for a sidecar to send to its engine.

    Attributes:
        verb: `load`, which requires a ticket, or `unload`.
        batch: the batch's id.
    """

    verb: str
    batch: str


class Report(NamedTuple):
    """The last report of an instance.

    Attributes:
        instance: the instance's name.
        revision: the instance's configuration revision.
        batches: the batches loaded on its endpoint.
        received_at: when the report arrived, in monotonic seconds.
    """

    instance: str
    revision: int
    batches: Collection[str]
    received_at: float


class RecallProgress(NamedTuple):
    """The names of the instances by their progress with a recall.

    Attributes:
        confirmed: have the recall's configuration, and the batch unloaded.
        loaded: have the recall's configuration, but the batch still loaded.
        behind: have reported recently, with an older configuration.
        not_reported: have not reported recently.
    """

    confirmed: list[str]
    loaded: list[str]
    behind: list[str]
    not_reported: list[str]


def find_refusal(
    value: configuration.ConfigurationValue | None, batch: str
) -> str:
    """Returns the reason why a batch may not serve; empty if it may.

    The reason is one of `messages.REFUSAL_REASONS`. A batch that is not in
    this node's configuration is refused as `no_configuration`.
    """
    if value is None or batch not in value["batches"]:
        return "no_configuration"
    recalled = value["batches"][batch]["state"] == "recalled"
    return "recalled" if recalled else ""


def list_serving(
    value: configuration.ConfigurationValue, model: str, pool: str
) -> list[str]:
    """Returns the serving batches of a model in a pool, newest first."""
    serving = [
        (batch["order"], name)
        for name, batch in value["batches"].items()
        if batch["state"] == "serving"
        and batch["model"] == model
        and batch["pool"] == pool
    ]
    return [name for _, name in sorted(serving, reverse=True)]


def choose_batch(
    value: configuration.ConfigurationValue,
    model: str,
    pool: str,
    loaded: Collection[str],
) -> str | None:
    """Returns the batch for new requests.

    Args:
        value: the configuration.
        model: the stage's model.
        pool: the stage's pool.
        loaded: the batches loaded on at least one engine that may get new
            work.

    Returns:
        The newest batch that is serving and loaded, or None.
    """
    serving = list_serving(value, model, pool)
    return next((name for name in serving if name in loaded), None)


def list_wanted(
    value: configuration.ConfigurationValue, pool: str
) -> list[str]:
    """Returns the batches that an engine of a pool should have loaded.

    The batches for new requests come first.
    """
    models = {
        batch["model"]
        for batch in value["batches"].values()
        if batch["pool"] == pool
    }
    ranked = [
        (rank, name)
        for model in sorted(models)
        for rank, name in enumerate(list_serving(value, model, pool))
        if rank < LOADED_BATCHES_LIMIT
    ]
    return [name for _, name in sorted(ranked)]


def decide_engine_order(
    value: configuration.ConfigurationValue,
    pool: str,
    loaded: Collection[str],
) -> EngineOrder | None:
    """Returns the next order for an engine, or None if there is none.

    Call this again after each order, with the batches that the engine then
    reports. Recalled batches are unloaded first. Outdated batches are
    unloaded once all wanted ones are loaded.
    """
    wanted = list_wanted(value, pool)
    for name in sorted(loaded):
        if find_refusal(value, name) == "recalled":
            return EngineOrder("unload", name)
    for name in wanted:
        if name not in loaded:
            return EngineOrder("load", name)
    for name in sorted(loaded):
        # An unknown batch may belong to a later configuration.
        if name not in wanted and name in value["batches"]:
            return EngineOrder("unload", name)
    return None


def count_tickets(engines: int, limit: int = TICKETS_LIMIT) -> int:
    """Returns how many engines of a pool may load weights at the same time.

    At least one engine keeps serving, unless the pool has only one.
    """
    return max(1, min(limit, engines - 1))


def build_ticket(
    pool: str, endpoint: str, holder: str, token: str, tickets: int
) -> leases.Contender:
    """Returns the contender for an endpoint's ticket to load weights.

    A ticket is a lease: acquire it before a load, hold it during the load,
    release it afterwards. All sidecars of a pool must pass the same value of
    `tickets`, from `count_tickets`. Each endpoint always uses the same
    ticket.
    """
    digest = hashlib.sha256(endpoint.encode()).digest()
    number = int.from_bytes(digest[:8], "big") % tickets
    return leases.Contender(
        endpoint=f"rollout:{pool}:{number}",
        holder=holder,
        token=token,
        duration_seconds=TICKET_SECONDS,
        order_seconds=0.0,
    )


def find_recall_revision(
    value: configuration.ConfigurationValue, batch: str
) -> int:
    """Returns the revision of a batch's recall.

    If the recall is no longer among the recorded orders, this is the present
    revision.
    """
    target = f"batches.{batch}"
    for record in value["orders"]:
        if record["target"] == target:
            return record["revision"]
    return value["revision"]


def classify_by_recall(
    reports: Mapping[str, Report],
    expected: Iterable[str],
    revision: int,
    batch: str,
    received_since: float,
) -> RecallProgress:
    """Sorts the instances by their progress with a recall.

    Args:
        reports: the last report of each instance.
        expected: all known instances.
        revision: the revision of the recall.
        batch: the recalled batch.
        received_since: time of the oldest report that counts, in monotonic
            seconds.
    """
    result = RecallProgress([], [], [], [])
    for name in sorted({*reports, *expected}):
        report = reports.get(name)
        if report is None or report.received_at < received_since:
            result.not_reported.append(name)
        elif report.revision < revision:
            result.behind.append(name)
        elif batch in report.batches:
            result.loaded.append(name)
        else:
            result.confirmed.append(name)
    return result
