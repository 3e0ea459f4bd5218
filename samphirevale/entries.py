"""Maintains links to the other entries, with reports and handed-over items.

Entries register in the store under their names. Each registration has a token
that other entries must present when they connect. Of two entries, the one
whose name sorts first connects to the other. An entry that has been silent for
too long is considered dead until it reports again.
"""

import collections
import contextlib
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

import curio

from samphirevale import (
    backoff,
    batching,
    catalogue,
    entry_messages,
    errors,
    journal,
    load_totals,
    log_limits,
    message_checks,
    messages,
    ownership,
    registrations,
    reports,
    routes_freshness,
    stream_origins,
)
from samphirevale.adapters import link as links
from samphirevale.availability import cordons
from samphirevale.fair_shares import demands
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The interval between checks for entries to connect to, in seconds.
DIAL_CHECK_SECONDS = 0.1

# The longest wait for the first message on a link, in seconds.
HELLO_SECONDS = 1.0

# The timeout of the answer to how recent an entry's routes are, in seconds.
ROUTES_AGE_SECONDS = 0.5

# The longest backoff between two attempts to connect, in seconds.
CONNECT_BACKOFF_LIMIT_SECONDS = 2.0

# The largest number of cancelled exchanges of a link whose results are released
# if they come.
CANCELLED_LIMIT = 256


# The messages that answer a request of this entry, by its type.
_ANSWERS = {
    entry_messages.ItemsRequest: entry_messages.ItemsResult,
    entry_messages.RoutesAgeRequest: entry_messages.RoutesAge,
    entry_messages.StreamOriginRequest: entry_messages.StreamOriginAnswer,
}


class _WaitingCall(NamedTuple):
    """A request of this entry that another entry has not answered.

    Attributes:
        answer_type: the type of the answer.
        queue: receives the answer, or None without one.
    """

    answer_type: type
    queue: curio.Queue


class ItemServer(Protocol):
    """Runs items for other entries."""

    async def serve_items(
        self, pieces: entry_messages.ItemsRequest
    ) -> list[proxies.ItemResult]:
        """Runs items and returns their results in the same order."""

    async def release_results(
        self, released: entry_messages.ResultsReleased
    ) -> None:
        """Releases results."""

    def describe_queue(self, endpoint: str, now: float) -> list:
        """Returns the fields of a queue's state; empty without a queue."""


class NoticeListener(Protocol):
    """Learns what other entries know of endpoints that ask for less."""

    def build_leaving(self) -> entry_messages.EndpointsLeaving:
        """Returns all endpoints that leave, for an entry that connects."""

    async def adopt_leaving(
        self, entry: str, message: entry_messages.EndpointsLeaving
    ) -> None:
        """Adopts the endpoints that leave according to another entry."""

    def adopt_pauses(self, pauses: Iterable[list]) -> None:
        """Adopts the pauses that another entry reports."""

    def adopt_limits(self, entry: str, limits: Iterable[list]) -> None:
        """Adopts the limits that another entry reports."""


class CrashListener(Protocol):
    """Learns what other entries know of requests that crash endpoints."""

    def build_evidence(self) -> entry_messages.CrashEvidence:
        """Returns all that is known, for an entry that connects."""

    def adopt_evidence(
        self, entry: str, message: entry_messages.CrashEvidence
    ) -> None:
        """Adopts what another entry knows of crashes and answers."""


