"""Remembers which version of a service's software began each stream.

What endpoints of two versions write does not fit together, so that a stream may
go on only at the version that began it. A caller may take a stream up at any
entry. The entry that has its first event therefore tells a few others, its
holders, and an entry that does not know a stream asks them.
"""

from collections.abc import Collection
from typing import NamedTuple, Protocol

import curio

from samphirevale import hash_order
from samphirevale.ports import clock as clocks

# The number of other entries that are told of a stream.
HOLDERS = 3

# The number of entries that are asked for a stream. As entries come and go,
# its holders may not be the first ones any more.
ASKED = HOLDERS + 2

# The timeout of the answers of the asked entries, in seconds.
ASK_SECONDS = 0.25

# The version of a stream that began at a start of an endpoint which nobody
# knows. It may go on nowhere. As it is not printable, no endpoint registers it.
UNKNOWN_VERSION = "\0"

# The largest number of streams that an entry remembers.
STREAMS_LIMIT = 20_000


class StreamOrigin(NamedTuple):
    """Where a stream began.

    Attributes:
        service: the service of the endpoint that began it.
        version: the version of that endpoint's software; UNKNOWN_VERSION if
            nobody knows it.
    """

    service: str
    version: str

    def is_known(self) -> bool:
        """Returns whether the version is known."""
        return self.version != UNKNOWN_VERSION


class _Remembered(NamedTuple):
    origin: StreamOrigin
    until: float


class StreamOrigins:
    """The streams of which one entry knows where they began.

    A stream is identified by the attempt that brought its first event.
    """

    def __init__(self):
        self._by_attempt: dict[str, _Remembered] = {}

    def __len__(self) -> int:
        """Returns the number of remembered streams."""
        return len(self._by_attempt)

    def record(self, attempt: str, origin: StreamOrigin, until: float) -> None:
        """Remembers a stream until a time, at least if there is room."""
        self._by_attempt.pop(attempt, None)
        if len(self._by_attempt) >= STREAMS_LIMIT:
            del self._by_attempt[next(iter(self._by_attempt))]
        self._by_attempt[attempt] = _Remembered(origin, until)

    def find(self, attempt: str, now: float) -> StreamOrigin | None:
        """Returns where a stream began, or None if that is unknown."""
        found = self._by_attempt.get(attempt)
        if found is None or found.until <= now:
            return None
        return found.origin

    def remove_expired(self, now: float) -> None:
        """Forgets the streams whose time is over."""
        expired = [
            attempt
            for attempt, found in self._by_attempt.items()
            if found.until <= now
        ]
        for attempt in expired:
            del self._by_attempt[attempt]


class OriginLinks(Protocol):
    """Exchanges the origins of streams with other entries."""

    def list_linked(self) -> Collection[str]:
        """Returns the names of the entries with an open link."""

    async def tell_origin(
        self, name: str, attempt: str, origin: StreamOrigin, seconds: float
    ) -> None:
        """Tells an entry where a stream began, to remember for a time."""

    async def ask_origin(self, name: str, attempt: str) -> StreamOrigin | None:
        """Asks an entry; returns None if it does not answer or know."""


class OriginDirectory:
    """Records and finds the origins of streams over all entries."""

    def __init__(
        self, origins: StreamOrigins, links: OriginLinks, clock: clocks.Clock
    ):
        self._origins = origins
        self._links = links
        self._clock = clock

    async def record(
        self, attempt: str, origin: StreamOrigin, until: float
    ) -> None:
        """Remembers a stream here and at its holders."""
        self._origins.record(attempt, origin, until)
        seconds = until - self._clock.now()
        names = hash_order.order_by_hash(attempt, self._links.list_linked())
        for name in names[:HOLDERS]:
            await self._links.tell_origin(name, attempt, origin, seconds)

    async def find(self, attempt: str) -> StreamOrigin | None:
        """Returns where a stream began, or None if no entry tells it."""
        if not attempt:
            return None
        known = self._origins.find(attempt, self._clock.now())
        return known or await self.find_elsewhere(attempt)

    async def find_elsewhere(self, attempt: str) -> StreamOrigin | None:
        """Returns where a stream began; None if no other entry tells it."""
        names = hash_order.order_by_hash(attempt, self._links.list_linked())
        async with curio.TaskGroup(wait=object) as group:
            for name in names[:ASKED]:
                await group.spawn(self._ask, name, attempt)
        return group.result if group.completed else None

    async def _ask(self, name: str, attempt: str) -> StreamOrigin | None:
        """Asks one entry; returns None if it does not tell it in time.

        Each question has its own timeout. One for all of them could end while
        the group, with an answer, cancels the others.
        """
        async with curio.ignore_after(ASK_SECONDS):
            return await self._links.ask_origin(name, attempt)
        return None
