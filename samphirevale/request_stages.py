"""Admits, runs and repeats the stages of one accepted request."""

from samphirevale import (
    batch_dispatch,
    metrics,
    proxy_requests,
    request_context,
    resends,
    stage_admission,
    stage_placement,
    stage_times,
    stages,
)
from samphirevale.fair_shares import demands, standing


class RequestStages:
    """The stages of one request.

    Attributes:
        lacks_results: whether the stages have to run again.
        repeating: whether they run again now.
        repeated: whether a refusal has made them run again, also if they do so
            now or have yet to.
    """

    def __init__(
        self,
        shared: request_context.RequestContext,
        request_resends: resends.Resends,
    ):
        self.lacks_results = False
        self.repeating = False
        self.repeated = False
        # The runs of the stages; an endpoint may need results of any.
        self._stage_runs: list[stages.StageSequenceRun] = []
        # Whether the items are queued behind those that are on time.
        self._late = shared.accepted.returned
        self._resends = request_resends
        self._shared = shared
        self._context = shared.proxy
        self._accepted = shared.accepted
        self._request = shared.request
        self._route = shared.route
        self._endpoints = shared.endpoints
        self._wanted = shared.endpoints.wanted.without_version()

    def refuse_overload(self) -> proxy_requests.Refusal | None:
        """Returns a refusal if the stages would take too long.

        Otherwise sets whether the request is queued as a late one.
        """
        self._record_demand()
        decision = stage_admission.decide(
            stage_admission.AdmissionRequest(
                bare_seconds=self.compute_bare_seconds(),
                shared_queueing=self._context.cluster_state.shared_queueing,
                target_seconds=self._route.target_seconds,
                remaining_seconds=self._shared.compute_remaining_seconds(),
                model_seconds=self._estimate_model_seconds(),
                rank=self._accepted.rank,
                returned=self._accepted.returned,
                standing=self._compute_standing(),
                resumed=self._route.streamed and bool(self._request.last_event),
            ),
            self._estimate_stages,
            self._context.admission,
        )
        fields = {
            name: round(value, 3) for name, value in decision._asdict().items()
        }
        if decision.admitted:
            self._late = decision.late
            self._shared.log_step("stages_begun", **fields)
            return None
        if decision.standing < standing.FULL_STANDING:
            metrics.REFUSED_ABOVE_SHARE.inc()
        self._context.journal.record_failure(
            "stages_overloaded",
            request=self._request.attempt,
            rank=self._accepted.rank,
            returned=self._accepted.returned,
            **fields,
        )
        return proxy_requests.Refusal(
            503, "stages_overloaded", decision.compute_retry_seconds()
        )

    def _list_services(self) -> list[tuple[str, int]]:
        """Returns the services of the stages and the number of their items."""
        counts = self._request.item_counts
        found = [
            (stage.service, stage_times.get_item_count(counts, index))
            for index, stage in enumerate(self._route.stages)
        ]
        return [(service, items) for service, items in found if items]

    def _compute_standing(self) -> float:
        """Returns the lowest standing of the account at its services."""
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        return min(
            (
                standing.compute_standing(
                    self._context.demands.sum_up(service, now),
                    self._accepted.account,
                    cluster.compute_capacity(service) * demands.DECAY_SECONDS,
                    self._context.admission.least_standing,
                )
                for service in {name for name, _ in self._list_services()}
            ),
            default=standing.FULL_STANDING,
        )

    def _record_demand(self) -> None:
        """Records what the account asks of each service."""
        now = self._context.clock.now()
        for service, items in self._list_services():
            limits = self._context.cluster_state.find_batch_limits(service)
            if limits is not None:
                seconds = items * stage_times.compute_item_cost(limits)
                self._context.demands.record(
                    service, self._accepted.account, seconds, now
                )

    async def run(self) -> list[batch_dispatch.StageResult]:
        """Runs the stages and returns the results that the request needs.

        Raises:
            errors.EarlierStageError: an item could not be done.
        """
        stage_run = self._add_stage_run()
        async with stages.release_on_error(stage_run):
            results = await stage_run.run()
        if results:
            self._shared.log_step(
                "stages_done",
                results=len(results),
                endpoints=sorted(
                    {stage_result.endpoint.name for stage_result in results}
                ),
                wanted_data_centre=stage_run.get_data_centre(),
            )
        return results

    def has_endpoints(self) -> bool:
        """Returns whether each service has an endpoint when it is needed."""
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        bare_seconds = self.compute_bare_seconds()
        return (
            stage_placement.has_endpoints(
                cluster,
                self._route,
                self._request.item_counts,
                now,
                self._wanted,
            )
            and self._endpoints.compute_pause() <= bare_seconds
        )

    def compute_bare_seconds(self) -> float:
        """Returns the duration of all stages at idle endpoints."""
        return stage_times.compute_bare_seconds(
            self._context.cluster_state.table,
            self._route,
            self._request.item_counts,
        )

    def _estimate_stages(self, late: bool) -> stage_admission.StagesEstimate:
        """Estimates the completion time of the stages and their queues."""
        return stage_placement.estimate_stages(
            self._context.item_runner,
            self._context.cluster_state,
            self._route,
            self._request.item_counts,
            late,
            self._context.clock.now(),
            self._wanted,
        )

    def _estimate_model_seconds(self) -> float:
        """Estimates the time from the stages' results to the first event."""
        endpoint = self._endpoints.choose()
        if endpoint is None:
            return 0.0
        selector = self._context.selector
        return selector.prompt_speed.estimate_first_event(
            self._shared.prompt_tokens
        ) + selector.estimate_delay(endpoint.name)

    def _add_stage_run(self) -> stages.StageSequenceRun:
        """Returns a new run of the stages, which release_results() releases."""
        stage_run = self._build_stages()
        self._stage_runs.append(stage_run)
        return stage_run

    def _build_stages(self) -> stages.StageSequenceRun:
        model_seconds = self._estimate_model_seconds()
        due_at = self._request.received_at
        if not self._late:
            due_at += self._route.target_seconds - model_seconds
        constraints = stages.StageConstraints(
            due_at=due_at,
            deadline_at=self._accepted.deadline_at - model_seconds,
            rank=self._accepted.rank,
            data_centre=self._choose_data_centre(),
            late=self._late,
            wanted=self._wanted,
        )
        return stages.StageSequenceRun(
            self._context.item_runner,
            self._context.cluster_state,
            self._context.clock,
            self._request,
            self._route,
            constraints,
            self._resends.take_retry,
            self._context.rng,
        )

    def _choose_data_centre(self) -> str:
        """Returns the data centre to which the request would be sent now."""
        endpoint = self._endpoints.choose()
        return endpoint.data_centre if endpoint is not None else ""

    def compute_pause(self) -> float:
        """Returns when the stages can run, in seconds from now."""
        now = self._context.clock.now()
        services = [
            stage.service
            for index, stage in enumerate(self._route.stages)
            if stage_times.get_item_count(self._request.item_counts, index)
        ]
        cluster = self._context.cluster_state
        return max(
            (
                cluster.compute_pause(service, now, self._wanted)
                for service in services
            ),
            default=0.0,
        )

    async def run_again(self) -> tuple[str, ...]:
        """Runs the stages again.

        Raises:
            errors.EarlierStageError: an item could not be done.
        """
        if not self._route.stages:
            return ()
        stage_run = self._add_stage_run()
        async with stages.release_on_error(stage_run):
            results = await stage_run.run()
        return tuple(stage_result.name for stage_result in results)

    async def release_results(self) -> None:
        """Releases the results of the stages."""
        for stage_run in self._stage_runs:
            await stage_run.release_all()
