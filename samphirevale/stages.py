"""Runs the batched stages that precede a request to the back end."""

import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple

import curio

from samphirevale import (
    batch_dispatch,
    batching,
    cluster_state,
    errors,
    item_runners,
    proxy_requests,
    routes,
    stage_placement,
    stage_results,
    stage_times,
)
from samphirevale.availability import eligibility
from samphirevale.ports import clock as clocks

# The largest number of retries of the items of a stage.
RETRIES_LIMIT = 2

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

# The later stages of a late request are due within this share of the time for
# which results are stored. They then follow the items of requests on time, but
# do not hold memory for long.
LATE_HELD_SHARE = 0.25

# The share of an endpoint's memory that one chunk of a request's items may
# occupy.
MEMORY_SHARE = 0.6


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
        wanted: the conditions for the endpoints.
    """

    due_at: float
    deadline_at: float
    rank: int
    data_centre: str
    late: bool = False
    wanted: eligibility.Eligibility = eligibility.ANY


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
        runner: item_runners.ItemRunner,
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
        self._results = stage_results.StageResults(
            runner, known, route, request.item_counts
        )
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
        return self._results.list_final()

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
        await self._results.release_consumed()

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
        self._results.begin(index)
        stage = self._route.stages[index]
        reason = ""
        attempts = 0
        while attempts <= RETRIES_LIMIT:
            await self._complete_inputs(stage)
            if self._results.released:
                raise errors.EarlierStageError("the results were released")
            items = self._build_missing_items(index)
            reason = await self._run_items_once(index, items)
            if not self._results.list_missing(index):
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
                await self._results.drop_lost(stage, items[0].inputs)
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
        while not self._results.released and (
            incomplete := [
                i for i in stage.after if self._results.list_missing(i)
            ]
        ):
            async with self._repeat_locks[incomplete[0]]:
                if self._results.list_missing(incomplete[0]):
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
        chosen = stage_placement.choose_endpoint(
            self._runner,
            self._cluster,
            self._route.stages[index],
            len(items),
            items[0].transfers,
            self._constraints.late and not items[0].inputs,
            self._clock.now(),
            self._rng,
            self._refusing,
            self._constraints.wanted,
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
            stage_result = batch_dispatch.StageResult(
                result.result, stored_at or endpoint, item.result_bytes
            )
            self._results.add(index, item.index, stage_result)
        return _choose_reason([result.reason for result in outcomes])

    def _list_transfers(self, index: int) -> tuple[tuple[str, int], ...]:
        """Returns the data centres and byte counts of each item's transfers.

        Each item fetches all results of the preceding stages separately.
        """
        stage = self._route.stages[index]
        transfers = [
            (stage_result.endpoint.data_centre, stage_result.size)
            for stage_result in self._results.list_inputs(stage)
        ]
        is_last = not self._results.list_dependents(index)
        if self._constraints.data_centre and is_last:
            transfers.append(
                (self._constraints.data_centre, stage.result_bytes)
            )
        return tuple(transfers)

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
            for stage_result in self._results.list_inputs(stage)
        )
        transfers = self._list_transfers(index)
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
                transfers=transfers,
            )
            for item_index in self._results.list_missing(index)
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

    async def release_all(self) -> None:
        """Releases every result that is still held, and ends the run."""
        await self._results.release_all()


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
