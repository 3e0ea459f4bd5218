"""HTTP clients for the kinds of endpoint.

Each call opens a new connection. A kept one might just be closed by the
endpoint, so that the outcome of an attempt is unknown, and what a faulty
endpoint writes once more could be taken for the answer to the next call, as an
answer names none.
"""

import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio

from samphirevale import errors, messages, registry
from samphirevale.adapters import web_client
from samphirevale.ports import endpoints

# Timeout of a health probe or a report, in seconds.
REPORT_SECONDS = 1.0

# Timeout of a cancel request to an engine, in seconds.
CANCEL_SECONDS = 1.0

# Maximum size of a result, in bytes. A result has to fit into a frame.
RESULT_BYTES_LIMIT = messages.FRAME_BYTES_LIMIT // 2

_kinds: registry.Registry[type] = registry.Registry("kind of endpoint")
register = _kinds.register


def build_endpoint(
    kind: str, url: str, order_seconds: float
) -> endpoints.Endpoint:
    """Returns the adapter for an endpoint of `kind` at `url`."""
    return _kinds.get(kind)(url, order_seconds)


class _HttpEndpoint:
    """Base class of all kinds: connections, probes and failure phases."""

    streams = False
    takes_orders = False
    target = ""

    # The phase for each status by which the endpoint states that the call
    # did not run.
    not_run_statuses = {503: "refused"}

    def __init__(self, url: str, order_seconds: float):
        self._url = url
        self._order_seconds = order_seconds
        # The connection of the last probe, if it can carry another request, and
        # the incarnation that the endpoint has told on it.
        self._probed: web_client.ClientConnection | None = None
        self._probed_incarnation = ""

    async def run(
        self,
        call: endpoints.Call,
        on_connected: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncIterator[
        endpoints.Tokens | endpoints.Completed | endpoints.Failed
    ]:
        """Runs one attempt.

        Yields tokens, if the endpoint streams, and then one Completed or
        Failed.
        """
        try:
            connection = await self._open_connection()
        except errors.ConnectError as error:
            yield endpoints.Failed("nothing_sent", str(error))
            return
        try:
            if on_connected is not None:
                await on_connected()
                if connection.is_stale():
                    yield endpoints.Failed("nothing_sent", "it has ended")
                    return
            answer = await connection.request(
                "POST", self.target, _encode(self._build_body(call))
            )
            if answer.status != 200:
                yield await self._read_failure(answer)
            else:
                async with contextlib.aclosing(
                    self._read_answer(answer)
                ) as items:
                    async for item in items:
                        yield item
        except (errors.AnswerLostError, errors.ProtocolError) as error:
            yield endpoints.Failed("lost", str(error))
        finally:
            await connection.close()

    async def cancel(self, attempt: str) -> None:
        """Does nothing, as only engines can cancel an attempt."""

    async def read_health(self) -> endpoints.Health:
        """Probes the endpoint on a new connection.

        The connection is kept open until the next probe.
        """
        connection = await self._open_connection()
        try:
            status, value = await self._request_report(connection, "/health")
        except BaseException:
            await connection.close()
            raise
        incarnation = ""
        if isinstance(value, dict):
            incarnation = str(value.get("incarnation", ""))
        before, self._probed = self._probed, connection
        self._probed_incarnation = incarnation
        if not connection.is_reusable():
            self._probed = None
            await connection.close()
        if before is not None:
            await before.close()
        return endpoints.Health(status == 200, incarnation)

    def find_connected_incarnation(self) -> str | None:
        """Returns what the last probe has told, if its connection lasts."""
        if self._probed is None or self._probed.is_stale():
            return None
        return self._probed_incarnation

    async def read_load(self) -> endpoints.LoadReport | None:
        """Returns the endpoint's load, or None if it does not report it."""
        status, value = await self._read_report("/load")
        if status != 200:
            return None
        return _parse(_build_load_report, value)

    async def read_cache_events(self, after: int) -> list[endpoints.CacheEvent]:
        """Returns an empty list, as only engines cache prefixes."""
        return []

    async def read_state(self) -> endpoints.EndpointState:
        """Returns an empty state, as only engines load batches."""
        return endpoints.EndpointState(frozenset(), "", 0)

    async def send_order(self, order: endpoints.Order) -> None:
        """Raises NotImplementedError, as only engines accept orders."""
        raise NotImplementedError

    def _build_body(self, call: endpoints.Call) -> dict:
        return {
            "request": call.request,
            "attempt": call.attempt,
            "input": call.input,
            "prior": call.prior,
        }

    async def _read_answer(
        self, answer: web_client.Answer
    ) -> AsyncIterator[Any]:
        value = web_client.read_json(await answer.read_body(RESULT_BYTES_LIMIT))
        yield _parse(_build_completed, value)

    async def _read_failure(
        self, answer: web_client.Answer
    ) -> endpoints.Failed:
        # The status alone determines the phase, so a body that cannot be read
        # is ignored.
        phase = self.not_run_statuses.get(answer.status, "failed")
        retry_after_ms = int(_read_retry_after(answer.headers) * 1000)
        detail = f"status {answer.status}"
        with contextlib.suppress(errors.TransportError):
            body = await answer.read_body()
            detail += f": {body[:200].decode('utf-8', 'replace')}"
        return endpoints.Failed(phase, detail, retry_after_ms)

    async def _open_connection(self) -> web_client.ClientConnection:
        return await web_client.open_connection(
            *web_client.split_address(self._url)
        )

    async def _read_report(self, target: str) -> tuple[int, Any]:
        """Returns the status and the value of a report."""
        connection = await self._open_connection()
        try:
            return await self._request_report(connection, target)
        finally:
            await connection.close()

    async def _request_report(
        self, connection: web_client.ClientConnection, target: str
    ) -> tuple[int, Any]:
        try:
            async with curio.timeout_after(REPORT_SECONDS):
                answer = await connection.request("GET", target)
                data = await answer.read_body(RESULT_BYTES_LIMIT)
        except curio.TaskTimeout as error:
            raise errors.AnswerLostError(
                f"no answer in {REPORT_SECONDS} s"
            ) from error
        return answer.status, web_client.read_json(data)


@register("stage")
class StageEndpoint(_HttpEndpoint):
    """An endpoint for one stage, such as an encoder, retriever or reranker."""

    target = "/run"


@register("service")
class ServiceEndpoint(_HttpEndpoint):
    """An HTTP service outside the pipelines' own models."""

    target = "/call"

    def _build_body(self, call: endpoints.Call) -> dict:
        return {**super()._build_body(call), "key": call.key}


@register("engine")
class EngineEndpoint(_HttpEndpoint):
    """A model engine that streams tokens and loads batches on order."""

    streams = True
    takes_orders = True
    target = "/generate"
    not_run_statuses = {503: "refused", 409: "not_loaded"}

    async def cancel(self, attempt: str) -> None:
        """Cancels an attempt at the engine.

        Transport errors are ignored, as an unreachable engine no longer runs
        the attempt.
        """
        with contextlib.suppress(errors.TransportError):
            await web_client.call_json(
                self._url,
                "POST",
                "/cancel",
                {"attempt": attempt},
                timeout_seconds=CANCEL_SECONDS,
            )

    async def read_cache_events(self, after: int) -> list[endpoints.CacheEvent]:
        """Returns the events numbered above `after`."""
        status, value = await self._read_report(f"/cache-events?after={after}")
        if status != 200:
            return []
        return _parse(_build_cache_events, value)

    async def read_state(self) -> endpoints.EndpointState:
        """Returns the batches, the role and the fencing token of the engine."""
        status, value = await self._read_report("/state")
        if status != 200:
            raise errors.ProtocolError(f"/state answered {status}")
        return _parse(_build_state, value)

    async def send_order(self, order: endpoints.Order) -> None:
        """Sends an order and waits until the engine has executed it.

        Raises:
            errors.FencedError: the engine has accepted a higher fencing token.
            errors.EndpointBusyError: the engine refused the order for now.
            errors.ProtocolError: the engine returned another error status.
        """
        status, value, headers = await web_client.call_json(
            self._url,
            "POST",
            "/orders",
            order._asdict(),
            timeout_seconds=self._order_seconds,
        )
        if status == 409:
            raise errors.FencedError(f"{order.order}: {value}")
        if status in (429, 503):
            raise errors.EndpointBusyError(
                f"{order.order}: {value}", _read_retry_after(headers)
            )
        if status != 200:
            raise errors.ProtocolError(f"/orders answered {status}: {value}")

    def _build_body(self, call: endpoints.Call) -> dict:
        return {
            "request": call.request,
            "attempt": call.attempt,
            "prompt": endpoints.build_prompt(call.input),
            "prior": call.prior,
            "batch": call.batch,
            "offset": call.offset,
            "priority": call.priority,
        }

    async def _read_answer(
        self, answer: web_client.Answer
    ) -> AsyncIterator[Any]:
        ending = None
        # Only the end of the body shows that the answer is whole.
        async with contextlib.aclosing(answer.read_parts()) as parts:
            partial_line = b""
            async for part in parts:
                *lines, partial_line = (partial_line + part).split(b"\n")
                if len(partial_line) > RESULT_BYTES_LIMIT:
                    raise errors.ProtocolError("a line over the limit")
                for item in _parse_lines(lines):
                    if isinstance(item, endpoints.Tokens):
                        yield item
                    else:
                        ending = item
        if ending is None:
            raise errors.AnswerLostError("the stream ended early")
        yield ending


def merge_tokens(items: list[Any]) -> list[Any]:
    """Merges consecutive token items into one, to be sent as one chunk."""
    merged: list[Any] = []
    for item in items:
        last = merged[-1] if merged else None
        if (
            isinstance(item, endpoints.Tokens)
            and isinstance(last, endpoints.Tokens)
            and item.sequence == last.sequence + len(last.tokens)
        ):
            merged[-1] = last._replace(tokens=last.tokens + item.tokens)
        else:
            merged.append(item)
    return merged


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def _read_retry_after(headers: dict[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0


def _parse(build: Callable[[Any], Any], value: Any) -> Any:
    """Builds a typed value from an endpoint's JSON.

    Raises:
        errors.ProtocolError: the JSON lacks a field or has a wrong type.
    """
    try:
        return build(value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.ProtocolError(
            f"an answer of another form: {str(value)[:200]}"
        ) from error


def _build_completed(value: Any) -> endpoints.Completed:
    return endpoints.Completed(
        payload=value["result"],
        count=0,
        digest="",
        busy_ms=float(value.get("busy_ms", 0.0)),
    )


def _parse_lines(lines: list[bytes]) -> list[Any]:
    items = [
        _parse(_build_stream_item, web_client.read_json(line))
        for line in lines
        if line
    ]
    return merge_tokens(items)


def _build_stream_item(
    value: Any,
) -> endpoints.Tokens | endpoints.Completed | endpoints.Failed:
    if value.get("cancelled"):
        return endpoints.Failed("failed", "cancelled by the engine")
    if not value.get("done"):
        return endpoints.Tokens(
            int(value["sequence"]), [str(token) for token in value["tokens"]]
        )
    return endpoints.Completed(
        payload=None,
        count=int(value["count"]),
        digest=str(value["digest"]),
        busy_ms=float(value.get("busy_ms", 0.0)),
    )


def _build_load_report(value: Any) -> endpoints.LoadReport:
    return endpoints.LoadReport(
        running=int(value["running"]),
        waiting=int(value["waiting"]),
        slots=int(value.get("slots", 0)),
        age_ms=float(value.get("age_ms", 0.0)),
    )


def _build_cache_events(value: Any) -> list[endpoints.CacheEvent]:
    return [
        endpoints.CacheEvent(
            int(event["number"]), str(event["prefix"]), bool(event["cached"])
        )
        for event in value["events"]
    ]


def _build_state(value: Any) -> endpoints.EndpointState:
    return endpoints.EndpointState(
        batches=frozenset(str(batch) for batch in value["batches"]),
        role=str(value.get("role", "")),
        fencing=int(value.get("fencing", 0)),
    )
