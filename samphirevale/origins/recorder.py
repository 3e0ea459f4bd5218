"""Keeps an entry's record of where its streams began in the store."""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import curio

from samphirevale import (
    backoff,
    cluster_state,
    errors,
    journal,
    routes,
    store_eras,
    stream_origins,
)
from samphirevale.origins import own_record, records
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The interval between checks for what has expired, in seconds.
EXPIRY_SECONDS = 1.0

# The share of the store's rate of writes that the records of all entries may
# take.
WRITES_SHARE = 0.5

# The shortest time from the begin of a write to that of the next one of the
# same entry, in seconds.
SPACING_SECONDS = 0.01

# The timeout of the records of all entries for a stream that is taken up, in
# seconds.
READ_SECONDS = 0.5


def compute_spacing(entries: int, writes_per_second: float) -> float:
    """Returns the time from one write of an entry to the next, in seconds.

    Args:
        entries: the number of entries.
        writes_per_second: the writes that the store takes from all of them;
            0 if it states no limit.
    """
    if not writes_per_second:
        return SPACING_SECONDS
    return max(SPACING_SECONDS, entries / (WRITES_SHARE * writes_per_second))


class _Listing(NamedTuple):
    """The records of all entries.

    Attributes:
        read_at: when the read began.
        by_name: the records by the entry's name.
        whole: whether no record is missing: none that counts is malformed, and
            the store has again what its latest copy lacked.
    """

    read_at: float
    by_name: dict[str, records.OriginRecord]
    whole: bool


