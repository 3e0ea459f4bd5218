"""The proxying entry: serves callers of routes, without sidecars."""

import contextlib
import random
import secrets
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import curio
import prometheus_client

from samphirevale import (
    backoff,
    batching,
    budgets,
    catalogue,
    entries,
    errors,
    followers,
    gathering,
    groups,
    inputs,
    journal,
    knowledge,
    messages,
    metrics,
    ownership,
    placement,
    proxy_node,
    proxying,
    quarantine,
    routes,
)
from samphirevale.adapters import web
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects, proxies

# The interval between looks at what time alone changes, in seconds.
CHECK_SECONDS = 0.1

# How long the listener stays open after the order to stop, in seconds: until
# the balancer has looked twice and its last connections have arrived.
LINGER_SECONDS = 2.8

# What is left of the grace period for the end of the process, in seconds.
GRACE_MARGIN_SECONDS = 0.6

# Files that are open besides those of callers and their endpoints, at most.
OWN_FILES = 200

# The share of the machine's memory that callers' bodies may take.
BODIES_SHARE = 0.2

# The longest wait of a watch for other entries, in seconds: they are known to
# live by their reports.
ENTRIES_WATCH_SECONDS = 10.0


# The most inputs that crash endpoints which a report names.
CRASHED_LIMIT = 20


# The interval between two descriptions of a queue in the log, in seconds.
DESCRIPTION_SECONDS = 1.0

METRICS_HEADERS = (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),)


