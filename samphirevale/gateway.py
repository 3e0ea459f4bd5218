"""The proxying entry, which serves callers of routes without sidecars."""

import contextlib
import random
import secrets
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import curio
import prometheus_client

from samphirevale import (
    backoff,
    batch_dispatch,
    batching,
    catalogue,
    cluster_state,
    entries,
    errors,
    freshness,
    input_fingerprints,
    item_routing,
    journal,
    messages,
    metrics,
    ownership,
    placement,
    proxy_context,
    proxying,
    quarantine,
    retry_budgets,
    routes,
    routes_freshness,
    watchers,
)
from samphirevale.adapters import web
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects, proxies

# The interval between periodic checks, in seconds.
CHECK_SECONDS = 0.1

# How long the listener stays open after the order to stop, in seconds. This is
# enough for two health checks of the balancer and its last connections.
LINGER_SECONDS = 2.8

# The part of the grace period that is reserved for process exit, in seconds.
GRACE_MARGIN_SECONDS = 0.6

# The largest number of open files other than connections of callers and
# connections to endpoints.
OTHER_FILES_LIMIT = 200

# The share of the machine's memory that request bodies may occupy.
BODY_MEMORY_SHARE = 0.2

# A watch whose copy is confirmed in other ways. It waits as long as a change
# should be kept in the store's history at least.
LONG_WATCH = watchers.WatchTimes(wait_seconds=10.0, backoff_seconds=2.0)

# The watch for other entries. It may be slow, as the reports of the entries
# show that they are alive.
ENTRIES_WATCH = LONG_WATCH._replace(pause_seconds=1.0)

# The watch of the routes waits for this share of the time after which the copy
# may not be used any more. One call may then be lost.
ROUTES_WAIT_SHARE = 0.33

# The pause of the watch of the endpoints, as a share of the time after which
# an endpoint that leaves gets no more work.
ENDPOINTS_PAUSE_SHARE = 0.15

# The largest number of quarantined inputs in a report.
REPORTED_CRASHES_LIMIT = 20

# The interval between two log lines about the state of a queue, in seconds.
QUEUE_LOG_SECONDS = 1.0

METRICS_HEADERS = (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),)


class GatewaySettings(NamedTuple):
    """The settings of a proxying entry.

    Attributes:
        instance: the name of the entry.
        data_centre: the data centre in which the entry runs.
        caller_host: the listening address for callers.
        caller_port: the listening port for callers.
        ready_host: the listening address for readiness checks.
        ready_port: the listening port for readiness checks.
        peer_host: the listening address for other entries.
        peer_port: the listening port for other entries.
        metrics_port: the listening port for metrics, on `peer_host`.
        files_limit: the largest number of open files.
        memory_bytes: the memory of the machine.
        keys_seconds: the time within which a revoked key must be refused.
        contact_seconds: the time within which a lost connection to the store
            must be noticed.
        drain_seconds: the time after which an endpoint that leaves gets no
            more work.
        grace_seconds: the time from the order to stop to the kill.
        budget: the retry budget, shared by all entries.
    """

    instance: str
    data_centre: str
    caller_host: str
    caller_port: int
    ready_host: str
    ready_port: int
    peer_host: str
    peer_port: int
    metrics_port: int
    files_limit: int
    memory_bytes: int
    keys_seconds: float
    contact_seconds: float
    drain_seconds: float
    grace_seconds: float
    budget: retry_budgets.RetryBudgetLimits


class PlatformAdapters(NamedTuple):
    """The adapters of an entry and the decoders of stored objects.

    Attributes:
        store: the object store.
        routes_kind: the kind of the stored object that contains the routes.
        routes_name: the name of that object.
        decode_routes: decodes the value of that object as a route table.
        endpoints_kind: the kind of the stored objects of endpoints.
        decode_endpoint: decodes such an object; returns None if it does not
            describe an endpoint.
        endpoints: makes the calls to endpoints.
        build_handler: builds the HTTP handler of callers from a function that
            answers requests and a clock.
    """

    store: objects.WatchedStore
    routes_kind: str
    routes_name: str
    decode_routes: Callable[[Any], routes.RouteTable]
    endpoints_kind: str
    decode_endpoint: Callable[[objects.StoredObject], catalogue.Endpoint | None]
    endpoints: proxies.ProxyEndpoints
    build_handler: Callable[[Any, clocks.Clock], Any]


