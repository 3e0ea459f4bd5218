"""Runs items of stages here or through the entry that owns the endpoint."""

from collections.abc import Sequence

from samphirevale import (
    batch_dispatch,
    batching,
    catalogue,
    cluster_state,
    entries,
    entry_messages,
    errors,
    linked_entry,
    routes,
    stage_times,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# Parameters of the moving average of the ratio of actual to estimated
# completion time: the weight of a new measurement, the initial value, and the
# bounds to which a measurement is clipped.
RATIO_WEIGHT = 0.05
INITIAL_RATIO = 1.2
RATIO_BOUNDS = (0.5, 4.0)


class RoutedItemRunner:
    """Implements item_runners.ItemRunner and entry_listeners.ItemServer.

    Attributes:
        table: the links to other entries; None until the table is created.
    """

    def __init__(
        self,
        dispatcher: batch_dispatch.BatchDispatcher,
        known: cluster_state.ClusterState,
        clock: clocks.Clock,
    ):
        self.table: entries.EntryTable | None = None
        self._dispatcher = dispatcher
        self._cluster = known
        self._clock = clock
        # The entry that ran the call for a result, by the result's name.
        self._result_owners: dict[str, str] = {}
        # Moving average of the ratio of actual to estimated time, by service.
        self._ratios: dict[str, float] = {}

    def _find_owner(
        self, endpoint: catalogue.Endpoint
    ) -> linked_entry.LinkedEntry | None:
        """Returns the linked entry that owns an endpoint, or None."""
        if self.table is None:
            return None
        return self.table.linked.get(self._cluster.find_owner(endpoint))

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items and returns their results in the same order."""
        owner = self._find_owner(endpoint)
        started_at = self._clock.now()
        expected = batching.estimate_seconds(
            self._get_state(endpoint, limits, started_at),
            limits,
            batching.NewItems(
                len(items), sum(item.result_bytes for item in items), False
            ),
        )
        in_time = items[0].due_at > started_at
        if owner is None:
            results = await self._run_owned(endpoint, limits, items)
        else:
            results = await self.table.run_items(owner, endpoint, items)
        if in_time:
            seconds = self._clock.now() - started_at
            self._update_ratio(endpoint.service, seconds / expected)
        if owner is None:
            return results
        for outcome in results:
            if outcome.result:
                self._result_owners[outcome.result] = owner.hello.instance
        return results

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Starts the release of results and returns without waiting for it."""
        names_by_owner: dict[str, list[str]] = {}
        for name in names:
            owner_name = self._result_owners.pop(name, "")
            names_by_owner.setdefault(owner_name, []).append(name)
        for owner_name, owned_names in names_by_owner.items():
            if not await self._release_through(
                owner_name, endpoint, owned_names
            ):
                await self._dispatcher.release(endpoint, owned_names)

    async def _release_through(
        self, owner_name: str, endpoint: catalogue.Endpoint, names: list[str]
    ) -> bool:
        """Releases results through an entry; returns whether it is linked."""
        if self.table is None or owner_name not in self.table.linked:
            return False
        owner = self.table.linked[owner_name]
        try:
            await self.table.release(owner, endpoint, names)
        except errors.PeerClosedError:
            # EntryTable logs the end of the link. This entry releases the
            # results itself.
            return False
        return True

    def estimate_seconds(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        work: batching.NewItems,
        now: float,
    ) -> float:
        """Returns the estimated completion time, in seconds from now."""
        state = self._get_state(endpoint, limits, now)
        seconds = batching.estimate_seconds(state, limits, work)
        return seconds * self._ratios.get(endpoint.service, INITIAL_RATIO)

    def _get_state(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        now: float,
    ) -> batching.QueueState:
        """Returns the state of a queue of this entry or of its owner."""
        owner = self._find_owner(endpoint)
        state = None
        if owner is not None:
            state = owner.estimate_state(endpoint.name)
        if state is None:
            state = self._dispatcher.build_state(endpoint, limits, now)
        return state

    def _update_ratio(self, service: str, ratio: float) -> None:
        """Adds a measurement to the moving average of a service's ratio."""
        low, high = RATIO_BOUNDS
        before = self._ratios.get(service, INITIAL_RATIO)
        measured = min(max(ratio, low), high)
        self._ratios[service] = before + RATIO_WEIGHT * (measured - before)

    def describe_queues(self, now: float) -> list[list]:
        """Returns the states of this entry's queues, for its report.

        Endpoints of other owners are left out, except for items that still
        wait here.
        """
        return [
            [name, *state]
            for name, state in self._dispatcher.build_states(now).items()
            if state.waiting or state.late or self._owns(name)
        ]

    def _owns(self, name: str) -> bool:
        endpoint = self._cluster.catalogue.find(name)
        return endpoint is not None and self._find_owner(endpoint) is None

    def describe_queue(self, endpoint: str, now: float) -> list:
        """Returns the fields of a queue's state; empty without a queue."""
        registered = self._cluster.catalogue.find(endpoint)
        state = None
        if registered is not None:
            state = self._dispatcher.find_state(registered, now)
        return [] if state is None else list(state)

    async def serve_items(
        self, pieces: entry_messages.ItemsRequest
    ) -> list[proxies.ItemResult]:
        """Runs items for another entry and returns their results in order."""
        endpoint = self._cluster.catalogue.find(pieces.endpoint)
        limits = None
        if endpoint is not None:
            limits = self._cluster.find_batch_limits(endpoint.service)
        unsent = [proxies.ItemResult("", batch_dispatch.UNSENT)] * len(
            pieces.indices
        )
        if limits is None:
            return unsent
        if pieces.result_bytes > limits.memory_bytes:
            # They would wait for memory in front of all others.
            return [proxies.ItemResult("", "error")] * len(pieces.indices)
        now = self._clock.now()
        items = [
            batching.Item(
                pieces.attempt,
                pieces.stage,
                index,
                pieces.key,
                tuple(pieces.inputs),
                pieces.result_bytes,
                now + pieces.due_ms / 1000,
                now + pieces.remaining_ms / 1000,
                pieces.rank,
                None,
                tuple((place, size) for place, size in pieces.transfers),
            )
            for index in pieces.indices
        ]
        return await self._run_owned(endpoint, limits, items)

    async def _run_owned(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items at the best endpoint with the same owner as this one."""
        now = self._clock.now()
        chosen = self._choose_owned(endpoint, limits, items, now)
        if chosen is None:
            unsent = proxies.ItemResult("", batch_dispatch.UNSENT)
            return [unsent] * len(items)
        return await self._dispatcher.run_items(chosen, limits, items)

    def _choose_owned(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
        now: float,
    ) -> catalogue.Endpoint | None:
        """Chooses among the endpoints with the same owner as this one.

        Another entry has chosen by reports, which may be old; this one knows
        the queues exactly. All these endpoints are in one region, so an item
        stays in the home regions of its request.

        Returns:
            None if no such endpoint is usable.
        """
        owner = self._cluster.find_owner(endpoint)
        candidates = [
            candidate
            for candidate in self._cluster.list_usable(endpoint.service, now)
            if self._cluster.find_owner(candidate) == owner
            and self._cluster.are_in_one_region(candidate, endpoint)
        ]
        work = batching.NewItems(
            len(items),
            sum(item.result_bytes for item in items),
            items[0].due_at <= now and not items[0].inputs,
        )
        return min(
            candidates,
            key=lambda candidate: (
                batching.estimate_seconds(
                    self._dispatcher.build_state(candidate, limits, now),
                    limits,
                    work,
                )
                + len(items)
                * stage_times.compute_transfer_cost(
                    candidate, items[0].transfers
                ),
                candidate.name != endpoint.name,
            ),
            default=None,
        )

    async def release_results(
        self, released: entry_messages.ResultsReleased
    ) -> None:
        """Releases results for another entry."""
        endpoint = self._cluster.catalogue.find(released.endpoint)
        if endpoint is not None:
            await self._dispatcher.release(endpoint, released.results)
