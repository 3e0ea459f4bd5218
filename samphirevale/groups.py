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

# Weight of a new measurement in the smoothed ratio of real to expected time,
# the ratio before the first one, and the bounds of one measurement.
RATIO_WEIGHT = 0.05
FIRST_RATIO = 1.2
RATIO_BOUNDS = (0.5, 4.0)


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
        # How much longer than expected pieces take, by service.
        self._ratios: dict[str, float] = {}

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
        began_at = self._clock.now()
        expected = batching.estimate_seconds(
            self._read_state(endpoint, limits, began_at),
            limits,
            batching.Work(
                len(items), sum(item.result_bytes for item in items), False
            ),
        )
        in_time = items[0].due_at > began_at
        if owner is None:
            results = await self._gatherer.run_items(endpoint, limits, items)
        else:
            results = await self.table.run_pieces(owner, endpoint, items)
        if in_time:
            seconds = self._clock.now() - began_at
            self._note_ratio(endpoint.service, seconds / expected)
        if owner is None:
            return results
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
        work: batching.Work,
        now: float,
    ) -> float:
        """Returns when new items should be done, in seconds from now."""
        state = self._read_state(endpoint, limits, now)
        seconds = batching.estimate_seconds(state, limits, work)
        return seconds * self._ratios.get(endpoint.service, FIRST_RATIO)

    def _read_state(
        self,
        endpoint: catalogue.Endpoint,
        limits: routes.BatchLimits,
        now: float,
    ) -> batching.QueueState:
        """Returns the state of a queue, wherever it is gathered."""
        owner = self._find_owner(endpoint)
        state = None
        if owner is not None:
            state = owner.read_state(endpoint.name)
        if state is None:
            state = self._gatherer.read_state(endpoint, limits, now)
        return state

    def _note_ratio(self, service: str, ratio: float) -> None:
        """Learns how much longer than expected pieces take."""
        low, high = RATIO_BOUNDS
        before = self._ratios.get(service, FIRST_RATIO)
        measured = min(max(ratio, low), high)
        self._ratios[service] = before + RATIO_WEIGHT * (measured - before)

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
                pieces.indices
            )
        now = self._clock.now()
        items = [
            batching.Item(
                pieces.attempt,
                pieces.stage,
                index,
                pieces.key,
                tuple(pieces.inputs),
                pieces.result_bytes,
                now + pieces.due_ms / 1000,
                now + pieces.remaining_ms / 1000,
                pieces.rank,
                None,
            )
            for index in pieces.indices
        ]
        return await self._gatherer.run_items(endpoint, limits, items)

    async def release_results(self, released: messages.ResultsReleased) -> None:
        """Frees results for another entry."""
        endpoint = self._knowledge.catalogue.find(released.endpoint)
        if endpoint is not None:
            await self._gatherer.release(endpoint, released.results)
