"""What each entry writes into the store for operators at the others.

An entry writes one object, `status/{instance}`, and removes it when it stops
gracefully. Store calls a second, with E entries, S statuses in the store and
Q queries of operators a second:

    E / (0.75 * (INTERVAL_SECONDS + CHANGE_SECONDS))  writes at rest, mean
    E / (0.5 * CHANGE_SECONDS)    writes at most, while revisions change
    2 * Q                         reads: the configuration, and a list
    E / (0.5 * RETRY_SECONDS)     reads at most, while the store is down

Old ones are deleted by the entries' sweep of expired objects.
"""

import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple, TypedDict

import curio

from samphirevale import errors, messages, node, sidecars, statistics
from samphirevale.ports import objects

OBJECT_KIND = "status"

# The interval between two writes while nothing changes, and the shortest one
# when something does, in seconds; drawn between half of it and the whole.
INTERVAL_SECONDS = 10.0
CHANGE_SECONDS = 1.0

# The wait after a failed write, in seconds; drawn in the same way.
RETRY_SECONDS = 3.0

# The interval between looks for a change, in seconds.
CHECK_SECONDS = 0.25

# A status that was not rewritten for this long tells nothing of the present,
# in seconds. Wall clocks of two instances differ by less.
NOT_HEARD_SECONDS = 120.0

# What it says of sidecars is believed for a shorter time, in seconds: an
# entry that runs writes within seconds when it loses one.
SIDECARS_SECONDS = 20.0

# A status is deleted this long after its last write, in seconds.
KEEP_SECONDS = 3600.0

# The most sidecars of a status, and batches of a sidecar. With them and the
# bound of the statistics a status stays far below the store's limit.
SIDECARS_LIMIT = 500
BATCHES_LIMIT = 16

# The longest wait for the removal of the own status, in seconds.
REMOVE_SECONDS = 3.0


class SidecarStatus(TypedDict):
    """A sidecar as one entry sees it.

    Keys:
        instance: its instance name; its address until it was connected once.
        endpoint, pool, data_centre: what it said of itself.
        revision: the configuration revision of its latest frame.
        heard_age_ms: time since its latest frame; None if there was none.
        connected: the entry holds a connection, with a heartbeat.
        leaving: it or the platform's list says that it is leaving.
        healthy: it reaches its endpoint.
        running, waiting, limit, service_ms, wait_ms: as its heartbeat says.
        batches: the batches that its endpoint has loaded.
    """

    instance: str
    endpoint: str
    pool: str
    data_centre: str
    revision: int
    heard_age_ms: float | None
    connected: bool
    leaving: bool
    healthy: bool
    running: int
    waiting: int
    limit: int
    service_ms: float
    wait_ms: float
    batches: list[str]


class EntryStatus(TypedDict):
    """An entry's status.

    Keys:
        instance: its instance name.
        incarnation: its process's token.
        data_centre: where it runs.
        leaving: it is stopping.
        revision: the configuration revision that it holds.
        sidecars: those that it knows.
        statistics: a statistics.StatisticsValue.
        started_at, written_at: wall-clock seconds.
        expires_at: when it may be deleted, in wall-clock seconds.
    """

    instance: str
    incarnation: str
    data_centre: str
    leaving: bool
    revision: int
    sidecars: list[SidecarStatus]
    statistics: statistics.StatisticsValue
    started_at: float
    written_at: float
    expires_at: float


class Identity(NamedTuple):
    """Who writes a status.

    Attributes:
        instance: the entry's instance name.
        incarnation: its process's token.
        data_centre: where it runs.
        started_at: when it started, in wall-clock seconds.
    """

    instance: str
    incarnation: str
    data_centre: str
    started_at: float


def build_identity(hello: messages.Hello, started_at: float) -> Identity:
    """Returns who an entry is, as it also tells its sidecars."""
    return Identity(
        hello.instance, hello.incarnation, hello.data_centre, started_at
    )


def build_status(
    entry_node: node.Node, identity: Identity, now: float, wall_now: float
) -> EntryStatus:
    """Returns what an entry knows itself.

    Args:
        entry_node: what the entry knows and holds.
        identity: who it is.
        now: monotonic seconds.
        wall_now: wall-clock seconds.
    """
    known = [
        _build_sidecar(peer, now) for peer in entry_node.peers.peers.values()
    ]
    return EntryStatus(
        instance=identity.instance,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        leaving=entry_node.peers.leaving,
        revision=entry_node.holder.revision,
        sidecars=known[:SIDECARS_LIMIT],
        statistics=entry_node.statistics.to_value(),
        started_at=identity.started_at,
        written_at=wall_now,
        expires_at=wall_now + KEEP_SECONDS,
    )


def _build_sidecar(peer: sidecars.Peer, now: float) -> SidecarStatus:
    hello, beat = peer.hello, peer.heartbeat
    age_ms = (now - peer.heard_at) * 1000 if hello else None
    leaving = peer.is_leaving
    return SidecarStatus(
        instance=_name_peer(peer),
        endpoint=peer.endpoint,
        pool=hello.pool if hello else "",
        data_centre=hello.data_centre if hello else "",
        revision=peer.revision,
        heard_age_ms=age_ms,
        connected=beat is not None,
        leaving=leaving,
        healthy=bool(beat and beat.healthy),
        running=beat.running if beat else 0,
        waiting=beat.waiting if beat else 0,
        limit=beat.limit if beat else 0,
        service_ms=beat.service_ms if beat else 0.0,
        wait_ms=beat.wait_ms if beat else 0.0,
        batches=beat.batches[:BATCHES_LIMIT] if beat else [],
    )


