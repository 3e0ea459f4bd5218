"""Computes max-min fair shares of a scarce resource.

The load that this answers: one account asks for most of what a service can do,
while many others ask for little.
"""

from collections.abc import Mapping


def compute_level(demands: Mapping[str, float], capacity: float) -> float:
    """Returns the largest share that an account can be given.

    Every account that asks for less gets what it asks for; all others get this
    much. What small accounts leave is divided among the large ones.

    Args:
        demands: what each account asks for.
        capacity: what there is to divide, in the same unit.

    Returns:
        The share; infinite if there is enough for all.
    """
    rest = capacity
    ordered = sorted(demands.values())
    for index, demand in enumerate(ordered):
        level = rest / (len(ordered) - index)
        if demand > level:
            return level
        rest -= demand
    return float("inf")
