"""The rules of the settings: how a text is read, and what is right there."""

import ipaddress
import re
import urllib.parse
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from samphirevale import admission, errors, limits, routing

# The fewest characters of a secret.
SECRET_CHARACTERS = 16

# The most characters of an instance's, data centre's or pool's name.
NAME_CHARACTERS = 63

# The most seconds that any setting of a time may have: 90 days.
SECONDS_LIMIT = 90 * 86400.0

ENDPOINT_KINDS = ("engine", "stage", "service")
LOG_LEVELS = ("debug", "info", "warning", "error")

# How the text of a setting becomes a value of its type.
CONVERTERS: dict[Any, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: float,
}


def _convert(field_type: Any) -> Callable[[Callable], Callable]:
    """Registers a function that reads a text as a value of `field_type`."""

    def add(function: Callable) -> Callable:
        CONVERTERS[field_type] = function
        return function

    return add


@_convert(bool)
def _read_bool(text: str) -> bool:
    values = {"true": True, "1": True, "false": False, "0": False}
    if text.lower() not in values:
        raise ValueError(text)
    return values[text.lower()]


@_convert(tuple[str, ...])
def _read_list(text: str) -> tuple[str, ...]:
    return tuple(item.strip() for item in text.split(",") if item.strip())


def convert(value_type: Any, text: str) -> Any:
    """Returns the text as a value of the type; ValueError if it is none."""
    return CONVERTERS[value_type](text)


class Rule(NamedTuple):
    """What a setting's value must be.

    Attributes:
        expected: in words.
        accepts: tells whether a value is so; a ValueError means no.
    """

    expected: str
    accepts: Callable[[Any], bool]


def _bound(least: float, most: float, unit: str = "") -> Rule:
    kind = "a number" if isinstance(least, float) else "an integer"
    unit = f" {unit}" if unit else ""
    return Rule(
        f"{kind} from {least:g} to {most:g}{unit}",
        lambda value: least <= value <= most,
    )


def _choose(options: tuple[str, ...]) -> Rule:
    return Rule("one of " + ", ".join(options), options.__contains__)


def _is_name(text: str) -> bool:
    form = rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{NAME_CHARACTERS - 1}}}"
    return re.fullmatch(form, text) is not None


def _is_ip_number(text: str) -> bool:
    ipaddress.ip_address(text)
    return True


def is_url(text: str) -> bool:
    """Tells whether a text is `http://IP:PORT` and nothing more."""
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
_PORT = _bound(1, 65535)
_SECONDS = _bound(0.01, SECONDS_LIMIT, "seconds")
_SECRET = Rule(
    f"at least {SECRET_CHARACTERS} visible ASCII characters without spaces",
    _is_secret,
)
_COUNT = _bound(1, 1_000_000)
# The rule of each setting by its name.
VALUES: dict[str, Rule] = {
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
    "log_level": _choose(LOG_LEVELS),
    "caller_port": _PORT,
    "operator_token": _SECRET,
    "peers": Rule(
        "IP:PORT items separated by commas",
        lambda items: all(_is_address(item) for item in items),
    ),
    "list_seconds": _SECONDS,
    "body_bytes_limit": _bound(1024, 1024 * 1024 * 1024, "bytes"),
    "connections_limit": _COUNT,
    "idle_seconds": _SECONDS,
    "claim_window_seconds": _SECONDS,
    "routing_policy": _choose(tuple(routing.list_policies())),
    "admission_policy": _choose(tuple(admission.list_policies())),
    "limit_policy": _choose(tuple(limits.list_policies())),
    "peer_port": _PORT,
    "endpoint": _NAME,
    "endpoint_url": _URL,
    "endpoint_kind": _choose(ENDPOINT_KINDS),
    "pool": _NAME,
    "checks_fencing": Rule("true or false", lambda _: True),
    "concurrency_limit": _COUNT,
    "queue_limit": _bound(0, 1_000_000),
    "lease_seconds": _SECONDS,
    "order_seconds": _SECONDS,
    "load_seconds": _SECONDS,
}

# Checks over several settings; each is given those that are well formed.
RELATIONS: list[Callable[[Mapping[str, Any]], Iterator[errors.Finding]]] = []


def _relate(check: Callable) -> Callable:
    """Registers a check over several settings."""
    RELATIONS.append(check)
    return check


@_relate
def _check_ports(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
    seen: dict[int, str] = {}
    for name in ("admin_port", "caller_port", "peer_port"):
        port = values.get(name)
        if port in seen:
            expected = f"a port other than that of {seen[port]}"
            yield errors.Finding(name, expected, str(port))
        elif port is not None:
            seen[port] = name


def _require_order(less: str, more: str) -> None:
    """Registers the check that one setting is less than another."""

    @_relate
    def check(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
        if less not in values or more not in values:
            return
        if values[less] >= values[more]:
            expected = f"less than {more}, which is {values[more]:g}"
            yield errors.Finding(less, expected, f"{values[less]:g}")


_require_order("heartbeat_seconds", "suspect_seconds")
_require_order("order_seconds", "lease_seconds")


@_relate
def _check_secrets(values: Mapping[str, Any]) -> Iterator[errors.Finding]:
    secret = values.get("peer_secret")
    if secret is not None and secret == values.get("operator_token"):
        yield errors.Finding("operator_token", "other than peer_secret")
