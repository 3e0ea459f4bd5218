"""The dump of a process's state, as JSON, without any secret."""

import os
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from samphirevale import settings

# The fewest characters of a secret that is looked for inside other texts.
SEARCHED_CHARACTERS = 4

Section = Callable[[], Any]


class Sections:
    """The sections of a dump by name."""

    def __init__(self) -> None:
        self._builders: dict[str, Section] = {}

    def register(self, name: str) -> Callable[[Section], Section]:
        """Makes a function without arguments the section `name`.

        It returns JSON values; maps' keys may be of any type, and what is
        no JSON value is shown as its text.
        """

        def add(builder: Section) -> Section:
            self._builders[name] = builder
            return builder

        return add

    def build(self) -> dict[str, Any]:
        """Returns every section; one that fails shows its error."""
        return {
            name: _build_section(builder)
            for name, builder in self._builders.items()
        }


def build_dump(
    sections: Sections, process_settings: settings.Settings
) -> dict[str, Any]:
    """Returns the state of this process; every secret in it is replaced."""
    whole = {
        "process": {"pid": os.getpid(), "cpu_seconds": time.process_time()},
        "settings": settings.redact(process_settings),
        **sections.build(),
    }
    return _clean(whole, settings.list_secrets(process_settings))


def _build_section(builder: Section) -> Any:
    # A dump is wanted most when something is wrong: one section that fails
    # must not take the others with it.
    try:
        return builder()
    except Exception as error:
        return {"error": f"{type(error).__name__}: {error}"}


def _clean(value: Any, secrets: Iterable[str]) -> Any:
    """Returns `value` as JSON values with the secrets replaced."""
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
