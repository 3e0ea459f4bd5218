"""Keeps a local copy of one kind of stored object up to date.

A watch that fails or times out is restarted. If the store no longer has the
history that a watch needs, or has returned from a copy of itself, all objects
are listed again first. Each answer confirms that the copy was current when the
call began, unless it is of an earlier era of the store than one already seen.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import curio

from samphirevale import backoff, errors, journal, store_eras
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# How long a watch waits for a change by default, in seconds.
WATCH_SECONDS = 1.5

# How much longer than its wait the answer to a watch may take, in seconds.
LATE_ANSWER_SECONDS = 0.8

# The time from a watch that has failed to the answer of the next one, if the
# store is there, in seconds.
RECOVERY_SECONDS = 0.2

# The shortest wait of a watch, in seconds.
LEAST_WATCH_SECONDS = 0.25

# How long a watch waits after a failed call and while the store is unreachable,
# in seconds.
OUTAGE_WATCH_SECONDS = 0.05

# The time of failing calls after which the store is considered unreachable, in
# seconds.
OUTAGE_SECONDS = 2.0

# The longest backoff after a failed call by default, in seconds.
BACKOFF_LIMIT_SECONDS = 0.4

# The longest pause before all objects are listed again by default, in seconds.
RELIST_SECONDS = 0.3


class WatchCallbacks(NamedTuple):
    """The callbacks that update a copy; the last argument of each is a time.

    Attributes:
        replace_all: called with all objects, which replace the copy.
        apply_changes: called with changed objects; the value of a deleted
            object is None.
        confirm: called with the start of a call that the store answered; the
            copy was current at that time.
        handle_recovery: called when the store is reachable after an outage.
    """

    replace_all: Callable[[Iterable[objects.StoredObject], float], None]
    apply_changes: Callable[[Iterable[objects.StoredObject], float], None]
    confirm: Callable[[float], None]
    handle_recovery: Callable[[float], None]


class WatchTimes(NamedTuple):
    """How often a kind of stored object is read.

    Attributes:
        wait_seconds: how long one watch waits for a change. This limits the
            age of the copy.
        backoff_seconds: the longest backoff after a failed call.
        pause_seconds: the pause before the next watch after a change. Changes
            that come one after the other, such as the registrations at the
            start of a fleet, are then read by one call.
        relist_seconds: the longest pause before all objects are listed again.
            It is drawn at random, which spreads the lists of a fleet.
    """

    wait_seconds: float = WATCH_SECONDS
    backoff_seconds: float = BACKOFF_LIMIT_SECONDS
    pause_seconds: float = 0.0
    relist_seconds: float = RELIST_SECONDS


DEFAULT_TIMES = WatchTimes()


def compute_wait(noticed_seconds: float, pause_seconds: float = 0.0) -> float:
    """Returns how long a watch may wait, in seconds.

    A connection may fall silent for good just before a watch is sent on it. The
    wait is such that a copy is current again within a time from then on.

    Args:
        noticed_seconds: that time.
        pause_seconds: the pause before a watch.
    """
    wait_seconds = noticed_seconds - pause_seconds
    wait_seconds -= LATE_ANSWER_SECONDS + RECOVERY_SECONDS
    return max(wait_seconds, LEAST_WATCH_SECONDS)


class Watcher:
    """Keeps the copy of one kind of stored object.

    Attributes:
        times: how often the objects are read; may change while it runs.
        version: the version of the store at which the copy was listed or
            changed last; None before the first list.
    """

    def __init__(
        self,
        store: objects.WatchedStore,
        kind: str,
        callbacks: WatchCallbacks,
        eras: store_eras.StoreEras,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
        times: WatchTimes = DEFAULT_TIMES,
    ):
        self._store = store
        self._kind = kind
        self._callbacks = callbacks
        self._eras = eras
        self._clock = clock
        self._rng = rng
        self._journal = log
        self.times = times
        self.version: int | None = None
        # The era of the list from which the watch continues.
        self._era: objects.StoreEra | None = None
        # The start of the latest call that was answered.
        self._confirmed_at = float("-inf")
        self._answered_at: float | None = None
        # Since when calls have failed; None after an answer.
        self._failing_since: float | None = None
        self._store_lost = False

    async def run(self) -> None:
        """Lists and watches the objects until cancelled."""
        version: int | None = None
        failures = 0
        while True:
            started_at = self._clock.now()
            try:
                if version is None:
                    version, self._era = await self._list()
                else:
                    version = await self._watch(version)
                failures = 0
            except errors.StoreWatchExpiredError:
                self._journal.record_failure("history_gone", kind=self._kind)
                version = None
                await self._clock.sleep(
                    self._rng.random() * self.times.relist_seconds
                )
            except errors.StoreError as error:
                self._record_error(error, started_at)
                pause = backoff.compute_pause(
                    failures,
                    longest_seconds=self.times.backoff_seconds,
                    rng=self._rng,
                )
                failures += 1
                await self._clock.sleep(pause)

    async def read_now(self) -> None:
        """Lists the objects once, beside the running watch.

        Raises:
            errors.StoreError: the store did not answer.
        """
        await self._list()

    async def _list(self) -> tuple[int, objects.StoreEra | None]:
        """Replaces the copy; returns the version and the era to watch from."""
        started_at = self._clock.now()
        listing = await self._store.list_at(self._kind)
        await self._adopt_era(listing.era)
        self._record_answer()
        self.version = listing.version
        self._callbacks.replace_all(listing.objects, self._clock.now())
        self._confirm(started_at)
        return listing.version, self._eras.newest

    async def _adopt_era(self, era: objects.StoreEra | None) -> None:
        """Adopts the era of an answer.

        Raises:
            errors.StoreEraPassedError: a newer era has been seen.
        """
        now = self._clock.now()
        await self._eras.observe(era, store_eras.STORE, now)
        if era is not None and self._eras.is_outdated(era):
            raise errors.StoreEraPassedError(
                f"{self._kind} of era {era} after era {self._eras.newest}"
            )

    async def _watch(self, version: int) -> int:
        started_at = self._clock.now()
        seconds = self._choose_wait(started_at)
        events = await self._watch_until_newer_era(version, seconds)
        await self._adopt_era(events.era)
        self._check_era()
        self._record_answer()
        self.version = events.version
        if events.objects:
            self._callbacks.apply_changes(events.objects, self._clock.now())
        self._confirm(started_at)
        if events.objects and self.times.pause_seconds:
            await self._clock.sleep(self.times.pause_seconds)
        return events.version

    def _choose_wait(self, now: float) -> float:
        """Returns how long a watch that begins now waits for a change."""
        # Short watches detect quickly that the store is reachable again.
        if self._failing_since is not None:
            return OUTAGE_WATCH_SECONDS
        rewrite_ends_at = self._eras.get_rewrite_end()
        if self._confirmed_at >= rewrite_ends_at:
            return self.times.wait_seconds
        # An answer in a grace period confirms little, so the first one after
        # it should come soon.
        remaining = rewrite_ends_at - now
        return max(
            OUTAGE_WATCH_SECONDS, min(remaining, self.times.wait_seconds)
        )

    async def _watch_until_newer_era(
        self, version: int, seconds: float
    ) -> objects.WatchEvents:
        """Calls the store, and gives the call up when a newer era is seen."""
        async with curio.TaskGroup(wait=any) as group:
            call = await group.spawn(self._try_watch, version, seconds)
            await group.spawn(self._eras.wait_newer, self._era)
        if group.completed is not call:
            self._check_era()
        if isinstance(call.result, errors.StoreError):
            raise call.result
        return call.result

    async def _try_watch(
        self, version: int, seconds: float
    ) -> objects.WatchEvents | errors.StoreError:
        """Calls the store; returns the error of a failed call."""
        try:
            return await self._store.watch(self._kind, version, seconds)
        except errors.StoreError as error:
            return error

    def _check_era(self) -> None:
        """Checks that the copy is of the newest era.

        Raises:
            errors.StoreWatchExpiredError: it is not, so its version is of no
                use any more.
        """
        if self._eras.is_outdated(self._era):
            raise errors.StoreWatchExpiredError(
                f"{self._kind} of era {self._era}, not {self._eras.newest}"
            )

    def _confirm(self, started_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, started_at)
        self._callbacks.confirm(started_at)

    def _record_answer(self) -> None:
        now = self._clock.now()
        previous_at = self._answered_at
        self._answered_at = now
        self._failing_since = None
        silence_limit = self.times.wait_seconds + OUTAGE_SECONDS
        if previous_at is not None and (
            self._store_lost or now - previous_at > silence_limit
        ):
            self._callbacks.handle_recovery(now)
        if self._store_lost:
            self._journal.record_event("store_regained", kind=self._kind)
        self._store_lost = False

    def _record_error(
        self, error: errors.StoreError, started_at: float
    ) -> None:
        """Records a failed call that began at `started_at`."""
        now = self._clock.now()
        if self._failing_since is None:
            # A call that was not answered within its wait may have been
            # without a store from the start.
            silent = now - started_at >= self.times.wait_seconds
            self._failing_since = started_at if silent else now
        if self._store_lost or now - self._failing_since < OUTAGE_SECONDS:
            return
        self._store_lost = True
        self._journal.record_failure(
            "store_lost", kind=self._kind, error=str(error)
        )
