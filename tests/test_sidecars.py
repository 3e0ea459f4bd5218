"""Tests of exchanges: matching, unexpected and foreign messages."""

from unittest import mock

import curio

from samphirevale import invariants, messages, metrics, sidecars
from tests import nodes

HANDOVER = messages.Handover(
    *("r1", "encoding", "a1", "p", "account", {}, 1000, 9, True, "", "", 0),
    *("f", False),
)

RESULT = messages.Result("r1", "encoding", "a1", {}, 0, "", 1.0, "")


async def stay_silent(sidecar, handover):
    pass


class ExchangeTest(nodes.EntryTestCase):
    """Exchanges with one scripted sidecar."""

    def count_dropped(self, reason: str) -> float:
        return metrics.ANSWERS_DROPPED.labels(reason=reason)._value.get()

    async def test_answers_without_an_attempt_are_dropped(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders", stay_silent)
        cases = (
            ("late", RESULT._replace(attempt="a0")),
            ("late", messages.Chunk("r1", "encoding", "a0", 0, ["x"])),
            ("foreign", RESULT._replace(request="r2")),
            ("foreign", RESULT._replace(stage="reranking")),
        )
        async with sidecar.peer.open_exchange(HANDOVER) as exchange:
            for reason, message in cases:
                before = self.count_dropped(reason)
                await sidecar.send_to_entry(message)
                self.assertEqual(before + 1, self.count_dropped(reason))
            await sidecar.send_to_entry(RESULT)
            self.assertEqual(RESULT, await exchange.receive())
        before = self.count_dropped("late")
        await sidecar.send_to_entry(RESULT)
        self.assertEqual(before + 1, self.count_dropped("late"))
        self.assertEqual([], sidecar.cancelled)

    async def test_result_of_another_request_is_a_violation(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders", stay_silent)
        async with sidecar.peer.open_exchange(HANDOVER) as exchange:
            with mock.patch.object(invariants, "check") as check:
                await exchange.deliver(RESULT._replace(request="r2"))
                await exchange.receive()
        self.assertEqual((invariants.OWN_RESULT, False), check.call_args.args)

    async def test_exchange_without_an_end_is_cancelled(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders", stay_silent)
        async with sidecar.peer.open_exchange(HANDOVER):
            pass
        self.assertEqual(["a1"], sidecar.cancelled)

    async def test_other_attempts_of_an_input_are_notified_of_its_crash(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders")
        sidecar.steps = [stay_silent, stay_silent]
        peer = sidecar.peer
        other = HANDOVER._replace(attempt="a2", fingerprint="g")
        async with (
            peer.open_exchange(HANDOVER) as copy,
            peer.open_exchange(other) as other_exchange,
        ):
            table = self.context.peers
            await table.notify_input_crash(messages.CrashNotice("f", "a1"))
            await table.notify_input_crash(messages.CrashNotice("g", "a0"))
            event = await other_exchange.receive()
            self.assertIsInstance(event, sidecars.InputCrashed)
            await sidecar.send_to_entry(RESULT)
            self.assertEqual(RESULT, await copy.receive())

    async def test_lost_connections_are_delivered(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders", stay_silent)
        async with sidecar.peer.open_exchange(HANDOVER) as exchange:
            await sidecar.peer.notify_suspected()
            event = await exchange.receive()
            self.assertIsInstance(event, sidecars.PeerSuspected)
            await sidecar.peer.detach()
            event = await exchange.receive()
            self.assertIsInstance(event, sidecars.LinkLost)
            self.assertFalse(sidecar.peer.may_get_work(0.0, 1.0))

    async def test_crash_notice_is_passed_on(self):
        sidecar = await self.add_sidecar("encoders-0", "encoders")
        notice = messages.CrashNotice("f", "a1")
        await sidecar.send_to_entry(notice)
        await curio.sleep(0)
        self.assertEqual([notice], self.crashes)
