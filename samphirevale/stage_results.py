"""Holds the results of a request's stages until they are released."""

from collections.abc import Collection, Sequence

from samphirevale import (
    batch_dispatch,
    cluster_state,
    item_runners,
    routes,
    stage_times,
)


class StageResults:
    """The results of the stages of one request.

    Attributes:
        released: whether all were released, which ends the run of the stages.
    """

    def __init__(
        self,
        runner: item_runners.ItemRunner,
        known: cluster_state.ClusterState,
        route: routes.Route,
        item_counts: Sequence[int],
    ):
        """Prepares the results.

        Args:
            runner: releases the results.
            known: tells which endpoints keep their results.
            route: specifies the stages.
            item_counts: the number of items of each stage.
        """
        self.released = False
        self._runner = runner
        self._cluster = known
        self._route = route
        self._item_counts = item_counts
        # The results of each stage by the index of the item.
        self._results: dict[int, dict[int, batch_dispatch.StageResult]] = {}

    def begin(self, index: int) -> None:
        """Records that a stage has begun."""
        self._results.setdefault(index, {})

    def add(
        self,
        index: int,
        item_index: int,
        stage_result: batch_dispatch.StageResult,
    ) -> None:
        """Adds the result of an item of a stage."""
        self._results.setdefault(index, {})[item_index] = stage_result

    def list_dependents(self, index: int) -> list[int]:
        """Returns the stages that depend on a stage."""
        return [
            i
            for i, stage in enumerate(self._route.stages)
            if index in stage.after
        ]

    def list_results(self, index: int) -> list[batch_dispatch.StageResult]:
        """Returns the results of a stage in the order of its items."""
        results = self._results.get(index, {})
        return [results[key] for key in sorted(results)]

    def list_inputs(
        self, stage: routes.Stage
    ) -> list[batch_dispatch.StageResult]:
        """Returns the results that the items of a stage take."""
        return [
            stage_result
            for i in stage.after
            for stage_result in self.list_results(i)
        ]

    def list_missing(self, index: int) -> list[int]:
        """Returns the items of a stage that have no result."""
        count = stage_times.get_item_count(self._item_counts, index)
        results = self._results.get(index, {})
        return [key for key in range(count) if key not in results]

    async def drop_lost(
        self, stage: routes.Stage, used: Collection[str]
    ) -> None:
        """Drops the inputs of a stage that are no longer stored.

        These are the ones at endpoints that leave or are not registered any
        more. Without any such endpoint it is unknown which inputs are lost.

        Args:
            stage: the stage whose items lacked an input.
            used: the names of the inputs of these items.
        """
        held = self.list_inputs(stage)
        lost = [
            stage_result
            for stage_result in held
            if not self._cluster.keeps_results(stage_result.endpoint)
        ]
        if not lost and {stage_result.name for stage_result in held} >= {*used}:
            lost = held
        for i in stage.after:
            results = self._results.get(i, {})
            for key in [key for key in results if results[key] in lost]:
                del results[key]
        await self._release(lost)

    def list_final(self) -> list[batch_dispatch.StageResult]:
        """Returns the results that are not inputs of another stage."""
        consumed = {i for stage in self._route.stages for i in stage.after}
        return [
            stage_result
            for index in sorted(self._results)
            if index not in consumed
            for stage_result in self.list_results(index)
        ]

    async def release_consumed(self) -> None:
        """Releases results whose dependent stages are all done."""
        for index in list(self._results):
            dependents = self.list_dependents(index)
            if dependents and all(i in self._results for i in dependents):
                results = self.list_results(index)
                self._results[index] = {}
                await self._release(results)

    async def release_all(self) -> None:
        """Releases every result that is still held, and ends the run."""
        self.released = True
        for index in list(self._results):
            results = self.list_results(index)
            del self._results[index]
            await self._release(results)

    async def _release(self, results: list[batch_dispatch.StageResult]) -> None:
        by_endpoint: dict[str, list[batch_dispatch.StageResult]] = {}
        for stage_result in results:
            by_endpoint.setdefault(stage_result.endpoint.name, []).append(
                stage_result
            )
        for endpoint_results in by_endpoint.values():
            await self._runner.release(
                endpoint_results[0].endpoint,
                [stage_result.name for stage_result in endpoint_results],
            )
