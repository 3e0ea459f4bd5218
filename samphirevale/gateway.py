"""The proxying entry, which serves callers of routes without sidecars."""

import math
import random
import secrets
from collections.abc import Iterable

import curio
import prometheus_client

from samphirevale import (
    answer_memory,
    batch_dispatch,
    batching,
    catalogue,
    cluster_state,
    cluster_watch,
    crash_reports,
    crashing_part_store,
    entries,
    entry_handler,
    entry_messages,
    gateway_settings,
    input_fingerprints,
    item_routing,
    journal,
    message_checks,
    messages,
    metrics,
    notice_handler,
    ownership,
    placement,
    process_end,
    proxy_context,
    proxying,
    quarantine,
    registrar,
    registrations,
    retry_budgets,
    return_times,
    routes,
    routes_freshness,
    stage_admission,
    stream_beginnings,
    stream_origins,
)
from samphirevale.adapters import web, web_server
from samphirevale.fair_shares import demands
from samphirevale.origins import own_record, recorder
from samphirevale.ports import clock as clocks
from samphirevale.ports import platforms

# The interval between periodic checks, in seconds.
CHECK_SECONDS = 0.1

# How long the listener stays open after the order to stop, in seconds. This is
# enough for two health checks of the balancer and its last connections.
LINGER_SECONDS = 2.8

# The part of the grace period that is reserved for process exit, in seconds.
GRACE_MARGIN_SECONDS = 0.5

# The largest share of the grace period that this may be. Streams that are at
# work go on at least until then.
GRACE_MARGIN_SHARE = 1 / 8

# How long before the end of the grace period requests are ended whose answers
# have not begun, in seconds.
LAST_ANSWERS_SECONDS = 1.0

# The same in turns of all tasks that are ready, for a busy process, and the
# largest share of the grace period that these may be.
LAST_ANSWERS_TURNS = 6
LAST_ANSWERS_SHARE = 1 / 2

# The number of connections that an entry opens at once while it refuses all
# requests. It lets the requests that are in flight run in between.
REFUSING_CONNECTIONS = 32

# The share of the grace period in which requests are accepted. The rest is left
# for their answers.
ACCEPTING_SHARE = 0.4

# The largest number of open files other than connections of callers and
# connections to endpoints.
OTHER_FILES_LIMIT = 200

# The share of the machine's memory that request bodies may occupy.
BODY_MEMORY_SHARE = 0.2

# The share of the machine's memory for answers that are read whole.
ANSWER_MEMORY_SHARE = 0.1

# The largest number of quarantined inputs in a report.
REPORTED_CRASHES_LIMIT = 20

# The interval between two log lines about the state of a queue, in seconds.
QUEUE_LOG_SECONDS = 1.0

METRICS_HEADERS = (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),)


