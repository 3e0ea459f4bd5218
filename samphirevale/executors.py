"""Runs accepted attempts at the endpoint: one task each, to one ending."""

import collections
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import curio

from samphirevale import (
    arrivals,
    attempts,
    errors,
    invariants,
    limits,
    logs,
    messages,
    metrics,
    monitors,
    peers,
    quarantine,
    readers,
    settings,
    snapshots,
)
from samphirevale.ports import endpoints

# How long a cut connection's repeatable attempts go on, so that the entry
# can connect again and wait for them, in seconds.
REATTACH_SECONDS = 1.0

# How long past its deadline a call that may not be repeated is waited for,
# so that its outcome becomes known, in seconds.
OUTCOME_SECONDS = 30.0

# How long a sidecar that stops keeps outcomes for entries that were cut off,
# in seconds: longer than an entry waits before it connects again.
FETCH_SECONDS = 3.0

# Interval between looks at whether they have been fetched, in seconds.
FETCH_CHECK_SECONDS = 0.02

# When to ask again after an endpoint's refusal without a time, in ms.
REFUSED_RETRY_MS = 100

# The most crashes that are told to entries that connect later.
CRASHES_KEPT = 64

ATTEMPT_RUNS_ONCE = invariants.declare(
    "attempt_runs_once",
    "A sidecar hands one attempt to its endpoint at most once.",
)
ATTEMPT_ENDS_ONCE = invariants.declare(
    "attempt_ends_once",
    "An attempt ends exactly once in a sidecar.",
)
RUNNING_WITHIN_LIMIT = invariants.declare(
    "running_within_limit",
    "An endpoint is handed no more attempts at once than its limit.",
)


