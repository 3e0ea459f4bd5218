"""HTTP calls to the platform's engines, stage engines and services."""

import contextlib
import json
from collections.abc import AsyncIterator, Callable, Sequence

import curio

from samphirevale import (
    batching,
    catalogue,
    errors,
    proxy_requests,
    stored_values,
)
from samphirevale.adapters import web_client
from samphirevale.platform import headers, manifest, notices
from samphirevale.ports import proxies

# Timeout for connecting to an endpoint, in seconds.
CONNECT_SECONDS = 0.5

# Maximum number of idle connections kept to one stage engine.
IDLE_LIMIT = 4

# The largest answer to a call other than a request, in bytes.
CALL_BYTES_LIMIT = 1024 * 1024

# Status if a result named by the request no longer exists.
RESULT_GONE = 409


class PlatformAnswer:
    """Implements ports.proxies.EndpointAnswer."""

    def __init__(
        self, connection: web_client.ClientConnection, answer: web_client.Answer
    ):
        self._connection = connection
        self._answer = answer
        self.status = answer.status
        self.headers = tuple(
            (name, value)
            for name, value in answer.raw_headers
            if name.decode("latin-1").lower() not in headers.NOT_FOR_CALLERS
        )
        content = answer.headers.get("content-type", "").lower()
        self.streamed = answer.status == 200 and content.startswith(
            "text/event-stream"
        )

        self.framed = not answer.headers.keys().isdisjoint(
            ("content-length", "transfer-encoding")
        )

    def read_parts(self) -> AsyncIterator[bytes]:
        """Yields the body; raises errors.TransportError if it is cut off."""
        return self._answer.read_parts()

    async def close(self) -> None:
        """Closes the connection, upon which the endpoint stops its work."""
        await self._connection.close()


