"""The admin port of entries and sidecars.

It serves metrics, health checks, the state dump and operators' statements.
`/metrics`, `/healthz` and `/readyz` need no authentication. All other paths
need a bearer token: the operators' token on an entry, the peer secret on a
sidecar.
"""

import hmac
import json
import re
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from samphirevale import (
    dump,
    errors,
    language,
    lifecycle,
    metrics,
    settings,
    tables,
)
from samphirevale.adapters import web, web_server
from samphirevale.ports import operators as ports

# The pattern of a valid order id.
ORDER_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

# The limits of the admin port's server.
LIMITS = web.Limits(body_bytes=64 * 1024, connections=100)

METRICS_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
PROBLEM_TYPE = ("Content-Type", "application/problem+json")


class Admin(NamedTuple):
    """The objects that the admin port's handlers use.

    Attributes:
        settings: the process's settings.
        life: the role's lifecycle.
        operators: runs operators' statements; None on a sidecar.
    """

    settings: settings.Settings
    life: lifecycle.Lifecycle
    operators: ports.Operators | None


RouteHandler = Callable[[Admin, web.Request], Awaitable[web.Response]]


class Route(NamedTuple):
    """The handler of one path.

    Attributes:
        method: the only HTTP method that is allowed.
        is_open: whether no token is needed.
        answer: builds the response.
    """

    method: str
    is_open: bool
    answer: RouteHandler


_routes: dict[str, Route] = {}


def _route(
    method: str, path: str, *, is_open: bool = False
) -> Callable[[RouteHandler], RouteHandler]:
    """Registers a function as the handler of a path."""

    def add(answer: RouteHandler) -> RouteHandler:
        _routes[path] = Route(method, is_open, answer)
        return answer

    return add


def build_handler(
    process_settings: settings.Settings,
    life: lifecycle.Lifecycle,
    operators: ports.Operators | None = None,
) -> web.Handler:
    """Returns the handler of the admin port, for adapters.web_server.serve."""
    admin = Admin(process_settings, life, operators)

    async def handle(request: web.Request) -> web.Response:
        route = _routes.get(request.path)
        if route is None:
            return _build_problem(404, "no such path")
        if request.method != route.method:
            allow = ("Allow", route.method)
            return _build_problem(405, f"{route.method} only", (), allow)
        if not route.is_open and not _is_authorized(admin, request):
            challenge = ("WWW-Authenticate", "Bearer")
            return _build_problem(401, "a bearer token", (), challenge)
        return await route.answer(admin, request)

    return handle


async def serve(
    process_settings: settings.Settings,
    life: lifecycle.Lifecycle,
    operators: ports.Operators | None = None,
) -> None:
    """Serves the admin port until cancelled."""
    common = process_settings.common
    handler = build_handler(process_settings, life, operators)
    await web_server.serve(handler, common.host, common.admin_port, LIMITS)


def _is_authorized(admin: Admin, request: web.Request) -> bool:
    if isinstance(admin.settings, settings.EntrySettings):
        expected = admin.settings.operator_token
    else:
        expected = admin.settings.common.peer_secret
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    # compare_digest takes constant time. It accepts only ASCII strings, so the
    # tokens are compared as bytes.
    is_same = hmac.compare_digest(token.encode(), expected.encode())
    return scheme.lower() == "bearer" and is_same


@_route("GET", "/metrics", is_open=True)
async def _answer_metrics(admin: Admin, request: web.Request) -> web.Response:
    return web.Response(200, metrics.render(), (METRICS_TYPE,))


@_route("GET", "/healthz", is_open=True)
async def _answer_health(admin: Admin, request: web.Request) -> web.Response:
    return web.build_json(200, {"healthy": True})


@_route("GET", "/readyz", is_open=True)
async def _answer_ready(admin: Admin, request: web.Request) -> web.Response:
    ready = admin.life.is_ready()
    return web.build_json(200 if ready else 503, {"ready": ready})


@_route("GET", "/dump")
async def _answer_dump(admin: Admin, request: web.Request) -> web.Response:
    built = dump.build_dump(admin.life.sections, admin.settings)
    return web.build_json(200, built)