class GatewaySettings(NamedTuple):
    """What a proxying entry is told at its start.

    Attributes:
        instance: its name.
        data_centre: where it runs.
        caller_host: the address for callers.
        caller_port: the port for callers.
        ready_host: the address for readiness.
        ready_port: the port for readiness.
        peer_host: the address for other entries.
        peer_port: the port for other entries.
        metrics_port: the port for metrics, on `peer_host`.
        files_limit: most open files.
        memory_bytes: of the machine.
        keys_seconds: how soon a key that is taken away must be refused.
        grace_seconds: from the order to stop to the kill.
        budget: of repeats, over all entries.
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
    grace_seconds: float
    budget: budgets.BudgetTerms


class Outside(NamedTuple):
    """The adapters, and how they decode what is stored.

    Attributes:
        store: the object store.
        routes_kind: the kind of the routes' object.
        routes_name: its name.
        decode_routes: returns the route table of its value.
        endpoints_kind: the kind of the endpoints' entries.
        decode_endpoint: returns the endpoint of one, or None.
        endpoints: the calls to endpoints.
        build_handler: makes the callers' handler from what answers them.
    """

    store: objects.FollowedStore
    routes_kind: str
    routes_name: str
    decode_routes: Callable[[Any], routes.RouteTable]
    endpoints_kind: str
    decode_endpoint: Callable[[objects.StoredObject], catalogue.Endpoint | None]
    endpoints: proxies.ProxyEndpoints
    build_handler: Callable[[Any, clocks.Clock], Any]


class Gateway:
    """The tasks of a proxying entry."""

    def __init__(
        self,
        settings: GatewaySettings,
        outside: Outside,
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        self.settings = settings
        self._outside = outside
        self._clock = clock
        self._journal = log
        self._rng = random.Random(secrets.randbits(64))
        self._server = web.ServerState()
        self.stop = curio.Event()
        self.knowledge = knowledge.Knowledge(
            settings.keys_seconds,
            ownership.Member(settings.instance, settings.data_centre),
        )
        self._quarantine = quarantine.Quarantine(inputs.CRASHES_SECONDS)
        self._budget = budgets.RetryBudget(settings.budget)
        self._placer = placement.Placer(self._rng, self._read_other_load)
        self._gatherer = gathering.Gatherer(
            outside.endpoints,
            clock,
            log,
            self.knowledge.catalogue.is_accepting,
        )
        self.group = groups.Group(self._gatherer, self.knowledge, clock)
        self.table = entries.EntryTable(
            entries.Registration(
                settings.instance,
                settings.peer_host,
                settings.peer_port,
                secrets.token_hex(16),
            ),
            settings.data_centre,
            self.group,
            self._build_report,
            self._take_members,
            self._take_crashes,
            clock,
            self._rng,
            log,
        )
        self.group.table = self.table
        self._proxy = proxying.Proxy(
            proxy_node.ProxyNode(
                self.knowledge,
                self._placer,
                self.group,
                self._budget,
                self._quarantine,
                outside.endpoints,
                clock,
                self._rng,
                log,
            )
        )

    def is_ready(self) -> bool:
        """Tells whether callers should come here."""
        now = self._clock.now()
        return (
            not self.stop.is_set()
            and self.knowledge.table is not None
            and self.knowledge.routes_age.is_usable(now)
            and self.knowledge.endpoints_age.confirmed_at is not None
        )

    def is_busy(self) -> bool:
        """Tells whether a request is in progress."""
        return self._server.busy > 0

    def _build_report(self, now: float) -> messages.EntryReport:
        crashed = self._quarantine.list_newest(CRASHED_LIMIT, now)
        return messages.EntryReport(
            self.group.describe_queues(now),
            self._placer.describe_loads(),
            [[name, *attempts] for name, attempts in crashed],
        )

    def _take_crashes(self, crashed: list[list[str]]) -> None:
        """Takes over the crashes that another entry knows of."""
        now = self._clock.now()
        for fingerprint, *attempts in crashed:
            self._quarantine.add_crashes(fingerprint, attempts, now)

    def _read_other_load(self, endpoint: str) -> tuple[int, int]:
        """Returns what the other entries have in progress at an endpoint."""
        loads = [
            entry.loads[endpoint]
            for entry in self.table.linked.values()
            if endpoint in entry.loads
        ]
        return (
            sum(load.running for load in loads),
            sum(load.unread_tokens for load in loads),
        )

    def _take_members(self, members: Iterable[ownership.Member]) -> None:
        if self.knowledge.adopt_members(members):
            self._journal.note_change(
                "entries_changed",
                entries=[item.name for item in self.knowledge.members],
            )

    def _take_entry_list(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        found = map(entries.decode_registration, stored)
        self.table.adopt([item for item in found if item], whole=True)

    def _take_entry_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for item in stored:
            found = entries.decode_registration(item)
            if found is None:
                self.table.forget(item.name)
            else:
                self.table.adopt([found], whole=False)

    async def register(self) -> None:
        """Writes where this entry is dialed, until it has succeeded."""
        tries = 0
        while True:
            try:
                await self._outside.store.replace(
                    entries.KIND,
                    self.settings.instance,
                    self.table.describe(),
                )
                return
            except errors.StoreError as error:
                self._journal.note_failure("not_registered", error=str(error))
            await self._clock.sleep(backoff.compute_pause(tries, rng=self._rng))
            tries += 1

    def build_followers(self) -> list[followers.Follower]:
        """Returns what keeps the routes and the catalogue up to date."""
        routes_sink = followers.Sink(
            self._take_routes,
            self._take_routes,
            self.knowledge.routes_age.confirm,
            _ignore_time,
        )
        endpoints_sink = followers.Sink(
            self._take_endpoint_list,
            self._take_endpoint_changes,
            self.knowledge.endpoints_age.confirm,
            self.knowledge.catalogue.note_return,
        )
        entries_sink = followers.Sink(
            self._take_entry_list,
            self._take_entry_changes,
            _ignore_time,
            _ignore_time,
        )
        return [
            followers.Follower(
                self._outside.store,
                kind,
                sink,
                self._clock,
                self._rng,
                self._journal,
                watch_seconds,
            )
            for kind, sink, watch_seconds in (
                (
                    self._outside.routes_kind,
                    routes_sink,
                    followers.KEYS_WATCH_SECONDS,
                ),
                (
                    self._outside.endpoints_kind,
                    endpoints_sink,
                    followers.WATCH_SECONDS,
                ),
                (entries.KIND, entries_sink, ENTRIES_WATCH_SECONDS),
            )
        ]

    def _take_routes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for item in stored:
            if item.name == self._outside.routes_name and item.value:
                self._adopt_routes(item)

    def _adopt_routes(self, stored: objects.StoredObject) -> None:
        try:
            table = self._outside.decode_routes(stored.value)
        except (
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            self._journal.note_failure(
                "routes_malformed", revision=stored.version, error=repr(error)
            )
            return
        if self.knowledge.adopt_table(table):
            limits = table.limits
            self._server.limits = compute_limits(self.settings)._replace(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                head_seconds=limits.head_seconds,
                idle_seconds=limits.idle_seconds,
            )
            self._journal.note_change(
                "routes_adopted",
                version=table.version,
                revision=stored.version,
                hosts=len(table.routes),
            )

    def _take_endpoint_list(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        decoded = [self._outside.decode_endpoint(item) for item in stored]
        found = [endpoint for endpoint in decoded if endpoint is not None]
        self._note_changes(self.knowledge.catalogue.replace(found, now))

    def _take_endpoint_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for item in stored:
            endpoint = None
            if item.value is not None:
                endpoint = self._outside.decode_endpoint(item)
            if endpoint is None:
                changes = self.knowledge.catalogue.remove(item.name, now)
            else:
                changes = self.knowledge.catalogue.put(endpoint)
            self._note_changes(changes)

    def _note_changes(self, changes: list[catalogue.Change]) -> None:
        for before, after in changes:
            if after is None or (
                before is not None and before.started != after.started
            ):
                self._placer.forget(before.name)
                self._gatherer.forget(before)
            known = after or before
            self._journal.note_change(
                "endpoint_changed",
                endpoint=known.name,
                service=known.service,
                address=f"{known.host}:{known.port}",
                data_centre=known.data_centre,
                accepting=after.accepting if after else None,
                started=known.started,
                gone=after is None,
            )
        if changes:
            self.knowledge.note_endpoints_changed()

    async def check_time(self) -> None:
        """Does what is due by time alone, for ever."""
        described_at = 0.0
        while True:
            await curio.sleep(CHECK_SECONDS)
            now = self._clock.now()
            if now >= described_at + DESCRIPTION_SECONDS:
                described_at = now
                self._describe_queues(now)
            self._note_changes(self.knowledge.catalogue.drop_lapsed(now))
            metrics.ROUTES_AGE.set(self.knowledge.routes_age.read_age(now))
            metrics.ENTRIES_LINKED.set(len(self.table.linked))
            metrics.LINES_LEFT_OUT.set(self._journal.left_out)

    def _describe_queues(self, now: float) -> None:
        """Logs the queues of the endpoints that this entry gathers for."""
        for name, *state in self.group.describe_queues(now):
            fields = batching.QueueState(*state)._asdict()
            self._journal.note_change("queue", endpoint=name, **fields)

    async def serve_callers(self) -> None:
        """Serves callers until cancelled."""
        handler = self._outside.build_handler(self._proxy.answer, self._clock)
        await web.serve(
            handler.handle,
            self.settings.caller_host,
            self.settings.caller_port,
            compute_limits(self.settings),
            self._server,
        )

    async def serve_readiness(self) -> None:
        """Tells the balancer whether callers should come here."""

        async def answer(_: web.Request) -> web.Response:
            return web.Response(200 if self.is_ready() else 503)

        await web.serve(
            answer, self.settings.ready_host, self.settings.ready_port
        )

    def adopt_settings(self, settings: GatewaySettings) -> None:
        """Takes over what may change while it runs; addresses may not."""
        self.knowledge.routes_age.limit_seconds = settings.keys_seconds
        self._budget.terms = settings.budget
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
        """Finishes what is in flight after the order to stop."""
        began_at = self._clock.now()
        self._server.draining = True
        self._journal.note_change("stopping", busy=self._server.busy)
        last = began_at + self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        while True:
            now = self._clock.now()
            lingered = now >= began_at + LINGER_SECONDS
            self._proxy.closed = lingered
            if (lingered and not self.is_busy()) or now >= last:
                break
            await curio.sleep(CHECK_SECONDS / 2)
        self._journal.note_change("stopped", busy=self._server.busy)


def compute_limits(settings: GatewaySettings) -> web.Limits:
    """Returns what the machine bears; the operator's limits come with routes.

    Each connection of a caller may need one to an endpoint.
    """
    return web.Limits(
        connections=max(1, (settings.files_limit - OWN_FILES) // 2),
        all_bodies_bytes=int(settings.memory_bytes * BODIES_SHARE),
    )


def _ignore_time(now: float) -> None:
    """Routes do not lapse; entries tell themselves that they live."""


async def run(gateway: Gateway) -> None:
    """Runs a proxying entry until it has stopped gracefully."""
    functions = [
        *(follower.run for follower in gateway.build_followers()),
        gateway.check_time,
        gateway.serve_callers,
        gateway.serve_readiness,
        gateway.serve_metrics,
        gateway.register,
        gateway.table.serve,
        gateway.table.dial_known,
    ]
    async with contextlib.AsyncExitStack() as stack:
        tasks = []
        for function in functions:
            task = await curio.spawn(function, daemon=True)
            stack.push_async_callback(task.cancel)
            tasks.append(task)
        await _wait_stop(gateway, tasks)
        await gateway.drain()


async def _wait_stop(gateway: Gateway, tasks: list[curio.Task]) -> None:
    """Returns on the order to stop.

    Raises:
        Exception: a task that is to run for ever has failed with it.
    """
    while not gateway.stop.is_set():
        for task in tasks:
            if task.terminated and task.exception is not None:
                raise task.exception
        await curio.ignore_after(CHECK_SECONDS * 2, gateway.stop.wait)
