"""Runs entries of the deploy file beside small stand-ins, on loopback.

The stand-ins are a store, engines and clients, written for this review after
the users' pages. They need nothing but the standard library. A script builds a
`Bed`, plays its case and leaves the record of what was sent, answered and run
in `record.txt` in its folder.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent

# The exit codes of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2

# The largest amount that a stand-in reads ahead, in bytes.
STREAM_BYTES = 2**22

# The time that an entry may take to become ready, in seconds.
READY_SECONDS = 20.0

# The settings of a small deployment (DEPLOY.md), but for the addresses.
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "sul-br"
port_range = [{peer}, {peer_last}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform","stages"]
[zones]
sul-a = "sul-br"
sul-b = "sul-br"
[listen]
frontend = "{host}:{front}"
readiness = "{host}:{ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
max_stretch_ms = 5000
revoke_everywhere = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 56
recovery_s = 12
delivery_slack_ms = 120
retry_after_s = 10
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def find_free_port(host):
    """Returns a port of a loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """The lines of `record.txt`, with the time since the beginning."""

    def __init__(self, folder):
        self._began_at = time.monotonic()
        self._file = open(pathlib.Path(folder, "record.txt"), "w")  # noqa: SIM115

    def write(self, event, **fields):
        """Writes one line."""
        at = round(time.monotonic() - self._began_at, 3)
        self._file.write(json.dumps({"at": at, "event": event, **fields}))
        self._file.write("\n")
        self._file.flush()


class Head:
    """The head of a request or an answer."""

    def __init__(self, lines):
        self.first = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()


async def read_head(reader):
    """Returns the next head; None if the connection has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(data.decode("latin-1").rstrip("\r\n").split("\r\n"))


async def read_body(reader, headers):
    """Yields the parts of a body; raises an error if it is cut off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    elif "content-length" in headers:
        length = int(headers["content-length"])
        if length:
            yield await reader.readexactly(length)
    else:
        while data := await reader.read(65536):
            yield data


async def read_whole(reader, headers):
    """Returns a whole body."""
    return b"".join([part async for part in read_body(reader, headers)])


def build_head(first, headers):
    """Returns the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """A server on one address, which may be closed and opened again."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """The address as the pages write it."""
        return f"{self.host}:{self.port}"

    async def open(self):
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self.host,
            self.port,
            backlog=1024,
            limit=STREAM_BYTES,
        )

    async def close(self):
        """Ends all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = b""
                if not {"content-length", "transfer-encoding"}.isdisjoint(
                    head.headers
                ):
                    body = await read_whole(reader, head.headers)
                if not await self.answer(head, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, head, body, writer):
        """Answers a request; returns whether another one may follow."""
        raise NotImplementedError

    async def send(self, writer, status, body=b"", headers=()):
        """Sends a whole answer."""
        writer.write(
            build_head(
                f"HTTP/1.1 {status} X",
                [*headers, ("Content-Length", str(len(body)))],
            )
            + body
        )
        await writer.drain()


