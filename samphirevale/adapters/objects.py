"""HTTP client for the platform's object API.

Another writer may leave objects that cannot be read. Lists and watches leave
them out, and the others hold.
"""

import contextlib
import logging
import math
import time
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from samphirevale import errors, log_limits, stored_values
from samphirevale.adapters import store_client, store_metrics
from samphirevale.ports import objects

# How much longer than the server-side timeout of a watch the client waits,
# in seconds.
WATCH_MARGIN_SECONDS = 2.0

# The level of nesting of an object in the answers with several of them.
LIST_LEVELS = 2

_Item = TypeVar("_Item")


class HttpObjectStore(store_client.StoreClient):
    """Implements ports.objects.ObjectStore."""

    def __init__(self, *arguments: Any, **options: Any):
        """Takes the same arguments as its base class."""
        super().__init__(*arguments, **options)
        self._log_limiter = log_limits.LogLimiter()

    @store_metrics.measure_calls("get")
    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns the object, or None if it does not exist."""
        reply = await self.read(_build_path("objects", kind, name))
        if reply.status == 404:
            return None
        _check_status(reply, 200)
        with _converting_parse_errors():
            return _build_object(reply.value)

    @store_metrics.measure_calls("list")
    async def list_kind(self, kind: str) -> list[objects.StoredObject]:
        """Returns all objects of a kind that can be read."""
        reply = await self.read(
            _build_path("objects", kind), levels=LIST_LEVELS
        )
        _check_status(reply, 200)
        return self._build_all(_build_object, reply.value, "objects")

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

        What has become of an object that cannot be read remains unknown.

        Raises:
            errors.StoreWatchExpiredError: the store no longer has the
                changes since `version`.
        """
        query = urllib.parse.urlencode(
            {"version": version, "timeout_ms": int(timeout_seconds * 1000)}
        )
        target = f"{_build_path('watch', kind)}?{query}"
        reply = await self.read(
            target, timeout_seconds + WATCH_MARGIN_SECONDS, LIST_LEVELS
        )
        if reply.status == 410:
            raise errors.StoreWatchExpiredError(f"{kind} from {version}")
        _check_status(reply, 200)
        changed = self._build_all(_build_object, reply.value, "objects")
        with _converting_parse_errors():
            fields = stored_values.Fields(reply.value)
            return objects.WatchEvents(changed, fields.read_integer("version"))

    @store_metrics.measure_calls("instances")
    async def list_instances(self) -> list[objects.ListedInstance]:
        """Returns the platform's list of sidecars, which may be outdated."""
        reply = await self.read("/instances", levels=LIST_LEVELS)
        _check_status(reply, 200)
        return self._build_all(_build_instance, reply.value, "instances")

    def _build_all(
        self, build: Callable[[Any], _Item], value: Any, name: str
    ) -> list[_Item]:
        """Returns the items of an answer that can be read.

        Raises:
            errors.StoreUnavailableError: the answer has no list of them.
        """
        with _converting_parse_errors():
            items = stored_values.Fields(value).read_list(name)
        found = []
        for item in items:
            try:
                found.append(build(item))
            except errors.MalformedValueError as error:
                if self._log_limiter.permits(name, time.monotonic()):
                    logging.getLogger(__name__).warning(
                        "unreadable among %s: %s", name, error
                    )
        return found


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
    except errors.MalformedValueError as error:
        raise errors.StoreUnknownError(f"malformed answer: {error}") from error


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
    """Converts errors from reading an answer to StoreUnavailableError."""
    try:
        yield
    except errors.MalformedValueError as error:
        raise errors.StoreUnavailableError(
            f"malformed answer: {error}"
        ) from error


def _build_object(value: Any) -> objects.StoredObject:
    """Returns an object, whose value is checked by its decoder.

    Raises:
        errors.MalformedValueError: it cannot be read.
    """
    fields = stored_values.Fields(value)
    if "value" not in value:
        raise errors.MalformedValueError("no value")
    return objects.StoredObject(
        stored_values.check_string(value.get("kind")),
        stored_values.check_string(value.get("name")),
        fields.read_integer("version"),
        value["value"],
    )


def _build_instance(value: Any) -> objects.ListedInstance:
    """Returns a listed sidecar.

    Raises:
        errors.MalformedValueError: it cannot be read.
    """
    fields = stored_values.Fields(value)
    return objects.ListedInstance(
        fields.read_text("name"),
        fields.read_token("host"),
        fields.read_integer("peer_port", 1, stored_values.LAST_PORT),
        fields.read_text("state"),
    )
