"""The sidecars as an entry sees them: connections, and attempts on them."""

import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import curio

from samphirevale import configuration, errors, messages, metrics, snapshots
from samphirevale.adapters import link as links

# Waits between attempts to dial, in seconds: doubled from the first to the
# last, each drawn between half of it and the whole.
FIRST_REDIAL_SECONDS = 0.1
LAST_REDIAL_SECONDS = 2.0

# A silent connection is closed after this many times `suspect_seconds`.
CLOSE_FACTOR = 3.0


class LinkLost(NamedTuple):
    """Put among an attempt's messages when its connection has ended."""


class PeerSuspected(NamedTuple):
    """Put among an attempt's messages when its peer has fallen silent."""


class Exchange:
    """One attempt on a peer: the messages that come back for it."""

    def __init__(self, peer: "Peer", handover: messages.Handover):
        self.peer = peer
        self.handover = handover
        self.incarnation = peer.incarnation
        self.ended = False
        self._incoming = curio.Queue()

    async def receive(self) -> Any:
        """Returns the next message, or LinkLost or PeerSuspected."""
        message = await self._incoming.get()
        if isinstance(message, messages.Result | messages.Refusal):
            self.ended = True
        return message

    async def deliver(self, message: Any) -> None:
        """Adds a message that came for this attempt."""
        await self._incoming.put(message)

    async def send_again(self) -> None:
        """Hands the same attempt over again after a cut connection.

        Raises:
            errors.PeerClosedError: the connection is cut again.
        """
        await self.peer.send(self.handover)


class Peer:
    """One sidecar.

    Attributes:
        address: `host:port`, as listed.
        hello: its first message; None until it was connected once.
        heartbeat: its latest heartbeat on this connection, or None.
        heard_at: when it was last heard of, in monotonic seconds.
        listed_leaving: the platform's list says that it is leaving.
    """

    def __init__(self, address: str, holder: snapshots.SnapshotHolder):
        self.address = address
        self.hello: messages.Hello | None = None
        self.heartbeat: messages.Heartbeat | None = None
        self.heard_at = 0.0
        self.revision = 0
        self.listed_leaving = False
        self.exchanges: dict[str, Exchange] = {}
        self.connected = curio.Event()
        self._link: links.Link | None = None
        self._holder = holder

    @property
    def endpoint(self) -> str:
        """The endpoint beside it; empty until it was connected once."""
        return self.hello.endpoint if self.hello else ""

    @property
    def incarnation(self) -> str:
        """The token of its process; empty until it was connected once."""
        return self.hello.incarnation if self.hello else ""

    def may_take_work(self, now: float, suspect_seconds: float) -> bool:
        """Tells whether new attempts may be handed to it."""
        if self._link is None or self.heartbeat is None:
            return False
        if now - self.heard_at > suspect_seconds:
            return False
        if self.listed_leaving or self.heartbeat.leaving:
            return False
        return self.heartbeat.healthy

    async def send(self, message: Any) -> None:
        """Sends a message.

        Raises:
            errors.PeerClosedError: there is no connection, or it broke.
        """
        if self._link is None:
            raise errors.PeerClosedError(f"{self.address}: not connected")
        await self._link.send(message, self._holder.revision)

    @contextlib.asynccontextmanager
    async def open_exchange(
        self, handover: messages.Handover
    ) -> AsyncIterator[Exchange]:
        """Hands an attempt over; cancels it if the block leaves it open.

        Raises:
            errors.PeerClosedError: nothing was handed over for certain.
        """
        if self._link is None:
            raise errors.PeerClosedError(f"{self.address}: not connected")
        exchange = Exchange(self, handover)
        self.exchanges[handover.attempt] = exchange
        try:
            # A send that breaks may have been read, so that its failure is
            # told as a lost link and not as a hand-over that never was.
            try:
                await self.send(handover)
            except errors.PeerClosedError:
                await exchange.deliver(LinkLost())
            yield exchange
        finally:
            del self.exchanges[handover.attempt]
            if not exchange.ended:
                await self._cancel(handover)

    async def _cancel(self, handover: messages.Handover) -> None:
        cancel = messages.Cancel(
            handover.request, handover.stage, handover.attempt
        )
        with contextlib.suppress(errors.PeerClosedError):
            await self.send(cancel)

    async def attach(self, link: links.Link, hello: messages.Hello) -> None:
        """Takes a new connection whose first message was `hello`."""
        self._link = link
        self.hello = hello
        self.heartbeat = None
        await self.connected.set()

    async def detach(self) -> None:
        """Forgets the connection and tells the attempts that were on it."""
        self._link = None
        self.heartbeat = None
        self.connected.clear()
        for exchange in list(self.exchanges.values()):
            await exchange.deliver(LinkLost())

    async def suspect(self) -> None:
        """Tells the open attempts that the peer has fallen silent."""
        for exchange in list(self.exchanges.values()):
            await exchange.deliver(PeerSuspected())


class PeerEvents(NamedTuple):
    """What the owner of the peers does with what they say.

    Attributes:
        heartbeat: called with the peer after each heartbeat.
        lost: called with the peer when its connection has ended.
        crash: awaited with each crash notice.
    """

    heartbeat: Callable[[Peer], None]
    lost: Callable[[Peer], None]
    crash: Callable[[messages.CrashNotice], Any]


