"""The platform's object API over HTTP.

Reads reuse idle connections, as a read may be sent twice. Each write goes on
a connection of its own: bytes on a kept connection that closes under them
would leave open whether the write took effect, far more often.
"""

import contextlib
import json
import math
import urllib.parse
from collections.abc import AsyncIterator, Iterator
from typing import Any, NamedTuple

import curio

from samphirevale import errors
from samphirevale.adapters import metering, web
from samphirevale.ports import objects

# The most idle connections that are kept for reads.
IDLE_CONNECTIONS_LIMIT = 4

# The longest wait for the answer of a read or a write, in seconds.
CALL_SECONDS = 2.0

# How much longer than its own timeout a watch may take, in seconds.
WATCH_MARGIN_SECONDS = 2.0


class _Reply(NamedTuple):
    """An answer of the store, read to its end."""

    status: int
    value: Any
    headers: dict[str, str]


class HttpObjectStore:
    """Implements ports.objects.ObjectStore.

    A context manager is not needed: `close` ends the idle connections.
    """

    def __init__(
        self,
        url: str,
        read_seconds: float = CALL_SECONDS,
        write_seconds: float = CALL_SECONDS,
        idle_limit: int = IDLE_CONNECTIONS_LIMIT,
    ):
        """Prepares calls to the store.

        Args:
            url: the platform's object API, `http://host:port`.
            read_seconds: longest wait for a read's answer.
            write_seconds: longest wait for a write's answer.
            idle_limit: most idle connections that are kept.
        """
        self._url = url
        self._host, self._port = web.split_address(url)
        self._read_seconds = read_seconds
        self._write_seconds = write_seconds
        self._idle_limit = idle_limit
        self._idle: list[web.ClientConnection] = []

    @metering.count_calls("get")
    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns the object, or None."""
        reply = await self._read(_build_path("objects", kind, name))
        if reply.status == 404:
            return None
        _check_status(reply, 200)
        return _build_object(reply.value)

    @metering.count_calls("list")
    async def list_kind(self, kind: str) -> list[objects.StoredObject]:
        """Returns all objects of a kind."""
        reply = await self._read(_build_path("objects", kind))
        _check_status(reply, 200)
        return _build_objects(reply.value)

    @metering.count_calls("create")
    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoredObject:
        """Creates it; raises errors.StoreConflictError if it is there."""
        condition = ("If-None-Match", "*")
        reply = await self._write("PUT", kind, name, value, condition)
        return _build_written(reply)

    @metering.count_calls("update")
    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> objects.StoredObject:
        """Replaces it; raises errors.StoreConflictError on other version."""
        condition = ("If-Match", str(version))
        reply = await self._write("PUT", kind, name, value, condition)
        return _build_written(reply)

    @metering.count_calls("delete")
    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes it; raises errors.StoreConflictError on other version."""
        condition = ("If-Match", str(version))
        reply = await self._write("DELETE", kind, name, None, condition)
        _check_written(reply)

    @metering.count_calls("watch")
    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> objects.WatchEvents:
        """Waits for changes of a kind after `version`.

        Raises:
            errors.StoreWatchExpiredError: `version` is too old.
        """
        query = urllib.parse.urlencode(
            {"version": version, "timeout_ms": int(timeout_seconds * 1000)}
        )
        target = f"{_build_path('watch', kind)}?{query}"
        reply = await self._read(target, timeout_seconds + WATCH_MARGIN_SECONDS)
        if reply.status == 410:
            raise errors.StoreWatchExpiredError(f"{kind} from {version}")
        _check_status(reply, 200)
        with _refusing_malformed():
            return objects.WatchEvents(
                _build_objects(reply.value), reply.value["version"]
            )

    @metering.count_calls("instances")
    async def list_instances(self) -> list[objects.ListedInstance]:
        """Returns the platform's lagging list of sidecars."""
        reply = await self._read("/instances")
        _check_status(reply, 200)
        with _refusing_malformed():
            return [
                objects.ListedInstance(
                    item["name"],
                    item["host"],
                    item["peer_port"],
                    item["state"],
                )
                for item in reply.value["instances"]
            ]

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _read(self, target: str, seconds: float | None = None) -> _Reply:
        limit = self._read_seconds if seconds is None else seconds
        try:
            async with curio.timeout_after(limit):
                return await self._read_once_or_twice(target)
        except curio.TaskTimeout as error:
            raise errors.StoreUnavailableError(
                f"no answer in {limit} s"
            ) from error
        except errors.TransportError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    async def _read_once_or_twice(self, target: str) -> _Reply:
        """Reads; when a kept connection turns out closed, on a fresh one."""
        if self._idle:
            with contextlib.suppress(errors.AnswerLostError):
                return await self._read_on(self._idle.pop(), target)
        connection = await web.open_connection(self._host, self._port)
        return await self._read_on(connection, target)

    async def _read_on(
        self, connection: web.ClientConnection, target: str
    ) -> _Reply:
        async with self._keeping(connection):
            answer = await connection.request("GET", target)
            data = await answer.read_body()
        return _Reply(answer.status, web.read_json(data), answer.headers)

    @contextlib.asynccontextmanager
    async def _keeping(
        self, connection: web.ClientConnection
    ) -> AsyncIterator[None]:
        """Keeps the connection after the block if it may be used again."""
        kept = False
        try:
            yield
            kept = len(self._idle) < self._idle_limit
            kept = kept and connection.is_reusable()
            if kept:
                self._idle.append(connection)
        finally:
            if not kept:
                await connection.close()

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        value: Any,
        condition: tuple[str, str],
    ) -> _Reply:
        target = _build_path("objects", kind, name)
        body = b"" if method == "DELETE" else json.dumps(value).encode()
        try:
            connection = await web.open_connection(self._host, self._port)
        except errors.ConnectError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        try:
            async with curio.timeout_after(self._write_seconds):
                answer = await connection.request(
                    method, target, body, (condition,)
                )
                data = await answer.read_body()
            return _Reply(answer.status, web.read_json(data), answer.headers)
        except curio.TaskTimeout as error:
            raise errors.StoreUnknownError(
                f"no answer in {self._write_seconds} s"
            ) from error
        except errors.TransportError as error:
            raise errors.StoreUnknownError(str(error)) from error
        finally:
            await connection.close()


