"""The platform's object API."""

from typing import Any, NamedTuple, Protocol


class StoredObject(NamedTuple):
    """An object as the store holds it.

    Attributes:
        kind: such as `configuration`, `claims`, `leases`.
        name: unique within the kind.
        version: rises with every write to any object of the store.
        value: JSON.
    """

    kind: str
    name: str
    version: int
    value: Any


class WatchEvents(NamedTuple):
    """What a watch saw.

    Attributes:
        objects: the changed objects; a deleted one has the value None.
        version: the store's version to watch on from.
    """

    objects: list[StoredObject]
    version: int


class Listing(NamedTuple):
    """All objects of a kind at one version of the store.

    Attributes:
        objects: the kind's objects.
        version: the store's version to watch on from.
    """

    objects: list[StoredObject]
    version: int


class ListedInstance(NamedTuple):
    """A sidecar in the platform's list, which lags both ways.

    Attributes:
        name: the instance's name.
        host: its address.
        peer_port: the port that entries dial.
        state: `live` or `leaving`.
    """

    name: str
    host: str
    peer_port: int
    state: str


class FollowedStore(Protocol):
    """A store whose kinds are followed, and where entries register."""

    async def list_at(self, kind: str) -> Listing:
        """Returns a kind's objects and the version they were read at."""

    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> WatchEvents:
        """Waits for changes of a kind after `version`."""

    async def replace(self, kind: str, name: str, value: Any) -> None:
        """Replaces an object, whatever it holds; creates it if need be."""

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; it may be gone already."""


class ObjectStore(Protocol):
    """The store, as the decisions' drivers need it.

    Every call raises errors.StoreUnavailableError when the store certainly
    did nothing, and errors.StoreUnknownError when a write's answer is lost.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the object, or None."""

    async def list_kind(self, kind: str) -> list[StoredObject]:
        """Returns all objects of a kind."""

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        """Creates it; raises errors.StoreConflictError if it is there."""

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> StoredObject:
        """Replaces it; raises errors.StoreConflictError on other version."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes it; raises errors.StoreConflictError on other version."""

    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> WatchEvents:
        """Waits for changes of a kind after `version`."""

    async def list_instances(self) -> list[ListedInstance]:
        """Returns the platform's lagging list of sidecars."""
