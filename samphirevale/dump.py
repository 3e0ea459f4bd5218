"""Dumps a process's state as JSON without secrets."""

import os
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from samphirevale import settings

# Minimum length of the secrets that are searched for and replaced in texts.
SEARCHED_CHARACTERS = 4

Section = Callable[[], Any]


class Sections:
    """The named sections of a dump."""

    def __init__(self) -> None:
        self._builders: dict[str, Section] = {}

    def register(self, name: str) -> Callable[[Section], Section]:
        """Returns a decorator that registers a function as section `name`.

        The function takes no arguments and returns the section's value. Map
        keys may have any type, and values that JSON does not support are
        converted to text.
        """

        def add(builder: Section) -> Section:
            self._builders[name] = builder
            return builder

        return add

    def build(self) -> dict[str, Any]:
        """Returns all sections; a section that fails contains its error."""
        return {
            name: _build_section(builder)
            for name, builder in self._builders.items()
        }


def build_dump(
    sections: Sections, process_settings: settings.Settings
) -> dict[str, Any]:
    """Returns this process's state with all secrets replaced."""
    state = {
        "process": {"pid": os.getpid(), "cpu_seconds": time.process_time()},
        "settings": settings.redact(process_settings),
        **sections.build(),
    }
    return _clean(state, settings.list_secrets(process_settings))


def _build_section(builder: Section) -> Any:
    # Dumps are mostly used when something is wrong, so a section that fails
    # must not prevent the others.
    try:
        return builder()
    except Exception as error:
        return {"error": f"{type(error).__name__}: {error}"}


def _clean(value: Any, secrets: Iterable[str]) -> Any:
    """Converts `value` to JSON values and replaces the secrets in it."""
    if value is None or isinstance(value, bool | int | float):
        return value
    if hasattr(value, "_asdict"):
        value = value._asdict()
    if isinstance(value, Mapping):
        return {
            _clean_key(key, secrets): _hide_field(key, item, secrets)
            for key, item in value.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [_clean(item, secrets) for item in value]
    return _replace_secrets(str(value), secrets)


def _clean_key(key: Any, secrets: Iterable[str]) -> str:
    return _replace_secrets(str(key), secrets)


def _hide_field(key: Any, item: Any, secrets: Iterable[str]) -> Any:
    if key in settings.SECRET_FIELDS:
        return settings.REDACTED
    return _clean(item, secrets)


def _replace_secrets(text: str, secrets: Iterable[str]) -> str:
    for secret in secrets:
        if len(secret) >= SEARCHED_CHARACTERS:
            text = text.replace(secret, settings.REDACTED)
    return text
