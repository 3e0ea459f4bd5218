"""Which parts of a request endpoints were handed, for honest refusals."""

from typing import NoReturn

from samphirevale import callers, errors

# When to come back after a refusal whose cause tells nothing better.
DEFAULT_RETRY_SECONDS = 1.0


class Progress:
    """Which parts of a request endpoints were handed, for honest refusals."""

    def __init__(self):
        self._handed = 0
        self._handed_once = 0

    def note_handed(self, repeatable: bool) -> None:
        """Notes that an attempt is about to be handed over."""
        if repeatable:
            self._handed += 1
        else:
            self._handed_once += 1

    def note_not_run(self, repeatable: bool) -> None:
        """Notes that an attempt that was handed over certainly did not run."""
        if repeatable:
            self._handed -= 1
        else:
            self._handed_once -= 1

    def read_outcome(self) -> str:
        """Returns the outcome that a refusal has to tell now."""
        if self._handed_once:
            return "unknown"
        return "not_completed" if self._handed else "not_run"

    def build_refusal(
        self, reason: str, detail: str, retry_after_seconds: float
    ) -> callers.Refused:
        """Returns the refusal that is true now."""
        outcome = self.read_outcome()
        if reason == "late":
            status = 504
        else:
            status = 502 if outcome == "unknown" else 503
        return callers.Refused(
            outcome, status, reason, detail, retry_after_seconds
        )

    def refuse(
        self, reason: str, detail: str, retry_after_seconds: float
    ) -> NoReturn:
        """Ends the request with the refusal that is true now.

        Raises:
            errors.RequestRefusedError: always.
        """
        raise errors.RequestRefusedError(
            self.build_refusal(reason, detail, retry_after_seconds)
        )
