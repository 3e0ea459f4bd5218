"""HTTP calls to an object store, independent of the API's form.

Reads reuse idle connections, as a read may be sent twice. Each write opens a
new connection. If the store closed a kept connection during a write, it would
be unknown whether the write took effect, and that would happen far more often
than on new connections.
"""

import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import curio

from samphirevale import errors
from samphirevale.adapters import json_parts, web_client
from samphirevale.ports import objects

# Maximum number of idle connections kept for reads.
IDLE_CONNECTIONS_LIMIT = 4

# Timeout of a read or a write, in seconds.
CALL_SECONDS = 2.0


# The level of nesting of an object's members in the answer to a write.
WRITTEN_LEVELS = 1


class Reply(NamedTuple):
    """A complete answer of the store."""

    status: int
    value: Any
    headers: dict[str, str]


class StoreClient:
    """Makes calls to an object store and keeps idle connections for reads."""

    def __init__(
        self,
        url: str,
        read_seconds: float = CALL_SECONDS,
        write_seconds: float = CALL_SECONDS,
        idle_limit: int = IDLE_CONNECTIONS_LIMIT,
    ):
        """Stores the address and the limits; opens no connection.

        Args:
            url: URL of the platform's object API, `http://host:port`.
            read_seconds: timeout of a read.
            write_seconds: timeout of a write.
            idle_limit: maximum number of idle connections kept.
        """
        self._url = url
        self._host, self._port = web_client.split_address(url)
        self._read_seconds = read_seconds
        self._write_seconds = write_seconds
        self._idle_limit = idle_limit
        self._idle: list[web_client.ClientConnection] = []

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def read(
        self,
        target: str,
        seconds: float | None = None,
        levels: int = 0,
    ) -> Reply:
        """Reads on an idle connection if there is one, or on a new one.

        After a timeout no idle connection is used any more, as all may have
        fallen silent.

        Args:
            target: path and query.
            seconds: timeout; None for the store's read timeout.
            levels: down to which level of its nesting a body is parsed in parts
                if it cannot be parsed whole (json_parts.parse_parts).

        Raises:
            errors.StoreUnavailableError: no complete answer was received.
        """
        timeout_seconds = self._read_seconds if seconds is None else seconds
        try:
            async with curio.timeout_after(timeout_seconds):
                return await self._read_with_retry(target, levels)
        except curio.TaskTimeout as error:
            await self.close()
            raise errors.StoreUnavailableError(
                f"no answer in {timeout_seconds} s"
            ) from error
        except errors.TransportError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    async def _read_with_retry(self, target: str, levels: int) -> Reply:
        """Reads, and retries on a new connection if an idle one was closed."""
        idle = await self._pop_idle()
        if idle is not None:
            with contextlib.suppress(errors.AnswerLostError):
                return await self._read_on_connection(idle, target, levels)
        connection = await web_client.open_connection(self._host, self._port)
        return await self._read_on_connection(connection, target, levels)

    async def _pop_idle(self) -> web_client.ClientConnection | None:
        """Returns an idle connection on which nothing has come; None if none.

        What comes on an idle connection belongs to no call, and would be read
        as the answer to the next one.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return None

    async def _read_on_connection(
        self,
        connection: web_client.ClientConnection,
        target: str,
        levels: int,
    ) -> Reply:
        async with self._returning_to_idle(connection):
            answer = await connection.request("GET", target)
            data = await answer.read_body()
        return Reply(answer.status, _parse(data, levels), answer.headers)

    @contextlib.asynccontextmanager
    async def _returning_to_idle(
        self, connection: web_client.ClientConnection
    ) -> AsyncIterator[None]:
        """Keeps the connection after the block if it can be reused."""
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

    async def write(
        self,
        method: str,
        target: str,
        value: Any,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Reply:
        """Writes on a new connection.

        Raises:
            errors.StoreUnavailableError: no connection was made, so nothing
                was sent.
            errors.StoreUnknownError: the write may have taken effect.
        """
        body = b"" if method == "DELETE" else json.dumps(value).encode()
        try:
            connection = await web_client.open_connection(
                self._host, self._port
            )
        except errors.ConnectError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        try:
            async with curio.timeout_after(self._write_seconds):
                answer = await connection.request(method, target, body, headers)
                data = await answer.read_body()
            value = _parse(data, WRITTEN_LEVELS)
            return Reply(answer.status, value, answer.headers)
        except curio.TaskTimeout as error:
            raise errors.StoreUnknownError(
                f"no answer in {self._write_seconds} s"
            ) from error
        except errors.TransportError as error:
            raise errors.StoreUnknownError(str(error)) from error
        finally:
            await connection.close()


def _parse(data: bytes, levels: int) -> Any:
    """Returns the value of a body, or None if it is empty.

    Raises:
        errors.ProtocolError: the body cannot be parsed, not even in parts.
    """
    value = json_parts.parse_parts(data, levels) if data else None
    if value is objects.UNREADABLE:
        raise errors.ProtocolError("not JSON")
    return value
