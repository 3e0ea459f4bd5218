"""The collaborators of an entry, shared by the code that runs requests."""

import random
from typing import NamedTuple

from samphirevale import (
    admission,
    configuration_holder,
    idempotency,
    quarantine,
    retries,
    routing,
    settings,
    sidecars,
    statistics,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects


class EntryContext(NamedTuple):
    """The collaborators of one entry.

    Attributes:
        settings: the entry's settings.
        holder: holder of the configuration in force.
        peers: connections to sidecars.
        router: chooses endpoints for attempts.
        admission: admits or refuses requests.
        retries: decides which attempts are retried.
        quarantine: inputs that have crashed endpoints.
        claim_manager: claims on idempotency keys, and background tasks.
        store: the platform's object store.
        statistics: statistics of the ended requests.
        rng: random number generator.
        clock: source of monotonic time and of sleeps.
    """

    settings: settings.EntrySettings
    holder: configuration_holder.ConfigurationHolder
    peers: sidecars.PeerTable
    router: routing.Router
    admission: admission.Admission
    retries: retries.RetryController
    quarantine: quarantine.Quarantine
    claim_manager: idempotency.ClaimManager
    store: objects.ObjectStore
    statistics: statistics.Statistics
    rng: random.Random
    clock: clocks.Clock
