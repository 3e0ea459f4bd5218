"""The entries that are connected to a sidecar."""

import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import curio

from samphirevale import errors, messages, prefixes

# Maximum number of unsent messages for one entry. An entry that reads too
# slowly to stay below it is treated as disconnected.
OUTBOX_LIMIT = 8192

# Longest wait for the unsent messages to one entry, in seconds.
FLUSH_SECONDS = 1.0

# Interval between checks whether they have been sent, in seconds.
FLUSH_POLL_SECONDS = 0.01

# Minimum interval between two snapshot requests to one entry, in seconds.
SNAPSHOT_REQUEST_SECONDS = 0.2


class Peer:
    """One connected entry.

    Any task may post messages; a single task sends them. The queue in between
    ensures that a task cancelled while posting cannot leave a partial frame
    on the connection.

    Attributes:
        hello: the entry's hello message.
        sequences: sequence numbers of the heartbeats to the entry.
        prefixes: encoder of the cached prefixes in heartbeats to the entry.
        requested_at: when a snapshot was last requested from the entry, in
            monotonic seconds.
    """

    def __init__(self, link: Any, hello: messages.Hello):
        self._link = link
        self.hello = hello
        self.requested_at = float("-inf")
        self.sequences = itertools.count()
        self.prefixes = prefixes.PrefixEncoder()
        self._outbox = curio.Queue()
        self._unsent = 0
        self._closed = False

    async def post(self, message: Any) -> bool:
        """Queues a message; returns False if the connection has ended."""
        if self._closed:
            return False
        if self._unsent >= OUTBOX_LIMIT:
            self._closed = True
            return False
        self._unsent += 1
        await self._outbox.put(message)
        return True

    async def run_sender(self, read_revision: Callable[[], int]) -> None:
        """Sends posted messages until cancelled or the connection ends."""
        try:
            while not self._closed:
                message = await self._outbox.get()
                await self._link.send(message, read_revision())
                self._unsent -= 1
        except errors.PeerClosedError:
            return
        finally:
            self._closed = True

    async def flush(self) -> None:
        """Waits up to FLUSH_SECONDS until all posted messages are sent."""
        async with curio.ignore_after(FLUSH_SECONDS):
            while self._unsent and not self._closed:
                await curio.sleep(FLUSH_POLL_SECONDS)

    def is_closed(self) -> bool:
        """Returns whether no more messages can be sent."""
        return self._closed

    def try_start_snapshot_request(self, now: float) -> bool:
        """Returns whether a snapshot may be requested now.

        If so, records the time of the request.
        """
        if now - self.requested_at < SNAPSHOT_REQUEST_SECONDS:
            return False
        self.requested_at = now
        return True

    def close(self) -> None:
        """Stops accepting and sending messages."""
        self._closed = True


class PeerSet:
    """The connected entries."""

    def __init__(self):
        self._peers: set[Peer] = set()

    def __len__(self) -> int:
        """Returns the number of connected entries."""
        return len(self._peers)

    @contextlib.contextmanager
    def registering(self, peer: Peer) -> Iterator[None]:
        """Lists a peer as connected during the block, then closes it."""
        self._peers.add(peer)
        try:
            yield
        finally:
            self._peers.discard(peer)
            peer.close()

    async def post_to_all(self, message: Any) -> None:
        """Queues a message to every connected entry."""
        for peer in self.list_all():
            await peer.post(message)

    async def flush(self) -> None:
        """Waits for each entry's posted messages, up to FLUSH_SECONDS each."""
        for peer in self.list_all():
            await peer.flush()

    def list_all(self) -> list[Peer]:
        """Returns the connected entries."""
        return list(self._peers)

    def list_names(self) -> list[str]:
        """Returns the sorted names of the connected entries."""
        return sorted(peer.hello.instance for peer in self._peers)
