"""Acts on what other entries report and ask for."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from samphirevale import (
    entry_listeners,
    entry_messages,
    errors,
    linked_entry,
    load_totals,
    routes_freshness,
    stream_origins,
)
from samphirevale.availability import cordons
from samphirevale.fair_shares import demands
from samphirevale.ports import clock as clocks

# The handlers of messages from other entries, by type.
_HANDLERS: dict[type, Callable[..., Awaitable[None]]] = {}


def _handles(*message_types: type) -> Callable:
    """Registers a method of MessageHandler for messages of some types."""

    def register(method: Callable[..., Awaitable[None]]) -> Callable:
        _HANDLERS.update(dict.fromkeys(message_types, method))
        return method

    return register


class MessageHandler:
    """Acts on the messages of all linked entries.

    Attributes:
        loads: the load that all of them have placed.
    """

    def __init__(
        self,
        server: entry_listeners.ItemServer,
        notices: entry_listeners.NoticeListener,
        crashes: entry_listeners.CrashListener,
        on_crashes_reported: Callable[[list[list[str]]], None],
        on_store_reported: Callable[
            [str, routes_freshness.StoreKnowledge], Awaitable[None]
        ],
        get_routes_age: Callable[[float], routes_freshness.Confirmation | None],
        origins: stream_origins.StreamOrigins,
        service_demands: demands.ServiceDemands,
        clock: clocks.Clock,
    ):
        """Initializes a handler that has heard nothing.

        Args:
            server: runs items for other entries.
            notices: learns of endpoints that leave or pause.
            crashes: learns of requests that crash endpoints.
            on_crashes_reported: called with the crashes that an entry reports.
            on_store_reported: called with the name of an entry and what it
                reports of the store.
            get_routes_age: returns how recent the routes of this entry are;
                None if it has none.
            origins: the streams of which this entry knows where they began.
            service_demands: what accounts have asked of each service lately.
            clock: a clock that includes time while the machine is suspended.
        """
        self.loads = load_totals.LoadTotals()
        self._server = server
        self._notices = notices
        self._crashes = crashes
        self._on_crashes_reported = on_crashes_reported
        self._on_store_reported = on_store_reported
        self._get_routes_age = get_routes_age
        self._origins = origins
        self._demands = service_demands
        self._clock = clock

    async def greet(self, entry: linked_entry.LinkedEntry) -> None:
        """Tells an entry that connects what it may have missed.

        Raises:
            errors.PeerClosedError: the link has ended.
        """
        await entry.link.send(self._notices.build_leaving(), 0)
        await entry.link.send(self._crashes.build_evidence(), 0)

    def forget(self, entry: linked_entry.LinkedEntry, linked: bool) -> None:
        """Drops what an entry has reported.

        Args:
            entry: the entry with the link that has ended.
            linked: whether there is another link to the entry.
        """
        self.loads.replace(entry.loads, {})
        entry.loads = {}
        if not linked:
            self._demands.remove_entry(entry.name)

    async def refuse(
        self, entry: linked_entry.LinkedEntry, message: Any
    ) -> None:
        """Ends the exchange of a message that cannot be used."""
        if isinstance(message, linked_entry.ANSWER_TYPES):
            await entry.end_call(message, None)
        elif isinstance(message, entry_messages.ItemsRequest):
            await entry.send(
                entry_messages.ItemsResult(message.exchange, "", [], [], [])
            )

    async def handle(
        self, entry: linked_entry.LinkedEntry, message: Any
    ) -> None:
        """Acts on a checked message of another entry."""
        handle = _HANDLERS.get(type(message))
        if handle is not None:
            await handle(self, entry, message)

    @_handles(entry_messages.EntryReport)
    async def _adopt_report(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.EntryReport,
    ) -> None:
        before = entry.loads
        entry.adopt_report(message)
        self.loads.replace(before, entry.loads)
        self._on_crashes_reported(message.crashed)
        await self._on_store_reported(
            entry.name,
            routes_freshness.StoreKnowledge(
                entry_messages.decode_era(message.store_era),
                message.routes_version,
                cordons.CordonList(
                    message.cordons_version, frozenset(message.cordoned)
                ),
            ),
        )
        self._demands.adopt_report(
            entry.name,
            [
                demands.ReportedDemand(service, account, milliseconds / 1000)
                for service, account, milliseconds in message.demands
            ],
            self._clock.now(),
        )
        self._notices.adopt_pauses(message.pauses)
        self._notices.adopt_limits(entry.name, message.limits)

    @_handles(entry_messages.EndpointsLeaving)
    async def _adopt_leaving(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.EndpointsLeaving,
    ) -> None:
        await self._notices.adopt_leaving(entry.name, message)

    @_handles(entry_messages.CrashEvidence)
    async def _adopt_evidence(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.CrashEvidence,
    ) -> None:
        self._crashes.adopt_evidence(entry.name, message)

    @_handles(entry_messages.ItemsRequest)
    async def _begin_items(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.ItemsRequest,
    ) -> None:
        if message.exchange in entry.serving:
            raise errors.ProtocolError("the exchange is not over")
        entry.serving[message.exchange] = await curio.spawn(
            self._serve_items, entry, message, daemon=True
        )

    @_handles(entry_messages.ItemsCancelled)
    async def _end_items(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.ItemsCancelled,
    ) -> None:
        task = entry.serving.get(message.exchange)
        if task is not None:
            await task.cancel(blocking=False)

    @_handles(entry_messages.ResultsReleased)
    async def _release_results(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.ResultsReleased,
    ) -> None:
        await self._server.release_results(message)

    @_handles(*linked_entry.ANSWER_TYPES)
    async def _take_answer(
        self, entry: linked_entry.LinkedEntry, message: Any
    ) -> None:
        taken = await entry.end_call(message, message)
        if not taken and isinstance(message, entry_messages.ItemsResult):
            await entry.release_unwanted(message)

    @_handles(entry_messages.RoutesAgeRequest)
    async def _send_routes_age(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.RoutesAgeRequest,
    ) -> None:
        known = self._get_routes_age(self._clock.now())
        answer = entry_messages.RoutesAge(
            message.exchange, entry_messages.NO_ROUTES, 0.0
        )
        if known is not None:
            answer = entry_messages.RoutesAge(
                message.exchange,
                known.version,
                known.age_seconds,
                entry_messages.encode_era(known.era),
            )
        await entry.send(answer)

    @_handles(entry_messages.StreamOriginNotice)
    async def _adopt_origin(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.StreamOriginNotice,
    ) -> None:
        origin = stream_origins.StreamOrigin(message.service, message.version)
        until = self._clock.now() + message.remaining_ms / 1000
        self._origins.record(message.attempt, origin, until)

    @_handles(entry_messages.StreamOriginRequest)
    async def _send_origin(
        self,
        entry: linked_entry.LinkedEntry,
        message: entry_messages.StreamOriginRequest,
    ) -> None:
        known = self._origins.find(message.attempt, self._clock.now())
        answer = entry_messages.StreamOriginAnswer(
            message.exchange, False, "", ""
        )
        if known is not None:
            answer = entry_messages.StreamOriginAnswer(
                message.exchange, True, *known
            )
        await entry.send(answer)

    async def _serve_items(
        self,
        entry: linked_entry.LinkedEntry,
        pieces: entry_messages.ItemsRequest,
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
            await entry.send(answer)
        finally:
            entry.serving.pop(pieces.exchange, None)
