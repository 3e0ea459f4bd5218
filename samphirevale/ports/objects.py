"""Protocols for the platform's object stores."""

import enum
from typing import Any, NamedTuple, NewType, Protocol

# How often a store has returned from a copy of itself. Versions of objects
# compare only within one era.
StoreEra = NewType("StoreEra", int)

# The last era that a store can state.
LAST_ERA = 999_999_999


class _Unreadable(enum.Enum):
    """The type of UNREADABLE."""

    UNREADABLE = "unreadable"


# The value of an object that is in the store but cannot be read.
UNREADABLE = _Unreadable.UNREADABLE


class StoredObject(NamedTuple):
    """An object in the store.

    Attributes:
        kind: the object's kind, such as `configuration`, `claims` or
            `leases`.
        name: the object's name, unique within the kind.
        version: version of the object's last write; every write to any object
            of the store gets a higher version.
        value: the JSON value, or UNREADABLE.
    """

    kind: str
    name: str
    version: int
    value: Any


class WatchEvents(NamedTuple):
    """The changes returned by a watch.

    Attributes:
        objects: the changed objects; a deleted object has the value None.
        version: the store version to continue the watch from.
        era: the era of the store; None if the store states none.
    """

    objects: list[StoredObject]
    version: int
    era: StoreEra | None = None


class Listing(NamedTuple):
    """All objects of a kind, with the version to watch them from.

    Attributes:
        objects: the kind's objects; some may be newer than the version.
        version: the store version to start a watch from.
        era: the era of the store; None if the store states none.
    """

    objects: list[StoredObject]
    version: int
    era: StoreEra | None = None


class ListedInstance(NamedTuple):
    """A sidecar in the platform's list.

    The list may lag behind: it may lack new sidecars and contain old ones.

    Attributes:
        name: the instance's name.
        host: the instance's address.
        peer_port: the port that entries connect to.
        state: `live` or `leaving`.
    """

    name: str
    host: str
    peer_port: int
    state: str


class WatchedStore(Protocol):
    """A store that entries watch for changes and register themselves in."""

    async def list_at(self, kind: str) -> Listing:
        """Returns a kind's objects and the version to watch them from."""

    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> WatchEvents:
        """Waits for changes to a kind after `version`."""

    async def replace(
        self, kind: str, name: str, value: Any
    ) -> StoreEra | None:
        """Replaces an object unconditionally, or creates it.

        Returns:
            The era in which it was written; None if the store states none.
        """

    async def replace_version(
        self, kind: str, name: str, value: Any, version: int | None
    ) -> int:
        """Replaces an object that still has a version.

        A write whose answer was lost may be executed later, but not after
        another one has changed the version.

        Args:
            kind: the kind of the object.
            name: the name of the object.
            value: the new value.
            version: the present version; None to create the object.

        Returns:
            The new version.

        Raises:
            errors.StoreConflictError: the version differs.
        """

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""


class ObjectStore(Protocol):
    """A store with conditional writes.

    Every call raises errors.StoreUnavailableError if the store certainly did
    not execute it. A write raises errors.StoreUnknownError if its answer is
    lost.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the object, or None if it does not exist."""

    async def list_kind(self, kind: str) -> list[StoredObject]:
        """Returns all objects of a kind."""

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        """Creates an object.

        Raises:
            errors.StoreConflictError: the object already exists.
        """

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> StoredObject:
        """Replaces an object.

        Raises:
            errors.StoreConflictError: the stored version differs.
        """

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object.

        Raises:
            errors.StoreConflictError: the stored version differs.
        """

    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> WatchEvents:
        """Waits for changes to a kind after `version`."""

    async def list_instances(self) -> list[ListedInstance]:
        """Returns the platform's list of sidecars, which may be outdated."""
