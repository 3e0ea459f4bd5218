"""The registrations by which entries find each other in the store."""

from typing import Any, NamedTuple

from samphirevale import errors, stored_values
from samphirevale.ports import objects

# The kind of the entries' registrations in the store.
KIND = "samphirevale-entries"

# The processor time that an entry may state, in cores.
LEAST_PROCESSOR = 0.001
PROCESSOR_LIMIT = 10_000.0


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
    try:
        fields = stored_values.Fields(stored.value)
        return Registration(
            stored.name,
            fields.read_token("host"),
            fields.read_integer("port", 1, stored_values.LAST_PORT),
            fields.read_token("token"),
            fields.read_number(
                "processor", LEAST_PROCESSOR, PROCESSOR_LIMIT, default=1.0
            ),
        )
    except errors.MalformedValueError:
        return None


def encode_registration(registration: Registration) -> dict[str, Any]:
    """Returns the stored form of a registration."""
    return {
        "host": registration.host,
        "port": registration.port,
        "token": registration.token,
        "processor": registration.processor,
    }
