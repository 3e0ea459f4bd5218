"""Decodes the operator's manifest into routes, services and accounts."""

from collections.abc import Iterator
from typing import Any

from samphirevale import errors, routes, stored_values

# Kind and name of the manifest's object in the store.
KIND = "config"
NAME = "main"

# Bytes per megabyte in the platform's units.
MEGABYTE = 1_000_000

# The least memory for results, in megabytes.
LEAST_MEMORY_MB = 0.001

# The largest of the manifest's numbers: times in milliseconds and seconds,
# weights, rates and megabytes.
NUMBER_LIMIT = 1e12

# The lowest number of a priority.
LOWEST_PRIORITY = -stored_values.INTEGER_LIMIT


class _Fields(stored_values.Fields):
    """The fields of one part of a manifest; null is as good as none."""

    def __init__(self, value: Any):
        super().__init__(value)
        self._value = {
            name: found for name, found in value.items() if found is not None
        }

    def states(self, name: str) -> bool:
        """Returns whether a field is stated."""
        return name in self._value

    def are_stated(self) -> bool:
        """Returns whether any field is stated."""
        return bool(self._value)

    def read_flag(self, name: str) -> bool:
        """Returns a truth value, false by default."""
        flag = self._value.get(name, False)
        if isinstance(flag, bool):
            return flag
        raise errors.MalformedValueError(f"{name} is neither true nor false")

    def read_amount(
        self, name: str, lowest: float = 0.0, default: float | None = None
    ) -> float:
        """Returns a number that is not negative."""
        return self.read_number(name, lowest, NUMBER_LIMIT, default)

    def read_whole(
        self, name: str, lowest: int = 0, default: int | None = None
    ) -> int:
        """Returns a whole number, which may be written as 3.0."""
        if isinstance(self._value.get(name), float):
            return int(self.read_number(name, lowest, NUMBER_LIMIT))
        return self.read_integer(name, lowest, default=default)

    def read_all(self, name: str) -> list[Any]:
        """Returns a list; empty if it is not stated."""
        return self.read_list(name) if self.states(name) else []

    def read_parts(self, name: str) -> Iterator["_Fields"]:
        """Yields the fields of the objects in a list."""
        return map(_Fields, self.read_all(name))

    def read_part(self, name: str) -> "_Fields":
        """Returns the fields of an object; none if it is not stated."""
        return _Fields(self._value.get(name, {}))

    def read_strings(self, name: str) -> list[str]:
        """Returns a list of strings of any length."""
        return list(map(stored_values.check_string, self.read_all(name)))


def decode_manifest(value: Any) -> routes.RouteTable:
    """Returns the decoded manifest.

    Raises:
        errors.MalformedValueError: the manifest is malformed, although the
            store accepts only valid ones.
    """
    fields = _Fields(value)
    services = list(map(_decode_service, fields.read_parts("services")))
    found = list(map(_decode_route, fields.read_parts("routes")))
    accounts = None
    if fields.states("tenants"):
        accounts = _decode_accounts(fields.read_parts("tenants"))
    return routes.RouteTable(
        version=fields.read_whole("version"),
        routes=routes.index_routes(found),
        services={service.name: service for service in services},
        accounts=accounts,
        limits=_decode_limits(fields.read_part("limits")),
    )


