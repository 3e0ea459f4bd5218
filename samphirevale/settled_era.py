"""Keeps in the store which of its eras is settled.

A process that starts cannot know whether the store has just returned from a
copy, and lacks what was written last. Entries that have seen an era for as long
as it takes to write all of that again say so in one object. The copy of a later
era has an older number in it, or none. It is of the same kind as the
registrations of entries, so that its changes need no further watch.
"""

import random
from typing import Any

from samphirevale import (
    errors,
    journal,
    registrations,
    store_eras,
    stored_values,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The name of the object. No instance has a name that begins with a dot.
NAME = ".settled-era"

# The interval between comparisons with the store, in seconds.
CHECK_SECONDS = 0.5

# The longest pause before a write, in seconds. It spreads the writes of a
# fleet, so that most entries find the object written.
SPREAD_SECONDS = 2.0


class SettledEra:
    """Adopts the settled era that the store names, and writes it."""

    def __init__(
        self,
        store: objects.WatchedStore,
        eras: store_eras.StoreEras,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        self._store = store
        self._eras = eras
        self._clock = clock
        self._rng = rng
        self._journal = log
        self._stored: int | None = None
        self._has_read = False

    def adopt_object(self, value: Any) -> None:
        """Adopts the stored value, which is None without an object."""
        self._has_read = True
        self._stored = decode_era(value)
        if self._stored is not None and self._stored == self._eras.newest:
            self._eras.settle()

    async def run(self) -> None:
        """Writes each era once it is settled, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_SECONDS)
            if not self._needs_write():
                continue
            await self._clock.sleep(self._rng.random() * SPREAD_SECONDS)
            if self._needs_write():
                await self._write(self._eras.newest)

    def _needs_write(self) -> bool:
        era = self._eras.newest
        return (
            self._has_read
            and era is not None
            and self._stored != era
            and self._clock.now() >= self._eras.get_rewrite_end()
        )

    async def _write(self, era: objects.StoreEra) -> None:
        try:
            await self._store.replace(registrations.KIND, NAME, encode_era(era))
        except errors.StoreError as error:
            # The next comparison tries again.
            self._journal.record_failure("era_not_stored", error=str(error))
            return
        self._stored = era


def encode_era(era: objects.StoreEra) -> dict[str, Any]:
    """Returns the stored form of a settled era."""
    return {"era": era}


def decode_era(value: Any) -> int | None:
    """Returns the settled era; None without one, or if it is malformed."""
    try:
        return stored_values.Fields(value).read_integer("era")
    except errors.MalformedValueError:
        return None
