"""HTTP calls to the platform's engines, stage engines and services."""

import contextlib
import functools
import json
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeVar

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

# The number of connections on which an endpoint is asked for its start.
ASK_ATTEMPTS = 2

# Maximum number of idle connections kept to one stage engine.
IDLE_LIMIT = 4

# The largest answer to a call other than a request, in bytes.
CALL_BYTES_LIMIT = 1024 * 1024

# Status if a result named by the request no longer exists.
RESULT_GONE = 409

# The paths of the calls that share connections. Their answers differ in form.
RUN_TARGET = "/stage-run"
FREE_TARGET = "/stage-free"
REPORT_TARGET = "/report"

_Value = TypeVar("_Value")


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
    Where the start of the endpoint matters, it is asked for it beforehand, on
    that connection. If it names none, a request that begins is sent all the
    same.

    The answer to another call names no call, and what a faulty endpoint writes
    once more, at once or later, could be taken for it. So a connection carries
    each kind of call once at most, results first and a release last, and only
    if all calls before were answered in the form of their kind. The form of an
    answer then tells whose it is.
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
        on_connected: Callable[[int | None], None],
    ) -> PlatformAnswer:
        """Sends a request and returns when the answer's head has been read."""
        began_at = await curio.clock()
        connection, started = await self._open_for_request(endpoint, send)
        try:
            waited = await curio.clock() - began_at
            self._begin_call(endpoint)
            on_connected(started)
            answer = await connection.request(
                request.method,
                request.target,
                request.body,
                request.headers + _build_headers(endpoint, send, waited),
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

    async def _open_for_request(
        self,
        endpoint: catalogue.Endpoint,
        send: proxy_requests.SendParameters,
    ) -> tuple[web_client.ClientConnection, int | None]:
        """Opens a connection, on which an endpoint may have named its start.

        Returns:
            The connection and the start; None if it has named none there.

        Raises:
            errors.ConnectError: it has not named the listed start, which the
                request needs.
        """
        if send.ask_seconds is None:
            return await self._open_connection(endpoint), None
        try:
            connection, started = await self._open_asked(
                endpoint, send.ask_seconds
            )
        except errors.START_ERRORS as error:
            self._listener.handle_unnamed_start(endpoint, str(error))
            if send.start_required:
                raise
            return await self._open_connection(endpoint), None
        if send.start_required and started != endpoint.started:
            await connection.close()
            raise errors.NotAcceptingError(f"{endpoint.name} has started again")
        return connection, started

    async def _open_asked(
        self, endpoint: catalogue.Endpoint, seconds: float
    ) -> tuple[web_client.ClientConnection, int]:
        """Opens a connection on which an endpoint has named its start.

        The connection would end with the endpoint, so that the request that
        follows reaches the one that has answered. What the endpoint says on a
        connection that it closes behind its answer counts for no other one.

        Args:
            endpoint: the endpoint.
            seconds: the timeout of an answer.

        Raises:
            errors.NotAcceptingError: the endpoint may not be called.
            errors.ReportTimeoutError: it has not answered, or
                errors.UnconfirmedStartError: not named a start.
        """
        failure = errors.UnconfirmedStartError("closed behind its report")
        for _ in range(ASK_ATTEMPTS):
            connection = await self._open_connection(endpoint)
            try:
                started = await self._ask_start(connection, endpoint, seconds)
                if connection.is_reusable() and not connection.is_stale():
                    return connection, started
            except errors.UnconfirmedStartError as error:
                failure = error
            except BaseException:
                await connection.close()
                raise
            # Its refusal, written once more, could be taken for the request's.
            await connection.close()
        raise failure

    async def ask_start(
        self, endpoint: catalogue.Endpoint, seconds: float
    ) -> int:
        """Asks an endpoint for its start, on a connection of its own."""
        connection = await self._open_connection(endpoint)
        try:
            return await self._ask_start(connection, endpoint, seconds)
        finally:
            await connection.close()

    async def _ask_start(
        self,
        connection: web_client.ClientConnection,
        endpoint: catalogue.Endpoint,
        seconds: float,
    ) -> int:
        """Asks an endpoint for its start, and returns the one that it names.

        The question takes no part of what an endpoint bears, as that is counted
        in requests.

        Raises:
            errors.NotAcceptingError: the endpoint may not be called.
            errors.ReportTimeoutError: it has not answered in time.
            errors.UnconfirmedStartError: its answer is cut off, cannot be read
                or names no start.
        """
        self._check_allowed(endpoint)
        try:
            async with curio.timeout_after(seconds):
                answer = await connection.request(
                    "GET", REPORT_TARGET, b"", (_expect(endpoint),)
                )
                data = await answer.read_body(CALL_BYTES_LIMIT)
        except curio.TaskTimeout as error:
            raise errors.ReportTimeoutError(
                f"{endpoint.name}: no report in {seconds:.2f} s"
            ) from error
        except errors.TransportError as error:
            raise errors.UnconfirmedStartError(f"no report: {error}") from error
        if answer.status == notices.MISDIRECTED:
            self._listener.handle_other_start(endpoint, None)
            raise errors.UnconfirmedStartError("another endpoint has answered")
        started = _decode_start(data) if answer.status == 200 else None
        if started not in (None, endpoint.started):
            # Its notices are not those of the start that is listed.
            self._listener.handle_other_start(endpoint, started)
            return started
        await self._handle_notice(endpoint, answer)
        if started is None:
            raise errors.UnconfirmedStartError(
                f"no start in a report with status {answer.status}"
            )
        return started

    async def run_batch(
        self,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
        now: float,
    ) -> list[proxies.ItemResult]:
        """Runs several items in one call and returns their results."""
        body = {"items": [_encode_item(item, now) for item in items]}
        connection = await self._open_connection(endpoint)
        decode = functools.partial(_decode_results, count=len(items))
        return await self._call(endpoint, connection, RUN_TARGET, body, decode)

    async def release(
        self, endpoint: catalogue.Endpoint, results: Sequence[str]
    ) -> None:
        """Frees the memory that results occupy."""
        connection = await self._get_connection(endpoint, FREE_TARGET)
        value = {"handles": list(results)}
        await self._call(
            endpoint, connection, FREE_TARGET, value, _check_released
        )

    async def read_free_memory(self, endpoint: catalogue.Endpoint) -> int:
        """Returns the endpoint's free memory for results, in bytes."""
        connection = await self._get_connection(endpoint, REPORT_TARGET)
        return await self._call(
            endpoint, connection, REPORT_TARGET, None, _decode_free_memory
        )

    async def _call(
        self,
        endpoint: catalogue.Endpoint,
        connection: web_client.ClientConnection,
        target: str,
        value: object,
        decode: Callable[[object], _Value],
    ) -> _Value:
        """Posts a value as JSON, or sends a GET if it is None.

        Without an answer no kept connection is used any more, as all may have
        fallen silent.

        Returns:
            The decoded answer.

        Raises:
            errors.ProtocolError: the answer is not in the form of its kind.
        """
        kept = unanswered = False
        try:
            self._begin_call(endpoint)
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
            _check_executed(answer, notice)
            if answer.status != 200:
                raise errors.ProtocolError(f"status {answer.status}")
            decoded = decode(web_client.read_json(data))
            kept = target != FREE_TARGET and not notice.leaving
            kept = kept and connection.is_reusable()
            return decoded
        finally:
            if kept:
                await self._keep(endpoint, connection)
            else:
                await connection.close()
            if unanswered:
                await self.close_idle(endpoint)

    def _begin_call(self, endpoint: catalogue.Endpoint) -> None:
        """Records a call; raises an error if nothing may be sent.

        Called once the connection is open, which takes long enough for the
        endpoint to ask for a pause meanwhile.
        """
        self._check_allowed(endpoint)
        self._listener.record_call(endpoint)

    def _check_allowed(self, endpoint: catalogue.Endpoint) -> None:
        if not self._listener.may_call(endpoint):
            raise errors.NotAcceptingError(f"{endpoint.name} leaves or pauses")

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
        self, endpoint: catalogue.Endpoint, target: str
    ) -> web_client.ClientConnection:
        """Returns a connection that has not carried a call of this kind."""
        while True:
            idle = self._idle.get((endpoint.host, endpoint.port), [])
            unused = [
                connection
                for connection in idle
                if target not in connection.targets
            ]
            if not unused:
                return await self._open_connection(endpoint)
            connection = unused[-1]
            idle.remove(connection)
            if not connection.is_stale():
                return connection
            await connection.close()

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

    async def _keep(
        self,
        endpoint: catalogue.Endpoint,
        connection: web_client.ClientConnection,
    ) -> None:
        """Keeps a connection, and closes the oldest one of too many."""
        idle = self._idle.setdefault((endpoint.host, endpoint.port), [])
        idle.append(connection)
        if len(idle) > IDLE_LIMIT:
            await idle.pop(0).close()

    async def close_idle(self, endpoint: catalogue.Endpoint) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in self._idle.pop((endpoint.host, endpoint.port), []):
            with contextlib.suppress(OSError):
                await connection.close()


