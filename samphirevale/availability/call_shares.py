"""Divides a rate of calls among entries without a message between them.

The entries that share are the first ones in the hash order of the endpoint.
Each of them makes one call and then waits until its next one is due. In any
second, each makes one call more, at most, than fit into it at that interval.
"""

from collections.abc import Collection
from typing import NamedTuple

from samphirevale import hash_order


class CallShare(NamedTuple):
    """One entry's share of a rate.

    Attributes:
        interval: the time between two calls of the entry, in seconds.
        included: whether the entry may make calls at all.
    """

    interval: float
    included: bool

    def compute_wait(self, called_at: float, now: float) -> float:
        """Returns when the entry may make its next call.

        Args:
            called_at: when it made the last one.
            now: the present time.

        Returns:
            The time in seconds from now; 0 if it may make one now.
        """
        if not self.included:
            return self.interval
        return max(called_at + self.interval - now, 0.0)


def divide_rate(
    key: str, names: Collection[str], me: str, rate: float, most: int
) -> CallShare:
    """Returns an entry's share of a rate.

    Args:
        key: decides the order of the entries; the same at all of them.
        names: the entries that may share, at least one.
        me: the name of the entry.
        rate: the calls a second of all entries, above 0.
        most: the largest number of entries that share.
    """
    sharers = hash_order.order_by_hash(key, names)[:most]
    return CallShare(len(sharers) / rate, me in sharers)
