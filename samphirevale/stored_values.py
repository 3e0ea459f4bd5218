"""Reads the fields of values that another writer may have left.

A field of a stored object counts only if it has its type, lies within its range
and can be passed on to other entries, to endpoints and to the log.
"""

import ipaddress
from collections.abc import Iterator, Mapping
from typing import Any

from samphirevale import errors

# The longest text of a field, in characters. Texts become part of messages and
# of stored records, which are limited themselves.
TEXT_LIMIT = 256

# The largest whole number that all readers of messages and logs take.
INTEGER_LIMIT = 2**63 - 1

LAST_PORT = 65535

# The longest reason of a failure, in characters.
REASON_LIMIT = 32


class Fields:
    """The fields of one stored value.

    Every method raises errors.MalformedValueError if a field is missing or
    malformed.
    """

    def __init__(self, value: Any):
        """Takes a stored value.

        Raises:
            errors.MalformedValueError: the value has no fields.
        """
        if not isinstance(value, Mapping):
            raise errors.MalformedValueError("not an object")
        self._value = value

    def read_text(self, name: str) -> str:
        """Returns a text that can be written anywhere but in a header."""
        text = self._value.get(name)
        if is_text(text):
            return text
        raise errors.MalformedValueError(f"{name} is no text")

    def read_token(self, name: str) -> str:
        """Returns a text that can be written in a header."""
        text = self._value.get(name)
        if is_token(text):
            return text
        raise errors.MalformedValueError(f"{name} is no token")

    def read_integer(
        self,
        name: str,
        lowest: int = 0,
        highest: int = INTEGER_LIMIT,
        default: int | None = None,
    ) -> int:
        """Returns a whole number in a range.

        Args:
            name: the name of the field.
            lowest: the lowest value.
            highest: the highest value.
            default: what a missing field means; None if it is malformed.
        """
        number = self._value.get(name, default)
        if is_integer(number) and lowest <= number <= highest:
            return number
        raise errors.MalformedValueError(f"{name} is no number in its range")

    def read_number(
        self,
        name: str,
        lowest: float,
        highest: float,
        default: float | None = None,
    ) -> float:
        """Returns a number in a range; the arguments are as of an integer."""
        number = self._value.get(name, default)
        if is_number(number) and lowest <= number <= highest:
            return float(number)
        raise errors.MalformedValueError(f"{name} is no number in its range")

    def read_list(self, name: str) -> list[Any]:
        """Returns a list, whose items are not checked."""
        items = self._value.get(name)
        if isinstance(items, list):
            return items
        raise errors.MalformedValueError(f"{name} is no list")

    def read_items(self, name: str) -> Iterator[tuple[str, Any]]:
        """Yields the names and values of an object."""
        items = self._value.get(name)
        if not isinstance(items, Mapping):
            raise errors.MalformedValueError(f"{name} is no object")
        for key, value in items.items():
            yield check_string(key), value

    def read_address(self, name: str) -> tuple[str, int]:
        """Returns the IPv4 address and the port of a `host:port` text."""
        host, _, text = self.read_token(name).rpartition(":")
        port = parse_port(text)
        if port is not None and is_address(host):
            return host, port
        raise errors.MalformedValueError(f"{name} is no address")


def is_integer(value: Any) -> bool:
    """Returns whether a value is a whole number; true and false are none."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: Any) -> bool:
    """Returns whether a value is a number; true and false are none."""
    return is_integer(value) or isinstance(value, float)


def check_string(value: Any) -> str:
    """Returns a value that is a string of any characters and any length.

    Raises:
        errors.MalformedValueError: it is none, or it cannot be encoded.
    """
    if not isinstance(value, str):
        raise errors.MalformedValueError("not a string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise errors.MalformedValueError("not a string") from error
    return value


def is_text(value: Any) -> bool:
    """Returns whether a value is a printable text of a usual length."""
    return (
        isinstance(value, str)
        and len(value) <= TEXT_LIMIT
        and value.isprintable()
    )


def is_token(value: Any) -> bool:
    """Returns whether a value is a text of visible ASCII characters."""
    return (
        is_text(value) and value.isascii() and value != "" and " " not in value
    )


def is_result(value: Any) -> bool:
    """Returns whether a value can name a result, in a list in a header."""
    return is_token(value) and "," not in value


def is_reason(value: Any) -> bool:
    """Returns whether a value can be a reason in messages and metrics."""
    return is_token(value) and len(value) <= REASON_LIMIT


def parse_port(text: str) -> int | None:
    """Returns the port that a text names, or None if it names none."""
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > len(str(LAST_PORT)):
        return None
    return int(text) if is_port(int(text)) else None


def is_port(value: Any) -> bool:
    """Returns whether a value is the number of a port to connect to."""
    return is_integer(value) and 0 < value <= LAST_PORT


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
