"""What an entry knows and holds, for the code that drives its requests."""

import random
from typing import NamedTuple

from samphirevale import (
    admission,
    keyed,
    quarantine,
    retries,
    routing,
    settings,
    sidecars,
    snapshots,
    statistics,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects


class Node(NamedTuple):
    """The collaborators of one entry.

    Attributes:
        settings: the entry's settings.
        holder: the configuration that it holds.
        peers: its connections to sidecars.
        router: chooses endpoints.
        admission: decides which requests are taken.
        retries: decides which attempts are made again.
        quarantine: the inputs that have crashed endpoints.
        keeper: the claims, and what outlives its request.
        store: the platform's object API.
        statistics: the counts of the requests that it has ended.
        rng: the source of every random draw.
        clock: monotonic time and sleeps.
    """

    settings: settings.EntrySettings
    holder: snapshots.SnapshotHolder
    peers: sidecars.PeerTable
    router: routing.Router
    admission: admission.Admission
    retries: retries.Retries
    quarantine: quarantine.Quarantine
    keeper: keyed.Keeper
    store: objects.ObjectStore
    statistics: statistics.Statistics
    rng: random.Random
    clock: clocks.Clock
