"""Tests of the trial of a suspect input within a stage's attempts."""

import contextlib
import types
import unittest.mock

from lab import deployments
from samphirevale import handover_counts, messages, quarantine, stage_runs
from samphirevale.adapters import clock
from tests import base, fakes

ENDPOINT = "encoder-0"
FINGERPRINT = "f"


class FakePeer:
    """A sidecar that accepts work while `ready` is true."""

    endpoint = ENDPOINT
    heartbeat = None
    pool = "encoders"
    hello = types.SimpleNamespace(data_centre="dc1")

    def __init__(self):
        self.ready = True
        self.handover_count = 0

    def may_get_work(self, now: float, suspect_seconds: float) -> bool:
        return self.ready

    @contextlib.asynccontextmanager
    async def open_exchange(self, handover: messages.Handover):
        self.handover_count += 1
        yield types.SimpleNamespace(receive=self._receive)

    async def _receive(self) -> messages.Refusal:
        return messages.Refusal(
            "r", "encoding", "a", "not_run", "overloaded", "", 0, 0.0
        )


class TrialTest(base.TestCase):
    """Tests trials while their reservation in the store takes time."""

    def setUp(self):
        self.peer = FakePeer()
        self.store = fakes.FakeStore()
        self.clock = clock.MonotonicClock()
        held = types.SimpleNamespace(value=deployments.build_configuration())
        suspects = quarantine.Quarantine()
        suspects.add_crashes(FINGERPRINT, ["a0"], self.clock.now())
        self.context = unittest.mock.Mock(
            holder=types.SimpleNamespace(held=held),
            peers=types.SimpleNamespace(
                list_ready=lambda pool, now: [self.peer] * self.peer.ready,
                find=lambda name: self.peer,
            ),
            quarantine=suspects,
            store=self.store,
            clock=self.clock,
            claim_manager=unittest.mock.AsyncMock(),
        )
        self.counts = handover_counts.HandoverCounts()

    def build_run(self) -> stage_runs.StageRun:
        request = types.SimpleNamespace(
            fingerprint=FINGERPRINT,
            idempotent=True,
            id="r",
            pipeline="harvest-notice",
            account="colheita",
            priority=9,
            key="",
        )
        value = self.context.holder.held.value
        stage = value["pipelines"]["harvest-notice"]["stages"][0]
        return stage_runs.StageRun(
            self.context,
            request,
            stage,
            {"input": "x", "prior": None},
            self.clock.now() + 5.0,
            self.counts,
            None,
        )

    async def test_endpoint_that_drains_during_the_reservation_gets_no_handover(
        self,
    ):
        create = self.store.create

        async def create_late(*args):
            self.peer.ready = False
            return await create(*args)

        self.store.create = create_late
        run = self.build_run()
        ending = await run._run_with_quarantine(ENDPOINT)
        self.assertEqual(ending.outcome, "not_run")
        self.assertEqual(ending.reason, "unreachable")
        self.assertEqual(self.peer.handover_count, 0)
        # The reservation of the trial is removed.
        self.context.claim_manager.spawn_background_task.assert_awaited_once()
        self.counts.record_not_run(True)
        self.assertEqual(self.counts.get_outcome(), "not_run")

    async def test_ready_endpoint_gets_the_trial(self):
        ending = await self.build_run()._run_with_quarantine(ENDPOINT)
        self.assertEqual(ending.reason, "overloaded")
        self.assertEqual(self.peer.handover_count, 1)
