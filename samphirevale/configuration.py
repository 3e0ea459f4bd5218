"""The configuration: its schema, its validation and its adoption.

The whole configuration is one object in the platform's store
(`configuration/current`), so a single conditional update resolves conflicts
between operators. The revision that an entry or a sidecar holds never
decreases.
"""

import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired, TypedDict

from samphirevale import errors, invariants

# The kind and name of the configuration object.
OBJECT_KIND = "configuration"
OBJECT_NAME = "current"

# The maximum number of orders that the configuration records.
ORDERS_LIMIT = 256

# The maximum deadline of a pipeline, in milliseconds.
DEADLINE_LIMIT_MS = 3_600_000

# The maximum length of an invalid value as shown in a finding.
SHOWN_CHARACTERS_LIMIT = 60

STAGE_KINDS = ("engine", "stage", "service")
BATCH_STATES = ("serving", "recalled")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,63}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


class StageConfiguration(TypedDict):
    """One stage of a pipeline.

    Keys:
        name: the stage's name, unique in the pipeline.
        pool: the pool of endpoints that runs the stage.
        kind: `engine`, `stage` or `service`.
        repeatable: whether attempts may be repeated; None means that they may,
            unless the request is marked non-idempotent.
        model: the model's name for kind `engine`; empty otherwise.
        limit: the maximum number of attempts of this stage that one entry has
            in flight.
        expected_ms: the initial estimate of the duration of one attempt, used
            until durations have been measured.
    """

    name: str
    pool: str
    kind: str
    repeatable: bool | None
    model: str
    limit: int
    expected_ms: float


class PipelineConfiguration(TypedDict):
    """A pipeline: its stages in order, its maximum deadline and its state."""

    stages: list[StageConfiguration]
    deadline_ms: int
    stopped: bool


class AccountConfiguration(TypedDict):
    """A client account: the hex SHA-256 of its token, and its share."""

    token_digest: str
    share: float


class BatchConfiguration(TypedDict):
    """A rolled-out batch.

    Keys:
        model: the name of the model that the batch serves.
        version: the model's version.
        adapter: the adapter's name; empty for none.
        pool: the pool of engines that loads the batch.
        state: `serving` or `recalled`; `recalled` is final.
        order: the revision at which the batch was rolled out. Of the serving
            batches, the one with the highest value takes new requests.
    """

    model: str
    version: str
    adapter: str
    pool: str
    state: str
    order: int


class OrderRecord(TypedDict):
    """An order that took effect.

    Keys:
        id: the order's id.
        text: the operator's command.
        target: the object that the order changed, such as
            `pipelines.harvest`.
        revision: the revision that the order created.
    """

    id: str
    text: str
    target: str
    revision: int


class ConfigurationValue(TypedDict):
    """The configuration object's value.

    Keys:
        revision: the revision, which each accepted order increments.
        pipelines, accounts, batches: the objects by name or id.
        draining: the names of endpoints that take no new work.
        cordoned: the names of data centres whose endpoints take no new work;
            missing before the first order on one.
        orders: the latest orders, newest last.
    """

    revision: int
    pipelines: dict[str, PipelineConfiguration]
    accounts: dict[str, AccountConfiguration]
    batches: dict[str, BatchConfiguration]
    draining: list[str]
    cordoned: NotRequired[list[str]]
    orders: list[OrderRecord]


class Configuration(NamedTuple):
    """A process's copy of the configuration. Revision 0 means none yet."""

    revision: int
    value: Any


EMPTY = Configuration(0, None)


def adopt(held: Configuration, received: Configuration) -> Configuration:
    """Returns the configuration to hold after another has been received.

    The revision never decreases, and a batch that is recalled in `held` stays
    recalled, even if `received` differs.
    """
    if received.revision <= held.revision:
        return held
    if held.value is None:
        return received
    value = merge_recalled(held.value, received.value)
    invariants.check(
        invariants.CONFIGURATION_NEVER_REVERTS,
        value is received.value,
        held=held.revision,
        seen=received.revision,
    )
    return Configuration(received.revision, value)


def merge_recalled(
    held: ConfigurationValue, received: ConfigurationValue
) -> ConfigurationValue:
    """Returns `received` with the recalled batches of `held` recalled.

    Returns `received` itself if all of them are recalled there already.
    """
    missing = {
        name: batch
        for name, batch in held["batches"].items()
        if batch["state"] == "recalled"
        and received["batches"].get(name, {}).get("state") != "recalled"
    }
    if not missing:
        return received
    batches = {**received["batches"], **missing}
    return ConfigurationValue(**{**received, "batches": batches})


