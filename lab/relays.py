"""TCP relays between entries and sidecars, which cut, stall and delay.

They run in a thread with a kernel of its own. The switches are plain
attributes that any thread may set.
"""

import contextlib
import threading
from typing import Any

import curio
from curio import socket

from lab import processes

HOST = "127.0.0.1"

# The most bytes that are passed on at once.
READ_BYTES = 65536

# The interval between looks at a switch, in seconds.
CHECK_SECONDS = 0.02

# The two directions.
TO_SIDECAR = "to_sidecar"
TO_ENTRY = "to_entry"


class Relay:
    """The switches of one relay.

    Attributes:
        port: where it listens.
        target_port: where it connects to.
        is_cut: it refuses new connections, and has closed the others.
        stalled: the directions in which nothing is passed on.
        delay_seconds: how much later each part is passed on.
        cuts: connections that were cut or refused.
        held: parts that were held back by a stall.
        delayed: parts that were passed on late.
    """

    def __init__(self, target_port: int):
        self.port = processes.choose_port()
        self.target_port = target_port
        self.is_cut = False
        self.stalled: frozenset[str] = frozenset()
        self.delay_seconds = 0.0
        self.cuts = 0
        self.held = 0
        self.delayed = 0
        self._streams: set[Any] = set()

    def cut(self) -> None:
        """Closes all connections and makes no new ones until `mend`."""
        self.is_cut = True
        for stream in list(self._streams):
            self.cuts += 1
            with contextlib.suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)

    def mend(self) -> None:
        """Turns all switches off."""
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
            self._held_open(client, server),
            curio.TaskGroup(wait=any) as group,
        ):
            await group.spawn(self._pass_on, client, server, TO_SIDECAR)
            await group.spawn(self._pass_on, server, client, TO_ENTRY)

    @contextlib.asynccontextmanager
    async def _held_open(self, *streams: Any) -> Any:
        raw = set()
        for stream in streams:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.add(stream._socket)
        self._streams |= raw
        try:
            yield
        finally:
            self._streams -= raw

    async def _pass_on(self, source: Any, target: Any, direction: str) -> None:
        with contextlib.suppress(OSError):
            while data := await source.recv(READ_BYTES):
                await self._wait(direction)
                if self.is_cut:
                    return
                await target.sendall(data)

    async def _wait(self, direction: str) -> None:
        if self.delay_seconds:
            self.delayed += 1
            await curio.sleep(self.delay_seconds)
        if direction in self.stalled:
            self.held += 1
        while direction in self.stalled and not self.is_cut:
            await curio.sleep(CHECK_SECONDS)


class Relays:
    """All relays of a run, by the name of the endpoint.

    Attributes:
        by_name: the relays.
    """

    def __init__(self):
        self.by_name: dict[str, Relay] = {}
        self._orders = curio.UniversalQueue()
        self._thread = threading.Thread(
            target=curio.run, args=(self._run,), daemon=True
        )
        self._thread.start()

    def add(self, name: str, target_port: int) -> int:
        """Starts a relay; returns its port."""
        relay = Relay(target_port)
        self.by_name[name] = relay
        self._orders.put(relay)
        return relay.port

    def close(self) -> None:
        """Ends all relays."""
        self._orders.put(None)
        self._thread.join()

    async def _run(self) -> None:
        async with curio.TaskGroup(wait=None) as group:
            while (relay := await self._orders.get()) is not None:
                await group.spawn(relay.serve)


@contextlib.contextmanager
def open_relays() -> Any:
    """Yields relays that end with the block."""
    relays = Relays()
    try:
        yield relays
    finally:
        relays.close()
