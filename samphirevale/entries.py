"""Maintains links to the other entries, with reports and handed-over items.

Entries register in the store under their names. Each registration has a token
that other entries must present when they connect. Of two entries, the one
whose name sorts first connects to the other. An entry that has been silent for
too long is considered dead until it reports again.
"""

import contextlib
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import curio

from samphirevale import (
    backoff,
    batching,
    catalogue,
    entry_handler,
    entry_messages,
    errors,
    journal,
    linked_entry,
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
        handler: entry_handler.MessageHandler,
        build_report: Callable[[float], entry_messages.EntryReport],
        on_members_changed: Callable[[Iterable[ownership.Member]], None],
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        """Initializes a table without links.

        Args:
            me: the registration of this entry.
            data_centre: the data centre of this entry.
            handler: acts on the messages of other entries.
            build_report: builds the report for the other entries.
            on_members_changed: called with the linked entries.
            clock: a clock that includes time while the machine is suspended.
            rng: the source of jitter.
            log: the log of links.
        """
        self.linked: dict[str, linked_entry.LinkedEntry] = {}
        self.loads = handler.loads
        self._me = me
        self._hello = messages.Hello(
            me.name, me.token, "entry", data_centre, "", ""
        )
        self._handler = handler
        self._reporter = reports.Reporter(build_report)
        self._on_members_changed = on_members_changed
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
        entry = linked_entry.LinkedEntry(link, hello)
        reporter = await curio.spawn(self._report, entry, daemon=True)
        try:
            await self._attach(entry)
            await self._read(entry)
        finally:
            await reporter.cancel()
            await self._detach(entry)

    async def _attach(self, entry: linked_entry.LinkedEntry) -> None:
        self.linked[entry.name] = entry
        self._journal.record_event("entry_up", entry=entry.name)
        self._notify_members()
        await self._handler.greet(entry)

    async def _detach(self, entry: linked_entry.LinkedEntry) -> None:
        replaced = self.linked.get(entry.name) is not entry
        self._handler.forget(entry, replaced)
        if not replaced:
            del self.linked[entry.name]
            self._journal.record_event("entry_down", entry=entry.name)
            self._notify_members()
        await entry.end_calls()

    def _notify_members(self) -> None:
        self._on_members_changed(
            ownership.Member(
                entry.name,
                entry.hello.data_centre,
                self._find_processor(entry.name),
            )
            for entry in self.linked.values()
        )

    def _find_processor(self, name: str) -> float:
        """Returns the processor time of an entry, in cores."""
        registration = self._registrations.get(name)
        return registration.processor if registration is not None else 1.0

    async def _report(self, entry: linked_entry.LinkedEntry) -> None:
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

    async def _read(self, entry: linked_entry.LinkedEntry) -> None:
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
                await self._handler.refuse(entry, frame.message)
            else:
                await self._handler.handle(entry, message)

    def _record_malformed(
        self, entry: linked_entry.LinkedEntry, message: Any
    ) -> None:
        """Logs once in a while that a message cannot be used whole."""
        kind = (entry.name, message.tag)
        if self._log_limiter.permits(kind, self._clock.now()):
            self._journal.record_failure(
                "message_malformed", entry=entry.name, message=message.tag
            )

    async def broadcast(self, message: Any) -> None:
        """Sends a message to all linked entries.

        An entry whose link ends meanwhile does not get it.
        """
        for entry in list(self.linked.values()):
            await entry.send(message)

    def is_registered(self, name: str) -> bool:
        """Returns whether the registration of another entry is known."""
        return name in self._registrations

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
        # If the link has ended, other holders know the stream.
        await entry.send(notice)

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
            answer = await entry.call(request)
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
                answer = await entry.call(request)
        if answer is None or answer.version == entry_messages.NO_ROUTES:
            return None
        return routes_freshness.Confirmation(
            answer.version,
            answer.age_seconds,
            entry_messages.decode_era(answer.store_era),
        )

    async def run_items(
        self,
        entry: linked_entry.LinkedEntry,
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
            answer = await entry.call(request)
        except errors.PeerClosedError:
            return failed
        except curio.CancelledError:
            await entry.cancel_items(exchange)
            raise
        if answer is None or len(answer.results) != len(items):
            return failed
        entry.adopt_queue(answer.endpoint, answer.queue)
        return [
            proxies.ItemResult(*outcome, answer.endpoint)
            for outcome in zip(answer.results, answer.reasons, strict=True)
        ]

    async def release(
        self,
        entry: linked_entry.LinkedEntry,
        endpoint: catalogue.Endpoint,
        names: Sequence[str],
    ) -> None:
        """Asks another entry to release results.

        Raises:
            errors.PeerClosedError: the link to the entry is closed.
        """
        released = entry_messages.ResultsReleased(endpoint.name, list(names))
        await entry.link.send(released, 0)
