"""The entries that are connected to a sidecar."""

import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import curio

from samphirevale import errors, messages, prefixes

# The most messages that wait to be sent to one entry; one that reads so
# slowly is taken for gone.
OUTBOX_LIMIT = 8192

# The longest wait for the last messages to one entry, in seconds.
FLUSH_SECONDS = 1.0

# Interval between looks at whether they are sent, in seconds.
FLUSH_CHECK_SECONDS = 0.01

# The shortest time between two snapshot requests to one entry, in seconds.
REQUEST_SECONDS = 0.2


class Peer:
    """One connected entry. Any task posts; one task sends.

    Messages go through a queue, so that a task that is cancelled while it
    posts can never leave half a frame on the connection.

    Attributes:
        hello: what the entry said of itself.
        sequences: numbers the heartbeats to it.
        prefixes: which cached prefixes it has been told.
        requested_at: when its snapshot was last asked for.
    """

    def __init__(self, link: Any, hello: messages.Hello):
        self._link = link
        self.hello = hello
        self.requested_at = float("-inf")
        self.sequences = itertools.count()
        self.prefixes = prefixes.Sender()
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
        """Sends what is posted until cancelled or the connection ends."""
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
        """Waits until all that was posted is sent, for a short time."""
        async with curio.ignore_after(FLUSH_SECONDS):
            while self._unsent and not self._closed:
                await curio.sleep(FLUSH_CHECK_SECONDS)

    def is_closed(self) -> bool:
        """Tells whether nothing more can be sent."""
        return self._closed

    def may_request(self, now: float) -> bool:
        """Tells whether to ask for a snapshot now, and notes that it is."""
        if now - self.requested_at < REQUEST_SECONDS:
            return False
        self.requested_at = now
        return True

    def close(self) -> None:
        """Takes no more messages."""
        self._closed = True


class PeerSet:
    """The entries that are connected now."""

    def __init__(self):
        self._peers: set[Peer] = set()

    def __len__(self) -> int:
        """Returns how many are connected."""
        return len(self._peers)

    @contextlib.contextmanager
    def registered(self, peer: Peer) -> Iterator[None]:
        """Holds a peer as connected during the block."""
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
        """Waits until all that was posted is sent, for a short time each."""
        for peer in self.list_all():
            await peer.flush()

    def list_all(self) -> list[Peer]:
        """Returns the connected entries."""
        return list(self._peers)

    def list_names(self) -> list[str]:
        """Returns the names of the connected entries, in order."""
        return sorted(peer.hello.instance for peer in self._peers)