class Executor:
    """Accepts attempts once each and runs them at one endpoint.

    Attributes:
        table: the attempts.
        counts: what has been counted.
        leaving_at: since when nothing new is taken, in monotonic seconds;
            None while new work is taken.
    """

    def __init__(
        self,
        sidecar: settings.SidecarSettings,
        endpoint: endpoints.Endpoint,
        monitor: monitors.EndpointMonitor,
        queue: limits.AttemptQueue,
        holder: snapshots.SnapshotHolder,
        connected: peers.PeerSet,
    ):
        self._name = sidecar.endpoint
        self._concurrency_limit = sidecar.concurrency_limit
        self._endpoint = endpoint
        self._monitor = monitor
        self._queue = queue
        self._holder = holder
        self._connected = connected
        self.table = attempts.AttemptTable()
        self.counts = readers.Counts()
        # When each crash here was seen, in monotonic seconds, and its notice.
        self._crashes: collections.deque[tuple[float, messages.CrashNotice]] = (
            collections.deque(maxlen=CRASHES_KEPT)
        )
        self.leaving_at: float | None = None
        self._violations = curio.Queue()

    async def accept(
        self, handover: messages.Handover, peer: peers.Peer
    ) -> None:
        """Takes a hand-over: runs it, or joins the attempt that it repeats."""
        known = self.table.find(handover.attempt)
        if known is not None:
            await self._reattach(known, peer)
            return
        now = time.monotonic()
        if not self.table.has_room():
            refused = attempts.Attempt(handover, peer, now).build_refusal(
                "not_run", "overloaded", "too many attempts are remembered"
            )
            await peer.post(refused)
            return
        attempt = self.table.add(handover, peer, now)
        self.counts.accepted += 1
        attempt.task = await curio.spawn(self._run, attempt, daemon=True)

    async def cancel(self, attempt_id: str) -> None:
        """Frees an attempt's place, if the entry may give it up."""
        attempt = self.table.find(attempt_id)
        if attempt is not None:
            await self._cancel(attempt, "cancelled")

    async def detach(self, peer: peers.Peer) -> None:
        """Notes that the connection of a peer has ended."""
        now = time.monotonic()
        for attempt in self.table.list_of_peer(peer):
            attempt.peer = None
            attempt.detached_at = now

    async def cancel_recalled(self) -> None:
        """Stops what runs or waits on a batch that has been recalled."""
        for attempt in self.table.list_active():
            if self._holder.is_recalled(attempt.handover.batch):
                await self._cancel(attempt, "recalled")

    async def tend(self, now: float) -> None:
        """Does what is due by time: late, left behind, forgotten."""
        await self._drop_expired(now)
        await self._start_next(now)
        for attempt in self.table.list_active():
            if attempt.detached_at is None:
                continue
            if now - attempt.detached_at > REATTACH_SECONDS:
                await self._cancel(attempt, "cancelled")
        self.table.forget_old(now)

    async def wait_until_idle(self) -> None:
        """Returns once no attempt is waiting or running.

        Then waits a while for entries that were cut off to fetch the
        outcomes of calls that may not be repeated.
        """
        for attempt in self.table.list_active():
            await attempt.ended.wait()
        async with curio.ignore_after(FETCH_SECONDS):
            while self.table.has_undelivered():
                await curio.sleep(FETCH_CHECK_SECONDS)

    async def raise_violation(self) -> None:
        """Waits for a fatal violation of an invariant and raises it."""
        raise await self._violations.get()

    async def _reattach(
        self, attempt: attempts.Attempt, peer: peers.Peer
    ) -> None:
        self.counts.reattached += 1
        if attempt.ending is not None:
            attempt.delivered = await peer.post(attempt.ending)
            return
        attempt.peer = peer
        attempt.detached_at = None
        attempt.reported = False

    async def _cancel(self, attempt: attempts.Attempt, reason: str) -> None:
        if attempt.phase == "ended" or attempt.cancel_reason:
            return
        if attempt.phase == "running" and not attempt.handover.repeatable:
            # Its effect cannot be taken back: its outcome is worth more.
            return
        attempt.cancel_reason = reason
        # A task that has not begun is cancelled at its first wait.
        await attempt.task.cancel(blocking=False)

    async def _run(self, attempt: attempts.Attempt) -> None:
        try:
            await self._run_to_ending(attempt)
        except errors.InvariantError as error:
            await self._violations.put(error)

    async def _run_to_ending(self, attempt: attempts.Attempt) -> None:
        try:
            ending = await self._reach_ending(attempt)
        except errors.InvariantError:
            raise
        except curio.TaskCancelled:
            ending = self._end_early(attempt, attempt.cancel_reason, "")
        except Exception as error:
            logs.log_failure("attempt_failed", attempt=attempt.handover.attempt)
            ending = self._end_early(attempt, "endpoint_failed", repr(error))
        await self._finish(attempt, ending)

    def _end_early(
        self, attempt: attempts.Attempt, reason: str, detail: str
    ) -> messages.Refusal:
        if attempt.phase == "waiting":
            return attempt.build_refusal("not_run", reason, detail)
        return attempt.refuse_lost(reason, detail)

    async def _finish(
        self, attempt: attempts.Attempt, ending: attempts.Ending
    ) -> None:
        _check_ending(attempt, ending)
        peer = attempt.peer
        self.table.record_ending(attempt, ending)
        if isinstance(ending, messages.Refusal):
            self.counts.note_refusal(ending)
            metrics.REFUSALS.labels(
                stage=ending.stage, reason=ending.reason
            ).inc()
        else:
            self.counts.completed += 1
        if peer is not None and not attempt.reported:
            attempt.delivered = await peer.post(ending)
        await attempt.ended.set()

    async def _reach_ending(self, attempt: attempts.Attempt) -> attempts.Ending:
        refused = self._check(arrivals.check_arrival, attempt)
        if refused is not None:
            return refused
        async with self._holding_place(attempt):
            refused = await self._wait_for_turn(attempt)
            if refused is None:
                refused = self._check(arrivals.check_start, attempt)
            if refused is not None:
                return refused
            return await self._call(attempt)

    def _check(
        self,
        check: Callable[..., arrivals.Refused | None],
        attempt: attempts.Attempt,
    ) -> messages.Refusal | None:
        situation = arrivals.Situation(
            endpoint=self._name,
            leaving=self.leaving_at is not None,
            healthy=self._monitor.healthy,
            batches=self._monitor.batches,
        )
        refused = check(
            attempt.handover,
            attempt.deadline_at,
            situation,
            self._holder,
            time.monotonic(),
        )
        if refused is None:
            return None
        return attempt.build_refusal("not_run", *refused)

    @contextlib.asynccontextmanager
    async def _holding_place(
        self, attempt: attempts.Attempt
    ) -> AsyncIterator[None]:
        """Gives the attempt's place in the queue or beside it back."""
        try:
            yield
        finally:
            now = time.monotonic()
            self._queue.cancel(attempt.handover.attempt)
            self._queue.note_ended(
                attempt.handover.attempt, now, attempt.service_seconds
            )
            await self._start_next(now)

    async def _wait_for_turn(
        self, attempt: attempts.Attempt
    ) -> messages.Refusal | None:
        now = time.monotonic()
        handover = attempt.handover
        offered = self._queue.offer(
            handover.attempt,
            handover.account,
            handover.priority,
            attempt.deadline_at,
            now,
        )
        if isinstance(offered, limits.Refused):
            return attempt.build_refusal(
                "not_run",
                offered.reason,
                "the queue",
                offered.retry_after_ms,
            )
        await self._drop_expired(now)
        await self._start_next(now)
        await attempt.turn.wait()
        if attempt.dropped is None:
            return None
        return attempt.build_refusal(
            "not_run",
            attempt.dropped.reason,
            "dropped from the queue",
            attempt.dropped.retry_after_ms,
        )

    async def _start_next(self, now: float) -> None:
        while (attempt_id := self._queue.take(now)) is not None:
            await self.table.find(attempt_id).turn.set()

    async def _drop_expired(self, now: float) -> None:
        for dropped in self._queue.expire(now):
            attempt = self.table.find(dropped.attempt)
            attempt.dropped = dropped
            await attempt.turn.set()

    async def _call(self, attempt: attempts.Attempt) -> attempts.Ending:
        self._check_call(attempt)
        metrics.HANDOVERS.labels(stage=attempt.handover.stage).inc()
        attempt.phase = "running"
        attempt.started_at = time.monotonic()
        if not attempt.handover.repeatable:
            return await self._call_once(attempt)
        remaining = attempt.deadline_at - attempt.started_at
        try:
            async with curio.timeout_after(remaining):
                return await self._read_answer(attempt)
        except curio.TaskTimeout:
            return attempt.refuse_lost(
                "late", "its time ran out", self._read_busy_ms(attempt)
            )

    def _check_call(self, attempt: attempts.Attempt) -> None:
        name = attempt.handover.attempt
        invariants.check(
            ATTEMPT_RUNS_ONCE, attempt.phase == "waiting", attempt=name
        )
        invariants.check(
            invariants.LEAVING_GETS_NO_WORK,
            self.leaving_at is None or attempt.accepted_at <= self.leaving_at,
            attempt=name,
        )
        invariants.check(
            RUNNING_WITHIN_LIMIT,
            len(self.table.list_running()) < self._concurrency_limit,
            attempt=name,
        )

    async def _call_once(self, attempt: attempts.Attempt) -> attempts.Ending:
        """Runs a call that may not be repeated, past its deadline if need be.

        At the deadline the entry is told that the outcome is unknown; the
        outcome, once known, is kept for the same attempt handed over again.
        """
        remaining = attempt.deadline_at - attempt.started_at
        reporter = await curio.spawn(
            self._report_late, attempt, remaining, daemon=True
        )
        try:
            async with curio.timeout_after(remaining + OUTCOME_SECONDS):
                return await self._read_answer(attempt)
        except curio.TaskTimeout:
            return attempt.refuse_lost("late", "no outcome has come")
        finally:
            await reporter.cancel()

    async def _report_late(
        self, attempt: attempts.Attempt, seconds: float
    ) -> None:
        await curio.sleep(seconds)
        if attempt.peer is not None:
            attempt.reported = True
            attempt.delivered = await attempt.peer.post(
                attempt.refuse_lost("late", "its time ran out")
            )

    async def _read_answer(self, attempt: attempts.Attempt) -> attempts.Ending:
        reader = readers.AnswerReader(attempt, self._holder, self.counts)
        incarnation = self._monitor.incarnation
        try:
            items = self._endpoint.run(readers.build_call(attempt.handover))
            async with contextlib.aclosing(items):
                ending = await reader.read(items)
        finally:
            if not reader.is_over:
                # In its own task: this one may have been cancelled.
                await curio.spawn(
                    self._endpoint.cancel,
                    attempt.handover.attempt,
                    daemon=True,
                )
        if isinstance(ending, endpoints.Failed):
            return await self._explain_failure(attempt, ending, incarnation)
        if isinstance(ending, messages.Result):
            attempt.service_seconds = time.monotonic() - attempt.started_at
        return ending

    async def _explain_failure(
        self,
        attempt: attempts.Attempt,
        failed: endpoints.Failed,
        incarnation: str,
    ) -> messages.Refusal:
        if failed.phase == "nothing_sent":
            self._monitor.note_unreachable(failed.detail)
        if failed.phase in endpoints.NOT_RUN_PHASES:
            attempt.endpoint_ran_nothing = True
            return attempt.build_refusal(
                "not_run",
                _NOT_RUN_REASONS[failed.phase],
                failed.detail,
                failed.retry_after_ms or REFUSED_RETRY_MS,
            )
        busy_ms = self._read_busy_ms(attempt)
        if failed.phase == "failed":
            return attempt.refuse_lost(
                "endpoint_failed", failed.detail, busy_ms
            )
        if not await self._monitor.has_crashed(incarnation):
            return attempt.refuse_lost(
                "endpoint_failed", failed.detail, busy_ms
            )
        self.counts.crashes += 1
        notice = messages.CrashNotice(
            attempt.handover.fingerprint, attempt.handover.attempt
        )
        self._crashes.append((time.monotonic(), notice))
        await self._connected.post_to_all(notice)
        return attempt.refuse_lost("crashed", failed.detail, busy_ms)

    def list_crashes(self, now: float) -> list[messages.CrashNotice]:
        """Returns the crashes here that still count, the oldest first."""
        oldest = now - quarantine.WINDOW_SECONDS
        return [notice for at, notice in self._crashes if at > oldest]

    def _read_busy_ms(self, attempt: attempts.Attempt) -> float:
        return 1000 * (time.monotonic() - attempt.started_at)


# The refusal's reason for each phase in which nothing ran.
_NOT_RUN_REASONS = {
    "nothing_sent": "unreachable",
    "refused": "endpoint_refused",
    "not_loaded": "not_loaded",
}


def _check_ending(attempt: attempts.Attempt, ending: attempts.Ending) -> None:
    name = attempt.handover.attempt
    invariants.check(ATTEMPT_ENDS_ONCE, attempt.ending is None, attempt=name)
    if isinstance(ending, messages.Refusal) and ending.outcome == "not_run":
        invariants.check(
            invariants.NOT_RUN_IS_TRUE,
            attempt.phase == "waiting" or attempt.endpoint_ran_nothing,
            attempt=name,
        )
