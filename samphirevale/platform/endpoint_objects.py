"""Decodes the endpoints registered in the platform's store."""

import math

from samphirevale import catalogue, errors, stored_values
from samphirevale.platform import notices
from samphirevale.ports import objects

# Kind of the endpoints' objects in the store.
KIND = "servers"

# Whether an endpoint accepts new work, for each known state.
_ACCEPTS_WORK = {"ready": True, "draining": False}


def decode_endpoint(stored: objects.StoredObject) -> catalogue.Endpoint | None:
    """Returns the endpoint, or None if the object is not a valid one."""
    try:
        return _read_endpoint(stored)
    except errors.MalformedValueError:
        return None


def _read_endpoint(stored: objects.StoredObject) -> catalogue.Endpoint:
    """Returns the endpoint.

    Raises:
        errors.MalformedValueError: the object is not a valid one.
    """
    if not stored_values.is_token(stored.name):
        raise errors.MalformedValueError("the name is no token")
    fields = stored_values.Fields(stored.value)
    state = fields.read_text("state")
    if state not in _ACCEPTS_WORK:
        raise errors.MalformedValueError("the state is unknown")
    host, port = fields.read_address("address")
    return catalogue.Endpoint(
        name=stored.name,
        service=fields.read_text("service"),
        host=host,
        port=port,
        data_centre=fields.read_text("zone"),
        accepting=_ACCEPTS_WORK[state],
        slots=fields.read_integer("slots"),
        started=fields.read_integer("born", default=0),
        version=fields.read_text("version"),
    )


def decode_cold_seconds(stored: objects.StoredObject) -> float:
    """Returns how much longer an endpoint is cold, as it says itself.

    The time counts from when the object was written; 0 if it states none.
    """
    value = stored.value
    cold_ms = value.get("cold_remaining_ms") if isinstance(value, dict) else 0
    if isinstance(cold_ms, float):
        cold_ms = 0 if math.isnan(cold_ms) else cold_ms
    elif not stored_values.is_integer(cold_ms):
        return 0.0
    # A whole number may be too large for a division.
    return min(max(cold_ms, 0), 1000 * notices.COLD_SECONDS_LIMIT) / 1000
