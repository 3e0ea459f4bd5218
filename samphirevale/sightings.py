"""The instances as this entry and the others have last seen them."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from samphirevale import configuration, statuses

# The state of an instance whose present state is not known.
NOT_HEARD = "not heard"

# Stands for the entries whose names are not known while the store is down.
OTHER_ENTRIES = "other entries"


class View(NamedTuple):
    """What an entry knows when it answers.

    Attributes:
        value: the configuration.
        own: the entry's own status, as it is now.
        others: the latest statuses of the other entries.
        is_current: the store has just told them; False if it is down and
            they are those of an earlier answer.
        wall_now: wall-clock seconds.
        suspect_ms: silence after which a sidecar counts as not heard.
    """

    value: configuration.ConfigurationValue
    own: statuses.EntryStatus
    others: list[statuses.EntryStatus]
    is_current: bool
    wall_now: float
    suspect_ms: float


class Sighting(NamedTuple):
    """An instance as somebody has last seen it.

    Attributes:
        name: its instance name.
        role: `entry` or `sidecar`.
        data_centre: where it runs.
        revision: the configuration revision that it held; None if unknown.
        age_ms: time since it was heard; None if it never was.
        is_heard: what is known of it holds for the present.
        leaving: it takes no new work.
        draining: it takes none because an order says so.
        sidecar: the sidecar's status; None for an entry.
    """

    name: str
    role: str
    data_centre: str
    revision: int | None
    age_ms: float | None
    is_heard: bool
    leaving: bool
    draining: bool
    sidecar: statuses.SidecarStatus | None

    @property
    def state(self) -> str:
        """What operators are told of it, in one word or two."""
        if not self.is_heard:
            return NOT_HEARD
        # A sidecar that drains says that it is leaving, for the same effect.
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        if self.sidecar is not None and not self.sidecar["healthy"]:
            return "unhealthy"
        return "serving"


def list_entries(view: View) -> list[Sighting]:
    """Returns the entries, this one first."""
    own = view.own
    found = [_sight_entry(own, 0.0, True)]
    for status in sorted(view.others, key=lambda item: item["instance"]):
        age_seconds = max(view.wall_now - status["written_at"], 0.0)
        is_heard = _is_fresh(view, status, statuses.NOT_HEARD_SECONDS)
        found.append(_sight_entry(status, age_seconds * 1000, is_heard))
    if not view.is_current:
        found.append(_sight_nobody())
    return found


def _is_fresh(
    view: View, status: statuses.EntryStatus, limit_seconds: float
) -> bool:
    """Tells whether a status of another entry holds for the present."""
    age_seconds = abs(view.wall_now - status["written_at"])
    return view.is_current and age_seconds <= limit_seconds


def _sight_entry(
    status: statuses.EntryStatus, age_ms: float, is_heard: bool
) -> Sighting:
    return Sighting(
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


def _sight_nobody() -> Sighting:
    return Sighting(
        OTHER_ENTRIES, "entry", "", None, None, False, False, False, None
    )


def list_sidecars(view: View) -> list[Sighting]:
    """Returns each sidecar as it was last seen by any entry, by name."""
    latest: dict[str, Sighting] = {}
    for seen in _iterate_sidecars(view):
        held = latest.get(seen.name)
        if held is None or _read_age(seen) < _read_age(held):
            latest[seen.name] = seen
    return [latest[name] for name in sorted(latest)]


def _iterate_sidecars(view: View) -> Iterator[Sighting]:
    for item in view.own["sidecars"]:
        yield _sight_sidecar(view, item, 0.0, True)
    for status in view.others:
        age_ms = max(view.wall_now - status["written_at"], 0.0) * 1000
        is_fresh = _is_fresh(view, status, statuses.SIDECARS_SECONDS)
        for item in status["sidecars"]:
            yield _sight_sidecar(view, item, age_ms, is_fresh)


def _sight_sidecar(
    view: View,
    item: statuses.SidecarStatus,
    written_age_ms: float,
    is_fresh: bool,
) -> Sighting:
    heard_ms = item["heard_age_ms"]
    is_heard = heard_ms is not None and heard_ms <= view.suspect_ms
    return Sighting(
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


def _read_age(seen: Sighting) -> float:
    # The latest sighting counts, also one that found the instance gone: an
    # older status of an entry that has died since may say that it serves.
    return math.inf if seen.age_ms is None else seen.age_ms
