"""The messages between entries and sidecars, and the CBOR encoding of all.

A frame is one CBOR array `[version, tag, revision, field, ...]`. `revision`
is the sender's configuration revision; carrying it in every frame lets a
process notice that a peer has a newer configuration. docs/PROTOCOL.md
describes the order of the messages.
"""

import functools
import math
import types
import typing
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2

from samphirevale import errors

# Must be increased when a field is added, removed or changes its meaning.
PROTOCOL_VERSION = 10

# Maximum size of a frame, in bytes.
FRAME_BYTES_LIMIT = 4 * 1024 * 1024

# Number of leading digits of a prefix's digest sent in heartbeats. The digits
# are only a hint for routing: two prefixes that share them lead to a cache
# miss, not to a wrong answer.
PREFIX_DIGITS = 16


_types: dict[str, type] = {}


def register(tag: str) -> Callable[[type], type]:
    """Returns a decorator that registers a message type under `tag`."""

    def add(message_type: type) -> type:
        _types[tag] = message_type
        message_type.tag = tag
        return message_type

    return add


class Frame(NamedTuple):
    """A decoded frame.

    Attributes:
        revision: the sender's configuration revision.
        message: one of the registered message types.
    """

    revision: int
    message: Any


@register("hello")
class Hello(NamedTuple):
    """The first message of each side of a connection.

    Attributes:
        instance: the sender's instance name.
        incarnation: a random token created at each start of the process.
        role: `entry` or `sidecar`.
        data_centre: the sender's data centre.
        endpoint: name of a sidecar's endpoint; empty for an entry.
        pool: the pool that the endpoint belongs to; empty for an entry.
    """

    instance: str
    incarnation: str
    role: str
    data_centre: str
    endpoint: str
    pool: str


@register("heartbeat")
class Heartbeat(NamedTuple):
    """A periodic sign of life from either side.

    An entry leaves the load fields at their defaults. The defaults are
    integers because CBOR encodes 0 in one byte and 0.0 in nine.

    Attributes:
        sequence: number of the heartbeat on its connection, from 0.
        leaving: whether the sender accepts no new work.
        running: number of attempts that the endpoint is running.
        waiting: number of attempts in the sidecar's queue.
        limit: the sidecar's limit on concurrent attempts.
        service_ms: moving average of an attempt's time at the endpoint; 0 if
            unknown.
        wait_ms: estimated time that a new attempt would wait in the queue.
        load_age_ms: age of the endpoint's last load report; 0 if there is
            none.
        batches: ids of the batches that the endpoint has loaded.
        prefixes: the first PREFIX_DIGITS of the digests of the cached prompt
            prefixes. On the wire the field has only those added since the
            connection's previous heartbeat (prefixes.py).
        healthy: whether the endpoint's last probe succeeded.
        prefixes_gone: on the wire, the prefixes removed since the previous
            heartbeat; otherwise empty.
    """

    sequence: int
    leaving: bool
    running: int = 0
    waiting: int = 0
    limit: int = 0
    service_ms: float = 0
    wait_ms: float = 0
    load_age_ms: float = 0
    batches: list[str] = []
    prefixes: list[str] = []
    healthy: bool = True
    prefixes_gone: list[str] = []


@register("handover")
class Handover(NamedTuple):
    """Hands one attempt of one stage to a sidecar.

    Attributes:
        request: the request's id, unique over all entries.
        stage: the stage's name in its pipeline.
        attempt: the attempt's id, unique over all entries.
        pipeline: the pipeline's name.
        account: name of the caller's account.
        payload: `{"input": ..., "prior": ...}`, forwarded to the endpoint.
        remaining_ms: time until the request's deadline.
        priority: the priority; 0 is the most urgent.
        repeatable: whether the stage may run more than once.
        key: the caller's idempotency key; empty if there is none.
        batch: id of the batch to run on; empty if the stage has no model.
        offset: number of tokens that the caller already has.
        fingerprint: digest of account and input, used for quarantine.
        stream: whether to send chunks before the result.
    """

    request: str
    stage: str
    attempt: str
    pipeline: str
    account: str
    payload: Any
    remaining_ms: int
    priority: int
    repeatable: bool
    key: str
    batch: str
    offset: int
    fingerprint: str
    stream: bool


@register("chunk")
class Chunk(NamedTuple):
    """Consecutive tokens of a streamed answer.

    Attributes:
        request: the request's id.
        stage: the stage's name.
        attempt: the attempt's id.
        sequence: index of the first token in the complete answer, from 0 (not
            relative to the resume offset).
        tokens: the tokens, in order.
    """

    request: str
    stage: str
    attempt: str
    sequence: int
    tokens: list[str]


@register("result")
class Result(NamedTuple):
    """The result of one attempt.

    Attributes:
        request: the request's id.
        stage: the stage's name.
        attempt: the attempt's id.
        payload: the stage's result; None for a streamed answer.
        count: number of tokens in the complete answer, including those
            before `offset`.
        digest: SHA-256 in hexadecimal over the tokens of the complete answer,
            as reported by the endpoint; empty if it reports none.
        busy_ms: the endpoint's processing time.
        batch: id of the batch that ran the attempt; empty if the stage has no
            model.
    """

    request: str
    stage: str
    attempt: str
    payload: Any
    count: int
    digest: str
    busy_ms: float
    batch: str


