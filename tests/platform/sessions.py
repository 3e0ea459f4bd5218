"""Sessions of a proxying entry with the test doubles over sockets."""

import contextlib
import itertools
import time

import curio

from samphirevale import (
    gateway,
    gateway_settings,
    journal,
    log_schema,
    registrations,
    retry_budgets,
    settled_era,
)
from samphirevale.adapters import clock, web_client, web_server
from samphirevale.platform import __main__ as program
from samphirevale.platform import node_file
from standins import manifests, metadata_store, servers
from tests import base

build_manifest = manifests.build_manifest
build_registration = manifests.build_registration

# Timeout of waits, in seconds.
TIMEOUT_SECONDS = 5.0

# The entry's memory in its settings. A fifth of it holds ten of the largest
# request bodies.
MEMORY_BYTES = 500_000

STREAM = b"".join(map(servers.build_event, range(1, servers.EVENTS + 1)))

# The part of the stream after its third event.
REST_OF_STREAM = STREAM[STREAM.index(b"id: 4") :]

# The number of requests that show that a server is not used. If it were, most
# of them would reach it.
REQUESTS = 12

# The names of the servers. A name without its last character is the name of
# the service.
SERVERS = ("plain1", "plain2", "model1", "model2", "first1")


async def serve(stack, handle):
    """Serves HTTP until the end of a stack; returns the port."""
    port = base.find_free_port()
    task = await curio.spawn(
        web_server.serve, handle, "127.0.0.1", port, daemon=True
    )
    # The server listens from its first turn on.
    await curio.sleep(0)
    stack.push_async_callback(task.cancel)
    return port


def put_settled_era(store):
    """Writes that the era of a store is settled, as entries have found."""
    value = settled_era.encode_era(store.era)
    store.put(registrations.KIND, settled_era.NAME, value)


