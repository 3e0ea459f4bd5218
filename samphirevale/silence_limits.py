"""Decides how long a silent endpoint is waited for."""

from samphirevale import routes

# The silence before a whole answer or the first event of a stream, as a factor
# of the route's target time, after which the request is sent to another
# endpoint if it may run again.
ANSWER_TIMEOUT_FACTOR = 2.0

# The silence after which a stream may go on at another endpoint, in seconds. An
# endpoint that works may be silent for about a second.
SILENCE_SECONDS = 2.0


def compute_answer_timeout(
    route: routes.Route, runs: int, remaining: float
) -> float:
    """Returns the wait for a whole answer or the first event.

    It is shorter than the remaining time only if the request may run again
    after this send.

    Args:
        route: the route of the request.
        runs: the number of sends that an endpoint may have executed.
        remaining: the time until the request's deadline, in seconds.
    """
    if not route.may_run_again():
        return remaining
    if runs >= route.attempts_limit:
        return remaining
    return min(remaining, ANSWER_TIMEOUT_FACTOR * route.target_seconds)


def compute_event_timeout(
    route: routes.Route, runs: int, remaining: float, begun: bool
) -> float:
    """Returns the timeout for the next event of a stream, in seconds.

    Args:
        route: the route of the request.
        runs: the number of sends that an endpoint may have executed.
        remaining: the time until the request's deadline, in seconds.
        begun: whether the present endpoint has sent an event.
    """
    if not route.resumable or runs >= route.attempts_limit:
        return remaining
    if begun:
        return min(remaining, SILENCE_SECONDS)
    first = ANSWER_TIMEOUT_FACTOR * route.target_seconds
    return min(remaining, max(first, SILENCE_SECONDS))