def _expect(endpoint: catalogue.Endpoint) -> tuple[str, str]:
    """Returns the header upon which another endpoint runs nothing."""
    return "Samphirevale-Expect-Instance", endpoint.name


def _decode_start(data: bytes) -> int | None:
    """Returns the start that a report names; None if it names none.

    Raises:
        errors.UnconfirmedStartError: it is empty or cannot be read.
    """
    if not data:
        raise errors.UnconfirmedStartError("an empty report")
    try:
        value = web_client.read_json(data)
    except errors.ProtocolError as error:
        raise errors.UnconfirmedStartError(f"no report: {error}") from error
    started = value.get("born") if isinstance(value, dict) else None
    if isinstance(started, float) and started.is_integer():
        return int(started)
    return started if stored_values.is_integer(started) else None


def _build_headers(
    endpoint: catalogue.Endpoint,
    send: proxy_requests.SendParameters,
    waited: float,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that the system sets.

    Args:
        endpoint: the endpoint that the request is meant for.
        send: the parameters of the send.
        waited: the part of its timeout that has passed, in seconds.
    """
    milliseconds = max(int((send.wait_seconds - waited) * 1000), 1)
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
    """Raises errors.NotExecutedError if the endpoint has not run the call."""
    status = answer.status
    # RULES: "says so (`Samphirevale-Not-Executed`, or status 421)"; whoever
    # answers 421 is another endpoint than the expected one, header or not.
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


def _decode_results(value: object, count: int) -> list[proxies.ItemResult]:
    results = value.get("items") if isinstance(value, dict) else None
    if not isinstance(results, list) or len(results) != count:
        raise errors.ProtocolError("not the items that were asked for")
    return [_decode_result(item) for item in results]


def _decode_free_memory(value: object) -> int:
    try:
        return int(float(value["free_mb"]) * manifest.MEGABYTE)
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        raise errors.ProtocolError("no free_mb in the report") from error


def _check_released(value: object) -> None:
    """Checks that an answer, whose body says nothing, is of no other call."""
    if isinstance(value, dict) and not value.keys().isdisjoint(
        ("items", "free_mb")
    ):
        raise errors.ProtocolError("not the answer to a release")


def _decode_result(value: object) -> proxies.ItemResult:
    if not isinstance(value, dict):
        return proxies.ItemResult("", "error")
    if stored_values.is_result(value.get("handle")):
        return proxies.ItemResult(value["handle"], "")
    reason = value.get("reason")
    if not stored_values.is_reason(reason):
        reason = "error"
    return proxies.ItemResult("", reason)
