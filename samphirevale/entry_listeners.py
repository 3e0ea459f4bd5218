"""What an entry needs of its parts to serve and to heed other entries."""

from collections.abc import Iterable
from typing import Protocol

from samphirevale import entry_messages
from samphirevale.ports import proxies


class ItemServer(Protocol):
    """Runs items for other entries."""

    async def serve_items(
        self, pieces: entry_messages.ItemsRequest
    ) -> list[proxies.ItemResult]:
        """Runs items and returns their results in the same order."""

    async def release_results(
        self, released: entry_messages.ResultsReleased
    ) -> None:
        """Releases results."""

    def describe_queue(self, endpoint: str, now: float) -> list:
        """Returns the fields of a queue's state; empty without a queue."""


class NoticeListener(Protocol):
    """Learns what other entries know of endpoints that ask for less."""

    def build_leaving(self) -> entry_messages.EndpointsLeaving:
        """Returns all endpoints that leave, for an entry that connects."""

    async def adopt_leaving(
        self, entry: str, message: entry_messages.EndpointsLeaving
    ) -> None:
        """Adopts the endpoints that leave according to another entry."""

    def adopt_pauses(self, pauses: Iterable[list]) -> None:
        """Adopts the pauses that another entry reports."""

    def adopt_limits(self, entry: str, limits: Iterable[list]) -> None:
        """Adopts the limits that another entry reports."""


class CrashListener(Protocol):
    """Learns what other entries know of requests that crash endpoints."""

    def build_evidence(self) -> entry_messages.CrashEvidence:
        """Returns all that is known, for an entry that connects."""

    def adopt_evidence(
        self, entry: str, message: entry_messages.CrashEvidence
    ) -> None:
        """Adopts what another entry knows of crashes and answers."""
