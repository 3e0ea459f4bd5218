"""Endpoints that entries call themselves, without a sidecar."""

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

from samphirevale import batching, catalogue, proxied
from samphirevale.adapters import web


class EndpointAnswer(Protocol):
    """An answer whose head has been read.

    Attributes:
        status: HTTP's.
        headers: those that are passed on to the caller.
        streamed: the body is an event stream.
    """

    status: int
    headers: web.RawHeaders
    streamed: bool

    def read_parts(self) -> AsyncIterator[bytes]:
        """Yields the body; raises errors.TransportError if it breaks off."""

    async def close(self) -> None:
        """Ends the exchange; the endpoint drops what it still does."""


class ItemResult(NamedTuple):
    """What became of one item of a batch.

    Attributes:
        result: names it for later stages; empty if there is none.
        reason: why there is none: `late`, `gone`, `room` or `error`.
    """

    result: str
    reason: str


class ProxyEndpoints(Protocol):
    """Calls to endpoints.

    Each raises errors.ConnectError if nothing was sent,
    errors.NotExecutedError if the endpoint says that it has not run it, and
    errors.TransportError otherwise, if it may have run.
    """

    async def send(
        self,
        endpoint: catalogue.Endpoint,
        request: proxied.ProxiedRequest,
        send: proxied.Send,
    ) -> EndpointAnswer:
        """Hands a request over; returns once the answer's head is read."""

    async def run_batch(
        self,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
        now: float,
    ) -> list[ItemResult]:
        """Makes one call with several items; returns their results."""

    async def release(
        self, endpoint: catalogue.Endpoint, results: Sequence[str]
    ) -> None:
        """Frees the room that results take."""

    async def read_room(self, endpoint: catalogue.Endpoint) -> int:
        """Returns the bytes that results may still take there."""
