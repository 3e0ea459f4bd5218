"""Batches: which one takes new requests, and what an engine loads.

A recall is final: `configuration.adopt` keeps it against older snapshots,
and no order turns it back. Entry and sidecar both call `find_refusal`, before
the hand-over and on the answer.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from samphirevale import configuration, leases

# How many of a model's newest serving batches an engine keeps loaded: the
# one that takes new requests, and the one to fall back to when it is
# recalled.
KEPT_BATCHES = 2

# The most engines of a pool that load weights at once.
TICKETS_LIMIT = 2

# How long the ticket of an engine that has died stays taken, in seconds.
TICKET_SECONDS = 6.0


class EngineOrder(NamedTuple):
    """An order that an engine's sidecar is to give now.

    Attributes:
        verb: `load` (with a ticket only) or `unload`.
        batch: the batch's id.
    """

    verb: str
    batch: str


class Report(NamedTuple):
    """What an instance last said of itself.

    Attributes:
        instance: its name.
        revision: its configuration revision.
        batches: the batches that its endpoint has loaded.
        heard_at: monotonic seconds.
    """

    instance: str
    revision: int
    batches: Collection[str]
    heard_at: float


class Confirmation(NamedTuple):
    """Who has confirmed a recall, by instance name.

    Attributes:
        confirmed: knows of the recall and has the batch unloaded.
        loaded: knows of it, and the batch is still to be unloaded.
        behind: heard lately, with an older configuration.
        unheard: not heard lately.
    """

    confirmed: list[str]
    loaded: list[str]
    behind: list[str]
    unheard: list[str]


def find_refusal(
    value: configuration.ConfigurationValue | None, batch: str
) -> str:
    """Returns why a batch may not serve, empty if it may.

    The reasons are of `messages.REFUSAL_REASONS`. A batch that this node has
    not heard of is refused as `no_configuration`.
    """
    if value is None or batch not in value["batches"]:
        return "no_configuration"
    recalled = value["batches"][batch]["state"] == "recalled"
    return "recalled" if recalled else ""


def list_serving(
    value: configuration.ConfigurationValue, model: str, pool: str
) -> list[str]:
    """Returns the serving batches of a model in a pool, newest first."""
    found = [
        (batch["order"], name)
        for name, batch in value["batches"].items()
        if batch["state"] == "serving"
        and batch["model"] == model
        and batch["pool"] == pool
    ]
    return [name for _, name in sorted(found, reverse=True)]


def choose_batch(
    value: configuration.ConfigurationValue,
    model: str,
    pool: str,
    loaded: Collection[str],
) -> str | None:
    """Returns the batch that takes new requests.

    Args:
        value: the configuration.
        model: the stage's model.
        pool: the stage's pool.
        loaded: every batch that some engine which may take new work has
            loaded.

    Returns:
        The newest that serves and is loaded somewhere, or None.
    """
    serving = list_serving(value, model, pool)
    return next((name for name in serving if name in loaded), None)


def list_wanted(
    value: configuration.ConfigurationValue, pool: str
) -> list[str]:
    """Returns the batches that an engine of a pool should have loaded.

    Those that take new requests come first.
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
        if rank < KEPT_BATCHES
    ]
    return [name for _, name in sorted(ranked)]


def decide_engine_order(
    value: configuration.ConfigurationValue,
    pool: str,
    loaded: Collection[str],
) -> EngineOrder | None:
    """Returns the one order to give now, or None if all is as it should be.

    To be called again after each order, with what the engine then reports.
    A batch that must not serve is unloaded first. One that is only old goes
    once everything wanted is loaded.
    """
    wanted = list_wanted(value, pool)
    for name in sorted(loaded):
        if find_refusal(value, name) == "recalled":
            return EngineOrder("unload", name)
    for name in wanted:
        if name not in loaded:
            return EngineOrder("load", name)
    for name in sorted(loaded):
        # One that is not known yet may be of a later configuration.
        if name not in wanted and name in value["batches"]:
            return EngineOrder("unload", name)
    return None


def count_tickets(engines: int, limit: int = TICKETS_LIMIT) -> int:
    """Returns how many engines of a pool may load at once.

    One always goes on serving what it has, unless there is only one.
    """
    return max(1, min(limit, engines - 1))


def build_ticket(
    pool: str, endpoint: str, holder: str, token: str, tickets: int
) -> leases.Contender:
    """Returns the contender for the ticket to load weights.

    A ticket is a lease: acquire it before a load, hold it during the load,
    release it after. All sidecars of a pool have to use the same `tickets`,
    from `count_tickets`; each endpoint always asks for the same ticket.
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

    The present revision where the recall is no longer among the recorded
    orders.
    """
    target = f"batches.{batch}"
    for record in value["orders"]:
        if record["target"] == target:
            return record["revision"]
    return value["revision"]


def sort_confirmations(
    reports: Mapping[str, Report],
    expected: Iterable[str],
    revision: int,
    batch: str,
    heard_since: float,
) -> Confirmation:
    """Tells which instances have confirmed a recall.

    Args:
        reports: the last report by instance.
        expected: every instance that is known of.
        revision: the recall's.
        batch: the recalled batch.
        heard_since: monotonic seconds; an older report does not count.
    """
    result = Confirmation([], [], [], [])
    for name in sorted({*reports, *expected}):
        report = reports.get(name)
        if report is None or report.heard_at < heard_since:
            result.unheard.append(name)
        elif report.revision < revision:
            result.behind.append(name)
        elif batch in report.batches:
            result.loaded.append(name)
        else:
            result.confirmed.append(name)
    return result
