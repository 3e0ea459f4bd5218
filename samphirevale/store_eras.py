"""Tracks the eras of the store, which begin when it returns from a copy.

A store that returns from a copy of itself lacks its latest writes, and gives
their revisions out again. Its era rises by one each time. Revisions therefore
compare only within one era, and an answer of an earlier era than one already
seen is outdated. What the copy lacks is written again by whoever wrote it.
"""

import enum
from collections.abc import Callable

import curio

from samphirevale import journal, metrics
from samphirevale.ports import objects

# How long after a new era what its copy lacks is written again, in seconds.
REWRITE_SECONDS = 2.0

# Where an era is learned from if not from another entry, for the log.
STORE = "store"


class Relation(enum.Enum):
    """How the era of an answer relates to the newest era seen."""

    CURRENT = "current"
    NEWER = "newer"
    OLDER = "older"


def compare(
    era: objects.StoreEra | None, newest: objects.StoreEra | None
) -> Relation:
    """Compares the era of an answer with the newest era seen.

    An answer that states no era counts as current.
    """
    if era is None or era == newest:
        return Relation.CURRENT
    if newest is None or era > newest:
        return Relation.NEWER
    return Relation.OLDER


class StoreEras:
    """The newest era that an entry has seen.

    Attributes:
        newest: the newest era; None before the first answer that states one.
    """

    def __init__(
        self,
        on_changed: Callable[[float], None],
        log: journal.Journal,
        on_first: Callable[[float], None] = lambda now: None,
        on_settled: Callable[[], None] = lambda: None,
    ):
        """Initializes it without an era.

        Args:
            on_changed: called with the time of each change, before anything
                of the new era is adopted. The first era is no change.
            log: the log of changes.
            on_first: called with the time of the first era.
            on_settled: called when the newest era is known to be settled.
        """
        self.newest: objects.StoreEra | None = None
        # Since when the newest era may lack writes; -inf if it lacks none.
        self._seen_at = float("-inf")
        self._on_changed = on_changed
        self._on_first = on_first
        self._on_settled = on_settled
        self._log = log
        self._condition = curio.Condition()

    async def observe(
        self, era: objects.StoreEra | None, learned_from: str, now: float
    ) -> Relation:
        """Adopts an era if it is newer; returns how it relates to the newest.

        Args:
            era: the era of an answer; None if it states none.
            learned_from: STORE, or the name of another entry.
            now: the present time.
        """
        relation = compare(era, self.newest)
        if relation is Relation.NEWER:
            self._adopt(era, learned_from, now)
            async with self._condition:
                await self._condition.notify_all()
        return relation

    def _adopt(
        self, era: objects.StoreEra, learned_from: str, now: float
    ) -> None:
        previous, self.newest = self.newest, era
        self._seen_at = now
        if previous is None:
            self._on_first(now)
            return
        metrics.STORE_ERA_CHANGES.inc()
        self._log.record_event(
            "store_era_changed",
            era=era,
            previous=previous,
            learned_from=learned_from,
        )
        self._on_changed(now)

    def is_outdated(self, era: objects.StoreEra | None) -> bool:
        """Returns whether a newer era than this one has been seen."""
        return compare(self.newest, era) is Relation.NEWER

    def get_rewrite_end(self) -> float:
        """Returns when the store has again what its copy lacked.

        A process that has just started does not know how long the store has
        been in its era, and counts from then on.
        """
        return self._seen_at + REWRITE_SECONDS

    def settle(self) -> None:
        """Records that the store lacks nothing in its newest era."""
        if self._seen_at == float("-inf"):
            return
        self._seen_at = float("-inf")
        self._on_settled()

    async def wait_newer(self, era: objects.StoreEra | None) -> None:
        """Waits until a newer era than this one has been seen."""
        async with self._condition:
            while not self.is_outdated(era):
                await self._condition.wait()