class SessionTestCase(base.TestCase):
    """One entry, some servers per service, and the store.

    Attributes:
        settings: changes of the settings of entries.
    """

    settings = {}

    @contextlib.asynccontextmanager
    async def run_all(self, names=SERVERS, versions=None):
        """Runs the store, the servers and the entry during the block.

        Args:
            names: the names of the servers.
            versions: the software versions of servers by name, if any.
        """
        self.store = metadata_store.MetadataStore()
        self.servers = {
            name: servers.Server(name, (versions or {}).get(name, ""))
            for name in names
        }
        self.ports = {}
        self.sequences = itertools.count(2)
        async with contextlib.AsyncExitStack() as stack:
            for name, server in self.servers.items():
                port = await serve(stack, server.handle)
                self.ports[name] = port
                self.register_server(name, port)
            self.store.put("config", "main", build_manifest())
            put_settled_era(self.store)
            self.store_port = await serve(stack, self.store.handle)
            stack.push_async_callback(self.kill_entry)
            await self.start_entry()
            yield
        self.assertEqual([], self.log.faults)

    async def start_entry(self):
        """Starts an entry, which knows nothing of an earlier one."""
        self.gateway = self.build_gateway(self.store_port)
        self.task = await curio.spawn(gateway.run, self.gateway)
        await self.wait_until(self.gateway.is_ready)

    async def kill_entry(self):
        """Ends the entry without the time to finish anything."""
        await self.task.cancel()

    def register_server(self, name, port, **changes):
        """Registers a server, whose reports name the same start."""
        self.servers[name].born = changes.get("born", self.servers[name].born)
        changes = {"born": self.servers[name].born, **changes}
        self.store.put(
            "servers",
            name,
            build_registration(
                name,
                port,
                **{"version": self.servers[name].version, **changes},
            ),
        )

    def build_gateway(self, store_port, instance="entry1"):
        self.port = base.find_free_port()
        settings = gateway_settings.GatewaySettings(
            instance,
            "a",
            "127.0.0.1",
            self.port,
            "127.0.0.1",
            base.find_free_port(),
            "127.0.0.1",
            base.find_free_port(),
            base.find_free_port(),
            4100,
            MEMORY_BYTES,
            5.0,
            3.0,
            2.0,
            8.0,
            retry_budgets.RetryBudgetLimits(0.2, 50, 10.0),
        )._replace(**self.settings)
        file = node_file.NodeFile(settings, f"http://127.0.0.1:{store_port}")
        machine_clock = clock.BootClock()
        self.log = RecordingJournal(
            instance, machine_clock.now, NullDescriptor.open()
        )
        return gateway.Gateway(
            settings,
            program.build_platform_adapters(file),
            machine_clock,
            self.log,
        )

    async def wait_until(self, condition):
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while not condition():
                await curio.sleep(0.01)

    async def call(self, path, body=b"", key="k1", port=None, **extra_headers):
        """Sends a request and returns status, headers and body.

        Args:
            path: the path.
            body: the body.
            key: the caller's key.
            port: the port of the entry; None for the first entry.
            extra_headers: further headers.
        """
        headers = {
            "Samphirevale-Attempt-Id": "a1",
            "Samphirevale-Deadline-Ms": "3000",
            "Samphirevale-Key": key,
            **extra_headers,
        }
        entry_port = port or self.port
        async with web_client.connect("127.0.0.1", entry_port) as connection:
            answer = await connection.request(
                "POST", path, body, tuple(headers.items()), "h.example"
            )
            return answer.status, answer.headers, await answer.read_body()

    async def write(self, **extra_headers):
        return await self.call(
            "/write/x",
            **{
                "Samphirevale-Prefix-Hash": "p:10,q:5",
                "Samphirevale-Chunk-Count": "2,1",
                "Samphirevale-Chunk-Key": "ck",
                **extra_headers,
            },
        )

    def list_received_headers(self, service):
        return [
            headers
            for name, server in self.servers.items()
            if name.startswith(service)
            for headers in server.seen_headers
        ]

    def change_server(self, name, **changes):
        """Registers a running server again, with a higher sequence number."""
        changes = {"sequence": next(self.sequences), **changes}
        self.register_server(name, self.ports[name], **changes)

    @contextlib.asynccontextmanager
    async def run_second_entry(self):
        """Runs another entry during the block; yields its port."""
        first_port, first_log = self.port, self.log
        second = self.build_gateway(self.store_port, "entry2")
        self.second = second
        port, self.port = self.port, first_port
        log, self.log = self.log, first_log
        task = await curio.spawn(gateway.run, second)
        try:
            await self.wait_until(second.is_ready)
            await self.wait_until(
                lambda: second.table.linked and self.gateway.table.linked
            )
            yield port
        finally:
            await task.cancel()
        self.assertEqual([], log.faults)

    def list_accepting(self, service):
        catalogue = self.gateway.cluster_state.catalogue
        return sorted(
            endpoint.name for endpoint in catalogue.list_accepting(service)
        )

    async def wait_until_accepting(self, *names):
        service = names[0][:-1]
        await self.wait_until(lambda: self.list_accepting(service) == [*names])

    async def read(self):
        """Sends a request that must be answered; returns the headers."""
        status, headers, _ = await self.call("/read/x")
        self.assertEqual(200, status)
        return headers

    async def read_until_reached(self, name):
        """Sends requests until one more reaches the server."""
        arrivals = self.servers[name].arrivals
        known = len(arrivals)
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while len(arrivals) == known:
                await self.read()
                await curio.sleep(0.01)

    async def read_until_pause_ends(self, name):
        """Sends requests until shortly before the end of a server's pause."""
        while time.monotonic() < self.servers[name].pause.ends_at - 0.05:
            await self.read()
            await curio.sleep(0.02)

    async def check_unused(self, name):
        """Checks that no request reaches the server any more."""
        known = len(self.servers[name].arrivals)
        for _ in range(REQUESTS):
            await self.read()
        self.assertEqual([], self.servers[name].arrivals[known:])

    async def check_stream(self):
        """Sends a request whose stream must be complete."""
        status, _, body = await self.write()
        self.assertEqual((200, STREAM), (status, body))


class RecordingJournal(journal.Journal):
    """A journal that also records event names and faulty lines."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._events = []
        self.faults = []

    def _record(self, kind, event, fields):
        self._events.append(event)
        line = {"time": 0, "at": 0, "instance": "", "event": event, **fields}
        self.faults += log_schema.find_deviations(line)
        super()._record(kind, event, fields)

    def list_events(self):
        """Returns the events' names in order."""
        return self._events


class NullDescriptor:
    """A descriptor of /dev/null, for the log lines of the tests."""

    _file = None

    @classmethod
    def open(cls):
        if cls._file is None:
            cls._file = open("/dev/null", "wb")  # noqa: SIM115
        return cls._file.fileno()
