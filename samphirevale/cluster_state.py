"""The copy of routes, endpoints and entries that a proxying entry holds."""

import math
from collections.abc import Collection, Mapping

from samphirevale import (
    catalogue,
    copy_guard,
    endpoint_notices,
    entry_messages,
    freshness,
    ownership,
    routes,
    stage_times,
    store_eras,
    stream_origins,
)
from samphirevale.availability import (
    cordons,
    eligibility,
    start_marks,
    warm_ups,
)
from samphirevale.origins import own_record as own_records
from samphirevale.ports import objects


class ClusterState:
    """The known routes, endpoints and entries, with the age of each copy.

    Attributes:
        table: the newest route table; None until the first one arrives.
        routes_age: the age of the routes and of the accounts' keys.
        routes_era: the era of the store in which they were last confirmed;
            None without one.
        newest_routes: the newest version that any entry is known to have;
            entry_messages.NO_ROUTES before the first.
        endpoints_age: the age of the catalogue.
        catalogue: the known endpoints.
        copy_guard: the endpoints that a copy of the store may not bring back.
        own_record: what this entry has written of where its streams began;
            None if they may begin without a record.
        notices: which endpoints leave or have asked for a pause.
        cordons: the data centres that get no new work.
        warm_ups: the endpoints that are cold.
        ended_starts: the listed starts of endpoints that are over.
        unnamed_starts: those of endpoints that have named none when asked.
        data_centre: the data centre of this entry.
        members: the entries that are alive, including this one.
        registered: the names of the entries that are registered, alive or not;
            None until they are known.
        shared_queueing: the shortest queueing time that the routes with a
            service leave, in seconds, by service.
    """

    def __init__(
        self,
        keys_seconds: float,
        me: ownership.Member,
        cordons_required: bool = False,
        cold_bound: warm_ups.ColdBound | None = None,
        regions: Mapping[str, str] = {},
        own_record: own_records.OwnRecord | None = None,
    ):
        """Initializes what an entry knows when it starts.

        Args:
            keys_seconds: the time within which a revoked key must be refused.
            me: this entry.
            cordons_required: whether no request may be accepted before the
                cordons are known.
            cold_bound: what a cold endpoint may get; None for no bound.
            regions: the region of each data centre.
            own_record: what this entry writes of where its streams began; None
                if they may begin without a record.
        """
        self.table: routes.RouteTable | None = None
        self.routes_age = freshness.Freshness(keys_seconds)
        self.routes_era: objects.StoreEra | None = None
        self.newest_routes = entry_messages.NO_ROUTES
        self.endpoints_age = freshness.Freshness(math.inf)
        self.catalogue = catalogue.Catalogue()
        self.copy_guard = copy_guard.CopyGuard()
        self.own_record = own_record
        self.cordons = cordons.Cordons(cordons_required)
        self.warm_ups = warm_ups.WarmUps(
            me.name, cold_bound, self._find_cold_limit, self._list_sharers
        )
        self.ended_starts = start_marks.StartMarks()
        self.unnamed_starts = start_marks.StartMarks()
        self.notices = endpoint_notices.EndpointNotices(me.name, self.warm_ups)
        self.registered: frozenset[str] | None = None
        self.members: tuple[ownership.Member, ...] = (me,)
        self.data_centre = me.data_centre
        self._me = me
        self._regions = regions
        self._owners: dict[str, str] | None = None
        self.shared_queueing: dict[str, float] = {}

    def adopt_table(self, table: routes.RouteTable) -> bool:
        """Adopts a table if it is newer; returns whether it was adopted."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.note_routes_version(table.version)
        self.invalidate_owners()
        self.shared_queueing = stage_times.compute_shared_queueing(table)
        return True

    def get_routes_version(self) -> int:
        """Returns the version of the routes, or NO_ROUTES of messages."""
        if self.table is None:
            return entry_messages.NO_ROUTES
        return self.table.version

    def note_routes_version(self, version: int) -> None:
        """Records that an entry has this version of the routes."""
        self.newest_routes = max(self.newest_routes, version)

    def has_newest_routes(self) -> bool:
        """Returns whether no entry is known to have a newer version."""
        return self.table is not None and (
            self.table.version >= self.newest_routes
        )

    def confirm_routes(
        self, started_at: float, era: objects.StoreEra | None
    ) -> None:
        """Records that a call confirmed the routes.

        It does not if another entry has a newer version, which the store may
        have lost.

        Args:
            started_at: when the call began.
            era: the era of the store.
        """
        if not self.has_newest_routes():
            return
        self.routes_age.confirm(started_at)
        self.routes_era = era

    def start_era(self, now: float) -> None:
        """Records that the store has returned from a copy of itself."""
        self.cordons.start_era(now)
        self.catalogue.start_grace_period(now)
        self.copy_guard.start_era(self.catalogue.list_all(), now)
        self.routes_age.start_grace_period(now + store_eras.REWRITE_SECONDS)

    def start_first_era(self, now: float) -> None:
        """Records that the store may just have returned from a copy."""
        self.routes_age.start_grace_period(now + store_eras.REWRITE_SECONDS)

    def settle_era(self) -> None:
        """Records that the store lacks nothing in its newest era.

        What it has answered so far confirms the routes after all, unless
        another entry has newer ones.
        """
        answered_at = self.routes_age.end_grace_period()
        if answered_at is not None:
            self.confirm_routes(answered_at, self.routes_era)

    def adopt_members(self, members: Collection[ownership.Member]) -> bool:
        """Adopts the other live entries; returns whether they changed."""
        found = {member.name: member for member in members}
        found[self._me.name] = self._me
        ordered = tuple(found[name] for name in sorted(found))
        if ordered == self.members:
            return False
        self.members = ordered
        self.invalidate_owners()
        return True

    def adopt_registered(self, names: Collection[str]) -> None:
        """Adopts the names of the entries that are registered."""
        registered = frozenset(names) | {self._me.name}
        if registered != self.registered:
            self.registered = registered
            self.warm_ups.invalidate_shares()

    def invalidate_owners(self) -> None:
        """Discards the assignment of owners; the next query recomputes it."""
        self._owners = None
        self.warm_ups.invalidate_shares()

    def _find_cold_limit(self, service: str) -> routes.ColdLimit | None:
        if self.table is None or service not in self.table.services:
            return None
        return self.table.services[service].cold

    def _list_sharers(self, endpoint: catalogue.Endpoint) -> Collection[str]:
        """Returns the entries that may call a cold endpoint."""
        if self.find_batch_limits(endpoint.service) is not None:
            return {self.find_owner(endpoint)}
        return self.registered or ()

    def find_data_centres(
        self, regions: frozenset[str] | None
    ) -> frozenset[str] | None:
        """Returns the data centres in some regions; None for all."""
        if regions is None:
            return None
        return frozenset(
            name for name, region in self._regions.items() if region in regions
        )

    def find_owner(self, endpoint: catalogue.Endpoint) -> str:
        """Returns the name of the entry that owns a batching endpoint."""
        if self._owners is None:
            self._owners = ownership.assign_owners(
                self._list_batching_endpoints(), self.members, self._regions
            )
        return self._owners.get(endpoint.name, self._me.name)

    def are_interchangeable(
        self, endpoint: catalogue.Endpoint, other: catalogue.Endpoint
    ) -> bool:
        """Returns whether items may move from one endpoint to the other.

        They may if this entry owns both, and they share service and region.
        """
        return (
            endpoint.service == other.service
            and self.are_in_one_region(endpoint, other)
            and self.find_owner(endpoint) == self._me.name
            and self.find_owner(other) == self._me.name
        )

    def are_in_one_region(
        self, endpoint: catalogue.Endpoint, other: catalogue.Endpoint
    ) -> bool:
        """Returns whether the data centres of two endpoints share a region."""
        place, other_place = endpoint.data_centre, other.data_centre
        return self._regions.get(place, place) == self._regions.get(
            other_place, other_place
        )

    def _list_batching_endpoints(self) -> list[catalogue.Endpoint]:
        if self.table is None:
            return []
        return [
            endpoint
            for service in self.table.services.values()
            if service.batch is not None
            for endpoint in self.catalogue.list_accepting(service.name)
        ]

    def is_registered(self, start: catalogue.EndpointStart) -> bool:
        """Returns whether this start of an endpoint is registered."""
        endpoint = self.catalogue.find(start.name)
        return endpoint is not None and endpoint.started == start.started

    def is_usable(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether new work may be sent to an endpoint now."""
        return self.catalogue.is_accepting(endpoint) and self.may_call(
            endpoint, now
        )

    def may_call(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether anything may be sent to an endpoint now."""
        return not self.cordons.is_cordoned(
            endpoint.data_centre, now
        ) and self.notices.is_available(endpoint, now)

    def keeps_results(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether an endpoint will go on storing its results."""
        return self.catalogue.is_accepting(
            endpoint
        ) and not self.notices.is_leaving(endpoint)

    def has_other_endpoint(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> bool:
        """Returns whether another endpoint of the service is usable now."""
        return any(
            other.name != endpoint.name
            for other in self.list_usable(endpoint.service, now)
        )

    def compute_call_delay(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> float | None:
        """Returns the time until a call other than new work may be sent.

        Returns:
            The time in seconds; None if the endpoint leaves.
        """
        if self.notices.is_leaving(endpoint) or self.cordons.is_cordoned(
            endpoint.data_centre, now
        ):
            return None
        return self.notices.compute_pause(endpoint, now)

    def list_usable(
        self,
        service: str,
        now: float,
        wanted: eligibility.Eligibility = eligibility.ANY,
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints of a service that new work may be sent to.

        Those that pause for other entries only are left out as long as there
        are others, as they are full. If the service is batched they are left
        out in any case, as the entry that owns them makes all calls.

        Args:
            service: the service.
            now: the present time.
            wanted: the conditions of the request.
        """
        available = self.list_available(service, now, wanted)
        not_full = self.notices.exclude_paused_elsewhere(available, now)
        if not_full or self.find_batch_limits(service) is not None:
            return not_full
        return available

    def list_available(
        self,
        service: str,
        now: float,
        wanted: eligibility.Eligibility = eligibility.ANY,
    ) -> list[catalogue.Endpoint]:
        """Returns all endpoints of a service that this entry may send to."""
        return self.notices.list_available(
            self._list_accepting(service, now, wanted), now
        )

    def _list_accepting(
        self, service: str, now: float, wanted: eligibility.Eligibility
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints of a service that are not cordoned."""
        accepting = self.catalogue.list_accepting(service)
        cordoned = self.cordons.list_cordoned(now)
        if wanted == eligibility.ANY and not cordoned:
            return accepting
        needs_listed = self.ended_starts and wanted.needs_listed()
        return [
            endpoint
            for endpoint in accepting
            if endpoint.data_centre not in cordoned
            and wanted.permits(endpoint)
            and (not wanted.recorded or self.is_recorded(endpoint))
            and not (
                needs_listed and self.ended_starts.is_marked(endpoint, now)
            )
        ]

    def permits(
        self,
        endpoint: catalogue.Endpoint,
        wanted: eligibility.Eligibility,
        now: float,
    ) -> bool:
        """Returns whether a listed endpoint is what a request wants now."""
        return wanted.permits(endpoint) and not (
            wanted.needs_listed() and self.ended_starts.is_marked(endpoint, now)
        )

    def list_origins(self) -> set[stream_origins.StreamOrigin]:
        """Returns where streams may run at the present endpoints."""
        return {
            stream_origins.StreamOrigin(endpoint.service, endpoint.version)
            for endpoint in self.catalogue.list_all()
        }

    def is_recorded(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether the store knows that streams may begin there."""
        return self.own_record is None or self.own_record.may_begin(
            stream_origins.StreamOrigin(endpoint.service, endpoint.version)
        )

    def list_cordoned_batching(self, now: float) -> list[catalogue.Endpoint]:
        """Returns the batching endpoints in cordoned data centres."""
        if not self.cordons.list_cordoned(now):
            return []
        return [
            endpoint
            for endpoint in self._list_batching_endpoints()
            if self.cordons.is_cordoned(endpoint.data_centre, now)
        ]

    def list_cordoned(
        self, service: str, now: float
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints of a service in cordoned data centres."""
        cordoned = self.cordons.list_cordoned(now)
        return [
            endpoint
            for endpoint in self.catalogue.list_service(service)
            if endpoint.data_centre in cordoned
        ]

    def compute_pause(
        self,
        service: str,
        now: float,
        wanted: eligibility.Eligibility = eligibility.ANY,
    ) -> float:
        """Returns when the first endpoint of a service ends its pause.

        Returns:
            The time in seconds from now; 0 if one is usable now, or if all
            leave.
        """
        pauses = self.list_pauses(service, now, wanted)
        return min((seconds for _, seconds in pauses), default=0.0)

    def list_pauses(
        self,
        service: str,
        now: float,
        wanted: eligibility.Eligibility = eligibility.ANY,
    ) -> list[tuple[catalogue.Endpoint, float]]:
        """Returns the endpoints of a service if all of them pause.

        Returns:
            Pairs of an endpoint and the rest of its pause in seconds; none if
            one is usable now, or if all leave.
        """
        if self.list_usable(service, now, wanted):
            return []
        return [
            (
                endpoint,
                max(
                    self.notices.compute_pause(endpoint, now),
                    self.notices.compute_pause_elsewhere(endpoint, now),
                ),
            )
            for endpoint in self._list_accepting(service, now, wanted)
            if not self.notices.is_leaving(endpoint)
        ]

    def compute_pauses(
        self,
        service: str,
        now: float,
        wanted: eligibility.Eligibility = eligibility.ANY,
    ) -> dict[str, float]:
        """Returns the pauses that endpoints of a service ask of this entry.

        Returns:
            The rest of each pause in seconds, by the endpoint's name.
        """
        pauses = {
            endpoint.name: self.notices.compute_pause(endpoint, now)
            for endpoint in self._list_accepting(service, now, wanted)
            if not self.notices.is_leaving(endpoint)
        }
        return {name: rest for name, rest in pauses.items() if rest > 0}

    def compute_capacity(self, service: str) -> float:
        """Returns the calls that all endpoints of a service run at once."""
        limits = self.find_batch_limits(service)
        concurrency = limits.concurrency if limits is not None else 0
        return concurrency * len(self.catalogue.list_accepting(service))

    def find_connections_limit(self, service: str) -> int:
        """Returns the connection limit of each endpoint; 0 for no limit."""
        if self.table is None or service not in self.table.services:
            return 0
        return self.table.services[service].connections_limit

    def find_batch_limits(self, service: str) -> routes.BatchLimits | None:
        """Returns the batch limits of a service, or None if it has none."""
        if self.table is None:
            return None
        return self.table.find_batch_limits(service)
