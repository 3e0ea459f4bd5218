"""The services of a proxying entry that its requests use."""

import random
from typing import NamedTuple

from samphirevale import (
    answer_memory,
    cluster_state,
    crash_reports,
    item_runners,
    journal,
    placement,
    process_end,
    quarantine,
    retry_budgets,
    return_times,
    stage_admission,
    stream_beginnings,
    stream_origins,
)
from samphirevale.fair_shares import demands
from samphirevale.origins import recorder
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies


class ProxyContext(NamedTuple):
    """The services that the requests of a proxying entry use.

    Attributes:
        cluster_state: the known routes, endpoints and entries.
        selector: chooses the endpoints of requests.
        item_runner: runs the items of stages.
        budget: the retry budget.
        quarantine: the inputs that have crashed endpoints at any entry.
        crashes: the parts of prompts that have crashed endpoints.
        process_end: when the process ends.
        answer_memory: the memory for answers that are read whole.
        endpoints: makes the calls to endpoints.
        origins: remembers where streams began.
        recorder: knows from the store where streams began.
        beginnings: finds out which versions have begun streams.
        returns: when the callers come back that were refused in pauses.
        demands: what accounts have asked of each service lately.
        admission: the policy for requests whose stages would have to queue.
        clock: a clock that includes time while the machine is suspended.
        rng: the source of all random numbers.
        journal: the log of decisions.
    """

    cluster_state: cluster_state.ClusterState
    selector: placement.EndpointSelector
    item_runner: item_runners.ItemRunner
    budget: retry_budgets.RetryBudget
    quarantine: quarantine.Quarantine
    crashes: crash_reports.CrashReports
    process_end: process_end.ProcessEnd
    answer_memory: answer_memory.AnswerMemory
    endpoints: proxies.ProxyEndpoints
    origins: stream_origins.OriginDirectory
    recorder: recorder.OriginRecorder
    beginnings: stream_beginnings.StreamBeginnings
    returns: return_times.ReturnSchedule
    demands: demands.ServiceDemands
    admission: stage_admission.AdmissionPolicy
    clock: clocks.Clock
    rng: random.Random
    journal: journal.Journal
