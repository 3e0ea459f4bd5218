"""Remembers which listed starts of endpoints are over.

An endpoint that is asked for its start may name another one, or be another one,
before the list of endpoints says so. It then gets nothing for which the start
matters, and is not asked for it again, until the list names another start.
"""

from collections.abc import Callable

from samphirevale import catalogue

# How long a listed start counts as over, in seconds. By then, the endpoint has
# registered its present one. Otherwise the store is down or a report was wrong,
# and the endpoint is asked once more.
ENDED_SECONDS = 2.0


class EndedStarts:
    """The starts that are over and may be listed still."""

    def __init__(self):
        """Initializes it without any."""
        self._until: dict[catalogue.EndpointStart, float] = {}

    def __bool__(self) -> bool:
        """Returns whether any start may be over."""
        return bool(self._until)

    def record(self, start: catalogue.EndpointStart, now: float) -> bool:
        """Records that a listed start is over; returns whether this is new."""
        before = self._until.get(start, now)
        self._until[start] = now + ENDED_SECONDS
        return before <= now

    def is_over(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether the listed start of an endpoint counts as over."""
        return now < self._until.get(catalogue.get_start(endpoint), now)

    def remove_expired(
        self,
        is_registered: Callable[[catalogue.EndpointStart], bool],
        now: float,
    ) -> None:
        """Removes the starts that are not listed any more or not over."""
        self._until = {
            start: until
            for start, until in self._until.items()
            if now < until and is_registered(start)
        }
