"""Keeps the parts of prompts that crash endpoints in the store.

What entries tell each other is lost if all of them restart, and does not reach
an entry that is cut off from the others. Therefore the groups of parts that
are refused also lie in one object of the store. It is of the same kind as the
registrations of entries, so that its changes need no further watch.
"""

import contextlib
import random
import time
from collections.abc import Mapping
from typing import Any

from samphirevale import (
    crash_reports,
    crashing_parts,
    errors,
    journal,
    registrations,
    stored_values,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The name of the object. No instance has a name that begins with a dot.
NAME = ".crashing-parts"

# The interval between comparisons with the store, in seconds.
CHECK_SECONDS = 0.25

# The longest pause before a write, in seconds. It spreads the writes of a
# fleet, so that most entries find the object written.
SPREAD_SECONDS = 0.5

# The shortest time between two writes of one entry, in seconds. Entries that
# are cut off from each other may disagree for long.
WRITE_SECONDS = 2.0

# The last end of a group that is read, in wall-clock seconds.
LAST_END = float(stored_values.INTEGER_LIMIT)


class CrashingPartStore:
    """Writes the refused groups to the store, and adopts those found there."""

    def __init__(
        self,
        store: objects.WatchedStore,
        reports: crash_reports.CrashReports,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        self._store = store
        self._reports = reports
        self._clock = clock
        self._rng = rng
        self._journal = log
        # The groups in the store with their ends in wall-clock seconds; None
        # before the store was read.
        self._stored: dict[crashing_parts.Group, float] | None = None

    def adopt_object(self, value: Any) -> None:
        """Adopts the stored groups; the value is None without an object."""
        self._stored = decode_groups(value)
        wall_now = time.time()
        for group, ends_at in self._stored.items():
            self._reports.adopt_group(group, ends_at - wall_now)

    async def run(self) -> None:
        """Writes groups that the store lacks until cancelled."""
        while True:
            await self._clock.sleep(CHECK_SECONDS)
            if self._build_missing(time.time()) is None:
                continue
            await self._clock.sleep(self._rng.random() * SPREAD_SECONDS)
            groups = self._build_missing(time.time())
            if groups is not None:
                await self._write(groups)
                await self._clock.sleep(WRITE_SECONDS)

    def _build_missing(
        self, wall_now: float
    ) -> dict[crashing_parts.Group, float] | None:
        """Returns the groups to write; None if the store has them."""
        if self._stored is None:
            return None
        refused = self._reports.list_lasting_groups()
        in_force = {
            group: ends_at
            for group, ends_at in self._stored.items()
            if ends_at > wall_now and not self._reports.was_answered(group)
        }
        ends_at = wall_now + crashing_parts.CRASH_SECONDS
        wanted = dict.fromkeys(refused, ends_at) | in_force
        answered = [
            group for group in self._stored if self._reports.was_answered(group)
        ]
        if wanted.keys() <= self._stored.keys() and not answered:
            return None
        return wanted

    async def _write(self, groups: dict[crashing_parts.Group, float]) -> None:
        try:
            await self._store.replace(
                registrations.KIND, NAME, encode_groups(groups)
            )
        except errors.StoreError as error:
            # The next comparison with the store tries again.
            self._journal.record_failure("parts_not_stored", error=str(error))
            return
        self._stored = groups


def encode_groups(
    groups: Mapping[crashing_parts.Group, float],
) -> dict[str, Any]:
    """Returns the stored form of groups with their ends."""
    newest = sorted(groups, key=groups.__getitem__)
    return {
        "groups": [
            {"parts": sorted(group), "ends_at": groups[group]}
            for group in newest[-crashing_parts.STORED_LIMIT :]
        ]
    }


def decode_groups(value: Any) -> dict[crashing_parts.Group, float]:
    """Returns the groups of a stored object; malformed ones are left out."""
    try:
        found = stored_values.Fields(value).read_list("groups")
    except errors.MalformedValueError:
        return {}
    groups = {}
    for item in found:
        with contextlib.suppress(errors.MalformedValueError):
            fields = stored_values.Fields(item)
            parts = fields.read_list("parts")
            group = frozenset(map(stored_values.check_string, parts))
            ends_at = fields.read_number("ends_at", 0.0, LAST_END)
            if group:
                groups[group] = ends_at
    return groups
