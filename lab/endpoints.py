"""Simulated endpoints with their sidecars, in virtual time."""

import functools
import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from lab import loop, sites, workload
from samphirevale import attempt_queues, messages

# The interval between heartbeats, in seconds.
HEARTBEAT_SECONDS = 0.5

# The delay of cache events, in seconds, and the share of lost events.
CACHE_EVENT_SECONDS = 1.0
CACHE_EVENT_LOSS = 0.2

# The time that a failing endpoint takes to fail an attempt, in seconds.
FAILURE_SECONDS = 0.005

# The time that a leaving endpoint has to finish its work before its
# replacement starts, in seconds.
LEAVING_SECONDS = 3.0


class Job(NamedTuple):
    """One attempt that an entry hands over.

    Attributes:
        attempt: the attempt's id.
        request: the request that it belongs to.
        deadline_at: the attempt's deadline.
        on_first: called at the first generated token.
        on_end: called at the end with outcome, reason and busy seconds.
    """

    attempt: str
    request: workload.Request
    deadline_at: float
    on_first: Callable[[], None]
    on_end: Callable[[str, str, float], None]


class WorkLog:
    """The work that the endpoints did for each request.

    Attributes:
        work: work by request and pool, in seconds at an otherwise idle
            endpoint at full speed.
        busy: time at the endpoints by request and pool, in seconds.
        tokens: generated tokens by request and pool; pools that generate no
            tokens are absent.
    """

    def __init__(self):
        self.work: dict[tuple[str, str], float] = {}
        self.busy: dict[tuple[str, str], float] = {}
        self.tokens: dict[tuple[str, str], int] = {}

    def add(self, request: str, pool: str, work: float, busy: float) -> None:
        """Adds the work of one attempt."""
        key = (request, pool)
        self.work[key] = self.work.get(key, 0.0) + work
        self.busy[key] = self.busy.get(key, 0.0) + busy

    def add_tokens(self, request: str, pool: str, count: int) -> None:
        """Adds the generated tokens of one attempt."""
        key = (request, pool)
        self.tokens[key] = self.tokens.get(key, 0) + count


