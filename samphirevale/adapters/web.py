"""The requests, responses, limits and reports of an HTTP server."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from samphirevale.adapters import listener

# Maximum number of bytes per socket read.
READ_BYTES = 65536


class Limits(NamedTuple):
    """Limits of a server.

    Attributes:
        head_bytes: maximum size of a request head.
        body_bytes: maximum size of a request body.
        all_bodies_bytes: maximum total size of the bodies of all requests in
            progress.
        connections: maximum number of concurrent connections.
        head_seconds: maximum time from a head's first byte to its last.
        idle_seconds: maximum wait for the next request, and for its body.
        write_seconds: timeout of a socket write.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    all_bodies_bytes: int = 64 * 1024 * 1024
    connections: int = 1000
    head_seconds: float = 10.0
    idle_seconds: float = 30.0
    write_seconds: float = 10.0


DEFAULT_LIMITS = Limits()


RawHeaders = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A request as passed to a handler.

    Attributes:
        method: the method, such as `GET`.
        path: the decoded path.
        query: the decoded query parameters; a repeated name has its last
            value.
        headers: the header values by lower-case name.
        body: the complete body.
        target: path and query as received, still encoded.
        raw_headers: header names and values as received, in order.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = "/"
    raw_headers: RawHeaders = ()


class Response(NamedTuple):
    """A response with a complete body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class StreamedResponse(NamedTuple):
    """A response whose body is sent in chunks as they become available."""

    status: int
    chunks: AsyncIterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response | StreamedResponse]]


class ClosedConnection(NamedTuple):
    """The end of a connection.

    Attributes:
        reason: one of the constants below.
        unread_bytes: number of bytes received that belong to no answered
            request, those of a request read in part included.
        requests: number of requests that were read whole.
        answered: number of requests whose answer was sent whole.
        idle_seconds: the idle timeout that was in force for the connection.
        address: the caller's address.
        error: the unexpected error; empty if there was none.
    """

    reason: str
    unread_bytes: int
    requests: int
    answered: int
    idle_seconds: float
    address: str
    error: str = ""


# Reasons why a connection ends. The expected ones are no failures if all
# requests have been answered.
CALLER_LEFT = "caller_left"
IDLE = "idle"
HEAD_TIMEOUT = "head_timeout"
BODY_TIMEOUT = "body_timeout"
WRITE_TIMEOUT = "write_timeout"
CONNECTION_LIMIT = "connection_limit"
HEAD_REFUSED = "head_refused"
BODY_REFUSED = "body_refused"
LAST_ANSWER = "last_answer"
DRAINING = "draining"
ANSWER_BROKEN = "answer_broken"
CANCELLED = "cancelled"
REFUSED_AT_END = "refused_at_end"
ANSWERED_AT_END = "answered_at_end"
UNEXPECTED_ERROR = "unexpected_error"

EXPECTED_REASONS = frozenset(
    {CALLER_LEFT, IDLE, LAST_ANSWER, DRAINING, CANCELLED}
)


def build_json(status: int, value: Any, *headers: tuple[str, str]) -> Response:
    """Returns a response with `value` as its JSON body."""
    body = json.dumps(value).encode()
    return Response(
        status, body, (("Content-Type", "application/json"), *headers)
    )


class ServerState:
    """State shared between a server and the task that stops it.

    Attributes:
        draining: if true, each connection closes after its next response.
        busy: number of requests read but not yet fully answered.
        body_bytes: total size of the bodies of all requests in progress.
        limits: the limits from the next request on; None to keep those that
            the server was started with. A raised idle timeout also holds for
            connections that are idle.
        gate: bounds the connections that are open at once.
        report_closed: called at the end of each connection.
    """

    def __init__(
        self,
        report_closed: Callable[[ClosedConnection], None] = lambda _: None,
    ):
        self.draining = False
        self.busy = 0
        self.body_bytes = 0
        self.limits: Limits | None = None
        self.gate = listener.Gate()
        self.report_closed = report_closed
