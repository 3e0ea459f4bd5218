"""Marks listed starts of endpoints for a while.

An endpoint that is asked for its start may name another one, or be another one,
before the list of endpoints says so: the listed one is over. Or it may name
none, and is then not asked beforehand for each request.
"""

from collections.abc import Callable

from samphirevale import catalogue

# How long a start is marked, in seconds. By then, an endpoint that has started
# again has registered. Otherwise the store is down or a report was wrong, and
# the endpoint is asked once more.
MARK_SECONDS = 2.0


class StartMarks:
    """The listed starts that have one kind of mark."""

    def __init__(self):
        """Initializes it without any."""
        self._until: dict[catalogue.EndpointStart, float] = {}

    def __bool__(self) -> bool:
        """Returns whether any start may be marked."""
        return bool(self._until)

    def record(self, start: catalogue.EndpointStart, now: float) -> bool:
        """Marks a listed start; returns whether it was not marked before."""
        before = self._until.get(start, now)
        self._until[start] = now + MARK_SECONDS
        return before <= now

    def is_marked(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether the listed start of an endpoint is marked."""
        return now < self._until.get(catalogue.get_start(endpoint), now)

    def remove_expired(
        self,
        is_registered: Callable[[catalogue.EndpointStart], bool],
        now: float,
    ) -> None:
        """Removes the marks of starts that are not listed, and old ones."""
        self._until = {
            start: until
            for start, until in self._until.items()
            if now < until and is_registered(start)
        }
