"""Splits a proxied stream into server-sent events and checks their order."""

import re
from collections.abc import Sequence
from typing import NamedTuple

from samphirevale import errors

# The largest event that is buffered until it is complete, in bytes.
EVENT_BYTES_LIMIT = 1024 * 1024


# The largest number of digits of an event's number.
NUMBER_DIGITS_LIMIT = 18


# The largest number of events without a number, one after the other.
UNNUMBERED_LIMIT = 64

# A line of an event: empty, a comment, a field with its value, or one of the
# standard fields without a value.
_LINE = re.compile(rb"(?::.*|[a-z][a-z0-9_-]*:.*|data|event|id|retry|)", re.S)


class Event(NamedTuple):
    """One complete event as received.

    Attributes:
        data: the bytes of the event including the empty line at its end.
        number: the id of the event; None if it has no numeric id.
        has_fields: whether there is more in it than comments.
    """

    data: bytes
    number: int | None
    has_fields: bool = False


class EventSplitter:
    """Splits the parts of a stream into whole events.

    Attributes:
        has_events: whether an event has come, not only comments.
        highest: the highest number of an event; None before.
    """

    def __init__(self):
        self.has_events = False
        self.highest: int | None = None
        self._incomplete = b""

    def feed(self, part: bytes) -> list[Event]:
        """Adds a part and returns the events that it completes.

        Raises:
            errors.ProtocolError: an event or its number is too large, or it
                is no event.
        """
        self._incomplete += part
        if b"\n\n" not in self._incomplete:
            if len(self._incomplete) > EVENT_BYTES_LIMIT:
                raise errors.ProtocolError("an event is too large")
            return []
        *complete, self._incomplete = self._incomplete.split(b"\n\n")
        found = [_build_event(data + b"\n\n") for data in complete]
        for event in found:
            self.has_events |= event.has_fields
            if event.number is not None:
                self.highest = max(self.highest or 0, event.number)
        return found

    def has_incomplete_event(self) -> bool:
        """Returns whether the last event is incomplete."""
        return bool(self._incomplete)


def _build_event(data: bytes) -> Event:
    number = None
    has_fields = False
    for line in data.removesuffix(b"\n\n").split(b"\n"):
        if _LINE.fullmatch(line) is None:
            raise errors.ProtocolError(f"no line of an event: {line[:40]!r}")
        name, _, value = line.partition(b":")
        has_fields = has_fields or bool(name)
        digits = value.strip()
        if number is None and name == b"id" and digits.isdigit():
            if len(digits) > NUMBER_DIGITS_LIMIT:
                raise errors.ProtocolError("the number of an event is too long")
            number = int(digits)
    return Event(data, number, has_fields)


class EventOrder:
    """Checks that events are consecutive, also when a stream is resumed.

    Attributes:
        last: the number of the last accepted event; None if no numbered event
            was accepted.
        all_numbered: whether all accepted events but comments have numbers.
    """

    def __init__(self, last: int | None = None):
        self.last = last
        self.all_numbered = True
        self._unnumbered = 0

    def accept_all(self, events: Sequence[Event]) -> list[Event]:
        """Returns the new ones of several events.

        Raises:
            errors.ProtocolError: an event before one of them is missing. None
                of them is accepted.
        """
        last, all_numbered = self.last, self.all_numbered
        try:
            return [event for event in events if self.accept(event)]
        except errors.ProtocolError:
            self.last = last
            self.all_numbered = all_numbered
            raise

    def accept(self, event: Event) -> bool:
        """Returns whether the event is new; False for a repeated event.

        Raises:
            errors.ProtocolError: an event before it is missing, it has no
                number while others have, or too many have none.
        """
        if event.number is None:
            if event.has_fields and self.last is not None:
                raise errors.ProtocolError(
                    f"an event without a number follows {self.last}"
                )
            self.all_numbered &= not event.has_fields
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
