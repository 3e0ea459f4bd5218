"""Registries of behaviour that varies, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Functions or classes by name.

    Args:
        kind: what they are, for errors, such as `routing policy`.
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Returns a decorator that adds what it decorates under `name`."""

        def add(item: Item) -> Item:
            self._items[name] = item
            return item

        return add

    def list_names(self) -> list[str]:
        """Returns all registered names, in order."""
        return sorted(self._items)

    def get(self, name: str) -> Item:
        """Returns what is registered under a name.

        Raises:
            ValueError: nothing is.
        """
        if name not in self._items:
            raise ValueError(f"unknown {self._kind} {name!r}")
        return self._items[name]