class PlatformEndpoints:
    """Implements ports.proxies.ProxyEndpoints.

    Each request opens a new connection. If the endpoint closed a kept
    connection during a request, it would be unknown whether the request ran.
    So does each batch call: its answer names no call, and what a faulty
    endpoint writes once more, at once or later, could be taken for it. Releases
    and reports reuse connections, as nothing follows from the answer to a
    release, and a report that is not the newest does no harm.
    """

    def __init__(self, listener: proxies.EndpointListener):
        self._listener = listener
        self._idle: dict[
            tuple[str, int], list[web_client.ClientConnection]
        ] = {}

    async def send(
        self,
        endpoint: catalogue.Endpoint,
        request: proxy_requests.ProxiedRequest,
        send: proxy_requests.SendParameters,
        on_connected: Callable[[], None],
    ) -> PlatformAnswer:
        """Sends a request and returns when the answer's head has been read."""
        connection = await self._open_connection(endpoint)
        try:
            if send.asks_start:
                connection = await self._ask_start(connection, endpoint)
            self._check_allowed(endpoint)
            on_connected()
            answer = await connection.request(
                request.method,
                request.target,
                request.body,
                request.headers + _build_headers(endpoint, send),
                request.host,
            )
            # An answer to another request promises nothing about this one.
            attempt = answer.headers.get(headers.ATTEMPT)
            if attempt not in (None, request.attempt):
                raise errors.ProtocolError("the answer is not the request's")
            notice = await self._handle_notice(endpoint, answer)
            _check_executed(answer, notice)
            if attempt is None:
                raise errors.ProtocolError("the answer names no request")
            if answer.status in notices.NOT_RUN:
                raise errors.UnconfirmedRefusalError(f"status {answer.status}")
            if "content-encoding" in answer.headers:
                raise errors.ProtocolError("the answer is encoded")
            if answer.status < 300 and headers.SEAL not in answer.headers:
                raise errors.ProtocolError("the answer has no seal")
        except BaseException:
            await connection.close()
            raise
        return PlatformAnswer(connection, answer)

    async def _ask_start(
        self,
        connection: web_client.ClientConnection,
        endpoint: catalogue.Endpoint,
    ) -> web_client.ClientConnection:
        """Asks an endpoint for its start on the connection of a request.

        The connection would end with the endpoint, so that the request that
        follows reaches the one that has answered. An endpoint that does not say
        when it started counts as the one that is known.

        Returns:
            The connection for the request, a new one if this cannot be kept.

        Raises:
            errors.NotAcceptingError: the endpoint has started again.
            errors.ConnectError: it has not answered, or its answer cannot be
                read.
        """
        self._check_allowed(endpoint)
        try:
            async with curio.timeout_after(CONNECT_SECONDS):
                answer = await connection.request(
                    "GET", "/report", b"", (_expect(endpoint),)
                )
                data = await answer.read_body(CALL_BYTES_LIMIT)
        except curio.TaskTimeout as error:
            raise errors.ConnectTimeoutError(
                f"{endpoint.name}: no report in {CONNECT_SECONDS} s"
            ) from error
        except errors.TransportError as error:
            raise errors.ConnectError(f"no report: {error}") from error
        await self._handle_notice(endpoint, answer)
        started = _decode_start(answer.status, data)
        if answer.status == notices.MISDIRECTED or (
            started is not None and started != endpoint.started
        ):
            raise errors.NotAcceptingError(f"{endpoint.name} has started again")
        # A refusal that is written once more could be taken for the request's.
        if answer.status == 200 and connection.is_reusable():
            return connection
        await connection.close()
        return await self._open_connection(endpoint)

    async def run_batch(
        self,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
        now: float,
    ) -> list[proxies.ItemResult]:
        """Runs several items in one call and returns their results."""
        body = {"items": [_encode_item(item, now) for item in items]}
        connection = await self._open_connection(endpoint)
        value = await self._call(endpoint, connection, "/stage-run", body)
        results = value.get("items") if isinstance(value, dict) else None
        if not isinstance(results, list) or len(results) != len(items):
            raise errors.ProtocolError("not the items that were asked for")
        return [_decode_result(item) for item in results]

    async def release(
        self, endpoint: catalogue.Endpoint, results: Sequence[str]
    ) -> None:
        """Frees the memory that results occupy."""
        connection = await self._get_connection(endpoint)
        value = {"handles": list(results)}
        await self._call(endpoint, connection, "/stage-free", value)

    async def read_free_memory(self, endpoint: catalogue.Endpoint) -> int:
        """Returns the endpoint's free memory for results, in bytes."""
        connection = await self._get_connection(endpoint)
        value = await self._call(endpoint, connection, "/report", None)
        try:
            return int(float(value["free_mb"]) * manifest.MEGABYTE)
        except (KeyError, OverflowError, TypeError, ValueError) as error:
            raise errors.ProtocolError("no free_mb in the report") from error

    async def _call(
        self,
        endpoint: catalogue.Endpoint,
        connection: web_client.ClientConnection,
        target: str,
        value: object,
    ) -> object:
        """Posts a value as JSON, or sends a GET if it is None.

        Returns the parsed answer. Without an answer no kept connection is used
        any more, as all may have fallen silent.
        """
        kept = unanswered = False
        try:
            self._check_allowed(endpoint)
            unanswered = True
            answer = await connection.request(
                "GET" if value is None else "POST",
                target,
                b"" if value is None else json.dumps(value).encode(),
                (("Content-Type", "application/json"), _expect(endpoint)),
            )
            notice = await self._handle_notice(endpoint, answer)
            data = await answer.read_body(CALL_BYTES_LIMIT)
            unanswered = False
            kept = connection.is_reusable() and not notice.leaving
            _check_executed(answer, notice)
            if answer.status != 200:
                raise errors.ProtocolError(f"status {answer.status}")
            return web_client.read_json(data)
        finally:
            if kept:
                self._return_to_idle(endpoint, connection)
            else:
                await connection.close()
            if unanswered:
                await self.close_idle(endpoint)

    def _check_allowed(self, endpoint: catalogue.Endpoint) -> None:
        """Records a call; raises an error if nothing may be sent.

        Called once the connection is open, which takes long enough for the
        endpoint to ask for a pause meanwhile.
        """
        if not self._listener.may_call(endpoint):
            raise errors.NotAcceptingError(f"{endpoint.name} leaves or pauses")
        self._listener.record_call(endpoint)

    async def _handle_notice(
        self, endpoint: catalogue.Endpoint, answer: web_client.Answer
    ) -> proxies.EndpointNotice:
        notice = notices.decode_notice(answer.status, answer.headers)
        if answer.status == notices.MISDIRECTED:
            return notice
        await self._listener.handle_notice(endpoint, notice)
        if notice.leaving:
            await self.close_idle(endpoint)
        return notice

    async def _get_connection(
        self, endpoint: catalogue.Endpoint
    ) -> web_client.ClientConnection:
        idle = self._idle.get((endpoint.host, endpoint.port), [])
        while idle:
            connection = idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return await self._open_connection(endpoint)

    async def _open_connection(
        self, endpoint: catalogue.Endpoint
    ) -> web_client.ClientConnection:
        try:
            return await web_client.open_connection(
                endpoint.host, endpoint.port, CONNECT_SECONDS
            )
        except errors.ConnectRefusedError:
            self._listener.handle_refused_connect(endpoint)
            raise

    def _return_to_idle(
        self,
        endpoint: catalogue.Endpoint,
        connection: web_client.ClientConnection,
    ) -> None:
        idle = self._idle.setdefault((endpoint.host, endpoint.port), [])
        if len(idle) < IDLE_LIMIT:
            idle.append(connection)

    async def close_idle(self, endpoint: catalogue.Endpoint) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in self._idle.pop((endpoint.host, endpoint.port), []):
            with contextlib.suppress(OSError):
                await connection.close()


