"""Operators' orders: their effects and how concurrent orders are resolved.

An order is a pure function from one configuration value to the next.
`submit_order` writes the next value with a conditional update on the version
that it read: of two concurrent orders, one succeeds. The written value records
the order's id. After a lost answer, the id shows whether the order took effect.
"""

import copy
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from samphirevale import backoff, configuration, errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The maximum size of the configuration in the store, in bytes of JSON.
VALUE_BYTES_LIMIT = 1_000_000

# The version that represents an object that does not exist.
ABSENT_VERSION = 0


class Order(NamedTuple):
    """A parsed order.

    Attributes:
        id: unique among all operators; the same when the order is retried.
        verb: a registered verb, such as `roll_out`.
        arguments: the verb's arguments by name.
        text: the command as the operator gave it.
    """

    id: str
    verb: str
    arguments: dict[str, Any]
    text: str


class Accepted(NamedTuple):
    """The order took effect at this revision."""

    revision: int


class Rejected(NamedTuple):
    """The order conflicts with another one that took effect earlier."""

    conflicting_order: configuration.OrderRecord
    detail: str


class Unconfirmed(NamedTuple):
    """A write was sent but not confirmed; look up the order's id."""


Submission = Accepted | Rejected | Unconfirmed


class _StaleReadError(errors.StoreError):
    """The store returned an older state than one that was read before."""


Change = Callable[
    [configuration.ConfigurationValue, dict[str, Any]], list[errors.Finding]
]


class VerbRule(NamedTuple):
    """A registered verb.

    Attributes:
        change: changes the value in place, or returns findings if the order
            is not valid for the value.
        arguments: the names of the order's arguments.
        target: format string of the object that the order changes; its
            fields are arguments.
        commutes: whether the order can be applied after any other order on
            the same target.
    """

    change: Change
    arguments: tuple[str, ...]
    target: str
    commutes: bool


_rules: dict[str, VerbRule] = {}


def register(
    verb: str, arguments: str, target: str, commutes: bool = False
) -> Callable[[Change], Change]:
    """Registers a function that applies a verb; see `VerbRule`."""

    def add(change: Change) -> Change:
        _rules[verb] = VerbRule(
            change, tuple(arguments.split()), target, commutes
        )
        return change

    return add


def list_verbs() -> dict[str, VerbRule]:
    """Returns every registered verb with its rule."""
    return dict(_rules)


def format_target(order: Order) -> str:
    """Returns the target of an order, such as `pipelines.harvest`."""
    return _rules[order.verb].target.format(**order.arguments)


def apply_order(
    value: configuration.ConfigurationValue | None, order: Order
) -> configuration.ConfigurationValue:
    """Returns the configuration after an order.

    Args:
        value: the current configuration; None if there is none yet.
        order: the order.

    Raises:
        errors.InvalidInputError: the order is not valid; carries all findings.
    """
    findings = _check_arguments(order)
    if findings:
        raise errors.InvalidInputError(findings)
    after = copy.deepcopy(value or configuration.build_empty_value())
    after["revision"] += 1
    findings = _rules[order.verb].change(after, order.arguments)
    record = configuration.OrderRecord(
        id=order.id,
        text=order.text,
        target=format_target(order),
        revision=after["revision"],
    )
    orders = [*after["orders"], record]
    after["orders"] = orders[-configuration.ORDERS_LIMIT :]
    findings = findings or configuration.check_configuration(after)
    findings = findings or _check_size(after)
    if findings:
        raise errors.InvalidInputError(findings)
    return after


def _check_size(
    value: configuration.ConfigurationValue,
) -> list[errors.Finding]:
    size = len(json.dumps(value))
    if size <= VALUE_BYTES_LIMIT:
        return []
    expected = f"at most {VALUE_BYTES_LIMIT} bytes"
    return [errors.Finding("configuration", expected, str(size))]


