"""Reads the fields of stored objects, which any writer may have written.

A field counts only if it has its type, lies within its range and can be passed
on to other entries, to endpoints and to the log.
"""

import ipaddress
from collections.abc import Mapping
from typing import Any

from samphirevale import errors

# The longest text of a field, in characters. Texts become part of messages and
# of stored records, which are limited themselves.
TEXT_LIMIT = 256

# The largest whole number that all readers of messages and logs take.
INTEGER_LIMIT = 2**63 - 1

LAST_PORT = 65535


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

    def read_address(self, name: str) -> tuple[str, int]:
        """Returns the IPv4 address and the port of a `host:port` text."""
        host, _, port = self.read_token(name).rpartition(":")
        # The token is ASCII, so that these are digits that `int` reads.
        if port.isdigit() and len(port) <= len(str(LAST_PORT)):
            number = int(port)
            if is_address(host) and 0 < number <= LAST_PORT:
                return host, number
        raise errors.MalformedValueError(f"{name} is no address")


def is_integer(value: Any) -> bool:
    """Returns whether a value is a whole number; true and false are none."""
    return isinstance(value, int) and not isinstance(value, bool)


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


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
