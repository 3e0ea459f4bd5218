"""Invalid input at every port gives a clear error and no outage."""

import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import cbor2

from lab import deployments, processes
from samphirevale import errors, messages
from samphirevale.adapters import link
from tests import base

SIZES = deployments.Sizes(entries=1, engines=1, stages=1, services=1)

# Limits that are low enough to be reached quickly.
BODY_BYTES = 100_000
CONNECTIONS = 20
IDLE_SECONDS = 1.0
FLAGS = (
    *("--body-bytes-limit", str(BODY_BYTES)),
    *("--connections-limit", str(CONNECTIONS)),
    *("--idle-seconds", str(IDLE_SECONDS)),
)

# The maximum growth of an entry's resident memory over all cases, in bytes. It
# is far more than any case needs.
GROWTH_BYTES = 64 * 1024 * 1024

# The timeout for an answer, in seconds.
ANSWER_SECONDS = 20.0

# The number of connections with random bytes per port.
RANDOM_ROUNDS = 20

NOTICE = "/v1/pipelines/harvest-notice/requests"
TOKEN = deployments.ACCOUNT_TOKENS["colheita"]


class Case(NamedTuple):
    """Bytes sent to the callers' port and the expected answer.

    Attributes:
        name: what is invalid.
        data: the bytes; the connection stays open after them.
        status: the expected status.
        text: a text that the answer's body must contain.
    """

    name: str
    data: bytes
    status: int
    text: str


def build_request(
    body: bytes,
    path: str = NOTICE,
    method: str = "POST",
    token: str = TOKEN,
    length: int | None = None,
    extra: str = "",
) -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: test\r\n"
        f"Connection: close\r\nAuthorization: Bearer {token}\r\n{extra}"
        f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def build_input(value: object, **fields: object) -> bytes:
    return json.dumps({"input": value, **fields}).encode()


DEEP = b'{"input": ' + b"[" * 40_000 + b"]" * 40_000 + b"}"
SLOT = "/v1/pipelines/slot-confirmation/requests"
LONG_BODY = build_input("x" * BODY_BYTES)
LONG_HEAD = "X-Long: " + "x" * 20_000 + "\r\n"

CASES = (
    Case("JSON", build_request(b'{"input": '), 400, "JSON"),
    Case("not UTF-8", build_request(b'{"input": "\xff"}'), 400, "JSON"),
    Case("nested deeply", build_request(DEEP), 400, "JSON"),
    Case("NaN", build_request(b'{"input": NaN}'), 400, "JSON"),
    Case("1e999", build_request(b'{"input": 1e999}'), 400, "JSON"),
    Case("surrogate", build_request(rb'{"input": "\ud800"}'), 400, "body"),
    Case("no object", build_request(b"[1]"), 400, "a JSON object"),
    Case("no body", build_request(b""), 400, "JSON"),
    Case("no key", build_request(build_input(1), SLOT), 400, "a key, as"),
    Case(
        "deadline of zero",
        build_request(build_input(1, deadline_ms=0)),
        400,
        "an integer of 1 or more",
    ),
    Case(
        "pipeline",
        build_request(build_input(1), "/v1/pipelines/tea/requests"),
        404,
        "a known pipeline",
    ),
    Case("path", build_request(b"", "/nowhere"), 404, "a path"),
    Case("method", build_request(b"", NOTICE, "PUT"), 405, "POST"),
    Case("token", build_request(b"{}", token="\xe9"), 401, "bearer token"),
    Case("body over the limit", build_request(LONG_BODY), 413, "100000 bytes"),
    Case(
        "endless body",
        build_request(LONG_BODY, length=10**12),
        413,
        "100000 bytes",
    ),
    Case("body far over", build_request(b"x" * 8_000_000), 413, "100000"),
    Case("head over the limit", build_request(b"", extra=LONG_HEAD), 431, ""),
    Case("half-sent head", b"POST /v1/pipe", 408, "in time"),
    Case("half-sent body", build_request(b"{", length=9), 408, "in time"),
    Case("not HTTP", b"\x16\x03\x01\x02\x00\r\n\r\n", 400, ""),
    Case(
        "two lengths",
        build_request(b"", extra="Content-Length: 7\r\n"),
        400,
        "",
    ),
)


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def read_until_closed(connection: socket.socket) -> bytes:
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


