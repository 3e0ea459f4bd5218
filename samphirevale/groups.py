"""Who does the pieces of stages: this entry, or the one that owns them."""

from collections.abc import Sequence

from samphirevale import (
    batching,
    catalogue,
    entries,
    errors,
    gathering,
    knowledge,
    messages,
    routes,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies


class Group:
    """Implements stages.StageGroup and entries.PieceServer.

    Attributes:
        table: the other entries; set once they can be reached.
    """

    def __init__(
        self,
        gatherer: gathering.Gatherer,
        known: knowledge.Knowledge,
        clock: clocks.Clock,
    ):
        self.table: entries.EntryTable | None = None
        self._gatherer = gatherer
        self._knowledge = known
        self._clock = clock
        # The entry that has had a result made, by the result's name.
        self._makers: dict[str, str] = {}

    def _find_owner(self, endpoint: catalogue.Endpoint) -> entries.Entry | None:
        """Returns the other entry that owns an endpoint, or None."""
        if self.table is None:
            return None
        return self.table.linked.get(self._knowledge.find_owner(endpoint))

    async def run_items(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Returns the items' results in order."""
        owner = self._find_owner(endpoint)
        if owner is None:
            return await self._gatherer.run_items(endpoint, limits, items)
        results = await self.table.run_pieces(owner, endpoint, items)
        for made in results:
            if made.result:
                self._makers[made.result] = owner.hello.instance
        return results

    async def release(
        self, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Frees results; returns at once."""
        makers = {self._makers.pop(name, "") for name in names}
        for maker in makers - {""}:
            owner = self.table.linked.get(maker)
            try:
                if owner is not None:
                    await self.table.release(owner, endpoint, names)
                    return
            except errors.PeerClosedError:
                # The link's end is logged; this entry frees them itself.
                break
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
        owner = self._find_owner(endpoint)
        state = None
        if owner is not None:
            state = owner.read_state(endpoint.name)
        if state is None:
            state = self._gatherer.read_state(endpoint, limits, now)
        return batching.estimate_seconds(state, limits, items, result_bytes)

    def describe_queues(self, now: float) -> list[list]:
        """Returns the state of the queues of this entry, for its report."""
        return [
            [name, *state]
            for name, state in self._gatherer.read_states(now).items()
        ]

    async def serve_pieces(
        self, pieces: messages.Pieces
    ) -> list[proxies.ItemResult]:
        """Does pieces for another entry; returns their results in order."""
        endpoint = self._knowledge.catalogue.find(pieces.endpoint)
        limits = None
        if endpoint is not None and endpoint.accepting:
            limits = self._knowledge.find_batch_limits(endpoint.service)
        if limits is None:
            return [proxies.ItemResult("", gathering.UNSENT)] * len(
                pieces.segments
            )
        now = self._clock.now()
        items = [
            batching.Item(
                pieces.attempt,
                pieces.stage,
                segment,
                pieces.key,
                tuple(pieces.inputs),
                pieces.result_bytes,
                now + pieces.due_ms / 1000,
                now + pieces.remaining_ms / 1000,
                pieces.rank,
                None,
            )
            for segment in pieces.segments
        ]
        return await self._gatherer.run_items(endpoint, limits, items)

    async def release_results(self, released: messages.ResultsReleased) -> None:
        """Frees results for another entry."""
        endpoint = self._knowledge.catalogue.find(released.endpoint)
        if endpoint is not None:
            await self._gatherer.release(endpoint, released.results)