class PeerTable:
    """Keeps a connection to each sidecar that it is told of."""

    def __init__(
        self,
        hello: messages.Hello,
        settings: Any,
        holder: snapshots.SnapshotHolder,
        events: PeerEvents,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self.peers: dict[str, Peer] = {}
        self._hello = hello
        self._settings = settings
        self._holder = holder
        self._events = events
        self._rng = rng
        self._clock = clock
        self._tasks: dict[str, curio.Task] = {}
        self.leaving = False

    def find(self, endpoint: str) -> Peer | None:
        """Returns the connected peer beside `endpoint`, or None."""
        for peer in self.peers.values():
            if peer.endpoint == endpoint and peer.connected.is_set():
                return peer
        return None

    def list_ready(self, pool: str, now: float) -> list[Peer]:
        """Returns the peers of a pool that may take new work now."""
        return [
            peer
            for peer in self.peers.values()
            if peer.may_take_work(now, self._settings.suspect_seconds)
            and peer.hello.pool == pool
        ]

    async def keep(self, address: str) -> Peer:
        """Returns the peer at `address`; starts to dial it if it is new."""
        if address not in self.peers:
            peer = Peer(address, self._holder)
            self.peers[address] = peer
            self._tasks[address] = await curio.spawn(
                self._keep_connected, peer, daemon=True
            )
        return self.peers[address]

    async def drop(self, address: str) -> None:
        """Ends the connection to a peer and forgets it."""
        task = self._tasks.pop(address)
        await task.cancel()
        peer = self.peers.pop(address)
        self._events.lost(peer)

    async def close(self) -> None:
        """Ends all connections."""
        for address in list(self._tasks):
            await self.drop(address)

    async def _keep_connected(self, peer: Peer) -> None:
        wait = FIRST_REDIAL_SECONDS
        host, _, port = peer.address.rpartition(":")
        while True:
            with contextlib.suppress(errors.TransportError, curio.TaskTimeout):
                async with links.dial(
                    host, int(port), self._settings.peer_secret
                ) as link:
                    await self._serve_link(peer, link)
                    wait = FIRST_REDIAL_SECONDS
            await curio.sleep(self._rng.uniform(wait / 2, wait))
            wait = min(wait * 2, LAST_REDIAL_SECONDS)

    async def _serve_link(self, peer: Peer, link: links.Link) -> None:
        await link.send(self._hello, self._holder.revision)
        async with curio.timeout_after(links.HANDSHAKE_SECONDS):
            frame = await link.receive()
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message is a hello")
        peer.heard_at = self._clock()
        await peer.attach(link, frame.message)
        beating = await curio.spawn(self._send_heartbeats, link, daemon=True)
        watching = await curio.spawn(self._watch_silence, peer, daemon=True)
        try:
            await self._read_frames(peer, link)
        finally:
            await beating.cancel()
            await watching.cancel()
            await peer.detach()
            self._events.lost(peer)

    async def _send_heartbeats(self, link: links.Link) -> None:
        sequence = 0
        with contextlib.suppress(errors.PeerClosedError):
            while True:
                beat = messages.Heartbeat(sequence, self.leaving)
                await link.send(beat, self._holder.revision)
                sequence += 1
                await curio.sleep(self._settings.heartbeat_seconds)

    async def _watch_silence(self, peer: Peer) -> None:
        """Tells the open attempts when the peer falls silent."""
        suspect_seconds = self._settings.suspect_seconds
        suspected = False
        while True:
            await curio.sleep(self._settings.heartbeat_seconds)
            silent = self._clock() - peer.heard_at > suspect_seconds
            if silent and not suspected:
                await peer.suspect()
            suspected = silent

    async def _read_frames(self, peer: Peer, link: links.Link) -> None:
        asked_revision = 0
        longest_silence = CLOSE_FACTOR * self._settings.suspect_seconds
        while True:
            async with curio.timeout_after(longest_silence):
                frame = await link.receive()
            peer.heard_at = self._clock()
            peer.revision = frame.revision
            newest = max(self._holder.revision, asked_revision)
            if frame.revision > newest:
                asked_revision = frame.revision
                request = messages.SnapshotRequest(self._holder.revision)
                await link.send(request, self._holder.revision)
            await self._take_message(peer, link, frame.message)

    async def _take_message(
        self, peer: Peer, link: links.Link, message: Any
    ) -> None:
        match message:
            case messages.Heartbeat():
                peer.heartbeat = message
                self._events.heartbeat(peer)
            case messages.Chunk() | messages.Result() | messages.Refusal():
                await self._deliver(peer, message)
            case messages.CrashNotice():
                await self._events.crash(message)
            case messages.Snapshot():
                self._holder.adopt(
                    configuration.Configuration(message.revision, message.value)
                )
            case messages.SnapshotRequest():
                held = self._holder.held
                if held.revision > message.known_revision:
                    snapshot = messages.Snapshot(held.revision, held.value)
                    await link.send(snapshot, held.revision)
            case _:
                raise errors.ProtocolError(
                    f"a {message.tag} does not come from a sidecar"
                )

    async def _deliver(self, peer: Peer, message: Any) -> None:
        """Gives an answer to the attempt that it names, or drops it."""
        exchange = peer.exchanges.get(message.attempt)
        if exchange is None:
            metrics.ANSWERS_DROPPED.labels(reason="late").inc()
            return
        wanted = exchange.handover
        if (message.request, message.stage) != (wanted.request, wanted.stage):
            metrics.ANSWERS_DROPPED.labels(reason="foreign").inc()
            return
        await exchange.deliver(message)
