"""What the stages of a request need of those that run their items."""

from collections.abc import Sequence
from typing import Protocol

from samphirevale import batching, catalogue, routes
from samphirevale.ports import proxies


class ItemRunner(Protocol):
    """Runs items at an endpoint, directly or through the entry that owns it."""

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Runs items and returns their results in the same order."""

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Starts the release of results and returns without waiting for it."""

    def estimate_seconds(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        work: batching.NewItems,
        now: float,
    ) -> float:
        """Returns the estimated completion time, in seconds from now."""
