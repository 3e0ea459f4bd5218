"""The entry role: accepts requests from callers and runs them."""

import contextlib
import random
import secrets
import time
from collections.abc import AsyncIterator
from typing import Any

import curio

from samphirevale import (
    admin,
    admission,
    callers,
    claims,
    configuration,
    configuration_holder,
    entry_context,
    errors,
    execution,
    expiry,
    handover_counts,
    idempotency,
    invariants,
    lifecycle,
    logs,
    messages,
    metrics,
    operations,
    quarantine,
    retries,
    routing,
    settings,
    sidecars,
    stage_runs,
    statistics,
    statuses,
)
from samphirevale.adapters import caller_api, clock, objects, web, web_server
from samphirevale.ports import objects as object_port

# Timeout of one watch call to the store.
WATCH_SECONDS = 20.0

# Initial and maximum backoff after a failed call to the store. It doubles with
# each failure; the actual wait is random between half of it and all of it.
STORE_RETRY_SECONDS = 0.2
STORE_RETRY_SECONDS_LIMIT = 3.0

# How long an entry retries to record a crash in the store.
CRASH_RECORD_SECONDS = 600.0

# Mean interval between deletions of expired objects.
EXPIRY_INTERVAL_SECONDS = 1800.0

# Kinds of the objects that are deleted after they expire.
EXPIRING_KINDS = (
    claims.OBJECT_KIND,
    quarantine.OBJECT_KIND,
    statuses.OBJECT_KIND,
)

# Polling interval for conditions that have no event to wait for.
CHECK_SECONDS = 0.02

# Polling interval for violated invariants.
VIOLATION_CHECK_SECONDS = 0.2