def build_empty_value() -> ConfigurationValue:
    """Returns the configuration value before the first order."""
    return ConfigurationValue(
        revision=0,
        pipelines={},
        accounts={},
        batches={},
        draining=[],
        orders=[],
    )


def list_cordoned(value: ConfigurationValue) -> list[str]:
    """Returns the names of the data centres that take no new work."""
    return value.get("cordoned", [])


class _Rule(NamedTuple):
    """The rule for one field: a test and its human-readable description."""

    test: Callable[[Any], bool]
    expected: str


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_positive(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value > 0


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _is_digest(value: Any) -> bool:
    return isinstance(value, str) and _DIGEST.fullmatch(value) is not None


_NAME_RULE = _Rule(_is_name, "a name of letters, digits and _ . : -")
_NAME_OR_EMPTY = _Rule(
    lambda value: value == "" or _is_name(value), "a name, or empty"
)
_TEXT = _Rule(lambda value: isinstance(value, str), "a text")
_BOOLEAN = _Rule(lambda value: isinstance(value, bool), "true or false")
_POSITIVE = _Rule(_is_positive, "a number over 0")
_COUNT = _Rule(
    lambda value: _is_integer(value) and value > 0, "an integer over 0"
)
_NATURAL = _Rule(
    lambda value: _is_integer(value) and value >= 0, "an integer of at least 0"
)
_MAP = _Rule(lambda value: isinstance(value, dict), "a map")
_LIST = _Rule(lambda value: isinstance(value, list), "a list")

_VALUE_RULES = {
    "revision": _NATURAL,
    "pipelines": _MAP,
    "accounts": _MAP,
    "batches": _MAP,
    "draining": _LIST,
    "orders": _LIST,
}
_OPTIONAL_VALUE_RULES = {"cordoned": _LIST}
_STAGE_RULES = {
    "name": _NAME_RULE,
    "pool": _NAME_RULE,
    "kind": _Rule(
        lambda value: value in STAGE_KINDS, "one of " + ", ".join(STAGE_KINDS)
    ),
    "repeatable": _Rule(
        lambda value: value is None or isinstance(value, bool),
        "true, false or null",
    ),
    "model": _NAME_OR_EMPTY,
    "limit": _COUNT,
    "expected_ms": _POSITIVE,
}
_PIPELINE_RULES = {
    "stages": _Rule(
        lambda value: isinstance(value, list) and bool(value),
        "a list of at least one stage",
    ),
    "deadline_ms": _Rule(
        lambda value: _is_integer(value) and 0 < value <= DEADLINE_LIMIT_MS,
        f"an integer from 1 to {DEADLINE_LIMIT_MS}",
    ),
    "stopped": _BOOLEAN,
}
_ACCOUNT_RULES = {
    "token_digest": _Rule(_is_digest, "64 digits of lower-case hex"),
    "share": _POSITIVE,
}
_BATCH_RULES = {
    "model": _NAME_RULE,
    "version": _NAME_RULE,
    "adapter": _NAME_OR_EMPTY,
    "pool": _NAME_RULE,
    "state": _Rule(
        lambda value: value in BATCH_STATES, "one of " + ", ".join(BATCH_STATES)
    ),
    "order": _COUNT,
}
_ORDER_RULES = {
    "id": _TEXT,
    "text": _TEXT,
    "target": _TEXT,
    "revision": _COUNT,
}


def check_configuration(value: Any) -> list[errors.Finding]:
    """Returns all findings for a configuration value; none if it is valid.

    The place of a finding is a path such as
    `pipelines.harvest.stages[2].pool`.
    """
    findings: list[errors.Finding] = []
    optional = {
        name: rule
        for name, rule in _OPTIONAL_VALUE_RULES.items()
        if isinstance(value, dict) and name in value
    }
    _check_fields(findings, "", value, _VALUE_RULES | optional)
    if not isinstance(value, dict):
        return findings
    revision = value.get("revision")
    _check_pipelines(findings, _get(value, "pipelines", dict))
    _check_accounts(findings, _get(value, "accounts", dict))
    _check_batches(findings, _get(value, "batches", dict), revision)
    for field in ("draining", "cordoned"):
        _check_names(findings, field, _get(value, field, list))
    _check_orders(findings, _get(value, "orders", list), revision)
    return findings


def check_pipeline(value: Any, place: str) -> list[errors.Finding]:
    """Returns all findings for a pipeline at the path `place`."""
    findings: list[errors.Finding] = []
    _check_fields(findings, place, value, _PIPELINE_RULES)
    stages = _get(value, "stages", list) if isinstance(value, dict) else []
    names: set[str] = set()
    for number, stage in enumerate(stages):
        stage_place = f"{place}.stages[{number}]"
        if not _check_fields(findings, stage_place, stage, _STAGE_RULES):
            continue
        _check_model(findings, stage_place, stage)
        _check_unique(findings, f"{stage_place}.name", stage["name"], names)
    return findings


def check_account(value: Any, place: str) -> list[errors.Finding]:
    """Returns all findings for an account at the path `place`."""
    findings: list[errors.Finding] = []
    _check_fields(findings, place, value, _ACCOUNT_RULES)
    return findings


def _get(value: dict, name: str, value_type: type) -> Any:
    """Returns a field, or an empty value if the field has another type."""
    found = value.get(name)
    return found if isinstance(found, value_type) else value_type()


def _check_pipelines(findings: list[errors.Finding], pipelines: dict) -> None:
    for name, pipeline in pipelines.items():
        place = f"pipelines.{name}"
        _check_rule(findings, place, name, _NAME_RULE)
        findings += check_pipeline(pipeline, place)


def _check_model(
    findings: list[errors.Finding], place: str, stage: StageConfiguration
) -> None:
    if stage["kind"] == "engine" and not stage["model"]:
        _add(findings, f"{place}.model", "a model, as the kind is engine", "")
    if stage["kind"] != "engine" and stage["model"]:
        expected = f"nothing, as the kind is {stage['kind']}"
        _add(findings, f"{place}.model", expected, stage["model"])


def _check_accounts(findings: list[errors.Finding], accounts: dict) -> None:
    digests: set[str] = set()
    for name, account in accounts.items():
        place = f"accounts.{name}"
        _check_rule(findings, place, name, _NAME_RULE)
        if _check_fields(findings, place, account, _ACCOUNT_RULES):
            digest = account["token_digest"]
            _check_unique(findings, f"{place}.token_digest", digest, digests)


def _check_batches(
    findings: list[errors.Finding], batches: dict, revision: Any
) -> None:
    for name, batch in batches.items():
        place = f"batches.{name}"
        _check_rule(findings, place, name, _NAME_RULE)
        if _check_fields(findings, place, batch, _BATCH_RULES):
            _check_revision(
                findings, f"{place}.order", batch["order"], revision
            )


def _check_names(
    findings: list[errors.Finding], field: str, listed: list
) -> None:
    """Checks a list of names that may not contain any of them twice."""
    names: set[str] = set()
    for number, name in enumerate(listed):
        place = f"{field}[{number}]"
        if _check_rule(findings, place, name, _NAME_RULE):
            _check_unique(findings, place, name, names)


def _check_orders(
    findings: list[errors.Finding], orders: list, revision: Any
) -> None:
    if len(orders) > ORDERS_LIMIT:
        expected = f"at most {ORDERS_LIMIT} orders"
        _add(findings, "orders", expected, len(orders))
    ids: set[str] = set()
    for number, order in enumerate(orders):
        place = f"orders[{number}]"
        if _check_fields(findings, place, order, _ORDER_RULES):
            _check_unique(findings, f"{place}.id", order["id"], ids)
            _check_revision(
                findings, f"{place}.revision", order["revision"], revision
            )


def _check_revision(
    findings: list[errors.Finding], place: str, value: int, revision: Any
) -> None:
    if _is_integer(revision) and value > revision:
        _add(findings, place, f"at most the revision {revision}", value)


def _check_unique(
    findings: list[errors.Finding], place: str, value: str, seen: set[str]
) -> None:
    if value in seen:
        _add(findings, place, "one that is not used twice", value)
    seen.add(value)


def _check_fields(
    findings: list[errors.Finding],
    place: str,
    value: Any,
    rules: dict[str, _Rule],
) -> bool:
    """Checks the fields of a map; returns whether all of them are valid."""
    if not _check_rule(findings, place or "configuration", value, _MAP):
        return False
    before = len(findings)
    prefix = f"{place}." if place else ""
    for name, rule in rules.items():
        if name not in value:
            _add(findings, prefix + name, rule.expected, None)
        else:
            _check_rule(findings, prefix + name, value[name], rule)
    for name in sorted(value.keys() - rules.keys(), key=str):
        _add(findings, f"{prefix}{name}", "no such field", value[name])
    return len(findings) == before


def _check_rule(
    findings: list[errors.Finding], place: str, value: Any, rule: _Rule
) -> bool:
    if rule.test(value):
        return True
    _add(findings, place, rule.expected, value)
    return False


def _add(
    findings: list[errors.Finding], place: str, expected: str, got: Any
) -> None:
    text = "" if got is None else repr(got)[:SHOWN_CHARACTERS_LIMIT]
    findings.append(errors.Finding(place, expected, text))
