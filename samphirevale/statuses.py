"""The status that each entry publishes in the store for the other entries.

Any entry can answer operators' queries from the statuses of all. An entry
writes one object, `status/{instance}`, and removes it on a graceful stop. The
rates of store calls per second, with E entries and Q operators' queries per
second, are:

    E / (0.75 * (INTERVAL_SECONDS + MIN_INTERVAL_SECONDS))  mean writes, idle
    E / (0.5 * MIN_INTERVAL_SECONDS)  maximum writes, while revisions change
    2 * Q                             reads: the configuration and the list
    E / (0.5 * RETRY_SECONDS)         maximum reads, while the store is down

Entries delete expired statuses together with other expired objects.
"""

import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple, TypedDict

import curio

from samphirevale import entry_context, errors, messages, sidecars, statistics
from samphirevale.ports import objects

OBJECT_KIND = "status"

# The interval between two writes without changes, and the minimum interval
# when something changes, in seconds. Each wait is drawn at random between half
# of the interval and the whole interval.
INTERVAL_SECONDS = 10.0
MIN_INTERVAL_SECONDS = 1.0

# The wait after a failed write, in seconds, with the same jitter.
RETRY_SECONDS = 3.0

# The polling interval for changes, in seconds.
POLL_SECONDS = 0.25

# The age up to which a status counts as current, in seconds. It exceeds the
# difference between the wall clocks of two instances.
STATUS_FRESH_SECONDS = 120.0

# The age up to which the sidecars' states in a status count as current, in
# seconds. It is shorter because a running entry rewrites its status within
# seconds when it loses a sidecar.
SIDECARS_FRESH_SECONDS = 20.0

# The time from a status's last write to its expiry, in seconds.
RETENTION_SECONDS = 3600.0

# The maximum number of sidecars in a status and of batches per sidecar. With
# these limits and that of the statistics, the size of a status stays far below
# the store's limit.
SIDECARS_LIMIT = 500
BATCHES_LIMIT = 16

# The timeout for removing the entry's own status, in seconds.
REMOVE_TIMEOUT_SECONDS = 3.0


class SidecarStatus(TypedDict):
    """A sidecar as one entry sees it.

    Keys:
        instance: the sidecar's instance name; its address until the first
            connection.
        endpoint, pool, data_centre: as reported by the sidecar.
        revision: the configuration revision in the sidecar's latest frame.
        heard_age_ms: the time since the latest frame; None if there was none.
        connected: whether the entry has a connection and a heartbeat.
        leaving: whether the sidecar or the platform's list reports that the
            sidecar is leaving.
        healthy: whether the sidecar reaches its endpoint.
        running, waiting, limit, service_ms, wait_ms: as in the latest
            heartbeat.
        batches: the batches that the endpoint has loaded.
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
        instance: the entry's instance name.
        incarnation: the token of the entry's process.
        data_centre: the data centre that the entry runs in.
        leaving: whether the entry is stopping.
        revision: the entry's configuration revision.
        sidecars: the sidecars that the entry knows.
        statistics: the entry's counts.
        started_at: when the process started, in wall-clock seconds.
        written_at: when the status was written, in wall-clock seconds.
        expires_at: when the status may be deleted, in wall-clock seconds.
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
    """The identity of an entry's process.

    Attributes:
        instance: the entry's instance name.
        incarnation: the token of the entry's process.
        data_centre: the data centre that the entry runs in.
        started_at: when the process started, in wall-clock seconds.
    """

    instance: str
    incarnation: str
    data_centre: str
    started_at: float


def build_identity(hello: messages.Hello, started_at: float) -> Identity:
    """Builds an entry's identity from the hello that it sends to sidecars."""
    return Identity(
        hello.instance, hello.incarnation, hello.data_centre, started_at
    )


def build_status(
    context: entry_context.EntryContext,
    identity: Identity,
    now: float,
    wall_now: float,
) -> EntryStatus:
    """Builds an entry's present status.

    Args:
        context: the entry's state.
        identity: the entry's identity.
        now: the monotonic time, in seconds.
        wall_now: the wall-clock time, in seconds.
    """
    sidecar_statuses = [
        _build_sidecar(peer, now) for peer in context.peers.peers.values()
    ]
    return EntryStatus(
        instance=identity.instance,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        leaving=context.peers.leaving,
        revision=context.holder.revision,
        sidecars=sidecar_statuses[:SIDECARS_LIMIT],
        statistics=context.statistics.to_value(),
        started_at=identity.started_at,
        written_at=wall_now,
        expires_at=wall_now + RETENTION_SECONDS,
    )


