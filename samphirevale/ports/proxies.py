"""The port to endpoints that entries call directly, without a sidecar."""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple, Protocol

from samphirevale import batching, catalogue, proxy_requests
from samphirevale.adapters import web


class EndpointAnswer(Protocol):
    """An answer whose head has been read.

    Attributes:
        status: the HTTP status.
        headers: the headers to pass on to the caller.
        streamed: whether the body is an event stream.
        framed: whether its end is told, by a length or in chunks. Otherwise it
            ends with the connection.
    """

    status: int
    headers: web.RawHeaders
    streamed: bool
    framed: bool

    def read_parts(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body.

        After an iteration was cancelled, a further call goes on where it was.

        Raises:
            errors.TransportError: the body is incomplete.
        """

    async def close(self) -> None:
        """Ends the exchange, which cancels the work at the endpoint."""


class ItemResult(NamedTuple):
    """The outcome of one item of a batch.

    Attributes:
        result: the name of the result for later stages; empty on failure.
        reason: the reason of a failure: `late`, `gone`, `room` or `error`,
            or one of batch_dispatch for items that were not sent.
        endpoint: the endpoint that stores the result, if the owner of the
            requested one chose another; empty otherwise.
    """

    result: str
    reason: str
    endpoint: str = ""


class EndpointNotice(NamedTuple):
    """What an answer says about further calls to its endpoint.

    Attributes:
        leaving: whether the endpoint leaves and accepts no new work.
        pause_seconds: the time for which the endpoint wants no calls from this
            entry; 0 if it does not ask for a pause.
        malformed: descriptions of headers that were ignored.
        limit: the calls a second that the endpoint takes from all entries;
            None if it names no limit, or a malformed one.
        limit_malformed: whether it names a malformed limit.
        cold_seconds: how much longer the endpoint is cold; 0 if it does not
            say so.
        slowness: how long work takes at the endpoint at this moment, as a
            multiple of the usual time; None if it does not say so.
    """

    leaving: bool = False
    pause_seconds: float = 0.0
    malformed: tuple[str, ...] = ()
    limit: float | None = None
    limit_malformed: bool = False
    cold_seconds: float = 0.0
    slowness: float | None = None


NO_NOTICE = EndpointNotice()


class EndpointListener(Protocol):
    """Decides on calls to endpoints and learns what their answers say."""

    def may_call(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether anything may be sent to an endpoint now."""

    def record_call(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a call is sent to an endpoint now."""

    def handle_refused_connect(self, endpoint: catalogue.Endpoint) -> None:
        """Applies that no process listens at an endpoint's address."""

    def handle_other_start(
        self, endpoint: catalogue.Endpoint, started: int | None
    ) -> None:
        """Applies that the known start of an endpoint is over.

        Args:
            endpoint: the endpoint as it is known.
            started: the start that it has named; None if another endpoint has
                answered.
        """

    def handle_unnamed_start(
        self, endpoint: catalogue.Endpoint, error: str
    ) -> None:
        """Applies that an endpoint has named no start when it was asked.

        Args:
            endpoint: the endpoint as it is known.
            error: what was wrong with its report.
        """

    async def handle_notice(
        self, endpoint: catalogue.Endpoint, notice: EndpointNotice
    ) -> None:
        """Applies the notice of an answer as soon as its head is read."""


class ProxyEndpoints(Protocol):
    """Calls to endpoints.

    Each method raises errors.NotAcceptingError if the listener allows no call,
    errors.ConnectError if nothing was sent,
    errors.NotExecutedError if the endpoint reports that it has not executed
    the call, and errors.TransportError if it may have executed the call.
    """

    async def send(
        self,
        endpoint: catalogue.Endpoint,
        request: proxy_requests.ProxiedRequest,
        send: proxy_requests.SendParameters,
        on_connected: Callable[[int | None], None],
    ) -> EndpointAnswer:
        """Sends a request and returns once the answer's head is read.

        Args:
            endpoint: the endpoint to send to.
            request: the request to send.
            send: the parameters that the system sets.
            on_connected: called just before the request is sent, with the
                start that the endpoint has named on the connection; None if it
                was not asked or has named none. An error that it raises keeps
                the request from being sent.
        """

    async def ask_start(
        self, endpoint: catalogue.Endpoint, seconds: float
    ) -> int:
        """Asks an endpoint for its start, and returns the one that it names.

        Args:
            endpoint: the endpoint as it is known.
            seconds: the timeout of its answer.

        Raises:
            errors.ConnectError: it has named none.
        """

    async def run_batch(
        self,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
        now: float,
    ) -> list[ItemResult]:
        """Makes one call with several items and returns their results."""

    async def release(
        self, endpoint: catalogue.Endpoint, results: Sequence[str]
    ) -> None:
        """Releases results, which frees their memory."""

    async def read_free_memory(self, endpoint: catalogue.Endpoint) -> int:
        """Returns the endpoint's free memory for results, in bytes."""
