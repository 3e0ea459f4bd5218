"""Keeps the routes, endpoints and entries that an entry knows up to date."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from samphirevale import (
    catalogue,
    cluster_state,
    crashing_part_store,
    entries,
    freshness,
    gateway_settings,
    journal,
    registrations,
    routes,
    routes_freshness,
    settled_era,
    store_eras,
    watchers,
)
from samphirevale.availability import cold_log, cordon_watch
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects, platforms

# A watch whose copy is confirmed in other ways. It waits as long as a change
# should be kept in the store's history at least.
LONG_WATCH = watchers.WatchTimes(wait_seconds=10.0, backoff_seconds=2.0)

# The watch for other entries. It may be slow, as the reports of the entries
# show that they are alive.
ENTRIES_WATCH = LONG_WATCH._replace(pause_seconds=1.0, relist_seconds=1.0)

# The watch of the routes waits for this share of the time after which the copy
# may not be used any more. One call may then be lost.
ROUTES_WAIT_SHARE = 0.33

# The pause of the watch of the endpoints, as a share of the time after which
# an endpoint that leaves gets no more work.
ENDPOINTS_PAUSE_SHARE = 0.15

# The largest number of characters of a malformed object's name in the log.
NAME_LOGGED_LIMIT = 80


class ClusterWatch:
    """Watches the store and adopts what has changed.

    Attributes:
        eras: the eras of the store.
        settled_era: keeps in the store which of them is settled.
        cordon_watch: keeps the cordoned data centres up to date.
        routes_freshness: confirms the routes through other entries.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        adapters: platforms.PlatformAdapters,
        known: cluster_state.ClusterState,
        table: entries.EntryTable,
        on_routes_adopted: Callable[[routes.RouteTable], None],
        on_endpoint_ended: Callable[[catalogue.Endpoint], None],
        on_parts_stored: Callable[[Any], None],
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        """Initializes it; `run` of each watcher starts the watches.

        Args:
            settings: the settings of this entry.
            adapters: the store, and the decoders of stored objects.
            known: the state to keep up to date.
            table: the links to other entries.
            on_routes_adopted: called with each new route table.
            on_endpoint_ended: called with an endpoint that is gone or has
                started again.
            on_parts_stored: called with the stored parts of prompts that crash
                endpoints; None if there are none.
            clock: a clock that includes time while the machine is suspended.
            rng: the source of jitter.
            log: the log of changes.
        """
        self._settings = settings
        self._adapters = adapters
        self._cluster = known
        self._table = table
        self._on_routes_adopted = on_routes_adopted
        self._on_endpoint_ended = on_endpoint_ended
        self._clock = clock
        self._rng = rng
        self._journal = log
        self.eras = store_eras.StoreEras(
            known.start_era, log, known.start_first_era, known.settle_era
        )
        self.settled_era = settled_era.SettledEra(
            adapters.store, self.eras, clock, rng, log
        )
        # What adopts the objects that entries share, which lie among their
        # registrations, by name.
        self._adopt_shared = {
            crashing_part_store.NAME: on_parts_stored,
            settled_era.NAME: self.settled_era.adopt_object,
        }
        self.cordon_watch = cordon_watch.CordonWatch(known.cordons, clock, log)
        self._has_endpoints = False
        self._routes_watcher = self._build_routes_watcher()
        self.routes_freshness = routes_freshness.RoutesFreshness(
            settings.instance,
            known,
            table,
            self._routes_watcher.read_now,
            self.eras,
            clock,
            rng,
            log,
        )

    def adopt_members(self) -> None:
        """Adapts the watches to the entries that are alive."""
        self.routes_freshness.adopt_members(self._cluster.members)
        is_source = self.routes_freshness.is_source
        self._routes_watcher.times = compute_routes_watch(
            self._settings, is_source
        )
        if self.cordon_watch.watcher is not None:
            self.cordon_watch.watcher.times = cordon_watch.compute_watch(
                self._settings.contact_seconds, quiet=not is_source
            )

    async def adopt_report(
        self, entry: str, known: routes_freshness.StoreKnowledge
    ) -> None:
        """Adopts what another entry reports of the store."""
        relation = await self.eras.observe(known.era, entry, self._clock.now())
        self._cluster.note_routes_version(known.version)
        if relation is not store_eras.Relation.OLDER:
            self.cordon_watch.adopt_report(entry, known.cordoned)

    def build_watchers(self) -> list[watchers.Watcher]:
        """Builds the watchers of routes, endpoints and other entries."""
        endpoints_callbacks = watchers.WatchCallbacks(
            self._replace_endpoints,
            self._apply_endpoint_changes,
            self._cluster.endpoints_age.confirm,
            self._cluster.catalogue.start_grace_period,
        )
        entries_callbacks = watchers.WatchCallbacks(
            self._replace_entries,
            self._apply_entry_changes,
            _ignore_time,
            _ignore_time,
        )
        return [
            *self._build_cordon_watchers(),
            self._routes_watcher,
            self._build_watcher(
                self._adapters.endpoints_kind,
                endpoints_callbacks,
                compute_endpoints_watch(self._settings),
            ),
            self._build_watcher(
                registrations.KIND, entries_callbacks, ENTRIES_WATCH
            ),
        ]

    def _build_cordon_watchers(self) -> list[watchers.Watcher]:
        """Builds the watcher of the cordons, if the settings call for it."""
        if not self._settings.cordon_seconds:
            return []
        self.cordon_watch.watcher = self._build_watcher(
            self._adapters.cordons_kind,
            self.cordon_watch.build_callbacks(_ignore_time),
            cordon_watch.compute_watch(
                self._settings.contact_seconds, quiet=False
            ),
        )
        return [self.cordon_watch.watcher]

    def _build_routes_watcher(self) -> watchers.Watcher:
        callbacks = watchers.WatchCallbacks(
            self._adopt_stored_routes,
            self._adopt_stored_routes,
            self._confirm_routes,
            _ignore_time,
        )
        return self._build_watcher(
            self._adapters.routes_kind,
            callbacks,
            compute_routes_watch(self._settings, is_source=True),
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
            self.eras,
            self._clock,
            self._rng,
            self._journal,
            times,
        )

    def _confirm_routes(self, started_at: float) -> None:
        self._cluster.confirm_routes(started_at, self.eras.newest)

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
            OverflowError,
            TypeError,
            ValueError,
        ) as error:
            self._journal.record_failure(
                "routes_malformed", revision=stored.version, error=repr(error)
            )
            return
        if self._cluster.adopt_table(table):
            self._on_routes_adopted(table)
            self._journal.record_event(
                "routes_adopted",
                version=table.version,
                revision=stored.version,
                hosts=len(table.routes),
            )

    def _replace_endpoints(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        listed = list(stored)
        decoded = list(map(self._decode_endpoint, listed))
        found = [endpoint for endpoint in decoded if endpoint is not None]
        current = self._cluster.copy_guard.filter_listed(found, now)
        for stored_object, endpoint in zip(listed, decoded, strict=True):
            if endpoint is not None:
                self._record_cold(stored_object, endpoint, now)
        self._has_endpoints = True
        self._handle_endpoint_changes(
            self._cluster.catalogue.replace(current, now), now
        )

    def _decode_endpoint(
        self, stored: objects.StoredObject
    ) -> catalogue.Endpoint | None:
        """Returns the endpoint; logs a registration that names none."""
        endpoint = self._adapters.decode_endpoint(stored)
        if endpoint is None:
            self._journal.record_failure(
                "registration_malformed",
                name=stored.name[:NAME_LOGGED_LIMIT],
                revision=stored.version,
            )
        return endpoint

    def _apply_endpoint_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for stored_object in stored:
            self._cluster.copy_guard.record_write(stored_object.name)
            endpoint = None
            if stored_object.value is not None:
                endpoint = self._decode_endpoint(stored_object)
            if endpoint is None:
                changes = self._cluster.catalogue.remove(
                    stored_object.name, now
                )
            else:
                self._record_cold(stored_object, endpoint, now)
                changes = self._cluster.catalogue.put(endpoint)
            self._handle_endpoint_changes(changes, now)

    def _record_cold(
        self,
        stored: objects.StoredObject,
        endpoint: catalogue.Endpoint,
        now: float,
    ) -> None:
        """Records what a registration tells of an endpoint's cold time."""
        cold = self._cluster.warm_ups
        turns_cold = cold.record_registered(
            endpoint, not self._has_endpoints, now
        )
        stated = self._adapters.decode_cold_seconds(stored)
        turns_cold |= cold.record_cold(endpoint, stated, now)
        if turns_cold:
            cold_log.record_cold(
                self._journal,
                endpoint,
                cold.compute_rest(endpoint, now),
                "registration",
            )

    def _replace_entries(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        by_name = {item.name: item for item in stored}
        for name, adopt in self._adopt_shared.items():
            shared = by_name.pop(name, None)
            adopt(shared.value if shared else None)
        found = map(registrations.decode_registration, by_name.values())
        # A copy of the store may lack entries until they register again.
        self._table.adopt(
            [registration for registration in found if registration],
            whole=now >= self.eras.get_rewrite_end(),
        )
        self._cluster.adopt_registered(self._table.list_registered())

    def _apply_entry_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        for stored_object in stored:
            if stored_object.name in self._adopt_shared:
                self._adopt_shared[stored_object.name](stored_object.value)
                continue
            found = registrations.decode_registration(stored_object)
            if found is None:
                self._table.remove(stored_object.name)
            else:
                self._table.adopt([found], whole=False)
        self._cluster.adopt_registered(self._table.list_registered())

    def remove_expired(self, now: float) -> None:
        """Removes the endpoints and cordons whose grace period is over."""
        self.cordon_watch.log_changes()
        self._handle_endpoint_changes(
            self._cluster.catalogue.remove_expired(now), now
        )

    def release_held(self, now: float) -> None:
        """Adds the endpoints that are in use although a copy listed them."""
        for endpoint in self._cluster.copy_guard.release_held(now):
            self._handle_endpoint_changes(
                self._cluster.catalogue.put(endpoint), now
            )

    def _handle_endpoint_changes(
        self, changes: list[catalogue.Change], now: float
    ) -> None:
        for change in changes:
            before, after = change
            self._cluster.copy_guard.record_change(change, now)
            if after is None or (
                before is not None and before.started != after.started
            ):
                self._on_endpoint_ended(before)
            endpoint = after or before
            self._journal.record_event(
                "endpoint_changed",
                endpoint=endpoint.name,
                service=endpoint.service,
                address=f"{endpoint.host}:{endpoint.port}",
                data_centre=endpoint.data_centre,
                version=endpoint.version,
                accepting=after.accepting if after else None,
                started=endpoint.started,
                gone=after is None,
            )
        if changes:
            self._cluster.invalidate_owners()


def compute_routes_watch(
    settings: gateway_settings.GatewaySettings, is_source: bool
) -> watchers.WatchTimes:
    """Returns the times of the watch of the routes.

    A new version is read without a pause, as it must be in force soon. Entries
    that are no source learn from others that nothing has changed.
    """
    if not is_source:
        return LONG_WATCH
    usable_seconds = settings.keys_seconds - freshness.MARGIN_SECONDS
    return watchers.WatchTimes(
        min(
            usable_seconds * ROUTES_WAIT_SHARE,
            watchers.compute_wait(settings.contact_seconds),
        )
    )


def compute_endpoints_watch(
    settings: gateway_settings.GatewaySettings,
) -> watchers.WatchTimes:
    """Returns the times of the watch of the endpoints."""
    pause_seconds = settings.drain_seconds * ENDPOINTS_PAUSE_SHARE
    return watchers.WatchTimes(
        watchers.compute_wait(settings.contact_seconds, pause_seconds),
        pause_seconds=pause_seconds,
    )


def _ignore_time(now: float) -> None:
    """Ignores the time of a confirmation or recovery of a copy.

    Routes need no grace period, and entries show by their reports that they
    are alive.
    """
