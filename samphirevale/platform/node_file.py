"""Reads and validates the platform's settings file of a process."""

import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from samphirevale import (
    errors,
    gateway_settings,
    retry_budgets,
    stored_values,
)
from samphirevale.availability import warm_ups

# The environment variable that holds the file's path.
PATH_VARIABLE = "SAMPHIREVALE_NODE_FILE"

# The port for metrics; deploy/system.toml must name the same.
METRICS_PORT = 9464

# Bytes per megabyte of memory.
MEGABYTE = 1_000_000

# The largest number of a setting.
NUMBER_LIMIT = 1e9


class NodeFile(NamedTuple):
    """The decoded settings file.

    Attributes:
        gateway: the entry's settings.
        store_url: URL of the platform's store.
    """

    gateway: gateway_settings.GatewaySettings
    store_url: str


class _Reader:
    """Reads values by dotted path and collects findings."""

    def __init__(self, value: Mapping[str, Any]):
        self._value = value
        self.findings: list[errors.Finding] = []

    def read(self, place: str, *types: type) -> Any:
        """Returns the value at a dotted path, or None if it is invalid."""
        value: Any = self._value
        for name in place.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if isinstance(value, types) and not isinstance(value, bool):
            return value
        names = " or ".join(item.__name__ for item in types)
        # A number may be too long to be written.
        got = repr(value)[:40] if isinstance(value, str) else ""
        self.findings.append(errors.Finding(place, names, got))
        return None

    def read_number(self, place: str) -> float:
        """Returns the number at a dotted path, or 0 if it is invalid."""
        value = self.read(place, int, float)
        if value is None:
            return 0.0
        if 0 <= value <= NUMBER_LIMIT:
            return float(value)
        expected = f"a number from 0 to {NUMBER_LIMIT:.0e}"
        self.findings.append(errors.Finding(place, expected))
        return 0.0

    def read_optional_number(self, place: str) -> float | None:
        """Returns the number at a dotted path; None if there is none."""
        section, _, name = place.rpartition(".")
        found = self._value.get(section)
        if not isinstance(found, Mapping) or name not in found:
            return None
        return self.read_number(place)

    def read_optional_texts(self, place: str) -> dict[str, str]:
        """Returns the texts by name at a place; empty if there are none."""
        if place not in self._value:
            return {}
        found = self.read(place, dict) or {}
        for name, text in found.items():
            if not isinstance(text, str):
                self.findings.append(errors.Finding(f"{place}.{name}", "str"))
        return found

    def read_address(self, place: str) -> tuple[str, int]:
        """Returns the host and port at a dotted path.

        An invalid value gives a finding; its host may be empty, and its port
        is 0 if it is none.
        """
        text = self.read(place, str)
        host, _, port_text = (text or "").rpartition(":")
        port = stored_values.parse_port(port_text)
        if text is not None and not (host and port):
            self.findings.append(errors.Finding(place, "host:port", text[:40]))
        return host, port or 0

    def read_first_port(self, place: str) -> int:
        """Returns the first port of a range, or 0 if it is invalid."""
        ports = self.read(place, list)
        if ports and stored_values.is_port(ports[0]):
            return ports[0]
        if ports is not None:
            self.findings.append(errors.Finding(place, "a range of ports"))
        return 0


def read_node_file(text: str) -> NodeFile:
    """Returns the settings.

    Raises:
        errors.InvalidInputError: the file is invalid; carries all findings.
    """
    try:
        value = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # tomllib.TOMLDecodeError, and errors of nesting and of long numbers.
        raise errors.InvalidInputError(
            [errors.Finding("settings file", "TOML", str(error)[:80])]
        ) from error
    reader = _Reader(value)
    frontend = reader.read_address("listen.frontend")
    readiness = reader.read_address("listen.readiness")
    first_port = reader.read_first_port("port_range")
    settings = gateway_settings.GatewaySettings(
        instance=reader.read("node_name", str) or "",
        data_centre=reader.read("zone", str) or "",
        caller_host=frontend[0],
        caller_port=frontend[1],
        ready_host=readiness[0],
        ready_port=readiness[1],
        peer_host=reader.read("ip", str) or "",
        peer_port=first_port,
        metrics_port=METRICS_PORT,
        files_limit=int(reader.read_number("limits.file_descriptors")),
        memory_bytes=int(reader.read_number("limits.memory_mb") * MEGABYTE),
        keys_seconds=reader.read_number("bounds.revoke_ms") / 1000,
        contact_seconds=reader.read_number("bounds.contact_ms") / 1000,
        drain_seconds=reader.read_number("bounds.drain_ms") / 1000,
        grace_seconds=reader.read_number("bounds.grace_s"),
        budget=retry_budgets.RetryBudgetLimits(
            reader.read_number("bounds.retry_ratio"),
            reader.read_number("bounds.retry_allowance"),
            reader.read_number("bounds.retry_window_s"),
        ),
        cordon_seconds=(
            reader.read_optional_number("bounds.evacuation_ms") or 0.0
        )
        / 1000,
        cold_bound=_read_cold_bound(reader),
        regions=reader.read_optional_texts("zones"),
        processor=(reader.read_optional_number("limits.cpu_share") or 1.0)
        * (reader.read_optional_number("limits.cores") or 1.0),
        store_writes=reader.read_optional_number("platform.writes_per_s")
        or 0.0,
    )
    store_host, store_port = reader.read_address("platform.address")
    if reader.findings:
        raise errors.InvalidInputError(reader.findings)
    return NodeFile(settings, f"http://{store_host}:{store_port}")


def _read_cold_bound(reader: _Reader) -> warm_ups.ColdBound | None:
    """Returns the bound on calls to cold endpoints; None without one."""
    factor = reader.read_optional_number("bounds.cold_overshoot")
    allowance = reader.read_optional_number("bounds.cold_allowance")
    if factor is None or allowance is None:
        return None
    return warm_ups.ColdBound(factor, allowance)
