"""Registers an entry in the store, and again in each of its eras."""

import random

from samphirevale import (
    backoff,
    errors,
    journal,
    registrations,
    store_eras,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The longest pause before the registration is written in a new era, in
# seconds. It spreads the writes of a fleet.
SPREAD_SECONDS = 1.0


class Registrar:
    """Keeps the registration of an entry in the store."""

    def __init__(
        self,
        store: objects.WatchedStore,
        registration: registrations.Registration,
        eras: store_eras.StoreEras,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        self._store = store
        self._registration = registration
        self._eras = eras
        self._clock = clock
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Writes the registration, and again in each era, until cancelled."""
        while True:
            era = await self._write_until_done()
            await self._eras.wait_newer(era)
            await self._clock.sleep(self._rng.random() * SPREAD_SECONDS)

    async def _write_until_done(self) -> objects.StoreEra | None:
        """Retries until the store has answered; returns the era written in."""
        failures = 0
        while True:
            try:
                return await self._write()
            except errors.StoreError as error:
                self._log.record_failure("not_registered", error=str(error))
            await self._clock.sleep(
                backoff.compute_pause(failures, rng=self._rng)
            )
            failures += 1

    async def _write(self) -> objects.StoreEra | None:
        # An answer that states no era may be of the era before the call.
        previous = self._eras.newest
        era = await self._store.replace(
            registrations.KIND,
            self._registration.name,
            registrations.encode_registration(self._registration),
        )
        await self._eras.observe(era, store_eras.STORE, self._clock.now())
        return previous if era is None else era
