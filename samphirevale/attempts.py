"""The attempts that a sidecar has accepted, each once, and their endings.

An attempt's id is kept after its ending, so that the same attempt handed
over again (after a cut connection) is answered from what is kept and never
run a second time.
"""

from typing import Any

import curio

from samphirevale import messages

# How long an ending is kept past the attempt's deadline, in seconds. A
# hand-over after the deadline is refused as late, known or not.
KEEP_SECONDS = 30.0

# Interval between looks for attempts to forget, in seconds.
FORGET_SECONDS = 1.0

# The most endings that are kept whole; of older ones only the id is kept.
ENDINGS_LIMIT = 1024

# The most attempts whose ids are kept.
ATTEMPTS_LIMIT = 65536

Ending = messages.Result | messages.Refusal


class Attempt:
    """One accepted attempt.

    Attributes:
        handover: what was handed over.
        accepted_at: when, in monotonic seconds.
        deadline_at: when its answer is late, in monotonic seconds.
        phase: `waiting`, `running` (handed to the endpoint) or `ended`.
        peer: the connected entry that waits for it, or None.
        detached_at: since when no entry waits for it.
        ending: what it ended with; None while it has not.
        reported: a final answer has gone out already.
        delivered: its ending has been queued to an entry.
        chunks_missed: some chunks found no entry connected.
        started_at: when the endpoint was handed it, in monotonic seconds.
        turn: set when the queue lets it start.
        dropped: the refusal of the queue, where it dropped the attempt.
        endpoint_ran_nothing: the endpoint was handed it and certainly
            refused it.
        service_seconds: the time of a completed call; None otherwise.
        ended: set once it has ended.
        cancel_reason: why it is being cancelled; empty if it is not.
        task: the task that runs it.
    """

    def __init__(
        self, handover: messages.Handover, peer: Any, accepted_at: float
    ):
        self.handover = handover
        self.accepted_at = accepted_at
        self.deadline_at = accepted_at + handover.remaining_ms / 1000
        self.phase = "waiting"
        self.started_at = 0.0
        self.peer = peer
        self.detached_at: float | None = None
        self.ending: Ending | None = None
        self.reported = False
        self.delivered = False
        self.chunks_missed = False
        self.turn = curio.Event()
        self.dropped: Any = None
        self.endpoint_ran_nothing = False
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

    def refuse_lost(
        self, reason: str, detail: str = "", busy_ms: float = 0.0
    ) -> messages.Refusal:
        """Returns the refusal of an attempt that the endpoint was handed.

        Whether a call that may not be repeated has run is not known then.
        """
        outcome = "failed" if self.handover.repeatable else "unknown"
        return self.build_refusal(outcome, reason, detail, busy_ms=busy_ms)


class AttemptTable:
    """The accepted attempts by id."""

    def __init__(self):
        self._attempts: dict[str, Attempt] = {}
        self._active: dict[str, Attempt] = {}
        self._kept: list[Attempt] = []
        self._forgot_at = float("-inf")

    def __len__(self) -> int:
        """Returns how many ids are held."""
        return len(self._attempts)

    def find(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt, or None if it was never accepted."""
        return self._attempts.get(attempt_id)

    def has_room(self) -> bool:
        """Tells whether one more id can be kept."""
        return len(self._attempts) < ATTEMPTS_LIMIT

    def add(
        self, handover: messages.Handover, peer: Any, now: float
    ) -> Attempt:
        """Accepts an attempt whose id is not held yet."""
        attempt = Attempt(handover, peer, now)
        self._attempts[handover.attempt] = attempt
        self._active[handover.attempt] = attempt
        return attempt

    def list_active(self) -> list[Attempt]:
        """Returns the attempts that have not ended, oldest first."""
        return list(self._active.values())

    def list_running(self) -> list[Attempt]:
        """Returns the attempts that the endpoint has been handed."""
        return [
            attempt
            for attempt in self._active.values()
            if attempt.phase == "running"
        ]

    def has_undelivered(self) -> bool:
        """Tells whether an outcome that may not be lost waits for an entry."""
        return any(
            not attempt.delivered and not attempt.handover.repeatable
            for attempt in self._kept
        )

    def list_of_peer(self, peer: Any) -> list[Attempt]:
        """Returns the attempts that have not ended of a connected entry."""
        return [item for item in self.list_active() if item.peer is peer]

    def record_ending(self, attempt: Attempt, ending: Ending) -> None:
        """Keeps the ending of an attempt."""
        attempt.phase = "ended"
        del self._active[attempt.handover.attempt]
        attempt.ending = ending
        attempt.peer = None
        # The input is no longer needed, and may be large.
        attempt.handover = attempt.handover._replace(payload=None)
        self._kept.append(attempt)
        if len(self._kept) > ENDINGS_LIMIT:
            self._shorten(self._kept.pop(0))

    def forget_old(self, now: float) -> None:
        """Forgets the attempts that can no longer be handed over again."""
        if now - self._forgot_at < FORGET_SECONDS:
            return
        self._forgot_at = now
        old = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if attempt.phase == "ended"
            and now > attempt.deadline_at + KEEP_SECONDS
        ]
        for attempt_id in old:
            del self._attempts[attempt_id]
        self._kept = [
            attempt
            for attempt in self._kept
            if attempt.handover.attempt in self._attempts
        ]

    def _shorten(self, attempt: Attempt) -> None:
        if isinstance(attempt.ending, messages.Result):
            attempt.ending = attempt.refuse_lost(
                "duplicate", "it has run; its result is no longer kept"
            )
