"""Shows from log lines where requests of a proxying entry lost time.

    python -m lab.losses day.log [another.log ...]

Prints one row for each route and kind of attempt: first attempts, and
requests that returned after a refusal. Each row has the numbers of outcomes
and the median times in the stages, in excess of the stages' own time, at the
model endpoint and in total.
"""

import argparse
import pathlib
import statistics
from collections.abc import Iterable
from typing import Any, NamedTuple

from samphirevale import log_analysis, retry_detection

# The events that report the start of a request's stages or its refusal.
ADMISSIONS = ("stages_begun", "stages_overloaded")

COLUMNS = (
    "route",
    "attempt",
    "requests",
    "whole",
    "refused",
    "broken",
    "open",
    "stages_s",
    "queued_s",
    "model_s",
    "total_s",
)


class RequestTimes(NamedTuple):
    """The outcome and the times of one request.

    Attributes:
        route: the name of its route.
        returned: whether it returned after a refusal.
        end: `whole`, `refused`, `broken`, or `open` if no line reports the
            end.
        bare_seconds: the time of its stages at idle endpoints; None without
            stages.
        stage_seconds: the time until its stages were done; None if they were
            not.
        sent_seconds: the time until the event `request_sent`, at which an
            endpoint's answer began; None if no answer began.
        total_seconds: the time until its end; None if it is open.
    """

    route: str
    returned: bool
    end: str
    bare_seconds: float | None
    stage_seconds: float | None
    sent_seconds: float | None
    total_seconds: float | None


def collect_request_times(
    lines: Iterable[dict[str, Any]],
) -> list[RequestTimes]:
    """Returns the outcomes and times of all accepted requests."""
    by_request: dict[str, dict[str, dict[str, Any]]] = {}
    for line in lines:
        if "request" in line:
            # Only the first line of an event counts; retries log it again.
            events = by_request.setdefault(line["request"], {})
            events.setdefault(line["event"], line)
    waits = retry_detection.WaitHistory()
    return [
        _build_times(events, waits)
        for events in by_request.values()
        if "request_accepted" in events
    ]


def _build_times(
    events: dict[str, dict[str, Any]], waits: retry_detection.WaitHistory
) -> RequestTimes:
    accepted = events["request_accepted"]
    admission = next((events[n] for n in ADMISSIONS if n in events), {})
    end, total = _find_end(events)
    return RequestTimes(
        accepted["route"],
        waits.record_wait(accepted["route"], accepted["wait_seconds"]),
        end,
        admission.get("bare_seconds"),
        _read_seconds(events, "stages_done"),
        _read_seconds(events, "request_sent"),
        total,
    )


def _find_end(
    events: dict[str, dict[str, Any]],
) -> tuple[str, float | None]:
    """Returns how a request ended and after how many seconds."""
    if "request_answered" in events:
        return "whole", _read_seconds(events, "request_answered")
    if "stream_ended" in events:
        line = events["stream_ended"]
        whole = line["outcome"] == log_analysis.COMPLETE
        return "whole" if whole else "broken", line["seconds"]
    if "request_refused" in events:
        return "refused", _read_seconds(events, "request_refused")
    return "open", None


def _read_seconds(
    events: dict[str, dict[str, Any]], event: str
) -> float | None:
    return events[event]["seconds"] if event in events else None


def build_rows(timings: Iterable[RequestTimes]) -> list[tuple]:
    """Returns a row for each route and kind of attempt, as in COLUMNS."""
    groups: dict[tuple[str, bool], list[RequestTimes]] = {}
    for timing in timings:
        groups.setdefault((timing.route, timing.returned), []).append(timing)
    return [
        _build_row(route, returned, group)
        for (route, returned), group in sorted(groups.items())
    ]


def _build_row(
    route: str, returned: bool, timings: list[RequestTimes]
) -> tuple:
    ends = [timing.end for timing in timings]
    staged = [c for c in timings if c.stage_seconds is not None]
    return (
        route,
        "returned" if returned else "first",
        len(timings),
        *(ends.count(end) for end in ("whole", "refused", "broken", "open")),
        _compute_median(c.stage_seconds for c in staged),
        _compute_median(
            c.stage_seconds - c.bare_seconds
            for c in staged
            if c.bare_seconds is not None
        ),
        _compute_median(
            c.sent_seconds - c.stage_seconds
            for c in staged
            if c.sent_seconds is not None
        ),
        _compute_median(
            c.total_seconds
            for c in timings
            if c.end == "whole" and c.total_seconds is not None
        ),
    )


def _compute_median(values: Iterable[float]) -> float | None:
    found = list(values)
    return round(statistics.median(found), 3) if found else None


def format_table(rows: Iterable[tuple]) -> str:
    """Returns an aligned table with a heading; `-` marks missing values."""
    texts = [COLUMNS] + [
        tuple("-" if value is None else str(value) for value in row)
        for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return "\n".join(
        "  ".join(
            text.rjust(width) for text, width in zip(row, widths, strict=True)
        )
        for row in texts
    )


def main() -> None:
    """Prints the table for the log files in the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    lines = [
        line
        for path in parser.parse_args().logs
        for line in path.read_text(errors="replace").splitlines()
    ]
    timings = collect_request_times(log_analysis.parse_lines(lines))
    print(format_table(build_rows(timings)))


if __name__ == "__main__":
    main()