class Server:
    """Runs the concurrent attempts of one endpoint.

    All attempts advance at the same speed. Therefore the work that one attempt
    would have done since the beginning serves as a common clock: the progress
    of an attempt is the difference from the value at its start.

    Attributes:
        speed: a factor on the usual speed; 0 if the endpoint fails all
            attempts.
    """

    def __init__(self, clock: loop.Loop, pool: str):
        self.speed = 1.0
        self._clock = clock
        self._pool = pool
        self._work_per_attempt = 0.0
        self._advanced_at = 0.0
        self._started: dict[str, float] = {}
        self._marks: list[tuple[float, str, Callable[[], None]]] = []
        self._schedule_number = 0

    def start(
        self, attempt: str, marks: list[tuple[float, Callable[[], None]]]
    ) -> None:
        """Starts an attempt.

        Args:
            attempt: the attempt's id.
            marks: functions to call, each with the amount of work after
                which it is called, in seconds.
        """
        self._advance()
        self._started[attempt] = self._work_per_attempt
        for work, call in marks:
            heapq.heappush(
                self._marks, (self._work_per_attempt + work, attempt, call)
            )
        self._schedule_next_mark()

    def stop(self, attempt: str) -> float:
        """Ends an attempt and returns the work done for it, in seconds."""
        self._advance()
        work = self._work_per_attempt - self._started.pop(attempt)
        self._schedule_next_mark()
        return work

    def set_speed(self, speed: float) -> None:
        """Sets the speed from now on."""
        self._advance()
        self.speed = speed
        self._schedule_next_mark()

    def _read_rate(self) -> float:
        if not self._started:
            return 0.0
        return self.speed * sites.compute_rate(self._pool, len(self._started))

    def _advance(self) -> None:
        elapsed = self._clock.now - self._advanced_at
        self._work_per_attempt += elapsed * self._read_rate()
        self._advanced_at = self._clock.now

    def _schedule_next_mark(self) -> None:
        self._schedule_number += 1
        while self._marks and self._marks[0][1] not in self._started:
            heapq.heappop(self._marks)
        rate = self._read_rate()
        if self._marks and rate > 0:
            delay = max(0.0, self._marks[0][0] - self._work_per_attempt) / rate
            self._clock.call_later(
                delay, self._reach_mark, self._schedule_number
            )

    def _reach_mark(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number:
            return
        self._advance()
        target, _, call = heapq.heappop(self._marks)
        self._work_per_attempt = max(self._work_per_attempt, target)
        self._schedule_next_mark()
        call()


class Sidecar:
    """One simulated endpoint with its sidecar.

    Args:
        clock: the virtual clock.
        name: the endpoint's name.
        pool: the endpoint's pool.
        data_centre: the endpoint's data centre.
        limiter: the name of the limit policy.
        queue_limit: the maximum number of queued attempts.
        rng: decides which cache events are lost.
        work_log: records the work for each request.
    """

    def __init__(
        self,
        clock: loop.Loop,
        name: str,
        pool: str,
        data_centre: str,
        limiter: str,
        queue_limit: int,
        rng: random.Random,
        work_log: "WorkLog",
    ):
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self.leaving = False
        self.server = Server(clock, pool)
        self._clock = clock
        self._rng = rng
        self._work_log = work_log
        slots = sites.get_slots(pool)
        self.queue = attempt_queues.AttemptQueue(limiter, slots, queue_limit)
        self._jobs: dict[str, Job] = {}
        self._started_at: dict[str, float] = {}
        self._prompt_seconds: dict[str, float] = {}
        self._cached: dict[int, None] = {}
        self._events: list[tuple[float, str, bool]] = []
        self._reported_prefixes: dict[str, None] = {}
        self._sequence = 0

    def offer(self, job: Job, *, checks_deadline: bool, fair: bool) -> None:
        """Queues or refuses an attempt that an entry hands over."""
        now = self._clock.now
        if self.leaving:
            job.on_end("not_run", "leaving", 0.0)
            return
        answer = self.queue.offer(
            job.attempt,
            job.request.account if fair else "",
            0,
            job.deadline_at if checks_deadline else float("inf"),
            now,
        )
        if isinstance(answer, attempt_queues.Refused):
            job.on_end("not_run", answer.reason, 0.0)
            return
        self._jobs[job.attempt] = job
        self._start_queued()

    def cancel(self, attempt: str) -> None:
        """Cancels an attempt that is queued or running."""
        job = self._jobs.get(attempt)
        if job is None:
            return
        if not self.queue.cancel(attempt):
            self._stop_running(attempt, None)
        del self._jobs[attempt]
        job.on_end("failed", "cancelled", 0.0)
        self._start_queued()

    def set_speed(self, speed: float) -> None:
        """Sets the endpoint's speed; 0 also fails all running attempts."""
        self.server.set_speed(speed)
        if speed == 0:
            for attempt in list(self._started_at):
                self._fail(attempt)

    def build_heartbeat(self) -> messages.Heartbeat:
        """Returns the sidecar's next heartbeat."""
        now = self._clock.now
        self._sequence += 1
        wait_ms = self.queue.estimate_wait_ms(now)
        return messages.Heartbeat(
            sequence=self._sequence,
            leaving=self.leaving,
            running=self.queue.running,
            waiting=self.queue.waiting,
            limit=self.queue.limit,
            service_ms=self.queue.service_ms,
            wait_ms=wait_ms,
            prefixes=self._read_prefixes(),
        )

    def _start_queued(self) -> None:
        now = self._clock.now
        while (attempt := self.queue.start_next(now)) is not None:
            self._start(self._jobs[attempt])
        for dropped in self.queue.collect_dropped(now):
            job = self._jobs.pop(dropped.attempt)
            job.on_end("not_run", dropped.reason, 0.0)

    def _start(self, job: Job) -> None:
        self._started_at[job.attempt] = self._clock.now
        if self.server.speed == 0:
            self.server.start(job.attempt, [])
            self._clock.call_later(FAILURE_SECONDS, self._fail, job.attempt)
            return
        done = functools.partial(self._finish, job.attempt)
        if self.pool == "engines":
            prompt = self._read_prompt_seconds(job.request.prefix)
            self._prompt_seconds[job.attempt] = prompt
            first = prompt + sites.TOKEN_SECONDS
            work = prompt + job.request.tokens * sites.TOKEN_SECONDS
            marks = [(first, job.on_first), (work + 1e-9, done)]
        else:
            marks = [(job.request.work[self.pool], done)]
        self.server.start(job.attempt, marks)

    def _finish(self, attempt: str) -> None:
        busy = self._stop_running(attempt, self._clock.now)
        job = self._jobs.pop(attempt)
        job.on_end("ok", "", busy)
        self._start_queued()

    def _fail(self, attempt: str) -> None:
        if attempt not in self._jobs:
            return
        busy = self._stop_running(attempt, None)
        job = self._jobs.pop(attempt)
        job.on_end("failed", "endpoint_failed", busy)
        self._start_queued()

    def _stop_running(self, attempt: str, ended_at: float | None) -> float:
        now = self._clock.now
        work = self.server.stop(attempt)
        busy = now - self._started_at.pop(attempt)
        request = self._jobs[attempt].request.id
        self._work_log.add(request, self.pool, work, busy)
        prompt = self._prompt_seconds.pop(attempt, None)
        if prompt is not None:
            generated = max(0.0, work - prompt) / sites.TOKEN_SECONDS
            self._work_log.add_tokens(request, self.pool, round(generated))
        measured = None if ended_at is None else busy
        self.queue.record_end(attempt, now, measured)
        return busy

    def _read_prompt_seconds(self, prefix: int) -> float:
        hit = prefix in self._cached
        self._cached.pop(prefix, None)
        self._cached[prefix] = None
        if not hit:
            self._publish_cache_event(prefix, True)
        if len(self._cached) > sites.CACHED_PREFIXES:
            oldest = next(iter(self._cached))
            del self._cached[oldest]
            self._publish_cache_event(oldest, False)
        if hit:
            return sites.CACHED_PROMPT_SECONDS
        return sites.PROMPT_SECONDS

    def _publish_cache_event(self, prefix: int, cached: bool) -> None:
        if self._rng.random() < CACHE_EVENT_LOSS:
            return
        at = self._clock.now + CACHE_EVENT_SECONDS
        self._events.append((at, str(prefix), cached))

    def _read_prefixes(self) -> list[str]:
        while self._events and self._events[0][0] <= self._clock.now:
            _, prefix, cached = self._events.pop(0)
            if cached:
                self._reported_prefixes[prefix] = None
            else:
                self._reported_prefixes.pop(prefix, None)
        return list(self._reported_prefixes)
