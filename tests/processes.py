"""The base class of tests that start processes."""

import json
from typing import Any

from lab import processes
from samphirevale.adapters import web_client
from tests import base


class ProcessTestCase(base.TestCase):
    """Gives each test a group of processes, which ends with the test."""

    def setUp(self):
        super().setUp()
        self.group = self.enterContext(processes.open_group())

    async def call(
        self,
        process: processes.Process,
        method: str,
        target: str,
        value: Any = None,
        **headers: str,
    ) -> tuple[int, Any]:
        """Returns status and JSON; `_` in header names is sent as `-`."""
        pairs = tuple(
            (name.replace("_", "-"), text) for name, text in headers.items()
        )
        status, answer, _ = await web_client.call_json(
            process.url, method, target, value, pairs
        )
        return status, answer

    async def read_lines(
        self, process: processes.Process, target: str, value: Any
    ) -> list[Any]:
        """Returns the JSON lines of a streamed answer to a POST."""
        body = json.dumps(value).encode()
        async with web_client.connect("127.0.0.1", process.port) as connection:
            answer = await connection.request("POST", target, body)
            self.assertEqual(answer.status, 200)
            return [json.loads(line) async for line in answer.read_lines()]
