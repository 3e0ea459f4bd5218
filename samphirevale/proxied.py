"""The types of a proxied request: its own bytes go through unchanged."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from samphirevale.adapters import web


class PromptPart(NamedTuple):
    """A part of a prompt, which other requests may share.

    Attributes:
        name: equal parts have equal names.
        tokens: its length.
    """

    name: str
    tokens: int


class ProxiedRequest(NamedTuple):
    """A caller's request, with what it says of itself.

    Attributes:
        attempt: the id of this attempt of the caller.
        method: such as `POST`.
        target: path and query as they came.
        path: the path alone, as it came.
        host: the `Host` header as it came.
        headers: those that are passed on.
        body: the whole body.
        key: names the account; empty if none came.
        received_at: when it had been read.
        wait_seconds: how long the caller waits from then on.
        prompt: the parts of its prompt in order; the last one is its own.
        piece_counts: how many pieces each stage has; 0 leaves a stage out.
        piece_key: what the pieces of the first stages are made of.
        last_event: the last event that the caller has; None if none.
    """

    attempt: str
    method: str
    target: str
    path: str
    host: str
    headers: web.RawHeaders
    body: bytes
    key: str
    received_at: float
    wait_seconds: float
    prompt: tuple[PromptPart, ...]
    piece_counts: tuple[int, ...]
    piece_key: str
    last_event: int | None


class Send(NamedTuple):
    """What the system sets on a request that it hands to an endpoint.

    Attributes:
        account: the account's name; empty for an anonymous route.
        wait_seconds: how long its answer is waited for.
        last_event: the event after which a stream goes on; None for all.
        results: of the last stages; empty if the route has none.
    """

    account: str
    wait_seconds: float
    last_event: int | None
    results: tuple[str, ...]


class WholeAnswer(NamedTuple):
    """An endpoint's answer with its whole body."""

    status: int
    headers: web.RawHeaders
    body: bytes


class StreamedAnswer(NamedTuple):
    """An endpoint's event stream, after its first event."""

    status: int
    headers: web.RawHeaders
    chunks: AsyncIterator[bytes]


class Refusal(NamedTuple):
    """An answer of our own, for a request that gets none of an endpoint.

    Attributes:
        status: HTTP's; 503 is sent only if it has not run and never will.
        reason: in words joined by `_`.
        retry_seconds: when to come back; None where that is of no use.
    """

    status: int
    reason: str
    retry_seconds: float | None = None


Answer = WholeAnswer | StreamedAnswer | Refusal
