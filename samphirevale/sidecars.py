"""The sidecars as an entry sees them: connections, and attempts on them."""

import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, NamedTuple

import curio

from samphirevale import (
    configuration,
    errors,
    invariants,
    membership,
    messages,
    metrics,
    prefixes,
    snapshots,
)
from samphirevale.adapters import link as links
from samphirevale.ports import objects

# A silent connection is closed after this many times `suspect_seconds`.
CLOSE_FACTOR = 3.0


class LinkLost(NamedTuple):
    """Put among an attempt's messages when its connection has ended."""


class PeerSuspected(NamedTuple):
    """Put among an attempt's messages when its peer has fallen silent."""


class InputSuspected(NamedTuple):
    """Put among an attempt's messages when its input crashed elsewhere."""


# What an attempt is told besides its peer's messages.
NOTES = (LinkLost, PeerSuspected, InputSuspected)


class Exchange:
    """One attempt on a peer: the messages that come back for it."""

    def __init__(self, peer: "Peer", handover: messages.Handover):
        self.peer = peer
        self.handover = handover
        self.incarnation = peer.incarnation
        self.ended = False
        self._incoming = curio.Queue()

    async def receive(self) -> Any:
        """Returns the next message, or one of the NOTES."""
        message = await self._incoming.get()
        if isinstance(message, NOTES):
            return message
        wanted = self.handover
        invariants.check(
            invariants.OWN_RESULT,
            message[:3] == (wanted.request, wanted.stage, wanted.attempt),
            wanted=wanted.attempt,
            received=message[:3],
        )
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
        revision: the configuration revision that its last frame told.
        member: what membership.py decides from.
    """

    def __init__(self, address: str, holder: snapshots.SnapshotHolder):
        self.address = address
        self.hello: messages.Hello | None = None
        self.heartbeat: messages.Heartbeat | None = None
        self.revision = 0
        host, _, port = address.rpartition(":")
        self.member = membership.Peer(address, host, int(port or 0))
        self.exchanges: dict[str, Exchange] = {}
        self.connected = curio.Event()
        self._link: links.Link | None = None
        self._prefixes = prefixes.Receiver()
        self._holder = holder

    @property
    def endpoint(self) -> str:
        """The endpoint beside it; empty until it was connected once."""
        return self.hello.endpoint if self.hello else ""

    @property
    def incarnation(self) -> str:
        """The token of its process; empty until it was connected once."""
        return self.hello.incarnation if self.hello else ""

    @property
    def heard_at(self) -> float:
        """When it was last heard of, in monotonic seconds."""
        return self.member.heard_at

    @property
    def is_leaving(self) -> bool:
        """Whether it, or the platform's list, says that it is leaving."""
        return self.member.leaving or self.member.list_leaving

    def may_take_work(self, now: float, suspect_seconds: float) -> bool:
        """Tells whether new attempts may be handed to it."""
        if self._link is None or self.heartbeat is None:
            return False
        if not membership.may_take_new_work(self.member, now, suspect_seconds):
            return False
        return self.heartbeat.healthy

    def take_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Takes in a heartbeat as it came over the wire."""
        self.heartbeat = self._prefixes.restore(heartbeat)

    def note_frame(
        self, message: Any, now: float, suspect_seconds: float
    ) -> None:
        """Takes in that a frame has come.

        After a silence only heartbeats make the peer trusted again.
        """
        if isinstance(message, messages.Heartbeat):
            self.member = membership.mark_heartbeat(
                self.member, message.leaving, now, suspect_seconds
            )
        elif not membership.is_suspected(self.member, now, suspect_seconds):
            self.member = self.member._replace(heard_at=now)

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

    async def attach(
        self, link: links.Link, hello: messages.Hello, now: float
    ) -> None:
        """Takes a new connection whose first message was `hello`."""
        self.member = membership.mark_connected(
            self.member, hello.incarnation, now
        )
        self._link = link
        self._prefixes = prefixes.Receiver()
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
        # By pool and address, and by endpoint, of those once connected.
        self._by_pool: dict[str, dict[str, Peer]] = {}
        self._by_endpoint: dict[str, Peer] = {}
        self.leaving = False

    def find(self, endpoint: str) -> Peer | None:
        """Returns the connected peer beside `endpoint`, or None."""
        peer = self._by_endpoint.get(endpoint)
        return peer if peer and peer.connected.is_set() else None

    def list_ready(self, pool: str, now: float) -> list[Peer]:
        """Returns the peers of a pool that may take new work now."""
        return [
            peer
            for peer in self._by_pool.get(pool, {}).values()
            if peer.may_take_work(now, self._settings.suspect_seconds)
        ]

    def enroll(self, peer: Peer) -> None:
        """Takes in what a peer's hello says of its endpoint and pool."""
        self._withdraw(peer)
        self._by_endpoint[peer.endpoint] = peer
        pool = self._by_pool.setdefault(peer.hello.pool, {})
        pool[peer.address] = peer

    def _withdraw(self, peer: Peer) -> None:
        for pool in self._by_pool.values():
            pool.pop(peer.address, None)
        # Its endpoint may be another one than when it was enrolled.
        for name, held in list(self._by_endpoint.items()):
            if held is peer:
                del self._by_endpoint[name]

    async def suspect_input(self, notice: messages.CrashNotice) -> None:
        """Tells the other open attempts of an input that it has crashed one.

        They may be copies that began before the crash was known.
        """
        exchanges = [
            exchange
            for peer in self.peers.values()
            for exchange in peer.exchanges.values()
        ]
        for exchange in exchanges:
            handover = exchange.handover
            is_other = handover.attempt != notice.attempt
            if is_other and handover.fingerprint == notice.fingerprint:
                await exchange.deliver(InputSuspected())

    async def adopt_list(
        self, listed: Iterable[objects.ListedInstance]
    ) -> None:
        """Takes over a reading of the platform's list.

        Peers are told apart by their addresses, so that one that is known
        from the settings and from the list is dialled once.
        """
        by_address = [
            item._replace(name=f"{item.host}:{item.peer_port}")
            for item in listed
        ]
        members = {name: peer.member for name, peer in self.peers.items()}
        adopted = membership.adopt_list(members, by_address, self._clock())
        # Without a wait in between, in which a heartbeat could be taken in
        # and then be overwritten.
        for address in set(self.peers) & set(adopted):
            self.peers[address].member = adopted[address]
        for address in set(self.peers) - set(adopted):
            await self._drop(address)
        for address in set(adopted) - set(self.peers):
            await self._add(address, adopted[address])

    async def add_known(self, addresses: Iterable[str]) -> None:
        """Dials sidecars that the settings name."""
        for address in addresses:
            await self._add(address)

    async def _add(
        self, address: str, member: membership.Peer | None = None
    ) -> None:
        peer = Peer(address, self._holder)
        if member is not None:
            peer.member = member
        self.peers[address] = peer
        self._tasks[address] = await curio.spawn(
            self._keep_connected, peer, daemon=True
        )

    async def _drop(self, address: str) -> None:
        """Ends the connection to a peer and forgets it."""
        task = self._tasks.pop(address)
        await task.cancel()
        peer = self.peers.pop(address)
        self._withdraw(peer)
        self._events.lost(peer)

    async def close(self) -> None:
        """Ends all connections."""
        for address in list(self._tasks):
            await self._drop(address)

    async def _keep_connected(self, peer: Peer) -> None:
        secret = self._settings.peer_secret
        while True:
            member = peer.member
            try:
                async with links.dial(member.host, member.port, secret) as link:
                    await self._serve_link(peer, link)
            except (errors.TransportError, curio.TaskTimeout):
                pass
            if not peer.member.connected:
                peer.member = membership.mark_dial_failed(
                    peer.member, self._clock(), self._rng
                )
            else:
                peer.member = membership.mark_disconnected(
                    peer.member, self._clock(), self._rng
                )
            await curio.sleep(max(peer.member.dial_at - self._clock(), 0))

    async def _serve_link(self, peer: Peer, link: links.Link) -> None:
        await link.send(self._hello, self._holder.revision)
        async with curio.timeout_after(links.HANDSHAKE_SECONDS):
            frame = await link.receive()
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message is a hello")
        await peer.attach(link, frame.message, self._clock())
        self.enroll(peer)
        tending = await curio.spawn(self._tend_link, peer, link, daemon=True)
        try:
            await self._read_frames(peer, link)
        finally:
            await tending.cancel()
            await peer.detach()
            self._events.lost(peer)

    async def _tend_link(self, peer: Peer, link: links.Link) -> None:
        """Sends heartbeats, and tells the open attempts of a silence."""
        suspect_seconds = self._settings.suspect_seconds
        suspected = False
        for sequence in itertools.count():
            # On a link that broke, silence is watched until it is detached.
            with contextlib.suppress(errors.PeerClosedError):
                beat = messages.Heartbeat(sequence, self.leaving)
                await link.send(beat, self._holder.revision)
            await curio.sleep(self._settings.heartbeat_seconds)
            silent = membership.is_suspected(
                peer.member, self._clock(), suspect_seconds
            )
            if silent and not suspected:
                await peer.suspect()
            suspected = silent

    async def _read_frames(self, peer: Peer, link: links.Link) -> None:
        asked_revision = 0
        suspect_seconds = self._settings.suspect_seconds
        longest_silence = CLOSE_FACTOR * suspect_seconds
        while True:
            async with curio.timeout_after(longest_silence):
                frame = await link.receive()
            peer.revision = frame.revision
            peer.note_frame(frame.message, self._clock(), suspect_seconds)
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
                peer.take_heartbeat(message)
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
