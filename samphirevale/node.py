"""What an entry knows and holds, for the code that drives its requests."""

import random
from collections.abc import Callable
from typing import NamedTuple

from samphirevale import (
    routing,
    settings,
    sidecars,
    snapshots,
    statistics,
)
from samphirevale.ports import objects


class Node(NamedTuple):
    """The collaborators of one entry.

    Attributes:
        settings: the entry's settings.
        holder: the configuration that it holds.
        peers: its connections to sidecars.
        router: chooses endpoints.
        store: the platform's object API.
        statistics: the counts of the requests that it has ended.
        rng: the source of every random draw.
        clock: returns the present time in monotonic seconds.
    """

    settings: settings.EntrySettings
    holder: snapshots.SnapshotHolder
    peers: sidecars.PeerTable
    router: routing.Router
    store: objects.ObjectStore
    statistics: statistics.Statistics
    rng: random.Random
    clock: Callable[[], float]
