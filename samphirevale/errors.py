"""The exception tree of the package."""

from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One thing that is wrong with an input, and where.

    Attributes:
        place: where it stands, such as `deadline_ms` or `column 12`.
        expected: what would have been right there.
        got: what stood there instead, shortened; empty if nothing did.
    """

    place: str
    expected: str
    got: str = ""

    def __str__(self) -> str:
        """Returns the finding as one line for people."""
        tail = f", got {self.got}" if self.got else ""
        return f"{self.place}: expected {self.expected}{tail}"


class SamphirevaleError(Exception):
    """The root of every error that this package raises on purpose."""


class InvalidInputError(SamphirevaleError):
    """Some input is wrong; carries every finding at once."""

    def __init__(self, findings: list[Finding]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class InvariantError(SamphirevaleError):
    """An invariant of the program does not hold."""


class TransportError(SamphirevaleError):
    """A connection failed."""


class ConnectError(TransportError):
    """No connection was made: the other side has read nothing."""


class AnswerLostError(TransportError):
    """The connection broke after bytes were sent: they may have been read."""


class NotExecutedError(TransportError):
    """The endpoint says that it has not run the request and never will.

    Attributes:
        lacks_results: the results that it names are gone, so that no other
            endpoint can run it either.
    """

    def __init__(self, text: str, lacks_results: bool = False):
        super().__init__(text)
        self.lacks_results = lacks_results


class PeerClosedError(TransportError):
    """The connection between two of our processes has ended."""


class ProtocolError(TransportError):
    """The other side sent bytes that the protocol does not allow."""


class StoreError(SamphirevaleError):
    """A call to the platform's object API failed."""


class StoreUnavailableError(StoreError):
    """The store did not do it: refused, unreachable or over its rate.

    Attributes:
        retry_after_seconds: when the store asks to be called again; 0 if it
            did not say.
    """

    def __init__(self, text: str = "", retry_after_seconds: float = 0.0):
        super().__init__(text)
        self.retry_after_seconds = retry_after_seconds


class StoreUnknownError(StoreError):
    """No answer came: the write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The condition of a write did not hold: another write came first."""


class StoreWatchExpiredError(StoreError):
    """The version to watch from is too old: list the kind afresh."""


class FencedError(SamphirevaleError):
    """An endpoint refused an order that carries an old fencing number."""


class RequestRefusedError(SamphirevaleError):
    """A request ends without a whole answer; carries callers.Refused."""

    def __init__(self, refusal: Any):
        super().__init__(f"{refusal.outcome}: {refusal.reason}")
        self.refusal = refusal


class KeyHeldError(SamphirevaleError):
    """Another attempt holds the key; carries the callers.Answer to tell."""

    def __init__(self, answer: Any):
        super().__init__("another attempt holds the key")
        self.answer = answer


class EndpointBusyError(SamphirevaleError):
    """An endpoint cannot take an order now; says when to try again."""

    def __init__(self, text: str, retry_after_seconds: float):
        super().__init__(text)
        self.retry_after_seconds = retry_after_seconds


class StageError(SamphirevaleError):
    """A stage before the request itself could not be done."""
