"""Loading a whole configuration from a file, as an order like any other."""

from typing import Any

from samphirevale import configuration, errors, orders

# The verb of the order that loads a configuration.
VERB = "load_configuration"

# What a load replaces; the revision and the orders go on.
REPLACED = ("pipelines", "accounts", "batches", "draining")


def complete(value: dict[str, Any]) -> dict[str, Any]:
    """Returns a file's value with the revision and orders it may leave out."""
    return {"revision": 1, "orders": [], **value}


def build_order(
    order_id: str, value: configuration.ConfigurationValue, base: int
) -> orders.Order:
    """Returns the order that loads a configuration.

    Args:
        order_id: the order's id.
        value: the checked configuration.
        base: the revision that it is to replace; 0 for none.
    """
    arguments = {"value": {"base": base, "configuration": value}}
    return orders.Order(order_id, VERB, arguments, "load configuration")


@orders.register(VERB, "value", target="configuration")
def _load(
    value: configuration.ConfigurationValue, arguments: dict[str, Any]
) -> list[errors.Finding]:
    base = arguments["value"]["base"]
    loaded = arguments["value"]["configuration"]
    # The revision has been raised already.
    present = value["revision"] - 1
    if present != base:
        # The file was held against another one: whatever came since, such
        # as a stopped pipeline, would be undone unseen.
        expected = f"{base}, as it was when the load began"
        return [errors.Finding("revision", expected, str(present))]
    findings = _check_batches(value["batches"], loaded["batches"])
    if findings:
        return findings
    batches = _number_batches(value, loaded["batches"])
    for name in REPLACED:
        value[name] = loaded[name]
    value["batches"] = batches
    return []


def _check_batches(
    held: dict[str, configuration.BatchConfiguration],
    loaded: dict[str, configuration.BatchConfiguration],
) -> list[errors.Finding]:
    """Returns what a load would change of batches and may not."""
    findings = []
    for name, batch in held.items():
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
    """Returns the batches; new ones count as rolled out by this load."""
    numbered = {}
    for name, batch in loaded.items():
        held = value["batches"].get(name)
        order = held["order"] if held else value["revision"]
        numbered[name] = {**batch, "order": order}
    return numbered
