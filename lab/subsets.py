"""How evenly subsets of a pool's sidecars load them.

    python -m lab.subsets

Each entry of a data centre holds `size` sidecars of a pool and gives them
equal shares. Compares subsets that are drawn by a hash of the pair with
subsets that are dealt in turn, with all entries and after some are lost.
Prints a table of the busiest sidecar's load over the mean.
"""

import random
import statistics
from collections.abc import Callable, Collection
from typing import NamedTuple

from lab import pages

# Runs of each case.
REPEATS = 200

# The seed of all draws.
SEED = 1

# The share of entries that is lost in the second comparison.
LOST_SHARE = 0.25

Deal = Callable[[int, int, int, random.Random], list[list[int]]]

_deals: dict[str, Deal] = {}


class Pool(NamedTuple):
    """A pool of one data centre and the entries before it."""

    entries: int
    sidecars: int


POOLS = (Pool(17, 34), Pool(60, 34), Pool(17, 4))
SIZES = (4, 8, 12, 16, 24, 34)


def register(name: str) -> Callable[[Deal], Deal]:
    """Makes a function a way to choose the subsets of all entries."""

    def add(deal: Deal) -> Deal:
        _deals[name] = deal
        return deal

    return add


@register("hashed")
def draw_subsets(
    entries: int, sidecars: int, size: int, rng: random.Random
) -> list[list[int]]:
    """Returns subsets that are drawn independently, as a hash would."""
    return [rng.sample(range(sidecars), size) for _ in range(entries)]


@register("dealt")
def deal_subsets(
    entries: int, sidecars: int, size: int, rng: random.Random
) -> list[list[int]]:
    """Returns subsets dealt in turn from one shuffled list.

    Each entry takes the next `size` of it and the list is gone through
    again and again, so that all sidecars are held equally often, give or
    take one.
    """
    order = rng.sample(range(sidecars), sidecars)
    return [
        [order[(first + n) % sidecars] for n in range(size)]
        for first in range(0, entries * size, size)
    ]


def compute_imbalance(
    subsets: Collection[Collection[int]], sidecars: int
) -> float:
    """Returns the busiest sidecar's load over the mean load."""
    loads = [0.0] * sidecars
    for subset in subsets:
        for number in subset:
            loads[number] += 1 / len(subset)
    return max(loads) * sidecars / len(subsets)


def compute_row(pool: Pool, size: int) -> list[str]:
    """Returns the table's row of one case."""
    cells = [str(pool.entries), str(pool.sidecars), str(size)]
    for deal in _deals.values():
        for lost in (0.0, LOST_SHARE):
            kept = round(pool.entries * (1 - lost))
            rng = random.Random(SEED)
            ratios = [
                compute_imbalance(
                    rng.sample(
                        deal(pool.entries, pool.sidecars, size, rng), kept
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
    for name in _deals:
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
