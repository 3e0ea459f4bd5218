"""What a caller asks for, read and checked, and what it is answered."""

import hashlib
import json
import re
from typing import Any, NamedTuple

from samphirevale import configuration, errors, quarantine
from samphirevale.adapters import web

# An idempotency key: what may stand in a URL path without quoting.
KEY_PATTERN = re.compile(r"[A-Za-z0-9._~:-]{1,128}")

# The fields that a request's body may have.
BODY_FIELDS = frozenset(
    {"input", "deadline_ms", "stream", "idempotent", "priority"}
)

# The deepest nesting of a body: every encoder on the way still takes it.
NESTING_LIMIT = 64

# The least urgent priority; 0 is the most urgent.
LOWEST_PRIORITY = 9


class CallerRequest(NamedTuple):
    """A request that has been checked.

    Attributes:
        id: unique over all entries.
        account: the client account.
        pipeline: the pipeline's name.
        input: JSON, as the caller sent it.
        deadline_ms: the whole time that the caller gives it.
        stream: tokens are sent as they come.
        idempotent: False if the request must run at most once.
        key: the idempotency key; empty if there is none.
        priority: 0 is the most urgent.
        fingerprint: digest of account and input, for quarantine.
    """

    id: str
    account: str
    pipeline: str
    input: Any
    deadline_ms: int
    stream: bool
    idempotent: bool
    key: str
    priority: int
    fingerprint: str


class StageUse(NamedTuple):
    """What one stage of a request took.

    Attributes:
        stage: the stage's name.
        seconds: from the first hand-over to the result.
        busy_ms: the time that endpoints worked for the result.
        wasted_ms: the time that endpoints worked on failed attempts.
        attempts: how many attempts were handed over.
        failed: how many of them ended without a result.
        tokens: the tokens that the result was generated with.
        wasted_tokens: tokens of failed attempts that the result lacks.
    """

    stage: str
    seconds: float
    busy_ms: float
    wasted_ms: float
    attempts: int
    failed: int = 0
    tokens: int = 0
    wasted_tokens: int = 0


class Whole(NamedTuple):
    """A whole answer.

    Attributes:
        result: the last stage's result.
        count: tokens in the answer; 0 where nothing was generated.
        digest: SHA-256 in hex over the tokens, each with a newline; empty
            where nothing was generated.
        stages: what each stage took, in order.
        replayed: the answer was kept from an earlier run of the same key.
    """

    result: Any
    count: int
    digest: str
    stages: tuple[StageUse, ...]
    replayed: bool = False


class Refused(NamedTuple):
    """An honest refusal.

    Attributes:
        outcome: `not_run`, `not_completed`, `unknown` or `invalid`.
        status: the HTTP status.
        reason: one word for programs, such as `overloaded`.
        detail: for people.
        retry_after_seconds: when to come back; 0 if asking again is useless.
        findings: what is wrong, for `invalid`.
    """

    outcome: str
    status: int
    reason: str
    detail: str
    retry_after_seconds: float = 0.0
    findings: tuple[errors.Finding, ...] = ()


Answer = Whole | Refused


def index_accounts(
    value: configuration.ConfigurationValue,
) -> dict[str, str]:
    """Returns the accounts' names by the digests of their tokens."""
    return {
        account["token_digest"]: name
        for name, account in value["accounts"].items()
    }


def find_account(
    headers: dict[str, str], accounts: dict[str, str]
) -> str | None:
    """Returns the account whose token the request bears, or None.

    The look-up is by the token's digest: whoever measures how long it takes
    learns of digests that no token can be made to fit.

    Args:
        headers: the request's headers.
        accounts: as index_accounts gives them.
    """
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    return accounts.get(hashlib.sha256(token.encode()).hexdigest())


def read_request(
    request: web.Request,
    request_id: str,
    account: str,
    pipeline_name: str,
    held: configuration.Configuration,
) -> CallerRequest:
    """Returns the checked request.

    Raises:
        errors.InvalidInputError: with every finding at once.
    """
    findings = []
    pipeline = held.value["pipelines"].get(pipeline_name)
    if pipeline is None:
        findings.append(
            errors.Finding("pipeline", "a known pipeline", pipeline_name[:80])
        )
    body = _read_body(request.body, findings)
    longest_ms = pipeline["deadline_ms"] if pipeline else 0
    deadline_ms = body.get("deadline_ms", longest_ms)
    _check_body(body, longest_ms, findings)
    key = request.headers.get("idempotency-key", "")
    _check_key(key, _why_key(pipeline, body), findings)
    if findings:
        raise errors.InvalidInputError(findings)
    return CallerRequest(
        id=request_id,
        account=account,
        pipeline=pipeline_name,
        input=body["input"],
        deadline_ms=min(deadline_ms, longest_ms),
        stream=body.get("stream", False),
        idempotent=body.get("idempotent", True),
        key=key,
        priority=body.get("priority", LOWEST_PRIORITY),
        fingerprint=quarantine.compute_fingerprint(account, body["input"]),
    )


