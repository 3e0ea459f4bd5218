"""The fields of a proxying entry's log lines by event."""

from collections.abc import Mapping
from typing import Any

from samphirevale import batching, stage_admission
from samphirevale.adapters import web

# Fields of every line. The field `lines_left_out` is present only after lines
# were dropped.
COMMON_FIELDS = frozenset({"time", "at", "instance", "event"})
DROPPED_LINES_FIELD = "lines_left_out"

_ADMISSION = set(stage_admission.Decision._fields)
_REQUEST = {"request", "seconds"}
_ROUTES = {"routes_version", "routes_age"}

EVENTS: Mapping[str, frozenset[str]] = {
    event: frozenset(fields)
    for event, fields in {
        "batch_failed": {"endpoint", "items", "requests", "error"},
        "batch_overdue": {"endpoint"},
        "connection_closed": set(web.ClosedConnection._fields),
        "endpoint_changed": {
            "endpoint",
            "service",
            "address",
            "data_centre",
            "version",
            "accepting",
            "started",
            "gone",
        },
        "cordons_changed": {"data_centres", "version", "source"},
        "endpoint_cold": {"endpoint", "service", "seconds", "source"},
        "endpoint_crashed": {
            "request",
            "endpoint",
            "service",
            "started",
            "parts",
        },
        "endpoint_leaving": {"endpoint", "service", "started", "source"},
        "endpoint_limited": {"endpoint", "service", "limit"},
        "endpoint_not_listed": {"endpoint", "service", "started", "named"},
        "endpoint_paused": {"endpoint", "service", "seconds"},
        "endpoint_silent": {*_REQUEST, "exchanges"},
        "entries_changed": {"count", "joined", "left"},
        "entry_down": {"entry"},
        "entry_up": {"entry"},
        "era_not_stored": {"error"},
        "failed": {"error"},
        "history_gone": {"kind"},
        "message": {"level", "logger", "text"},
        "message_malformed": {"entry", "message"},
        "not_registered": {"error"},
        "notice_malformed": {"endpoint", "text"},
        "origin_read": {"first_attempt", "recorded", "candidates", "whole"},
        "origins_not_stored": {"error"},
        "parts_accepted": {"parts", "source"},
        "parts_not_stored": {"error"},
        "parts_refused": {"parts", "source"},
        "pieces_not_made": {
            "endpoint",
            "service",
            "items",
            "reasons",
            "not_made",
            "requests",
            "stages",
            "room_bytes",
            "wanted_bytes",
        },
        "queue": {"endpoint", *batching.QueueState._fields},
        "refusing": {"busy"},
        "registration_malformed": {"name", "revision"},
        "release_failed": {"endpoint", "error"},
        "reload_failed": {"error"},
        "reloaded": set(),
        "request_accepted": {
            "request",
            "route",
            "service",
            "account",
            "wait_seconds",
            "returned",
            "last_event",
            "first_attempt",
            *_ROUTES,
        },
        "request_answered": {*_REQUEST, "status"},
        "request_refused": {
            *_REQUEST,
            *_ROUTES,
            "status",
            "reason",
            "retry_seconds",
        },
        "request_sent": {
            *_REQUEST,
            "endpoint",
            "service",
            "version",
            "started",
            "asked",
            "named",
            "status",
            "last_event",
        },
        "requests_ending": {"busy", "turn_seconds"},
        "room_adopted": {"endpoint", "believed_bytes", "room_bytes"},
        "room_unknown": {"endpoint", "error"},
        "routes_adopted": {"version", "revision", "hosts"},
        "routes_malformed": {"revision", "error"},
        "send_failed": {"request", "endpoint", "handed_over", "error"},
        "stages_begun": {*_REQUEST, *_ADMISSION},
        "stages_done": {
            *_REQUEST,
            "results",
            "endpoints",
            "wanted_data_centre",
        },
        "stages_overloaded": {"request", "rank", "returned", *_ADMISSION},
        "started": {"settings"},
        "stopped": {"busy"},
        "stopping": {"busy"},
        "routes_not_read": {"error"},
        "store_era_changed": {"era", "previous", "learned_from"},
        "store_lost": {"kind", "error"},
        "store_regained": {"kind"},
        "stream_bound": {
            "request",
            "first_attempt",
            "service",
            "version",
            "remembered",
        },
        "start_unnamed": {"endpoint", "service", "started", "error"},
        "stream_version_known": {"request", "endpoint", "service", "version"},
        "stream_ended": {*_REQUEST, "outcome", "last_event"},
        "stream_silent": {*_REQUEST, "outcome", "last_event"},
        "stream_waits": {*_REQUEST, "wait_seconds"},
        "tasks_ended": {"callers_seconds", "seconds"},
    }.items()
}


def find_deviations(line: Mapping[str, Any]) -> list[str]:
    """Returns descriptions of a line's deviations from the schema."""
    event = line.get("event")
    if event not in EVENTS:
        return [f"unknown event {event!r}"]
    expected = EVENTS[event] | COMMON_FIELDS
    found = set(line) - {DROPPED_LINES_FIELD}
    deviations = [f"{event} lacks {name}" for name in sorted(expected - found)]
    return deviations + [
        f"{event} has {name}" for name in sorted(found - expected)
    ]
