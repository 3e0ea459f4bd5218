"""TCP relays between entries and sidecars that cut, stall or delay data.

The relays run in one thread with its own curio kernel. Their switches are
plain attributes that any thread may set.
"""

import contextlib
import threading
from typing import Any

import curio
from curio import socket

from lab import processes

HOST = "127.0.0.1"

# The maximum size of a chunk that a relay reads, in bytes.
READ_BYTES = 65536

# The interval at which a stalled relay polls its switches, in seconds.
CHECK_SECONDS = 0.02

# The directions of data through a relay.
TO_SIDECAR = "to_sidecar"
TO_ENTRY = "to_entry"


class Relay:
    """One relay with its switches and counters.

    Attributes:
        port: the port that it listens on.
        target_port: the port that it connects to.
        is_cut: whether it has closed all connections and refuses new ones.
        stalled: the directions in which it holds back all data.
        delay_seconds: the delay of each chunk, in seconds.
        cuts: the number of connections that were cut or refused.
        stalled_chunks: the number of chunks that a stall held back.
        delayed_chunks: the number of chunks that were delayed.
    """

    def __init__(self, target_port: int):
        self.port = processes.choose_port()
        self.target_port = target_port
        self.is_cut = False
        self.stalled: frozenset[str] = frozenset()
        self.delay_seconds = 0.0
        self.cuts = 0
        self.stalled_chunks = 0
        self.delayed_chunks = 0
        self._streams: set[Any] = set()

    def cut(self) -> None:
        """Closes all connections and refuses new ones until `reset`."""
        self.is_cut = True
        for stream in list(self._streams):
            self.cuts += 1
            with contextlib.suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Resets all switches."""
        self.is_cut = False
        self.stalled = frozenset()
        self.delay_seconds = 0.0

    async def serve(self) -> None:
        """Relays until cancelled."""
        await curio.tcp_server(
            HOST, self.port, self._run_connection, reuse_address=True
        )

    async def _run_connection(self, client: Any, _: Any) -> None:
        if self.is_cut:
            self.cuts += 1
            return
        try:
            server = await curio.open_connection(HOST, self.target_port)
        except OSError:
            return
        async with (
            server,
            self._track(client, server),
            curio.TaskGroup(wait=any) as group,
        ):
            await group.spawn(self._forward, client, server, TO_SIDECAR)
            await group.spawn(self._forward, server, client, TO_ENTRY)

    @contextlib.asynccontextmanager
    async def _track(self, *streams: Any) -> Any:
        sockets = set()
        for stream in streams:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sockets.add(stream._socket)
        self._streams |= sockets
        try:
            yield
        finally:
            self._streams -= sockets

    async def _forward(self, source: Any, target: Any, direction: str) -> None:
        with contextlib.suppress(OSError):
            while data := await source.recv(READ_BYTES):
                await self._apply_switches(direction)
                if self.is_cut:
                    return
                await target.sendall(data)

    async def _apply_switches(self, direction: str) -> None:
        if self.delay_seconds:
            self.delayed_chunks += 1
            await curio.sleep(self.delay_seconds)
        if direction in self.stalled:
            self.stalled_chunks += 1
        while direction in self.stalled and not self.is_cut:
            await curio.sleep(CHECK_SECONDS)


class Relays:
    """Runs all relays of a deployment in a thread.

    Attributes:
        by_name: the relays, by the name of the endpoint.
    """

    def __init__(self):
        self.by_name: dict[str, Relay] = {}
        self._new_relays = curio.UniversalQueue()
        self._thread = threading.Thread(
            target=curio.run, args=(self._run,), daemon=True
        )
        self._thread.start()

    def add(self, name: str, target_port: int) -> int:
        """Starts a relay and returns its port."""
        relay = Relay(target_port)
        self.by_name[name] = relay
        self._new_relays.put(relay)
        return relay.port

    def close(self) -> None:
        """Stops all relays."""
        self._new_relays.put(None)
        self._thread.join()

    async def _run(self) -> None:
        async with curio.TaskGroup(wait=None) as group:
            while (relay := await self._new_relays.get()) is not None:
                await group.spawn(relay.serve)


@contextlib.contextmanager
def open_relays() -> Any:
    """Returns a context manager that yields relays and stops them at exit."""
    relays = Relays()
    try:
        yield relays
    finally:
        relays.close()
