"""Remembers which endpoints leave, ask for a pause or name a limit.

Endpoints say so in their answers, often before the store does. A notice holds
for one start of an endpoint, so that it ends with a restart. It goes before
what the store lists: an older copy of the store may list an endpoint again
that has long been leaving.
"""

from collections.abc import Callable

from samphirevale import catalogue, endpoint_limits
from samphirevale.availability import warm_ups

# Longer pauses are shortened to this, in seconds. No queue takes so long to
# become shorter, so a longer pause is a mistake of the endpoint.
PAUSE_SECONDS_LIMIT = 60.0

# How long an endpoint that leaves is remembered after its registration has
# ended, in seconds.
LEAVING_SECONDS = 60.0


class EndpointNotices:
    """The notices of all endpoints, to this entry and to others.

    A pause that an endpoint has asked of this entry is binding. One that it
    has asked of another entry only shows that it is full. The wait for the next
    call to an endpoint that names a limit or is cold is a pause as well.

    Attributes:
        limits: the limits that endpoints name.
    """

    def __init__(self, me: str, cold: warm_ups.WarmUps):
        """Initializes notices without any.

        Args:
            me: the name of this entry.
            cold: the endpoints that are cold.
        """
        self.limits = endpoint_limits.EndpointLimits(me)
        self._warm_ups = cold
        # When each endpoint that leaves was last known to be registered.
        self._leaving: dict[catalogue.EndpointStart, float] = {}
        # The ends of the pauses that were asked of this entry and of others.
        self._paused_until: dict[catalogue.EndpointStart, float] = {}
        self._paused_elsewhere_until: dict[catalogue.EndpointStart, float] = {}

    def record_leaving(
        self, start: catalogue.EndpointStart, now: float
    ) -> bool:
        """Records that an endpoint leaves; returns whether this is new."""
        if start in self._leaving:
            return False
        self._leaving[start] = now
        return True

    def record_pause(
        self, start: catalogue.EndpointStart, seconds: float, now: float
    ) -> bool:
        """Records a pause that an endpoint has asked of this entry.

        Returns:
            Whether a pause begins; False if one is only prolonged.
        """
        return _prolong(self._paused_until, start, seconds, now)

    def record_pause_elsewhere(
        self, start: catalogue.EndpointStart, seconds: float, now: float
    ) -> None:
        """Records a pause that an endpoint has asked of another entry."""
        _prolong(self._paused_elsewhere_until, start, seconds, now)

    def is_available(self, endpoint: catalogue.Endpoint, now: float) -> bool:
        """Returns whether this entry may send something to an endpoint."""
        return (
            catalogue.get_start(endpoint) not in self._leaving
            and self.compute_pause(endpoint, now) <= 0
        )

    def list_available(
        self, endpoints: list[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints that this entry may send something to."""
        if not (
            self._leaving or self._paused_until or self.limits or self._warm_ups
        ):
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.is_available(endpoint, now)
        ]

    def exclude_paused_elsewhere(
        self, endpoints: list[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        """Returns the endpoints that do not pause for another entry."""
        if not self._paused_elsewhere_until:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.compute_pause_elsewhere(endpoint, now) <= 0
        ]

    def is_leaving(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether an endpoint has said that it leaves."""
        return catalogue.get_start(endpoint) in self._leaving

    def compute_pause(self, endpoint: catalogue.Endpoint, now: float) -> float:
        """Returns the rest of a pause asked of this entry, in seconds."""
        start = catalogue.get_start(endpoint)
        pause = self._paused_until.get(start, now) - now
        return max(
            pause,
            self.limits.compute_wait(start, now),
            self._warm_ups.compute_wait(endpoint, now),
            0.0,
        )

    def compute_pause_elsewhere(
        self, endpoint: catalogue.Endpoint, now: float
    ) -> float:
        """Returns the rest of a pause asked of other entries, in seconds."""
        until = self._paused_elsewhere_until.get(
            catalogue.get_start(endpoint), now
        )
        return max(until - now, 0.0)

    def list_leaving(self) -> list[catalogue.EndpointStart]:
        """Returns the endpoints that leave."""
        return list(self._leaving)

    def list_pauses(
        self, now: float
    ) -> list[tuple[catalogue.EndpointStart, float]]:
        """Returns the pauses asked of this entry and their rest in seconds."""
        return [
            (start, until - now)
            for start, until in self._paused_until.items()
            if until > now
        ]

    def remove_expired(
        self,
        is_registered: Callable[[catalogue.EndpointStart], bool],
        now: float,
    ) -> None:
        """Removes pauses that are over and endpoints that have long gone."""
        self.limits.remove_expired(now)
        self._warm_ups.remove_expired(now)
        for ends in (self._paused_until, self._paused_elsewhere_until):
            for start in [start for start, end in ends.items() if end <= now]:
                del ends[start]
        for start, registered_at in list(self._leaving.items()):
            if is_registered(start):
                self._leaving[start] = now
            elif registered_at + LEAVING_SECONDS <= now:
                del self._leaving[start]


def _prolong(
    ends: dict[catalogue.EndpointStart, float],
    start: catalogue.EndpointStart,
    seconds: float,
    now: float,
) -> bool:
    """Sets the end of a pause, which is never moved to an earlier time.

    Returns:
        Whether there was no pause before.
    """
    before = ends.get(start, now)
    ends[start] = max(before, now + min(seconds, PAUSE_SECONDS_LIMIT))
    return before <= now
