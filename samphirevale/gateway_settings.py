"""The settings of a proxying entry."""

from collections.abc import Mapping
from typing import NamedTuple

from samphirevale import errors, retry_budgets, stage_admission
from samphirevale.availability import warm_ups

# The admission policy if the environment names none.
DEFAULT_ADMISSION = "ranked"

# The environment variable that names the admission policy.
ADMISSION_VARIABLE = "SAMPHIREVALE_STAGE_ADMISSION"


class GatewaySettings(NamedTuple):
    """The settings of a proxying entry.

    Attributes:
        instance: the name of the entry.
        data_centre: the data centre in which the entry runs.
        caller_host: the listening address for callers.
        caller_port: the listening port for callers.
        ready_host: the listening address for readiness checks.
        ready_port: the listening port for readiness checks.
        peer_host: the listening address for other entries.
        peer_port: the listening port for other entries.
        metrics_port: the listening port for metrics, on `peer_host`.
        files_limit: the largest number of open files.
        memory_bytes: the memory of the machine.
        keys_seconds: the time within which a revoked key must be refused.
        contact_seconds: the time within which a lost connection to the store
            must be noticed.
        drain_seconds: the time after which an endpoint that leaves gets no
            more work.
        grace_seconds: the time from the order to stop to the kill.
        budget: the retry budget, shared by all entries.
        cordon_seconds: the time after which a cordoned data centre gets no
            more work; 0 if data centres are not cordoned here.
        cold_bound: what a cold endpoint may get; None for no bound.
        regions: the region of each data centre.
        processor: the processor time of the machine, in cores.
        store_writes: the writes a second that the store takes from all entries;
            0 if it states no limit.
        admission: the name of the admission policy for stages.
    """

    instance: str
    data_centre: str
    caller_host: str
    caller_port: int
    ready_host: str
    ready_port: int
    peer_host: str
    peer_port: int
    metrics_port: int
    files_limit: int
    memory_bytes: int
    keys_seconds: float
    contact_seconds: float
    drain_seconds: float
    grace_seconds: float
    budget: retry_budgets.RetryBudgetLimits
    cordon_seconds: float = 0.0
    cold_bound: warm_ups.ColdBound | None = None
    regions: Mapping[str, str] = {}
    processor: float = 1.0
    store_writes: float = 0.0
    admission: str = DEFAULT_ADMISSION


def read_environment(
    settings: GatewaySettings, environment: Mapping[str, str]
) -> GatewaySettings:
    """Returns the settings with those that the environment changes.

    Raises:
        errors.InvalidInputError: a value is invalid.
    """
    admission = environment.get(ADMISSION_VARIABLE, settings.admission)
    known = stage_admission.policies.list_names()
    if admission not in known:
        expected = f"one of {', '.join(known)}"
        raise errors.InvalidInputError(
            [errors.Finding(ADMISSION_VARIABLE, expected, admission)]
        )
    return settings._replace(admission=admission)