@register("refusal")
class Refusal(NamedTuple):
    """The end of an attempt without a result.

    Attributes:
        request: the request's id.
        stage: the stage's name.
        attempt: the attempt's id.
        outcome: `not_run` (the endpoint did not run the attempt), `failed`
            (it may have run the attempt and returned no result) or `unknown`
            (as `failed`, for a call that may not be repeated).
        reason: one of REFUSAL_REASONS.
        detail: human-readable explanation.
        retry_after_ms: time after which a retry makes sense; 0 if unknown.
        busy_ms: time that the endpoint spent on the attempt.
    """

    request: str
    stage: str
    attempt: str
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int
    busy_ms: float


# The reasons for which an attempt ends without a result.
REFUSAL_REASONS = frozenset(
    {
        "overloaded",
        "leaving",
        "late",
        "recalled",
        "not_loaded",
        "duplicate",
        "crashed",
        "cancelled",
        "endpoint_refused",
        "endpoint_failed",
        "unreachable",
        "no_configuration",
    }
)


@register("cancel")
class Cancel(NamedTuple):
    """Asks a sidecar to cancel an attempt that the entry no longer needs."""

    request: str
    stage: str
    attempt: str


@register("crash_notice")
class CrashNotice(NamedTuple):
    """Notifies entries that an endpoint crashed while it ran an input.

    Attributes:
        fingerprint: digest of account and input.
        attempt: id of the attempt that was running.
    """

    fingerprint: str
    attempt: str


@register("snapshot_request")
class SnapshotRequest(NamedTuple):
    """Asks a peer that announced a higher revision for its configuration."""

    known_revision: int


@register("snapshot")
class Snapshot(NamedTuple):
    """A complete configuration: the fields of configuration.Configuration."""

    revision: int
    value: dict


def round_ms(milliseconds: float) -> float:
    """Rounds to whole milliseconds, which take fewer bytes in CBOR.

    Infinity and NaN, which endpoints may report, are returned unchanged.
    """
    if not math.isfinite(milliseconds):
        return milliseconds
    return round(milliseconds)


def encode_frame(message: Any, revision: int) -> bytes:
    """Returns the encoded frame."""
    return cbor2.dumps([PROTOCOL_VERSION, message.tag, revision, *message])


def decode_frame(data: bytes) -> Frame:
    """Returns the decoded frame.

    Raises:
        errors.ProtocolError: the data is not CBOR, has another protocol
            version or an unknown message type, or its fields have the wrong
            number or type.
    """
    try:
        items = cbor2.loads(data)
    except Exception as error:
        raise errors.ProtocolError(f"not a CBOR frame: {error}") from error
    if not isinstance(items, list) or len(items) < 3:
        raise errors.ProtocolError("a frame is an array of three or more")
    version, tag, revision, *fields = items
    if version != PROTOCOL_VERSION:
        raise errors.ProtocolError(
            f"frame of version {version!r}, this is {PROTOCOL_VERSION}"
        )
    if not isinstance(tag, str) or tag not in _types:
        raise errors.ProtocolError(f"unknown message {tag!r}")
    if not _is_integer(revision):
        raise errors.ProtocolError("the revision is an integer")
    return Frame(revision, _build_message(_types[tag], fields))


def _build_message(message_type: type, fields: list) -> Any:
    checks = _build_field_checks(message_type)
    if len(fields) != len(checks):
        raise errors.ProtocolError(
            f"{message_type.tag} has {len(checks)} fields, got {len(fields)}"
        )
    for value, check in zip(fields, checks, strict=True):
        if not check.accepts(value):
            raise errors.ProtocolError(
                f"{message_type.tag}.{check.name} is of type {check.type_name}"
            )
    return message_type(*fields)


class _FieldCheck(NamedTuple):
    """The check of one field of a message type."""

    name: str
    type_name: str
    accepts: Callable[[Any], bool]


@functools.cache
def _build_field_checks(message_type: type) -> tuple[_FieldCheck, ...]:
    return tuple(
        _FieldCheck(
            name,
            str(getattr(expected, "__name__", expected)),
            _build_type_check(expected),
        )
        for name, expected in typing.get_type_hints(message_type).items()
    )


def _build_type_check(expected: Any) -> Callable[[Any], bool]:
    """Returns a function that tells whether a decoded value has a type."""
    if expected is Any:
        return lambda value: True
    if isinstance(expected, types.GenericAlias):
        (item_type,) = typing.get_args(expected)
        accepts_item = _build_type_check(item_type)
        return lambda value: (
            isinstance(value, list) and all(map(accepts_item, value))
        )
    if expected is float:
        return _is_number
    if expected is int:
        return _is_integer
    return lambda value: isinstance(value, expected)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
