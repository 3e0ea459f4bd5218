"""An entry's connections to sidecars, and the attempts in flight on them."""

import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, NamedTuple

import curio

from samphirevale import (
    configuration,
    configuration_holder,
    errors,
    invariants,
    membership,
    messages,
    metrics,
    prefixes,
)
from samphirevale.adapters import link as links
from samphirevale.ports import objects

# A silent connection is closed after this multiple of `suspect_seconds`.
CLOSE_FACTOR = 3.0


class LinkLost(NamedTuple):
    """Delivered to an attempt when its connection has ended."""


class PeerSuspected(NamedTuple):
    """Delivered to an attempt when its peer has fallen silent."""


class InputCrashed(NamedTuple):
    """Delivered to an attempt when its input has crashed another endpoint."""


# Local events that are delivered among the messages of the peer.
LOCAL_EVENTS = (LinkLost, PeerSuspected, InputCrashed)


class Exchange:
    """One attempt on a peer, and the queue of messages received for it."""

    def __init__(self, peer: "Peer", handover: messages.Handover):
        self.peer = peer
        self.handover = handover
        self.incarnation = peer.incarnation
        self.ended = False
        self._incoming = curio.Queue()

    async def receive(self) -> Any:
        """Returns the next message, or one of `LOCAL_EVENTS`."""
        message = await self._incoming.get()
        if isinstance(message, LOCAL_EVENTS):
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
        """Adds a message or local event to the attempt's queue."""
        await self._incoming.put(message)

    async def resend(self) -> None:
        """Hands the same attempt over again after a lost connection.

        Raises:
            errors.PeerClosedError: the connection was lost again.
        """
        await self.peer.send(self.handover)


