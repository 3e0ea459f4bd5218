"""How old what a process knows is, and what it may still be used for.

All times are of a clock that counts while the machine is suspended.
"""

# What a watch may miss before the store says so, and the way of a call, in
# seconds.
MARGIN_SECONDS = 1.2


class Freshness:
    """When what is known of one kind of object was surely the newest.

    Attributes:
        limit_seconds: how soon a change must be heeded.
        confirmed_at: the store has answered a call that began then.
    """

    def __init__(self, limit_seconds: float):
        self.limit_seconds = limit_seconds
        self.confirmed_at: float | None = None

    def confirm(self, began_at: float) -> None:
        """Takes note of an answer to a call that began at that time."""
        if self.confirmed_at is None or began_at > self.confirmed_at:
            self.confirmed_at = began_at

    def read_age(self, now: float) -> float:
        """Returns the age in seconds; infinite if nothing is known."""
        if self.confirmed_at is None:
            return float("inf")
        return now - self.confirmed_at

    def is_usable(self, now: float) -> bool:
        """Tells whether decisions that may not be outdated can rest on it."""
        return self.read_age(now) < self.limit_seconds - MARGIN_SECONDS
