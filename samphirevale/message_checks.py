"""Leaves out of another entry's messages what cannot be used.

A decoded message has fields of its types, but their rows and values are what
the other entry sent. What `check` returns can be used, kept and sent on by all
parts of the program: rows have their fields, names are short, numbers are
finite and within the range that they are written in.
"""

import functools
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from samphirevale import (
    endpoint_limits,
    entry_messages,
    messages,
    stream_origins,
    value_columns,
)
from samphirevale import stored_values as values
from samphirevale.ports import objects

# The largest number of rows of one kind in a message. The largest fleet has
# fewer endpoints.
ROWS_LIMIT = 4096

# The largest number of attempts that a report names for one input.
ATTEMPTS_LIMIT = 16

# The largest number of parts of prompts that one crash accuses.
PARTS_LIMIT = 64

# The longest times, in seconds and in milliseconds.
SECONDS_LIMIT = 1e9
MILLISECONDS_LIMIT = 1e12

Accept = Callable[[Any], bool]

_checks: dict[type, Callable[[Any], Any]] = {}


def check(message: Any) -> Any:
    """Returns a message without what cannot be used.

    Returns:
        The message itself if all of it can be used; None if none of it can.
    """
    clean = _checks.get(type(message))
    if clean is None:
        return message
    cleaned = clean(message)
    return message if cleaned == message else cleaned


def _register(
    message_type: type,
) -> Callable[[Callable[[Any], Any]], Callable[[Any], Any]]:
    """Returns a decorator that registers the check of a message type."""

    def add(clean: Callable[[Any], Any]) -> Callable[[Any], Any]:
        _checks[message_type] = clean
        return clean

    return add


def is_sendable(value: Any) -> bool:
    """Returns whether a value is a text that another entry takes."""
    return isinstance(value, str) and len(value) <= values.TEXT_LIMIT


def list_sendable(texts: Iterable[str], most: int) -> list[str]:
    """Returns texts of callers that another entry takes, at most so many."""
    return list(itertools.islice(filter(is_sendable, texts), most))


def _is_count(value: Any) -> bool:
    return values.is_integer(value) and 0 <= value <= values.INTEGER_LIMIT


def _is_integer(value: Any) -> bool:
    return values.is_integer(value) and abs(value) <= values.INTEGER_LIMIT


def _is_seconds(value: Any) -> bool:
    return values.is_number(value) and 0 <= value <= SECONDS_LIMIT


def _is_age(value: Any) -> bool:
    """Returns whether a value is a time in milliseconds."""
    return values.is_number(value) and 0 <= value <= MILLISECONDS_LIMIT


def _is_limit(value: Any) -> bool:
    """Returns whether a value is a limit in calls a second, or 0 for none."""
    return values.is_number(value) and (
        value == 0
        or endpoint_limits.LEAST_LIMIT <= value <= endpoint_limits.MOST_LIMIT
    )


def _is_version(value: int) -> bool:
    """Returns whether a whole number is a version, or -1 without one."""
    return -1 <= value <= values.INTEGER_LIMIT


def _is_era(value: int) -> bool:
    return entry_messages.NO_ERA <= value <= objects.LAST_ERA


def _are(accepts: Accept, most: int) -> Accept:
    """Returns the check of a list of some values."""
    return lambda found: (
        isinstance(found, list)
        and len(found) <= most
        and all(map(accepts, found))
    )


class _Column(NamedTuple):
    """The check of one field of all rows.

    Attributes:
        accept: returns whether a value is sound.
        accept_all: returns True only if all values of a column are sound. It is
            fast, as most messages are, and may return False nevertheless.
    """

    accept: Accept
    accept_all: Callable[[Sequence[Any]], bool] = lambda column: False


def _build_number_column(
    accept: Accept, types: frozenset[type], lowest: float, highest: float
) -> _Column:
    """Returns the check of numbers in a range."""

    def accept_all(column: Sequence[Any]) -> bool:
        return value_columns.are_of(
            types, column
        ) and value_columns.are_in_range(column, lowest, highest)

    return _Column(accept, accept_all)


