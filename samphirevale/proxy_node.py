"""What a proxying entry holds, for the code that drives its requests."""

import random
from typing import NamedTuple

from samphirevale import (
    budgets,
    journal,
    knowledge,
    placement,
    quarantine,
    stages,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies


class ProxyNode(NamedTuple):
    """The collaborators of a proxying entry.

    Attributes:
        knowledge: the routes, the endpoints and the other entries.
        placer: chooses endpoints.
        group: does the pieces of stages.
        budget: of repeats.
        quarantine: the inputs that have crashed endpoints, at any entry.
        endpoints: the calls to endpoints.
        clock: the present time, counted also while suspended.
        rng: the source of every random draw.
        journal: the log.
    """

    knowledge: knowledge.Knowledge
    placer: placement.Placer
    group: stages.StageGroup
    budget: budgets.RetryBudget
    quarantine: quarantine.Quarantine
    endpoints: proxies.ProxyEndpoints
    clock: clocks.Clock
    rng: random.Random
    journal: journal.Journal
