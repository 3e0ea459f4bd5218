"""Adds up the load that entries have placed on endpoints."""

from typing import NamedTuple


class Load(NamedTuple):
    """The load that an entry has placed on an endpoint.

    Attributes:
        running: the number of requests in flight.
        unread_tokens: the prompt tokens that the endpoint has not read yet.
    """

    running: int
    unread_tokens: int


NO_LOAD = Load(0, 0)


class LoadTotals:
    """The load of all linked entries at each endpoint.

    The totals change with each report, so that a choice of an endpoint costs
    the same with any number of entries.
    """

    def __init__(self):
        self._totals: dict[str, Load] = {}

    def get(self, endpoint: str) -> Load:
        """Returns the load of all linked entries at an endpoint."""
        return self._totals.get(endpoint, NO_LOAD)

    def replace(self, before: dict[str, Load], after: dict[str, Load]) -> None:
        """Replaces the loads of one entry, by endpoint."""
        for name in before.keys() | after.keys():
            total = self.get(name)
            old = before.get(name, NO_LOAD)
            new = after.get(name, NO_LOAD)
            total = Load(
                total.running + new.running - old.running,
                total.unread_tokens + new.unread_tokens - old.unread_tokens,
            )
            if total == NO_LOAD:
                self._totals.pop(name, None)
            else:
                self._totals[name] = total