def is_repeatable(
    stage: configuration.StageConfiguration, idempotent: bool
) -> bool:
    """Tells whether a stage of a request may be run more than once."""
    if stage["repeatable"] is None:
        return idempotent
    return stage["repeatable"]


def _read_body(data: bytes, findings: list[errors.Finding]) -> dict:
    try:
        body = json.loads(data)
        _check_encodable(body)
    except (ValueError, RecursionError) as error:
        findings.append(errors.Finding("body", "JSON", str(error)[:80]))
        return {}
    if not isinstance(body, dict):
        findings.append(
            errors.Finding("body", "a JSON object", type(body).__name__)
        )
        return {}
    return body


def _check_encodable(body: Any) -> None:
    """Checks that what was read can be sent on to any endpoint.

    The parser takes NaN, numbers out of range and halves of surrogate pairs,
    which neither JSON nor CBOR can carry.

    Raises:
        ValueError: it cannot.
    """
    if _is_nested_deeper(body, NESTING_LIMIT):
        raise ValueError(f"nested deeper than {NESTING_LIMIT}")
    json.dumps(body, ensure_ascii=False, allow_nan=False).encode()


def _is_nested_deeper(value: Any, limit: int) -> bool:
    """Tells whether maps and lists lie more than `limit` deep."""
    level = [value]
    for _ in range(limit + 1):
        level = [
            item
            for held in level
            if isinstance(held, dict | list)
            for item in (held.values() if isinstance(held, dict) else held)
        ]
    return bool(level)


def _check_body(
    body: dict, longest_ms: int, findings: list[errors.Finding]
) -> None:
    for name in sorted(set(body) - BODY_FIELDS):
        findings.append(
            errors.Finding(
                f"body.{name}"[:80], f"one of {', '.join(sorted(BODY_FIELDS))}"
            )
        )
    if "input" not in body:
        findings.append(errors.Finding("body.input", "a JSON value"))
    for name in ("stream", "idempotent"):
        if not isinstance(body.get(name, True), bool):
            findings.append(
                errors.Finding(
                    f"body.{name}", "true or false", _shorten(body[name])
                )
            )
    _check_integer(body, "priority", 0, LOWEST_PRIORITY, findings)
    if longest_ms:
        # A longer deadline than the pipeline's is allowed, and cut to it.
        _check_integer(body, "deadline_ms", 1, None, findings)


def _check_integer(
    body: dict,
    name: str,
    least: int,
    most: int | None,
    findings: list[errors.Finding],
) -> None:
    if name not in body:
        return
    value = body[name]
    right = isinstance(value, int) and not isinstance(value, bool)
    if right and value >= least and (most is None or value <= most):
        return
    bound = f"of {least} or more" if most is None else f"{least} to {most}"
    findings.append(
        errors.Finding(f"body.{name}", f"an integer {bound}", _shorten(value))
    )


def _why_key(
    pipeline: configuration.PipelineConfiguration | None, body: dict
) -> str:
    """Returns why a key is needed; empty if it is not."""
    if body.get("idempotent") is False:
        return "`idempotent` is false"
    stages = pipeline["stages"] if pipeline else []
    for stage in stages:
        if stage["repeatable"] is False:
            return f"stage {stage['name']} may not be repeated"
    return ""


def _check_key(key: str, why: str, findings: list[errors.Finding]) -> None:
    place = "header Idempotency-Key"
    if key and not KEY_PATTERN.fullmatch(key):
        findings.append(
            errors.Finding(place, f"to match {KEY_PATTERN.pattern}", key[:80])
        )
    if why and not key:
        findings.append(errors.Finding(place, f"a key, as {why}"))


def _shorten(value: Any) -> str:
    return json.dumps(value)[:80]


def describe_whole(request_id: str, answer: Whole) -> dict:
    """Returns a whole answer as the JSON value that the caller gets."""
    return {
        "request": request_id,
        "outcome": "whole",
        "result": answer.result,
        "count": answer.count,
        "digest": answer.digest,
        "replayed": answer.replayed,
        "stages": [use._asdict() for use in answer.stages],
    }


def describe_refusal(request_id: str, refusal: Refused) -> dict:
    """Returns a refusal as problem details (RFC 9457)."""
    problem = {
        "type": f"urn:samphirevale:{refusal.outcome}",
        "title": refusal.reason,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome,
        "request": request_id,
    }
    if refusal.retry_after_seconds:
        problem["retry_after_seconds"] = round(refusal.retry_after_seconds, 3)
    if refusal.findings:
        problem["findings"] = [f._asdict() for f in refusal.findings]
    return problem
