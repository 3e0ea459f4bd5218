"""Decides how long a broken stream waits for endpoints that pause."""

from typing import NamedTuple

from samphirevale import routes

# Callers abandon a stream after the longest of these gaps: GAP_SECONDS,
# TARGET_FACTOR times the route's target, and EVENT_TARGET_FACTOR times its
# target time between events.
GAP_SECONDS = 2.0
TARGET_FACTOR = 4.0
EVENT_TARGET_FACTOR = 8.0


class BrokenStream(NamedTuple):
    """A stream that has broken and may go on.

    Attributes:
        route: the route of its request.
        last_event_at: when its caller got the last event, or the request
            arrived.
        deadline_at: the time by which the request must be answered.
        resumption_seconds: the estimated time from the resumption to the next
            event.
    """

    route: routes.Route
    last_event_at: float
    deadline_at: float
    resumption_seconds: float


def may_wait(stream: BrokenStream, seconds: float, now: float) -> bool:
    """Returns whether a stream that waits still has its caller afterwards."""
    abandoned_at = stream.last_event_at + compute_patience(stream.route)
    event_at = now + seconds + stream.resumption_seconds
    return event_at <= min(abandoned_at, stream.deadline_at)


def compute_patience(route: routes.Route) -> float:
    """Returns how long callers wait for the next event, in seconds."""
    return max(
        GAP_SECONDS,
        TARGET_FACTOR * route.target_seconds,
        EVENT_TARGET_FACTOR * route.event_target_seconds,
    )
