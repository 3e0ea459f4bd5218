"""The attempts that a sidecar has accepted, and their endings.

An attempt's id and ending are kept after it has ended. If an entry hands the
same attempt over again after a lost connection, it receives the kept ending
and the attempt does not run a second time.
"""

from typing import Any

import curio

from samphirevale import messages

# How long an ending is kept past the attempt's deadline, in seconds. Later
# handovers of the attempt are refused as late, so it cannot run again.
RETENTION_SECONDS = 30.0

# Interval between searches for expired attempt records, in seconds.
EXPIRY_CHECK_SECONDS = 1.0

# Maximum number of endings kept with their results; a refusal replaces the
# result of an older one.
RESULTS_LIMIT = 1024

# Maximum number of attempt ids kept.
ATTEMPTS_LIMIT = 65536

Ending = messages.Result | messages.Refusal


class Attempt:
    """One accepted attempt.

    Attributes:
        handover: the handover message that created the attempt.
        accepted_at: time of acceptance, in monotonic seconds.
        deadline_at: deadline of the answer, in monotonic seconds.
        phase: `waiting`, `running` (sent to the endpoint) or `ended`.
        peer: the connected entry that waits for the answer, or None.
        detached_at: when the entry disconnected, in monotonic seconds; None
            while an entry waits for the answer.
        ending: the result or refusal; None until the attempt has ended.
        timeout_reported: whether the entry was sent a refusal at the deadline,
            while the call was still running.
        delivered: whether the ending has been queued to an entry.
        chunks_missed: whether a chunk was dropped because no entry was
            connected.
        started_at: when the call to the endpoint started, in monotonic
            seconds; 0 before.
        incarnation: the endpoint's incarnation that has the call; None if it is
            not known.
        ready_to_start: set when the queue starts or drops the attempt.
        queue_refusal: the queue's refusal if it dropped the attempt, or None.
        known_not_run: whether the call failed in a way that proves that the
            endpoint did not run it.
        service_seconds: duration of a completed call; None otherwise.
        ended: set when the attempt has ended.
        cancel_reason: reason of a cancellation; empty if there is none.
        task: the task that runs the attempt.
    """

    def __init__(
        self, handover: messages.Handover, peer: Any, accepted_at: float
    ):
        self.handover = handover
        self.accepted_at = accepted_at
        self.deadline_at = accepted_at + handover.remaining_ms / 1000
        self.phase = "waiting"
        self.started_at = 0.0
        self.incarnation: str | None = None
        self.peer = peer
        self.detached_at: float | None = None
        self.ending: Ending | None = None
        self.timeout_reported = False
        self.delivered = False
        self.chunks_missed = False
        self.ready_to_start = curio.Event()
        self.queue_refusal: Any = None
        self.known_not_run = False
        self.service_seconds: float | None = None
        self.ended = curio.Event()
        self.cancel_reason = ""
        self.task: curio.Task | None = None

    def build_refusal(
        self,
        outcome: str,
        reason: str,
        detail: str = "",
        retry_after_ms: int = 0,
        busy_ms: float = 0.0,
    ) -> messages.Refusal:
        """Returns a refusal of this attempt."""
        return messages.Refusal(
            self.handover.request,
            self.handover.stage,
            self.handover.attempt,
            outcome,
            reason,
            detail,
            retry_after_ms,
            busy_ms,
        )

    def build_failure_refusal(
        self, reason: str, detail: str = "", busy_ms: float = 0.0
    ) -> messages.Refusal:
        """Returns the refusal of an attempt that was sent to the endpoint.

        The outcome is `failed` for a repeatable call. For any other it is
        `unknown`, as the call may have run.
        """
        outcome = "failed" if self.handover.repeatable else "unknown"
        return self.build_refusal(outcome, reason, detail, busy_ms=busy_ms)


class AttemptTable:
    """The accepted attempts, indexed by id."""

    def __init__(self):
        self._attempts: dict[str, Attempt] = {}
        self._active: dict[str, Attempt] = {}
        self._recently_ended: list[Attempt] = []
        self._expiry_checked_at = float("-inf")

    def __len__(self) -> int:
        """Returns the number of attempt ids held."""
        return len(self._attempts)

    def find(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt, or None if its id is not in the table."""
        return self._attempts.get(attempt_id)

    def has_capacity(self) -> bool:
        """Returns whether one more id can be kept."""
        return len(self._attempts) < ATTEMPTS_LIMIT

    def add(
        self, handover: messages.Handover, peer: Any, now: float
    ) -> Attempt:
        """Adds an attempt; its id must not be in the table yet."""
        attempt = Attempt(handover, peer, now)
        self._attempts[handover.attempt] = attempt
        self._active[handover.attempt] = attempt
        return attempt

    def list_active(self) -> list[Attempt]:
        """Returns the attempts that have not ended, oldest first."""
        return list(self._active.values())

    def list_running(self) -> list[Attempt]:
        """Returns the attempts whose calls are in flight at the endpoint."""
        return [
            attempt
            for attempt in self._active.values()
            if attempt.phase == "running"
        ]

    def has_undelivered_outcome(self) -> bool:
        """Returns whether an ending of an unrepeatable call is undelivered."""
        return any(
            not attempt.delivered and not attempt.handover.repeatable
            for attempt in self._recently_ended
        )

    def list_by_peer(self, peer: Any) -> list[Attempt]:
        """Returns the active attempts of a connected entry."""
        return [
            attempt for attempt in self.list_active() if attempt.peer is peer
        ]

    def record_ending(self, attempt: Attempt, ending: Ending) -> None:
        """Marks an attempt as ended and stores its ending."""
        attempt.phase = "ended"
        del self._active[attempt.handover.attempt]
        attempt.ending = ending
        attempt.peer = None
        # Drops the input, which is no longer needed and may be large.
        attempt.handover = attempt.handover._replace(payload=None)
        self._recently_ended.append(attempt)
        if len(self._recently_ended) > RESULTS_LIMIT:
            self._discard_result(self._recently_ended.pop(0))

    def delete_expired(self, now: float) -> None:
        """Deletes the ended attempts whose retention time has passed."""
        if now - self._expiry_checked_at < EXPIRY_CHECK_SECONDS:
            return
        self._expiry_checked_at = now
        expired_ids = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if attempt.phase == "ended"
            and now > attempt.deadline_at + RETENTION_SECONDS
        ]
        for attempt_id in expired_ids:
            del self._attempts[attempt_id]
        self._recently_ended = [
            attempt
            for attempt in self._recently_ended
            if attempt.handover.attempt in self._attempts
        ]

    def _discard_result(self, attempt: Attempt) -> None:
        if isinstance(attempt.ending, messages.Result):
            attempt.ending = attempt.build_failure_refusal(
                "duplicate", "it has run; its result is no longer kept"
            )
