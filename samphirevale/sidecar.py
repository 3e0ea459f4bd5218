"""The sidecar: the only way to the endpoint that it stands beside.

One task for each connected entry reads its messages; each hand-over runs in
a task of its own (executors.py). The rest of the tasks probe the endpoint,
give it its orders and do what is due by time.
"""

import random
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from samphirevale import (
    admin,
    configuration,
    errors,
    executors,
    invariants,
    limits,
    logs,
    messages,
    metrics,
    monitors,
    peers,
    reconciler,
    settings,
    snapshots,
)
from samphirevale.adapters import clock, endpoints, link, objects

# Interval of the work that is due by time, in seconds.
TEND_SECONDS = 0.05

# How long hand-overs are still refused after the last work has ended, in
# seconds: those that were on their way when the entries were told.
LINGER_SECONDS = 0.5

# How long after the start the process says that it is ready, in seconds.
LISTEN_SECONDS = 0.02

# Interval between readings of the configuration while none is held, in
# seconds. Once one is held, entries bring the newer ones.
START_SECONDS = 1.0

# The same while one is held and no entry is connected, in seconds. It is
# longer, as a fleet cut off from its entries would all read at once.
ALONE_SECONDS = 3.0

# The longest wait for an entry's first message, in seconds.
HELLO_SECONDS = 2.0

# A silent connection is closed after this many times `suspect_seconds`.
CLOSE_FACTOR = 3.0


async def run(sidecar: settings.SidecarSettings, life: Any) -> None:
    """Serves one endpoint until told to stop and all in flight is finished.

    Args:
        sidecar: the settings.
        life: the daemon's lifecycle.Lifecycle.
    """
    await Sidecar(sidecar).run(life)


