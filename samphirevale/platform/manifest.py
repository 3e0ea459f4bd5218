"""Decodes the operator's manifest into routes, services and accounts."""

from collections.abc import Sequence
from typing import Any

from samphirevale import (
    errors,
    routes,
    stored_rows,
    stored_values,
    value_columns,
)

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

    def read_part(self, name: str) -> "_Fields":
        """Returns the fields of an object; none if it is not stated."""
        return _Fields(self._value.get(name, {}))


class _Rows(stored_rows.Rows):
    """The fields of many parts of one kind."""

    def read_amounts(
        self, name: str, default: Any = stored_rows.REQUIRED
    ) -> list[float]:
        """Returns numbers that are not negative."""
        found = self.read_numbers(name, 0.0, NUMBER_LIMIT, default)
        return list(map(float, found))

    def read_wholes(
        self,
        name: str,
        lowest: int = 0,
        default: Any = stored_rows.REQUIRED,
    ) -> list[Any]:
        """Returns whole numbers, which may be written as 3.0."""
        found = self.read_numbers(
            name, lowest, stored_values.INTEGER_LIMIT, default
        )
        if value_columns.are_of(value_columns.WHOLE, found):
            return found
        floats = [number for number in found if isinstance(number, float)]
        if floats and max(floats) > NUMBER_LIMIT:
            raise errors.MalformedValueError(f"{name} is out of its range")
        return [
            int(number) if isinstance(number, float) else number
            for number in found
        ]


def decode_manifest(value: Any) -> routes.RouteTable:
    """Returns the decoded manifest.

    Raises:
        errors.MalformedValueError: the manifest is malformed, although the
            store accepts only valid ones.
    """
    fields = _Fields(value)
    services = list(
        map(_decode_service, map(_Fields, fields.read_all("services")))
    )
    found = _decode_routes(_Rows(fields.read_all("routes")))
    accounts = None
    if fields.states("tenants"):
        accounts = _decode_accounts(_Rows(fields.read_all("tenants")))
    return routes.RouteTable(
        version=fields.read_whole("version"),
        routes=routes.index_routes(found),
        services={service.name: service for service in services},
        accounts=accounts,
        limits=_decode_limits(fields.read_part("limits")),
    )


def _decode_routes(rows: _Rows) -> list[routes.Route]:
    kinds = rows.read_texts("kind")
    timeouts_ms = rows.read_amounts("timeout_ms")
    targets_ms = rows.read_amounts("ttft_target_ms", default=0.0)
    return stored_rows.build(
        routes.Route,
        name=rows.read_texts("name"),
        host=[host.lower() for host in rows.read_texts("host")],
        path_prefix=rows.read_texts("path_prefix"),
        splits=_decode_splits(rows),
        repeatable=[kind == "idempotent" for kind in kinds],
        streamed=[kind == "streaming" for kind in kinds],
        resumable=rows.read_flags("resumable"),
        timeout_seconds=[ms / 1000 for ms in timeouts_ms],
        # The target is the time to the first event of a stream and to the
        # complete answer otherwise.
        target_seconds=[
            (target_ms or timeout_ms) / 1000
            for target_ms, timeout_ms in zip(
                targets_ms, timeouts_ms, strict=True
            )
        ],
        priority=rows.read_wholes("priority", LOWEST_PRIORITY, default=0),
        attempts_limit=rows.read_wholes("max_attempts", default=1),
        stages=_decode_stages(rows.read_lists("phases")),
        anonymous=rows.read_flags("anonymous"),
        event_target_seconds=[
            ms / 1000 for ms in rows.read_amounts("itl_target_ms", default=0.0)
        ],
        regions=_decode_regions(rows),
    )


def _decode_splits(rows: _Rows) -> list[tuple[routes.Split, ...]]:
    lists = rows.read_lists("weighted_split")
    parts = _Rows(stored_rows.flatten(lists))
    splits = stored_rows.build(
        routes.Split,
        service=parts.read_texts("service"),
        weight=parts.read_amounts("weight"),
    )
    undivided = _Rows(
        route
        for route, found in zip(rows.values, lists, strict=True)
        if not found
    )
    services = undivided.read_texts("service")
    whole = {name: (routes.Split(name, 1.0),) for name in set(services)}
    rest = iter(services)
    return [
        found or whole[next(rest)] for found in stored_rows.group(splits, lists)
    ]


def _decode_stages(
    lists: list[Sequence[Any]],
) -> list[tuple[routes.Stage, ...]]:
    """Returns the stages of each route; one takes results of earlier ones."""
    parts = _Rows(stored_rows.flatten(lists))
    indices = stored_rows.flatten(range(len(found)) for found in lists if found)
    sources = parts.read_lists("after")
    for index, after in zip(indices, sources, strict=True):
        if after and not (
            value_columns.are_of(value_columns.WHOLE, after)
            and value_columns.are_in_range(after, 0, index - 1)
        ):
            raise errors.MalformedValueError("after names no earlier stage")
    stages = stored_rows.build(
        routes.Stage,
        service=parts.read_texts("service"),
        after=list(map(tuple, sources)),
        # `length` is the size of one result in bytes.
        result_bytes=parts.read_wholes("length", default=0),
    )
    return stored_rows.group(stages, lists)


def _decode_regions(rows: _Rows) -> list[frozenset[str] | None]:
    """Returns the homes of routes or tenants; None for one that names none."""
    return [
        frozenset(found) if found else None
        for found in rows.read_string_lists("allowed_regions")
    ]


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


def _decode_accounts(rows: _Rows) -> dict[str, routes.Account]:
    accounts = stored_rows.build(
        routes.Account,
        name=rows.read_texts("name"),
        priority=rows.read_wholes("priority", LOWEST_PRIORITY, default=None),
        regions=_decode_regions(rows),
    )
    keys = rows.read_string_lists("api_keys")
    if any("" in found for found in keys):
        raise errors.MalformedValueError("an empty key")
    return {
        key: account
        for account, found in zip(accounts, keys, strict=True)
        for key in found
    }


def _decode_limits(fields: _Fields) -> routes.InputLimits:
    head_ms = fields.read_amount("header_timeout_ms", default=3000.0)
    idle_ms = fields.read_amount("idle_timeout_ms", default=15000.0)
    return routes.InputLimits(
        head_bytes=fields.read_whole("max_header_bytes", default=16384),
        body_bytes=fields.read_whole("max_body_bytes", default=4194304),
        head_seconds=head_ms / 1000,
        idle_seconds=idle_ms / 1000,
    )
