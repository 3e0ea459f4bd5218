"""Keeps a copy of one kind of stored object up to date, whatever happens.

A watch that is cut, silent or refused is begun again; one whose history is
gone is preceded by a new list. Each answer confirms what was known when its
call began.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from samphirevale import backoff, errors, journal
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# How long one watch waits for a change, in seconds: it bounds the age of
# what is known. That of the keys decides when requests must be refused.
WATCH_SECONDS = 1.5
KEYS_WATCH_SECONDS = 0.8

# How long a watch waits while the store is lost, in seconds.
LOST_WATCH_SECONDS = 0.05

# Without an answer for that long the store counts as lost, in seconds.
OUTAGE_SECONDS = 2.0

# The longest pause after a failed call, in seconds.
PAUSE_SECONDS_LIMIT = 0.4


class Sink(NamedTuple):
    """What is told to who keeps the copy; `now` is the last argument of each.

    Attributes:
        take_list: all objects, which replace what was known.
        take_changes: changed objects; a deleted one has the value None.
        take_confirmation: nothing else has changed before that time.
        take_return: the store is back after an outage.
    """

    take_list: Callable[[Iterable[objects.StoredObject], float], None]
    take_changes: Callable[[Iterable[objects.StoredObject], float], None]
    take_confirmation: Callable[[float], None]
    take_return: Callable[[float], None]


class Follower:
    """Follows one kind."""

    def __init__(
        self,
        store: objects.FollowedStore,
        kind: str,
        sink: Sink,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
        watch_seconds: float = WATCH_SECONDS,
    ):
        self._store = store
        self._kind = kind
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._journal = log
        self._watch_seconds = watch_seconds
        self._answered_at: float | None = None
        self._lost = False

    async def run(self) -> None:
        """Follows for ever."""
        version: int | None = None
        tries = 0
        while True:
            try:
                if version is None:
                    version = await self._list()
                else:
                    version = await self._watch(version)
                tries = 0
            except errors.StoreWatchExpiredError:
                self._journal.note_failure("history_gone", kind=self._kind)
                version = None
            except errors.StoreError as error:
                self._note_error(error)
                pause = backoff.compute_pause(
                    tries,
                    longest_seconds=PAUSE_SECONDS_LIMIT,
                    rng=self._rng,
                )
                tries += 1
                await self._clock.sleep(pause)

    async def _list(self) -> int:
        began_at = self._clock.now()
        listing = await self._store.list_at(self._kind)
        self._note_answer()
        self._sink.take_list(listing.objects, self._clock.now())
        self._sink.take_confirmation(began_at)
        return listing.version

    async def _watch(self, version: int) -> int:
        began_at = self._clock.now()
        # A store that is lost is asked for a quick answer, so that its return
        # is noticed soon.
        seconds = LOST_WATCH_SECONDS if self._lost else self._watch_seconds
        events = await self._store.watch(self._kind, version, seconds)
        self._note_answer()
        if events.objects:
            self._sink.take_changes(events.objects, self._clock.now())
        self._sink.take_confirmation(began_at)
        return events.version

    def _note_answer(self) -> None:
        now = self._clock.now()
        before = self._answered_at
        self._answered_at = now
        silent = self._watch_seconds + OUTAGE_SECONDS
        if before is not None and (self._lost or now - before > silent):
            self._sink.take_return(now)
        if self._lost:
            self._journal.note_change("store_regained", kind=self._kind)
        self._lost = False

    def _note_error(self, error: errors.StoreError) -> None:
        now = self._clock.now()
        if self._lost or (
            self._answered_at is not None
            and now - self._answered_at < OUTAGE_SECONDS
        ):
            return
        self._lost = True
        self._journal.note_failure(
            "store_lost", kind=self._kind, error=str(error)
        )
