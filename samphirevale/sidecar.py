"""The sidecar process: the only client of the endpoint that it runs beside.

One task per connected entry reads that entry's messages, and each handover
runs in its own task (executors.py). Further tasks probe the endpoint, send
it load and unload orders, and run periodic work.
"""

import random
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from samphirevale import (
    admin,
    attempt_queues,
    configuration,
    configuration_holder,
    errors,
    executors,
    invariants,
    logs,
    messages,
    metrics,
    monitors,
    peers,
    reconciler,
    settings,
)
from samphirevale.adapters import clock, endpoints, link, objects

# Interval of the periodic work on queued and detached attempts, in seconds.
PERIODIC_WORK_SECONDS = 0.05

# How long the process keeps answering handovers with refusals after its last
# attempt has ended, in seconds. It covers handovers that were in transit when
# the entries were notified of the shutdown.
REFUSE_AFTER_DRAIN_SECONDS = 0.5

# Delay between starting the tasks and reporting readiness, in seconds.
READY_DELAY_SECONDS = 0.02

# Interval of store reads while no configuration is held, in seconds. Once a
# configuration is held, connected entries send newer ones.
INITIAL_READ_SECONDS = 1.0

# Longest interval of store reads while a configuration is held but no entry
# is connected, in seconds. It is longer than INITIAL_READ_SECONDS
# because all sidecars that lose their entries would read the store at once.
UNCONNECTED_READ_SECONDS = 3.0

# Timeout for the first message of a connected entry, in seconds.
HELLO_TIMEOUT_SECONDS = 2.0

# A connection is closed after this multiple of `suspect_seconds` without a
# message.
SILENCE_CLOSE_FACTOR = 3.0


async def run(
    sidecar_settings: settings.SidecarSettings, lifecycle: Any
) -> None:
    """Serves one endpoint until a stop is requested and its work has drained.

    Args:
        sidecar_settings: the settings.
        lifecycle: the daemon's lifecycle.Lifecycle.
    """
    await Sidecar(sidecar_settings).run(lifecycle)


