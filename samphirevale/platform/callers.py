"""Translates callers' HTTP requests and their answers."""

import math
from collections.abc import Awaitable, Callable

from samphirevale import proxy_requests
from samphirevale.adapters import web
from samphirevale.platform import headers
from samphirevale.ports import clock as clocks

# Time to the deadline of a request without a deadline header, in seconds.
DEFAULT_DEADLINE_SECONDS = 30.0

# The largest number in a header. A larger one means the same: too much.
COUNT_LIMIT = 10**12


class CallerHandler:
    """An HTTP request handler that proxies every request."""

    def __init__(
        self,
        answer: Callable[
            [proxy_requests.ProxiedRequest], Awaitable[proxy_requests.Answer]
        ],
        clock: clocks.Clock,
    ):
        self._answer = answer
        self._clock = clock

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Answers one request; the status is 400 without an attempt id."""
        decoded = decode_request(request, self._clock.now())
        if decoded is None:
            return web.Response(400)
        answer = await self._answer(decoded)
        attempt = ("Samphirevale-Attempt-Id", decoded.attempt)
        if isinstance(answer, proxy_requests.Refusal):
            return build_refusal(answer, attempt)
        if isinstance(answer, proxy_requests.StreamedAnswer):
            return web.StreamedResponse(
                answer.status, answer.chunks, answer.headers
            )
        return web.Response(answer.status, answer.body, answer.headers)


def build_refusal(
    refusal: proxy_requests.Refusal, attempt: tuple[str, str]
) -> web.Response:
    """Returns the answer to a refused caller.

    Args:
        refusal: the refusal.
        attempt: the header with the id of the caller's attempt.
    """
    response_headers = [attempt]
    if refusal.retry_seconds is not None:
        # Rounded up, as callers must not come back too early.
        seconds = math.ceil(refusal.retry_seconds * 100) / 100
        response_headers.append(("Retry-After", f"{seconds:.2f}"))
    return web.Response(
        refusal.status, refusal.reason.encode() + b"\n", tuple(response_headers)
    )


def decode_request(
    request: web.Request, now: float
) -> proxy_requests.ProxiedRequest | None:
    """Returns the decoded request, or None if it has no attempt id."""
    request_headers = request.headers
    attempt = request_headers.get(headers.ATTEMPT, "")
    if not attempt:
        return None
    return proxy_requests.ProxiedRequest(
        attempt=attempt,
        method=request.method,
        target=request.target,
        path=request.target.partition("?")[0],
        host=request_headers.get("host", ""),
        headers=tuple(
            (name, value)
            for name, value in request.raw_headers
            if _is_forwarded(name.decode("latin-1").lower())
        ),
        body=request.body,
        key=request_headers.get(headers.KEY, ""),
        received_at=now,
        wait_seconds=_parse_wait(request_headers.get(headers.DEADLINE, "")),
        prompt=_parse_prompt(request_headers.get(headers.PROMPT_PARTS, "")),
        item_counts=_parse_counts(request_headers.get(headers.ITEM_COUNTS, "")),
        item_key=request_headers.get(headers.ITEM_KEY, ""),
        last_event=_parse_count(request_headers.get(headers.LAST_EVENT, "")),
        first_attempt=request_headers.get(headers.RESUMES, ""),
    )


def _is_forwarded(name: str) -> bool:
    return name not in headers.HOP_BY_HOP and name not in headers.SYSTEM_SET


def _parse_count(text: str) -> int | None:
    """Returns the number in digits, or COUNT_LIMIT if it is larger."""
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    if len(digits) > len(str(COUNT_LIMIT)):
        return COUNT_LIMIT
    return min(int(digits), COUNT_LIMIT)


def _parse_wait(text: str) -> float:
    milliseconds = _parse_count(text)
    if milliseconds is None:
        return DEFAULT_DEADLINE_SECONDS
    return milliseconds / 1000


def _parse_counts(text: str) -> tuple[int, ...]:
    return tuple(_parse_count(part.strip()) or 0 for part in text.split(","))


def _parse_prompt(text: str) -> tuple[proxy_requests.PromptPart, ...]:
    """Parses `ID:TOKENS,...` and skips malformed parts."""
    parts = []
    for part in text.split(","):
        name, _, tokens = part.strip().partition(":")
        count = _parse_count(tokens)
        if name and count is not None:
            parts.append(proxy_requests.PromptPart(name, count))
    return tuple(parts)
