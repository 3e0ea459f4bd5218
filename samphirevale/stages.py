"""The stages before a request: pieces at batching endpoints, in order."""

import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple, Protocol

import curio

from samphirevale import (
    batching,
    catalogue,
    errors,
    gathering,
    knowledge,
    proxied,
    routes,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# How often the pieces of a stage are asked for again.
REPEATS_LIMIT = 2

# What bytes that cross data centres count as against a stage endpoint, in
# seconds for each megabyte.
REMOTE_SECONDS_PER_MB = 0.06


# The reason of pieces for which there is no endpoint.
NO_ENDPOINT = "no endpoint"

# Entries that decide on the same reports would all choose the same endpoint.
# For each entry above the first few, the endpoints' costs are blurred by this
# share of a call's fixed time.
FEW_ENTRIES = 4
SPREAD_SHARE = 0.1

# The part of an endpoint's room that the pieces of one request may take.
ROOM_SHARE = 0.6


class StageGroup(Protocol):
    """Has items done at an endpoint, here or by the entry that owns it."""

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Returns the items' results in order."""

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Frees results; returns at once."""

    def estimate_seconds(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        work: batching.Work,
        now: float,
    ) -> float:
        """Returns when new items should be done, in seconds from now."""


class Terms(NamedTuple):
    """What holds for all stages of one request.

    Attributes:
        due_at: when the results must be there for it to be in time.
        deadline_at: when they are of no use any more.
        rank: the request's; 0 is the most urgent.
        data_centre: where the results are wanted; empty for anywhere.
        late: it waits behind those that can be in time.
    """

    due_at: float
    deadline_at: float
    rank: int
    data_centre: str
    late: bool = False


def choose_endpoint(
    group: StageGroup,
    known: knowledge.Knowledge,
    stage: routes.Stage,
    items: int,
    transfers: Sequence[tuple[str, int]],
    late: bool,
    now: float,
    rng: random.Random | None = None,
) -> tuple[catalogue.Endpoint, float] | None:
    """Returns the endpoint that should be done first, and when.

    Args:
        group: tells the endpoints' load.
        known: the endpoints.
        stage: the stage.
        items: how many pieces it has.
        transfers: data centres, each with the bytes that are fetched from
            there or wanted there.
        late: the pieces wait behind those that can be in time.
        now: the present time.
        rng: spreads the choices of many entries; None for the plain best.

    Returns:
        The endpoint and the seconds until its work should be done; None if
        no endpoint takes the work.
    """
    limits = known.find_batch_limits(stage.service)
    if limits is None:
        return None
    work = batching.Work(items, items * stage.result_bytes, late)
    spread = 0.0
    if rng is not None:
        spread = compute_spread(limits, len(known.members))
    best = None
    best_cost = 0.0
    for endpoint in known.catalogue.list_accepting(stage.service):
        seconds = group.estimate_seconds(endpoint, limits, work, now)
        remote = sum(
            moved
            for data_centre, moved in transfers
            if data_centre != endpoint.data_centre
        )
        cost = seconds + remote / 1e6 * REMOTE_SECONDS_PER_MB
        if spread:
            cost += rng.uniform(0, spread)
        if best is None or cost < best_cost:
            best, best_cost = (endpoint, seconds), cost
    return best


def compute_spread(limits: routes.BatchLimits, entries: int) -> float:
    """Returns by how much costs are blurred, in seconds."""
    excess = max(entries - FEW_ENTRIES, 0)
    return excess * SPREAD_SHARE * limits.call_seconds


def estimate_stages(
    group: StageGroup,
    known: knowledge.Knowledge,
    route: routes.Route,
    counts: Sequence[int],
    late: bool,
    now: float,
) -> float | None:
    """Returns when the results of all stages should be there, in seconds.

    None if a stage has no endpoint. A late request waits behind the others
    in its first stages only: later ones hold results that take room.
    """
    ends: list[float] = []
    for index, stage in enumerate(route.stages):
        start = max((ends[i] for i in stage.after), default=0.0)
        if not read_count(counts, index):
            ends.append(start)
            continue
        chosen = choose_endpoint(
            group,
            known,
            stage,
            read_count(counts, index),
            (),
            late and not stage.after,
            now,
        )
        if chosen is None:
            return None
        ends.append(start + chosen[1])
    return max(ends, default=0.0)


def compute_bare_seconds(
    known: knowledge.Knowledge, route: routes.Route, counts: Sequence[int]
) -> float:
    """Returns the time of all stages at idle endpoints, in seconds."""
    ends: list[float] = []
    for index, stage in enumerate(route.stages):
        start = max((ends[i] for i in stage.after), default=0.0)
        limits = known.find_batch_limits(stage.service)
        count = read_count(counts, index)
        seconds = 0.0
        if limits is not None and count:
            seconds = batching.compute_call_seconds(limits, count)
        ends.append(start + seconds)
    return max(ends, default=0.0)


def split_items(
    items: list[batching.Item], limits: routes.BatchLimits
) -> list[list[batching.Item]]:
    """Returns pieces in parts that fit into a call and an endpoint's room."""
    size = max(items[0].result_bytes, 1)
    fitting = int(limits.memory_bytes * ROOM_SHARE) // size
    length = max(min(limits.items, fitting), 1)
    count = -(-len(items) // length)
    return [items[start::count] for start in range(count)]


def read_count(counts: Sequence[int], index: int) -> int:
    """Returns how many pieces a stage has."""
    return counts[index] if index < len(counts) else 0


class StageRun:
    """The stages of one request, and the results that it holds."""

    def __init__(
        self,
        group: StageGroup,
        known: knowledge.Knowledge,
        clock: clocks.Clock,
        request: proxied.ProxiedRequest,
        route: routes.Route,
        terms: Terms,
        may_repeat: Callable[[str], bool],
        rng: random.Random,
    ):
        """Prepares a run.

        Args:
            group: does the pieces.
            known: the endpoints.
            clock: the present time.
            request: tells the pieces.
            route: tells the stages.
            terms: of this request.
            may_repeat: takes a service's name; whether pieces may be asked
                for again now.
            rng: spreads the choices of endpoints.
        """
        self._group = group
        self._known = known
        self._clock = clock
        self._request = request
        self._route = route
        self._terms = terms
        self._may_repeat = may_repeat
        self._rng = rng
        self._results: dict[int, list[gathering.StageResult]] = {}
        self._used: set[int] = set()

    async def run(self) -> list[gathering.StageResult]:
        """Returns the results that the request itself needs.

        Raises:
            errors.StageError: some piece could not be done.
        """
        waves = self._sort_waves()
        for wave in waves:
            await self._run_wave(wave)
        return self.list_final()

    def _sort_waves(self) -> list[list[int]]:
        """Returns the stages in groups that need the groups before.

        Each stage is in the last group that it may be in, so that its results
        take room for the shortest time.
        """
        ahead = [0] * len(self._route.stages)
        for index in reversed(range(len(ahead))):
            for i in self._route.stages[index].after:
                ahead[i] = max(ahead[i], ahead[index] + 1)
        return [
            [
                index
                for index, value in enumerate(ahead)
                if value == level
                and read_count(self._request.piece_counts, index)
            ]
            for level in range(max(ahead, default=-1), -1, -1)
        ]

    async def _run_wave(self, wave: list[int]) -> None:
        if len(wave) == 1:
            await self._run_stage(wave[0])
        elif wave:
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(self._run_caught, index) for index in wave
                ]
            for task in tasks:
                if task.result is not None:
                    raise task.result
        await self._release_consumed()

    async def _run_caught(self, index: int) -> errors.StageError | None:
        """Runs a stage beside others; returns its error."""
        try:
            await self._run_stage(index)
        except errors.StageError as error:
            return error
        return None

    async def _run_stage(self, index: int) -> None:
        """Has all pieces of a stage done; those that fail, again."""
        made: dict[int, gathering.StageResult] = {}
        self._results[index] = []
        items = self._build_items(index)
        stage = self._route.stages[index]
        for _ in range(1 + REPEATS_LIMIT):
            reason = await self._try_items(index, items, made)
            items = [item for item in items if item.index not in made]
            if not items:
                return
            if reason in ("late", "gone", NO_ENDPOINT):
                break
            if reason != gathering.UNSENT and not self._may_repeat(
                stage.service
            ):
                raise errors.StageError("no repeats are left")
        raise errors.StageError(f"stage {index}: {reason}")

    async def _try_items(
        self,
        index: int,
        items: list[batching.Item],
        made: dict[int, gathering.StageResult],
    ) -> str:
        """Asks for pieces once; returns why some were not done.

        More than fit into a call go to several endpoints at once.
        """
        limits = self._known.find_batch_limits(
            self._route.stages[index].service
        )
        if limits is None:
            raise errors.StageError(f"stage {index}: no such service")
        chunks = split_items(items, limits)
        if len(chunks) == 1:
            return await self._run_chunk(index, limits, items, made)
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._run_chunk, index, limits, chunk, made)
                for chunk in chunks
            ]
        reasons = [task.result for task in tasks if task.result]
        return reasons[0] if reasons else ""

    async def _run_chunk(
        self,
        index: int,
        limits: routes.BatchLimits,
        items: list[batching.Item],
        made: dict[int, gathering.StageResult],
    ) -> str:
        """Has pieces done at one endpoint; returns why some were not."""
        chosen = choose_endpoint(
            self._group,
            self._known,
            self._route.stages[index],
            len(items),
            self._list_transfers(index, len(items)),
            self._terms.late and not items[0].inputs,
            self._clock.now(),
            self._rng,
        )
        if chosen is None:
            return NO_ENDPOINT
        endpoint = chosen[0]
        results = await self._group.run_items(endpoint, limits, items)
        reason = ""
        for item, result in zip(items, results, strict=True):
            if not result.result:
                reason = result.reason
                continue
            made[item.index] = gathering.StageResult(
                result.result, endpoint, item.result_bytes
            )
            self._results[index] = [made[key] for key in sorted(made)]
        return reason

    def _list_transfers(self, index: int, items: int) -> list[tuple[str, int]]:
        """Returns what pieces fetch and where their results are wanted.

        Each piece fetches all results of the stages before it by itself.
        """
        stage = self._route.stages[index]
        transfers = [
            (made.endpoint.data_centre, made.size * items)
            for i in stage.after
            for made in self._results.get(i, [])
        ]
        if self._terms.data_centre and not self._list_users(index):
            wanted = (self._terms.data_centre, stage.result_bytes * items)
            transfers.append(wanted)
        return transfers

    def _list_users(self, index: int) -> list[int]:
        """Returns the stages that take the results of one."""
        return [
            i
            for i, stage in enumerate(self._route.stages)
            if index in stage.after
        ]

    def _build_items(self, index: int) -> list[batching.Item]:
        stage = self._route.stages[index]
        inputs = tuple(
            made.name for i in stage.after for made in self._results.get(i, [])
        )
        return [
            batching.Item(
                attempt=self._request.attempt,
                stage=index,
                index=piece,
                key="" if inputs else self._request.piece_key,
                inputs=inputs,
                result_bytes=stage.result_bytes,
                due_at=self._terms.due_at - self._estimate_after(index),
                deadline_at=self._terms.deadline_at,
                rank=self._terms.rank,
                ticket=None,
            )
            for piece in range(read_count(self._request.piece_counts, index))
        ]

    def _estimate_after(self, index: int) -> float:
        """Returns the service time of the stages after one, in seconds."""
        longest = 0.0
        for later, stage in enumerate(self._route.stages):
            count = read_count(self._request.piece_counts, later)
            limits = self._known.find_batch_limits(stage.service)
            if index not in stage.after or limits is None:
                continue
            seconds = batching.compute_call_seconds(limits, count)
            longest = max(longest, seconds + self._estimate_after(later))
        return longest

    def read_data_centre(self) -> str:
        """Returns where the results were wanted."""
        return self._terms.data_centre

    def list_final(self) -> list[gathering.StageResult]:
        """Returns the results that no other stage takes."""
        taken = {i for stage in self._route.stages for i in stage.after}
        return [
            made
            for index in sorted(self._results)
            if index not in taken
            for made in self._results[index]
        ]

    async def _release_consumed(self) -> None:
        """Frees the results whose stages after them are all done."""
        for index in list(self._results):
            users = self._list_users(index)
            if users and all(i in self._results for i in users):
                await self._release(self._results.pop(index))
                self._results[index] = []

    async def release_all(self) -> None:
        """Frees every result that is still held."""
        for index in list(self._results):
            await self._release(self._results.pop(index))

    async def _release(self, results: list[gathering.StageResult]) -> None:
        by_endpoint: dict[str, list[gathering.StageResult]] = {}
        for made in results:
            by_endpoint.setdefault(made.endpoint.name, []).append(made)
        for some in by_endpoint.values():
            await self._group.release(
                some[0].endpoint, [made.name for made in some]
            )


@contextlib.asynccontextmanager
async def hold(run: StageRun) -> AsyncIterator[StageRun]:
    """Frees what a run holds if the block does not end well."""
    try:
        yield run
    except BaseException:
        await run.release_all()
        raise