def read_status(value: Any) -> EntryStatus:
    """Returns the status that another entry wrote.

    Raises:
        errors.InvalidInputError: it is no EntryStatus.
    """
    findings = _check_fields(value, EntryStatus, "status")
    if not findings:
        for item in value["sidecars"]:
            findings += _check_fields(item, SidecarStatus, "status.sidecars")
    if findings:
        raise errors.InvalidInputError(findings)
    statistics.Statistics.from_value(value["statistics"])
    return value


def _check_fields(
    value: Any, value_type: type, place: str
) -> list[errors.Finding]:
    if not isinstance(value, dict):
        return [errors.Finding(place, "an object", type(value).__name__)]
    missing = value_type.__required_keys__ - set(value)
    return [
        errors.Finding(f"{place}.{name}", "a value") for name in sorted(missing)
    ]


def read_revisions(entry_node: node.Node) -> tuple[Any, ...]:
    """Returns what makes an entry write at once when it changes.

    It is read several times a second, and so without building the status.
    """
    peers = entry_node.peers.peers.values()
    return (
        entry_node.holder.revision,
        entry_node.peers.leaving,
        *(
            (_name_peer(peer), peer.revision, peer.heartbeat is not None)
            for peer in itertools.islice(peers, SIDECARS_LIMIT)
        ),
    )


def _name_peer(peer: sidecars.Peer) -> str:
    return peer.hello.instance if peer.hello else peer.address


class StatusWriter:
    """Keeps an entry's own status in the store."""

    def __init__(
        self,
        entry_node: node.Node,
        build: Callable[[], EntryStatus],
    ):
        """Prepares the writer.

        Args:
            entry_node: what the entry knows and holds.
            build: returns the present status.
        """
        self._node = entry_node
        self._store = entry_node.store
        self._build = build
        self._rng = entry_node.rng
        self._clock = entry_node.clock
        # The version of the stored status; None if that is not known.
        self._version: int | None = None
        self._is_superseded = False

    async def follow(self) -> None:
        """Writes the status until another process takes the name over."""
        while not self._is_superseded:
            # Read with the status, so that a change during the write is seen.
            status, revisions = self._build(), read_revisions(self._node)
            if await self._write_or_skip(status):
                await self._wait_for_change(revisions)
            else:
                await self._sleep(RETRY_SECONDS)

    async def _write_or_skip(self, status: EntryStatus) -> bool:
        """Writes the status and tells whether that went well."""
        try:
            await self._write(status)
        except errors.StoreError:
            # The version is read afresh, as a write may have taken effect.
            self._version = None
            return False
        return True

    async def _write(self, status: EntryStatus) -> None:
        name = status["instance"]
        if self._version is None:
            stored = await self._store.get(OBJECT_KIND, name)
            if stored is None:
                made = await self._store.create(OBJECT_KIND, name, status)
                self._version = made.version
                return
            self._is_superseded = _is_newer(stored.value, status)
            if self._is_superseded:
                return
            self._version = stored.version
        made = await self._store.update(
            OBJECT_KIND, name, status, self._version
        )
        self._version = made.version

    async def _wait_for_change(self, revisions: tuple[Any, ...]) -> None:
        """Returns when the next write is due."""
        await self._sleep(CHANGE_SECONDS)
        spread = self._rng.uniform(0.5, 1.0)
        due_at = self._clock.now() + INTERVAL_SECONDS * spread
        while self._clock.now() < due_at:
            if read_revisions(self._node) != revisions:
                return
            await self._clock.sleep(CHECK_SECONDS)

    async def _sleep(self, seconds: float) -> None:
        await self._clock.sleep(self._rng.uniform(seconds / 2, seconds))

    async def remove(self) -> None:
        """Deletes the own status; one that stays is deleted once it is old."""
        status = self._build()
        with contextlib.suppress(errors.StoreError):
            stored = await self._store.get(OBJECT_KIND, status["instance"])
            if stored is None:
                return
            if stored.value.get("incarnation") == status["incarnation"]:
                await self._store.delete(
                    OBJECT_KIND, status["instance"], stored.version
                )


def _is_newer(stored: Any, status: EntryStatus) -> bool:
    """Tells whether a later process has taken the instance's name over."""
    if stored.get("incarnation") == status["incarnation"]:
        return False
    return stored.get("started_at", 0.0) > status["started_at"]


@contextlib.asynccontextmanager
async def publish_status(writer: StatusWriter) -> AsyncIterator[None]:
    """Keeps the status in the store for as long as the block lasts."""
    task = await curio.spawn(writer.follow, daemon=True)
    try:
        yield
    finally:
        await task.cancel()
        async with curio.ignore_after(REMOVE_SECONDS):
            await writer.remove()


async def list_statuses(
    store: objects.ObjectStore, but_instance: str
) -> list[EntryStatus]:
    """Returns the statuses of the other entries.

    One that cannot be read, as an entry of another version may write it, is
    left out.

    Raises:
        errors.StoreError: the store does not tell now.
    """
    found = []
    for stored in await store.list_kind(OBJECT_KIND):
        if stored.name == but_instance:
            continue
        with contextlib.suppress(errors.InvalidInputError):
            found.append(read_status(stored.value))
    return found
