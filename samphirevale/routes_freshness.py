"""Keeps the age of the routes low with few calls to the store.

Each entry must know that its routes are recent, as keys may have been revoked.
In a large fleet only some entries of each data centre, the sources, read the
store that often. The others ask a source over a link. They ask at their own
time t, the source answers that its copy was current `age` ago, and so the copy
was current at t - age by the clock of the one who asked. Delays and pauses on
the way only make that older, and no two clocks are compared. The answer counts
if the asking entry has the same version or a newer one, and knows of no newer
era of the store.

An entry whose sources do not answer reads the store itself.
"""

import enum
import hashlib
import random
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple, Protocol

import curio

from samphirevale import (
    cluster_state,
    errors,
    journal,
    ownership,
    store_eras,
)
from samphirevale.availability import cordons
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The number of entries of each data centre that read the store often.
SOURCES_PER_DATA_CENTRE = 2

# The interval between checks of the age, in seconds.
CHECK_SECONDS = 0.2

# The ages at which a source is asked and at which the store is read, as shares
# of the age at which the routes may not be used any more. The second one is
# drawn between two bounds, so that the entries of a fleet do not all read at
# the same time.
ASK_SHARE = 0.25
READ_SHARES = (0.55, 0.75)

# The pause after a failed read of the store, in seconds.
FAILED_READ_SECONDS = 0.5


class Action(enum.Enum):
    """What an entry does about the age of its routes."""

    WAIT = "wait"
    ASK = "ask"
    READ = "read"


class Confirmation(NamedTuple):
    """What another entry knows of the routes.

    Attributes:
        version: the version of its routes.
        age_seconds: how long ago its copy was current, at the answer.
        era: the era of the store in which it was; None without one.
    """

    version: int
    age_seconds: float
    era: objects.StoreEra | None = None


class StoreKnowledge(NamedTuple):
    """What another entry reports of the store.

    Attributes:
        era: the newest era that it has seen; None if it has seen none.
        version: the version of its routes, or entry_messages.NO_ROUTES.
        cordoned: the cordoned data centres.
    """

    era: objects.StoreEra | None
    version: int
    cordoned: cordons.CordonList = cordons.UNKNOWN_LIST


class Sources(Protocol):
    """Asks other entries for the age of their routes."""

    async def ask_routes_age(self, name: str) -> Confirmation | None:
        """Asks an entry; returns None if it does not answer or know."""

    def is_linked(self, name: str) -> bool:
        """Returns whether there is a link to an entry."""


def choose_sources(members: Collection[ownership.Member]) -> frozenset[str]:
    """Returns the names of the entries that read the store often.

    All entries choose the same ones from the same members.
    """
    by_data_centre: dict[str, list[str]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member.name)
    return frozenset(
        name
        for names in by_data_centre.values()
        for name in sorted(names, key=_compute_hash)[:SOURCES_PER_DATA_CENTRE]
    )


def _compute_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def choose_action(
    age_seconds: float, usable_seconds: float, has_source: bool, draw: float
) -> Action:
    """Returns what to do about the age of the routes.

    Args:
        age_seconds: the age of the routes.
        usable_seconds: the age at which they may not be used any more.
        has_source: whether there is a link to a source.
        draw: a random number from 0 to 1 that spreads reads over time.
    """
    low, high = READ_SHARES
    if age_seconds > usable_seconds * (low + draw * (high - low)):
        return Action.READ
    if has_source and age_seconds > usable_seconds * ASK_SHARE:
        return Action.ASK
    return Action.WAIT


class RoutesFreshness:
    """Confirms the routes of one entry.

    Attributes:
        is_source: whether this entry reads the store often itself.
    """

    def __init__(
        self,
        name: str,
        known: cluster_state.ClusterState,
        sources: Sources,
        read_routes: Callable[[], Awaitable[None]],
        eras: store_eras.StoreEras,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        """Initializes it without any source.

        Args:
            name: the name of this entry.
            known: provides the entries and the age of the routes.
            sources: asks other entries.
            read_routes: reads the routes from the store and confirms them.
            eras: the eras of the store.
            clock: a clock that includes time while the machine is suspended.
            rng: the source of random numbers.
            log: the log of failed reads.
        """
        self.is_source = True
        self._name = name
        self._cluster = known
        self._sources = sources
        self._read_routes = read_routes
        self._eras = eras
        self._clock = clock
        self._rng = rng
        self._log = log
        self._names: frozenset[str] = frozenset()

    def adopt_members(self, members: Collection[ownership.Member]) -> None:
        """Chooses the sources among the live entries."""
        self._names = choose_sources(members)
        self.is_source = self._name in self._names

    async def run(self) -> None:
        """Checks the age until cancelled."""
        while True:
            await curio.sleep(CHECK_SECONDS)
            await self.check()

    async def check(self) -> None:
        """Asks a source or reads the store if the routes are old."""
        if self.is_source or self._cluster.table is None:
            return
        linked = [
            name
            for name in sorted(self._names)
            if self._sources.is_linked(name)
        ]
        age = self._cluster.routes_age
        action = choose_action(
            age.compute_age(self._clock.now()),
            age.get_usable_seconds(),
            bool(linked),
            self._rng.random(),
        )
        if action is Action.ASK:
            await self.ask(self._rng.choice(linked))
        elif action is Action.READ:
            await self._read()

    async def ask(self, name: str) -> None:
        """Asks a source, and confirms the routes if it has no newer ones."""
        asked_at = self._clock.now()
        answer = await self._sources.ask_routes_age(name)
        if answer is None:
            return
        relation = await self._eras.observe(answer.era, name, self._clock.now())
        if relation is store_eras.Relation.OLDER:
            return
        self._cluster.note_routes_version(answer.version)
        if answer.version > self._cluster.table.version:
            # The watch of this entry has not brought this version yet.
            await self._read()
        else:
            self._cluster.confirm_routes(
                asked_at - answer.age_seconds, self._eras.newest
            )

    async def _read(self) -> None:
        try:
            await self._read_routes()
        except errors.StoreError as error:
            self._log.record_failure("routes_not_read", error=str(error))
            await self._clock.sleep(FAILED_READ_SECONDS)
            return
        if not self._cluster.has_newest_routes():
            self._log.record_failure(
                "routes_not_read", error="another entry has newer routes"
            )
            await self._clock.sleep(FAILED_READ_SECONDS)
