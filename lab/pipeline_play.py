"""Plays requests with stages against an admission policy, without a network.

    python -m lab.pipeline_play --load 1.3 --days 16

Batching endpoints, their queues, admission and fair shares are the real
modules; time is virtual. Callers come in clumps, in bursts of one kind, and
once more after a refusal. One process owns all endpoints and items do not move
between them. Prints for each policy what callers of each kind and account get.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from samphirevale import batching, routes, stage_admission, stage_times
from samphirevale.fair_shares import demands, standing

# The shares of the accounts in all requests.
ACCOUNT_SHARES = (0.42, 0.22, 0.16, 0.11, 0.09)

# The duration of a day, and of a burst, in seconds.
DAY_SECONDS = 60.0
BURST_SECONDS = 5.0

# The number of bursts in a day.
BURSTS = 4

# The time after which a queue that waits for memory is looked at again, in
# seconds.
RETRY_SECONDS = 0.05


class Stage(NamedTuple):
    """A stage of a kind of request.

    Attributes:
        service: the service that runs it.
        items: the mean number of items.
        spread: the standard deviation of the logarithm of that number; 0 for
            the same number each time.
        result_bytes: the size of a result.
        later: whether it takes the results of the stage before.
        share: the share of the requests that have this stage.
        work: the time of an item as a multiple of the configured one.
    """

    service: str
    items: float
    spread: float = 0.0
    result_bytes: int = 8_000
    later: bool = False
    share: float = 1.0
    work: float = 1.0


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: the name in the output.
        rate: the requests a second at load 1.
        rank: the priority; 0 is the most urgent.
        target_seconds: the target time of the answer.
        deadline_seconds: the time that a caller waits.
        model_seconds: the time from the results of the stages to the answer.
        stages: the stages, a chain of later ones behind the last first one.
    """

    name: str
    rate: float
    rank: int
    target_seconds: float
    deadline_seconds: float
    model_seconds: float
    stages: tuple[Stage, ...]


class Service(NamedTuple):
    """A batching service."""

    name: str
    endpoints: int
    limits: routes.BatchLimits


def _build_service(
    name: str, items: int, item_seconds: float, memory_bytes: int
) -> Service:
    limits = routes.BatchLimits(
        1, 2, items, 0.2, item_seconds, memory_bytes, 4.0
    )
    return Service(name, 3, limits)


# One service is used by all kinds, two by those with long chains.
SERVICES = (
    _build_service("shared", 5, 0.034, 11_000_000),
    _build_service("second", 17, 0.010, 2_300_000),
    _build_service("third", 28, 0.006, 370_000),
)

_CHAIN = (
    Stage("shared", 1, work=0.3),
    Stage("second", 6, result_bytes=60_000, later=True),
    Stage("third", 10, 0.4, 6_000, later=True),
)

KINDS = (
    Kind("chain", 7.8, 0, 1.8, 6.0, 0.06, _CHAIN),
    Kind(
        *("short", 7.3, 1, 1.0, 6.0, 0.16),
        (Stage("shared", 2.5, 0.6, 1_500_000, share=0.7),),
    ),
    Kind(
        *("patient", 3.9, 2, 1.8, 20.0, 0.05),
        (Stage("shared", 1.5, 0.6, 1_500_000, share=0.4), *_CHAIN),
    ),
)


class _Task(NamedTuple):
    """The items of one stage of a request."""

    request: "_Request"
    index: int
    stage: Stage
    items: int


class _Request:
    """A request with what is left of its stages."""

    def __init__(self, name: str, kind: Kind, account: int, at: float):
        self.name = name
        self.kind = kind
        self.account = account
        self.arrived_at = at
        self.tasks: list[_Task] = []
        self.returned = False
        self.late = False
        self.open_items: dict[int, int] = {}
        self.held: list[tuple[batching.BatchQueue, str]] = []

    def compute_bare_seconds(self, limits: dict) -> float:
        """Returns the duration of all stages at idle endpoints."""
        ends = [0.0]
        longest = 0.0
        for task in self.tasks:
            seconds = stage_times.estimate_call_seconds(
                limits[task.stage.service], task.items
            )
            start = ends[-1] if task.stage.later else 0.0
            ends.append(start + seconds)
            longest = max(longest, ends[-1])
        return longest


class Figures(NamedTuple):
    """What callers got in one or more days, as shares of all requests.

    Attributes:
        in_time: the share that was answered within the target.
        late: the share that was answered later.
        refused: the share that was refused twice.
        kinds: the share in time of each kind.
        accounts: the share in time of each account.
    """

    in_time: float
    late: float
    refused: float
    kinds: tuple[float, ...]
    accounts: tuple[float, ...]