def _build_path(*parts: str) -> str:
    return "".join("/" + urllib.parse.quote(part, safe="") for part in parts)


def _check_status(reply: _Reply, *expected: int) -> None:
    """Raises the error that an answer stands for."""
    if reply.status in expected:
        return
    text = f"status {reply.status}: {_read_error(reply.value)}"
    if reply.status in (429, 503):
        raise errors.StoreUnavailableError(text, _read_retry_after(reply))
    if reply.status == 412:
        raise errors.StoreConflictError(text)
    raise errors.StoreError(text)


def _check_written(reply: _Reply) -> None:
    if reply.status == 404:
        raise errors.StoreConflictError("the object is gone")
    # The store may have failed after the write took effect.
    if reply.status >= 500 and reply.status != 503:
        raise errors.StoreUnknownError(f"status {reply.status}")
    _check_status(reply, 200, 201)


def _build_written(reply: _Reply) -> objects.StoredObject:
    _check_written(reply)
    try:
        return _build_object(reply.value)
    except errors.StoreUnavailableError as error:
        raise errors.StoreUnknownError(str(error)) from error


def _read_error(value: Any) -> str:
    return str(value.get("error", "")) if isinstance(value, dict) else ""


def _read_retry_after(reply: _Reply) -> float:
    """Returns the header's seconds, or 0 if it is missing or not a number."""
    try:
        seconds = float(reply.headers.get("retry-after", ""))
    except ValueError:
        return 0.0
    return max(seconds, 0.0) if math.isfinite(seconds) else 0.0


@contextlib.contextmanager
def _refusing_malformed() -> Iterator[None]:
    """Turns an answer of another form into an error of the store."""
    try:
        yield
    except (TypeError, KeyError) as error:
        raise errors.StoreUnavailableError(
            f"malformed answer: {error!r}"
        ) from error


def _build_object(value: Any) -> objects.StoredObject:
    with _refusing_malformed():
        return objects.StoredObject(
            value["kind"], value["name"], value["version"], value["value"]
        )


def _build_objects(value: Any) -> list[objects.StoredObject]:
    with _refusing_malformed():
        return [_build_object(item) for item in value["objects"]]
