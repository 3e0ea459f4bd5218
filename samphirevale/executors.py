"""Runs accepted attempts at the endpoint, one task per attempt.

Each attempt ends exactly once, with a result or a refusal.
"""

import collections
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Callable

import curio

from samphirevale import (
    answer_reader,
    attempt_queues,
    attempts,
    configuration_holder,
    errors,
    handover_checks,
    invariants,
    logs,
    messages,
    metrics,
    monitors,
    peers,
    quarantine,
    settings,
)
from samphirevale.ports import endpoints

# How long repeatable attempts keep running after their entry's connection is
# lost, in seconds, to let the entry reconnect and attach to them again.
REATTACH_SECONDS = 1.0

# How long past its deadline the sidecar waits for a call that may not be
# repeated, in seconds, to learn the outcome.
OUTCOME_WAIT_SECONDS = 30.0

# How long a stopping sidecar keeps outcomes for disconnected entries, in
# seconds. It is longer than an entry waits before it reconnects.
FETCH_WAIT_SECONDS = 3.0

# Interval between checks whether those outcomes have been fetched, in
# seconds.
FETCH_POLL_SECONDS = 0.02

# Retry delay sent to the entry if the endpoint refuses a call without a retry
# delay of its own, in milliseconds.
DEFAULT_RETRY_AFTER_MS = 100

# Maximum number of crash notices kept for entries that connect later.
CRASH_NOTICES_LIMIT = 64

ATTEMPT_RUNS_ONCE = invariants.declare(
    "attempt_runs_once",
    "A sidecar runs an attempt at its endpoint at most once.",
)
ATTEMPT_ENDS_ONCE = invariants.declare(
    "attempt_ends_once",
    "An attempt ends exactly once in a sidecar.",
)
RUNNING_WITHIN_LIMIT = invariants.declare(
    "running_within_limit",
    "A sidecar runs no more attempts concurrently than the limit.",
)