class OriginRecorder:
    """Writes the record of an entry, and reads those of all entries.

    Attributes:
        is_settled: whether the store has had all that it should have, since
            this process knows the routes and endpoints.
    """

    def __init__(
        self,
        store: objects.WatchedStore,
        instance: str,
        cluster: cluster_state.ClusterState,
        own: own_record.OwnRecord,
        list_linked: Callable[[], Collection[str]],
        eras: store_eras.StoreEras,
        writes_per_second: float,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        """Initializes it; nothing is read or written before `run`.

        Args:
            store: the object store.
            instance: the name of this entry.
            cluster: knows the routes, endpoints and entries.
            own: what this entry has to write.
            list_linked: returns the names of the entries with an open link.
            eras: the eras of the store.
            writes_per_second: the writes that the store takes from all
                entries; 0 if it states no limit.
            clock: a clock that includes time while the machine is suspended.
            rng: the source of jitter.
            log: the log of failures.
        """
        self.is_settled = False
        self._store = store
        self._instance = instance
        self._cluster = cluster
        self._own = own
        self._list_linked = list_linked
        self._eras = eras
        self._writes_per_second = writes_per_second
        self._clock = clock
        self._rng = rng
        self._journal = log
        self._changed = curio.Event()
        self._adopted_table: routes.RouteTable | None = None
        self._adopted_changes = 0
        self._expired_at = 0.0
        # Whether the store has taken no write since it was tried last.
        self._failing = False
        # Whether the own record may differ from that in the store.
        self._pending = True
        # Whether it is written again in any case, as the store may have lost
        # it.
        self._rewriting = False
        # The version of the own object; None if there is none.
        self._version: int | None = None
        self._has_read_own = False
        self._era: objects.StoreEra | None = None
        self._read_lock = curio.Lock()
        self._listing: _Listing | None = None
        # Since when, and at which version, the objects of entries without a
        # link have not changed.
        self._unlinked: dict[str, tuple[int, float]] = {}

    async def check(self) -> None:
        """Lets `run` look for new versions and routes."""
        await self._changed.set()

    async def run(self) -> None:
        """Writes the record whenever it has changed, until cancelled."""
        failures = 0
        while True:
            await self._changed.wait()
            self._changed.clear()
            began_at = self._clock.now()
            try:
                if not await self.update():
                    continue
                failures = 0
            except errors.StoreError as error:
                self._journal.record_failure(
                    "origins_not_stored", error=str(error)
                )
                await self._clock.sleep(
                    backoff.compute_pause(failures, rng=self._rng)
                )
                failures += 1
            spacing = compute_spacing(
                len(self._cluster.members), self._writes_per_second
            )
            rest = began_at + spacing - self._clock.now()
            await self._clock.sleep(max(rest, 0.0))

    async def update(self) -> bool:
        """Writes the record if it has changed; returns whether it was written.

        Raises:
            errors.StoreError: the store did not answer, or another write came
                first.
        """
        self._adopt_changes()
        if not self._needs_write():
            return False
        try:
            await self._write()
        except errors.StoreError:
            self._has_read_own = False
            self._pending = self._failing = True
            raise
        self._failing = False
        return True

    def _adopt_changes(self) -> None:
        """Adopts what has changed in the cluster and in the store."""
        now = self._clock.now()
        table = self._cluster.table
        if table is None:
            return
        changes = self._cluster.catalogue.changes
        if table is not self._adopted_table:
            self._own.adopt_table(table, now)
        if (table, changes) != (self._adopted_table, self._adopted_changes):
            self._own.adopt_present(self._cluster.list_origins(), now)
            self._adopted_table, self._adopted_changes = table, changes
            self._pending = True
        if now >= self._expired_at + EXPIRY_SECONDS:
            self._expired_at = now
            self._own.remove_expired(now)
            self._pending = True
        if self._eras.newest != self._era:
            # The first era is none that could lack the record.
            is_first = self._era is None and self._has_read_own
            self._era = self._eras.newest
            if not is_first:
                self._has_read_own = False
                self._rewriting = True

    def _needs_write(self) -> bool:
        """Returns whether the own record must be written."""
        if self._adopted_table is None:
            return False
        if self._pending:
            self._pending = not self._own.is_written()
        if not self._pending:
            self._note_written()
        return self._pending or self._rewriting

    def _note_written(self) -> None:
        """Records that the store has what is known so far."""
        if self._cluster.endpoints_age.confirmed_at is not None:
            self.is_settled = True

    async def _write(self) -> None:
        """Writes the record over the version that was read or written last."""
        if not self._has_read_own:
            await self._read()
        record = self._own.build()
        self._rewriting = False
        self._own.record_writing(record)
        self._version = await self._store.replace_version(
            records.KIND,
            self._instance,
            records.encode_record(record),
            self._version,
        )
        self._own.record_written(record)
        # More may have become known while the record was written.
        self._adopt_changes()
        if self._own.is_written():
            self._note_written()

    async def _read(self) -> _Listing:
        """Reads all records, and adopts that of an earlier process."""
        now = self._clock.now()
        listing = await self._store.list_at(records.KIND)
        await self._eras.observe(listing.era, store_eras.STORE, now)
        if listing.era is not None and self._eras.is_outdated(listing.era):
            raise errors.StoreEraPassedError(f"records of era {listing.era}")
        stored = listing.objects
        found = {
            item.name: records.decode_record(item.value) for item in stored
        }
        versions = {item.name: item.version for item in stored}
        former = found.pop(self._instance, None)
        if not self._has_read_own:
            self._version = versions.get(self._instance)
            if former is not None:
                self._own.adopt_former(former, now)
            self._has_read_own = True
        self._note_unlinked(versions, now)
        lasting = {
            name: record
            for name, record in found.items()
            if self._is_lasting(name, now)
        }
        known = {
            name: record
            for name, record in lasting.items()
            if record is not None
        }
        is_whole = len(known) == len(lasting)
        is_whole = is_whole and now >= self._eras.get_rewrite_end()
        return _Listing(now, known, is_whole)

    def _note_unlinked(self, versions: dict[str, int], now: float) -> None:
        linked = set(self._list_linked())
        for name, version in versions.items():
            known = self._unlinked.get(name)
            if name in linked:
                self._unlinked.pop(name, None)
            elif known is None or known[0] != version:
                self._unlinked[name] = version, now

    def _is_lasting(self, name: str, now: float) -> bool:
        """Returns whether streams of the record's entry may still run."""
        if name not in self._unlinked:
            return True
        _, since = self._unlinked[name]
        return now - since < self._own.retention_seconds

    def expect_unknown(self, service: str) -> bool:
        """Records that a stream of a service begins at no known version.

        Returns:
            Whether it may. Otherwise neither the store nor another entry would
            know before its caller has an event.
        """
        if self._failing and not (
            self.expects_unknown(service) or self._list_linked()
        ):
            return False
        self._own.expect_unknown(service, self._clock.now())
        self._pending = True
        return True

    def expects_unknown(self, service: str) -> bool:
        """Returns whether the store has what expect_unknown() records."""
        return self._own.may_begin(
            stream_origins.StreamOrigin(service, stream_origins.UNKNOWN_VERSION)
        )

    def is_failing(self) -> bool:
        """Returns whether the last write has failed."""
        return self._failing

    async def record_stream(
        self, attempt: str, origin: stream_origins.StreamOrigin, until: float
    ) -> None:
        """Records where a stream began, until its deadline."""
        self._own.record_stream(attempt, origin, until)
        self._pending = True
        await self._changed.set()

    async def find(
        self, attempt: str, route: str, services: Iterable[str]
    ) -> stream_origins.StreamOrigin | None:
        """Returns where a stream began; None if that is uncertain.

        Args:
            attempt: the attempt that brought its first event.
            route: the name of its route.
            services: the services that the route has now.
        """
        self._adopt_changes()
        try:
            async with curio.timeout_after(READ_SECONDS):
                listing = await self._read_since(self._clock.now())
        except (errors.StoreError, curio.TaskTimeout):
            return None
        known = [*listing.by_name.values(), self._own.build()]
        found = records.find_stream(known, attempt)
        candidates = records.list_candidates(known, route, services)
        self._journal.record_request(
            "origin_read",
            first_attempt=attempt,
            recorded=found is not None,
            candidates=sorted(candidates),
            whole=listing.whole,
        )
        if found is not None or not listing.whole:
            return found
        return candidates.pop() if len(candidates) == 1 else None

    async def _read_since(self, asked_at: float) -> _Listing:
        """Returns records that were read since a time.

        Of the streams that ask at the same time only one reads.
        """
        async with self._read_lock:
            if self._listing is None or self._listing.read_at < asked_at:
                self._listing = await self._read()
            return self._listing
