"""The exception classes of the package."""

from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One error in an input and its location.

    Attributes:
        place: location of the error, such as `deadline_ms` or `column 12`.
        expected: description of a valid value.
        got: the invalid value, shortened; empty if there was none.
    """

    place: str
    expected: str
    got: str = ""

    def __str__(self) -> str:
        """Returns the finding as one human-readable line."""
        tail = f", got {self.got}" if self.got else ""
        return f"{self.place}: expected {self.expected}{tail}"


class SamphirevaleError(Exception):
    """The base class of all errors that this package raises."""


class InvalidInputError(SamphirevaleError):
    """An input is invalid; carries all findings."""

    def __init__(self, findings: list[Finding]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class MalformedValueError(SamphirevaleError):
    """A value from outside has another form than it should have."""


class InvariantError(SamphirevaleError):
    """An invariant of the program is violated."""


class TransportError(SamphirevaleError):
    """A connection failed."""


class ConnectError(TransportError):
    """No connection was made, so the remote side has read nothing."""


class ConnectTimeoutError(ConnectError):
    """The remote side did not answer the connect; it may be silent."""


class ConnectRefusedError(ConnectError):
    """No process listens at the address of the remote side."""


class ReportTimeoutError(ConnectTimeoutError):
    """An endpoint has not said in time which start it is."""


class UnconfirmedStartError(ConnectError):
    """An endpoint has not confirmed its start, so that nothing was sent."""


# What a question for the start of an endpoint that can be connected to raises.
START_ERRORS = (ReportTimeoutError, UnconfirmedStartError)


class NotAcceptingError(ConnectError):
    """The endpoint leaves or pauses, so nothing was sent to it."""


class AnswerLostError(TransportError):
    """The connection broke after bytes were sent, which may have been read."""


class InputRefusedError(TransportError):
    """The request was not sent, as endpoints crash under parts of it."""


class NotExecutedError(TransportError):
    """The endpoint reported that it has not run the request and will not.

    Attributes:
        lacks_results: whether the cause is that results named by the request
            no longer exist, in which case no other endpoint can run it
            either.
        asks_pause: whether the endpoint has asked for a pause, which is no
            failure of the endpoint.
    """

    def __init__(
        self,
        text: str,
        lacks_results: bool = False,
        asks_pause: bool = False,
    ):
        super().__init__(text)
        self.lacks_results = lacks_results
        self.asks_pause = asks_pause


class UnconfirmedRefusalError(TransportError):
    """The endpoint's answer means "not run" to callers, but does not state it.

    The request has run, or may have.
    """


class PeerClosedError(TransportError):
    """The connection to another entry or sidecar has ended."""


class ProtocolError(TransportError):
    """The remote side violated the protocol."""


class StoreError(SamphirevaleError):
    """A call to the platform's object API failed."""


class StoreUnavailableError(StoreError):
    """The store did not execute the call or gave no usable answer to a read.

    It refused the call, was unreachable, limited the rate or answered in an
    unknown form. A write that fails with this error had no effect.

    Attributes:
        retry_after_seconds: the retry delay that the store asked for; 0 if
            it gave none.
    """

    def __init__(self, text: str = "", retry_after_seconds: float = 0.0):
        super().__init__(text)
        self.retry_after_seconds = retry_after_seconds


class StoreUnknownError(StoreError):
    """A write got no usable answer, so it may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The condition of a write was not met, as another write came first."""


class StoreWatchExpiredError(StoreError):
    """The version to watch from is too old; the kind must be listed again."""


class StoreEraPassedError(StoreError):
    """An answer is of an earlier era of the store than one already seen."""


class FencedError(SamphirevaleError):
    """An endpoint refused an order with an outdated fencing token."""


class RequestRefusedError(SamphirevaleError):
    """A request ended without a complete answer; carries callers.Refusal."""

    def __init__(self, refusal: Any):
        super().__init__(f"{refusal.outcome}: {refusal.reason}")
        self.refusal = refusal


class KeyHeldError(SamphirevaleError):
    """Another attempt holds the key; carries the callers.Answer to return."""

    def __init__(self, answer: Any):
        super().__init__("another attempt holds the key")
        self.answer = answer


class EndpointBusyError(SamphirevaleError):
    """An endpoint cannot accept an order now; carries the retry delay."""

    def __init__(self, text: str, retry_after_seconds: float):
        super().__init__(text)
        self.retry_after_seconds = retry_after_seconds


class EarlierStageError(SamphirevaleError):
    """A stage that runs ahead of the request itself failed."""


def is_endpoint_failure(error: BaseException) -> bool:
    """Returns whether the error of a send tells against the endpoint."""
    if isinstance(error, NotExecutedError):
        return not error.asks_pause
    if isinstance(error, NotAcceptingError | InputRefusedError):
        return False
    return isinstance(error, Exception)


def is_unreachable(error: BaseException) -> bool:
    """Returns whether an endpoint could not be connected to."""
    return isinstance(error, ConnectError) and not isinstance(
        error, NotAcceptingError | UnconfirmedStartError
    )
