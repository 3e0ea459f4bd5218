"""Runs the batched stages that precede a request to the back end."""

import contextlib
import math
import random
from collections.abc import AsyncIterator, Callable, Collection, Sequence
from typing import NamedTuple, Protocol

import curio

from samphirevale import (
    batch_dispatch,
    batching,
    catalogue,
    cluster_state,
    errors,
    proxy_requests,
    routes,
    stage_admission,
    stage_times,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The largest number of retries of the items of a stage.
RETRIES_LIMIT = 2

# Cost of transfers between data centres when an endpoint is chosen, in seconds
# per megabyte.
REMOTE_SECONDS_PER_MB = 0.06

# The failure reason of items for which there is no endpoint.
NO_ENDPOINT = "no endpoint"

# The failure reason of items whose inputs are no longer stored.
INPUTS_GONE = "gone"

# The failure reasons of items that no endpoint has had.
NOT_SENT_REASONS = (
    batch_dispatch.OVERDUE,
    batch_dispatch.UNREACHABLE,
    batch_dispatch.UNSENT,
)

# Entries that decide on the same reports would all choose the same endpoint.
# To prevent this, each entry above FEW_ENTRIES adds JITTER_SHARE of a call's
# fixed time to the range of the random jitter on the endpoints' costs, up to
# JITTER_CALLS calls.
FEW_ENTRIES = 4
JITTER_SHARE = 0.1
JITTER_CALLS = 1.0

# The cost of an endpoint in another data centre than that of the entry, in
# seconds. Entries of different data centres then prefer different endpoints.
REMOTE_SECONDS = 0.05

# The later stages of a late request are due within this share of the time for
# which results are stored. They then follow the items of requests on time, but
# do not hold memory for long.
LATE_HELD_SHARE = 0.25

# The share of an endpoint's memory that one chunk of a request's items may
# occupy.
MEMORY_SHARE = 0.6


class ItemRunner(Protocol):
    """Runs items at an endpoint, directly or through the entry that owns it."""

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items and returns their results in the same order."""

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Starts the release of results and returns without waiting for it."""

    def estimate_seconds(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        work: batching.NewItems,
        now: float,
    ) -> float:
        """Returns the estimated completion time, in seconds from now."""


class StageConstraints(NamedTuple):
    """Scheduling parameters that all stages of one request share.

    Attributes:
        due_at: the time by which the results must be available if the request
            is to meet its target.
        deadline_at: the time by which the results must be available if the
            request is to meet its deadline.
        rank: the request's priority; 0 is the most urgent.
        data_centre: where the results will be used; empty for anywhere.
        late: whether the request is queued behind those that can still meet
            their target.
    """

    due_at: float
    deadline_at: float
    rank: int
    data_centre: str
    late: bool = False


def choose_endpoint(
    runner: ItemRunner,
    known: cluster_state.ClusterState,
    stage: routes.Stage,
    items: int,
    transfers: Sequence[tuple[str, int]],
    late: bool,
    now: float,
    rng: random.Random | None = None,
    excluded: Collection[str] = (),
) -> tuple[catalogue.Endpoint, float] | None:
    """Chooses the endpoint with the lowest cost.

    The cost is the estimated completion time plus the cost of transfers
    between data centres.

    Args:
        runner: estimates completion times at the endpoints.
        known: provides the endpoints and their limits.
        stage: the stage to run.
        items: the number of items to run.
        transfers: pairs of a data centre and the number of bytes that are
            fetched from there or sent there.
        late: whether the items are queued behind those that can still meet
            their target.
        now: the present time.
        rng: adds jitter, so that several entries do not all choose the same
            endpoint; None for no jitter.
        excluded: names of endpoints that are not chosen.

    Returns:
        The endpoint and its estimated completion time in seconds from now;
        None if no endpoint accepts work.
    """
    limits = known.find_batch_limits(stage.service)
    if limits is None:
        return None
    work = batching.NewItems(items, items * stage.result_bytes, late)
    jitter_range = 0.0
    if rng is not None:
        jitter_range = compute_jitter_range(limits, len(known.members))
    best = None
    best_cost = 0.0
    for endpoint in known.list_usable(stage.service, now):
        if endpoint.name in excluded:
            continue
        seconds = runner.estimate_seconds(endpoint, limits, work, now)
        remote_bytes = sum(
            moved_bytes
            for data_centre, moved_bytes in transfers
            if data_centre != endpoint.data_centre
        )
        cost = seconds + remote_bytes / 1e6 * REMOTE_SECONDS_PER_MB
        if endpoint.data_centre != known.data_centre:
            cost += REMOTE_SECONDS
        if jitter_range:
            cost += rng.uniform(0, jitter_range)
        if best is None or cost < best_cost:
            best, best_cost = (endpoint, seconds), cost
    return best


def compute_jitter_range(limits: routes.BatchLimits, entries: int) -> float:
    """Returns the range of the jitter on endpoint costs, in seconds."""
    excess = max(entries - FEW_ENTRIES, 0)
    return min(excess * JITTER_SHARE, JITTER_CALLS) * limits.call_seconds


def has_endpoints(
    known: cluster_state.ClusterState,
    route: routes.Route,
    counts: Sequence[int],
    now: float,
) -> bool:
    """Returns whether each stage with items has an endpoint."""
    return all(
        known.find_batch_limits(stage.service) is not None
        and known.list_usable(stage.service, now)
        for index, stage in enumerate(route.stages)
        if stage_times.get_item_count(counts, index)
    )


def estimate_stages(
    runner: ItemRunner,
    known: cluster_state.ClusterState,
    route: routes.Route,
    counts: Sequence[int],
    late: bool,
    now: float,
) -> stage_admission.StagesEstimate:
    """Returns the estimated completion time of all stages and their queues.

    The time is relative to now, and infinite if a stage has no endpoint. A late
    request is queued behind others only in its first stages. Later stages are
    not delayed, as the results that they take occupy memory.
    """
    ends: list[float] = []
    waits: list[stage_admission.StageWait] = []
    for index, stage in enumerate(route.stages):
        start = max((ends[i] for i in stage.after), default=0.0)
        count = stage_times.get_item_count(counts, index)
        if not count:
            ends.append(start)
            continue
        chosen = choose_endpoint(
            runner, known, stage, count, (), late and not stage.after, now
        )
        if chosen is None:
            return stage_admission.StagesEstimate(math.inf, ())
        ends.append(start + chosen[1])
        limits = known.find_batch_limits(stage.service)
        call_seconds = stage_times.estimate_call_seconds(limits, count)
        waits.append(
            stage_admission.StageWait(
                stage.service, chosen[1] - call_seconds, bool(stage.after)
            )
        )
    return stage_admission.StagesEstimate(max(ends, default=0.0), tuple(waits))


def split_items(
    items: list[batching.Item], limits: routes.BatchLimits
) -> list[list[batching.Item]]:
    """Splits items into chunks that fit into a call and the memory share."""
    size = max(items[0].result_bytes, 1)
    fitting = int(limits.memory_bytes * MEMORY_SHARE) // size
    length = max(min(limits.items, fitting), 1)
    count = -(-len(items) // length)
    return [items[start::count] for start in range(count)]


class StageSequenceRun:
    """Runs the stages of one request and holds their results."""

    def __init__(
        self,
        runner: ItemRunner,
        known: cluster_state.ClusterState,
        clock: clocks.Clock,
        request: proxy_requests.ProxiedRequest,
        route: routes.Route,
        constraints: StageConstraints,
        take_retry: Callable[[str], bool],
        rng: random.Random,
    ):
        """Prepares a run.

        Args:
            runner: runs the items at endpoints.
            known: provides the endpoints and their limits.
            clock: the source of the present time.
            request: specifies the number of items of each stage.
            route: specifies the stages.
            constraints: the scheduling parameters of the request.
            take_retry: takes a retry from the budget of the named service;
                returns whether one was left.
            rng: the source of jitter for the choice of endpoints.
        """
        self._runner = runner
        self._cluster = known
        self._clock = clock
        self._request = request
        self._route = route
        self._constraints = constraints
        self._take_retry = take_retry
        self._rng = rng
        # The results of each stage by the index of the item.
        self._results: dict[int, dict[int, batch_dispatch.StageResult]] = {}
        self._released = False
        # The indices of each stage's items that endpoints have had.
        self._sent: list[set[int]] = [set() for _ in route.stages]
        # Held while items of a stage run again whose results were lost.
        self._repeat_locks = [curio.Lock() for _ in route.stages]
        # Endpoints whose owners could not send them anything. This entry may
        # learn the reason only with the next report.
        self._refusing: set[str] = set()

    async def run(self) -> list[batch_dispatch.StageResult]:
        """Runs all stages and returns the results that the request needs.

        Raises:
            errors.EarlierStageError: an item could not be done.
        """
        levels = self._group_by_level()
        for stage_indices in levels:
            await self._run_level(stage_indices)
        return self.list_final_results()

    def _group_by_level(self) -> list[list[int]]:
        """Returns the stages in levels that run one after the other.

        Each stage is in the last level that its dependents allow, so that its
        results occupy memory for the shortest time. Stages without items are
        left out.
        """
        levels_after = [0] * len(self._route.stages)
        for index in reversed(range(len(levels_after))):
            for i in self._route.stages[index].after:
                levels_after[i] = max(levels_after[i], levels_after[index] + 1)
        return [
            [
                index
                for index, value in enumerate(levels_after)
                if value == level
                and stage_times.get_item_count(self._request.item_counts, index)
            ]
            for level in range(max(levels_after, default=-1), -1, -1)
        ]

    async def _run_level(self, stage_indices: list[int]) -> None:
        if len(stage_indices) == 1:
            await self._run_stage(stage_indices[0])
        elif stage_indices:
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(self._run_stage_caught, index)
                    for index in stage_indices
                ]
            _raise_unexpected(tasks)
            for task in tasks:
                if task.result is not None:
                    raise task.result
        await self._release_consumed()

    async def _run_stage_caught(
        self, index: int
    ) -> errors.EarlierStageError | None:
        """Runs a stage concurrently with others and returns its error."""
        try:
            await self._run_stage(index)
        except errors.EarlierStageError as error:
            return error
        return None

    async def _run_stage(self, index: int) -> None:
        """Runs the items of a stage that have no result.

        Items that fail are retried, and inputs that were lost run again.
        """
        self._results.setdefault(index, {})
        stage = self._route.stages[index]
        reason = ""
        attempts = 0
        while attempts <= RETRIES_LIMIT:
            await self._complete_inputs(stage)
            if self._released:
                raise errors.EarlierStageError("the results were released")
            items = self._build_missing_items(index)
            reason = await self._run_items_once(index, items)
            if not self._list_missing(index):
                return
            if reason == batch_dispatch.OVERDUE:
                # The penalty of that endpoint favours others, if any are left.
                continue
            attempts += 1
            if reason in ("late", NO_ENDPOINT):
                break
            if reason == INPUTS_GONE:
                if not stage.after:
                    break
                await self._drop_lost_inputs(stage, items[0].inputs)
            self._take_stage_retry(index)
        raise errors.EarlierStageError(f"stage {index}: {reason}")

    def _take_stage_retry(self, index: int) -> None:
        """Takes a retry for each call that the missing items of a stage need.

        A call whose items no endpoint has had yet is no repeated one.

        Raises:
            errors.EarlierStageError: too few are left.
        """
        service = self._route.stages[index].service
        limits = self._cluster.find_batch_limits(service)
        if limits is None:
            raise errors.EarlierStageError(f"stage {index}: no such service")
        for chunk in split_items(self._build_missing_items(index), limits):
            repeated = any(item.index in self._sent[index] for item in chunk)
            if repeated and not self._take_retry(service):
                raise errors.EarlierStageError("no repeats are left")

    async def _complete_inputs(self, stage: routes.Stage) -> None:
        """Runs the items of the preceding stages whose results were lost."""
        while not self._released and (
            incomplete := [i for i in stage.after if self._list_missing(i)]
        ):
            async with self._repeat_locks[incomplete[0]]:
                if self._list_missing(incomplete[0]):
                    await self._repeat_stage(incomplete[0])

    async def _repeat_stage(self, index: int) -> None:
        """Runs the items of a stage again whose results were lost.

        Raises:
            errors.EarlierStageError: there is no time for it, among others.
        """
        stage = self._route.stages[index]
        items = self._build_missing_items(index)
        limits = self._cluster.find_batch_limits(stage.service)
        if limits is not None:
            seconds = stage_times.estimate_call_seconds(limits, len(items))
            if self._clock.now() + seconds > items[0].deadline_at:
                raise errors.EarlierStageError(f"stage {index}: results lost")
        self._take_stage_retry(index)
        await self._run_stage(index)

    async def _drop_lost_inputs(
        self, stage: routes.Stage, used: Collection[str]
    ) -> None:
        """Drops the inputs of a stage that are no longer stored.

        These are the ones at endpoints that leave or are not registered any
        more. Without any such endpoint it is unknown which inputs are lost.

        Args:
            stage: the stage whose items lacked an input.
            used: the names of the inputs of these items.
        """
        held = [
            stage_result
            for i in stage.after
            for stage_result in self._list_results(i)
        ]
        lost = [
            stage_result
            for stage_result in held
            if not self._cluster.keeps_results(stage_result.endpoint)
        ]
        if not lost and {stage_result.name for stage_result in held} >= {*used}:
            lost = held
        for i in stage.after:
            results = self._results.get(i, {})
            for key in [key for key in results if results[key] in lost]:
                del results[key]
        await self._release(lost)

    async def _run_items_once(
        self,
        index: int,
        items: list[batching.Item],
    ) -> str:
        """Runs items once, without retries.

        Items that do not fit into one call go to several endpoints
        concurrently.

        Returns:
            The reason of a failure; empty if all items are done.
        """
        limits = self._cluster.find_batch_limits(
            self._route.stages[index].service
        )
        if limits is None:
            raise errors.EarlierStageError(f"stage {index}: no such service")
        chunks = split_items(items, limits)
        if len(chunks) == 1:
            return await self._run_chunk(index, limits, items)
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._run_chunk, index, limits, chunk)
                for chunk in chunks
            ]
        _raise_unexpected(tasks)
        return _choose_reason([task.result for task in tasks])

    async def _run_chunk(
        self,
        index: int,
        limits: routes.BatchLimits,
        items: list[batching.Item],
    ) -> str:
        """Runs items at one endpoint.

        Returns:
            The reason of a failure; empty if all items are done.
        """
        chosen = choose_endpoint(
            self._runner,
            self._cluster,
            self._route.stages[index],
            len(items),
            self._list_transfers(index, len(items)),
            self._constraints.late and not items[0].inputs,
            self._clock.now(),
            self._rng,
            self._refusing,
        )
        if chosen is None:
            return NO_ENDPOINT
        endpoint = chosen[0]
        outcomes = await self._runner.run_items(endpoint, limits, items)
        for item, result in zip(items, outcomes, strict=True):
            if result.reason not in NOT_SENT_REASONS:
                self._sent[index].add(item.index)
            if not result.result:
                if result.reason == batch_dispatch.UNSENT:
                    self._refusing.add(result.endpoint or endpoint.name)
                continue
            stored_at = self._cluster.catalogue.find(result.endpoint)
            results = self._results.setdefault(index, {})
            results[item.index] = batch_dispatch.StageResult(
                result.result, stored_at or endpoint, item.result_bytes
            )
        return _choose_reason([result.reason for result in outcomes])

    def _list_transfers(self, index: int, items: int) -> list[tuple[str, int]]:
        """Returns the data centres and byte counts of the items' transfers.

        Each item fetches all results of the preceding stages separately.
        """
        stage = self._route.stages[index]
        transfers = [
            (stage_result.endpoint.data_centre, stage_result.size * items)
            for i in stage.after
            for stage_result in self._list_results(i)
        ]
        if self._constraints.data_centre and not self._list_dependents(index):
            final_transfer = (
                self._constraints.data_centre,
                stage.result_bytes * items,
            )
            transfers.append(final_transfer)
        return transfers

    def _list_dependents(self, index: int) -> list[int]:
        """Returns the stages that depend on a stage."""
        return [
            i
            for i, stage in enumerate(self._route.stages)
            if index in stage.after
        ]

    def _list_results(self, index: int) -> list[batch_dispatch.StageResult]:
        """Returns the results of a stage in the order of its items."""
        results = self._results.get(index, {})
        return [results[key] for key in sorted(results)]

    def _list_missing(self, index: int) -> list[int]:
        """Returns the items of a stage that have no result."""
        count = stage_times.get_item_count(self._request.item_counts, index)
        results = self._results.get(index, {})
        return [key for key in range(count) if key not in results]

    def _build_missing_items(self, index: int) -> list[batching.Item]:
        """Returns the items of a stage that have no result."""
        stage = self._route.stages[index]
        seconds_after = self._estimate_after(index)
        due_at = self._constraints.due_at - seconds_after
        limits = self._cluster.find_batch_limits(stage.service)
        if self._constraints.late and stage.after and limits is not None:
            held_seconds = limits.result_seconds * LATE_HELD_SHARE
            due_at = self._clock.now() + held_seconds
        inputs = tuple(
            stage_result.name
            for i in stage.after
            for stage_result in self._list_results(i)
        )
        return [
            batching.Item(
                attempt=self._request.attempt,
                stage=index,
                index=item_index,
                key="" if inputs else self._request.item_key,
                inputs=inputs,
                result_bytes=stage.result_bytes,
                due_at=due_at,
                deadline_at=self._constraints.deadline_at - seconds_after,
                rank=self._constraints.rank,
                ticket=None,
            )
            for item_index in self._list_missing(index)
        ]

    def _estimate_after(self, index: int) -> float:
        """Returns the duration of all later stages at idle endpoints."""
        longest = 0.0
        for later, stage in enumerate(self._route.stages):
            count = stage_times.get_item_count(self._request.item_counts, later)
            limits = self._cluster.find_batch_limits(stage.service)
            if index not in stage.after or limits is None:
                continue
            seconds = stage_times.estimate_call_seconds(limits, count)
            longest = max(longest, seconds + self._estimate_after(later))
        return longest

    def get_data_centre(self) -> str:
        """Returns the data centre where the results will be used."""
        return self._constraints.data_centre

    def list_final_results(self) -> list[batch_dispatch.StageResult]:
        """Returns the results that are not inputs of another stage."""
        consumed = {i for stage in self._route.stages for i in stage.after}
        return [
            stage_result
            for index in sorted(self._results)
            if index not in consumed
            for stage_result in self._list_results(index)
        ]

    async def _release_consumed(self) -> None:
        """Releases results whose dependent stages are all done."""
        for index in list(self._results):
            dependents = self._list_dependents(index)
            if dependents and all(i in self._results for i in dependents):
                results = self._list_results(index)
                self._results[index] = {}
                await self._release(results)

    async def release_all(self) -> None:
        """Releases every result that is still held, and ends the run."""
        self._released = True
        for index in list(self._results):
            results = self._list_results(index)
            del self._results[index]
            await self._release(results)

    async def _release(self, results: list[batch_dispatch.StageResult]) -> None:
        by_endpoint: dict[str, list[batch_dispatch.StageResult]] = {}
        for stage_result in results:
            by_endpoint.setdefault(stage_result.endpoint.name, []).append(
                stage_result
            )
        for endpoint_results in by_endpoint.values():
            await self._runner.release(
                endpoint_results[0].endpoint,
                [stage_result.name for stage_result in endpoint_results],
            )


def _choose_reason(reasons: Sequence[str]) -> str:
    """Returns the reason that decides on a retry of several items.

    It is that of items that were sent, if there are any. It is empty if all
    items are done.
    """
    failures = [reason for reason in reasons if reason]
    return next(
        (reason for reason in failures if reason not in NOT_SENT_REASONS),
        failures[-1] if failures else "",
    )


def _raise_unexpected(tasks: Sequence[curio.Task]) -> None:
    """Raises the error that ended one task of a group, if any.

    The group cancels its other tasks; the result of one of these would raise
    their cancellation in the task of the request.
    """
    for task in tasks:
        if isinstance(task.exception, Exception):
            raise task.exception


@contextlib.asynccontextmanager
async def release_on_error(
    run: StageSequenceRun,
) -> AsyncIterator[StageSequenceRun]:
    """Releases the results of a run if the block raises an exception."""
    try:
        yield run
    except BaseException:
        await run.release_all()
        raise
