"""Parsing and validation rules of the settings."""

import ipaddress
import re
import urllib.parse
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from samphirevale import admission, errors, limits, routing

# Minimum number of characters of a secret.
SECRET_CHARACTERS = 16

# Maximum number of characters of the name of an instance, data centre,
# endpoint or pool.
NAME_CHARACTERS = 63

# Maximum value of a duration, in seconds: 90 days.
SECONDS_LIMIT = 90 * 86400.0

ENDPOINT_KINDS = ("engine", "stage", "service")
LOG_LEVELS = ("debug", "info", "warning", "error")

# The function that parses a setting's text, for each type.
CONVERTERS: dict[Any, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: float,
}


def _register_converter(field_type: Any) -> Callable[[Callable], Callable]:
    """Registers the function that parses values of `field_type`."""

    def add(function: Callable) -> Callable:
        CONVERTERS[field_type] = function
        return function

    return add


@_register_converter(bool)
def _read_bool(text: str) -> bool:
    values = {"true": True, "1": True, "false": False, "0": False}
    if text.lower() not in values:
        raise ValueError(text)
    return values[text.lower()]


@_register_converter(tuple[str, ...])
def _read_list(text: str) -> tuple[str, ...]:
    return tuple(item.strip() for item in text.split(",") if item.strip())


def convert(value_type: Any, text: str) -> Any:
    """Returns the value that the text represents.

    Raises:
        ValueError: the text is not a value of the type.
    """
    return CONVERTERS[value_type](text)


class Rule(NamedTuple):
    """A constraint on a setting's value.

    Attributes:
        expected: description of the valid values, used in findings.
        accepts: returns whether a value is valid; a ValueError means that it
            is not.
    """

    expected: str
    accepts: Callable[[Any], bool]


def _build_range_rule(minimum: float, maximum: float, unit: str = "") -> Rule:
    kind = "a number" if isinstance(minimum, float) else "an integer"
    unit = f" {unit}" if unit else ""
    return Rule(
        f"{kind} from {minimum:g} to {maximum:g}{unit}",
        lambda value: minimum <= value <= maximum,
    )


def _build_choice_rule(options: tuple[str, ...]) -> Rule:
    return Rule("one of " + ", ".join(options), options.__contains__)


def _is_name(text: str) -> bool:
    form = rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{NAME_CHARACTERS - 1}}}"
    return re.fullmatch(form, text) is not None


def _is_ip_number(text: str) -> bool:
    ipaddress.ip_address(text)
    return True


def is_url(text: str) -> bool:
    """Returns whether a text has exactly the form `http://IP:PORT`."""
    try:
        parts = urllib.parse.urlsplit(text)
        return text == f"http://{parts.netloc}" and _is_address(parts.netloc)
    except ValueError:
        return False


def _is_address(text: str) -> bool:
    parts = urllib.parse.urlsplit(f"//{text}")
    return bool(
        parts.netloc == text
        and "@" not in text
        and _is_ip_number(parts.hostname or "")
        and parts.port
    )


def _is_secret(text: str) -> bool:
    return len(text) >= SECRET_CHARACTERS and bool(
        re.fullmatch(r"[!-~]+", text)
    )


_NAME = Rule(
    f"a name of 1 to {NAME_CHARACTERS} letters, digits, '.', '_' and '-', "
    "the first a letter or digit",
    _is_name,
)
_URL = Rule("http://IP:PORT with nothing after it", is_url)
_PORT = _build_range_rule(1, 65535)
_SECONDS = _build_range_rule(0.01, SECONDS_LIMIT, "seconds")
_SECRET = Rule(
    f"at least {SECRET_CHARACTERS} visible ASCII characters without spaces",
    _is_secret,
)
_COUNT = _build_range_rule(1, 1_000_000)
# The rule of each setting, by the setting's name.
VALUE_RULES: dict[str, Rule] = {
    "instance": _NAME,
    "data_centre": _NAME,
    "host": Rule("an IP number", _is_ip_number),
    "admin_port": _PORT,
    "store_url": _URL,
    "peer_secret": _SECRET,
    "heartbeat_seconds": _SECONDS,
    "suspect_seconds": _SECONDS,
    "drain_seconds": _SECONDS,
    "fatal_invariants": Rule("true or false", lambda _: True),
    "log_level": _build_choice_rule(LOG_LEVELS),
    "caller_port": _PORT,
    "operator_token": _SECRET,
    "peers": Rule(
        "IP:PORT items separated by commas",
        lambda items: all(_is_address(item) for item in items),
    ),
    "list_seconds": _SECONDS,
    "body_bytes_limit": _build_range_rule(1024, 1024 * 1024 * 1024, "bytes"),
    "connections_limit": _COUNT,
    "idle_seconds": _SECONDS,
    "claim_window_seconds": _SECONDS,
    "routing_policy": _build_choice_rule(tuple(routing.list_policies())),
    "admission_policy": _build_choice_rule(tuple(admission.list_policies())),
    "limit_policy": _build_choice_rule(tuple(limits.list_policies())),
    "peer_port": _PORT,
    "endpoint": _NAME,
    "endpoint_url": _URL,
    "endpoint_kind": _build_choice_rule(ENDPOINT_KINDS),
    "pool": _NAME,
    "checks_fencing": Rule("true or false", lambda _: True),
    "concurrency_limit": _COUNT,
    "queue_limit": _build_range_rule(0, 1_000_000),
    "lease_seconds": _SECONDS,
    "order_seconds": _SECONDS,
    "load_seconds": _SECONDS,
}

# Checks that involve several settings. Each receives the settings that are
# valid on their own, so some may be missing.
RELATION_CHECKS: list[
    Callable[[Mapping[str, Any]], Iterator[errors.Finding]]
] = []


def _register_relation(check: Callable) -> Callable:
    """Registers a check that involves several settings."""
    RELATION_CHECKS.append(check)
    return check


@_register_relation
def _check_ports(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
    names_by_port: dict[int, str] = {}
    for name in ("admin_port", "caller_port", "peer_port"):
        port = values.get(name)
        if port in names_by_port:
            expected = f"a port other than that of {names_by_port[port]}"
            yield errors.Finding(name, expected, str(port))
        elif port is not None:
            names_by_port[port] = name


def _require_less(smaller: str, larger: str) -> None:
    """Registers a check that `smaller`'s value is less than `larger`'s."""

    @_register_relation
    def check(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
        if smaller not in values or larger not in values:
            return
        if values[smaller] >= values[larger]:
            expected = f"less than {larger}, which is {values[larger]:g}"
            yield errors.Finding(smaller, expected, f"{values[smaller]:g}")


_require_less("heartbeat_seconds", "suspect_seconds")
_require_less("order_seconds", "lease_seconds")


@_register_relation
def _check_secrets(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
    secret = values.get("peer_secret")
    if secret is not None and secret == values.get("operator_token"):
        yield errors.Finding("operator_token", "other than peer_secret")
