"""Who does the pieces of stages: this entry, or the one that owns them."""

from collections.abc import Sequence

from samphirevale import batching, catalogue, gathering, knowledge, routes
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# What an endpoint counts as that has just failed, in seconds.
AVOIDED_SECONDS = 2.0


class Group:
    """Implements stages.StageGroup."""

    def __init__(
        self,
        gatherer: gathering.Gatherer,
        known: knowledge.Knowledge,
        clock: clocks.Clock,
    ):
        self._gatherer = gatherer
        self._knowledge = known
        self._clock = clock

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Returns the items' results in order."""
        return await self._gatherer.run_items(endpoint, limits, items)

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Frees results; returns at once."""
        await self._gatherer.release(endpoint, names)

    def estimate_seconds(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: int,
        result_bytes: int,
        now: float,
    ) -> float:
        """Returns when new items should be done, in seconds from now."""
        queue = self._gatherer.find_queue(endpoint, limits)
        seconds = queue.estimate_seconds(items, result_bytes, now)
        if self._gatherer.is_avoided(endpoint, now):
            seconds += AVOIDED_SECONDS
        return seconds
