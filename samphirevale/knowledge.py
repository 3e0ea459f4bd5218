"""What a proxying entry knows of the world, and how old it is."""

from collections.abc import Collection

from samphirevale import catalogue, freshness, ownership, routes


class Knowledge:
    """The routes, the endpoints and the other entries.

    Attributes:
        table: the newest routes; None before the first.
        routes_age: of the routes and the accounts' keys.
        endpoints_age: of the catalogue.
        catalogue: the endpoints.
        members: the entries that are alive, this one included.
    """

    def __init__(self, keys_seconds: float, me: ownership.Member):
        self.table: routes.RouteTable | None = None
        self.routes_age = freshness.Freshness(keys_seconds)
        self.endpoints_age = freshness.Freshness(keys_seconds)
        self.catalogue = catalogue.Catalogue()
        self.members: tuple[ownership.Member, ...] = (me,)
        self._me = me
        self._owners: dict[str, str] | None = None

    def adopt_table(self, table: routes.RouteTable) -> bool:
        """Takes over a newer version; tells whether it was newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._owners = None
        return True

    def adopt_members(self, members: Collection[ownership.Member]) -> bool:
        """Takes over who is alive besides this entry; tells of a change."""
        found = {member.name: member for member in members}
        found[self._me.name] = self._me
        ordered = tuple(found[name] for name in sorted(found))
        if ordered == self.members:
            return False
        self.members = ordered
        self._owners = None
        return True

    def note_endpoints_changed(self) -> None:
        """Has the owners worked out again."""
        self._owners = None

    def find_owner(self, endpoint: catalogue.Endpoint) -> str:
        """Returns the entry that gathers a batching endpoint's items."""
        if self._owners is None:
            self._owners = ownership.assign_owners(
                self._list_batching(), self.members
            )
        return self._owners.get(endpoint.name, self._me.name)

    def _list_batching(self) -> list[catalogue.Endpoint]:
        if self.table is None:
            return []
        return [
            endpoint
            for service in self.table.services.values()
            if service.batch is not None
            for endpoint in self.catalogue.list_accepting(service.name)
        ]

    def read_connections_limit(self, service: str) -> int:
        """Returns the most connections of an endpoint; 0 if none is said."""
        if self.table is None or service not in self.table.services:
            return 0
        return self.table.services[service].connections_limit

    def find_batch_limits(self, service: str) -> routes.BatchLimits | None:
        """Returns what endpoints of a service take, if they batch."""
        if self.table is None or service not in self.table.services:
            return None
        return self.table.services[service].batch
