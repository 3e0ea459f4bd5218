"""Checks what callers and endpoints have seen, and traces joined streams."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from lab.soak import records, system

# Why a stream went on at another version.
BEGIN = "begin"
ORIGIN = "origin"
BETWEEN = "between"
UNKNOWN = "unknown"

# What each cause means.
CAUSES = {
    BEGIN: "it began at a start that the entry did not know",
    ORIGIN: "the entry that went on took it for one of another version",
    BETWEEN: "the entry that went on did not know the start that did",
    UNKNOWN: "lines are missing",
}

# The status of an unexpected error in an entry. No endpoint answers with it.
INTERNAL_ERROR = 500

# The largest error of the times of lines, in seconds.
SLACK_SECONDS = 0.005

# The log lines that a trace shows.
_TRACED = frozenset(
    {
        "request_accepted",
        "request_refused",
        "request_sent",
        "send_failed",
        "stream_bound",
        "origin_read",
        "stream_ended",
        "stream_silent",
        "stream_waits",
        "endpoint_asked",
    }
)


class Finding(NamedTuple):
    """A broken rule: what is broken, of which stream or request, and how."""

    kind: str
    stream: str
    text: str


class Seen(NamedTuple):
    """All that was seen of a play.

    Attributes:
        legs: the callers' requests, in the order of their ends.
        starts: the starts of endpoints, each at the place of its number.
        runs: the requests that endpoints began to run, in order.
        events: the number of events of a whole stream.
        dead: the names of the entries that have ended by themselves.
    """

    legs: Sequence[records.Leg]
    starts: Sequence[records.Start]
    runs: Sequence[records.Run]
    events: int
    dead: Sequence[str] = ()


def check_all(seen: Seen) -> list[Finding]:
    """Returns the broken rules."""
    findings = []
    for stream, legs in group_streams(seen.legs).items():
        findings += _check_stream(stream, legs, seen.events)
    findings += _check_once(seen)
    findings += [
        Finding("error", leg.attempt, leg.text)
        for leg in seen.legs
        if leg.status == INTERNAL_ERROR
    ]
    findings += [Finding("dead", name, "ended by itself") for name in seen.dead]
    return findings


def group_streams(
    legs: Iterable[records.Leg],
) -> dict[str, list[records.Leg]]:
    """Returns the requests for streams, by stream, in their order."""
    streams: dict[str, list[records.Leg]] = collections.defaultdict(list)
    for leg in legs:
        if not leg.path.startswith((system.REPEATABLE, system.ONCE)):
            streams[leg.stream].append(leg)
    return streams


def _check_stream(
    stream: str, legs: Sequence[records.Leg], events: int
) -> list[Finding]:
    findings = []
    joined = [event for leg in legs for event in leg.events]
    numbers = [number for number, _ in joined]
    if numbers != list(range(1, len(numbers) + 1)):
        findings.append(Finding("numbers", stream, f"events {numbers}"))
    if len({version for _, version in joined}) > 1:
        findings.append(Finding("joined", stream, _describe_events(joined)))
    is_whole = bool(numbers) and numbers[-1] >= events
    for leg in legs:
        if leg.end == records.COMPLETE and leg.status == 200 and not is_whole:
            findings.append(Finding("short", stream, f"events {numbers}"))
        if leg.end == records.COMPLETE and leg.text:
            findings.append(Finding("other text", stream, leg.text))
    return findings


def _check_once(seen: Seen) -> list[Finding]:
    counts = collections.Counter(
        run.attempt for run in seen.runs if run.path.startswith(system.ONCE)
    )
    findings = [
        Finding("twice", attempt, f"{count} runs")
        for attempt, count in counts.items()
        if count > 1
    ]
    for leg in seen.legs:
        if leg.status in records.NOT_RUN and counts[leg.attempt]:
            findings.append(
                Finding("refused", leg.attempt, f"{leg.status}, but has run")
            )
    return findings


def count_ends(legs: Iterable[records.Leg]) -> dict[str, int]:
    """Returns how often requests ended in each way, by kind."""
    counts: collections.Counter[str] = collections.Counter()
    for leg in legs:
        way = f"{leg.end} {leg.status}" if leg.status else leg.end
        if leg.end == records.BROKEN and leg.kept and not leg.status:
            way = "no answer on an open connection"
        prefix, _, _ = leg.path.rpartition("/")
        counts[f"{prefix}/ {way}"] += 1
    return dict(sorted(counts.items()))


def compute_served(legs: Iterable[records.Leg]) -> dict[str, float]:
    """Returns the shares of streams that were served, of all answered ones.

    Those that begin and those that are taken up, with the numbers of both.
    """
    shares: dict[str, float] = {}
    answered = [
        leg
        for stream in group_streams(legs).values()
        for leg in stream
        if leg.status
    ]
    for kind, taken_up in (("begun", False), ("taken_up", True)):
        of_kind = [leg for leg in answered if bool(leg.last_event) == taken_up]
        served = sum(leg.status == 200 for leg in of_kind)
        shares[f"{kind}_share"] = round(served / max(len(of_kind), 1), 4)
        shares[f"{kind}_answered"] = len(of_kind)
    return shares


def count_refusals(
    legs: Iterable[records.Leg], taken_up: bool = True
) -> dict[str, int]:
    """Returns how often streams were refused, by the reason told.

    Args:
        legs: the requests of all streams.
        taken_up: whether those that are taken up count, or those that begin.
    """
    return dict(
        collections.Counter(
            leg.text.strip()
            for stream in group_streams(legs).values()
            for leg in stream
            if leg.end == records.REFUSED and bool(leg.last_event) == taken_up
        )
    )


def find_cause(
    legs: Sequence[records.Leg],
    seen: Seen,
    lines: Mapping[str, Sequence[dict[str, Any]]],
) -> str:
    """Returns why a stream went on at another version.

    Args:
        legs: the requests for the stream.
        seen: all that was seen.
        lines: the log lines by request.
    """
    pairs = [
        pair
        for leg in legs
        for pair in _pair_runs(leg, _list_fruitful(leg, seen), seen, lines)
    ]
    if not pairs:
        return UNKNOWN
    first_run, first_line = pairs[0]
    began_at = seen.starts[first_run.start].version
    if first_line is not None and first_line["version"] != began_at:
        return BEGIN
    for run, line in pairs:
        if seen.starts[run.start].version != began_at:
            if line is None:
                return UNKNOWN
            return BETWEEN if line["version"] == began_at else ORIGIN
    return UNKNOWN


def _list_fruitful(leg: records.Leg, seen: Seen) -> list[records.Run]:
    """Returns the runs of a request that gave events, in order.

    A run may break before its first event, or overlap with another one that
    gives the events: its first one has its version then only by chance.
    """
    versions = dict(leg.events)
    return [
        run
        for run in seen.runs
        if run.attempt == leg.attempt
        and versions.get(run.last_event + 1) == seen.starts[run.start].version
    ]


def _pair_runs(
    leg: records.Leg,
    runs: Iterable[records.Run],
    seen: Seen,
    lines: Mapping[str, Sequence[dict[str, Any]]],
) -> list[tuple[records.Run, dict[str, Any] | None]]:
    """Returns runs of a request with the lines of their sends, if any."""
    sends = [
        line
        for line in lines.get(leg.attempt, ())
        if line["event"] == "request_sent"
    ]
    pairs: list[tuple[records.Run, dict[str, Any] | None]] = []
    for run in runs:
        name = seen.starts[run.start].name
        # The line is written once the head of the answer has come.
        earliest = run.at - SLACK_SECONDS
        fitting = [
            line
            for line in sends
            if line["endpoint"] == name and line["time"] > earliest
        ]
        pairs.append((run, fitting[0] if fitting else None))
    return pairs


def build_trace(
    legs: Sequence[records.Leg],
    seen: Seen,
    lines: Mapping[str, Sequence[dict[str, Any]]],
) -> list[str]:
    """Returns what callers, endpoints and entries saw of a stream, in order.

    All times are in seconds from the first request for the stream.
    """
    origin = legs[0].sent_at
    rows = []
    for leg in legs:
        last = f", has {leg.last_event}" if leg.last_event else ""
        what = f"sends {leg.attempt} to {leg.entry}{last}"
        rows.append((leg.sent_at, f"caller  {what}"))
        what = f"{leg.end} {leg.status} {_describe_events(leg.events)}"
        rows.append((leg.ended_at, f"caller  {what} {leg.text.strip()}"))
        for run in seen.runs:
            if run.attempt == leg.attempt:
                start = seen.starts[run.start]
                text = _describe_start(start, run.at)
                what = f"runs {run.attempt} after {run.last_event}"
                rows.append((run.at, f"server  {text} {what}"))
        for line in lines.get(leg.attempt, ()):
            if line["event"] in _TRACED:
                fields = {
                    name: value
                    for name, value in line.items()
                    if name not in ("time", "at", "instance", "event")
                }
                text = f"{line['instance']} {line['event']} {fields}"
                rows.append((line["time"], f"entry   {text}"))
    rows.sort()
    return [f"{at - origin:+8.3f} {text}" for at, text in rows]


def _describe_start(start: records.Start, at: float) -> str:
    registered = "never registered"
    if start.registered_at is not None:
        seconds = at - start.registered_at
        side = "after" if seconds >= 0 else "before"
        registered = f"{abs(seconds):.3f} s {side} its registration"
    return (
        f"{start.name} born {start.born} {start.version}, "
        f"{at - start.began_at:.3f} s old, {registered},"
    )


def _describe_events(events: Iterable[tuple[int, str]]) -> str:
    return " ".join(f"{number}:{version}" for number, version in events)