def _are_short(column: Sequence[Any]) -> bool:
    """Returns whether all values of a column are texts of a usual length."""
    return value_columns.are_of(
        value_columns.STRING, column
    ) and value_columns.are_short(column)


# The names of endpoints come again in each message.
_is_token_again = functools.lru_cache(ROWS_LIMIT)(values.is_token)


def _are_tokens(column: Sequence[Any]) -> bool:
    return _are_short(column) and all(map(_is_token_again, column))


_NAME = _Column(values.is_token, _are_tokens)
_TEXT = _Column(is_sendable, _are_short)
_COUNT = _build_number_column(
    _is_count, value_columns.WHOLE, 0, values.INTEGER_LIMIT
)
_INTEGER = _build_number_column(
    _is_integer,
    value_columns.WHOLE,
    -values.INTEGER_LIMIT,
    values.INTEGER_LIMIT,
)
_SECONDS = _build_number_column(
    _is_seconds, value_columns.NUMBER, 0, SECONDS_LIMIT
)
_AGE = _build_number_column(
    _is_age, value_columns.NUMBER, 0, MILLISECONDS_LIMIT
)
_LIMIT = _Column(_is_limit)

_QUEUE_STATE = (
    *(_COUNT, _COUNT, _COUNT, _COUNT, _INTEGER),
    *(_SECONDS, _SECONDS, _SECONDS),
)


def _fits(row: list, columns: Sequence[_Column]) -> bool:
    """Returns whether a row has exactly these fields."""
    return len(row) == len(columns) and all(
        column.accept(value) for column, value in zip(columns, row, strict=True)
    )


def _keep(rows: list[list], *columns: _Column) -> list[list]:
    """Returns the rows that have exactly these fields.

    Those beyond ROWS_LIMIT are not looked at, so that a message of the largest
    size takes little time.
    """
    if not rows:
        return rows
    if len(rows) > ROWS_LIMIT:
        rows = rows[:ROWS_LIMIT]
    if set(map(len, rows)) == {len(columns)} and all(
        column.accept_all(found)
        for column, found in zip(columns, zip(*rows, strict=True), strict=True)
    ):
        return rows
    return [row for row in rows if _fits(row, columns)]


def _are_crashes(row: list) -> bool:
    """Returns whether a row has a fingerprint and the ids of attempts."""
    return 1 <= len(row) <= 1 + ATTEMPTS_LIMIT and all(map(is_sendable, row))


@_register(entry_messages.EntryReport)
def _check_report(report: entry_messages.EntryReport) -> Any:
    knows_era = _is_era(report.store_era)
    version = report.cordons_version
    knows_cordons = knows_era and _is_version(version)
    return report._replace(
        queues=_keep(report.queues, _NAME, *_QUEUE_STATE),
        loads=_keep(report.loads, _NAME, _COUNT, _COUNT),
        crashed=list(filter(_are_crashes, report.crashed[:ROWS_LIMIT])),
        pauses=_keep(report.pauses, _NAME, _COUNT, _AGE),
        limits=_keep(report.limits, _NAME, _COUNT, _LIMIT, _AGE),
        store_era=report.store_era if knows_era else entry_messages.NO_ERA,
        routes_version=(
            report.routes_version
            if _is_version(report.routes_version)
            else entry_messages.NO_ROUTES
        ),
        demands=_keep(report.demands, _TEXT, _TEXT, _AGE),
        cordoned=list(filter(values.is_text, report.cordoned[:ROWS_LIMIT])),
        cordons_version=version if knows_cordons else entry_messages.NO_CORDONS,
    )


