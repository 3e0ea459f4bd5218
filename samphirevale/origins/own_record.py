"""Decides what an entry must have written down before its streams begin."""

import math
from collections.abc import Collection, Mapping

from samphirevale import routes, stream_origins
from samphirevale.origins import records

# How long a version counts after its last endpoint, as a multiple of the
# longest timeout of a stream. Callers may wait longer than a route says.
RETENTION_TIMEOUTS = 2.0

# The largest number of streams in a record.
STREAMS_LIMIT = 10_000


class OwnRecord:
    """Where the streams of one entry may have begun.

    The load that this answers: releases, in which endpoints of several
    versions serve at once, while all entries are killed.

    Attributes:
        retention_seconds: how long a version counts after its last endpoint.
    """

    def __init__(self):
        self.retention_seconds = 0.0
        self._services: dict[str, frozenset[str]] = {}
        # Until when each origin counts; without end while it is in service.
        self._origins: dict[stream_origins.StreamOrigin, float] = {}
        self._moved: dict[tuple[str, str], float] = {}
        self._streams: dict[str, tuple[stream_origins.StreamOrigin, float]] = {}
        self._written = records.OriginRecord()

    def adopt_table(self, table: routes.RouteTable, now: float) -> None:
        """Adopts the services of the routes whose streams may be resumed."""
        services = {}
        for route in table.list_routes():
            if not (route.streamed and route.resumable):
                continue
            services[route.name] = frozenset(
                split.service for split in route.splits
            )
            self.retention_seconds = max(
                self.retention_seconds,
                RETENTION_TIMEOUTS * route.timeout_seconds,
            )
        for name, before in self._services.items():
            for service in before - services.get(name, before):
                self._moved[name, service] = now + self.retention_seconds
        self._services = services

    def adopt_former(self, record: records.OriginRecord, now: float) -> None:
        """Adopts what an earlier process of this entry has written."""
        until = now + self.retention_seconds
        for origin in record.origins:
            self._origins.setdefault(origin, until)
        for route, services in record.moved.items():
            for service in services:
                self._moved.setdefault((route, service), until)
        for attempt, origin in record.streams.items():
            self._streams.setdefault(attempt, (origin, until))

    def adopt_present(
        self, present: Collection[stream_origins.StreamOrigin], now: float
    ) -> None:
        """Adopts the services and versions of all present endpoints."""
        for origin, until in self._origins.items():
            if until == math.inf and origin not in present:
                self._origins[origin] = now + self.retention_seconds
        resumable = frozenset().union(*self._services.values())
        for origin in present:
            if origin.service in resumable:
                self._origins[origin] = math.inf

    def record_stream(
        self, attempt: str, origin: stream_origins.StreamOrigin, until: float
    ) -> None:
        """Records where a stream began, until its deadline."""
        self._streams.pop(attempt, None)
        if len(self._streams) >= STREAMS_LIMIT:
            del self._streams[next(iter(self._streams))]
        self._streams[attempt] = origin, until

    def expect_unknown(self, service: str, now: float) -> None:
        """Adopts that streams of a service may begin at no known version."""
        origin = stream_origins.StreamOrigin(
            service, stream_origins.UNKNOWN_VERSION
        )
        self._origins[origin] = now + self.retention_seconds

    def remove_expired(self, now: float) -> None:
        """Forgets what cannot concern a stream any more."""
        self._origins = _keep_lasting(self._origins, now)
        self._moved = _keep_lasting(self._moved, now)
        self._streams = {
            attempt: (origin, until)
            for attempt, (origin, until) in self._streams.items()
            if until > now
        }

    def build(self) -> records.OriginRecord:
        """Returns what should be in the store.

        Single streams are left out as long as their service has one version.
        """
        moved: dict[str, frozenset[str]] = {}
        for route, service in self._moved:
            moved[route] = moved.get(route, frozenset()) | {service}
        uncertain = self._find_uncertain(moved)
        return records.OriginRecord(
            frozenset(self._origins),
            moved,
            {
                attempt: origin
                for attempt, (origin, _) in self._streams.items()
                if origin.service in uncertain
            },
        )

    def _find_uncertain(self, moved: Mapping[str, frozenset[str]]) -> set[str]:
        """Returns the services of routes with several possible origins."""
        alternatives = set(self._services.values())
        alternatives |= {
            self._services.get(route, frozenset()) | services
            for route, services in moved.items()
        }
        uncertain = set()
        for services in alternatives:
            origins = [o for o in self._origins if o.service in services]
            if len(origins) > 1:
                uncertain |= services
        return uncertain

    def record_writing(self, record: records.OriginRecord) -> None:
        """Records that a record is being written.

        Until the store has answered, only what the former record has as well
        is sure to be there.
        """
        self._written = self._written._replace(
            origins=self._written.origins & record.origins, streams={}
        )

    def record_written(self, record: records.OriginRecord) -> None:
        """Records that the store has a record."""
        self._written = record

    def is_written(self) -> bool:
        """Returns whether the store has what it should have.

        Streams that are over wait for the next write.
        """
        wanted = self.build()
        return (
            wanted.origins == self._written.origins
            and wanted.moved == self._written.moved
            and wanted.streams.keys() <= self._written.streams.keys()
        )

    def may_begin(self, origin: stream_origins.StreamOrigin) -> bool:
        """Returns whether a stream may begin there, as the store knows it."""
        return origin in self._written.origins


def _keep_lasting(untils: dict, now: float) -> dict:
    """Returns the entries whose time is not over."""
    return {key: until for key, until in untils.items() if until > now}
