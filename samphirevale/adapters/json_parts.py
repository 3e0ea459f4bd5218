"""Parses JSON texts of which some parts cannot be parsed.

A parser gives up on a whole text if one part is nested too deeply, holds a
number of too many digits, or bytes that are no text. Here a text is divided by
its brackets and commas, without looking into its parts, so that each part can
be parsed alone.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

from samphirevale.ports import objects

# A string, or a character that gives a text its structure. A quotation mark
# alone begins a string without an end.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},"]', re.DOTALL)

# The name of a member of an object, up to its value.
_NAME = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)

_CLOSING = {b"[": b"]", b"{": b"}"}


def parse_parts(text: bytes, levels: int) -> Any:
    """Returns the value of a text, without the parts that cannot be parsed.

    Args:
        text: the text.
        levels: down to which level of nesting it is divided if it cannot be
            parsed whole; a part of a deeper level is parsed with what surrounds
            it, or not at all.

    Returns:
        The value, with objects.UNREADABLE in place of each part that cannot be
        parsed.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        pass
    if levels == 0:
        return objects.UNREADABLE
    text = text.strip()
    try:
        if text.startswith(b"{"):
            return {
                name: parse_parts(part, levels - 1)
                for name, part in _split_members(text)
            }
        return [parse_parts(part, levels - 1) for part in _split(text)]
    except (ValueError, RecursionError):
        return objects.UNREADABLE


def _split_members(text: bytes) -> Iterator[tuple[str, bytes]]:
    """Yields the names and the texts of the members of an object.

    Raises:
        ValueError: the text is no object, or a name cannot be parsed.
    """
    for member in _split(text):
        found = _NAME.match(member)
        if found is None:
            raise ValueError("a member without a name")
        yield json.loads(found[1]), member[found.end() :]


def _split(text: bytes) -> Iterator[bytes]:
    """Yields the texts between the outer brackets and commas of a text.

    Raises:
        ValueError: the text has no outer brackets, or they do not match.
    """
    if _CLOSING.get(text[:1]) != text[-1:] or len(text) < 2:
        raise ValueError("no array and no object")
    depth = 0
    start = 1
    for token in _TOKEN.finditer(text):
        if token[0] in (b"[", b"{"):
            depth += 1
        elif token[0] in (b"]", b"}"):
            depth -= 1
        elif token[0] == b'"':
            raise ValueError("a string without an end")
        if depth == 0 and token.end() != len(text):
            raise ValueError("brackets that do not match")
        if depth == 0 or (depth == 1 and token[0] == b","):
            part = text[start : token.start()]
            start = token.end()
            if part.strip():
                yield part
    if depth:
        raise ValueError("brackets that do not match")
