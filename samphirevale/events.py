"""Server-sent events of a proxied stream: cut into whole ones, in order."""

from typing import NamedTuple

from samphirevale import errors

# The largest event that is put together, in bytes.
EVENT_BYTES_LIMIT = 1024 * 1024


class Event(NamedTuple):
    """One whole event as it came.

    Attributes:
        data: its bytes, with the empty line that ends it.
        number: its id; None if it has none that is a number.
    """

    data: bytes
    number: int | None


class EventCutter:
    """Cuts the parts of a stream into whole events."""

    def __init__(self):
        self._rest = b""

    def feed(self, part: bytes) -> list[Event]:
        """Returns the events that are whole with this part.

        Raises:
            errors.ProtocolError: an event is too large.
        """
        self._rest += part
        if b"\n\n" not in self._rest:
            if len(self._rest) > EVENT_BYTES_LIMIT:
                raise errors.ProtocolError("an event is too large")
            return []
        *whole, self._rest = self._rest.split(b"\n\n")
        return [_build_event(data + b"\n\n") for data in whole]

    def has_rest(self) -> bool:
        """Tells whether the stream has stopped in the middle of an event."""
        return bool(self._rest)


def _build_event(data: bytes) -> Event:
    for line in data.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return Event(data, int(value))
    return Event(data, None)


class EventOrder:
    """Checks that events follow each other, over several runs of one stream.

    Attributes:
        last: the number of the last event that was passed on; None if none
            with a number was.
    """

    def __init__(self, last: int | None = None):
        self.last = last

    def accept(self, event: Event) -> bool:
        """Tells whether the event is the next one; False for a repeated one.

        Raises:
            errors.ProtocolError: one before it is missing.
        """
        if event.number is None:
            return True
        if self.last is not None and event.number <= self.last:
            return False
        if self.last is not None and event.number != self.last + 1:
            raise errors.ProtocolError(
                f"event {event.number} follows {self.last}"
            )
        self.last = event.number
        return True