def _check_arguments(order: Order) -> list[errors.Finding]:
    rule = _rules.get(order.verb)
    if rule is None:
        verbs = "one of " + ", ".join(sorted(_rules))
        return [errors.Finding("verb", verbs, repr(order.verb))]
    missing = [
        errors.Finding(name, "a value")
        for name in rule.arguments
        if name not in order.arguments
    ]
    unknown = [
        errors.Finding(name, f"no argument of {order.verb}", name)
        for name in order.arguments
        if name not in rule.arguments
    ]
    wrong = [
        errors.Finding(name, "a text", repr(value))
        for name, value in order.arguments.items()
        if name != "value" and not isinstance(value, str)
    ]
    return missing + unknown + wrong


@register(
    "roll_out", "batch model version adapter pool", target="models.{model}"
)
def _roll_out(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["batch"]
    if name in value["batches"]:
        state = value["batches"][name]["state"]
        return [
            errors.Finding("batch", "an id not used yet", f"{name} {state}")
        ]
    value["batches"][name] = configuration.BatchConfiguration(
        model=arguments["model"],
        version=arguments["version"],
        adapter=arguments["adapter"],
        pool=arguments["pool"],
        state="serving",
        order=value["revision"],
    )
    return []


@register("recall", "batch", target="batches.{batch}", commutes=True)
def _recall(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["batch"]
    if name not in value["batches"]:
        return [errors.Finding("batch", "a batch that was rolled out", name)]
    value["batches"][name]["state"] = "recalled"
    return []


@register("drain", "endpoint", target="endpoints.{endpoint}")
def _drain(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["endpoint"]
    if name in value["draining"]:
        expected = "an endpoint that is not draining"
        return [errors.Finding("endpoint", expected, name)]
    value["draining"].append(name)
    return []


@register("resume", "endpoint", target="endpoints.{endpoint}")
def _resume(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["endpoint"]
    if name not in value["draining"]:
        expected = "an endpoint that is draining"
        return [errors.Finding("endpoint", expected, name)]
    value["draining"].remove(name)
    return []


@register("cordon", "data_centre", target="data_centres.{data_centre}")
def _cordon(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["data_centre"]
    cordoned = configuration.list_cordoned(value)
    if name in cordoned:
        expected = "a data centre that is not cordoned"
        return [errors.Finding("data_centre", expected, name)]
    value["cordoned"] = [*cordoned, name]
    return []


@register("uncordon", "data_centre", target="data_centres.{data_centre}")
def _uncordon(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    name = arguments["data_centre"]
    cordoned = configuration.list_cordoned(value)
    if name not in cordoned:
        expected = "a data centre that is cordoned"
        return [errors.Finding("data_centre", expected, name)]
    value["cordoned"] = [other for other in cordoned if other != name]
    return []


@register("stop", "pipeline", target="pipelines.{pipeline}")
def _stop(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    return _set_stopped(value, arguments["pipeline"], True)


@register("start", "pipeline", target="pipelines.{pipeline}")
def _start(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    return _set_stopped(value, arguments["pipeline"], False)


def _set_stopped(
    value: configuration.ConfigurationValue, name: str, stopped: bool
) -> list[errors.Finding]:
    if name not in value["pipelines"]:
        return [errors.Finding("pipeline", "a pipeline that exists", name)]
    value["pipelines"][name]["stopped"] = stopped
    return []


@register("set_pipeline", "pipeline value", target="pipelines.{pipeline}")
def _set_pipeline(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    value["pipelines"][arguments["pipeline"]] = copy.deepcopy(
        arguments["value"]
    )
    return []


@register("set_account", "account value", target="accounts.{account}")
def _set_account(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    value["accounts"][arguments["account"]] = copy.deepcopy(arguments["value"])
    return []


def find_record(
    value: configuration.ConfigurationValue | None, order_id: str
) -> configuration.OrderRecord | None:
    """Returns the record of an order that took effect, or None."""
    records = value["orders"] if value else []
    return next((item for item in records if item["id"] == order_id), None)


def find_conflict(
    value: configuration.ConfigurationValue, order: Order, base_revision: int
) -> configuration.OrderRecord | None:
    """Returns the later order that conflicts with an order, or None.

    Args:
        value: the present configuration.
        order: an order that was issued for an earlier configuration.
        base_revision: the revision of that configuration.
    """
    if _rules[order.verb].commutes:
        return None
    target = format_target(order)
    for record in reversed(value["orders"]):
        if record["revision"] > base_revision and record["target"] == target:
            return record
    return None


async def submit_order(
    store: objects.ObjectStore,
    order: Order,
    deadline: float,
    clock: clocks.Clock,
    base_revision: int | None = None,
    known_revision: int = 0,
) -> Submission:
    """Applies an order to the configuration, or returns the conflict.

    Args:
        store: the platform's store.
        order: the order; a retry has the same id.
        deadline: monotonic time after which there are no more attempts, in
            seconds.
        clock: gives the present time and sleeps.
        base_revision: the revision that the operator saw; None for the
            revision of the first read.
        known_revision: a revision that is known to exist; reads of an older
            one are stale and are repeated.

    Raises:
        errors.InvalidInputError: the order is not valid; carries all findings.
        errors.StoreUnavailableError: the order did not and will not take
            effect.
    """
    # The version for which an unconfirmed write was sent. The write may still
    # take effect.
    unconfirmed_version = None
    version = ABSENT_VERSION
    attempts = 0
    while True:
        try:
            known_revision = max(known_revision, base_revision or 0)
            stored = await _read_current(store, version, known_revision)
            value = stored.value if stored else None
            version = stored.version if stored else ABSENT_VERSION
            if base_revision is None:
                base_revision = value["revision"] if value else 0
            if version != unconfirmed_version:
                unconfirmed_version = None
            decided = _decide_submission(value, order, base_revision)
            if decided is not None:
                return decided
            return await _write_next(store, stored, order)
        except errors.StoreUnknownError:
            unconfirmed_version = version
        except (errors.StoreConflictError, _StaleReadError):
            # The conflicting write may be an earlier attempt of this order or
            # another order; the next read shows which. The store answers, so
            # the backoff starts over.
            attempts = 0
        except errors.StoreUnavailableError:
            if unconfirmed_version is None:
                raise
        delay = backoff.compute_pause(attempts)
        if clock.now() + delay >= deadline:
            return _give_up(unconfirmed_version)
        await clock.sleep(delay)
        attempts += 1


def _give_up(unconfirmed_version: int | None) -> Unconfirmed:
    if unconfirmed_version is None:
        raise errors.StoreUnavailableError("no present state, or no turn")
    return Unconfirmed()


async def _read_current(
    store: objects.ObjectStore, version: int, revision: int
) -> objects.StoredObject | None:
    """Reads the configuration.

    Args:
        store: the platform's store.
        version: the version that the previous read returned.
        revision: a revision that is known to exist.

    Raises:
        _StaleReadError: the store returned an older version or revision.
    """
    stored = await store.get(
        configuration.OBJECT_KIND, configuration.OBJECT_NAME
    )
    read_version = stored.version if stored else ABSENT_VERSION
    read_revision = stored.value["revision"] if stored else 0
    if read_version < version or read_revision < revision:
        raise _StaleReadError(f"version {read_version} after {version}")
    return stored


def _decide_submission(
    value: configuration.ConfigurationValue | None,
    order: Order,
    base_revision: int,
) -> Submission | None:
    """Returns the result of a submission, or None to write the order."""
    record = find_record(value, order.id)
    if record is not None and record["text"] != order.text:
        finding = errors.Finding("id", "one that is not used yet", order.id)
        raise errors.InvalidInputError([finding])
    if record is not None:
        return Accepted(record["revision"])
    if value is None or value["revision"] == base_revision:
        return None
    conflict = find_conflict(value, order, base_revision)
    if conflict is not None:
        return Rejected(conflict, "an order on the same object came first")
    try:
        apply_order(value, order)
    except errors.InvalidInputError as error:
        return Rejected(value["orders"][-1], str(error))
    return None


async def _write_next(
    store: objects.ObjectStore,
    stored: objects.StoredObject | None,
    order: Order,
) -> Accepted:
    """Applies the order and writes the value, if the version still matches."""
    kind, name = configuration.OBJECT_KIND, configuration.OBJECT_NAME
    if stored is None:
        after = apply_order(None, order)
        await store.create(kind, name, after)
    else:
        after = apply_order(stored.value, order)
        await store.update(kind, name, after, stored.version)
    return Accepted(after["revision"])