class Sidecar:
    """One sidecar process."""

    def __init__(self, sidecar_settings: settings.SidecarSettings):
        self._settings = sidecar_settings
        self._incarnation = secrets.token_hex(8)
        self._holder = configuration_holder.ConfigurationHolder()
        self._peers = peers.PeerSet()
        self._endpoint = endpoints.build_endpoint(
            sidecar_settings.endpoint_kind,
            sidecar_settings.endpoint_url,
            sidecar_settings.order_seconds,
        )
        self._monitor = monitors.EndpointMonitor(
            self._endpoint, sidecar_settings.load_seconds
        )
        self._queue = attempt_queues.AttemptQueue(
            sidecar_settings.limit_policy,
            sidecar_settings.concurrency_limit,
            sidecar_settings.queue_limit,
        )
        self._store = objects.HttpObjectStore(sidecar_settings.common.store_url)
        self._executor = executors.Executor(
            sidecar_settings,
            self._endpoint,
            self._monitor,
            self._queue,
            self._holder,
            self._peers,
        )

        self._reconciler = reconciler.Reconciler(
            sidecar_settings,
            self._incarnation,
            self._endpoint,
            self._monitor,
            self._holder,
            self._store,
            clock.MonotonicClock(),
            self._announce,
        )

    async def run(self, lifecycle: Any) -> None:
        """Serves until `lifecycle.stop` is set, then drains and returns.

        Raises the exception of the first task that fails.
        """
        common = self._settings.common
        self._register_dump(lifecycle)
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
            await group.spawn(admin.serve, self._settings, lifecycle)
            await group.spawn(self._run_lifecycle, lifecycle)
        if group.exception is not None:
            raise group.exception

    def _list_jobs(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._monitor.run,
            self._run_periodic_work,
            self._executor.raise_violation,
            self._reconciler.run,
            self._follow_configuration,
        ]

    async def _run_lifecycle(self, lifecycle: Any) -> None:
        # If a listener cannot bind its port, its task fails within this delay
        # and the task group cancels this task before it reports readiness.
        await curio.sleep(READY_DELAY_SECONDS)
        lifecycle.report_ready()
        await lifecycle.stop.wait()
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Refuses new handovers and waits for those in flight."""
        self._executor.leaving_at = time.monotonic()
        await self._announce()
        await self._reconciler.stop()
        await self._drain()
        await curio.sleep(REFUSE_AFTER_DRAIN_SECONDS)
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
        # An entry sends no handover before the first heartbeat. Crash notices
        # go out ahead of it because an entry that starts while the store is
        # down has no other source for them.
        for notice in self._executor.list_crash_notices(time.monotonic()):
            await peer.post(notice)
        sender = await curio.spawn(peer.run_sender, self._read_revision)
        heartbeats = await curio.spawn(self._send_heartbeats, peer)
        logs.log_event("entry_connected", entry=hello.instance)
        try:
            with self._peers.registering(peer):
                await self._read_entry(connection, peer)
        except errors.TransportError as error:
            logs.log_event(
                "entry_disconnected", entry=hello.instance, detail=str(error)
            )
        finally:
            await self._executor.detach(peer)
            await heartbeats.cancel()
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
            async with curio.timeout_after(HELLO_TIMEOUT_SECONDS):
                frame = await connection.receive()
        except curio.TaskTimeout as error:
            raise errors.ProtocolError(
                "no hello message received in time"
            ) from error
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message is not hello")
        return frame.message

    async def _read_entry(
        self, connection: link.Link, peer: peers.Peer
    ) -> None:
        timeout_seconds = (
            SILENCE_CLOSE_FACTOR * self._settings.common.suspect_seconds
        )
        while not peer.is_closed():
            try:
                async with curio.timeout_after(timeout_seconds):
                    frame = await connection.receive()
            except curio.TaskTimeout as error:
                raise errors.PeerClosedError("silent") from error
            await self._handle_frame(frame, peer)

    async def _handle_frame(
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
        if (
            frame.revision > self._holder.revision
            and peer.try_start_snapshot_request(time.monotonic())
        ):
            await peer.post(messages.SnapshotRequest(self._holder.revision))

    async def _send_snapshot(self, peer: peers.Peer) -> None:
        held = self._holder.held
        if self._holder.has_configuration():
            await peer.post(messages.Snapshot(held.revision, held.value))

    async def _adopt(self, received: configuration.Configuration) -> None:
        if not self._holder.adopt(received):
            return
        logs.log_event("configuration_adopted", revision=received.revision)
        await self._executor.cancel_recalled()
        await self._announce()

    async def _announce(self) -> None:
        """Sends every entry a heartbeat now instead of at the next interval."""
        for peer in self._peers.list_all():
            await self._post_heartbeat(peer)

    async def _send_heartbeats(self, peer: peers.Peer) -> None:
        while await self._post_heartbeat(peer):
            await curio.sleep(self._settings.common.heartbeat_seconds)

    async def _post_heartbeat(self, peer: peers.Peer) -> bool:
        metrics.HEARTBEATS.labels(direction="sent").inc()
        heartbeat = self._build_heartbeat(next(peer.sequences))
        return await peer.post(peer.prefixes.encode(heartbeat))

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
            load_age_ms=messages.round_ms(
                self._monitor.compute_load_age_ms(now)
            ),
            batches=sorted(self._monitor.batches),
            prefixes=self._monitor.cache.list_prefixes(),
            healthy=self._monitor.healthy,
        )

    def _is_leaving(self) -> bool:
        return (
            self._executor.leaving_at is not None
            or self._holder.is_draining(self._settings.endpoint)
            or self._holder.is_cordoned(self._settings.common.data_centre)
        )

    def _read_revision(self) -> int:
        return self._holder.revision

    async def _run_periodic_work(self) -> None:
        while True:
            await self._executor.run_periodic_work(time.monotonic())
            self._set_gauges()
            await curio.sleep(PERIODIC_WORK_SECONDS)

    def _set_gauges(self) -> None:
        pool = self._settings.pool
        metrics.QUEUE_WAITING.labels(pool=pool).set(self._queue.waiting)
        metrics.QUEUE_RUNNING.labels(pool=pool).set(self._queue.running)
        metrics.QUEUE_LIMIT.labels(pool=pool).set(self._queue.limit)
        metrics.PEERS.labels(kind="connected").set(len(self._peers))
        metrics.REVISION.set(self._holder.revision)

    async def _follow_configuration(self) -> None:
        """Reads the configuration from the store while no entry sends it.

        The interval is randomised once a configuration is held, which spreads
        the reads of many sidecars.
        """
        while True:
            if not self._holder.has_configuration():
                await self._read_configuration()
                await curio.sleep(INITIAL_READ_SECONDS)
                continue
            seconds = random.uniform(
                UNCONNECTED_READ_SECONDS / 2, UNCONNECTED_READ_SECONDS
            )
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

    def _register_dump(self, lifecycle: Any) -> None:
        lifecycle.sections.register("sidecar")(self._describe)

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
