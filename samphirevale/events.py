"""Splits a proxied stream into server-sent events and checks their order."""

from collections.abc import Sequence
from typing import NamedTuple

from samphirevale import errors

# The largest event that is buffered until it is complete, in bytes.
EVENT_BYTES_LIMIT = 1024 * 1024


# The largest number of digits of an event's number.
NUMBER_DIGITS_LIMIT = 18


# The largest number of events without a number, one after the other.
UNNUMBERED_LIMIT = 64


class Event(NamedTuple):
    """One complete event as received.

    Attributes:
        data: the bytes of the event including the empty line at its end.
        number: the id of the event; None if it has no numeric id.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Splits the parts of a stream into whole events."""

    def __init__(self):
        self._incomplete = b""

    def feed(self, part: bytes) -> list[Event]:
        """Adds a part and returns the events that it completes.

        Raises:
            errors.ProtocolError: an event or its number is too large.
        """
        self._incomplete += part
        if b"\n\n" not in self._incomplete:
            if len(self._incomplete) > EVENT_BYTES_LIMIT:
                raise errors.ProtocolError("an event is too large")
            return []
        *complete, self._incomplete = self._incomplete.split(b"\n\n")
        return [_build_event(data + b"\n\n") for data in complete]

    def has_incomplete_event(self) -> bool:
        """Returns whether the last event is incomplete."""
        return bool(self._incomplete)


def _build_event(data: bytes) -> Event:
    for line in data.split(b"\n"):
        name, _, value = line.partition(b":")
        digits = value.strip()
        if name == b"id" and digits.isdigit():
            if len(digits) > NUMBER_DIGITS_LIMIT:
                raise errors.ProtocolError("the number of an event is too long")
            return Event(data, int(digits))
    return Event(data, None)


class EventOrder:
    """Checks that events are consecutive, also when a stream is resumed.

    Attributes:
        last: the number of the last accepted event; None if no numbered event
            was accepted.
    """

    def __init__(self, last: int | None = None):
        self.last = last
        self._unnumbered = 0

    def accept_all(self, events: Sequence[Event]) -> list[Event]:
        """Returns the new ones of several events.

        Raises:
            errors.ProtocolError: an event before one of them is missing. None
                of them is accepted.
        """
        last = self.last
        try:
            return [event for event in events if self.accept(event)]
        except errors.ProtocolError:
            self.last = last
            raise

    def accept(self, event: Event) -> bool:
        """Returns whether the event is new; False for a repeated event.

        Raises:
            errors.ProtocolError: an event before it is missing, or too many
                events have no number.
        """
        if event.number is None:
            self._unnumbered += 1
            if self._unnumbered > UNNUMBERED_LIMIT:
                raise errors.ProtocolError("too many events without a number")
            return True
        self._unnumbered = 0
        if self.last is not None and event.number <= self.last:
            return False
        if self.last is not None and event.number != self.last + 1:
            raise errors.ProtocolError(
                f"event {event.number} follows {self.last}"
            )
        self.last = event.number
        return True
