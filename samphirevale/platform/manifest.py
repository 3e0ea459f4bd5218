"""Decodes the operator's manifest into routes, services and accounts."""

from collections.abc import Mapping
from typing import Any

from samphirevale import routes

# Kind and name of the manifest's object in the store.
KIND = "config"
NAME = "main"

# Bytes per megabyte in the platform's units.
MEGABYTE = 1_000_000


def decode_manifest(value: Mapping[str, Any]) -> routes.RouteTable:
    """Returns the decoded manifest.

    Raises:
        AttributeError, KeyError, OverflowError, TypeError, ValueError: the
            manifest is malformed, although the store accepts only valid ones.
    """
    services = [_decode_service(item) for item in value["services"]]
    return routes.RouteTable(
        version=int(value["version"]),
        routes=routes.index_routes(
            [_decode_route(item) for item in value["routes"]]
        ),
        services={service.name: service for service in services},
        accounts=_decode_accounts(value.get("tenants")),
        limits=_decode_limits(value.get("limits") or {}),
    )


def _decode_route(value: Mapping[str, Any]) -> routes.Route:
    if value.get("weighted_split"):
        splits = tuple(
            routes.Split(item["service"], float(item["weight"]))
            for item in value["weighted_split"]
        )
    else:
        splits = (routes.Split(value["service"], 1.0),)
    timeout_ms = float(value["timeout_ms"])
    return routes.Route(
        name=value["name"],
        host=value["host"].lower(),
        path_prefix=value["path_prefix"],
        splits=splits,
        repeatable=value["kind"] == "idempotent",
        streamed=value["kind"] == "streaming",
        resumable=bool(value.get("resumable", False)),
        timeout_seconds=timeout_ms / 1000,
        # The target is the time to the first event of a stream and to the
        # complete answer otherwise.
        target_seconds=float(value.get("ttft_target_ms") or timeout_ms) / 1000,
        priority=int(value.get("priority", 0)),
        attempts_limit=int(value.get("max_attempts", 1)),
        stages=tuple(
            # `length` is the size of one result in bytes.
            routes.Stage(
                item["service"],
                tuple(item.get("after", ())),
                int(item.get("length", 0)),
            )
            for item in value.get("phases") or ()
        ),
        anonymous=bool(value.get("anonymous", False)),
        event_target_seconds=float(value.get("itl_target_ms") or 0) / 1000,
        regions=_decode_regions(value),
    )


def _decode_regions(value: Mapping[str, Any]) -> frozenset[str] | None:
    """Returns the homes of a route or tenant; None if it names none."""
    homes = value.get("allowed_regions")
    return frozenset(homes) if homes else None


def _decode_service(value: Mapping[str, Any]) -> routes.Service:
    batch = value.get("segments")
    return routes.Service(
        name=value["name"],
        connections_limit=int(value.get("max_connections", 0)),
        batch=_decode_batch(batch) if batch else None,
        cold=_decode_cold_limit(value),
    )


def _decode_cold_limit(value: Mapping[str, Any]) -> routes.ColdLimit | None:
    seconds = float(value.get("cold_start_s") or 0)
    rate = float(value.get("cold_per_s") or 0)
    return routes.ColdLimit(seconds, rate) if rate > 0 else None


def _decode_batch(value: Mapping[str, Any]) -> routes.BatchLimits:
    return routes.BatchLimits(
        # Here a slot is a concurrent call, not an item.
        concurrency=int(value["slots"]),
        queue=int(value["queue"]),
        items=int(value["batch"]),
        call_seconds=float(value["call_ms"]) / 1000,
        item_seconds=float(value["item_ms"]) / 1000,
        memory_bytes=int(float(value["headroom_mb"]) * MEGABYTE),
        result_seconds=float(value["handle_ttl_s"]),
    )


def _decode_accounts(
    value: list[Mapping[str, Any]] | None,
) -> dict[str, routes.Account] | None:
    if value is None:
        return None
    accounts = {}
    for item in value:
        account = routes.Account(
            item["name"], item.get("priority"), _decode_regions(item)
        )
        accounts |= dict.fromkeys(item.get("api_keys") or (), account)
    return accounts


def _decode_limits(value: Mapping[str, Any]) -> routes.InputLimits:
    return routes.InputLimits(
        head_bytes=int(value.get("max_header_bytes", 16384)),
        body_bytes=int(value.get("max_body_bytes", 4194304)),
        head_seconds=float(value.get("header_timeout_ms", 3000)) / 1000,
        idle_seconds=float(value.get("idle_timeout_ms", 15000)) / 1000,
    )
