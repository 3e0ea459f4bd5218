"""The last known state of each instance, merged from all entries."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from samphirevale import configuration, statuses

# The state shown for an instance whose current state is unknown.
NOT_HEARD = "not heard"

# The name shown for the other entries while the store is down.
OTHER_ENTRIES = "other entries"


class ObservationSources(NamedTuple):
    """The data from which an entry answers a query.

    Attributes:
        value: the configuration.
        own: the entry's own present status.
        others: the latest known statuses of the other entries.
        is_current: whether `others` was just read; False if the store is down
            and `others` is from an earlier query.
        wall_now: the wall-clock time, in seconds.
        suspect_ms: the time since its last message after which a sidecar
            counts as not heard.
    """

    value: configuration.ConfigurationValue
    own: statuses.EntryStatus
    others: list[statuses.EntryStatus]
    is_current: bool
    wall_now: float
    suspect_ms: float


class Observation(NamedTuple):
    """The last known state of an instance.

    Attributes:
        name: the instance's name.
        role: `entry` or `sidecar`.
        data_centre: the data centre that the instance runs in.
        revision: the instance's configuration revision; None if unknown.
        age_ms: the time since the instance was last heard, by a sidecar's last
            frame or an entry's last status; None if never.
        is_fresh: whether the state is recent enough to be current.
        leaving: whether the instance takes no new work.
        draining: whether an order drains its endpoint.
        cordoned: whether an order cordons its data centre.
        sidecar: the sidecar's status; None for an entry.
    """

    name: str
    role: str
    data_centre: str
    revision: int | None
    age_ms: float | None
    is_fresh: bool
    leaving: bool
    draining: bool
    cordoned: bool
    sidecar: statuses.SidecarStatus | None

    @property
    def state(self) -> str:
        """The instance's state as operators see it."""
        if not self.is_fresh:
            return NOT_HEARD
        # A draining or cordoned sidecar also reports that it is leaving.
        if self.draining:
            return "draining"
        if self.cordoned:
            return "cordoned"
        if self.leaving:
            return "leaving"
        if self.sidecar is not None and not self.sidecar["healthy"]:
            return "unhealthy"
        return "serving"


def list_entries(sources: ObservationSources) -> list[Observation]:
    """Returns the entries: this one first, then the others by name."""
    own = sources.own
    found = [_build_entry(own, 0.0, True)]
    for status in sorted(sources.others, key=lambda item: item["instance"]):
        age_seconds = max(sources.wall_now - status["written_at"], 0.0)
        is_fresh = _is_fresh(sources, status, statuses.STATUS_FRESH_SECONDS)
        found.append(_build_entry(status, age_seconds * 1000, is_fresh))
    if not sources.is_current:
        found.append(_build_unknown_entries())
    return found


def _is_fresh(
    sources: ObservationSources,
    status: statuses.EntryStatus,
    limit_seconds: float,
) -> bool:
    """Returns whether another entry's status is recent enough."""
    age_seconds = abs(sources.wall_now - status["written_at"])
    return sources.is_current and age_seconds <= limit_seconds


def _build_entry(
    status: statuses.EntryStatus, age_ms: float, is_fresh: bool
) -> Observation:
    return Observation(
        status["instance"],
        "entry",
        status["data_centre"],
        status["revision"],
        age_ms,
        is_fresh,
        status["leaving"],
        False,
        False,
        None,
    )


def _build_unknown_entries() -> Observation:
    return Observation(
        OTHER_ENTRIES, "entry", "", None, None, False, False, False, False, None
    )


def list_sidecars(sources: ObservationSources) -> list[Observation]:
    """Returns each sidecar's latest state over all entries, sorted by name."""
    latest: dict[str, Observation] = {}
    for observation in _iterate_sidecars(sources):
        previous = latest.get(observation.name)
        if previous is None or _get_age_ms(observation) < _get_age_ms(previous):
            latest[observation.name] = observation
    return [latest[name] for name in sorted(latest)]


def _iterate_sidecars(sources: ObservationSources) -> Iterator[Observation]:
    for sidecar in sources.own["sidecars"]:
        yield _build_sidecar(sources, sidecar, 0.0, True)
    for status in sources.others:
        age_ms = max(sources.wall_now - status["written_at"], 0.0) * 1000
        is_fresh = _is_fresh(sources, status, statuses.SIDECARS_FRESH_SECONDS)
        for sidecar in status["sidecars"]:
            yield _build_sidecar(sources, sidecar, age_ms, is_fresh)


def _build_sidecar(
    sources: ObservationSources,
    sidecar: statuses.SidecarStatus,
    status_age_ms: float,
    is_fresh: bool,
) -> Observation:
    heard_ms = sidecar["heard_age_ms"]
    is_heard = heard_ms is not None and heard_ms <= sources.suspect_ms
    return Observation(
        sidecar["instance"],
        "sidecar",
        sidecar["data_centre"],
        None if heard_ms is None else sidecar["revision"],
        None if heard_ms is None else heard_ms + status_age_ms,
        is_fresh and is_heard and sidecar["connected"],
        sidecar["leaving"],
        sidecar["endpoint"] in sources.value["draining"],
        sidecar["data_centre"] in configuration.list_cordoned(sources.value),
        sidecar,
    )


def _get_age_ms(observation: Observation) -> float:
    # The latest state is used even if it reports the instance as gone: an older
    # status, of an entry that has died since, may report it as serving.
    return math.inf if observation.age_ms is None else observation.age_ms