class Gateway:
    """A proxying entry with its state and its tasks."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter_set: PlatformAdapters,
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        self.settings = settings
        self._adapters = adapter_set
        self._clock = clock
        self._journal = log
        self._rng = random.Random(secrets.randbits(64))
        self._server = web.ServerState()
        self.stop = curio.Event()
        self.cluster_state = cluster_state.ClusterState(
            settings.keys_seconds,
            ownership.Member(settings.instance, settings.data_centre),
        )
        self._quarantine = quarantine.Quarantine(
            input_fingerprints.CRASHES_SECONDS
        )
        self._budget = retry_budgets.RetryBudget(settings.budget)
        self._selector = placement.EndpointSelector(
            self._rng, lambda name: self.table.loads.get(name)
        )
        self._dispatcher = batch_dispatch.BatchDispatcher(
            adapter_set.endpoints,
            clock,
            log,
            self.cluster_state.catalogue.is_accepting,
        )
        self.item_runner = item_routing.RoutedItemRunner(
            self._dispatcher, self.cluster_state, clock
        )
        self.table = entries.EntryTable(
            entries.Registration(
                settings.instance,
                settings.peer_host,
                settings.peer_port,
                secrets.token_hex(16),
            ),
            settings.data_centre,
            self.item_runner,
            self._build_report,
            self._adopt_members,
            self._adopt_crashes,
            self._get_routes_age,
            clock,
            self._rng,
            log,
        )
        self.item_runner.table = self.table
        self._routes_watcher = self._build_routes_watcher()
        self.routes_freshness = routes_freshness.RoutesFreshness(
            settings.instance,
            self.cluster_state,
            self.table,
            self._routes_watcher.read_now,
            clock,
            self._rng,
            log,
        )
        self._proxy = proxying.Proxy(
            proxy_context.ProxyContext(
                self.cluster_state,
                self._selector,
                self.item_runner,
                self._budget,
                self._quarantine,
                adapter_set.endpoints,
                clock,
                self._rng,
                log,
            )
        )

    def is_ready(self) -> bool:
        """Returns whether the balancer should send callers to this entry."""
        now = self._clock.now()
        return (
            not self.stop.is_set()
            and self.cluster_state.table is not None
            and self.cluster_state.routes_age.is_usable(now)
            and self.cluster_state.endpoints_age.confirmed_at is not None
        )

    def is_busy(self) -> bool:
        """Returns whether a request is in flight."""
        return self._server.busy > 0

    def _build_report(self, now: float) -> messages.EntryReport:
        crashed = self._quarantine.list_newest(REPORTED_CRASHES_LIMIT, now)
        return messages.EntryReport(
            self.item_runner.describe_queues(now),
            self._selector.describe_loads(),
            [[name, *attempts] for name, attempts in crashed],
        )

    def _adopt_crashes(self, crashed: list[list[str]]) -> None:
        """Adopts the crashes that another entry reports, by fingerprint."""
        now = self._clock.now()
        for fingerprint, *attempts in crashed:
            self._quarantine.add_crashes(fingerprint, attempts, now)

    def _get_routes_age(
        self, now: float
    ) -> routes_freshness.Confirmation | None:
        """Returns what this entry knows of the routes, for other entries."""
        if self.cluster_state.table is None:
            return None
        return routes_freshness.Confirmation(
            self.cluster_state.table.version,
            self.cluster_state.routes_age.compute_age(now),
        )

    def _adopt_members(self, members: Iterable[ownership.Member]) -> None:
        if self.cluster_state.adopt_members(members):
            self.routes_freshness.adopt_members(self.cluster_state.members)
            self._routes_watcher.times = compute_routes_watch(
                self.settings, self.routes_freshness.is_source
            )
            self._journal.record_event(
                "entries_changed",
                entries=[member.name for member in self.cluster_state.members],
            )

    def _replace_entries(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        found = map(entries.decode_registration, stored)
        self.table.adopt(
            [registration for registration in found if registration],
            whole=True,
        )

    def _apply_entry_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for stored_object in stored:
            found = entries.decode_registration(stored_object)
            if found is None:
                self.table.remove(stored_object.name)
            else:
                self.table.adopt([found], whole=False)

    async def register(self) -> None:
        """Registers the address of this entry and retries until it succeeds."""
        failures = 0
        while True:
            try:
                await self._adapters.store.replace(
                    entries.KIND,
                    self.settings.instance,
                    self.table.describe(),
                )
                return
            except errors.StoreError as error:
                self._journal.record_failure("not_registered", error=str(error))
            await self._clock.sleep(
                backoff.compute_pause(failures, rng=self._rng)
            )
            failures += 1

    def build_watchers(self) -> list[watchers.Watcher]:
        """Builds the watchers of routes, endpoints and other entries."""
        endpoints_callbacks = watchers.WatchCallbacks(
            self._replace_endpoints,
            self._apply_endpoint_changes,
            self.cluster_state.endpoints_age.confirm,
            self.cluster_state.catalogue.start_grace_period,
        )
        entries_callbacks = watchers.WatchCallbacks(
            self._replace_entries,
            self._apply_entry_changes,
            _ignore_time,
            _ignore_time,
        )
        return [
            self._routes_watcher,
            self._build_watcher(
                self._adapters.endpoints_kind,
                endpoints_callbacks,
                compute_endpoints_watch(self.settings),
            ),
            self._build_watcher(entries.KIND, entries_callbacks, ENTRIES_WATCH),
        ]

    def _build_routes_watcher(self) -> watchers.Watcher:
        callbacks = watchers.WatchCallbacks(
            self._adopt_stored_routes,
            self._adopt_stored_routes,
            self.cluster_state.routes_age.confirm,
            _ignore_time,
        )
        return self._build_watcher(
            self._adapters.routes_kind,
            callbacks,
            compute_routes_watch(self.settings, is_source=True),
        )

    def _build_watcher(
        self,
        kind: str,
        callbacks: watchers.WatchCallbacks,
        times: watchers.WatchTimes,
    ) -> watchers.Watcher:
        return watchers.Watcher(
            self._adapters.store,
            kind,
            callbacks,
            self._clock,
            self._rng,
            self._journal,
            times,
        )

    def _adopt_stored_routes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for stored_object in stored:
            if (
                stored_object.name == self._adapters.routes_name
                and stored_object.value
            ):
                self._adopt_routes(stored_object)

    def _adopt_routes(self, stored: objects.StoredObject) -> None:
        try:
            table = self._adapters.decode_routes(stored.value)
        except (
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            self._journal.record_failure(
                "routes_malformed", revision=stored.version, error=repr(error)
            )
            return
        if self.cluster_state.adopt_table(table):
            limits = table.limits
            self._server.limits = compute_limits(self.settings)._replace(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                head_seconds=limits.head_seconds,
                idle_seconds=limits.idle_seconds,
            )
            self._journal.record_event(
                "routes_adopted",
                version=table.version,
                revision=stored.version,
                hosts=len(table.routes),
            )

    def _replace_endpoints(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        decoded = [
            self._adapters.decode_endpoint(stored_object)
            for stored_object in stored
        ]
        found = [endpoint for endpoint in decoded if endpoint is not None]
        self._handle_endpoint_changes(
            self.cluster_state.catalogue.replace(found, now)
        )

    def _apply_endpoint_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for stored_object in stored:
            endpoint = None
            if stored_object.value is not None:
                endpoint = self._adapters.decode_endpoint(stored_object)
            if endpoint is None:
                changes = self.cluster_state.catalogue.remove(
                    stored_object.name, now
                )
            else:
                changes = self.cluster_state.catalogue.put(endpoint)
            self._handle_endpoint_changes(changes)

    def _handle_endpoint_changes(self, changes: list[catalogue.Change]) -> None:
        for before, after in changes:
            if after is None or (
                before is not None and before.started != after.started
            ):
                self._selector.remove_endpoint(before.name)
                self._dispatcher.remove_endpoint(before)
            endpoint = after or before
            self._journal.record_event(
                "endpoint_changed",
                endpoint=endpoint.name,
                service=endpoint.service,
                address=f"{endpoint.host}:{endpoint.port}",
                data_centre=endpoint.data_centre,
                accepting=after.accepting if after else None,
                started=endpoint.started,
                gone=after is None,
            )
        if changes:
            self.cluster_state.invalidate_owners()

    async def run_periodic_checks(self) -> None:
        """Runs the periodic checks until cancelled."""
        logged_at = 0.0
        while True:
            await curio.sleep(CHECK_SECONDS)
            now = self._clock.now()
            if now >= logged_at + QUEUE_LOG_SECONDS:
                logged_at = now
                self._log_queues(now)
            self._handle_endpoint_changes(
                self.cluster_state.catalogue.remove_expired(now)
            )
            metrics.ROUTES_AGE.set(
                self.cluster_state.routes_age.compute_age(now)
            )
            metrics.ENTRIES_LINKED.set(len(self.table.linked))
            metrics.LINES_LEFT_OUT.set(self._journal.dropped_lines)

    def _log_queues(self, now: float) -> None:
        """Logs the state of the queues that this entry owns."""
        for name, *state in self.item_runner.describe_queues(now):
            fields = batching.QueueState(*state)._asdict()
            self._journal.record_event("queue", endpoint=name, **fields)

    async def serve_callers(self) -> None:
        """Serves callers until cancelled."""
        handler = self._adapters.build_handler(self._proxy.answer, self._clock)
        await web.serve(
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

        await web.serve(
            answer, self.settings.ready_host, self.settings.ready_port
        )

    def adopt_settings(self, settings: GatewaySettings) -> None:
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

        await web.serve(
            answer, self.settings.peer_host, self.settings.metrics_port
        )

    async def drain(self) -> None:
        """Finishes the requests in flight after the order to stop."""
        drain_started_at = self._clock.now()
        self._server.draining = True
        self._journal.record_event("stopping", busy=self._server.busy)
        drain_ends_at = (
            drain_started_at
            + self.settings.grace_seconds
            - GRACE_MARGIN_SECONDS
        )
        while True:
            now = self._clock.now()
            linger_is_over = now >= drain_started_at + LINGER_SECONDS
            self._proxy.closed = linger_is_over
            if (linger_is_over and not self.is_busy()) or now >= drain_ends_at:
                break
            await curio.sleep(CHECK_SECONDS / 2)
        self._journal.record_event("stopped", busy=self._server.busy)


def compute_limits(settings: GatewaySettings) -> web.Limits:
    """Returns the server limits that follow from the machine's resources.

    The operator's limits come with the route table. Each connection of a
    caller may need another one to an endpoint.
    """
    return web.Limits(
        connections=max(1, (settings.files_limit - OTHER_FILES_LIMIT) // 2),
        all_bodies_bytes=int(settings.memory_bytes * BODY_MEMORY_SHARE),
    )


def compute_routes_watch(
    settings: GatewaySettings, is_source: bool
) -> watchers.WatchTimes:
    """Returns the times of the watch of the routes.

    A new version is read without a pause, as it must be in force soon. Entries
    that are no source learn from others that nothing has changed.
    """
    if not is_source:
        return LONG_WATCH
    usable_seconds = settings.keys_seconds - freshness.MARGIN_SECONDS
    return watchers.WatchTimes(usable_seconds * ROUTES_WAIT_SHARE)


def compute_endpoints_watch(settings: GatewaySettings) -> watchers.WatchTimes:
    """Returns the times of the watch of the endpoints."""
    return watchers.WatchTimes(
        wait_seconds=settings.contact_seconds,
        pause_seconds=settings.drain_seconds * ENDPOINTS_PAUSE_SHARE,
    )


def _ignore_time(now: float) -> None:
    """Ignores the time of a confirmation or recovery of a copy.

    Routes need no grace period, and entries show by their reports that they
    are alive.
    """


async def run(gateway: Gateway) -> None:
    """Runs a proxying entry until it has shut down gracefully."""
    functions = [
        *(watcher.run for watcher in gateway.build_watchers()),
        gateway.run_periodic_checks,
        gateway.routes_freshness.run,
        gateway.serve_callers,
        gateway.serve_readiness,
        gateway.serve_metrics,
        gateway.register,
        gateway.table.serve,
        gateway.table.connect_to_entries,
    ]
    async with contextlib.AsyncExitStack() as stack:
        tasks = []
        for function in functions:
            task = await curio.spawn(function, daemon=True)
            stack.push_async_callback(task.cancel)
            tasks.append(task)
        await _wait_for_stop(gateway, tasks)
        await gateway.drain()


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
