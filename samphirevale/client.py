"""The command-line tool's client for the callers' port and the admin port."""

import contextlib
import json
import secrets
import urllib.parse
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import curio

from samphirevale import errors, token_buffers
from samphirevale.adapters import web_client

# The timeout of a call to the admin port, in seconds.
ADMIN_TIMEOUT_SECONDS = 10.0

# The time allowed for an answer beyond the request's deadline, in seconds.
DEADLINE_MARGIN_SECONDS = 5.0

# The timeout of a request without a deadline, in seconds.
DEFAULT_TIMEOUT_SECONDS = 60.0

# The maximum number of attempts to submit an order, and the delay between two
# attempts, in seconds.
ORDER_ATTEMPTS_LIMIT = 5
ORDER_RETRY_SECONDS = 0.5


class Reply(NamedTuple):
    """An HTTP response: its status and its JSON value."""

    status: int
    value: Any


class Request(NamedTuple):
    """A request to send.

    Attributes:
        pipeline: the pipeline's name.
        key: the idempotency key; empty for none.
        body: the JSON body.
    """

    pipeline: str
    key: str
    body: dict[str, Any]


async def send_request(
    url: str, token: str, request: Request, emit: Callable[[list[str]], None]
) -> Reply:
    """Sends a request and returns its complete answer or problem details.

    Args:
        url: the URL of the callers' port.
        token: the account's token.
        request: the request.
        emit: called with the tokens of a streamed answer as they arrive.

    Raises:
        token_buffers.BrokenStreamError: the answer is incomplete.
        errors.ConnectError: nothing was sent.
        errors.AnswerLostError: the request may have been accepted.
    """
    timeout_seconds = compute_timeout(request)
    try:
        async with curio.timeout_after(timeout_seconds):
            return await _exchange(url, token, request, emit)
    except curio.TaskTimeout as error:
        raise errors.AnswerLostError(
            f"no answer in {timeout_seconds:g} s"
        ) from error


def compute_timeout(request: Request) -> float:
    """Returns the timeout for a request, in seconds."""
    deadline_ms = request.body.get("deadline_ms")
    if not isinstance(deadline_ms, int):
        return DEFAULT_TIMEOUT_SECONDS
    return max(deadline_ms, 0) / 1000 + DEADLINE_MARGIN_SECONDS


async def _exchange(
    url: str, token: str, request: Request, emit: Callable[[list[str]], None]
) -> Reply:
    host, port = web_client.split_address(url)
    path = urllib.parse.quote(request.pipeline, safe="")
    headers = _build_headers(token)
    if request.key:
        headers += (("Idempotency-Key", request.key),)
    body = json.dumps(request.body).encode()
    async with web_client.connect(host, port) as connection:
        answer = await connection.request(
            "POST", f"/v1/pipelines/{path}/requests", body, headers
        )
        kind = answer.headers.get("content-type", "")
        if kind.startswith("text/event-stream"):
            return await _read_stream(answer, emit)
        value = web_client.read_json(await answer.read_body())
    if answer.status == 200:
        check_complete(value, read_tokens(value))
    return Reply(answer.status, value)


def read_tokens(value: Any) -> list[str]:
    """Returns the tokens of an answer that was not streamed; empty if none."""
    result = value.get("result")
    if not value.get("count") or not isinstance(result, dict):
        return []
    return result.get("tokens", [])


def check_complete(value: Any, tokens: list[str]) -> None:
    """Checks tokens against the answer's token count and digest.

    Raises:
        token_buffers.BrokenStreamError: the tokens do not match.
    """
    count, digest = value.get("count", 0), value.get("digest", "")
    if not count and not digest and not tokens:
        return
    buffer = token_buffers.TokenBuffer()
    buffer.add(0, tokens)
    buffer.check_complete(count, digest)


