"""Tests of the admin port's handler with a fake operators' service."""

import contextlib
import io
import json
from typing import Any

from samphirevale import admin, errors, language, lifecycle, settings
from samphirevale.adapters import web
from samphirevale.ports import operators as ports
from tests import base, test_settings


class FakeOperators:
    """Answers from a fixed table and records the submitted orders."""

    def __init__(self):
        self.orders: list[ports.Order] = []
        self.outcome = "accepted"
        self.error = None

    async def answer(self, query: language.Show) -> ports.Table:
        if query.subject == "accounts":
            raise errors.StoreUnavailableError("outage")
        columns = language.list_columns(query)
        row = dict.fromkeys(columns) | {
            "name": "engine-1",
            "batches": ["b1", "b2"],
            "service_ms": 2.5,
        }
        other = dict.fromkeys(columns) | {"name": "engine-2"}
        rows = [
            tuple(item[column] for column in columns) for item in (row, other)
        ]
        return ports.Table(columns, rows)

    async def submit(self, order: ports.Order) -> ports.OrderResult:
        self.orders.append(order)
        if self.error is not None:
            raise self.error
        return ports.OrderResult(order.id, self.outcome, 7)


class AdminTest(base.TestCase):
    """The response and the authorization of each path."""

    def setUp(self):
        self.life = lifecycle.Lifecycle()
        self.operators = FakeOperators()
        self.settings = settings.load_entry_settings(
            test_settings.FLAGS, test_settings.SECRETS
        )
        self.handler = admin.build_handler(
            self.settings, self.life, self.operators
        )

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        token: str = test_settings.TOKEN,
    ) -> web.Response:
        headers = {"authorization": f"Bearer {token}"} if token else {}
        request = web.Request(method, path, {}, headers, body)
        return await self.handler(request)

    async def query(self, text: str, **fields: Any) -> tuple[int, Any]:
        body = json.dumps({"text": text, **fields}).encode()
        response = await self.send("POST", "/query", body)
        return response.status, json.loads(response.body)

    async def test_open_paths(self):
        for path in ("/metrics", "/healthz"):
            response = await self.send("GET", path, token="")
            self.assertEqual(200, response.status)
        self.assertEqual(404, (await self.send("GET", "/x")).status)
        self.assertEqual(405, (await self.send("GET", "/query")).status)

    async def test_readiness_changes_on_start_and_stop(self):
        response = await self.send("GET", "/readyz", token="")
        self.assertEqual(503, response.status)
        with contextlib.redirect_stdout(io.StringIO()) as out:
            self.life.report_ready()
            self.life.report_ready()
        self.assertEqual("ready\n", out.getvalue())
        response = await self.send("GET", "/readyz", token="")
        self.assertEqual(200, response.status)
        await self.life.request_stop("test")
        response = await self.send("GET", "/readyz", token="")
        self.assertEqual(503, response.status)

    async def test_wrong_token_is_rejected(self):
        for token in ("", "wrong", test_settings.SECRET, "é"):
            with self.subTest(token):
                response = await self.send("GET", "/dump", token=token)
                self.assertEqual(401, response.status)
        response = await self.send("GET", "/dump")
        self.assertEqual(200, response.status)
        self.assertNotIn(test_settings.TOKEN.encode(), response.body)

    async def test_sidecar_accepts_only_peer_secret(self):
        loaded = settings.load_sidecar_settings(
            test_settings.SIDECAR_FLAGS, test_settings.SECRETS
        )
        self.handler = admin.build_handler(loaded, self.life)
        response = await self.send("GET", "/dump")
        self.assertEqual(401, response.status)
        token = test_settings.SECRET
        response = await self.send("GET", "/dump", token=token)
        self.assertEqual(200, response.status)
        response = await self.send("POST", "/query", b"{}", token=token)
        self.assertEqual(404, response.status)

    async def test_table_is_filtered(self):
        for text, names in {
            "show endpoints": ["engine-1", "engine-2"],
            "show endpoints where batches = b2": ["engine-1"],
            "show endpoints where service_ms = 2.5": ["engine-1"],
            "show endpoints where name = engine-2 and batches = b1": [],
        }.items():
            with self.subTest(text):
                status, value = await self.query(text)
                self.assertEqual(200, status)
                self.assertEqual("name", value["columns"][0])
                self.assertEqual(names, [row[0] for row in value["rows"]])

    async def test_order(self):
        status, value = await self.query("drain engine-1", order_id="o-1")
        self.assertEqual(200, status)
        self.assertEqual("accepted", value["order"]["outcome"])
        order = ports.Order("o-1", "drain engine-1", language.Drain("engine-1"))
        self.assertEqual([order], self.operators.orders)

    async def test_refused_order_stops_later_statements(self):
        self.operators.outcome = "refused"
        status, value = await self.query(
            "show endpoints; drain a; drain b", order_id="o-1"
        )
        self.assertEqual(409, status)
        self.assertEqual(2, len(value["answers"]))
        self.assertEqual(["o-1.2"], [o.id for o in self.operators.orders])

    async def test_failed_order(self):
        finding = errors.Finding("batch", "a batch that was rolled out", "b")
        for error, status, outcome in (
            (errors.StoreUnavailableError("outage"), 503, "not_run"),
            (errors.StoreUnknownError("lost"), 504, "unknown"),
            (errors.InvalidInputError([finding]), 400, "invalid"),
        ):
            with self.subTest(outcome):
                self.operators.error = error
                got, value = await self.query("recall b", order_id="o-1")
                self.assertEqual(status, got)
                result = value.get("order", value)
                self.assertEqual(outcome, result["outcome"])

    async def test_findings(self):
        status, value = await self.query("drain; show x")
        self.assertEqual(400, status)
        self.assertEqual(
            ["column 6", "column 13"],
            [finding["place"] for finding in value["findings"]],
        )
        for order_id in (None, 5, "a b", "x" * 65):
            with self.subTest(order_id):
                status, value = await self.query("drain a", order_id=order_id)
                self.assertEqual(400, status)
                (finding,) = value["findings"]
                self.assertEqual("order_id", finding["place"])
        for body in (b"", b"[]", b'{"text": 1}', b"\xff", b"[" * 60000):
            response = await self.send("POST", "/query", body)
            self.assertEqual(400, response.status)
        self.assertEqual([], self.operators.orders)

    async def test_query_without_store_is_unavailable(self):
        status, value = await self.query("show accounts")
        self.assertEqual(503, status)
        self.assertEqual("outage", value["title"])
