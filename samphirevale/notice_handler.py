"""Applies what endpoints say about further calls, and tells other entries."""

from collections.abc import Awaitable, Callable, Iterable

from samphirevale import (
    catalogue,
    cluster_state,
    endpoint_limits,
    endpoint_notices,
    entry_messages,
    journal,
    log_limits,
    messages,
    metrics,
)
from samphirevale.availability import cold_log
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies


class NoticeHandler:
    """Adopts notices of endpoints, and tells and hears of other entries'.

    Implements proxies.EndpointListener and entry_listeners.NoticeListener.
    """

    def __init__(
        self,
        known: cluster_state.ClusterState,
        withdraw_items: Callable[[catalogue.Endpoint], Awaitable[None]],
        record_slowness: Callable[[catalogue.Endpoint, float], None],
        broadcast: Callable[[entry_messages.EndpointsLeaving], Awaitable[None]],
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        """Initializes a handler.

        Args:
            known: keeps the notices.
            withdraw_items: takes back the items queued for an endpoint.
            record_slowness: records how slow an endpoint says that it is.
            broadcast: sends a message to all linked entries.
            clock: a clock that includes time while the machine is suspended.
            log: the log of notices.
        """
        self._cluster = known
        self._withdraw_items = withdraw_items
        self._record_slowness = record_slowness
        self._broadcast = broadcast
        self._clock = clock
        self._journal = log
        self._log_limiter = log_limits.LogLimiter()

    def may_call(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether anything may be sent to an endpoint now."""
        return self._cluster.may_call(endpoint, self._clock.now())

    def record_call(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a call is sent to an endpoint now."""
        now = self._clock.now()
        self._cluster.notices.limits.record_call(
            catalogue.get_start(endpoint), now
        )
        self._cluster.warm_ups.record_call(endpoint, now)

    def handle_refused_connect(self, endpoint: catalogue.Endpoint) -> None:
        """Applies that no process listens at an endpoint's address."""
        now = self._clock.now()
        if self._cluster.warm_ups.record_refused(endpoint, now):
            self._record_cold(endpoint, "connect_refused")

    def handle_other_start(
        self, endpoint: catalogue.Endpoint, started: int | None
    ) -> None:
        """Applies that the known start of an endpoint is over."""
        start = catalogue.get_start(endpoint)
        if not self._cluster.is_registered(start):
            return
        now = self._clock.now()
        if self._cluster.ended_starts.record(start, now):
            self._journal.record_event(
                "endpoint_not_listed",
                endpoint=endpoint.name,
                service=endpoint.service,
                started=endpoint.started,
                named=started,
            )
        if started is not None and self._cluster.warm_ups.record_named(
            endpoint, started, now
        ):
            self._record_cold(endpoint, "report")

    def handle_unnamed_start(
        self, endpoint: catalogue.Endpoint, error: str
    ) -> None:
        """Applies that an endpoint has named no start when it was asked."""
        metrics.STARTS_UNNAMED.labels(service=endpoint.service).inc()
        start = catalogue.get_start(endpoint)
        if self._cluster.unnamed_starts.record(start, self._clock.now()):
            self._journal.record_failure(
                "start_unnamed",
                endpoint=endpoint.name,
                service=endpoint.service,
                started=endpoint.started,
                error=error,
            )

    def _record_cold(self, endpoint: catalogue.Endpoint, source: str) -> None:
        rest = self._cluster.warm_ups.compute_rest(endpoint, self._clock.now())
        cold_log.record_cold(self._journal, endpoint, rest, source)

    async def handle_notice(
        self, endpoint: catalogue.Endpoint, notice: proxies.EndpointNotice
    ) -> None:
        """Applies the notice of an answer as soon as its head is read."""
        for text in notice.malformed:
            self._record_malformed(endpoint, text.partition(":")[0], text)
        if not notice.limit_malformed:
            self._handle_limit(endpoint, notice.limit)
        if notice.pause_seconds > 0:
            await self._handle_pause(endpoint, notice.pause_seconds)
        if notice.slowness is not None:
            self._record_slowness(endpoint, notice.slowness)
        if self._cluster.warm_ups.record_cold(
            endpoint, notice.cold_seconds, self._clock.now()
        ):
            self._record_cold(endpoint, "answer")
        if notice.leaving:
            start = catalogue.get_start(endpoint)
            if await self._handle_leaving(start, ""):
                await self._broadcast(_build_message([start]))

    def _record_malformed(
        self, endpoint: catalogue.Endpoint, kind: str, text: str
    ) -> None:
        """Counts a malformed notice, and logs it once in a while.

        Args:
            endpoint: the endpoint that sent it.
            kind: what is malformed, the same in all notices of that kind.
            text: a description.
        """
        metrics.NOTICES_MALFORMED.labels(service=endpoint.service).inc()
        subject = (endpoint.name, kind)
        if not self._log_limiter.permits(subject, self._clock.now()):
            return
        self._journal.record_failure(
            "notice_malformed", endpoint=endpoint.name, text=text
        )

    async def _handle_pause(
        self, endpoint: catalogue.Endpoint, seconds: float
    ) -> None:
        limit = endpoint_notices.PAUSE_SECONDS_LIMIT
        if seconds > limit:
            text = f"a pause of {seconds} s"
            self._record_malformed(endpoint, "long pause", text)
            seconds = limit
        metrics.ENDPOINT_PAUSES.labels(service=endpoint.service).inc()
        begins = self._cluster.notices.record_pause(
            catalogue.get_start(endpoint), seconds, self._clock.now()
        )
        if begins:
            self._journal.record_event(
                "endpoint_paused",
                endpoint=endpoint.name,
                service=endpoint.service,
                seconds=seconds,
            )
            await self._withdraw_items(endpoint)

    def _handle_limit(
        self, endpoint: catalogue.Endpoint, limit: float | None
    ) -> None:
        if limit is not None:
            metrics.ENDPOINT_LIMITS.labels(service=endpoint.service).inc()
        start = catalogue.get_start(endpoint)
        limits = self._cluster.notices.limits
        if limits.record_answer(start, limit, self._clock.now()):
            self._journal.record_event(
                "endpoint_limited",
                endpoint=endpoint.name,
                service=endpoint.service,
                limit=limit,
            )

    async def _handle_leaving(
        self, start: catalogue.EndpointStart, source: str
    ) -> bool:
        """Records that an endpoint leaves; returns whether this is new.

        Args:
            start: the endpoint and its start.
            source: the entry that tells it; empty for the endpoint itself.
        """
        if not self._cluster.notices.record_leaving(start, self._clock.now()):
            return False
        endpoint = self._cluster.catalogue.find(start.name)
        service = endpoint.service if endpoint is not None else ""
        metrics.ENDPOINTS_LEAVING.labels(service=service).inc()
        self._journal.record_event(
            "endpoint_leaving",
            endpoint=start.name,
            service=service,
            started=start.started,
            source=source,
        )
        if endpoint is not None and catalogue.get_start(endpoint) == start:
            await self._withdraw_items(endpoint)
        return True

    def build_leaving(self) -> entry_messages.EndpointsLeaving:
        """Returns all endpoints that leave, for an entry that connects."""
        return _build_message(self._cluster.notices.list_leaving())

    async def adopt_leaving(
        self, entry: str, message: entry_messages.EndpointsLeaving
    ) -> None:
        """Adopts the endpoints that leave according to another entry."""
        for name, started in zip(message.names, message.starts, strict=False):
            start = catalogue.EndpointStart(name, started)
            await self._handle_leaving(start, entry)

    def describe_pauses(self, now: float) -> list[list]:
        """Returns the pauses asked of this entry, for its report."""
        return [
            [*start, messages.round_ms(seconds * 1000)]
            for start, seconds in self._cluster.notices.list_pauses(now)
        ]

    def adopt_pauses(self, pauses: Iterable[list]) -> None:
        """Adopts the pauses that another entry reports."""
        now = self._clock.now()
        for name, started, milliseconds in pauses:
            self._cluster.notices.record_pause_elsewhere(
                catalogue.EndpointStart(name, started),
                milliseconds / 1000,
                now,
            )

    def describe_limits(self, now: float) -> list[list]:
        """Returns the limits that this entry was told, for its report."""
        return [
            [
                *start,
                told.limit,
                messages.round_ms((now - told.at) * 1000),
            ]
            for start, told in self._cluster.notices.limits.list_told(now)
        ]

    def adopt_limits(self, entry: str, limits: Iterable[list]) -> None:
        """Adopts the limits that another entry reports."""
        now = self._clock.now()
        told = [
            (
                catalogue.EndpointStart(name, started),
                endpoint_limits.Told(limit, now - age_ms / 1000),
            )
            for name, started, limit, age_ms in limits
        ]
        self._cluster.notices.limits.adopt_report(entry, told, now)

    def remove_expired(self, now: float) -> None:
        """Removes notices that are over."""
        known = self._cluster
        known.notices.remove_expired(known.is_registered, now)
        for marks in (known.ended_starts, known.unnamed_starts):
            marks.remove_expired(known.is_registered, now)


def _build_message(
    starts: Iterable[catalogue.EndpointStart],
) -> entry_messages.EndpointsLeaving:
    starts = list(starts)
    return entry_messages.EndpointsLeaving(
        [start.name for start in starts], [start.started for start in starts]
    )