async def _read_stream(
    answer: web_client.Answer, emit: Callable[[list[str]], None]
) -> Reply:
    buffer = token_buffers.TokenBuffer()
    async with contextlib.aclosing(read_events(answer)) as events:
        async for name, value in events:
            if name == "chunk":
                emit(_add_chunk(buffer, value))
            elif name == "end":
                check_complete(value, buffer.tokens)
                return Reply(200, value)
            elif name == "error":
                return Reply(value.get("status", 500), value)
    raise errors.AnswerLostError("the stream ended before its last event")


def _add_chunk(buffer: token_buffers.TokenBuffer, value: Any) -> list[str]:
    if value["sequence"] != len(buffer.tokens):
        raise token_buffers.BrokenStreamError(
            f"a chunk from token {value['sequence']} on, "
            f"after {len(buffer.tokens)} tokens"
        )
    return buffer.add(value["sequence"], value["tokens"])


async def read_events(
    answer: web_client.Answer,
) -> AsyncIterator[tuple[str, Any]]:
    """Yields the name and the JSON data of each server-sent event."""
    name, data = "", ""
    # Closed explicitly: curio does not allow finalizing a suspended generator.
    async with contextlib.aclosing(answer.read_lines()) as lines:
        async for line in lines:
            field, _, text = line.decode().partition(":")
            text = text.strip()
            if field == "event":
                name = text
            elif field == "data":
                data += text
            elif not line.strip() and data:
                yield name, web_client.read_json(data.encode())
                name, data = "", ""


async def get_outcome(url: str, token: str, key: str) -> Reply:
    """Returns the state of a request that has an idempotency key."""
    path = urllib.parse.quote(key, safe="")
    return await _call(url, token, "GET", f"/v1/requests/{path}")


async def get_dump(url: str, token: str) -> Reply:
    """Returns a process's state dump."""
    return await _call(url, token, "GET", "/dump")


async def run_query(
    url: str, token: str, text: str, order_id: str = ""
) -> Reply:
    """Runs statements without retries. Orders need an order id."""
    value = {"text": text, "order_id": order_id}
    return await _call(url, token, "POST", "/query", value)


async def run_order(url: str, token: str, text: str, order_id: str) -> Reply:
    """Submits one order and retries it if its result is unknown.

    Each retry first looks the order up by its id. An order that is not found
    may still take effect, so it is sent again with the same id, with which it
    takes effect only once.
    """
    for attempt in range(ORDER_ATTEMPTS_LIMIT):
        if attempt:
            await curio.sleep(ORDER_RETRY_SECONDS)
        try:
            if attempt and (found := await _find_order(url, token, order_id)):
                return found
            reply = await run_query(url, token, text, order_id)
        except errors.TransportError as error:
            reply = _build_unknown_result(order_id, str(error))
        if reply.status < 500:
            return reply
    if "order" not in reply.value:
        return _build_unknown_result(order_id, reply.value.get("title", ""))
    return reply


async def _find_order(url: str, token: str, order_id: str) -> Reply | None:
    reply = await run_query(url, token, f'show orders where id = "{order_id}"')
    if reply.status != 200 or not reply.value["rows"]:
        return None
    row = dict(zip(reply.value["columns"], reply.value["rows"][0], strict=True))
    value = {
        "id": order_id,
        "outcome": "accepted",
        "revision": row["revision"],
        "detail": "read back",
    }
    return Reply(200, {"order": value})


def _build_unknown_result(order_id: str, detail: str) -> Reply:
    value = {"id": order_id, "outcome": "unknown", "revision": 0}
    return Reply(504, {"order": value | {"detail": detail}})


def create_order_id() -> str:
    """Returns a new unique order id."""
    return secrets.token_hex(8)


def _build_headers(token: str) -> tuple[tuple[str, str], ...]:
    return (
        ("Authorization", f"Bearer {token}"),
        ("Content-Type", "application/json"),
    )


async def _call(
    url: str, token: str, method: str, target: str, value: Any = None
) -> Reply:
    status, answer, _ = await web_client.call_json(
        url, method, target, value, _build_headers(token), ADMIN_TIMEOUT_SECONDS
    )
    return Reply(status, answer)