class Peer:
    """One sidecar.

    Attributes:
        address: `host:port`, from the settings or the platform's list.
        hello: the last hello; None before the first connection.
        heartbeat: the last heartbeat on this connection, or None.
        revision: configuration revision in the last frame.
        member: the membership state.
        exchanges: the in-flight attempts, by id.
        connected: set while there is a connection.
    """

    def __init__(
        self, address: str, holder: configuration_holder.ConfigurationHolder
    ):
        self.address = address
        self.hello: messages.Hello | None = None
        self.heartbeat: messages.Heartbeat | None = None
        self.revision = 0
        host, _, port = address.rpartition(":")
        self.member = membership.PeerState(address, host, int(port or 0))
        self.exchanges: dict[str, Exchange] = {}
        self.connected = curio.Event()
        self._link: links.Link | None = None
        self._prefixes = prefixes.PrefixDecoder()
        self._holder = holder

    @property
    def endpoint(self) -> str:
        """The sidecar's endpoint; empty before the first connection."""
        return self.hello.endpoint if self.hello else ""

    @property
    def incarnation(self) -> str:
        """The token of the process; empty before the first connection."""
        return self.hello.incarnation if self.hello else ""

    @property
    def heard_at(self) -> float:
        """When the last frame arrived, as in `membership.PeerState`."""
        return self.member.heard_at

    @property
    def is_leaving(self) -> bool:
        """Whether the sidecar or the platform's list says it is leaving."""
        return self.member.leaving or self.member.list_leaving

    def may_get_work(self, now: float, suspect_seconds: float) -> bool:
        """Returns whether new attempts may be handed to the sidecar."""
        if self._link is None or self.heartbeat is None:
            return False
        if not membership.may_get_work(self.member, now, suspect_seconds):
            return False
        return self.heartbeat.healthy

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Records a received heartbeat, with its prefixes decoded."""
        self.heartbeat = self._prefixes.decode(heartbeat)

    def record_frame(
        self, message: Any, now: float, suspect_seconds: float
    ) -> None:
        """Records that a frame has arrived.

        While the peer is suspected, other frames than heartbeats are ignored.
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
            errors.PeerClosedError: there is no connection, or it was lost.
        """
        if self._link is None:
            raise errors.PeerClosedError(f"{self.address}: not connected")
        await self._link.send(message, self._holder.revision)

    @contextlib.asynccontextmanager
    async def open_exchange(
        self, handover: messages.Handover
    ) -> AsyncIterator[Exchange]:
        """Hands an attempt over; cancels it if it has not ended on exit.

        Raises:
            errors.PeerClosedError: certainly nothing was handed over.
        """
        if self._link is None:
            raise errors.PeerClosedError(f"{self.address}: not connected")
        exchange = Exchange(self, handover)
        self.exchanges[handover.attempt] = exchange
        try:
            # The sidecar may have received the message of a failed send. The
            # failure is therefore treated as a lost connection, not as a
            # handover that did not happen.
            try:
                await self.send(handover)
            except errors.PeerClosedError:
                await exchange.deliver(LinkLost())
            yield exchange
        finally:
            del self.exchanges[handover.attempt]
            if not exchange.ended:
                await self._send_cancel(handover)

    async def _send_cancel(self, handover: messages.Handover) -> None:
        cancel = messages.Cancel(
            handover.request, handover.stage, handover.attempt
        )
        with contextlib.suppress(errors.PeerClosedError):
            await self.send(cancel)

    async def attach(
        self, link: links.Link, hello: messages.Hello, now: float
    ) -> None:
        """Sets a new connection, whose first message was `hello`."""
        self.member = membership.mark_connected(
            self.member, hello.incarnation, now
        )
        self._link = link
        self._prefixes = prefixes.PrefixDecoder()
        self.hello = hello
        self.heartbeat = None
        await self.connected.set()

    async def detach(self) -> None:
        """Removes the connection and notifies its in-flight attempts."""
        self._link = None
        self.heartbeat = None
        self.connected.clear()
        for exchange in list(self.exchanges.values()):
            await exchange.deliver(LinkLost())

    async def notify_suspected(self) -> None:
        """Notifies the in-flight attempts that the peer has fallen silent."""
        for exchange in list(self.exchanges.values()):
            await exchange.deliver(PeerSuspected())


class PeerEvents(NamedTuple):
    """Callbacks for the events of peers.

    Attributes:
        heartbeat: called with the peer after each heartbeat.
        lost: called with the peer when its connection has ended.
        crash: awaited with each crash notice.
    """

    heartbeat: Callable[[Peer], None]
    lost: Callable[[Peer], None]
    crash: Callable[[messages.CrashNotice], Any]


class PeerTable:
    """Keeps a connection to each known sidecar.

    Attributes:
        peers: the sidecars by address.
        leaving: the `leaving` flag in the heartbeats that are sent.
    """

    def __init__(
        self,
        hello: messages.Hello,
        settings: Any,
        holder: configuration_holder.ConfigurationHolder,
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
        # Peers that have connected, by pool and address and by endpoint.
        self._by_pool: dict[str, dict[str, Peer]] = {}
        self._by_endpoint: dict[str, Peer] = {}
        self.leaving = False

    def find(self, endpoint: str) -> Peer | None:
        """Returns the connected sidecar of `endpoint`, or None."""
        peer = self._by_endpoint.get(endpoint)
        return peer if peer and peer.connected.is_set() else None

    def list_ready(self, pool: str, now: float) -> list[Peer]:
        """Returns the peers of a pool that may get new work now."""
        return [
            peer
            for peer in self._by_pool.get(pool, {}).values()
            if peer.may_get_work(now, self._settings.suspect_seconds)
        ]

    def index_peer(self, peer: Peer) -> None:
        """Indexes a peer by the endpoint and pool in its hello."""
        self._remove_from_indices(peer)
        self._by_endpoint[peer.endpoint] = peer
        pool = self._by_pool.setdefault(peer.hello.pool, {})
        pool[peer.address] = peer

    def _remove_from_indices(self, peer: Peer) -> None:
        for pool in self._by_pool.values():
            pool.pop(peer.address, None)
        # The last hello may name another endpoint than the indexed one.
        for name, indexed in list(self._by_endpoint.items()):
            if indexed is peer:
                del self._by_endpoint[name]

    async def notify_input_crash(self, notice: messages.CrashNotice) -> None:
        """Notifies the other in-flight attempts of an input that crashed.

        Copies of the input may have started before the crash was known.
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
                await exchange.deliver(InputCrashed())

    async def update_from_list(
        self, listed: Iterable[objects.ListedInstance]
    ) -> None:
        """Updates the peers from a read of the platform's list.

        Peers are identified by address, so a sidecar that is named by both
        the settings and the list is dialled only once.
        """
        by_address = [
            item._replace(name=f"{item.host}:{item.peer_port}")
            for item in listed
        ]
        members = {name: peer.member for name, peer in self.peers.items()}
        updated = membership.update_from_list(
            members, by_address, self._clock()
        )
        # This loop must not await: a heartbeat recorded in the meantime would
        # be overwritten.
        for address in set(self.peers) & set(updated):
            self.peers[address].member = updated[address]
        for address in set(self.peers) - set(updated):
            await self._remove(address)
        for address in set(updated) - set(self.peers):
            await self._add(address, updated[address])

    async def add_configured(self, addresses: Iterable[str]) -> None:
        """Adds the sidecars that the settings name."""
        for address in addresses:
            await self._add(address)

    async def _add(
        self, address: str, member: membership.PeerState | None = None
    ) -> None:
        peer = Peer(address, self._holder)
        if member is not None:
            peer.member = member
        self.peers[address] = peer
        self._tasks[address] = await curio.spawn(
            self._keep_connected, peer, daemon=True
        )

    async def _remove(self, address: str) -> None:
        """Closes the connection to a peer and removes it."""
        task = self._tasks.pop(address)
        await task.cancel()
        peer = self.peers.pop(address)
        self._remove_from_indices(peer)
        self._events.lost(peer)

    async def close(self) -> None:
        """Closes all connections."""
        for address in list(self._tasks):
            await self._remove(address)

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
            raise errors.ProtocolError("expected a hello as the first message")
        await peer.attach(link, frame.message, self._clock())
        self.index_peer(peer)
        heartbeat_task = await curio.spawn(
            self._send_heartbeats, peer, link, daemon=True
        )
        try:
            await self._read_frames(peer, link)
        finally:
            await heartbeat_task.cancel()
            await peer.detach()
            self._events.lost(peer)

    async def _send_heartbeats(self, peer: Peer, link: links.Link) -> None:
        """Sends heartbeats, and notifies in-flight attempts of a silence."""
        suspect_seconds = self._settings.suspect_seconds
        suspected = False
        for sequence in itertools.count():
            # After a failed send, silence is still monitored until `detach`.
            with contextlib.suppress(errors.PeerClosedError):
                beat = messages.Heartbeat(sequence, self.leaving)
                await link.send(beat, self._holder.revision)
            await curio.sleep(self._settings.heartbeat_seconds)
            silent = membership.is_suspected(
                peer.member, self._clock(), suspect_seconds
            )
            if silent and not suspected:
                await peer.notify_suspected()
            suspected = silent

    async def _read_frames(self, peer: Peer, link: links.Link) -> None:
        requested_revision = 0
        suspect_seconds = self._settings.suspect_seconds
        timeout_seconds = CLOSE_FACTOR * suspect_seconds
        while True:
            async with curio.timeout_after(timeout_seconds):
                frame = await link.receive()
            peer.revision = frame.revision
            peer.record_frame(frame.message, self._clock(), suspect_seconds)
            newest = max(self._holder.revision, requested_revision)
            if frame.revision > newest:
                requested_revision = frame.revision
                request = messages.SnapshotRequest(self._holder.revision)
                await link.send(request, self._holder.revision)
            await self._handle_message(peer, link, frame.message)

    async def _handle_message(
        self, peer: Peer, link: links.Link, message: Any
    ) -> None:
        match message:
            case messages.Heartbeat():
                peer.record_heartbeat(message)
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
                    f"unexpected {message.tag} from a sidecar"
                )

    async def _deliver(self, peer: Peer, message: Any) -> None:
        """Delivers an answer to its attempt, or drops it if there is none."""
        exchange = peer.exchanges.get(message.attempt)
        if exchange is None:
            metrics.ANSWERS_DROPPED.labels(reason="late").inc()
            return
        wanted = exchange.handover
        if (message.request, message.stage) != (wanted.request, wanted.stage):
            metrics.ANSWERS_DROPPED.labels(reason="foreign").inc()
            return
        await exchange.deliver(message)