class Executor:
    """Accepts each attempt once and runs it at the endpoint.

    Attributes:
        table: the accepted attempts.
        counts: counters for the metrics and the dump.
        leaving_at: when the sidecar stopped accepting new work, in monotonic
            seconds; None while it accepts new work.
    """

    def __init__(
        self,
        sidecar_settings: settings.SidecarSettings,
        endpoint: endpoints.Endpoint,
        monitor: monitors.EndpointMonitor,
        queue: attempt_queues.AttemptQueue,
        holder: configuration_holder.ConfigurationHolder,
        peer_set: peers.PeerSet,
    ):
        self._endpoint_name = sidecar_settings.endpoint
        self._data_centre = sidecar_settings.common.data_centre
        self._concurrency_limit = sidecar_settings.concurrency_limit
        self._endpoint = endpoint
        self._monitor = monitor
        self._queue = queue
        self._holder = holder
        self._peers = peer_set
        self.table = attempts.AttemptTable()
        self.counts = answer_reader.AttemptCounts()
        # The crashes of this endpoint: the monotonic time, in seconds, and the
        # notice of each.
        self._crashes: collections.deque[tuple[float, messages.CrashNotice]] = (
            collections.deque(maxlen=CRASH_NOTICES_LIMIT)
        )
        self.leaving_at: float | None = None
        self._violations = curio.Queue()

    async def accept(
        self, handover: messages.Handover, peer: peers.Peer
    ) -> None:
        """Runs a new attempt; attaches the peer to one accepted before."""
        existing = self.table.find(handover.attempt)
        if existing is not None:
            await self._reattach(existing, peer)
            return
        now = time.monotonic()
        if not self.table.has_capacity():
            refusal = attempts.Attempt(handover, peer, now).build_refusal(
                "not_run", "overloaded", "too many attempts are remembered"
            )
            await peer.post(refusal)
            return
        attempt = self.table.add(handover, peer, now)
        self.counts.accepted += 1
        attempt.task = await curio.spawn(self._run, attempt, daemon=True)

    async def cancel(self, attempt_id: str) -> None:
        """Cancels an attempt unless it is a running, unrepeatable call."""
        attempt = self.table.find(attempt_id)
        if attempt is not None:
            await self._cancel(attempt, "cancelled")

    async def detach(self, peer: peers.Peer) -> None:
        """Detaches a disconnected peer's attempts from it."""
        now = time.monotonic()
        for attempt in self.table.list_by_peer(peer):
            attempt.peer = None
            attempt.detached_at = now

    async def cancel_recalled(self) -> None:
        """Cancels the waiting and running attempts of recalled batches."""
        for attempt in self.table.list_active():
            if self._holder.is_recalled(attempt.handover.batch):
                await self._cancel(attempt, "recalled")

    async def run_periodic_work(self, now: float) -> None:
        """Runs the periodic work on the attempts.

        Drops queued attempts past their deadline, starts queued attempts,
        cancels attempts whose entry did not reconnect within
        REATTACH_SECONDS, and deletes the records of old attempts.
        """
        await self._drop_expired(now)
        await self._start_next(now)
        for attempt in self.table.list_active():
            if attempt.detached_at is None:
                continue
            if now - attempt.detached_at > REATTACH_SECONDS:
                await self._cancel(attempt, "cancelled")
        self.table.delete_expired(now)

    async def wait_until_idle(self) -> None:
        """Waits until no attempt is waiting or running.

        Then waits up to FETCH_WAIT_SECONDS for disconnected entries to fetch
        the outcomes of calls that may not be repeated.
        """
        for attempt in self.table.list_active():
            await attempt.ended.wait()
        async with curio.ignore_after(FETCH_WAIT_SECONDS):
            while self.table.has_undelivered_outcome():
                await curio.sleep(FETCH_POLL_SECONDS)

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
        attempt.timeout_reported = False

    async def _cancel(self, attempt: attempts.Attempt, reason: str) -> None:
        if attempt.phase == "ended" or attempt.cancel_reason:
            return
        if attempt.phase == "running" and not attempt.handover.repeatable:
            # The call's effects cannot be undone, and cancelling it would
            # leave its outcome unknown.
            return
        attempt.cancel_reason = reason
        # If the task has not begun, the cancellation is raised at its first
        # blocking operation.
        await attempt.task.cancel(blocking=False)

    async def _run(self, attempt: attempts.Attempt) -> None:
        try:
            await self._run_to_ending(attempt)
        except errors.InvariantError as error:
            await self._violations.put(error)

    async def _run_to_ending(self, attempt: attempts.Attempt) -> None:
        try:
            ending = await self._queue_and_call(attempt)
        except errors.InvariantError:
            raise
        except curio.TaskCancelled:
            ending = self._build_early_ending(
                attempt, attempt.cancel_reason, ""
            )
        except Exception as error:
            logs.log_failure("attempt_failed", attempt=attempt.handover.attempt)
            ending = self._build_early_ending(
                attempt, "endpoint_failed", repr(error)
            )
        await self._finish(attempt, ending)

    def _build_early_ending(
        self, attempt: attempts.Attempt, reason: str, detail: str
    ) -> messages.Refusal:
        if attempt.phase == "waiting":
            return attempt.build_refusal("not_run", reason, detail)
        return attempt.build_failure_refusal(reason, detail)

    async def _finish(
        self, attempt: attempts.Attempt, ending: attempts.Ending
    ) -> None:
        _check_ending(attempt, ending)
        peer = attempt.peer
        self.table.record_ending(attempt, ending)
        if isinstance(ending, messages.Refusal):
            self.counts.count_refusal(ending)
            metrics.REFUSALS.labels(
                stage=ending.stage, reason=ending.reason
            ).inc()
        else:
            self.counts.completed += 1
        if peer is not None and not attempt.timeout_reported:
            attempt.delivered = await peer.post(ending)
        await attempt.ended.set()

    async def _queue_and_call(
        self, attempt: attempts.Attempt
    ) -> attempts.Ending:
        refusal = self._find_refusal(
            handover_checks.check_new_handover, attempt
        )
        if refusal is not None:
            return refusal
        async with self._holding_slot(attempt):
            refusal = await self._wait_to_start(attempt)
            if refusal is None:
                refusal = self._find_refusal(
                    handover_checks.check_before_start, attempt
                )
            if refusal is not None:
                return refusal
            return await self._call(attempt)

    def _find_refusal(
        self,
        check: Callable[..., handover_checks.HandoverRefusal | None],
        attempt: attempts.Attempt,
    ) -> messages.Refusal | None:
        context = handover_checks.HandoverContext(
            endpoint=self._endpoint_name,
            data_centre=self._data_centre,
            leaving=self.leaving_at is not None,
            healthy=self._monitor.healthy,
            batches=self._monitor.batches,
        )
        refusal = check(
            attempt.handover,
            attempt.deadline_at,
            context,
            self._holder,
            time.monotonic(),
        )
        if refusal is None:
            return None
        return attempt.build_refusal("not_run", *refusal)

    @contextlib.asynccontextmanager
    async def _holding_slot(
        self, attempt: attempts.Attempt
    ) -> AsyncIterator[None]:
        """Releases the attempt's queue position or slot after the block."""
        try:
            yield
        finally:
            now = time.monotonic()
            self._queue.cancel(attempt.handover.attempt)
            self._queue.record_end(
                attempt.handover.attempt, now, attempt.service_seconds
            )
            await self._start_next(now)

    async def _wait_to_start(
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
        if isinstance(offered, attempt_queues.Refused):
            return attempt.build_refusal(
                "not_run",
                offered.reason,
                "the queue",
                offered.retry_after_ms,
            )
        await self._drop_expired(now)
        await self._start_next(now)
        await attempt.ready_to_start.wait()
        if attempt.queue_refusal is None:
            return None
        return attempt.build_refusal(
            "not_run",
            attempt.queue_refusal.reason,
            "dropped from the queue",
            attempt.queue_refusal.retry_after_ms,
        )

    async def _start_next(self, now: float) -> None:
        while (attempt_id := self._queue.start_next(now)) is not None:
            await self.table.find(attempt_id).ready_to_start.set()

    async def _drop_expired(self, now: float) -> None:
        for dropped in self._queue.collect_dropped(now):
            attempt = self.table.find(dropped.attempt)
            attempt.queue_refusal = dropped
            await attempt.ready_to_start.set()

    async def _call(self, attempt: attempts.Attempt) -> attempts.Ending:
        self._check_start_invariants(attempt)
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
            return attempt.build_failure_refusal(
                "late", "its time ran out", self._read_busy_ms(attempt)
            )

    def _check_start_invariants(self, attempt: attempts.Attempt) -> None:
        attempt_id = attempt.handover.attempt
        invariants.check(
            ATTEMPT_RUNS_ONCE, attempt.phase == "waiting", attempt=attempt_id
        )
        invariants.check(
            invariants.LEAVING_GETS_NO_WORK,
            self.leaving_at is None or attempt.accepted_at <= self.leaving_at,
            attempt=attempt_id,
        )
        invariants.check(
            RUNNING_WITHIN_LIMIT,
            len(self.table.list_running()) < self._concurrency_limit,
            attempt=attempt_id,
        )

    async def _call_once(self, attempt: attempts.Attempt) -> attempts.Ending:
        """Runs a call that may not be repeated, if needed past its deadline.

        At the deadline the entry receives a refusal with the outcome
        `unknown`. The actual outcome is kept and answers a later handover of
        the same attempt.
        """
        remaining = attempt.deadline_at - attempt.started_at
        reporter = await curio.spawn(
            self._report_timeout, attempt, remaining, daemon=True
        )
        try:
            async with curio.timeout_after(remaining + OUTCOME_WAIT_SECONDS):
                return await self._read_answer(attempt)
        except curio.TaskTimeout:
            return attempt.build_failure_refusal("late", "no outcome has come")
        finally:
            await reporter.cancel()

    async def _report_timeout(
        self, attempt: attempts.Attempt, seconds: float
    ) -> None:
        await curio.sleep(seconds)
        if attempt.peer is not None:
            attempt.timeout_reported = True
            attempt.delivered = await attempt.peer.post(
                attempt.build_failure_refusal("late", "its time ran out")
            )

    async def _read_answer(self, attempt: attempts.Attempt) -> attempts.Ending:
        reader = answer_reader.AnswerReader(attempt, self._holder, self.counts)
        try:
            items = self._endpoint.run(
                answer_reader.build_call(attempt.handover),
                functools.partial(self._learn_incarnation, attempt),
            )
            async with contextlib.aclosing(items):
                ending = await reader.read(items)
        finally:
            if not reader.is_finished:
                # The cancel request needs a task of its own, as the current
                # task may have been cancelled.
                await curio.spawn(
                    self._endpoint.cancel,
                    attempt.handover.attempt,
                    daemon=True,
                )
        if isinstance(ending, endpoints.Failed):
            return await self._classify_failure(attempt, ending)
        if isinstance(ending, messages.Result):
            attempt.service_seconds = time.monotonic() - attempt.started_at
        return ending

    async def _learn_incarnation(self, attempt: attempts.Attempt) -> None:
        attempt.incarnation = await self._monitor.learn_incarnation()

    async def _classify_failure(
        self, attempt: attempts.Attempt, failed: endpoints.Failed
    ) -> messages.Refusal:
        if failed.phase == "nothing_sent":
            self._monitor.mark_unreachable(failed.detail)
        if failed.phase in endpoints.NOT_RUN_PHASES:
            attempt.known_not_run = True
            return attempt.build_refusal(
                "not_run",
                _NOT_RUN_REASONS[failed.phase],
                failed.detail,
                failed.retry_after_ms or DEFAULT_RETRY_AFTER_MS,
            )
        busy_ms = self._read_busy_ms(attempt)
        if failed.phase == "failed":
            return attempt.build_failure_refusal(
                "endpoint_failed", failed.detail, busy_ms
            )
        if not await self._monitor.has_crashed(attempt.incarnation):
            return attempt.build_failure_refusal(
                "endpoint_failed", failed.detail, busy_ms
            )
        self.counts.crashes += 1
        notice = messages.CrashNotice(
            attempt.handover.fingerprint, attempt.handover.attempt
        )
        self._crashes.append((time.monotonic(), notice))
        await self._peers.post_to_all(notice)
        return attempt.build_failure_refusal("crashed", failed.detail, busy_ms)

    def list_crash_notices(self, now: float) -> list[messages.CrashNotice]:
        """Returns this endpoint's crash notices of the quarantine window.

        The oldest notice comes first.
        """
        oldest = now - quarantine.WINDOW_SECONDS
        return [
            notice
            for crashed_at, notice in self._crashes
            if crashed_at > oldest
        ]

    def _read_busy_ms(self, attempt: attempts.Attempt) -> float:
        return 1000 * (time.monotonic() - attempt.started_at)


# The refusal reason for each failure phase in which the call did not run.
_NOT_RUN_REASONS = {
    "nothing_sent": "unreachable",
    "refused": "endpoint_refused",
    "not_loaded": "not_loaded",
}


def _check_ending(attempt: attempts.Attempt, ending: attempts.Ending) -> None:
    attempt_id = attempt.handover.attempt
    invariants.check(
        ATTEMPT_ENDS_ONCE, attempt.ending is None, attempt=attempt_id
    )
    if isinstance(ending, messages.Refusal) and ending.outcome == "not_run":
        invariants.check(
            invariants.NOT_RUN_IS_TRUE,
            attempt.phase == "waiting" or attempt.known_not_run,
            attempt=attempt_id,
        )