def _expect(endpoint: catalogue.Endpoint) -> tuple[str, str]:
    """Returns the header upon which another endpoint runs nothing."""
    return "Samphirevale-Expect-Instance", endpoint.name


def _decode_start(status: int, data: bytes) -> int | None:
    """Returns the start that a report names; None if it names none.

    Raises:
        errors.ConnectError: it is empty or cannot be read.
    """
    if status != 200:
        return None
    if not data:
        raise errors.ConnectError("an empty report")
    try:
        value = web_client.read_json(data)
    except errors.ProtocolError as error:
        raise errors.ConnectError(f"no report: {error}") from error
    started = value.get("born") if isinstance(value, dict) else None
    return started if stored_values.is_integer(started) else None


def _build_headers(
    endpoint: catalogue.Endpoint, send: proxy_requests.SendParameters
) -> tuple[tuple[str, str], ...]:
    milliseconds = max(int(send.wait_seconds * 1000), 1)
    request_headers = [
        ("Samphirevale-Deadline-Ms", str(milliseconds)),
        _expect(endpoint),
    ]
    if send.account:
        request_headers.append(("Samphirevale-Tenant-Name", send.account))
    if send.last_event is not None:
        request_headers.append(("Last-Event-Id", str(send.last_event)))
    if send.results:
        request_headers.append(
            ("Samphirevale-Input-Count", ",".join(send.results))
        )
    return tuple(request_headers)


def _check_executed(
    answer: web_client.Answer, notice: proxies.EndpointNotice
) -> None:
    status = answer.status
    if status != notices.MISDIRECTED and (
        headers.NOT_EXECUTED not in answer.headers
    ):
        return
    raise errors.NotExecutedError(
        f"status {status}",
        lacks_results=status == RESULT_GONE,
        asks_pause=notice.pause_seconds > 0,
    )


def _encode_item(item: batching.Item, now: float) -> dict[str, object]:
    value: dict[str, object] = {
        "id": item.attempt,
        "phase": item.stage,
        "segment": item.index,
        "remaining_ms": max(int((item.deadline_at - now) * 1000), 1),
    }
    if item.inputs:
        value["inputs"] = list(item.inputs)
    else:
        value["key"] = item.key
    return value


def _decode_result(value: object) -> proxies.ItemResult:
    if isinstance(value, dict) and isinstance(value.get("handle"), str):
        return proxies.ItemResult(value["handle"], "")
    reason = value.get("reason", "error") if isinstance(value, dict) else ""
    return proxies.ItemResult("", str(reason) or "error")
