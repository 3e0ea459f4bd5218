"""Shows from log lines where streams went on that their callers took up.

    python -m lab.take_ups day.log [another.log ...]

Prints how many take-ups went on, by the version that began the stream and the
one that went on, how many were refused, by reason, and how many streams went
on of those that had an endpoint of their version when they were taken up.
Exits with 1 if a stream went on at another version.
"""

import argparse
import collections
import pathlib
import sys
from collections.abc import Iterable
from typing import Any, NamedTuple

from samphirevale import log_analysis

# How a take-up ended that no line tells the end of.
OPEN = "open"


class TakeUp(NamedTuple):
    """One attempt of a caller to go on with a stream.

    Attributes:
        stream: the attempt that brought the stream's first event.
        began_at: the version that began it; None if no line tells.
        went_on_at: the version that went on; None if none did.
        refused: the reason of the refusal; empty without one.
        lived: whether the entry knew an endpoint of the first version that
            accepted work.
    """

    stream: str
    began_at: str | None
    went_on_at: str | None
    refused: str
    lived: bool


class _View:
    """The endpoints that accept work, as the lines of one entry tell."""

    def __init__(self):
        self._accepting: dict[str, tuple[str, str]] = {}

    def adopt(self, line: dict[str, Any]) -> None:
        """Adopts a change of an endpoint."""
        if line["gone"] or not line["accepting"]:
            self._accepting.pop(line["endpoint"], None)
        else:
            origin = line["service"], line["version"]
            self._accepting[line["endpoint"]] = origin

    def lives(self, origin: tuple[str, str] | None) -> bool:
        """Returns whether an endpoint offers a service at a version."""
        return origin in self._accepting.values()


def list_take_ups(lines: Iterable[dict[str, Any]]) -> list[TakeUp]:
    """Returns the take-ups in the order of their arrival."""
    # What the present process of each entry knows.
    views: dict[str, _View] = collections.defaultdict(_View)
    # Where each attempt was answered last, as service and version.
    answered: dict[str, tuple[str, str]] = {}
    refused: dict[str, str] = {}
    arrivals: dict[str, tuple[str, bool]] = {}
    for line in lines:
        event, request = line["event"], line.get("request", "")
        view = views[line["instance"]]
        if event == "started":
            del views[line["instance"]]
        elif event == "endpoint_changed":
            view.adopt(line)
        elif event == "request_accepted" and line["first_attempt"]:
            stream = line["first_attempt"]
            lived = view.lives(answered.get(stream))
            arrivals[request] = stream, lived
        elif event == "request_sent" and line["status"] == 200:
            answered[request] = line["service"], line["version"]
        elif event == "request_refused":
            refused[request] = line["reason"]
    return [
        TakeUp(
            stream,
            answered.get(stream, (None, None))[1],
            answered.get(request, (None, None))[1],
            refused.get(request, ""),
            lived,
        )
        for request, (stream, lived) in arrivals.items()
    ]


def count_outcomes(
    take_ups: Iterable[TakeUp],
) -> collections.Counter[tuple[str, str]]:
    """Returns how often each version went on at each, or why none did."""
    return collections.Counter(
        (item.began_at or "unknown", item.went_on_at or item.refused or OPEN)
        for item in take_ups
    )


def list_joined(take_ups: Iterable[TakeUp]) -> list[TakeUp]:
    """Returns the take-ups that went on at another version."""
    return [
        item
        for item in take_ups
        if item.began_at is not None
        and item.went_on_at not in (None, item.began_at)
    ]


def count_streams(take_ups: Iterable[TakeUp]) -> tuple[int, int]:
    """Returns how many streams whose version lived there were, and went on."""
    lived = {item.stream for item in take_ups if item.lived}
    went_on = {item.stream for item in take_ups if item.went_on_at is not None}
    return len(lived), len(lived & went_on)


def main() -> int:
    """Prints what became of the take-ups in log files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    options = parser.parse_args()
    take_ups = []
    for path in options.logs:
        with path.open() as log:
            take_ups += list_take_ups(log_analysis.parse_lines(log))
    for (began_at, outcome), count in sorted(count_outcomes(take_ups).items()):
        print(f"{began_at:12} -> {outcome:24} {count:5}")
    joined = list_joined(take_ups)
    lived, went_on = count_streams(take_ups)
    print(f"{len(joined)} joined; {went_on} of {lived} streams went on")
    for item in joined:
        print(f"joined: {item.stream} {item.began_at} -> {item.went_on_at}")
    return 1 if joined else 0


if __name__ == "__main__":
    sys.exit(main())