@_route("POST", "/query")
async def _answer_query(admin: Admin, request: web.Request) -> web.Response:
    """Runs statements in order and stops at the first that fails.

    The response to a single statement is its own value; the response to
    several is `{"answers": [...]}`. The status is that of the last statement
    that was run.
    """
    if admin.operators is None:
        return _build_problem(404, "statements are answered by entries")
    try:
        orders = _read_statements(request.body)
    except errors.InvalidInputError as error:
        return _build_problem(400, "wrong statements", error.findings)
    answers: list[dict[str, Any]] = []
    status = 200
    for order in orders:
        status, answer = await _run_statement(admin.operators, order)
        answers.append(answer)
        if status != 200:
            break
    value = answers[0] if len(orders) == 1 else {"answers": answers}
    return web.build_json(status, value)


def _read_statements(body: bytes) -> list[ports.Order]:
    """Parses the statements to orders. Those with an empty id are queries."""
    value = _read_object(body)
    findings = []
    statements = []
    try:
        statements = language.parse(value.get("text", ""))
    except errors.InvalidInputError as error:
        findings.extend(error.findings)
    order_id = value.get("order_id") or ""
    if any(statement.is_order() for statement in statements):
        findings.extend(_check_order_id(order_id))
    if findings:
        raise errors.InvalidInputError(findings)
    return [
        ports.Order(
            _build_order_id(order_id, number, statements),
            statement.text,
            statement.action,
        )
        for number, statement in enumerate(statements, start=1)
    ]


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        finding = errors.Finding("body", "JSON", str(error))
        raise errors.InvalidInputError([finding]) from error
    if not isinstance(value, dict) or not isinstance(value.get("text"), str):
        finding = errors.Finding("body", 'an object with a text in "text"')
        raise errors.InvalidInputError([finding])
    return value


def _check_order_id(order_id: Any) -> list[errors.Finding]:
    if isinstance(order_id, str) and ORDER_ID.fullmatch(order_id):
        return []
    expected = f"a text like {ORDER_ID.pattern}, as there is an order"
    return [errors.Finding("order_id", expected, str(order_id)[:80])]


def _build_order_id(
    order_id: str, number: int, statements: list[language.Statement]
) -> str:
    """Returns a statement's order id: numbered if there are several."""
    if not statements[number - 1].is_order():
        return ""
    return order_id if len(statements) == 1 else f"{order_id}.{number}"


async def _run_statement(
    operators: ports.Operators, order: ports.Order
) -> tuple[int, dict[str, Any]]:
    """Runs one statement; returns the HTTP status and the answer's value."""
    try:
        if order.id:
            return await _run_order(operators, order)
        table = await operators.answer(order.action)
    except errors.InvalidInputError as error:
        return 400, _describe_problem(400, "wrong statement", error.findings)
    except errors.SamphirevaleError as error:
        return 503, _describe_problem(503, str(error))
    rows = select_rows(table, order.action.filters)
    return 200, {"columns": list(table.columns), "rows": rows}


async def _run_order(
    operators: ports.Operators, order: ports.Order
) -> tuple[int, dict[str, Any]]:
    try:
        result = await operators.submit(order)
    except errors.StoreUnavailableError as error:
        result = ports.OrderResult(order.id, "not_run", 0, str(error))
    except errors.StoreUnknownError as error:
        result = ports.OrderResult(order.id, "unknown", 0, str(error))
    status = ports.ORDER_STATUSES[result.outcome]
    return status, {"order": result._asdict()}


def select_rows(
    table: ports.Table, filters: tuple[language.Filter, ...]
) -> list[list[Any]]:
    """Returns the rows that match all filters."""
    wanted = [(table.columns.index(item.field), item.value) for item in filters]
    return [
        list(row)
        for row in table.rows
        if all(_matches(row[index], value) for index, value in wanted)
    ]


def _matches(cell: Any, value: str) -> bool:
    if isinstance(cell, list | tuple):
        return any(_matches(item, value) for item in cell)
    return tables.format_cell(cell) == value


def _build_problem(
    status: int,
    title: str,
    findings: Sequence[errors.Finding] = (),
    *headers: tuple[str, str],
) -> web.Response:
    value = _describe_problem(status, title, findings)
    body = json.dumps(value).encode()
    return web.Response(status, body, (PROBLEM_TYPE, *headers))


def _describe_problem(
    status: int, title: str, findings: Sequence[errors.Finding] = ()
) -> dict[str, Any]:
    """Returns problem details (RFC 9457)."""
    value: dict[str, Any] = {"status": status, "title": title}
    if findings:
        value["outcome"] = "invalid"
        value["findings"] = [finding._asdict() for finding in findings]
    return value
