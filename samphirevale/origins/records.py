"""The record of an entry in the store of where its streams began."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from samphirevale import errors, stored_values, stream_origins

# The kind of the records in the store, each under the name of its entry.
KIND = "samphirevale-streams"


class OriginRecord(NamedTuple):
    """What one entry has written down.

    Attributes:
        origins: where streams of this entry may have begun that still run.
        moved: the services that routes had until lately, by the routes' names.
        streams: where single streams began, by the attempt that brought the
            first event.
    """

    origins: frozenset[stream_origins.StreamOrigin] = frozenset()
    moved: Mapping[str, frozenset[str]] = {}
    streams: Mapping[str, stream_origins.StreamOrigin] = {}


def encode_record(record: OriginRecord) -> dict[str, Any]:
    """Returns the stored form of a record."""
    origins = sorted(record.origins | set(record.streams.values()))
    numbers = {origin: number for number, origin in enumerate(origins)}
    return {
        "origins": [list(origin) for origin in origins],
        "moved": {
            route: sorted(services) for route, services in record.moved.items()
        },
        "streams": {
            attempt: numbers[origin]
            for attempt, origin in record.streams.items()
        },
    }


def decode_record(value: Any) -> OriginRecord | None:
    """Returns the record; None if it is malformed."""
    try:
        fields = stored_values.Fields(value)
        origins = list(map(_decode_origin, fields.read_list("origins")))
        return OriginRecord(
            frozenset(origins),
            {
                route: _decode_services(services)
                for route, services in fields.read_items("moved")
            },
            {
                attempt: _find_origin(origins, number)
                for attempt, number in fields.read_items("streams")
            },
        )
    except errors.MalformedValueError:
        return None


def _decode_origin(value: Any) -> stream_origins.StreamOrigin:
    if not isinstance(value, list) or len(value) != 2:
        raise errors.MalformedValueError("no service and version")
    return stream_origins.StreamOrigin(*map(stored_values.check_string, value))


def _decode_services(value: Any) -> frozenset[str]:
    if not isinstance(value, list):
        raise errors.MalformedValueError("no list of services")
    return frozenset(map(stored_values.check_string, value))


def _find_origin(
    origins: list[stream_origins.StreamOrigin], number: Any
) -> stream_origins.StreamOrigin:
    if stored_values.is_integer(number) and 0 <= number < len(origins):
        return origins[number]
    raise errors.MalformedValueError("no number of an origin")


def find_stream(
    known: Iterable[OriginRecord], attempt: str
) -> stream_origins.StreamOrigin | None:
    """Returns where a stream began; None if no record tells it."""
    for record in known:
        if attempt in record.streams:
            return record.streams[attempt]
    return None


def list_candidates(
    known: Iterable[OriginRecord], route: str, services: Iterable[str]
) -> set[stream_origins.StreamOrigin]:
    """Returns where a stream of a route may have begun.

    Args:
        known: the records of all entries.
        route: the name of the route.
        services: the services that the route has now.
    """
    known = list(known)
    possible = set(services)
    for record in known:
        possible |= record.moved.get(route, frozenset())
    return {
        origin
        for record in known
        for origin in record.origins
        if origin.service in possible
    }
