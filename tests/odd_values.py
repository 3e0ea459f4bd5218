"""Strategies for the values that a writer outside the system may leave."""

import copy

from hypothesis import strategies

# Any characters, also lone surrogates and those that no header takes.
TEXTS = strategies.text(
    strategies.characters(categories=("L", "M", "N", "P", "S", "Z", "C"))
)

# Numbers of a usual size and far beyond what a float or a message takes.
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(-(10**400), 10**400),
    strategies.floats(),
)

_SCALARS = strategies.one_of(
    strategies.none(), strategies.booleans(), NUMBERS, TEXTS
)


def _nest(values: strategies.SearchStrategy) -> strategies.SearchStrategy:
    return strategies.one_of(
        strategies.lists(values, max_size=3),
        strategies.dictionaries(TEXTS, values, max_size=3),
    )


# Texts that look like an address, with digits of all scripts.
ADDRESSES = strategies.builds(
    "{}:{}".format,
    strategies.sampled_from(["10.0.0.1", "", "h", "::1", "0"]),
    strategies.text(strategies.characters(categories=("Nd", "No"))),
)

# All values that JSON can express, and some that only lax readers take.
VALUES = strategies.one_of(
    strategies.recursive(_SCALARS, _nest, max_leaves=6), ADDRESSES
)


def list_places(value, place=()):
    """Yields the places of all values inside a value."""
    items = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*place, key)
        yield from list_places(inner, (*place, key))


@strategies.composite
def build_changed(draw, sound, values=VALUES):
    """Draws a sound value with some odd or missing values at any depth."""
    changed = copy.deepcopy(sound)
    places = list(list_places(sound))
    for _ in range(draw(strategies.integers(1, 3))):
        *outer, last = draw(strategies.sampled_from(places))
        inner = changed
        try:
            for key in outer:
                inner = inner[key]
            if draw(strategies.integers(0, 5)):
                inner[last] = copy.deepcopy(draw(values))
            else:
                del inner[last]
        except (IndexError, KeyError, TypeError):
            # An odd value from before has taken this place.
            continue
    return changed