class Day:
    """One day of requests against a policy."""

    def __init__(
        self,
        seed: int,
        policy: stage_admission.AdmissionPolicy,
        load: float,
        services: Iterable[Service] = SERVICES,
        kinds: tuple[Kind, ...] = KINDS,
    ):
        self._rng = random.Random(seed)
        self._policy = policy
        self._kinds = kinds
        self._limits = {item.name: item.limits for item in services}
        self._queues = {
            item.name: [
                batching.BatchQueue(item.limits) for _ in range(item.endpoints)
            ]
            for item in services
        }
        self._shared_queueing = self._compute_shared_queueing()
        self._demands = demands.ServiceDemands()
        self._now = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        # Pairs of a request and the time of its answer; None if refused.
        self._outcomes: list[tuple[_Request, float | None]] = []
        for request in self._draw_requests(load):
            self._schedule(request.arrived_at, self._arrive, request)

    def _compute_shared_queueing(self) -> dict[str, float]:
        """Returns the shortest time that a kind leaves for queues."""
        shortest: dict[str, float] = {}
        for kind in self._kinds:
            bare = sum(
                stage_times.estimate_call_seconds(self._limits[s.service], 1)
                for s in kind.stages
            )
            for stage in kind.stages:
                left = kind.target_seconds - bare
                before = shortest.get(stage.service, left)
                shortest[stage.service] = min(before, left)
        return shortest

    def _draw_requests(self, load: float) -> Iterable[_Request]:
        bursts = [
            (
                self._rng.uniform(0, DAY_SECONDS - BURST_SECONDS),
                self._rng.choice(self._kinds),
                self._rng.uniform(1.5, 2.5),
            )
            for _ in range(BURSTS)
        ]
        for kind in self._kinds:
            now = 0.0
            while now < DAY_SECONDS:
                factor = load
                for begin, burst_kind, size in bursts:
                    if kind is burst_kind and begin <= now < begin + 5:
                        factor *= size
                now += self._rng.expovariate(kind.rate * factor / 2)
                for _ in range(self._rng.choice((1, 2, 2, 3))):
                    at = now + self._rng.uniform(0, 0.05)
                    yield self._draw_request(kind, at)

    def _draw_request(self, kind: Kind, at: float) -> _Request:
        (account,) = self._rng.choices(
            range(len(ACCOUNT_SHARES)), ACCOUNT_SHARES
        )
        request = _Request(f"{next(self._numbers)}", kind, account, at)
        for index, stage in enumerate(kind.stages):
            if self._rng.random() < stage.share:
                mean = math.log(stage.items) - stage.spread**2 / 2
                drawn = round(self._rng.lognormvariate(mean, stage.spread))
                items = min(max(drawn, 1), 25)
                request.tasks.append(_Task(request, index, stage, items))
        return request

    def _schedule(self, at: float, act: Callable, *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, arguments))

    def run(self) -> Figures:
        """Plays the day and returns what callers got."""
        while self._events:
            self._now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self._sum_up()

    def _arrive(self, request: _Request) -> None:
        if not request.tasks:
            self._schedule(
                self._now + request.kind.model_seconds, self._answer, request
            )
            return
        decision = stage_admission.decide(
            self._describe(request),
            lambda late: self._estimate(request, late),
            self._policy,
        )
        if decision.admitted:
            request.late = decision.late
            for task in request.tasks:
                if not task.stage.later:
                    self._submit(task)
        elif request.returned:
            self._outcomes.append((request, None))
        else:
            request.returned = True
            left = self._compute_remaining(request)
            pause = min(decision.compute_retry_seconds(), left / 3)
            self._schedule(self._now + pause, self._arrive, request)

    def _compute_remaining(self, request: _Request) -> float:
        waited = self._now - request.arrived_at
        return request.kind.deadline_seconds - waited

    def _describe(self, request: _Request) -> stage_admission.AdmissionRequest:
        account = f"{request.account}"
        for task in request.tasks:
            service = task.stage.service
            cost = stage_times.compute_item_cost(self._limits[service])
            self._demands.record(service, account, task.items * cost, self._now)
        stands = min(
            standing.compute_standing(
                self._demands.sum_up(service, self._now),
                account,
                len(self._queues[service]) * demands.DECAY_SECONDS,
                self._policy.least_standing,
            )
            for service in {task.stage.service for task in request.tasks}
        )
        return stage_admission.AdmissionRequest(
            request.compute_bare_seconds(self._limits),
            self._shared_queueing,
            request.kind.target_seconds,
            self._compute_remaining(request),
            request.kind.model_seconds,
            request.kind.rank,
            request.returned,
            stands,
        )

    def _estimate(
        self, request: _Request, late: bool
    ) -> stage_admission.StagesEstimate:
        waits = []
        end = longest = 0.0
        for task in request.tasks:
            stage = task.stage
            _, seconds = self._choose(task, late and not stage.later)
            end = seconds + (end if stage.later else 0.0)
            longest = max(longest, end)
            call = stage_times.estimate_call_seconds(
                self._limits[stage.service], task.items
            )
            waits.append(
                stage_admission.StageWait(
                    stage.service, seconds - call, stage.later
                )
            )
        return stage_admission.StagesEstimate(longest, tuple(waits))

    def _choose(
        self, task: _Task, late: bool
    ) -> tuple[batching.BatchQueue, float]:
        """Returns the queue that ends first, and when, in seconds."""
        service = task.stage.service
        size = task.items * task.stage.result_bytes
        work = batching.NewItems(task.items, size, late)
        found = [
            batching.estimate_seconds(
                queue.build_state(self._now), self._limits[service], work
            )
            for queue in self._queues[service]
        ]
        index = min(range(len(found)), key=found.__getitem__)
        return self._queues[service][index], found[index]

    def _submit(self, task: _Task) -> None:
        request, stage = task.request, task.stage
        queue, _ = self._choose(task, request.late and not stage.later)
        kind = request.kind
        wait = 0.0 if request.late else kind.target_seconds
        deadline = request.arrived_at + kind.deadline_seconds
        request.open_items[task.index] = task.items
        for index in range(task.items):
            queue.add(
                batching.Item(
                    *(request.name, task.index, index, ""),
                    ("input",) if stage.later else (),
                    stage.result_bytes,
                    request.arrived_at + wait - kind.model_seconds,
                    deadline - kind.model_seconds,
                    kind.rank,
                    task,
                )
            )
        self._start_call(stage.service, queue)

    def _start_call(self, service: str, queue: batching.BatchQueue) -> None:
        for item in queue.take_expired(self._now):
            request = item.ticket.request
            if (request, None) not in self._outcomes:
                self._outcomes.append((request, None))
        batch = queue.take_batch(self._now)
        if not batch:
            if len(queue) and not queue.running:
                at = self._now + RETRY_SECONDS
                self._schedule(at, self._start_call, service, queue)
            return
        limits = self._limits[service]
        seconds = limits.call_seconds + limits.item_seconds * sum(
            item.ticket.stage.work for item in batch
        )
        self._schedule(
            self._now + seconds, self._end_call, service, queue, batch
        )

    def _end_call(
        self, service: str, queue: batching.BatchQueue, batch: list
    ) -> None:
        names = [f"{item.attempt}/{item.stage}/{item.index}" for item in batch]
        queue.end_call(batch, names, self._now)
        for item, name in zip(batch, names, strict=True):
            task = item.ticket
            task.request.held.append((queue, name))
            task.request.open_items[task.index] -= 1
            if not task.request.open_items[task.index]:
                self._end_stage(task)
        self._start_call(service, queue)

    def _end_stage(self, task: _Task) -> None:
        request = task.request
        place = request.tasks.index(task) + 1
        if place < len(request.tasks) and request.tasks[place].stage.later:
            self._submit(request.tasks[place])
        elif len(request.open_items) == len(request.tasks) and not any(
            request.open_items.values()
        ):
            for queue, name in request.held:
                queue.release(name, self._now)
            at = self._now + request.kind.model_seconds
            self._schedule(at, self._answer, request)

    def _answer(self, request: _Request) -> None:
        self._outcomes.append((request, self._now - request.arrived_at))

    def _sum_up(self) -> Figures:
        def compute_share(
            is_counted: Callable[[_Request], bool],
            is_good: Callable[[_Request, float | None], bool],
        ) -> float:
            counted = [item for item in self._outcomes if is_counted(item[0])]
            return sum(is_good(*item) for item in counted) / len(counted)

        def is_in_time(request: _Request, seconds: float | None) -> bool:
            return (
                seconds is not None and seconds <= request.kind.target_seconds
            )

        def is_any(request: _Request) -> bool:
            return True

        return Figures(
            compute_share(is_any, is_in_time),
            compute_share(
                is_any,
                lambda request, seconds: (
                    seconds is not None and not is_in_time(request, seconds)
                ),
            ),
            compute_share(is_any, lambda request, seconds: seconds is None),
            tuple(
                compute_share(
                    lambda request, k=kind: request.kind is k, is_in_time
                )
                for kind in self._kinds
            ),
            tuple(
                compute_share(
                    lambda request, a=account: request.account == a, is_in_time
                )
                for account in range(len(ACCOUNT_SHARES))
            ),
        )


def play(
    policy: stage_admission.AdmissionPolicy,
    load: float,
    seeds: Iterable[int],
    services: Iterable[Service] = SERVICES,
) -> Figures:
    """Returns the mean figures of some days."""
    days = [Day(seed, policy, load, services).run() for seed in seeds]
    means = []
    for values in zip(*days, strict=True):
        if isinstance(values[0], tuple):
            means.append(
                tuple(map(statistics.fmean, zip(*values, strict=True)))
            )
        else:
            means.append(statistics.fmean(values))
    return Figures(*means)


def main() -> None:
    """Prints the figures of each registered policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--days", type=int, default=16)
    options = parser.parse_args()
    for name in stage_admission.policies.list_names():
        figures = play(
            stage_admission.policies.get(name)(),
            options.load,
            range(options.days),
        )
        kinds = " ".join(f"{share:.3f}" for share in figures.kinds)
        accounts = " ".join(f"{share:.3f}" for share in figures.accounts)
        print(
            f"{name:8} in time {figures.in_time:.3f} late {figures.late:.3f} "
            f"refused {figures.refused:.3f} kinds {kinds} accounts {accounts}"
        )


if __name__ == "__main__":
    main()