def _decode_route(fields: _Fields) -> routes.Route:
    splits = tuple(
        routes.Split(part.read_text("service"), part.read_amount("weight"))
        for part in fields.read_parts("weighted_split")
    )
    if not splits:
        splits = (routes.Split(fields.read_text("service"), 1.0),)
    timeout_ms = fields.read_amount("timeout_ms")
    kind = fields.read_text("kind")
    return routes.Route(
        name=fields.read_text("name"),
        host=fields.read_text("host").lower(),
        path_prefix=fields.read_text("path_prefix"),
        splits=splits,
        repeatable=kind == "idempotent",
        streamed=kind == "streaming",
        resumable=fields.read_flag("resumable"),
        timeout_seconds=timeout_ms / 1000,
        # The target is the time to the first event of a stream and to the
        # complete answer otherwise.
        target_seconds=(
            fields.read_amount("ttft_target_ms", default=0.0) or timeout_ms
        )
        / 1000,
        priority=fields.read_whole("priority", LOWEST_PRIORITY, default=0),
        attempts_limit=fields.read_whole("max_attempts", default=1),
        stages=tuple(
            _decode_stage(part, index)
            for index, part in enumerate(fields.read_parts("phases"))
        ),
        anonymous=fields.read_flag("anonymous"),
        event_target_seconds=(
            fields.read_amount("itl_target_ms", default=0.0) / 1000
        ),
        regions=_decode_regions(fields),
    )


def _decode_stage(fields: _Fields, index: int) -> routes.Stage:
    """Returns the stage of an index, which takes results of earlier ones."""
    after = fields.read_all("after")
    if not all(
        stored_values.is_integer(number) and 0 <= number < index
        for number in after
    ):
        raise errors.MalformedValueError("after names no earlier stage")
    # `length` is the size of one result in bytes.
    size = fields.read_whole("length", default=0)
    return routes.Stage(fields.read_text("service"), tuple(after), size)


def _decode_regions(fields: _Fields) -> frozenset[str] | None:
    """Returns the homes of a route or tenant; None if it names none."""
    return frozenset(fields.read_strings("allowed_regions")) or None


def _decode_service(fields: _Fields) -> routes.Service:
    batch = fields.read_part("segments")
    return routes.Service(
        name=fields.read_text("name"),
        connections_limit=fields.read_whole("max_connections", default=0),
        batch=_decode_batch(batch) if batch.are_stated() else None,
        cold=_decode_cold_limit(fields),
    )


def _decode_cold_limit(fields: _Fields) -> routes.ColdLimit | None:
    seconds = fields.read_amount("cold_start_s", default=0.0)
    rate = fields.read_amount("cold_per_s", default=0.0)
    return routes.ColdLimit(seconds, rate) if rate > 0 else None


def _decode_batch(fields: _Fields) -> routes.BatchLimits:
    limits = routes.BatchLimits(
        # Here a slot is a concurrent call, not an item.
        concurrency=fields.read_whole("slots", 1),
        queue=fields.read_whole("queue"),
        items=fields.read_whole("batch", 1),
        call_seconds=fields.read_amount("call_ms") / 1000,
        item_seconds=fields.read_amount("item_ms") / 1000,
        memory_bytes=int(
            fields.read_amount("headroom_mb", LEAST_MEMORY_MB) * MEGABYTE
        ),
        result_seconds=fields.read_amount("handle_ttl_s"),
    )
    if not limits.call_seconds + limits.item_seconds:
        raise errors.MalformedValueError("a call takes no time")
    return limits


def _decode_accounts(parts: Iterator[_Fields]) -> dict[str, routes.Account]:
    accounts = {}
    for fields in parts:
        priority = None
        if fields.states("priority"):
            priority = fields.read_whole("priority", LOWEST_PRIORITY)
        account = routes.Account(
            fields.read_text("name"), priority, _decode_regions(fields)
        )
        keys = fields.read_strings("api_keys")
        if "" in keys:
            raise errors.MalformedValueError("an empty key")
        accounts |= dict.fromkeys(keys, account)
    return accounts


def _decode_limits(fields: _Fields) -> routes.InputLimits:
    head_ms = fields.read_amount("header_timeout_ms", default=3000.0)
    idle_ms = fields.read_amount("idle_timeout_ms", default=15000.0)
    return routes.InputLimits(
        head_bytes=fields.read_whole("max_header_bytes", default=16384),
        body_bytes=fields.read_whole("max_body_bytes", default=4194304),
        head_seconds=head_ms / 1000,
        idle_seconds=idle_ms / 1000,
    )