def _build_sidecar(peer: sidecars.Peer, now: float) -> SidecarStatus:
    hello, heartbeat = peer.hello, peer.heartbeat
    age_ms = (now - peer.heard_at) * 1000 if hello else None
    leaving = peer.is_leaving
    return SidecarStatus(
        instance=_get_peer_name(peer),
        endpoint=peer.endpoint,
        pool=hello.pool if hello else "",
        data_centre=hello.data_centre if hello else "",
        revision=peer.revision,
        heard_age_ms=age_ms,
        connected=heartbeat is not None,
        leaving=leaving,
        healthy=bool(heartbeat and heartbeat.healthy),
        running=heartbeat.running if heartbeat else 0,
        waiting=heartbeat.waiting if heartbeat else 0,
        limit=heartbeat.limit if heartbeat else 0,
        service_ms=heartbeat.service_ms if heartbeat else 0.0,
        wait_ms=heartbeat.wait_ms if heartbeat else 0.0,
        batches=heartbeat.batches[:BATCHES_LIMIT] if heartbeat else [],
    )


def read_status(value: Any) -> EntryStatus:
    """Checks and returns a status that another entry wrote.

    Raises:
        errors.InvalidInputError: the value is not an EntryStatus.
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


def read_revisions(context: entry_context.EntryContext) -> tuple[Any, ...]:
    """Returns the values whose change triggers a write of the status.

    They are polled several times a second, which is why this function does
    not build a complete status.
    """
    peers = context.peers.peers.values()
    return (
        context.holder.revision,
        context.peers.leaving,
        *(
            (_get_peer_name(peer), peer.revision, peer.heartbeat is not None)
            for peer in itertools.islice(peers, SIDECARS_LIMIT)
        ),
    )


def _get_peer_name(peer: sidecars.Peer) -> str:
    return peer.hello.instance if peer.hello else peer.address


class StatusWriter:
    """Keeps an entry's own status in the store."""

    def __init__(
        self,
        context: entry_context.EntryContext,
        build: Callable[[], EntryStatus],
    ):
        """Initializes the writer.

        Args:
            context: the entry's state.
            build: returns the present status.
        """
        self._context = context
        self._store = context.store
        self._build = build
        self._rng = context.rng
        self._clock = context.clock
        # The version of the stored status; None if unknown.
        self._version: int | None = None
        self._is_superseded = False

    async def run(self) -> None:
        """Writes the status until a newer process takes over the name."""
        while not self._is_superseded:
            # Read the revisions before the write, to detect a change during it.
            status, revisions = self._build(), read_revisions(self._context)
            if await self._try_write(status):
                await self._wait_for_change(revisions)
            else:
                await self._sleep(RETRY_SECONDS)

    async def _try_write(self, status: EntryStatus) -> bool:
        """Writes the status; returns whether there was no error."""
        try:
            await self._write(status)
        except errors.StoreError:
            # The failed write may have taken effect: read the version again.
            self._version = None
            return False
        return True

    async def _write(self, status: EntryStatus) -> None:
        name = status["instance"]
        if self._version is None:
            stored = await self._store.get(OBJECT_KIND, name)
            if stored is None:
                written = await self._store.create(OBJECT_KIND, name, status)
                self._version = written.version
                return
            self._is_superseded = _is_newer(stored.value, status)
            if self._is_superseded:
                return
            self._version = stored.version
        written = await self._store.update(
            OBJECT_KIND, name, status, self._version
        )
        self._version = written.version

    async def _wait_for_change(self, revisions: tuple[Any, ...]) -> None:
        """Waits until the next write is due."""
        await self._sleep(MIN_INTERVAL_SECONDS)
        jitter = self._rng.uniform(0.5, 1.0)
        due_at = self._clock.now() + INTERVAL_SECONDS * jitter
        while self._clock.now() < due_at:
            if read_revisions(self._context) != revisions:
                return
            await self._clock.sleep(POLL_SECONDS)

    async def _sleep(self, seconds: float) -> None:
        await self._clock.sleep(self._rng.uniform(seconds / 2, seconds))

    async def remove(self) -> None:
        """Deletes the entry's status; if this fails, it expires later."""
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
    """Returns whether a newer process has taken over the instance name."""
    if stored.get("incarnation") == status["incarnation"]:
        return False
    return stored.get("started_at", 0.0) > status["started_at"]


@contextlib.asynccontextmanager
async def publish_status(writer: StatusWriter) -> AsyncIterator[None]:
    """Publishes the status while the block runs and removes it at the end."""
    task = await curio.spawn(writer.run, daemon=True)
    try:
        yield
    finally:
        await task.cancel()
        async with curio.ignore_after(REMOVE_TIMEOUT_SECONDS):
            await writer.remove()


async def list_statuses(
    store: objects.ObjectStore, excluded_instance: str
) -> list[EntryStatus]:
    """Returns the statuses of the other entries.

    Skips invalid statuses, which an entry of another version may write.

    Raises:
        errors.StoreError: the store could not be read.
    """
    found = []
    for stored in await store.list_kind(OBJECT_KIND):
        if stored.name == excluded_instance:
            continue
        with contextlib.suppress(errors.InvalidInputError):
            found.append(read_status(stored.value))
    return found
