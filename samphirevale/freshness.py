"""Tracks the age of copied data and whether it is recent enough to use.

A store that has returned from a copy of itself may lack its latest changes for
a grace period, so its answers do not show that nothing has changed. They only
make the safety margin usable, and so bridge most of the period.

All times are from a clock that includes time while the machine is suspended.
"""

# Safety margin, in seconds. It covers changes that a watch misses before the
# store reports it, and the duration of a call.
MARGIN_SECONDS = 1.2


class Freshness:
    """The last time at which the copy of one kind of object was current.

    Attributes:
        limit_seconds: the time within which a change must take effect.
        confirmed_at: the start of the latest call that the store answered;
            None before the first answer.
    """

    def __init__(self, limit_seconds: float):
        self.limit_seconds = limit_seconds
        self.confirmed_at: float | None = None
        # The start of the latest call, also in a grace period.
        self._latest_at: float | None = None
        self._grace_ends_at = float("-inf")
        # The start of the latest call outside a grace period.
        self._proved_at = float("-inf")

    def start_grace_period(self, ends_at: float) -> None:
        """Records that the store may lack changes until this time."""
        self._grace_ends_at = ends_at
        self._latest_at = None

    def end_grace_period(self) -> float | None:
        """Records that the store has lacked no changes since it began.

        Returns:
            The start of the latest call, which now proves that the copy was
            current then; None without one.
        """
        self._grace_ends_at = float("-inf")
        return self._latest_at

    def confirm(self, started_at: float) -> None:
        """Records the answer to a call that began at this time.

        An answer in a grace period confirms no more than that no change has
        to take effect before the limit after the last answer outside of it.
        """
        if self._latest_at is None or started_at > self._latest_at:
            self._latest_at = started_at
        if started_at >= self._grace_ends_at:
            self._proved_at = max(self._proved_at, started_at)
        else:
            started_at = min(started_at, self._proved_at + MARGIN_SECONDS)
        if self.confirmed_at is None or started_at > self.confirmed_at:
            self.confirmed_at = started_at

    def compute_age(self, now: float) -> float:
        """Returns the age in seconds; infinite before the first answer."""
        if self.confirmed_at is None:
            return float("inf")
        return now - self.confirmed_at

    def is_usable(self, now: float) -> bool:
        """Returns whether the copy is recent enough for decisions."""
        return self.compute_age(now) < self.get_usable_seconds()

    def get_usable_seconds(self) -> float:
        """Returns the age at which the copy may not be used any more."""
        return self.limit_seconds - MARGIN_SECONDS
