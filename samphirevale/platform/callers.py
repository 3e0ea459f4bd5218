"""Callers' requests and their answers, between HTTP and our types."""

from collections.abc import Awaitable, Callable

from samphirevale import proxied
from samphirevale.adapters import web
from samphirevale.platform import headers
from samphirevale.ports import clock as clocks

# How long a caller waits that does not say so, in seconds.
DEFAULT_WAIT_SECONDS = 30.0


class CallerHandler:
    """A handler of adapters.web that proxies every request."""

    def __init__(
        self,
        answer: Callable[[proxied.ProxiedRequest], Awaitable[proxied.Answer]],
        clock: clocks.Clock,
    ):
        self._answer = answer
        self._clock = clock

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Answers one request."""
        decoded = decode_request(request, self._clock.now())
        if decoded is None:
            return web.Response(400)
        answer = await self._answer(decoded)
        attempt = ("Samphirevale-Attempt-Id", decoded.attempt)
        if isinstance(answer, proxied.Refusal):
            return _build_refusal(answer, attempt)
        if isinstance(answer, proxied.StreamedAnswer):
            return web.StreamedResponse(
                answer.status, answer.chunks, answer.headers
            )
        return web.Response(answer.status, answer.body, answer.headers)


def _build_refusal(
    refusal: proxied.Refusal, attempt: tuple[str, str]
) -> web.Response:
    given = [attempt]
    if refusal.retry_seconds is not None:
        given.append(("Retry-After", f"{refusal.retry_seconds:.2f}"))
    return web.Response(
        refusal.status, refusal.reason.encode() + b"\n", tuple(given)
    )


def decode_request(
    request: web.Request, now: float
) -> proxied.ProxiedRequest | None:
    """Returns the request in our types; None if it has no attempt id."""
    given = request.headers
    attempt = given.get(headers.ATTEMPT, "")
    if not attempt:
        return None
    return proxied.ProxiedRequest(
        attempt=attempt,
        method=request.method,
        target=request.target,
        path=request.target.partition("?")[0],
        host=given.get("host", ""),
        headers=tuple(
            (name, value)
            for name, value in request.raw_headers
            if _is_passed_on(name.decode("latin-1").lower())
        ),
        body=request.body,
        key=given.get(headers.KEY, ""),
        received_at=now,
        wait_seconds=_read_wait(given.get(headers.DEADLINE, "")),
        prompt=_read_prompt(given.get(headers.PROMPT_PARTS, "")),
        piece_counts=_read_counts(given.get(headers.PIECE_COUNTS, "")),
        piece_key=given.get(headers.PIECE_KEY, ""),
        last_event=_read_whole(given.get(headers.LAST_EVENT, "")),
    )


def _is_passed_on(name: str) -> bool:
    return name not in headers.HOP_BY_HOP and name not in headers.SYSTEM_SET


def _read_whole(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None


def _read_wait(text: str) -> float:
    milliseconds = _read_whole(text)
    if milliseconds is None:
        return DEFAULT_WAIT_SECONDS
    return milliseconds / 1000


def _read_counts(text: str) -> tuple[int, ...]:
    return tuple(_read_whole(part.strip()) or 0 for part in text.split(","))


def _read_prompt(text: str) -> tuple[proxied.PromptPart, ...]:
    """Returns the parts of `ID:TOKENS,...`; those of another form are none."""
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        count = _read_whole(tokens)
        if name and count is not None:
            parts.append(proxied.PromptPart(name, count))
    return tuple(parts)
