"""Tracks which attempts of a request may have run.

Refusals tell the caller whether anything ran, so they depend on the attempts
that were handed over.
"""

from typing import NoReturn

from samphirevale import callers, errors

# Retry delay told to callers if the cause of the refusal does not give one.
DEFAULT_RETRY_SECONDS = 1.0


class HandoverCounts:
    """Counts the handed-over attempts of a request that may have run."""

    def __init__(self):
        self._handed_repeatable = 0
        self._handed_unrepeatable = 0

    def record_handover(self, repeatable: bool) -> None:
        """Records that an attempt is about to be handed over."""
        if repeatable:
            self._handed_repeatable += 1
        else:
            self._handed_unrepeatable += 1

    def record_not_run(self, repeatable: bool) -> None:
        """Records that a handed-over attempt certainly did not run."""
        if repeatable:
            self._handed_repeatable -= 1
        else:
            self._handed_unrepeatable -= 1

    def get_outcome(self) -> str:
        """Returns the outcome that a refusal must report now."""
        if self._handed_unrepeatable:
            return "unknown"
        return "not_completed" if self._handed_repeatable else "not_run"

    def build_refusal(
        self, reason: str, detail: str, retry_after_seconds: float
    ) -> callers.Refusal:
        """Returns a refusal with the present outcome."""
        outcome = self.get_outcome()
        if reason == "late":
            status = 504
        else:
            status = 502 if outcome == "unknown" else 503
        return callers.Refusal(
            outcome, status, reason, detail, retry_after_seconds
        )

    def refuse(
        self, reason: str, detail: str, retry_after_seconds: float
    ) -> NoReturn:
        """Ends the request by a refusal with the present outcome.

        Raises:
            errors.RequestRefusedError: always.
        """
        raise errors.RequestRefusedError(
            self.build_refusal(reason, detail, retry_after_seconds)
        )