class BadInputTest(base.TestCase):
    """Sends invalid input; checks that a normal request is served after it."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.deployment = cls.enterClassContext(
            deployments.open_deployment(SIZES, entry_flags=FLAGS)
        )
        cls.entry = cls.deployment.entries["entry-0"]
        cls.sidecar = cls.deployment.sidecars["engine-0"]
        cls.resident_bytes = read_resident_bytes(cls.entry.process.pid)

    def tearDown(self):
        self.check_served()
        resident_bytes = read_resident_bytes(self.entry.process.pid)
        self.assertLess(resident_bytes - self.resident_bytes, GROWTH_BYTES)
        super().tearDown()

    def check_served(self) -> None:
        """Checks that all processes run and a normal request is served."""
        for process in self.deployment.group.processes:
            self.assertIsNone(process.exit_status, process.name)
        answer = deployments.call(
            self.entry.process.url,
            "POST",
            NOTICE,
            {"input": "Figs are ripe."},
            (("Authorization", f"Bearer {TOKEN}"),),
        )
        self.assertEqual("whole", answer["outcome"])

    def connect(self, port: int) -> socket.socket:
        return self.enterContext(
            socket.create_connection(("127.0.0.1", port), ANSWER_SECONDS)
        )

    def exchange(self, port: int, data: bytes) -> tuple[str, str]:
        """Sends bytes; returns the head and the body of the answer."""
        with self.connect(port) as connection:
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                connection.sendall(data)
            answer = read_until_closed(connection).decode()
        head, _, body = answer.partition("\r\n\r\n")
        return head, body

    def test_callers_port(self):
        for case in CASES:
            with self.subTest(case.name):
                head, body = self.exchange(self.entry.process.port, case.data)
                self.assertIn(f" {case.status} ", head.split("\r\n")[0])
                self.assertIn(case.text, body)
                self.check_served()

    def test_admin_port(self):
        port = int(self.entry.admin_url.rpartition(":")[2])
        big = build_request(b"x" * 70_000, "/query")
        cases = (
            ("wrong token", build_request(b"", "/dump", "GET"), 401),
            ("path", build_request(b"", "/nowhere", "GET"), 404),
            ("method", build_request(b"", "/dump"), 405),
            ("body over the limit", big, 413),
            ("not HTTP", b"\x00\r\n\r\n", 400),
        )
        for name, data, status in cases:
            with self.subTest(name):
                head, _ = self.exchange(port, data)
                self.assertIn(f" {status} ", head.split("\r\n")[0])
                self.check_served()

    def test_random_bytes(self):
        rng = random.Random(3)
        sidecar_port = self.deployment.get_peer_port("engine-0")
        admin_port = int(self.entry.admin_url.rpartition(":")[2])
        for port in (self.entry.process.port, admin_port, sidecar_port):
            for _ in range(RANDOM_ROUNDS):
                with self.connect(port) as connection:
                    connection.sendall(rng.randbytes(rng.randint(1, 5000)))
                    connection.shutdown(socket.SHUT_WR)
                    read_until_closed(connection)
            self.check_served()

    def test_too_many_connections(self):
        port = self.entry.process.port
        connections = [self.connect(port) for _ in range(CONNECTIONS)]
        head, _ = self.exchange(port, b"")
        self.assertIn(" 503 ", head)
        self.assertIn("Retry-After: 1", head)
        for connection in connections:
            connection.close()
        time.sleep(IDLE_SECONDS)

    def test_slow_readers(self):
        body = build_input("Figs.", stream=True)
        connections = []
        for _ in range(CONNECTIONS // 2):
            connection = socket.socket()
            self.enterContext(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            connection.settimeout(ANSWER_SECONDS)
            connection.connect(("127.0.0.1", self.entry.process.port))
            connection.sendall(build_request(body))
            connections.append(connection)
        self.check_served()
        for connection in connections:
            answer = read_until_closed(connection).decode()
            self.assertIn("event: end", answer)

    async def test_foreign_secret(self):
        port = self.deployment.get_peer_port("engine-0")
        with self.assertRaises(errors.ConnectError):
            async with link.dial("127.0.0.1", port, "foreign"):
                self.fail("a foreign secret was accepted")

    def test_unusual_handshakes(self):
        port = self.deployment.get_peer_port("engine-0")
        head = (
            "GET / HTTP/1.1\r\nHost: test\r\nUpgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
        )
        for secrets in (("\xe9",), ("one", "two"), ()):
            with self.subTest(secrets):
                lines = [f"Authorization: Bearer {item}" for item in secrets]
                text = head + "".join(f"{line}\r\n" for line in lines)
                answer, _ = self.exchange(
                    port, (text + "\r\n").encode("latin-1")
                )
                self.assertIn(" 401 ", answer.split("\r\n")[0])

    async def test_frames(self):
        frames = (
            (cbor2.dumps([99, "hello", 1]), "version 99"),
            (cbor2.dumps([messages.PROTOCOL_VERSION, "x", 1]), "unknown"),
            (b"\xff\x00", "CBOR"),
            (b"\x9b" + b"\xff" * 8, "CBOR"),
            (b"\x81" * 5000, "CBOR"),
        )
        for data, reason in frames:
            with self.subTest(reason):
                self.assertIn(reason, await self.read_close_reason(data))

    async def read_close_reason(self, data: bytes) -> str:
        """Sends one frame; returns the reason of the sidecar's close frame."""
        port = self.deployment.get_peer_port("engine-0")
        secret = self.deployment.peer_secret
        async with link.dial("127.0.0.1", port, secret) as connection:
            connection._protocol.send_binary(data)
            await connection._queue_output()
            with contextlib.suppress(errors.PeerClosedError):
                while True:
                    await connection.receive()
            return connection._protocol.close_rcvd.reason

    def test_wrong_settings(self):
        environment = dict(os.environ, SAMPHIREVALE_LIST_SECONDS="soon")
        completed = subprocess.run(
            [sys.executable, "-m", "samphirevale.daemon", "entry"]
            + ["--admin-port", "0", "--host", "nowhere"],
            cwd=processes.ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=ANSWER_SECONDS,
            check=False,
        )
        self.assertEqual((2, ""), (completed.returncode, completed.stdout))
        for place in (
            *("--instance", "--data-centre", "--host", "--admin-port"),
            *("--store-url", "--caller-port", "SAMPHIREVALE_LIST_SECONDS"),
            *("SAMPHIREVALE_PEER_SECRET", "SAMPHIREVALE_OPERATOR_TOKEN"),
        ):
            self.assertRegex(completed.stderr, f"(?m)^{place}\\b")
