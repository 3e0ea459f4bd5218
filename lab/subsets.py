"""Compares methods of choosing subsets of a pool's sidecars by their balance.

    python -m lab.subsets

Each entry of a data centre connects to `size` sidecars of a pool and sends
them equal shares of its load. The methods are independent random subsets, as
a hash of entry and sidecar gives, and subsets dealt in turn from one shuffled
list. Each is computed with all entries and after the loss of some. Prints a
table of the ratio of the busiest sidecar's load to the mean load.
"""

import random
import statistics
from collections.abc import Callable, Collection
from typing import NamedTuple

from lab import pages

# The number of runs of each case.
REPEATS = 200

# The seed of each case's random numbers.
SEED = 1

# The share of entries that are lost in the second comparison.
LOST_SHARE = 0.25

SubsetMethod = Callable[[int, int, int, random.Random], list[list[int]]]

_methods: dict[str, SubsetMethod] = {}


class Pool(NamedTuple):
    """The numbers of entries and of a pool's sidecars in a data centre."""

    entries: int
    sidecars: int


POOLS = (Pool(17, 34), Pool(60, 34), Pool(17, 4))
SIZES = (4, 8, 12, 16, 24, 34)


def register(name: str) -> Callable[[SubsetMethod], SubsetMethod]:
    """Returns a decorator that registers a method of choosing subsets."""

    def add(method: SubsetMethod) -> SubsetMethod:
        _methods[name] = method
        return method

    return add


@register("hashed")
def draw_subsets(
    entries: int, sidecars: int, size: int, rng: random.Random
) -> list[list[int]]:
    """Returns independent random subsets, as a hash would give."""
    return [rng.sample(range(sidecars), size) for _ in range(entries)]


@register("dealt")
def deal_subsets(
    entries: int, sidecars: int, size: int, rng: random.Random
) -> list[list[int]]:
    """Returns subsets dealt in turn from one shuffled list.

    Each entry takes the next `size` sidecars, and the list starts over at its
    end. Therefore the numbers of entries per sidecar differ by at most one.
    """
    order = rng.sample(range(sidecars), sidecars)
    return [
        [order[(first + n) % sidecars] for n in range(size)]
        for first in range(0, entries * size, size)
    ]


def compute_imbalance(
    subsets: Collection[Collection[int]], sidecars: int
) -> float:
    """Returns the ratio of the busiest sidecar's load to the mean load."""
    loads = [0.0] * sidecars
    for subset in subsets:
        for number in subset:
            loads[number] += 1 / len(subset)
    return max(loads) * sidecars / len(subsets)


def compute_row(pool: Pool, size: int) -> list[str]:
    """Returns the row of the table for one case."""
    cells = [str(pool.entries), str(pool.sidecars), str(size)]
    for method in _methods.values():
        for lost in (0.0, LOST_SHARE):
            remaining = round(pool.entries * (1 - lost))
            rng = random.Random(SEED)
            ratios = [
                compute_imbalance(
                    rng.sample(
                        method(pool.entries, pool.sidecars, size, rng),
                        remaining,
                    ),
                    pool.sidecars,
                )
                for _ in range(REPEATS)
            ]
            cells.append(f"{statistics.mean(ratios):.2f}")
    return cells


def build_table() -> list[str]:
    """Returns the lines of the whole table."""
    head = ["entries", "sidecars", "subset"]
    for name in _methods:
        head += [name, f"{name}, {LOST_SHARE:.0%} of entries lost"]
    rows = [
        compute_row(pool, size)
        for pool in POOLS
        for size in SIZES
        if size <= pool.sidecars
    ]
    return pages.build_table(head, rows)


if __name__ == "__main__":
    print("\n".join(build_table()))
