"""Monitors an endpoint's health, load, cached prefixes and loaded batches."""

import collections
import contextlib
import time

import curio

from samphirevale import errors, logs, messages
from samphirevale.ports import endpoints

# Interval between health probes of a healthy endpoint, in seconds. Each probe
# opens a new connection; the load is read more often, on a kept connection.
PROBE_INTERVAL_SECONDS = 0.5

# Delay between a broken call and the probe that checks for a crash, in
# seconds. A dying process has stopped listening after this time.
CRASH_PROBE_SECONDS = 0.05

# Maximum number of cached prefixes reported to entries.
PREFIXES_LIMIT = 64

# The number of consecutive unanswered probes after which an endpoint counts as
# unreachable. An endpoint that works may be silent for about a second.
UNANSWERED_PROBES_LIMIT = 2


class CacheView:
    """The prompt prefixes that an engine has cached, built from its events.

    Attributes:
        last_event_number: the number of the last event applied; the first event
            has the number 1.
        gaps: how many gaps in the event numbers were found.
    """

    def __init__(self):
        self.last_event_number = 0
        self.gaps = 0
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def apply_events(self, events: list[endpoints.CacheEvent]) -> None:
        """Applies cache events in the order of their numbers.

        A gap clears the view, because the lost events may have been evictions
        of the prefixes cached before it.
        """
        for event in sorted(events, key=lambda event: event.number):
            if event.number <= self.last_event_number:
                continue
            if event.number != self.last_event_number + 1:
                self.gaps += 1
                self._prefixes.clear()
            self.last_event_number = event.number
            self._prefixes.pop(event.prefix, None)
            if event.cached:
                self._prefixes[event.prefix] = None
        while len(self._prefixes) > PREFIXES_LIMIT:
            self._prefixes.popitem(last=False)

    def list_prefixes(self) -> list[str]:
        """Returns the cached prefixes, shortened for heartbeats."""
        return [prefix[: messages.PREFIX_DIGITS] for prefix in self._prefixes]


class EndpointMonitor:
    """Probes one endpoint and reads its reports.

    Attributes:
        healthy: whether the last probe succeeded; False before the first.
        incarnation: the incarnation that the endpoint reports; empty if it
            reports none.
        batches: the batches that the engine has loaded.
        load: the last load report, or None.
        cache: the prefixes that the engine has cached.
    """

    def __init__(self, endpoint: endpoints.Endpoint, load_seconds: float):
        self._endpoint = endpoint
        self._load_seconds = load_seconds
        self._probed_at = float("-inf")
        self._unanswered_probes = 0
        self._load_read_at = float("-inf")
        self.healthy = False
        self.incarnation = ""
        self.batches: frozenset[str] = frozenset()
        self.load: endpoints.LoadReport | None = None
        self.cache = CacheView()

    async def run(self) -> None:
        """Probes the endpoint and reads its reports until cancelled."""
        while True:
            now = time.monotonic()
            if (
                not self.healthy
                or now - self._probed_at >= PROBE_INTERVAL_SECONDS
            ):
                await self.probe()
            if self.healthy:
                await self._read_reports()
            await curio.sleep(self._load_seconds)

    async def probe(self) -> bool:
        """Probes the endpoint now and returns whether it is healthy."""
        self._probed_at = time.monotonic()
        try:
            health = await self._endpoint.read_health()
        except errors.ConnectError as error:
            self.mark_unreachable(str(error))
            return False
        except errors.TransportError as error:
            self._unanswered_probes += 1
            if self._unanswered_probes >= UNANSWERED_PROBES_LIMIT:
                self.mark_unreachable(str(error))
            return self.healthy
        self._unanswered_probes = 0
        if health.incarnation != self.incarnation:
            self._reset_reports()
            self.incarnation = health.incarnation
        if health.healthy and self._endpoint.takes_orders:
            await self.read_state()
        if health.healthy != self.healthy:
            logs.log_event("endpoint_health", healthy=health.healthy)
        self.healthy = health.healthy
        return self.healthy

    async def learn_incarnation(self) -> str | None:
        """Returns the incarnation that open connections reach.

        That holds for a connection which is open before and after this: it
        would have ended with an earlier incarnation. The endpoint is asked only
        if the connection of the last probe has ended.

        Returns:
            The incarnation; None if the endpoint has not answered.
        """
        incarnation = self._endpoint.find_connected_incarnation()
        if incarnation is None:
            with contextlib.suppress(errors.TransportError):
                health = await self._endpoint.read_health()
                incarnation = health.incarnation
        return incarnation

    async def has_crashed(self, incarnation: str | None) -> bool:
        """Returns whether the endpoint crashed during a call.

        Args:
            incarnation: the endpoint's incarnation when the call was sent; None
                if it is not known, so that another one tells nothing.
        """
        await curio.sleep(CRASH_PROBE_SECONDS)
        try:
            health = await self._endpoint.read_health()
        except errors.ConnectError as error:
            self.mark_unreachable(str(error))
            return True
        except errors.TransportError:
            # The endpoint accepts connections but does not answer. It may
            # hang, which is not a crash.
            return False
        return incarnation is not None and health.incarnation != incarnation

    def mark_unreachable(self, detail: str) -> None:
        """Marks the endpoint as unreachable until a probe succeeds."""
        if self.healthy:
            logs.log_event("endpoint_unreachable", detail=detail)
        self.healthy = False
        self._reset_reports()

    async def read_state(self) -> endpoints.EndpointState | None:
        """Reads the loaded batches; returns None if the read fails."""
        try:
            state = await self._endpoint.read_state()
        except errors.TransportError:
            return None
        self.batches = state.batches
        return state

    def compute_load_age_ms(self, now: float) -> float:
        """Returns the age of the last load report in milliseconds.

        The age is 0 if there is no report.
        """
        if self.load is None:
            return 0.0
        return self.load.age_ms + 1000 * (now - self._load_read_at)

    async def _read_reports(self) -> None:
        try:
            report = await self._endpoint.read_load()
            events = await self._endpoint.read_cache_events(
                self.cache.last_event_number
            )
        except errors.TransportError:
            # A failed report does not make the endpoint unhealthy; only the
            # probe decides on that.
            return
        if report is not None:
            self.load = report
            self._load_read_at = time.monotonic()
        self.cache.apply_events(events)

    def _reset_reports(self) -> None:
        self.batches = frozenset()
        self.load = None
        self.cache = CacheView()