class Entry:
    """An entry; implements ports.requests.RequestService.

    Attributes:
        tasks: the tasks that run as long as the entry.
        context: the entry's collaborators.
        operator_service: answers queries and orders of operators.
    """

    def __init__(
        self, entry_settings: settings.EntrySettings, life: lifecycle.Lifecycle
    ):
        self._settings = entry_settings
        self._life = life
        self._server = web.ServerState()
        self._accounts: dict[str, str] = {}
        self.tasks: list[curio.Task] = []
        rng = random.Random(secrets.randbits(64))
        holder = configuration_holder.ConfigurationHolder(
            self._apply_configuration
        )
        hello = messages.Hello(
            instance=entry_settings.common.instance,
            incarnation=secrets.token_hex(8),
            role="entry",
            data_centre=entry_settings.common.data_centre,
            endpoint="",
            pool="",
        )
        events = sidecars.PeerEvents(
            heartbeat=self._record_heartbeat,
            lost=self._remove_lost_peer,
            crash=self._record_crash,
        )
        table = sidecars.PeerTable(
            hello, entry_settings.common, holder, events, rng, time.monotonic
        )
        store = objects.HttpObjectStore(entry_settings.common.store_url)
        monotonic_clock = clock.MonotonicClock()
        self.context = entry_context.EntryContext(
            settings=entry_settings,
            holder=holder,
            peers=table,
            router=routing.Router(
                entry_settings.routing_policy,
                entry_settings.common.data_centre,
                rng,
            ),
            admission=admission.Admission(entry_settings.admission_policy),
            retries=retries.RetryController(),
            quarantine=quarantine.Quarantine(),
            claim_manager=idempotency.ClaimManager(
                store, monotonic_clock, entry_settings.claim_window_seconds
            ),
            store=store,
            statistics=statistics.Statistics(),
            rng=rng,
            clock=monotonic_clock,
        )
        self.operator_service = operations.OperatorService(
            self.context, statuses.build_identity(hello, time.time())
        )

    def read_configuration(self) -> configuration.Configuration:
        """Returns the configuration in force on this entry."""
        return self.context.holder.held

    def find_account(self, headers: dict[str, str]) -> str | None:
        """Returns the account of the token in the headers, or None."""
        return callers.find_account(headers, self._accounts)

    def find_early_refusal(self) -> callers.Refusal | None:
        """Returns the refusal that all requests get now, or None."""
        if self._life.stop.is_set():
            reason, detail = "leaving", "this instance is stopping"
        elif self.context.holder.revision == 0:
            reason, detail = "no_configuration", "no configuration yet"
        else:
            return None
        return callers.Refusal(
            "not_run",
            503,
            reason,
            detail,
            handover_counts.DEFAULT_RETRY_SECONDS,
        )

    def create_request_id(self) -> str:
        """Returns an id that is unique across all entries."""
        return f"{self._settings.common.instance}-{secrets.token_hex(8)}"

    async def execute(
        self, request: callers.CallerRequest, emit: stage_runs.Emit | None
    ) -> callers.Answer:
        """Runs a request and returns its answer by the deadline."""
        deadline_at = self.context.clock.now() + request.deadline_ms / 1000
        run = execution.Execution(self.context, request, deadline_at, emit)
        started_at = self.context.clock.now()
        with statistics.count_running(request.pipeline):
            answer = await run.run()
        seconds = self.context.clock.now() - started_at
        self.context.statistics.record_request(
            request, answer, run.stage_uses, seconds
        )
        return answer

    async def find_outcome(
        self, account: str, key: str
    ) -> tuple[int, dict] | None:
        """Returns the HTTP status and body for a key; None if it is unused."""
        try:
            outcome = await self.context.claim_manager.find(account, key)
        except errors.StoreError as error:
            refusal = idempotency.build_store_refusal(str(error))
            return refusal.status, callers.describe_refusal("", refusal)
        if outcome is None:
            return None
        return 200, {"key": key, **outcome._asdict()}

    def _apply_configuration(
        self, adopted: configuration.Configuration
    ) -> None:
        """Updates the state derived from the configuration."""
        self._accounts = callers.index_accounts(adopted.value)
        self.context.admission.set_weights(
            {
                name: account["share"]
                for name, account in adopted.value["accounts"].items()
            }
        )
        metrics.REVISION.set(adopted.revision)
        logs.log_event("configuration_adopted", revision=adopted.revision)

    def _record_heartbeat(self, peer: sidecars.Peer) -> None:
        self.context.router.record_report(
            peer.endpoint,
            peer.hello.pool,
            peer.hello.data_centre,
            peer.heartbeat,
            self.context.clock.now(),
        )

    def _remove_lost_peer(self, peer: sidecars.Peer) -> None:
        if peer.endpoint:
            self.context.router.remove_endpoint(peer.endpoint)

    async def _record_crash(self, notice: messages.CrashNotice) -> None:
        """Counts a crash locally and records it for the other entries."""
        now = self.context.clock.now()
        self.context.quarantine.add_crashes(
            notice.fingerprint, [notice.attempt], now
        )
        await self.context.peers.notify_input_crash(notice)
        await self.context.claim_manager.spawn_background_task(
            quarantine.record_crash,
            self.context.store,
            notice.fingerprint,
            notice.attempt,
            time.time(),
            now + CRASH_RECORD_SECONDS,
            self.context.clock,
        )

    async def watch_quarantine(self) -> None:
        """Watches the crashes that other entries record; never returns."""
        version = 0
        while True:
            try:
                events = await self.context.store.watch(
                    quarantine.OBJECT_KIND, version, WATCH_SECONDS
                )
                version = events.version
                for stored in events.objects:
                    self.context.quarantine.adopt_record(
                        stored, self.context.clock.now()
                    )
            except errors.StoreError:
                version = 0
                await curio.sleep(STORE_RETRY_SECONDS_LIMIT)

    async def watch_configuration(self) -> None:
        """Reads and watches the stored configuration; never returns."""
        backoff_seconds = STORE_RETRY_SECONDS
        while True:
            try:
                version = await self._read_stored_configuration()
                while True:
                    backoff_seconds = STORE_RETRY_SECONDS
                    version = await self._watch_stored_configuration(version)
            except errors.StoreError:
                await curio.sleep(
                    self.context.rng.uniform(
                        backoff_seconds / 2, backoff_seconds
                    )
                )
                backoff_seconds = min(
                    backoff_seconds * 2, STORE_RETRY_SECONDS_LIMIT
                )

    async def _read_stored_configuration(self) -> int:
        stored = await self.context.store.get(
            configuration.OBJECT_KIND, configuration.OBJECT_NAME
        )
        if stored is None:
            return 0
        self._adopt_stored_configuration(stored)
        return stored.version

    async def _watch_stored_configuration(self, version: int) -> int:
        events = await self.context.store.watch(
            configuration.OBJECT_KIND, version, WATCH_SECONDS
        )
        for stored in events.objects:
            if stored.name == configuration.OBJECT_NAME and stored.value:
                self._adopt_stored_configuration(stored)
        return events.version

    def _adopt_stored_configuration(
        self, stored: object_port.StoredObject
    ) -> None:
        newest = configuration.Configuration(
            stored.value["revision"], stored.value
        )
        self.context.holder.adopt(newest)

    async def poll_instances(self) -> None:
        """Connects to the sidecars of the platform's list; never returns."""
        await self.context.peers.add_configured(self._settings.peers)
        while True:
            with contextlib.suppress(errors.StoreError):
                listed = await self.context.store.list_instances()
                await self.context.peers.update_from_list(listed)
            await curio.sleep(self._settings.list_seconds)

    async def delete_expired_objects(self) -> None:
        """Deletes expired claims, crash records and statuses; never returns.

        Every entry does this at random times. If another entry has already
        deleted an object, only the call is wasted.
        """
        while True:
            seconds = self.context.rng.uniform(
                EXPIRY_INTERVAL_SECONDS / 2, EXPIRY_INTERVAL_SECONDS * 3 / 2
            )
            await curio.sleep(seconds)
            for kind in EXPIRING_KINDS:
                with contextlib.suppress(errors.StoreError):
                    await expiry.sweep_expired(
                        self.context.store,
                        kind,
                        time.time(),
                        self.context.clock,
                    )

    async def serve_callers(self) -> None:
        """Serves the callers' port until it is cancelled."""
        limits = web.Limits(
            body_bytes=self._settings.body_bytes_limit,
            connections=self._settings.connections_limit,
            idle_seconds=self._settings.idle_seconds,
        )
        api = caller_api.CallerApi(self)
        await web_server.serve(
            api.handle,
            self._settings.common.host,
            self._settings.caller_port,
            limits,
            self._server,
        )

    async def wait_for_stop(self) -> None:
        """Waits for the request to stop.

        Raises:
            errors.InvariantError: an invariant was violated in fatal mode,
                possibly in the task of a connection.
            Exception: the error of a background task that has failed.
        """
        while not self._life.stop.is_set():
            self._check_tasks()
            await curio.ignore_after(
                VIOLATION_CHECK_SECONDS, self._life.stop.wait
            )
            if violated := invariants.find_fatal_violation():
                raise errors.InvariantError(violated)

    def _check_tasks(self) -> None:
        """Raises the error of a background task that has failed."""
        for task in self.tasks:
            if task.terminated and task.exception is not None:
                raise task.exception

    async def wait_for_configuration(self) -> None:
        """Waits for a configuration or for the request to stop.

        Raises:
            Exception: the error of a background task that has failed, such as
                one that cannot listen on its port.
        """
        # The tasks start to listen when they first run.
        await curio.sleep(CHECK_SECONDS)
        self._check_tasks()
        while (
            not self.context.holder.has_configuration()
            and not self._life.stop.is_set()
        ):
            await curio.sleep(CHECK_SECONDS)
            self._check_tasks()

    async def serve_admin(self) -> None:
        """Serves the admin port until it is cancelled."""
        await admin.serve(self._settings, self._life, self.operator_service)

    def register_dump(self) -> None:
        """Adds the entry's sections to the state dump."""
        sections = self._life.sections
        sections.register("revision")(lambda: self.context.holder.revision)
        sections.register("requests_busy")(lambda: self._server.busy)
        sections.register("peers")(self._dump_peers)
        sections.register("routing")(
            lambda: self.context.router.dump(self.context.clock.now())
        )

    def _dump_peers(self) -> list[dict]:
        now = self.context.clock.now()
        suspect_seconds = self._settings.common.suspect_seconds
        return [
            {
                "address": peer.address,
                "endpoint": peer.endpoint,
                "pool": peer.hello.pool if peer.hello else "",
                "revision": peer.revision,
                "ready": peer.may_get_work(now, suspect_seconds),
                "batches": peer.heartbeat.batches if peer.heartbeat else [],
                "in_flight": len(peer.exchanges),
            }
            for peer in self.context.peers.peers.values()
        ]

    async def drain(self) -> None:
        """Waits for in-flight requests and their claims, up to a limit."""
        self._server.draining = True
        self.context.peers.leaving = True
        async with curio.ignore_after(self._settings.common.drain_seconds):
            while self._server.busy:
                await curio.sleep(CHECK_SECONDS)
            await self.context.claim_manager.wait_for_background_tasks()
        busy = self._server.busy
        invariants.check(invariants.SHUTDOWN_CUTS_NOTHING, not busy, busy=busy)


@contextlib.asynccontextmanager
async def run_task(function: Any, *args: Any) -> AsyncIterator[curio.Task]:
    """Runs a task for the duration of the block."""
    task = await curio.spawn(function, *args, daemon=True)
    try:
        yield task
    finally:
        await task.cancel()


async def run(
    entry_settings: settings.EntrySettings, life: lifecycle.Lifecycle
) -> None:
    """Runs an entry until its graceful shutdown is complete."""
    entry = Entry(entry_settings, life)
    entry.register_dump()
    async with contextlib.AsyncExitStack() as stack:
        for function in (
            entry.watch_configuration,
            entry.watch_quarantine,
            entry.poll_instances,
            entry.delete_expired_objects,
            entry.serve_callers,
            entry.serve_admin,
        ):
            task = await stack.enter_async_context(run_task(function))
            entry.tasks.append(task)
        stack.push_async_callback(entry.context.peers.close)
        await entry.wait_for_configuration()
        await stack.enter_async_context(
            statuses.publish_status(
                statuses.StatusWriter(
                    entry.context, entry.operator_service.build_status
                )
            )
        )
        life.report_ready()
        await entry.wait_for_stop()
        await entry.drain()
