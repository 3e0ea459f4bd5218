"""The last known state of each instance, merged from all entries."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from samphirevale import configuration, statuses

# The state of an instance whose present state is unknown.
NOT_HEARD = "not heard"

# The name shown for unknown other entries while the store is down.
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
        age_ms: the time since the instance was last heard; None if never.
        is_fresh: whether the state is recent enough to be current.
        leaving: whether the instance takes no new work.
        draining: whether an order drains its endpoint.
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
    sidecar: statuses.SidecarStatus | None

    @property
    def state(self) -> str:
        """The instance's state as operators see it."""
        if not self.is_fresh:
            return NOT_HEARD
        # A draining sidecar also reports that it is leaving.
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        if self.sidecar is not None and not self.sidecar["healthy"]:
            return "unhealthy"
        return "serving"


def list_entries(view: ObservationSources) -> list[Observation]:
    """Returns the entries: this one first, then the others by name."""
    own = view.own
    found = [_build_entry(own, 0.0, True)]
    for status in sorted(view.others, key=lambda item: item["instance"]):
        age_seconds = max(view.wall_now - status["written_at"], 0.0)
        is_heard = _is_fresh(view, status, statuses.STATUS_FRESH_SECONDS)
        found.append(_build_entry(status, age_seconds * 1000, is_heard))
    if not view.is_current:
        found.append(_build_unknown_entries())
    return found


def _is_fresh(
    view: ObservationSources, status: statuses.EntryStatus, limit_seconds: float
) -> bool:
    """Returns whether another entry's status is recent enough."""
    age_seconds = abs(view.wall_now - status["written_at"])
    return view.is_current and age_seconds <= limit_seconds


def _build_entry(
    status: statuses.EntryStatus, age_ms: float, is_heard: bool
) -> Observation:
    return Observation(
        status["instance"],
        "entry",
        status["data_centre"],
        status["revision"],
        age_ms,
        is_heard,
        status["leaving"],
        False,
        None,
    )


def _build_unknown_entries() -> Observation:
    return Observation(
        OTHER_ENTRIES, "entry", "", None, None, False, False, False, None
    )


def list_sidecars(view: ObservationSources) -> list[Observation]:
    """Returns the latest state of each sidecar at any entry, sorted by name."""
    latest: dict[str, Observation] = {}
    for sighting in _iterate_sidecars(view):
        known = latest.get(sighting.name)
        if known is None or _get_age_ms(sighting) < _get_age_ms(known):
            latest[sighting.name] = sighting
    return [latest[name] for name in sorted(latest)]


def _iterate_sidecars(view: ObservationSources) -> Iterator[Observation]:
    for item in view.own["sidecars"]:
        yield _build_sidecar(view, item, 0.0, True)
    for status in view.others:
        age_ms = max(view.wall_now - status["written_at"], 0.0) * 1000
        is_fresh = _is_fresh(view, status, statuses.SIDECARS_FRESH_SECONDS)
        for item in status["sidecars"]:
            yield _build_sidecar(view, item, age_ms, is_fresh)


def _build_sidecar(
    view: ObservationSources,
    item: statuses.SidecarStatus,
    written_age_ms: float,
    is_fresh: bool,
) -> Observation:
    heard_ms = item["heard_age_ms"]
    is_heard = heard_ms is not None and heard_ms <= view.suspect_ms
    return Observation(
        item["instance"],
        "sidecar",
        item["data_centre"],
        None if heard_ms is None else item["revision"],
        None if heard_ms is None else heard_ms + written_age_ms,
        is_fresh and is_heard and item["connected"],
        item["leaving"],
        item["endpoint"] in view.value["draining"],
        item,
    )


def _get_age_ms(sighting: Observation) -> float:
    # The latest state wins, even one that reports the instance as gone: an
    # older status, from an entry that has died since, may report it as serving.
    return math.inf if sighting.age_ms is None else sighting.age_ms
