"""Tests of the selection of endpoints and batches for a stage."""

from samphirevale import candidates
from tests import nodes


class CandidatesTest(nodes.EntryTestCase):
    """Selection among engines with the batches b1 and b2; b2 is newer."""

    async def test_batch(self):
        sidecar = await self.add_sidecar("engines-0", "engines")
        value = self.context.holder.held.value
        stage = value["pipelines"]["harvest-notice"]["stages"][-1]
        for loaded, state, exclude, chosen in (
            (["b1", "b2"], "serving", [], "b2"),
            (["b1", "b2"], "serving", ["b2"], "b1"),
            (["b1"], "serving", [], "b1"),
            (["b1", "b2"], "recalled", [], "b1"),
            (["b2"], "recalled", [], ""),
            ([], "serving", [], ""),
        ):
            with self.subTest(loaded=loaded, state=state, exclude=exclude):
                heartbeat = sidecar.peer.heartbeat._replace(batches=loaded)
                sidecar.peer.heartbeat = heartbeat
                value["batches"]["b2"]["state"] = state
                batch = candidates.choose_batch(
                    [sidecar.peer], value, stage, exclude
                )
                self.assertEqual(chosen, batch)
                listed = candidates.filter_by_batch([sidecar.peer], batch)
                self.assertEqual(["engines-0"] if chosen else [], listed)

    async def test_ready(self):
        now = self.context.clock.now()
        value = self.context.holder.held.value
        sidecar = await self.add_sidecar("encoders-0", "encoders")
        await self.add_sidecar("retrievers-0", "retrievers")

        def list_names(at=now):
            ready = candidates.list_ready(
                self.context.peers, value, "encoders", at
            )
            return candidates.filter_by_batch(ready, None)

        self.assertEqual(["encoders-0"], list_names())
        self.assertEqual([], list_names(now + 2 * nodes.SUSPECT_SECONDS))
        value["draining"].append("encoders-0")
        self.assertEqual([], list_names())
        value["draining"].clear()
        value["cordoned"] = [sidecar.peer.hello.data_centre]
        self.assertEqual([], list_names())
        value["cordoned"].clear()
        heartbeat = sidecar.peer.heartbeat
        for change in ({"healthy": False}, {"leaving": True}):
            changed = heartbeat._replace(**change)
            sidecar.peer.heartbeat = changed
            sidecar.peer.record_frame(changed, now, nodes.SUSPECT_SECONDS)
            self.assertEqual([], list_names())
