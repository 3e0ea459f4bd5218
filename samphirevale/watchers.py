"""Keeps a local copy of one kind of stored object up to date.

A watch that fails or times out is restarted. If the store no longer has the
history that a watch needs, all objects are listed again first. Each answer
confirms that the copy was current when the call began.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from samphirevale import backoff, errors, journal
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# How long a watch waits for a change by default, in seconds.
WATCH_SECONDS = 1.5

# How long a watch waits after a failed call and while the store is unreachable,
# in seconds.
OUTAGE_WATCH_SECONDS = 0.05

# The time of failing calls after which the store is considered unreachable, in
# seconds.
OUTAGE_SECONDS = 2.0

# The longest backoff after a failed call by default, in seconds.
BACKOFF_LIMIT_SECONDS = 0.4


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
    """

    wait_seconds: float = WATCH_SECONDS
    backoff_seconds: float = BACKOFF_LIMIT_SECONDS
    pause_seconds: float = 0.0


DEFAULT_TIMES = WatchTimes()


class Watcher:
    """Keeps the copy of one kind of stored object.

    Attributes:
        times: how often the objects are read; may change while it runs.
    """

    def __init__(
        self,
        store: objects.WatchedStore,
        kind: str,
        callbacks: WatchCallbacks,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
        times: WatchTimes = DEFAULT_TIMES,
    ):
        self._store = store
        self._kind = kind
        self._callbacks = callbacks
        self._clock = clock
        self._rng = rng
        self._journal = log
        self.times = times
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
                    version = await self._list()
                else:
                    version = await self._watch(version)
                failures = 0
            except errors.StoreWatchExpiredError:
                self._journal.record_failure("history_gone", kind=self._kind)
                version = None
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

    async def _list(self) -> int:
        started_at = self._clock.now()
        listing = await self._store.list_at(self._kind)
        self._record_answer()
        self._callbacks.replace_all(listing.objects, self._clock.now())
        self._callbacks.confirm(started_at)
        return listing.version

    async def _watch(self, version: int) -> int:
        started_at = self._clock.now()
        seconds = self.times.wait_seconds
        # Short watches detect quickly that the store is reachable again.
        if self._failing_since is not None:
            seconds = OUTAGE_WATCH_SECONDS
        events = await self._store.watch(self._kind, version, seconds)
        self._record_answer()
        if events.objects:
            self._callbacks.apply_changes(events.objects, self._clock.now())
        self._callbacks.confirm(started_at)
        if events.objects and self.times.pause_seconds:
            await self._clock.sleep(self.times.pause_seconds)
        return events.version

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