class Gateway:
    """A proxying entry with its state and its tasks.

    Attributes:
        settings: the settings in force.
        clock: a clock that includes time while the machine is suspended.
        stop: set when the process is told to stop.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        adapter_set: platforms.PlatformAdapters,
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        self.settings = settings
        self._adapters = adapter_set
        self.clock = clock
        self._journal = log
        self._rng = random.Random(secrets.randbits(64))
        self._server = web.ServerState(self._record_closed)
        self.stop = curio.Event()
        # When the process was told to stop.
        self._stopped_at = math.inf
        self._own_record = own_record.OwnRecord()
        self.cluster_state = cluster_state.ClusterState(
            settings.keys_seconds,
            ownership.Member(
                settings.instance, settings.data_centre, settings.processor
            ),
            cordons_required=settings.cordon_seconds > 0,
            cold_bound=settings.cold_bound,
            regions=settings.regions,
            own_record=self._own_record,
        )
        self._quarantine = quarantine.Quarantine(
            input_fingerprints.CRASHES_SECONDS
        )
        self._process_end = process_end.ProcessEnd()
        self._budget = retry_budgets.RetryBudget(settings.budget)
        self._demands = demands.ServiceDemands()
        self._selector = placement.EndpointSelector(
            self._rng, lambda name: self.table.loads.get(name)
        )
        self._notices = notice_handler.NoticeHandler(
            self.cluster_state,
            lambda endpoint: self._dispatcher.withdraw_items(endpoint),
            lambda endpoint, slowness: self._dispatcher.record_slowness(
                endpoint, slowness
            ),
            lambda message: self.table.broadcast(message),
            clock,
            log,
        )
        self._crashes = crash_reports.CrashReports(
            lambda message: self.table.broadcast(message), clock, log
        )
        endpoints = adapter_set.build_endpoints(self._notices)
        self._dispatcher = batch_dispatch.BatchDispatcher(
            endpoints, clock, log, self.cluster_state
        )
        self.item_runner = item_routing.RoutedItemRunner(
            self._dispatcher, self.cluster_state, clock
        )
        registration = registrations.Registration(
            settings.instance,
            settings.peer_host,
            settings.peer_port,
            secrets.token_hex(16),
            settings.processor,
        )
        self._origins = stream_origins.StreamOrigins()
        handler = entry_handler.MessageHandler(
            self.item_runner,
            self._notices,
            self._crashes,
            self._adopt_crashes,
            self._adopt_store_report,
            self._get_routes_age,
            self._origins,
            self._demands,
            clock,
        )
        self.table = entries.EntryTable(
            registration,
            settings.data_centre,
            handler,
            self._build_report,
            self._adopt_members,
            clock,
            self._rng,
            log,
        )
        self.item_runner.table = self.table
        self.cluster_watch = cluster_watch.ClusterWatch(
            settings,
            adapter_set,
            self.cluster_state,
            self.table,
            self._adopt_limits,
            self._forget_endpoint,
            lambda value: self.crashing_part_store.adopt_object(value),
            clock,
            self._rng,
            log,
        )
        self.registrar = registrar.Registrar(
            adapter_set.store,
            registration,
            self.cluster_watch.eras,
            clock,
            self._rng,
            log,
        )
        self.crashing_part_store = crashing_part_store.CrashingPartStore(
            adapter_set.store, self._crashes, clock, self._rng, log
        )
        self.origin_recorder = recorder.OriginRecorder(
            adapter_set.store,
            settings.instance,
            self.cluster_state,
            self._own_record,
            self.table.list_linked,
            self.cluster_watch.eras,
            settings.store_writes,
            clock,
            self._rng,
            log,
        )
        origins = stream_origins.OriginDirectory(
            self._origins, self.table, clock
        )
        self._beginnings = stream_beginnings.StreamBeginnings(
            self.cluster_state,
            endpoints,
            origins,
            self.origin_recorder,
            clock,
            log,
        )
        self._proxy = proxying.Proxy(
            proxy_context.ProxyContext(
                self.cluster_state,
                self._selector,
                self.item_runner,
                self._budget,
                self._quarantine,
                self._crashes,
                self._process_end,
                answer_memory.AnswerMemory(
                    int(settings.memory_bytes * ANSWER_MEMORY_SHARE)
                ),
                endpoints,
                origins,
                self.origin_recorder,
                self._beginnings,
                return_times.ReturnSchedule(),
                self._demands,
                stage_admission.policies.get(settings.admission)(),
                clock,
                self._rng,
                log,
            )
        )

    def is_ready(self) -> bool:
        """Returns whether the balancer should send callers to this entry."""
        now = self.clock.now()
        return (
            not self.stop.is_set()
            and self.cluster_state.table is not None
            and self.cluster_state.routes_age.is_usable(now)
            and self.cluster_state.endpoints_age.confirmed_at is not None
            and self.cluster_state.cordons.is_known()
            and self.origin_recorder.is_settled
        )

    def is_busy(self) -> bool:
        """Returns whether a request is in flight."""
        return self._server.busy > 0

    def _build_report(self, now: float) -> entry_messages.EntryReport:
        crashed = self._quarantine.list_newest(REPORTED_CRASHES_LIMIT, now)
        return entry_messages.EntryReport(
            self.item_runner.describe_queues(now),
            self._selector.describe_loads(),
            [
                [
                    name,
                    *message_checks.list_sendable(
                        sorted(attempts), message_checks.ATTEMPTS_LIMIT
                    ),
                ]
                for name, attempts in crashed
            ],
            self._notices.describe_pauses(now),
            self._notices.describe_limits(now),
            entry_messages.encode_era(self.cluster_watch.eras.newest),
            self.cluster_state.get_routes_version(),
            [
                [service, account, messages.round_ms(seconds * 1000)]
                for service, account, seconds in self._demands.list_largest(now)
            ],
            sorted(self.cluster_state.cordons.newest.names),
            self.cluster_state.cordons.newest.version,
        )

    def _adopt_crashes(self, crashed: list[list[str]]) -> None:
        """Adopts the crashes that another entry reports, by fingerprint."""
        now = self.clock.now()
        for fingerprint, *attempts in crashed:
            self._quarantine.add_crashes(fingerprint, attempts, now)

    async def _adopt_store_report(
        self, entry: str, known: routes_freshness.StoreKnowledge
    ) -> None:
        """Adopts what another entry reports of the store."""
        await self.cluster_watch.adopt_report(entry, known)

    def _get_routes_age(
        self, now: float
    ) -> routes_freshness.Confirmation | None:
        """Returns what this entry knows of the routes, for other entries.

        Nothing is known before the routes are confirmed, as while an entry
        that has started waits until the store's era is settled.
        """
        age_seconds = self.cluster_state.routes_age.compute_age(now)
        if self.cluster_state.table is None or math.isinf(age_seconds):
            return None
        return routes_freshness.Confirmation(
            self.cluster_state.table.version,
            age_seconds,
            self.cluster_state.routes_era,
        )

    def _adopt_members(self, members: Iterable[ownership.Member]) -> None:
        before = {member.name for member in self.cluster_state.members}
        if self.cluster_state.adopt_members(members):
            self.cluster_watch.adopt_members()
            after = {member.name for member in self.cluster_state.members}
            self._journal.record_event(
                "entries_changed",
                count=len(after),
                joined=sorted(after - before),
                left=sorted(before - after),
            )

    def _adopt_limits(self, table: routes.RouteTable) -> None:
        """Adopts the operator's limits on callers' requests."""
        self._server.limits = compute_limits(self.settings)._replace(
            head_bytes=table.limits.head_bytes,
            body_bytes=table.limits.body_bytes,
            head_seconds=table.limits.head_seconds,
            idle_seconds=table.limits.idle_seconds,
        )

    def _forget_endpoint(self, endpoint: catalogue.Endpoint) -> None:
        self._selector.remove_endpoint(endpoint.name)
        self._dispatcher.remove_endpoint(endpoint)

    async def run_periodic_checks(self) -> None:
        """Runs the periodic checks until cancelled."""
        logged_at = 0.0
        while True:
            await curio.sleep(CHECK_SECONDS)
            now = self.clock.now()
            if now >= logged_at + QUEUE_LOG_SECONDS:
                logged_at = now
                self._log_queues(now)
            self.cluster_watch.remove_expired(now)
            self.cluster_watch.release_held(now)
            self._origins.remove_expired(now)
            self._notices.remove_expired(now)
            await self._withdraw_cordoned(now)
            self._crashes.update()
            await self._crashes.send_pending()
            await self._beginnings.check(now)
            await self.origin_recorder.check()
            await self._dispatcher.handle_overdue_calls(now)
            metrics.ROUTES_AGE.set(
                self.cluster_state.routes_age.compute_age(now)
            )
            metrics.ENTRIES_LINKED.set(len(self.table.linked))
            metrics.LINES_LEFT_OUT.set(self._journal.dropped_lines)

    async def _withdraw_cordoned(self, now: float) -> None:
        """Hands back the items that are queued in cordoned data centres."""
        for endpoint in self.cluster_state.list_cordoned_batching(now):
            await self._dispatcher.withdraw_items(endpoint)

    def _log_queues(self, now: float) -> None:
        """Logs the state of the queues that this entry owns."""
        for name, *state in self.item_runner.describe_queues(now):
            fields = batching.QueueState(*state)._asdict()
            self._journal.record_event("queue", endpoint=name, **fields)

    def _record_closed(self, closed: web.ClosedConnection) -> None:
        """Counts a connection that has ended; logs it unless all is answered.

        An idle timeout is logged in any case, as a request may just have been
        on its way.
        """
        metrics.CONNECTIONS_CLOSED.labels(reason=closed.reason).inc()
        complete = (
            closed.reason in web.EXPECTED_REASONS
            and not closed.unread_bytes
            and closed.answered == closed.requests
        )
        if complete and closed.reason != web.IDLE:
            return
        write_line = self._journal.record_failure
        if complete:
            write_line = self._journal.record_request
        write_line("connection_closed", **closed._asdict())

    async def serve_callers(self) -> None:
        """Serves callers until cancelled."""
        handler = self._adapters.build_handler(self._proxy.answer, self.clock)
        await web_server.serve(
            handler.handle,
            self.settings.caller_host,
            self.settings.caller_port,
            compute_limits(self.settings),
            self._server,
        )

    async def serve_readiness(self) -> None:
        """Serves readiness checks of the balancer until cancelled."""

        async def answer(_: web.Request) -> web.Response:
            return web.Response(200 if self.is_ready() else 503)

        await web_server.serve(
            answer, self.settings.ready_host, self.settings.ready_port
        )

    def adopt_settings(
        self, settings: gateway_settings.GatewaySettings
    ) -> None:
        """Adopts the settings that may change at run time.

        Addresses may not change.
        """
        self.cluster_state.routes_age.limit_seconds = settings.keys_seconds
        self._budget.limits = settings.budget
        self.settings = self.settings._replace(
            keys_seconds=settings.keys_seconds,
            grace_seconds=settings.grace_seconds,
            budget=settings.budget,
        )

    async def serve_metrics(self) -> None:
        """Serves the metrics until cancelled."""

        async def answer(_: web.Request) -> web.Response:
            text = prometheus_client.generate_latest(metrics.REGISTRY)
            return web.Response(200, text, METRICS_HEADERS)

        await web_server.serve(
            answer, self.settings.peer_host, self.settings.metrics_port
        )

    async def request_stop(self, at: float) -> None:
        """Starts the graceful stop.

        Args:
            at: when the process was told to, from which its grace period runs.
        """
        self._stopped_at = min(self._stopped_at, at)
        await self.stop.set()

    async def drain(self) -> None:
        """Finishes the requests in flight after the order to stop."""
        drain_started_at = min(self._stopped_at, self.clock.now())
        self._server.draining = True
        self._journal.record_event("stopping", busy=self._server.busy)
        grace_seconds = self.settings.grace_seconds
        grace_ends_at = drain_started_at + grace_seconds
        process_ends_at = grace_ends_at - min(
            GRACE_MARGIN_SECONDS, grace_seconds * GRACE_MARGIN_SHARE
        )
        self._process_end.at = process_ends_at
        accepting_seconds = min(LINGER_SECONDS, grace_seconds * ACCEPTING_SHARE)
        turn_seconds = 0.0
        while True:
            now = self.clock.now()
            last_seconds = compute_last_seconds(grace_seconds, turn_seconds)
            drain_ends_at = grace_ends_at - last_seconds
            linger_is_over = now >= drain_started_at + LINGER_SECONDS
            if now >= drain_started_at + accepting_seconds:
                self._refuse_requests()
            if (linger_is_over and not self.is_busy()) or now >= drain_ends_at:
                break
            await curio.sleep(CHECK_SECONDS / 2)
            late_seconds = self.clock.now() - now - CHECK_SECONDS / 2
            turn_seconds = max(turn_seconds, late_seconds)
        self._refuse_requests()
        if self.is_busy():
            self._journal.record_event(
                "requests_ending",
                busy=self._server.busy,
                turn_seconds=round(turn_seconds, 3),
            )
            await self._end_requests(process_ends_at)
        self._journal.record_event("stopped", busy=self._server.busy)

    async def end_tasks(self, tasks: list[curio.Task]) -> None:
        """Ends all tasks, the last one before the others.

        The others end at the same time, as the grace period may be over soon.
        """
        if not tasks:
            return
        began_at = self.clock.now()
        *others, last = tasks
        await last.cancel()
        last_ended_at = self.clock.now()
        for task in others:
            await task.cancel(blocking=False)
        for task in others:
            await task.wait()
        self._journal.record_event(
            "tasks_ended",
            callers_seconds=round(last_ended_at - began_at, 3),
            seconds=round(self.clock.now() - began_at, 3),
        )

    def _refuse_requests(self) -> None:
        """Refuses all further requests, a few connections at a time."""
        if not self._proxy.closed:
            self._journal.record_event("refusing", busy=self._server.busy)
            gate = self._server.gate
            gate.limit = gate.open + REFUSING_CONNECTIONS
        self._proxy.closed = True

    async def _end_requests(self, ends_at: float) -> None:
        """Answers the last requests; streams go on until the process ends.

        No connection is accepted before these answers.
        """
        gate = self._server.gate
        limit, gate.limit = gate.limit, 0
        await self._proxy.end_requests()
        while self.is_busy() and self.clock.now() < ends_at:
            if not self._proxy.has_unanswered():
                gate.limit = limit
            await curio.sleep(CHECK_SECONDS / 4)


def compute_last_seconds(grace_seconds: float, turn_seconds: float) -> float:
    """Returns how long before the end the unanswered requests are ended.

    Args:
        grace_seconds: the grace period.
        turn_seconds: the longest turn of all tasks that are ready.
    """
    needed = min(
        turn_seconds * LAST_ANSWERS_TURNS, grace_seconds * LAST_ANSWERS_SHARE
    )
    return max(LAST_ANSWERS_SECONDS, needed)


def compute_limits(settings: gateway_settings.GatewaySettings) -> web.Limits:
    """Returns the server limits that follow from the machine's resources.

    The operator's limits come with the route table. Each connection of a
    caller may need another one to an endpoint.
    """
    return web.Limits(
        connections=max(1, (settings.files_limit - OTHER_FILES_LIMIT) // 2),
        all_bodies_bytes=int(settings.memory_bytes * BODY_MEMORY_SHARE),
    )


async def run(gateway: Gateway) -> None:
    """Runs a proxying entry until it has shut down gracefully."""
    functions = [
        *(watcher.run for watcher in gateway.cluster_watch.build_watchers()),
        gateway.run_periodic_checks,
        gateway.cluster_watch.routes_freshness.run,
        gateway.serve_readiness,
        gateway.serve_metrics,
        gateway.registrar.run,
        gateway.crashing_part_store.run,
        gateway.cluster_watch.settled_era.run,
        gateway.origin_recorder.run,
        gateway.table.serve,
        gateway.table.connect_to_entries,
        # It is ended before what its requests need.
        gateway.serve_callers,
    ]
    tasks: list[curio.Task] = []
    try:
        for function in functions:
            tasks.append(await curio.spawn(function, daemon=True))
        await _wait_for_stop(gateway, tasks)
        await gateway.drain()
    finally:
        await gateway.end_tasks(tasks)


async def _wait_for_stop(gateway: Gateway, tasks: list[curio.Task]) -> None:
    """Waits for the order to stop.

    Raises:
        Exception: the error of a task that has failed; none of them should end
            before the order.
    """
    while not gateway.stop.is_set():
        for task in tasks:
            if task.terminated and task.exception is not None:
                raise task.exception
        await curio.ignore_after(CHECK_SECONDS * 2, gateway.stop.wait)