class Store(Server):
    """The platform's store."""

    def __init__(self, host):
        super().__init__(host, find_free_port(host))
        self._objects = {}
        self._history = []
        self._revision = 10
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=()):
        """Writes an object; returns it as it is stored."""
        self._revision += 1
        before = self._objects.get((kind, name))
        created = before["metadata"]["created"] if before else self._revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": list(finalizers),
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = stored
        self._tell(kind, stored, deleted=False)
        return stored

    def remove(self, kind, name):
        """Removes an object."""
        stored = self._objects.pop((kind, name))
        self._revision += 1
        self._tell(kind, stored, deleted=True)

    def read(self, kind, name):
        """Returns what an object holds; None without one."""
        stored = self._objects.get((kind, name))
        return stored["spec"] if stored else None

    def _tell(self, kind, stored, deleted):
        event = {"object": stored, "deleted": deleted}
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, head, body, writer):
        """Answers one call."""
        method, target = head.first[0], head.first[1]
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(p) for p in path.split("/")[2:]]
        options = dict(urllib.parse.parse_qsl(query))
        if method == "GET" and "watch" in options:
            status, value = await self._watch(parts[0], options)
        elif method == "GET":
            status, value = self._get(parts, options)
        else:
            status, value = self._change(method, parts, options, body)
        await self.send(
            writer,
            status,
            json.dumps(value).encode(),
            [("Content-Type", "application/json"), ("Store-Era", "1")],
        )
        return True

    def _get(self, parts, options):
        if len(parts) > 1:
            stored = self._objects.get((parts[0], parts[1]))
            return (200, stored) if stored else (404, {})
        names = sorted(
            name
            for kind, name in self._objects
            if kind == parts[0] and name > options.get("after", "")
        )
        items = [self._objects[parts[0], name] for name in names[:500]]
        more = len(names) > 500
        return 200, {"items": items, "more_pages": more, "at": self._revision}

    async def _watch(self, kind, options):
        since = int(options["watch"])
        ends_at = time.monotonic() + int(options.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for revision, of_kind, event in self._history
                if of_kind == kind and revision > since
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _change(self, method, parts, options, body):
        value = json.loads(body or b"{}")
        metadata = value.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        stored = self._objects.get((parts[0], name))
        if method == "POST":
            if stored:
                return 409, stored
            return 201, self.put(parts[0], name, value.get("spec"))
        if not stored:
            return 404, {}
        expected = metadata.get("revision", options.get("revision"))
        if expected not in (None, stored["metadata"]["revision"]):
            return 409, stored
        if method == "DELETE":
            self.remove(parts[0], name)
            return 200, {}
        if stored["spec"] == value.get("spec"):
            return 200, stored
        return 200, self.put(parts[0], name, value.get("spec"))


class Engine(Server):
    """A sound engine: plain answers, or a stream of numbered events.

    Attributes:
        runs: the attempts that it has begun to work on, in order.
        arrivals: the time and the attempt of each request that reached it.
    """

    ids = itertools.count(1)

    def __init__(self, bed, host, service, version="v1", **options):
        super().__init__(host, find_free_port(host))
        self.bed = bed
        self.service = service
        self.version = version
        self.zone = options.get("zone", "sul-a")
        self.slots = options.get("slots", 8)
        self.events = options.get("events", 24)
        self.event_seconds = options.get("event_seconds", 0.25)
        self.work_seconds = options.get("work_seconds", 0.045)
        self.name = f"i-{service}-{next(Engine.ids)}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.full = False
        self.runs = []
        self.arrivals = []

    def register(self):
        """Writes the engine's entry into the store."""
        self.bed.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    async def answer(self, head, body, writer):
        """Answers one request."""
        headers = head.headers
        expected = headers.get("samphirevale-expect-instance")
        if expected not in (None, self.name):
            await self.send(
                writer, 421, b"", [("Samphirevale-Instance-Id", self.name)]
            )
            return True
        if head.first[1] == "/report":
            report = {
                "phase": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 2,
                "queued": 0,
                "active": 0,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "born": self.born,
            }
            data = json.dumps(report).encode()
            kind = [("Content-Type", "application/json")]
            await self.send(writer, 200, data, kind)
            return True
        attempt = headers.get("samphirevale-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        echo = [("Samphirevale-Attempt-Id", attempt)]
        if self.full:
            not_run = [*echo, ("Samphirevale-Not-Executed", "1")]
            await self.send(writer, 503, b"", not_run)
            return True
        self.runs.append(attempt)
        last = headers.get("last-event-id")
        self.bed.record.write(
            "engine_runs",
            engine=self.name,
            service=self.service,
            version=self.version,
            attempt=attempt,
            path=head.first[1],
            last_event=last,
            tenant=headers.get("samphirevale-tenant-name"),
        )
        sealed = [*echo, ("Samphirevale-Response-Seal", f"seal.{self.name}")]
        if "samphirevale-prefix-hash" in headers:
            await self._stream(writer, sealed, int(last or 0))
        else:
            await asyncio.sleep(self.work_seconds)
            await self.send(writer, 200, b"done " + attempt.encode(), sealed)
        return True

    async def _stream(self, writer, headers, last):
        writer.write(
            build_head(
                "HTTP/1.1 200 OK",
                [
                    *headers,
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            text = f"{self.service} {self.version} {number}"
            data = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Entry:
    """An entry in a process of its own, as the deploy file starts it."""

    def __init__(self, bed, number, zone="sul-a"):
        self.bed = bed
        self.name = f"edge-{zone}-{number}"
        self.host = f"{bed.prefix}.{10 + number}"
        self.front = find_free_port(self.host)
        self.ready = find_free_port(self.host)
        peer = find_free_port(self.host)
        self.process = None
        self._path = pathlib.Path(bed.folder, f"{self.name}.toml")
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=zone,
                front=self.front,
                ready=self.ready,
                peer=peer,
                peer_last=peer + 15,
                store=bed.store.address,
            )
        )
        self._log = open(pathlib.Path(bed.folder, f"{self.name}.log"), "ab")  # noqa: SIM115

    def start(self):
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SAMPHIREVALE_NODE_FILE"] = str(self._path)
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log
        )
        self.bed.record.write("entry_started", entry=self.name)

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.bed.record.write(
            "signal", entry=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def read_log(self):
        """Returns the lines of the process's log."""
        path = pathlib.Path(self.bed.folder, f"{self.name}.log")
        return path.read_text().splitlines()

    async def wait_ready(self):
        """Waits until the entry says that it is ready."""
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at:
            if await self.is_ready():
                self.bed.record.write("entry_ready", entry=self.name)
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} is not ready")

    async def is_ready(self):
        """Returns whether the entry answers its status check with 200."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready
                )
                writer.write(
                    build_head("GET /readyz HTTP/1.1", [("Host", "r")])
                )
                head = await read_head(reader)
                writer.close()
                return head is not None and head.first[1] == "200"
        return False


class NotRunError(Exception):
    """The case could not run."""


class Answer:
    """What a client has got.

    Attributes:
        status: the status; 0 without an answer.
        headers: the headers of the answer.
        body: the body as far as it has come.
        complete: whether the answer has ended as it should.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False


class Channel:
    """A client's channel to an entry."""

    def __init__(self, bed, entry):
        self._bed = bed
        self._entry = entry
        self.reader = None
        self.writer = None

    async def open(self):
        """Opens the channel."""
        self.reader, self.writer = await asyncio.open_connection(
            self._entry.host, self._entry.front
        )
        return self

    async def send(
        self, method, path, headers, body=b"", rate=0.0, piece=65536
    ):
        """Sends a request and returns its answer.

        Args:
            method: the method.
            path: the path.
            headers: names and values.
            body: the body.
            rate: the bytes a second at which it is sent; 0 for at once.
            piece: the size of a write at a rate, in bytes.
        """
        data = build_head(
            f"{method} {path} HTTP/1.1",
            [*headers, ("Content-Length", str(len(body)))],
        )
        data += body
        attempt = dict(headers).get("Samphirevale-Attempt-Id")
        self._bed.record.write(
            "client_sends",
            entry=self._entry.name,
            method=method,
            path=path,
            attempt=attempt,
            bytes=len(data),
            last_event=dict(headers).get("Last-Event-Id"),
        )
        answer = Answer()
        reading = asyncio.create_task(self._read(answer))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._write(data, rate, piece, reading)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reading
        self._bed.record.write(
            "client_gets",
            attempt=attempt,
            status=answer.status,
            complete=answer.complete,
            body=answer.body[:4000].decode("latin-1"),
        )
        return answer

    async def _write(self, data, rate, piece, reading):
        """Writes until all is sent or an answer has come before."""
        if not rate:
            self.writer.write(data)
            await self.writer.drain()
            return
        began_at = time.monotonic()
        for start in range(0, len(data), piece):
            if reading.done():
                return
            self.writer.write(data[start : start + piece])
            await self.writer.drain()
            due_at = began_at + (start + piece) / rate
            await asyncio.sleep(max(due_at - time.monotonic(), 0))

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status = int(head.first[1])
        answer.headers = head.headers
        async for part in read_body(self.reader, head.headers):
            answer.body += part
        answer.complete = True

    def close(self):
        """Closes the channel."""
        with contextlib.suppress(OSError):
            self.writer.close()


class Bed:
    """A store, engines and entries, which all end with it."""

    def __init__(self, record):
        self.record = record
        self.prefix = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.folder = None
        self.store = None
        self.engines = []
        self.entries = []
        self._attempts = itertools.count(1)
        self._stack = contextlib.ExitStack()

    async def __aenter__(self):
        """Opens the store."""
        self.folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.store = Store(f"{self.prefix}.1")
        await self.store.open()
        return self

    async def __aexit__(self, *details):
        """Ends all that was started."""
        for entry in self.entries:
            entry.kill()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        self._stack.close()

    async def add_engine(self, service, version="v1", **options):
        """Starts an engine, which registers itself."""
        engine = Engine(self, f"{self.prefix}.2", service, version, **options)
        await engine.open()
        engine.register()
        self.engines.append(engine)
        return engine

    def put_manifest(self, manifest):
        """Writes a manifest, as the operator does; it is acknowledged."""
        self.store.put("config", "main", manifest)
        self.record.write("manifest_acknowledged", version=manifest["version"])

    async def start_entries(self, count, zones=("sul-a", "sul-b")):
        """Starts entries and waits until all are ready."""
        for number in range(1, count + 1):
            zone = zones[number % len(zones)]
            self.entries.append(Entry(self, number, zone))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()

    def build_headers(self, host, key, deadline_ms, **extra):
        """Returns the headers of a client's request with an id of its own."""
        attempt = f"{os.getpid():x}{next(self._attempts):08x}"
        return [
            ("Host", host),
            ("Samphirevale-Attempt-Id", attempt),
            ("Samphirevale-Deadline-Ms", str(deadline_ms)),
            ("Samphirevale-Key", key),
            *((name.replace("_", "-"), value) for name, value in extra.items()),
        ]


def build_route(name, path, kind, service, **fields):
    """Returns a route of a manifest."""
    return {
        "name": name,
        "host": "pule25.example",
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 10000,
        "ttft_target_ms": 1700,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "phases": [],
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def build_manifest(version, found, services, **changes):
    """Returns a manifest."""
    return {
        "version": version,
        "routes": found,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 610,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": ["key1"], "priority": 1}],
        **changes,
    }


def run(folder, play):
    """Plays a case and ends the process with its exit code.

    Args:
        folder: the folder of the case.
        play: takes the bed and whether there is trouble; returns what broke
            the rule, as texts.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play_all():
        async with asyncio.timeout(110), Bed(record) as bed:
            return await play(bed, trouble)

    try:
        found = asyncio.run(play_all())
    except Exception as error:
        record.write("not_run", error=repr(error))
        print(f"not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    for text in found:
        record.write("broken", text=text)
        print(text)
    record.write("end", broken=len(found), trouble=trouble)
    sys.exit(BROKEN if found else HELD)
