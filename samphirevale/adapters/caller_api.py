"""The HTTP API for callers."""

import json
import math
import re
from collections.abc import AsyncIterator
from typing import Any

import curio

from samphirevale import callers, errors
from samphirevale.adapters import web
from samphirevale.ports import requests

REQUESTS_PATH = re.compile(r"/v1/pipelines/([^/]+)/requests")
OUTCOME_PATH = re.compile(r"/v1/requests/([^/]+)")

JSON_TYPE = ("Content-Type", "application/json")
PROBLEM_TYPE = ("Content-Type", "application/problem+json")
EVENTS_TYPE = ("Content-Type", "text/event-stream")


class CallerApi:
    """Serves the HTTP requests on an entry's caller port."""

    def __init__(self, request_service: requests.RequestService):
        self._request_service = request_service

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Answers one HTTP request."""
        if request.path == "/healthz":
            return web.build_json(200, {"healthy": True})
        if request.path == "/readyz":
            return self._answer_readiness()
        if match := REQUESTS_PATH.fullmatch(request.path):
            if request.method != "POST":
                return _build_method_not_allowed("POST")
            return await self._handle_request(request, match.group(1))
        if match := OUTCOME_PATH.fullmatch(request.path):
            if request.method != "GET":
                return _build_method_not_allowed("GET")
            return await self._answer_outcome(request, match.group(1))
        return _build_invalid(404, "path", "a path of this interface", "")

    def _answer_readiness(self) -> web.Response:
        refusal = self._request_service.find_early_refusal()
        if refusal is None:
            return web.build_json(200, {"ready": True})
        return web.build_json(503, {"ready": False, "reason": refusal.reason})

    async def _handle_request(
        self, request: web.Request, pipeline: str
    ) -> web.Response | web.StreamedResponse:
        request_id = self._request_service.create_request_id()
        refusal = self._request_service.find_early_refusal()
        if refusal is not None:
            return build_problem(request_id, refusal)
        held = self._request_service.read_configuration()
        account = self._request_service.find_account(request.headers)
        if account is None:
            return _build_unauthorized(request_id)
        try:
            checked = callers.read_request(
                request, request_id, account, pipeline, held
            )
        except errors.InvalidInputError as error:
            unknown = pipeline not in held.value["pipelines"]
            return _build_findings(
                request_id, 404 if unknown else 400, error.findings
            )
        if checked.stream:
            return await self._answer_stream(checked)
        answer = await self._request_service.execute(checked, None)
        return build_answer(checked.id, answer)

    async def _answer_stream(
        self, request: callers.CallerRequest
    ) -> web.Response | web.StreamedResponse:
        """Answers with server-sent events.

        A request refused before its first event is answered with a problem
        response instead.
        """
        events = curio.Queue()
        task = await curio.spawn(self._execute_and_queue, request, events)
        first = await events.get()
        if isinstance(first, callers.Refusal):
            await task.join()
            return build_problem(request.id, first)
        body = _generate_events(request.id, first, events, task)
        return web.StreamedResponse(200, body, (EVENTS_TYPE,))

    async def _execute_and_queue(
        self, request: callers.CallerRequest, events: curio.Queue
    ) -> None:
        async def emit(sequence: int, tokens: list[str]) -> None:
            await events.put({"sequence": sequence, "tokens": tokens})

        await events.put(await self._request_service.execute(request, emit))

    async def _answer_outcome(
        self, request: web.Request, key: str
    ) -> web.Response:
        refusal = self._request_service.find_early_refusal()
        if refusal is not None:
            return build_problem("", refusal)
        account = self._request_service.find_account(request.headers)
        if account is None:
            return _build_unauthorized("")
        found = await self._request_service.find_outcome(account, key)
        if found is None:
            return _build_invalid(404, "key", "the key of a request", key)
        status, value = found
        return web.build_json(status, value)


async def _generate_events(
    request_id: str, first: Any, events: curio.Queue, task: curio.Task
) -> AsyncIterator[bytes]:
    """Yields server-sent events.

    The execution is cancelled when the caller disconnects.
    """
    try:
        event = first
        while isinstance(event, dict):
            yield _format_event("chunk", event)
            event = await events.get()
        if isinstance(event, callers.CompleteAnswer):
            value = callers.describe_answer(request_id, event)
            yield _format_event("end", value)
        else:
            value = callers.describe_refusal(request_id, event)
            yield _format_event("error", value)
    finally:
        await task.cancel()


def _format_event(name: str, value: Any) -> bytes:
    return f"event: {name}\ndata: {json.dumps(value)}\n\n".encode()


def build_answer(request_id: str, answer: callers.Answer) -> web.Response:
    """Returns the response for a final answer."""
    if isinstance(answer, callers.Refusal):
        return build_problem(request_id, answer)
    return web.build_json(200, callers.describe_answer(request_id, answer))


def build_problem(request_id: str, refusal: callers.Refusal) -> web.Response:
    """Returns problem details (RFC 9457), with a Retry-After if known."""
    value = callers.describe_refusal(request_id, refusal)
    headers = [PROBLEM_TYPE]
    if refusal.retry_after_seconds:
        # The Retry-After header allows only whole seconds.
        seconds = math.ceil(refusal.retry_after_seconds)
        headers.append(("Retry-After", str(seconds)))
    body = json.dumps(value).encode()
    return web.Response(refusal.status, body, tuple(headers))


def _build_findings(
    request_id: str, status: int, findings: list[errors.Finding]
) -> web.Response:
    refusal = callers.Refusal(
        "invalid",
        status,
        "invalid",
        f"{len(findings)} findings",
        findings=tuple(findings),
    )
    return build_problem(request_id, refusal)


def _build_invalid(
    status: int, place: str, expected: str, got: str
) -> web.Response:
    return _build_findings("", status, [errors.Finding(place, expected, got)])


def _build_unauthorized(request_id: str) -> web.Response:
    finding = errors.Finding(
        "header Authorization", "the bearer token of an account"
    )
    response = _build_findings(request_id, 401, [finding])
    challenge = ("WWW-Authenticate", "Bearer")
    return response._replace(headers=(*response.headers, challenge))


def _build_method_not_allowed(allowed: str) -> web.Response:
    response = _build_invalid(405, "method", allowed, "")
    return response._replace(headers=(*response.headers, ("Allow", allowed)))
