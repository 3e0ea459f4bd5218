"""Tests of requests through all stages: the outcome after faults."""

import curio

from samphirevale import callers, deadlines, execution
from tests import nodes

FAILED = nodes.build_refusing_step("failed")
NOT_RUN = nodes.build_refusing_step("not_run", "overloaded")
NOT_RUN_ELSEWHERE = nodes.build_refusing_step("not_run", "endpoint_refused")
UNKNOWN = nodes.build_refusing_step("unknown")

# Steps of each pool's first endpoint; the outcome that the caller gets; number
# of handovers of the last stage, which may not be repeated.
OUTCOMES_BY_STEPS = (
    ({}, "whole", 1),
    ({"encoders": [NOT_RUN]}, "not_run", 0),
    ({"encoders": [FAILED]}, "whole", 1),
    ({"encoders": [nodes.disconnect]}, "whole", 1),
    ({"engines": [nodes.restart]}, "whole", 1),
    ({"retrievers": [NOT_RUN]}, "not_completed", 0),
    ({"retrievers": [FAILED, FAILED]}, "whole", 1),
    ({"booking": [NOT_RUN]}, "not_completed", 1),
    ({"booking": [NOT_RUN_ELSEWHERE]}, "whole", 2),
    ({"booking": [nodes.disconnect]}, "whole", 2),
    ({"booking": [nodes.restart]}, "unknown", 1),
    ({"booking": [FAILED]}, "unknown", 1),
    ({"booking": [UNKNOWN]}, "unknown", 1),
)


class ExecutionTest(nodes.EntryTestCase):
    """Requests on scripted sidecars, with two endpoints in each pool."""

    async def open_pools(self, steps: dict) -> dict:
        """Returns the sidecars of each pool; the first follows the steps."""
        pools = ("encoders", "retrievers", "rerankers", "engines", "booking")
        return {
            pool: [
                await self.add_sidecar(f"{pool}-0", pool, *steps.get(pool, ())),
                await self.add_sidecar(f"{pool}-1", pool),
            ]
            for pool in pools
        }

    async def run_request(self, **changes) -> callers.Answer:
        request = nodes.build_request(**changes)
        deadline_at = self.context.clock.now() + request.deadline_ms / 1000
        run = execution.Execution(self.context, request, deadline_at, None)
        return await run.run()

    async def test_outcomes(self):
        for steps, outcome, handover_count in OUTCOMES_BY_STEPS:
            with self.subTest(steps):
                self.setUp()
                opened = await self.open_pools(steps)
                answer = await self.run_request()
                reported = getattr(answer, "outcome", "whole")
                self.assertEqual(outcome, reported, answer)
                booked = [
                    len(sidecar.handovers) for sidecar in opened["booking"]
                ]
                self.assertEqual(handover_count, sum(booked))
                await self.context.claim_manager.wait_for_background_tasks()
                await self.check_stored_state(outcome)

    async def check_stored_state(self, outcome: str) -> None:
        """Checks the state stored for the key, which is None if it is free."""
        states = {"whole": "done", "unknown": "unknown"}
        stored = await self.context.claim_manager.find("colheita", "key-1")
        state = stored.state if stored else None
        self.assertEqual(states.get(outcome), state)

    async def test_no_endpoint(self):
        answer = await self.run_request()
        self.assertEqual("not_run", answer.outcome)

    async def test_deadline_while_a_call_that_may_not_be_repeated_runs(self):
        release_answer = curio.Event()

        async def answer_late(sidecar, handover):
            await release_answer.wait()
            await nodes.send_result(sidecar, handover)

        opened = await self.open_pools({"booking": [answer_late]})
        answer = await self.run_request(deadline_ms=1000)
        self.assertEqual(("unknown", "late"), (answer.outcome, answer.reason))
        stored = await self.context.claim_manager.find("colheita", "key-1")
        self.assertEqual("running", stored.state)
        await release_answer.set()
        await self.context.claim_manager.wait_for_background_tasks()
        stored = await self.context.claim_manager.find("colheita", "key-1")
        self.assertEqual("done", stored.state)
        self.assertEqual({"of": "booking"}, stored.outcome["result"])
        booking = opened["booking"][0]
        self.assertEqual((1, []), (len(booking.handovers), booking.cancelled))
        again = await self.run_request()
        self.assertTrue(again.replayed)
        encoders = [len(sidecar.handovers) for sidecar in opened["encoders"]]
        self.assertEqual(1, sum(encoders), "a used key runs no stage again")

    async def test_deadline_while_a_repeatable_stage_runs(self):
        async def hang(sidecar, handover):
            pass

        opened = await self.open_pools({"engines": [hang]})
        answer = await self.run_request(deadline_ms=1000)
        self.assertEqual("not_completed", answer.outcome)
        (handover,) = opened["engines"][0].handovers
        self.assertEqual([handover.attempt], opened["engines"][0].cancelled)

    async def test_deadline_is_passed_on_as_time_remaining(self):
        async def answer_late(sidecar, handover):
            await curio.sleep(0.1)
            await nodes.send_result(sidecar, handover)

        opened = await self.open_pools({"encoders": [answer_late]})
        await self.run_request(deadline_ms=5000)
        remaining_ms = {
            handover.stage: handover.remaining_ms
            for pool in opened.values()
            for sidecar in pool
            for handover in sidecar.handovers
        }
        stages = self.context.holder.held.value["pipelines"][
            "slot-confirmation"
        ]
        names = [stage["name"] for stage in stages["stages"]]
        self.assertEqual(sorted(names), sorted(remaining_ms))
        spent_ms = 0
        for position, stage in enumerate(stages["stages"]):
            later = stages["stages"][position + 1 :]
            service_ms = sum(
                later_stage["expected_ms"] for later_stage in later
            )
            reserve_ms = deadlines.SERVICE_MARGIN * service_ms
            max_ms = 5000 - spent_ms - reserve_ms
            self.assertLessEqual(remaining_ms[stage["name"]], max_ms)
            self.assertGreater(remaining_ms[stage["name"]], 0)
            self.assertIsInstance(remaining_ms[stage["name"]], int)
            spent_ms = 100
