"""The registrations by which entries find each other in the store."""

from typing import Any, NamedTuple

from samphirevale.ports import objects

# The kind of the entries' registrations in the store.
KIND = "samphirevale-entries"


class Registration(NamedTuple):
    """The address at which other entries connect to an entry.

    Attributes:
        name: the instance of the entry.
        host: the host of the entry.
        port: the port for other entries.
        token: the token that connecting entries must present; it changes at
            each start.
        processor: the processor time that the entry has, in cores.
    """

    name: str
    host: str
    port: int
    token: str
    processor: float = 1.0


def decode_registration(stored: objects.StoredObject) -> Registration | None:
    """Returns the decoded registration, or None if it is malformed."""
    value = stored.value
    if not isinstance(value, dict):
        return None
    found = Registration(
        stored.name,
        value.get("host"),
        value.get("port"),
        value.get("token"),
        value.get("processor", 1.0),
    )
    types = (str, str, int, str, int | float)
    if all(map(isinstance, found, types)) and found.processor > 0:
        return found
    return None


def encode_registration(registration: Registration) -> dict[str, Any]:
    """Returns the stored form of a registration."""
    return {
        "host": registration.host,
        "port": registration.port,
        "token": registration.token,
        "processor": registration.processor,
    }
