"""Entries of endpoints in the platform's store, decoded one by one."""

from typing import Any

from samphirevale import catalogue
from samphirevale.ports import objects

# The kind of the endpoints' entries.
KIND = "servers"

_STATES = {"ready": True, "draining": False}


def decode_endpoint(stored: objects.StoredObject) -> catalogue.Endpoint | None:
    """Returns the endpoint, or None if the entry names none to use."""
    value: Any = stored.value
    if not isinstance(value, dict):
        return None
    state = value.get("state")
    if not isinstance(state, str) or state not in _STATES:
        return None
    service, address = value.get("service"), value.get("address")
    if not isinstance(service, str) or not isinstance(address, str):
        return None
    host, _, port = address.rpartition(":")
    zone = value.get("zone")
    slots = value.get("slots")
    started = value.get("born", 0)
    if not host or not port.isdigit() or not isinstance(zone, str):
        return None
    if not _is_whole(slots) or not _is_whole(started):
        return None
    return catalogue.Endpoint(
        name=stored.name,
        service=service,
        host=host,
        port=int(port),
        data_centre=zone,
        accepting=_STATES[state],
        slots=slots,
        started=started,
    )


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