class Entry:
    """Another entry with an open link.

    Attributes:
        link: the link to the entry.
        hello: the first message of the entry.
        queues: the states of the queues that the entry owns, by endpoint.
        loads: the load that the entry has placed, by endpoint.
        sent: the numbers of items and bytes that were handed over to the
            entry since its last report, by endpoint.
        waiting: the requests that the entry has not answered, by the id of the
            exchange.
        serving: the tasks that run items for the entry, by the id of the
            exchange.
        cancelled: the last exchanges that were cancelled here and may still be
            answered.
    """

    def __init__(self, link: links.Link, hello: messages.Hello):
        self.link = link
        self.hello = hello
        self.queues: dict[str, batching.QueueState] = {}
        self.loads: dict[str, load_totals.Load] = {}
        self.sent: dict[str, tuple[int, int]] = {}
        self.waiting: dict[int, _WaitingCall] = {}
        self.serving: dict[int, curio.Task] = {}
        self.cancelled: collections.deque[int] = collections.deque(
            maxlen=CANCELLED_LIMIT
        )

    def adopt_report(self, report: entry_messages.EntryReport) -> None:
        """Adopts the state that the entry reports."""
        self.queues = {
            name: batching.QueueState(*fields)
            for name, *fields in report.queues
        }
        self.loads = {
            name: load_totals.Load(*fields) for name, *fields in report.loads
        }
        self.sent = {}

    def adopt_queue(self, endpoint: str, fields: list) -> None:
        """Adopts the state of one queue, sent with the results of items."""
        if fields:
            self.queues[endpoint] = batching.QueueState(*fields)
            self.sent.pop(endpoint, None)

    def count_sent(self, endpoint: str, items: int, size: int) -> None:
        """Counts items that the entry's last report does not include."""
        before = self.sent.get(endpoint, (0, 0))
        self.sent[endpoint] = (before[0] + items, before[1] + size)

    def estimate_state(self, endpoint: str) -> batching.QueueState | None:
        """Returns a queue's last reported state plus the items sent since.

        The state is None if the entry has not reported the queue.
        """
        state = self.queues.get(endpoint)
        items, size = self.sent.get(endpoint, (0, 0))
        if state is None:
            return None
        return state._replace(
            waiting=state.waiting + items,
            waiting_bytes=state.waiting_bytes + size,
        )


