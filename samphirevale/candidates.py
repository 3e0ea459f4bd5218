"""Selection of the endpoints that may get an attempt of a stage."""

from collections.abc import Collection
from typing import Any

from samphirevale import batches, configuration, sidecars


def list_ready(
    table: sidecars.PeerTable,
    value: configuration.ConfigurationValue,
    pool: str,
    now: float,
) -> list[sidecars.Peer]:
    """Returns the peers of a pool that accept work.

    Those that are draining or in a cordoned data centre do not.
    """
    cordoned = configuration.list_cordoned(value)
    return [
        peer
        for peer in table.list_ready(pool, now)
        if peer.endpoint not in value["draining"]
        and peer.hello.data_centre not in cordoned
    ]


def choose_batch(
    ready: Collection[sidecars.Peer],
    value: configuration.ConfigurationValue,
    stage: configuration.StageConfiguration,
    exclude: Collection[str] = frozenset(),
) -> str:
    """Returns the newest batch for a stage that is serving and loaded.

    Args:
        ready: the peers that accept work.
        value: the configuration in force.
        stage: the stage's configuration.
        exclude: batches not to choose.

    Returns:
        The batch's id; empty if there is none.
    """
    loaded = {name for peer in ready for name in peer.heartbeat.batches}
    chosen = batches.choose_batch(
        value, stage["model"], stage["pool"], loaded.difference(exclude)
    )
    return chosen or ""


def filter_by_batch(
    ready: Collection[sidecars.Peer], batch: str | None
) -> list[str]:
    """Returns the endpoints of the peers that have a batch loaded.

    Args:
        ready: the peers.
        batch: the batch that must be loaded; None if the stage has no model,
            which selects every peer; empty if no batch can serve, which
            selects none.
    """
    return [
        peer.endpoint
        for peer in ready
        if batch is None or batch in peer.heartbeat.batches
    ]


def list_for_stage(
    table: sidecars.PeerTable,
    value: configuration.ConfigurationValue,
    stage: configuration.StageConfiguration,
    now: float,
) -> list[str]:
    """Returns the endpoints that could run the stage for a new request."""
    ready = list_ready(table, value, stage["pool"], now)
    batch: Any = None
    if stage["kind"] == "engine":
        batch = choose_batch(ready, value, stage)
    return filter_by_batch(ready, batch)
