"""Limits how often the same finding is logged."""

from collections.abc import Hashable

# The shortest time between two lines about the same subject, in seconds.
INTERVAL_SECONDS = 10.0

# The largest number of subjects that are logged within this time.
SUBJECTS_LIMIT = 50


class LogLimiter:
    """Permits a line about a subject once in a while."""

    def __init__(self):
        # When each subject was last logged, oldest first.
        self._logged_at: dict[Hashable, float] = {}

    def permits(self, subject: Hashable, now: float) -> bool:
        """Returns whether to log a line about a subject now."""
        self._remove_expired(now)
        if subject in self._logged_at or (
            len(self._logged_at) >= SUBJECTS_LIMIT
        ):
            return False
        self._logged_at[subject] = now
        return True

    def _remove_expired(self, now: float) -> None:
        for subject, logged_at in list(self._logged_at.items()):
            if now < logged_at + INTERVAL_SECONDS:
                return
            del self._logged_at[subject]