class EntryTable:
    """Maintains a link to each other entry that is alive.

    Attributes:
        linked: the entries with an open link, by name.
        loads: the load that all of them have placed.
    """

    def __init__(
        self,
        me: registrations.Registration,
        data_centre: str,
        server: ItemServer,
        notices: NoticeListener,
        crashes: CrashListener,
        build_report: Callable[[float], entry_messages.EntryReport],
        on_members_changed: Callable[[Iterable[ownership.Member]], None],
        on_crashes_reported: Callable[[list[list[str]]], None],
        on_store_reported: Callable[
            [str, routes_freshness.StoreKnowledge], Awaitable[None]
        ],
        get_routes_age: Callable[[float], routes_freshness.Confirmation | None],
        origins: stream_origins.StreamOrigins,
        service_demands: demands.ServiceDemands,
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        """Initializes a table without links.

        Args:
            me: the registration of this entry.
            data_centre: the data centre of this entry.
            server: runs items for other entries.
            notices: learns of endpoints that leave or pause.
            crashes: learns of requests that crash endpoints.
            build_report: builds the report for the other entries.
            on_members_changed: called with the linked entries.
            on_crashes_reported: called with the crashes that an entry reports.
            on_store_reported: called with the name of an entry and what it
                reports of the store.
            get_routes_age: returns how recent the routes of this entry are;
                None if it has none.
            origins: the streams of which this entry knows where they began.
            service_demands: what accounts have asked of each service lately.
            clock: a clock that includes time while the machine is suspended.
            rng: the source of jitter.
            log: the log of links.
        """
        self.linked: dict[str, Entry] = {}
        self.loads = load_totals.LoadTotals()
        self._me = me
        self._hello = messages.Hello(
            me.name, me.token, "entry", data_centre, "", ""
        )
        self._server = server
        self._notices = notices
        self._crashes = crashes
        self._reporter = reports.Reporter(build_report)
        self._on_members_changed = on_members_changed
        self._on_crashes_reported = on_crashes_reported
        self._on_store_reported = on_store_reported
        self._get_routes_age = get_routes_age
        self._origins = origins
        self._demands = service_demands
        self._clock = clock
        self._rng = rng
        self._journal = log
        self._log_limiter = log_limits.LogLimiter()
        self._registrations: dict[str, registrations.Registration] = {}
        self._dial_tasks: dict[str, curio.Task] = {}
        self._exchange_ids = itertools.count()

    def adopt(
        self, found: Iterable[registrations.Registration], whole: bool
    ) -> None:
        """Adopts registrations; if `whole`, removes all others."""
        if whole:
            self._registrations = {}
        for registration in found:
            if registration.name != self._me.name:
                self._registrations[registration.name] = registration
        if not self.linked.keys().isdisjoint(self._registrations):
            # An entry may be linked before its registration is known.
            self._notify_members()

    def remove(self, name: str) -> None:
        """Removes the registration of an entry that no longer exists."""
        self._registrations.pop(name, None)

    def list_registered(self) -> list[str]:
        """Returns the names of the other entries that are registered."""
        return list(self._registrations)

    async def connect_to_entries(self) -> None:
        """Connects to the entries whose names sort after this one's.

        Runs until cancelled. The other entries connect to this one.
        """
        while True:
            for name in self._registrations:
                task = self._dial_tasks.get(name)
                if self._me.name < name and (task is None or task.terminated):
                    self._dial_tasks[name] = await curio.spawn(
                        self._dial, name, daemon=True
                    )
            await curio.sleep(DIAL_CHECK_SECONDS)

    async def _dial(self, name: str) -> None:
        """Connects to an entry repeatedly until its registration is gone."""
        failures = 0
        while self.is_registered(name):
            found = self._registrations[name]
            try:
                async with links.dial(
                    found.host, found.port, found.token
                ) as link:
                    failures = 0
                    await self.run_link(link)
            except (errors.TransportError, OSError):
                # The table logs when links to entries open and close.
                pass
            pause = backoff.compute_pause(
                failures,
                longest_seconds=CONNECT_BACKOFF_LIMIT_SECONDS,
                rng=self._rng,
            )
            failures += 1
            await self._clock.sleep(pause)

    async def serve(self) -> None:
        """Accepts links from other entries until cancelled."""
        await links.serve(
            self.run_link, self._me.host, self._me.port, self._me.token
        )

    async def run_link(self, link: links.Link) -> None:
        """Exchanges messages on a link until it closes."""
        await link.send(self._hello, 0)
        try:
            async with curio.timeout_after(HELLO_SECONDS):
                frame = await link.receive()
        except curio.TaskTimeout as error:
            raise errors.PeerClosedError(
                "no hello message within the timeout"
            ) from error
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message must be hello")
        hello = message_checks.check(frame.message)
        if hello is None or hello.instance == self._me.name:
            raise errors.ProtocolError("no name of another entry")
        entry = Entry(link, hello)
        reporter = await curio.spawn(self._report, entry, daemon=True)
        try:
            await self._attach(entry)
            await self._read(entry)
        finally:
            await reporter.cancel()
            await self._detach(entry)

    async def _attach(self, entry: Entry) -> None:
        self.linked[entry.hello.instance] = entry
        self._journal.record_event("entry_up", entry=entry.hello.instance)
        self._notify_members()
        await entry.link.send(self._notices.build_leaving(), 0)
        await entry.link.send(self._crashes.build_evidence(), 0)

    async def _detach(self, entry: Entry) -> None:
        name = entry.hello.instance
        self.loads.replace(entry.loads, {})
        entry.loads = {}
        if self.linked.get(name) is entry:
            del self.linked[name]
            self._demands.remove_entry(name)
            self._journal.record_event("entry_down", entry=name)
            self._notify_members()
        for call in entry.waiting.values():
            await call.queue.put(None)
        for task in list(entry.serving.values()):
            await task.cancel(blocking=False)

    def _notify_members(self) -> None:
        self._on_members_changed(
            ownership.Member(
                entry.hello.instance,
                entry.hello.data_centre,
                self._find_processor(entry.hello.instance),
            )
            for entry in self.linked.values()
        )

    def _find_processor(self, name: str) -> float:
        """Returns the processor time of an entry, in cores."""
        registration = self._registrations.get(name)
        return registration.processor if registration is not None else 1.0

    async def _report(self, entry: Entry) -> None:
        """Sends reports on a link until it closes."""
        with contextlib.suppress(errors.PeerClosedError):
            while True:
                report = self._reporter.get_report(self._clock.now())
                await entry.link.send(report, 0)
                await curio.sleep(
                    reports.compute_interval(
                        len(self.linked), bool(report.queues)
                    )
                )

    async def _read(self, entry: Entry) -> None:
        while True:
            try:
                limit = reports.compute_silence_limit(len(self.linked))
                async with curio.timeout_after(limit):
                    frame = await entry.link.receive()
            except curio.TaskTimeout as error:
                raise errors.PeerClosedError("silent") from error
            message = message_checks.check(frame.message)
            if message is not frame.message:
                self._record_malformed(entry, frame.message)
            if message is None:
                await self._refuse_message(entry, frame.message)
            else:
                await self._handle_message(entry, message)

    def _record_malformed(self, entry: Entry, message: Any) -> None:
        """Logs once in a while that a message cannot be used whole."""
        name = entry.hello.instance
        if self._log_limiter.permits((name, message.tag), self._clock.now()):
            self._journal.record_failure(
                "message_malformed", entry=name, message=message.tag
            )

    async def _refuse_message(self, entry: Entry, message: Any) -> None:
        """Ends the exchange of a message that cannot be used."""
        if isinstance(message, tuple(_ANSWERS.values())):
            await self._end_exchange(entry, message, None)
        elif isinstance(message, entry_messages.ItemsRequest):
            answer = entry_messages.ItemsResult(
                message.exchange, "", [], [], []
            )
            with contextlib.suppress(errors.PeerClosedError):
                await entry.link.send(answer, 0)

    async def _end_exchange(
        self, entry: Entry, message: Any, answer: Any
    ) -> bool:
        """Hands an answer to the call that waits for it.

        Args:
            entry: the entry that has answered.
            message: the message as it came.
            answer: what of it can be used; None if nothing can.

        Returns:
            Whether a call waits for a message of this type.
        """
        call = entry.waiting.get(message.exchange)
        if call is None or not isinstance(message, call.answer_type):
            return False
        await call.queue.put(answer)
        return True

    async def _handle_message(self, entry: Entry, message: Any) -> None:
        if isinstance(message, entry_messages.EntryReport):
            before = entry.loads
            entry.adopt_report(message)
            self.loads.replace(before, entry.loads)
            self._on_crashes_reported(message.crashed)
            await self._on_store_reported(
                entry.hello.instance,
                routes_freshness.StoreKnowledge(
                    entry_messages.decode_era(message.store_era),
                    message.routes_version,
                    cordons.CordonList(
                        message.cordons_version, frozenset(message.cordoned)
                    ),
                ),
            )
            self._adopt_demands(entry.hello.instance, message.demands)
            self._notices.adopt_pauses(message.pauses)
            self._notices.adopt_limits(entry.hello.instance, message.limits)
        elif isinstance(message, entry_messages.EndpointsLeaving):
            await self._notices.adopt_leaving(entry.hello.instance, message)
        elif isinstance(message, entry_messages.CrashEvidence):
            self._crashes.adopt_evidence(entry.hello.instance, message)
        elif isinstance(message, entry_messages.ItemsRequest):
            if message.exchange in entry.serving:
                raise errors.ProtocolError("the exchange is not over")
            entry.serving[message.exchange] = await curio.spawn(
                self._serve_items, entry, message, daemon=True
            )
        elif isinstance(message, entry_messages.RoutesAgeRequest):
            await self._send_routes_age(entry, message.exchange)
        elif isinstance(message, entry_messages.StreamOriginNotice):
            self._adopt_origin(message)
        elif isinstance(message, entry_messages.StreamOriginRequest):
            await self._send_origin(entry, message)
        elif isinstance(message, tuple(_ANSWERS.values())):
            taken = await self._end_exchange(entry, message, message)
            if not taken and isinstance(message, entry_messages.ItemsResult):
                await self._release_unwanted(entry, message)
        elif isinstance(message, entry_messages.ItemsCancelled):
            task = entry.serving.get(message.exchange)
            if task is not None:
                await task.cancel(blocking=False)
        elif isinstance(message, entry_messages.ResultsReleased):
            await self._server.release_results(message)

    def _adopt_demands(self, name: str, reported: Iterable[list]) -> None:
        self._demands.adopt_report(
            name,
            [
                demands.ReportedDemand(service, account, milliseconds / 1000)
                for service, account, milliseconds in reported
            ],
            self._clock.now(),
        )

    async def _release_unwanted(
        self, entry: Entry, answer: entry_messages.ItemsResult
    ) -> None:
        """Releases results that crossed the cancellation of their request.

        Those of another answer have been handed on, and may be in use.
        """
        if answer.exchange not in entry.cancelled:
            return
        entry.cancelled.remove(answer.exchange)
        names = [name for name in answer.results if name]
        if names:
            released = entry_messages.ResultsReleased(answer.endpoint, names)
            with contextlib.suppress(errors.PeerClosedError):
                await entry.link.send(released, 0)

    async def broadcast(self, message: Any) -> None:
        """Sends a message to all linked entries.

        An entry whose link ends meanwhile does not get it.
        """
        for entry in list(self.linked.values()):
            with contextlib.suppress(errors.PeerClosedError):
                await entry.link.send(message, 0)

    async def _send_routes_age(self, entry: Entry, exchange: int) -> None:
        known = self._get_routes_age(self._clock.now())
        answer = entry_messages.RoutesAge(
            exchange, entry_messages.NO_ROUTES, 0.0
        )
        if known is not None:
            answer = entry_messages.RoutesAge(
                exchange,
                known.version,
                known.age_seconds,
                entry_messages.encode_era(known.era),
            )
        with contextlib.suppress(errors.PeerClosedError):
            await entry.link.send(answer, 0)

    def is_registered(self, name: str) -> bool:
        """Returns whether the registration of another entry is known."""
        return name in self._registrations

    def _adopt_origin(self, notice: entry_messages.StreamOriginNotice) -> None:
        origin = stream_origins.StreamOrigin(notice.service, notice.version)
        until = self._clock.now() + notice.remaining_ms / 1000
        self._origins.record(notice.attempt, origin, until)

    async def _send_origin(
        self, entry: Entry, request: entry_messages.StreamOriginRequest
    ) -> None:
        known = self._origins.find(request.attempt, self._clock.now())
        answer = entry_messages.StreamOriginAnswer(
            request.exchange, False, "", ""
        )
        if known is not None:
            answer = entry_messages.StreamOriginAnswer(
                request.exchange, True, *known
            )
        with contextlib.suppress(errors.PeerClosedError):
            await entry.link.send(answer, 0)

    def list_linked(self) -> list[str]:
        """Returns the names of the entries with an open link."""
        return list(self.linked)

    async def tell_origin(
        self,
        name: str,
        attempt: str,
        origin: stream_origins.StreamOrigin,
        seconds: float,
    ) -> None:
        """Tells an entry where a stream began, to remember for a time."""
        entry = self.linked.get(name)
        if entry is None:
            return
        notice = entry_messages.StreamOriginNotice(
            attempt, *origin, max(int(seconds * 1000), 0)
        )
        # The table logs the end of a link; other holders know the stream.
        with contextlib.suppress(errors.PeerClosedError):
            await entry.link.send(notice, 0)

    async def ask_origin(
        self, name: str, attempt: str
    ) -> stream_origins.StreamOrigin | None:
        """Asks an entry where a stream began.

        Returns:
            None if the entry does not know it, or the link ends.
        """
        entry = self.linked.get(name)
        if entry is None:
            return None
        request = entry_messages.StreamOriginRequest(
            next(self._exchange_ids), attempt
        )
        answer = None
        with contextlib.suppress(errors.PeerClosedError):
            answer = await self._exchange(entry, request)
        if answer is None or not answer.known:
            return None
        return stream_origins.StreamOrigin(answer.service, answer.version)

    def is_linked(self, name: str) -> bool:
        """Returns whether there is a link to an entry."""
        return name in self.linked

    async def ask_routes_age(
        self, name: str
    ) -> routes_freshness.Confirmation | None:
        """Asks an entry how recent its routes are.

        Returns:
            None if the entry does not answer, or has no routes.
        """
        entry = self.linked.get(name)
        if entry is None:
            return None
        answer = None
        request = entry_messages.RoutesAgeRequest(next(self._exchange_ids))
        with contextlib.suppress(errors.PeerClosedError, curio.TaskTimeout):
            async with curio.timeout_after(ROUTES_AGE_SECONDS):
                answer = await self._exchange(entry, request)
        if answer is None or answer.version == entry_messages.NO_ROUTES:
            return None
        return routes_freshness.Confirmation(
            answer.version,
            answer.age_seconds,
            entry_messages.decode_era(answer.store_era),
        )

    async def _exchange(self, entry: Entry, request: Any) -> Any:
        """Sends a request on a link; returns None if the link ends."""
        call = _WaitingCall(_ANSWERS[type(request)], curio.Queue())
        entry.waiting[request.exchange] = call
        try:
            await entry.link.send(request, 0)
            return await call.queue.get()
        finally:
            del entry.waiting[request.exchange]

    async def _serve_items(
        self, entry: Entry, pieces: entry_messages.ItemsRequest
    ) -> None:
        try:
            results = await self._server.serve_items(pieces)
            endpoint = results[0].endpoint or pieces.endpoint
            answer = entry_messages.ItemsResult(
                pieces.exchange,
                endpoint,
                [outcome.result for outcome in results],
                [outcome.reason for outcome in results],
                self._server.describe_queue(endpoint, self._clock.now()),
            )
            with contextlib.suppress(errors.PeerClosedError):
                await entry.link.send(answer, 0)
        finally:
            entry.serving.pop(pieces.exchange, None)

    async def run_items(
        self,
        entry: Entry,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items of one stage of one request at another entry.

        If the link is lost, all items fail.
        """
        exchange = next(self._exchange_ids)
        now = self._clock.now()
        first = items[0]
        request = entry_messages.ItemsRequest(
            exchange,
            endpoint.name,
            first.attempt,
            first.stage,
            [item.index for item in items],
            first.key,
            list(first.inputs),
            first.result_bytes,
            int((first.due_at - now) * 1000),
            int((first.deadline_at - now) * 1000),
            first.rank,
            [list(transfer) for transfer in first.transfers],
        )
        failed = [proxies.ItemResult("", "error")] * len(items)
        entry.count_sent(
            endpoint.name, len(items), len(items) * first.result_bytes
        )
        try:
            answer = await self._exchange(entry, request)
        except errors.PeerClosedError:
            return failed
        except curio.CancelledError:
            entry.cancelled.append(exchange)
            await self._cancel_items(entry, exchange)
            raise
        if answer is None or len(answer.results) != len(items):
            return failed
        entry.adopt_queue(answer.endpoint, answer.queue)
        return [
            proxies.ItemResult(*outcome, answer.endpoint)
            for outcome in zip(answer.results, answer.reasons, strict=True)
        ]

    async def _cancel_items(self, entry: Entry, exchange: int) -> None:
        with contextlib.suppress(errors.PeerClosedError):
            await entry.link.send(entry_messages.ItemsCancelled(exchange), 0)

    async def release(
        self, entry: Entry, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Asks another entry to release results.

        Raises:
            errors.PeerClosedError: the link to the entry is closed.
        """
        released = entry_messages.ResultsReleased(endpoint.name, list(names))
        await entry.link.send(released, 0)
