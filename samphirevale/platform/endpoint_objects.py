"""Decodes the endpoints registered in the platform's store."""

import math
from typing import Any

from samphirevale import catalogue
from samphirevale.platform import notices
from samphirevale.ports import objects

# Kind of the endpoints' objects in the store.
KIND = "servers"

# Whether an endpoint accepts new work, for each known state.
_ACCEPTS_WORK = {"ready": True, "draining": False}


def decode_endpoint(stored: objects.StoredObject) -> catalogue.Endpoint | None:
    """Returns the endpoint, or None if the object is not a valid one."""
    value: Any = stored.value
    if not isinstance(value, dict):
        return None
    state = value.get("state")
    if not isinstance(state, str) or state not in _ACCEPTS_WORK:
        return None
    service, address = value.get("service"), value.get("address")
    if not isinstance(service, str) or not isinstance(address, str):
        return None
    host, _, port = address.rpartition(":")
    zone = value.get("zone")
    slots = value.get("slots")
    version = value.get("version")
    started = value.get("born", 0)
    if not host or not port.isdigit() or not isinstance(zone, str):
        return None
    if not _is_integer(slots) or not _is_integer(started):
        return None
    if not isinstance(version, str):
        return None
    return catalogue.Endpoint(
        name=stored.name,
        service=service,
        host=host,
        port=int(port),
        data_centre=zone,
        accepting=_ACCEPTS_WORK[state],
        slots=slots,
        started=started,
        version=version,
    )


def decode_cold_seconds(stored: objects.StoredObject) -> float:
    """Returns how much longer an endpoint is cold, as it says itself.

    The time counts from when the object was written; 0 if it states none.
    """
    value = stored.value
    cold_ms = value.get("cold_remaining_ms") if isinstance(value, dict) else 0
    if not _is_integer(cold_ms) and not isinstance(cold_ms, float):
        return 0.0
    if math.isnan(cold_ms):
        return 0.0
    return min(max(cold_ms / 1000, 0.0), notices.COLD_SECONDS_LIMIT)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
