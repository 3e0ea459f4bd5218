"""Reads the fields of many stored values, which count together or not at all.

Each field is checked in all of them at once, which takes a fraction of the time
of a check of each. A value counts if it counts in `stored_values`.
"""

import functools
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from samphirevale import errors, stored_values, value_columns

_FLAG = frozenset({bool})
_LIST = frozenset({list})
_OBJECT = frozenset({dict})
_NONE = type(None)

# The default of a field that must be stated.
REQUIRED = object()

Record = TypeVar("Record", bound=tuple)


class Rows:
    """The fields of some objects; null is as good as none.

    Every method returns what a field is in each object, in their order, and
    raises errors.MalformedValueError if it is missing or malformed in one.

    Attributes:
        values: the objects.
    """

    def __init__(self, values: Iterable[Any]):
        """Takes the objects.

        Raises:
            errors.MalformedValueError: one of them is no object.
        """
        self.values = list(values)
        if not value_columns.are_of(_OBJECT, self.values):
            raise errors.MalformedValueError("not an object")

    def read_texts(self, name: str) -> list[str]:
        """Returns texts that can be written anywhere but in a header."""
        return self._read(name, value_columns.STRING, _are_texts)

    def read_flags(self, name: str) -> list[bool]:
        """Returns truth values, false by default."""
        return self._read(name, _FLAG, default=False)

    def read_numbers(
        self,
        name: str,
        lowest: float,
        highest: float,
        default: Any = REQUIRED,
    ) -> list[Any]:
        """Returns numbers in a range.

        Args:
            name: the name of the field.
            lowest: the lowest number.
            highest: the highest number.
            default: what a missing field means; REQUIRED if it is malformed.
        """
        return self._read(
            name,
            value_columns.NUMBER,
            lambda numbers: value_columns.are_in_range(
                numbers, lowest, highest
            ),
            default,
        )

    def read_lists(self, name: str) -> list[Sequence[Any]]:
        """Returns lists, whose items are not checked; empty by default."""
        return self._read(name, _LIST, default=())

    def read_string_lists(self, name: str) -> list[Sequence[str]]:
        """Returns lists of strings of any length; empty by default."""
        lists = self.read_lists(name)
        strings = flatten(lists)
        if not value_columns.are_of(value_columns.STRING, strings):
            raise errors.MalformedValueError(f"{name} holds no strings")
        stored_values.check_string("".join(strings))
        return lists

    def _read(
        self,
        name: str,
        types: frozenset[type],
        accepts: Callable[[list[Any]], bool] = lambda stated: True,
        default: Any = REQUIRED,
    ) -> list[Any]:
        """Returns the values of a field.

        Args:
            name: the name of the field.
            types: the types of its values.
            accepts: whether one or more values of these types are sound.
            default: what a missing field means; REQUIRED if it is malformed.
        """
        found = [value.get(name) for value in self.values]
        present = set(map(type, found))
        stated = found
        if _NONE in present:
            if default is REQUIRED:
                raise errors.MalformedValueError(f"{name} is missing")
            stated = [value for value in found if value is not None]
            found = [default if value is None else value for value in found]
        if not (present - {_NONE} <= types and (not stated or accepts(stated))):
            raise errors.MalformedValueError(f"{name} is malformed")
        return found


def _are_texts(strings: list[str]) -> bool:
    return value_columns.are_short(strings) and "".join(strings).isprintable()


def build(record_type: type[Record], **fields: Sequence[Any]) -> list[Record]:
    """Returns records, of which each field is given for all of them."""
    # As record_type._make, which would check the length of each.
    construct = functools.partial(tuple.__new__, record_type)
    return list(map(construct, zip(*record_type(**fields), strict=True)))


def flatten(lists: Iterable[Iterable[Any]]) -> list[Any]:
    """Returns the items of all lists."""
    return list(itertools.chain.from_iterable(lists))


def group(
    items: Iterable[Any], lists: Iterable[Sequence[Any]]
) -> list[tuple[Any, ...]]:
    """Returns tuples of consecutive items, as long as the given lists."""
    rest = iter(items)
    return [
        tuple(itertools.islice(rest, len(found))) if found else ()
        for found in lists
    ]
