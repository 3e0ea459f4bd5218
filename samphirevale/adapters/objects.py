"""HTTP client for the platform's object API."""

import contextlib
import math
import urllib.parse
from collections.abc import Iterator
from typing import Any

from samphirevale import errors
from samphirevale.adapters import store_client, store_metrics
from samphirevale.ports import objects

# How much longer than the server-side timeout of a watch the client waits,
# in seconds.
WATCH_MARGIN_SECONDS = 2.0


class HttpObjectStore(store_client.StoreClient):
    """Implements ports.objects.ObjectStore."""

    @store_metrics.measure_calls("get")
    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns the object, or None if it does not exist."""
        reply = await self.read(_build_path("objects", kind, name))
        if reply.status == 404:
            return None
        _check_status(reply, 200)
        return _build_object(reply.value)

    @store_metrics.measure_calls("list")
    async def list_kind(self, kind: str) -> list[objects.StoredObject]:
        """Returns all objects of a kind."""
        reply = await self.read(_build_path("objects", kind))
        _check_status(reply, 200)
        return _build_objects(reply.value)

    @store_metrics.measure_calls("create")
    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoredObject:
        """Creates an object.

        Raises:
            errors.StoreConflictError: the object already exists.
        """
        condition = ("If-None-Match", "*")
        reply = await self.write(
            "PUT", _build_path("objects", kind, name), value, (condition,)
        )
        return _build_written(reply)

    @store_metrics.measure_calls("update")
    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> objects.StoredObject:
        """Replaces an object.

        Raises:
            errors.StoreConflictError: the stored version differs.
        """
        condition = ("If-Match", str(version))
        reply = await self.write(
            "PUT", _build_path("objects", kind, name), value, (condition,)
        )
        return _build_written(reply)

    @store_metrics.measure_calls("delete")
    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object.

        Raises:
            errors.StoreConflictError: the stored version differs.
        """
        condition = ("If-Match", str(version))
        reply = await self.write(
            "DELETE", _build_path("objects", kind, name), None, (condition,)
        )
        _check_written(reply)

    @store_metrics.measure_calls("watch")
    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> objects.WatchEvents:
        """Waits for changes to a kind after `version`.

        Raises:
            errors.StoreWatchExpiredError: the store no longer has the
                changes since `version`.
        """
        query = urllib.parse.urlencode(
            {"version": version, "timeout_ms": int(timeout_seconds * 1000)}
        )
        target = f"{_build_path('watch', kind)}?{query}"
        reply = await self.read(target, timeout_seconds + WATCH_MARGIN_SECONDS)
        if reply.status == 410:
            raise errors.StoreWatchExpiredError(f"{kind} from {version}")
        _check_status(reply, 200)
        with _converting_parse_errors():
            return objects.WatchEvents(
                _build_objects(reply.value), reply.value["version"]
            )

    @store_metrics.measure_calls("instances")
    async def list_instances(self) -> list[objects.ListedInstance]:
        """Returns the platform's list of sidecars, which may be outdated."""
        reply = await self.read("/instances")
        _check_status(reply, 200)
        with _converting_parse_errors():
            return [
                objects.ListedInstance(
                    item["name"],
                    item["host"],
                    item["peer_port"],
                    item["state"],
                )
                for item in reply.value["instances"]
            ]


def _build_path(*parts: str) -> str:
    return "".join("/" + urllib.parse.quote(part, safe="") for part in parts)


def _check_status(reply: store_client.Reply, *expected: int) -> None:
    """Raises the error for a status that is not among the expected ones."""
    if reply.status in expected:
        return
    text = f"status {reply.status}: {_read_error(reply.value)}"
    if reply.status in (429, 503):
        raise errors.StoreUnavailableError(text, _read_retry_after(reply))
    if reply.status == 412:
        raise errors.StoreConflictError(text)
    raise errors.StoreError(text)


def _check_written(reply: store_client.Reply) -> None:
    if reply.status == 404:
        raise errors.StoreConflictError("the object is gone")
    # With these statuses the store may have failed after the write took
    # effect. A 503 is sent before any effect.
    if reply.status >= 500 and reply.status != 503:
        raise errors.StoreUnknownError(f"status {reply.status}")
    _check_status(reply, 200, 201)


def _build_written(reply: store_client.Reply) -> objects.StoredObject:
    _check_written(reply)
    try:
        return _build_object(reply.value)
    except errors.StoreUnavailableError as error:
        raise errors.StoreUnknownError(str(error)) from error


def _read_error(value: Any) -> str:
    return str(value.get("error", "")) if isinstance(value, dict) else ""


def _read_retry_after(reply: store_client.Reply) -> float:
    """Returns the Retry-After header in seconds, or 0 if it is not valid."""
    try:
        seconds = float(reply.headers.get("retry-after", ""))
    except ValueError:
        return 0.0
    return max(seconds, 0.0) if math.isfinite(seconds) else 0.0


@contextlib.contextmanager
def _converting_parse_errors() -> Iterator[None]:
    """Converts errors from parsing an answer to StoreUnavailableError."""
    try:
        yield
    except (TypeError, KeyError) as error:
        raise errors.StoreUnavailableError(
            f"malformed answer: {error!r}"
        ) from error


def _build_object(value: Any) -> objects.StoredObject:
    with _converting_parse_errors():
        return objects.StoredObject(
            value["kind"], value["name"], value["version"], value["value"]
        )


def _build_objects(value: Any) -> list[objects.StoredObject]:
    with _converting_parse_errors():
        return [_build_object(item) for item in value["objects"]]
