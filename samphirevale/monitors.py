"""What a sidecar knows of its endpoint: reachable, load, cache, batches."""

import collections
import time

import curio

from samphirevale import errors, logs, messages
from samphirevale.ports import endpoints

# Interval between probes on a fresh connection while all is well, in
# seconds. The load is read more often, on a connection that is kept.
HEALTH_SECONDS = 0.5

# How long after a broken call the endpoint is probed, in seconds: a process
# that dies has stopped listening by then.
CRASH_PROBE_SECONDS = 0.05

# The most prefixes that are told to entries.
PREFIXES_LIMIT = 64

# A load report older than this is not used, in seconds.
REPORT_SECONDS_LIMIT = 5.0


class CacheView:
    """The prompt prefixes that an engine has cached, as its events tell.

    Attributes:
        last_number: the number of the last event seen; they count from 1.
        gaps: how often event numbers were missing.
    """

    def __init__(self):
        self.last_number = 0
        self.gaps = 0
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def take_events(self, events: list[endpoints.CacheEvent]) -> None:
        """Takes in events.

        After a gap nothing is known of what was cached before it: the lost
        events may have said that it was evicted.
        """
        for event in sorted(events, key=lambda event: event.number):
            if event.number <= self.last_number:
                continue
            if event.number != self.last_number + 1:
                self.gaps += 1
                self._prefixes.clear()
            self.last_number = event.number
            self._prefixes.pop(event.prefix, None)
            if event.cached:
                self._prefixes[event.prefix] = None
        while len(self._prefixes) > PREFIXES_LIMIT:
            self._prefixes.popitem(last=False)

    def list_prefixes(self) -> list[str]:
        """Returns the prefixes that are taken to be cached, for heartbeats."""
        return [prefix[: messages.PREFIX_DIGITS] for prefix in self._prefixes]


class EndpointMonitor:
    """Probes one endpoint and reads its reports.

    Attributes:
        healthy: the last probe succeeded; False until the first has.
        incarnation: as the endpoint told it; empty if it does not.
        batches: the batches that the engine has loaded.
        load: its last report, or None.
        cache: what it has cached.
    """

    def __init__(self, endpoint: endpoints.Endpoint, load_seconds: float):
        self._endpoint = endpoint
        self._load_seconds = load_seconds
        self._probed_at = float("-inf")
        self._load_at = float("-inf")
        self.healthy = False
        self.incarnation = ""
        self.batches: frozenset[str] = frozenset()
        self.load: endpoints.LoadReport | None = None
        self.cache = CacheView()

    async def run(self) -> None:
        """Probes and reads until cancelled."""
        while True:
            now = time.monotonic()
            if not self.healthy or now - self._probed_at >= HEALTH_SECONDS:
                await self.probe()
            if self.healthy:
                await self._read_reports()
            await curio.sleep(self._load_seconds)

    async def probe(self) -> bool:
        """Probes the endpoint now; returns whether it is well."""
        self._probed_at = time.monotonic()
        try:
            health = await self._endpoint.read_health()
        except errors.TransportError as error:
            self.note_unreachable(str(error))
            return False
        if health.incarnation != self.incarnation:
            self._forget()
            self.incarnation = health.incarnation
        if health.healthy and self._endpoint.takes_orders:
            await self.read_state()
        if health.healthy != self.healthy:
            logs.log_change("endpoint_health", healthy=health.healthy)
        self.healthy = health.healthy
        return self.healthy

    async def has_crashed(self, incarnation: str) -> bool:
        """Tells whether the endpoint died under a call.

        Args:
            incarnation: the endpoint's when the call was handed over.
        """
        await curio.sleep(CRASH_PROBE_SECONDS)
        try:
            health = await self._endpoint.read_health()
        except errors.ConnectError as error:
            self.note_unreachable(str(error))
            return True
        except errors.TransportError:
            # It accepts connections but does not answer: it may hang.
            return False
        return health.incarnation != incarnation

    def note_unreachable(self, detail: str) -> None:
        """Takes the endpoint for unreachable until a probe succeeds."""
        if self.healthy:
            logs.log_change("endpoint_unreachable", detail=detail)
        self.healthy = False
        self._forget()

    async def read_state(self) -> endpoints.EndpointState | None:
        """Reads which batches are loaded; returns None if it cannot."""
        try:
            state = await self._endpoint.read_state()
        except errors.TransportError:
            return None
        self.batches = state.batches
        return state

    def read_load_age_ms(self, now: float) -> float:
        """Returns the age of the endpoint's own report; 0 if it has none."""
        if self.load is None:
            return 0.0
        return self.load.age_ms + 1000 * (now - self._load_at)

    async def _read_reports(self) -> None:
        try:
            report = await self._endpoint.read_load()
            events = await self._endpoint.read_cache_events(
                self.cache.last_number
            )
        except errors.TransportError:
            # The reports are a hint; the probe decides on reachability.
            return
        if report is not None:
            self.load = report
            self._load_at = time.monotonic()
        self.cache.take_events(events)

    def _forget(self) -> None:
        self.batches = frozenset()
        self.load = None
        self.cache = CacheView()
