"""Extracts the events of a request and causes of failures from log lines."""

import collections
import json
from collections.abc import Iterable
from typing import Any

# Fields that are not repeated in the description of a line.
_HEAD_FIELDS = ("time", "at", "instance", "event", "request")

# Events that end a request without a complete answer of an endpoint, each with
# the field that contains the cause.
FAILURES = {"request_refused": "reason", "stream_ended": "outcome"}

# The outcome of a stream that ended without an error.
COMPLETE = "complete"


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the log events in the lines, sorted by wall-clock time.

    Text before the JSON object of a line, such as the timestamp of a log
    collector, is ignored. Lines without a JSON object are skipped.
    """
    found = []
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            value = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(value, dict) and "event" in value:
            found.append(value)
    return sorted(found, key=lambda value: value.get("time", 0.0))


def list_request_events(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Returns the events of one request as rows, in order."""
    return [
        {
            "seconds": line.get("seconds", ""),
            "instance": line.get("instance", ""),
            "event": line["event"],
            "because": _describe(line),
        }
        for line in lines
        if line.get("request") == request
        or request in (line.get("requests") or ())
    ]


def _describe(line: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in (*_HEAD_FIELDS, "seconds", "requests")
    )


def count_causes(lines: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the failures by cause in order of decreasing frequency."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    examples: dict[tuple[str, str], str] = {}
    for line in lines:
        field = FAILURES.get(line["event"])
        cause = str(line.get(field, "")) if field else COMPLETE
        if cause == COMPLETE:
            continue
        key = (line["event"], cause)
        counts[key] += 1
        examples.setdefault(key, str(line.get("request", "")))
    return [
        {
            "event": event,
            "cause": cause,
            "count": count,
            "request": examples[event, cause],
        }
        for (event, cause), count in counts.most_common()
    ]
