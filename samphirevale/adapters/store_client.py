"""HTTP calls to an object store, independent of the API's form.

Each call opens a new connection. On a kept one, what comes behind an answer
could be taken for that of the next call, as an answer names no call. If the
store closed a kept connection during a write, it would also be unknown whether
the write took effect, and that would happen far more often than on new
connections.
"""

import json
from typing import Any, NamedTuple

import curio

from samphirevale import errors
from samphirevale.adapters import json_parts, web_client
from samphirevale.ports import objects

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
    """Makes calls to an object store."""

    def __init__(
        self,
        url: str,
        read_seconds: float = CALL_SECONDS,
        write_seconds: float = CALL_SECONDS,
    ):
        """Stores the address and the timeouts; opens no connection.

        Args:
            url: URL of the platform's object API, `http://host:port`.
            read_seconds: timeout of a read.
            write_seconds: timeout of a write.
        """
        self._url = url
        self._host, self._port = web_client.split_address(url)
        self._read_seconds = read_seconds
        self._write_seconds = write_seconds
        # Whether the latest read was answered.
        self._answers = False

    async def read(
        self,
        target: str,
        seconds: float | None = None,
        levels: int = 0,
    ) -> Reply:
        """Reads, and reads once more if the connection is lost.

        A store that has not answered the read before is asked only once, as it
        may be unreachable.

        Args:
            target: path and query.
            seconds: timeout; None for the store's read timeout.
            levels: down to which level of its nesting a body is parsed in parts
                if it cannot be parsed whole (json_parts.parse_parts).

        Raises:
            errors.StoreUnavailableError: no complete answer was received.
        """
        timeout_seconds = self._read_seconds if seconds is None else seconds
        may_repeat = self._answers
        try:
            async with curio.timeout_after(timeout_seconds):
                reply = await self._read(target, levels, may_repeat)
        except curio.TaskTimeout as error:
            self._answers = False
            raise errors.StoreUnavailableError(
                f"no answer in {timeout_seconds} s"
            ) from error
        except errors.TransportError as error:
            self._answers = False
            raise errors.StoreUnavailableError(str(error)) from error
        self._answers = True
        return reply

    async def _read(self, target: str, levels: int, may_repeat: bool) -> Reply:
        try:
            return await self._read_once(target, levels)
        except errors.AnswerLostError:
            if not may_repeat:
                raise
        return await self._read_once(target, levels)

    async def _read_once(self, target: str, levels: int) -> Reply:
        async with web_client.connect(self._host, self._port) as connection:
            answer = await connection.request("GET", target)
            data = await answer.read_body()
        return Reply(answer.status, _parse(data, levels), answer.headers)

    async def write(
        self,
        method: str,
        target: str,
        value: Any,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Reply:
        """Writes; a lost write is not repeated.

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
