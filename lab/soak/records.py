"""What callers and endpoints have seen of a play.

All times are seconds of the wall clock, as in the entries' log lines.
"""

from typing import NamedTuple

# How a leg of a stream, or a plain request, ended.
COMPLETE = "complete"
BROKEN = "broken"
LEFT = "left"
REFUSED = "refused"
SILENT = "silent"
UNREACHABLE = "unreachable"

# The statuses that say that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


class Leg(NamedTuple):
    """One request of a caller.

    Attributes:
        stream: the stream that the request is of; for a plain request its
            attempt.
        attempt: the id of the request.
        path: its path.
        entry: the name of the entry.
        sent_at: when it was sent.
        ended_at: when its answer or its connection ended.
        status: the status; 0 without an answer.
        last_event: the last event that the caller had before.
        events: the numbers and versions of the events that came, in order.
        end: one of the constants above.
        text: the answer's body if it is no stream, or what went wrong.
        kept: whether it was sent on a connection that was open.
    """

    stream: str
    attempt: str
    path: str
    entry: str
    sent_at: float
    ended_at: float
    status: int
    last_event: int
    events: tuple[tuple[int, str], ...]
    end: str
    text: str
    kept: bool


class Start(NamedTuple):
    """One start of an endpoint.

    Attributes:
        number: identifies it among all starts of a host.
        name: the endpoint's id.
        born: identifies it among the starts under the id.
        version: the version of its software.
        began_at: when it began to serve.
        registered_at: when the store had its registration; None before.
        ended_at: when it ended; None if it has not.
    """

    number: int
    name: str
    born: int
    version: str
    began_at: float
    registered_at: float | None
    ended_at: float | None


class Run(NamedTuple):
    """A request that an endpoint began to run.

    Attributes:
        attempt: the id of the caller's attempt.
        path: the path of the request.
        at: when it arrived.
        last_event: the last event that the caller has, as it was told.
        start: the number of the endpoint's start.
    """

    attempt: str
    path: str
    at: float
    last_event: int
    start: int
