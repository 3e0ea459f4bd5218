"""The order that replaces the configuration by one loaded from a file."""

from typing import Any

from samphirevale import configuration, errors, orders

# The verb of the order that loads a configuration.
VERB = "load_configuration"

# The fields that a load replaces. The revision and the list of orders in the
# store are continued instead.
REPLACED_FIELDS = ("pipelines", "accounts", "batches", "draining")


def add_defaults(value: dict[str, Any]) -> dict[str, Any]:
    """Adds the optional fields `revision` and `orders` to a file's value."""
    return {"revision": 1, "orders": [], **value}


def build_order(
    order_id: str, value: configuration.ConfigurationValue, base: int
) -> orders.Order:
    """Returns the order that loads a configuration.

    Args:
        order_id: the order's id.
        value: the checked configuration.
        base: the revision to replace; 0 for none.
    """
    arguments = {"value": {"base": base, "configuration": value}}
    return orders.Order(order_id, VERB, arguments, "load configuration")


@orders.register(VERB, "value", target="configuration")
def _load(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    base = arguments["value"]["base"]
    loaded = arguments["value"]["configuration"]
    # apply_order has already incremented the revision.
    current_revision = value["revision"] - 1
    if current_revision != base:
        # The load was prepared for another revision. It would silently undo
        # later orders, such as a stop of a pipeline.
        expected = f"{base}, as it was when the load began"
        return [errors.Finding("revision", expected, str(current_revision))]
    findings = _check_batches(value["batches"], loaded["batches"])
    if findings:
        return findings
    batches = _number_batches(value, loaded["batches"])
    for name in REPLACED_FIELDS:
        value[name] = loaded[name]
    value["batches"] = batches
    return []


def _check_batches(
    existing: dict[str, configuration.BatchConfiguration],
    loaded: dict[str, configuration.BatchConfiguration],
) -> list[errors.Finding]:
    """Returns a finding for each forbidden change of an existing batch."""
    findings = []
    for name, batch in existing.items():
        if name not in loaded:
            findings.append(errors.Finding(f"batches.{name}", "to be kept"))
            continue
        fixed = ["model", "version", "adapter", "pool"]
        if batch["state"] == "recalled":
            fixed.append("state")
        for field in fixed:
            if loaded[name][field] != batch[field]:
                place = f"batches.{name}.{field}"
                expected = f"{batch[field]!r}, as it was rolled out"
                got = repr(loaded[name][field])
                findings.append(errors.Finding(place, expected, got))
    return findings


def _number_batches(
    value: configuration.ConfigurationValue,
    loaded: dict[str, configuration.BatchConfiguration],
) -> dict[str, configuration.BatchConfiguration]:
    """Sets each batch's `order`: for new batches, the revision of the load."""
    numbered = {}
    for name, batch in loaded.items():
        existing = value["batches"].get(name)
        order = existing["order"] if existing else value["revision"]
        numbered[name] = {**batch, "order": order}
    return numbered
