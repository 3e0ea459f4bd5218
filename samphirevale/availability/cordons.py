"""The data centres that an operator has cordoned, as one entry knows them.

The load that this answers: all requests of a data centre that is taken out of
use at once, while some entries cannot reach the store.

An entry learns the cordons from the store and from the reports of other
entries. Within an era of the store the list with the higher version is newer.
After a return of the store from a copy, what was cordoned before stays cordoned
until the operator has written again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from samphirevale import store_eras

# The version of an entry that has not learned the cordons.
UNKNOWN = -1


class CordonList(NamedTuple):
    """The cordoned data centres at a version of the store.

    Attributes:
        version: the version of the store, or UNKNOWN.
        names: the names of the data centres.
    """

    version: int
    names: frozenset[str]


UNKNOWN_LIST = CordonList(UNKNOWN, frozenset())


class Cordons:
    """The data centres that get no new work.

    Attributes:
        required: whether the entry may accept no request before it has learned
            the cordons.
        newest: the newest list of the present era of the store.
    """

    def __init__(self, required: bool = False):
        self.required = required
        self.newest = UNKNOWN_LIST
        # What was cordoned in earlier eras, and until when it stays so.
        self._carried: frozenset[str] = frozenset()
        self._carried_until = float("-inf")
        self._known = False

    def adopt(self, listed: CordonList) -> bool:
        """Adopts a list of the present era if it is newer.

        Returns:
            Whether it was adopted.
        """
        if listed.version <= self.newest.version:
            return False
        self.newest = listed
        self._known = True
        return True

    def start_era(self, now: float) -> None:
        """Records that the store has returned from a copy of itself."""
        self._carried = self.list_cordoned(now)
        self._carried_until = now + store_eras.REWRITE_SECONDS
        self.newest = UNKNOWN_LIST

    def list_cordoned(self, now: float) -> frozenset[str]:
        """Returns the data centres that get no new work now."""
        if now < self._carried_until or self.newest.version == UNKNOWN:
            return self.newest.names | self._carried
        return self.newest.names

    def is_cordoned(self, data_centre: str, now: float) -> bool:
        """Returns whether a data centre gets no new work now."""
        return data_centre in self.list_cordoned(now)

    def is_known(self) -> bool:
        """Returns whether the cordons were learned, if they must be."""
        return self._known or not self.required


class WatchedCordons:
    """The cordons as the watch of this entry has brought them.

    They are kept apart from those of `Cordons`, which may be newer, as the
    changes that a watch brings continue its own list.

    Attributes:
        names: the names of the data centres.
    """

    def __init__(self):
        self.names: frozenset[str] = frozenset()

    def replace(self, names: Iterable[str]) -> frozenset[str]:
        """Replaces the cordons; returns them."""
        self.names = frozenset(names)
        return self.names

    def change(self, name: str, cordoned: bool) -> frozenset[str]:
        """Adds or removes a cordon; returns all of them."""
        changed = {name}
        self.names = self.names | changed if cordoned else self.names - changed
        return self.names
