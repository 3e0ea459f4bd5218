"""Tests of the test double of the platform."""

import curio

from samphirevale import errors
from tests import processes

PATH = "/objects/claims/a"


class PlatformTest(processes.ProcessTestCase):
    """Tests the object API and its faults."""

    async def create(self, platform, path=PATH, value=1):
        return await self.call(platform, "PUT", path, value, If_None_Match="*")

    async def test_writes_are_conditional(self):
        platform = self.group.start_standin("platform", "platform")
        status, stored = await self.create(platform)
        self.assertEqual((status, stored["version"]), (201, 1))
        self.assertEqual((await self.create(platform))[0], 412)
        for version, expected in (("1", 200), ("1", 412), ("2", 200)):
            status, _ = await self.call(
                platform, "PUT", PATH, 2, If_Match=version
            )
            self.assertEqual(status, expected)
        status, _ = await self.call(platform, "PUT", PATH, 2)
        self.assertEqual(status, 400)
        status, _ = await self.call(platform, "DELETE", PATH, If_Match="2")
        self.assertEqual(status, 412)
        status, _ = await self.call(platform, "DELETE", PATH, If_Match="3")
        self.assertEqual(status, 200)
        self.assertEqual((await self.call(platform, "GET", PATH))[0], 404)
        status, _ = await self.call(platform, "PUT", PATH, 2, If_Match="3")
        self.assertEqual(status, 404)

    async def test_watch_returns_changes_and_deletions(self):
        platform = self.group.start_standin("platform", "platform")
        target = "/watch/claims?version={}&timeout_ms={}"
        watch = await curio.spawn(
            self.call, platform, "GET", target.format(0, 5000)
        )
        await self.create(platform, "/objects/leases/other")
        _, stored = await self.create(platform)
        self.assertEqual(
            await watch.join(), (200, {"objects": [stored], "version": 2})
        )
        await self.call(platform, "DELETE", PATH, If_Match="2")
        _, changes = await self.call(platform, "GET", target.format(2, 5000))
        self.assertEqual([o["value"] for o in changes["objects"]], [None])
        _, changes = await self.call(platform, "GET", target.format(3, 50))
        self.assertEqual(changes, {"objects": [], "version": 3})
        status, _ = await self.call(platform, "GET", target.format(4, 50))
        self.assertEqual(status, 410)

    async def test_write_with_lost_answer_takes_effect(self):
        platform = self.group.start_standin("platform", "platform")
        await self.call(platform, "POST", "/faults", {"lose_answers": 1})
        with self.assertRaises(errors.AnswerLostError):
            await self.create(platform, value="mine")
        _, stored = await self.call(platform, "GET", PATH)
        self.assertEqual(stored["value"], "mine")

    async def test_stale_reads_return_earlier_state(self):
        platform = self.group.start_standin("platform", "platform")
        await self.create(platform)
        await self.call(platform, "POST", "/faults", {"stale_reads": 60})
        self.assertEqual((await self.call(platform, "GET", PATH))[0], 404)
        _, changes = await self.call(platform, "GET", "/objects/claims")
        self.assertEqual(changes, {"objects": [], "version": 0})

    async def test_calls_over_rate_limit_are_refused(self):
        platform = self.group.start_standin(
            "platform", "platform", "--writes-per-second", "2"
        )
        statuses = [
            (await self.create(platform, f"/objects/claims/{n}"))[0]
            for n in range(4)
        ]
        self.assertEqual(statuses, [201, 201, 429, 429])
        _, counts = await self.call(platform, "GET", "/counts")
        self.assertEqual(counts, {"put": 4, "put_limited": 2})

    async def test_faults_report_all_findings_and_expire(self):
        platform = self.group.start_standin("platform", "platform")
        status, answer = await self.call(
            platform, "POST", "/faults", {"outage": 1, "odd": 1, "seconds": 0}
        )
        places = [finding["place"] for finding in answer["findings"]]
        self.assertEqual((status, places), (400, ["outage", "odd", "seconds"]))
        await self.call(
            platform, "POST", "/faults", {"outage": True, "seconds": 0.3}
        )
        self.assertEqual((await self.call(platform, "GET", PATH))[0], 503)
        await curio.sleep(0.3)
        self.assertEqual((await self.call(platform, "GET", PATH))[0], 404)