@_register(entry_messages.EndpointsLeaving)
def _check_leaving(message: entry_messages.EndpointsLeaving) -> Any:
    if len(message.names) != len(message.starts):
        return None
    pairs = zip(message.names, message.starts, strict=True)
    sound = [
        (name, start)
        for name, start in itertools.islice(pairs, ROWS_LIMIT)
        if values.is_token(name) and _is_count(start)
    ]
    return entry_messages.EndpointsLeaving(
        [name for name, _ in sound], [start for _, start in sound]
    )


@_register(entry_messages.CrashEvidence)
def _check_evidence(message: entry_messages.CrashEvidence) -> Any:
    crashes = _keep(
        message.crashes,
        *(_NAME, _COUNT, _AGE),
        _Column(_are(is_sendable, PARTS_LIMIT)),
        _Column(_are(_is_age, PARTS_LIMIT)),
    )
    return entry_messages.CrashEvidence(
        [row for row in crashes if len(row[3]) == len(row[4])],
        _keep(message.answered, _TEXT, _AGE),
        _keep(message.heard, _NAME, _COUNT, _AGE),
    )


@_register(entry_messages.ItemsRequest)
def _check_items(request: entry_messages.ItemsRequest) -> Any:
    sound = (
        values.is_token(request.endpoint)
        and request.indices
        and len(request.indices) <= ROWS_LIMIT
        and len(request.inputs) <= ROWS_LIMIT
        and all(map(_is_count, request.indices))
        and all(map(values.is_result, request.inputs))
        and _is_count(request.stage)
        and _is_count(request.result_bytes)
        and _is_count(abs(request.due_ms))
        and _is_count(abs(request.remaining_ms))
        and _is_integer(request.rank)
    )
    transfers = _keep(request.transfers, _TEXT, _COUNT)
    return request._replace(transfers=transfers) if sound else None


@_register(entry_messages.ItemsResult)
def _check_results(message: entry_messages.ItemsResult) -> Any:
    if len(message.results) != len(message.reasons):
        return None
    outcomes = [
        _clean_outcome(result, reason)
        for result, reason in zip(message.results, message.reasons, strict=True)
    ]
    return message._replace(
        results=[result for result, _ in outcomes],
        reasons=[reason for _, reason in outcomes],
        endpoint=message.endpoint if values.is_token(message.endpoint) else "",
        queue=message.queue if _fits(message.queue, _QUEUE_STATE) else [],
    )


def _clean_outcome(result: str, reason: str) -> tuple[str, str]:
    """Returns an item's result, or why there is none."""
    if values.is_result(result):
        return result, ""
    return "", reason if values.is_reason(reason) else "error"


@_register(entry_messages.ResultsReleased)
def _check_released(message: entry_messages.ResultsReleased) -> Any:
    results = list(filter(values.is_result, message.results[:ROWS_LIMIT]))
    return message._replace(results=results)


@_register(entry_messages.RoutesAge)
def _check_routes_age(message: entry_messages.RoutesAge) -> Any:
    sound = (
        _is_version(message.version)
        and _is_seconds(message.age_seconds)
        and _is_era(message.store_era)
    )
    return message if sound else None


@_register(entry_messages.StreamOriginNotice)
def _check_origin(message: entry_messages.StreamOriginNotice) -> Any:
    sound = (
        values.is_text(message.service)
        and _is_origin_version(message.version)
        and _is_age(message.remaining_ms)
    )
    return message if sound else None


@_register(entry_messages.StreamOriginAnswer)
def _check_origin_answer(message: entry_messages.StreamOriginAnswer) -> Any:
    sound = values.is_text(message.service) and _is_origin_version(
        message.version
    )
    return message if sound else None


def _is_origin_version(value: Any) -> bool:
    return values.is_text(value) or value == stream_origins.UNKNOWN_VERSION


@_register(messages.Hello)
def _check_hello(message: messages.Hello) -> Any:
    sound = (
        message.instance
        and values.is_text(message.instance)
        and values.is_text(message.data_centre)
    )
    return message if sound else None
