"""Registries of interchangeable implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Functions or classes by name.

    Args:
        kind: what the items are, for error messages; such as `routing
            policy`.
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Returns a decorator that registers its argument under `name`."""

        def add(item: Item) -> Item:
            self._items[name] = item
            return item

        return add

    def list_names(self) -> list[str]:
        """Returns all registered names, sorted."""
        return sorted(self._items)

    def get(self, name: str) -> Item:
        """Returns the item registered under a name.

        Raises:
            ValueError: no item is registered under the name.
        """
        if name not in self._items:
            raise ValueError(f"unknown {self._kind} {name!r}")
        return self._items[name]
