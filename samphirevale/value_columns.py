"""Checks many values from outside at once, which takes a fraction of the time.

A value is sound if it is in `stored_values`.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Any

from samphirevale import stored_values

# The types of strings, of whole numbers and of all numbers; true and false are
# no numbers.
STRING = frozenset({str})
WHOLE = frozenset({int})
NUMBER = frozenset({int, float})


def are_of(types: frozenset[type], values: Iterable[Any]) -> bool:
    """Returns whether all values are of these types; subtypes are others."""
    return types.issuperset(map(type, values))


def are_in_range(
    numbers: Sequence[float], lowest: float, highest: float
) -> bool:
    """Returns whether one or more numbers lie in a range; NaN lies in none."""
    # The sum is NaN if one of them is, which the lowest and the highest one
    # need not show.
    return (
        lowest <= min(numbers)
        and max(numbers) <= highest
        and math.isfinite(sum(numbers))
    )


def are_short(strings: Sequence[str]) -> bool:
    """Returns whether one or more strings have a usual length."""
    return max(map(len, strings)) <= stored_values.TEXT_LIMIT
