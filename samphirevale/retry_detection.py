"""Detects requests that are retried by the caller after a refusal.

A caller states how long it will still wait. Callers of one route start with
about the same wait, so a request with a much shorter wait has been refused
before. It can no longer be answered within its target time.
"""

# A request whose wait is below this share of the route's longest wait is
# considered a retry.
RETRY_WAIT_SHARE = 0.8

# The share of the difference to a shorter wait by which each request lowers the
# longest wait.
DECAY = 0.01


class WaitHistory:
    """The longest recent wait of each route."""

    def __init__(self):
        self._longest: dict[str, float] = {}

    def record_wait(self, route: str, wait_seconds: float) -> bool:
        """Records a request's wait; returns whether it is a retry."""
        longest = self._longest.get(route, 0.0)
        if wait_seconds < longest:
            wait = longest - (longest - wait_seconds) * DECAY
        else:
            wait = wait_seconds
        self._longest[route] = wait
        return wait_seconds < longest * RETRY_WAIT_SHARE