class Sidecar:
    """One sidecar process."""

    def __init__(self, sidecar: settings.SidecarSettings):
        self._settings = sidecar
        self._incarnation = secrets.token_hex(8)
        self._holder = snapshots.SnapshotHolder()
        self._peers = peers.PeerSet()
        self._endpoint = endpoints.build_endpoint(
            sidecar.endpoint_kind, sidecar.endpoint_url, sidecar.order_seconds
        )
        self._monitor = monitors.EndpointMonitor(
            self._endpoint, sidecar.load_seconds
        )
        self._queue = limits.AttemptQueue(
            sidecar.limit_policy, sidecar.concurrency_limit, sidecar.queue_limit
        )
        self._store = objects.HttpObjectStore(sidecar.common.store_url)
        self._executor = executors.Executor(
            sidecar,
            self._endpoint,
            self._monitor,
            self._queue,
            self._holder,
            self._peers,
        )

        self._reconciler = reconciler.Reconciler(
            sidecar,
            self._incarnation,
            self._endpoint,
            self._monitor,
            self._holder,
            self._store,
            clock.MonotonicClock(),
            self._announce,
        )

    async def run(self, life: Any) -> None:
        """Serves until `life.stop` is set, then drains and returns."""
        common = self._settings.common
        self._register_dump(life)
        async with curio.TaskGroup(wait=any) as group:
            for job in self._list_jobs():
                await group.spawn(job)
            await group.spawn(
                link.serve,
                self._serve_entry,
                common.host,
                self._settings.peer_port,
                common.peer_secret,
            )
            await group.spawn(admin.serve, self._settings, life)
            await group.spawn(self._run_life, life)
        if group.exception is not None:
            raise group.exception

    def _list_jobs(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._monitor.run,
            self._run_tending,
            self._executor.raise_violation,
            self._reconciler.run,
            self._follow_configuration,
        ]

    async def _run_life(self, life: Any) -> None:
        # A job that cannot listen has failed by then, and ends this one.
        await curio.sleep(LISTEN_SECONDS)
        life.report_ready()
        await life.stop.wait()
        await self._leave()

    async def _leave(self) -> None:
        """Takes nothing new and finishes what is in flight."""
        self._executor.leaving_at = time.monotonic()
        await self._announce()
        await self._reconciler.stop()
        await self._drain()
        await curio.sleep(LINGER_SECONDS)
        await self._peers.flush()

    async def _drain(self) -> None:
        async with curio.ignore_after(self._settings.common.drain_seconds):
            await self._executor.wait_until_idle()
        active = len(self._executor.table.list_active())
        invariants.check(
            invariants.SHUTDOWN_CUTS_NOTHING, not active, active=active
        )

    async def _serve_entry(self, connection: link.Link) -> None:
        hello = await self._exchange_hello(connection)
        peer = peers.Peer(connection, hello)
        # Before the first heartbeat, without which an entry hands nothing
        # over: one that starts while the store is down learns of them here.
        for notice in self._executor.list_crashes(time.monotonic()):
            await peer.post(notice)
        sender = await curio.spawn(peer.run_sender, self._read_revision)
        beats = await curio.spawn(self._send_heartbeats, peer)
        logs.log_change("entry_connected", entry=hello.instance)
        try:
            with self._peers.registered(peer):
                await self._read_entry(connection, peer)
        except errors.TransportError as error:
            logs.log_change(
                "entry_disconnected", entry=hello.instance, detail=str(error)
            )
        finally:
            await self._executor.detach(peer)
            await beats.cancel()
            await sender.cancel()

    async def _exchange_hello(self, connection: link.Link) -> messages.Hello:
        common = self._settings.common
        await connection.send(
            messages.Hello(
                common.instance,
                self._incarnation,
                "sidecar",
                common.data_centre,
                self._settings.endpoint,
                self._settings.pool,
            ),
            self._read_revision(),
        )
        try:
            async with curio.timeout_after(HELLO_SECONDS):
                frame = await connection.receive()
        except curio.TaskTimeout as error:
            raise errors.ProtocolError("no hello") from error
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message is not hello")
        return frame.message

    async def _read_entry(
        self, connection: link.Link, peer: peers.Peer
    ) -> None:
        silence = CLOSE_FACTOR * self._settings.common.suspect_seconds
        while not peer.is_closed():
            try:
                async with curio.timeout_after(silence):
                    frame = await connection.receive()
            except curio.TaskTimeout as error:
                raise errors.PeerClosedError("silent") from error
            await self._take_frame(frame, peer)

    async def _take_frame(
        self, frame: messages.Frame, peer: peers.Peer
    ) -> None:
        message = frame.message
        if isinstance(message, messages.Handover):
            await self._executor.accept(message, peer)
        elif isinstance(message, messages.Cancel):
            await self._executor.cancel(message.attempt)
        elif isinstance(message, messages.SnapshotRequest):
            await self._send_snapshot(peer)
        elif isinstance(message, messages.Snapshot):
            await self._adopt(
                configuration.Configuration(message.revision, message.value)
            )
        if frame.revision > self._holder.revision and peer.may_request(
            time.monotonic()
        ):
            await peer.post(messages.SnapshotRequest(self._holder.revision))

    async def _send_snapshot(self, peer: peers.Peer) -> None:
        held = self._holder.held
        if self._holder.is_known():
            await peer.post(messages.Snapshot(held.revision, held.value))

    async def _adopt(self, seen: configuration.Configuration) -> None:
        if not self._holder.adopt(seen):
            return
        logs.log_change("configuration_adopted", revision=seen.revision)
        await self._executor.cancel_recalled()
        await self._announce()

    async def _announce(self) -> None:
        """Tells every entry at once what the next heartbeat would tell."""
        for peer in self._peers.list_all():
            await self._post_heartbeat(peer)

    async def _send_heartbeats(self, peer: peers.Peer) -> None:
        while await self._post_heartbeat(peer):
            await curio.sleep(self._settings.common.heartbeat_seconds)

    async def _post_heartbeat(self, peer: peers.Peer) -> bool:
        metrics.HEARTBEATS.labels(direction="sent").inc()
        beat = self._build_heartbeat(next(peer.sequences))
        return await peer.post(peer.prefixes.reduce(beat))

    def _build_heartbeat(self, sequence: int) -> messages.Heartbeat:
        now = time.monotonic()
        return messages.Heartbeat(
            sequence=sequence,
            leaving=self._is_leaving(),
            running=self._queue.running,
            waiting=self._queue.waiting,
            limit=self._queue.limit,
            service_ms=self._queue.service_ms,
            wait_ms=messages.round_ms(self._queue.estimate_wait_ms(now)),
            load_age_ms=messages.round_ms(self._monitor.read_load_age_ms(now)),
            batches=sorted(self._monitor.batches),
            prefixes=self._monitor.cache.list_prefixes(),
            healthy=self._monitor.healthy,
        )

    def _is_leaving(self) -> bool:
        return (
            self._executor.leaving_at is not None
            or self._holder.is_draining(self._settings.endpoint)
        )

    def _read_revision(self) -> int:
        return self._holder.revision

    async def _run_tending(self) -> None:
        while True:
            await self._executor.tend(time.monotonic())
            self._set_gauges()
            await curio.sleep(TEND_SECONDS)

    def _set_gauges(self) -> None:
        pool = self._settings.pool
        metrics.QUEUE_WAITING.labels(pool=pool).set(self._queue.waiting)
        metrics.QUEUE_RUNNING.labels(pool=pool).set(self._queue.running)
        metrics.QUEUE_LIMIT.labels(pool=pool).set(self._queue.limit)
        metrics.PEERS.labels(kind="connected").set(len(self._peers))
        metrics.REVISION.set(self._holder.revision)

    async def _follow_configuration(self) -> None:
        """Reads the store whenever no entry brings the configuration."""
        while True:
            if not self._holder.is_known():
                await self._read_configuration()
                await curio.sleep(START_SECONDS)
                continue
            seconds = random.uniform(ALONE_SECONDS / 2, ALONE_SECONDS)
            await curio.sleep(seconds)
            if not len(self._peers):
                await self._read_configuration()

    async def _read_configuration(self) -> None:
        try:
            found = await self._store.get(
                configuration.OBJECT_KIND, configuration.OBJECT_NAME
            )
        except errors.StoreError:
            return
        if found is not None:
            await self._adopt(
                configuration.Configuration(
                    found.value["revision"], found.value
                )
            )

    def _register_dump(self, life: Any) -> None:
        life.sections.register("sidecar")(self._describe)

    def _describe(self) -> dict[str, Any]:
        return {
            "incarnation": self._incarnation,
            "revision": self._holder.revision,
            "entries": self._peers.list_names(),
            "heartbeat": self._build_heartbeat(0),
            "lease": self._reconciler.lease,
            "remembered": len(self._executor.table),
            "counts": vars(self._executor.counts),
            "attempts": [
                {
                    "attempt": attempt.handover.attempt,
                    "request": attempt.handover.request,
                    "stage": attempt.handover.stage,
                    "phase": attempt.phase,
                }
                for attempt in self._executor.table.list_active()
            ],
        }
