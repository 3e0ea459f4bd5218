"""Tests of sessions in which routes and accounts name their home regions."""

from samphirevale import errors
from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "first2")

REGIONS = {"a": "north", "b": "south"}


class HomesTest(sessions.SessionTestCase):
    """One server of each service in each of two regions."""

    settings = {"regions": REGIONS}

    def register_server(self, name, port, **changes):
        changes = {"zone": "a" if name.endswith("1") else "b", **changes}
        super().register_server(name, port, **changes)

    async def adopt_homes(self, route_homes=None, account_homes=None):
        manifest = sessions.build_manifest(2)
        for route in manifest["routes"]:
            route["allowed_regions"] = route_homes or []
        manifest["tenants"][0]["allowed_regions"] = account_homes or []
        self.store.put("config", "main", manifest)
        known = self.gateway.cluster_state
        await self.wait_until(lambda: known.table.version == 2)

    def list_reached(self):
        return {
            name for name, server in self.servers.items() if server.arrivals
        }

    async def check_home(self, digit):
        """Checks that only servers of one region are called."""
        for _ in range(sessions.REQUESTS):
            await self.read()
            await self.check_stream()
        self.assertEqual(
            {f"plain{digit}", f"model{digit}", f"first{digit}"},
            self.list_reached(),
        )

    async def test_requests_and_their_stages_stay_in_the_homes_of_a_route(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(route_homes=["south"])
            await self.check_home(2)

    async def test_requests_stay_in_the_homes_of_an_account(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(account_homes=["north"])
            await self.check_home(1)

    async def test_homes_of_route_and_account_both_bind(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(["north", "south"], ["south"])
            await self.check_home(2)

    async def test_request_without_a_home_is_refused_as_not_run(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(["north"], ["south"])
            for call in (lambda: self.call("/once/x"), self.write):
                status, headers, _ = await call()
                self.assertEqual(503, status)
                self.assertGreater(float(headers["retry-after"]), 0)
            self.assertEqual(set(), self.list_reached())

    async def test_retry_stays_at_home(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(route_homes=["north"])
            self.servers["plain1"].faults = ["full"]
            status, *_ = await self.call("/read/x")
            self.assertEqual(503, status)
            self.assertEqual({"plain1"}, self.list_reached())

    async def test_broken_stream_goes_on_at_home_or_not_at_all(self):
        async with self.run_all(SERVERS):
            await self.adopt_homes(route_homes=["south"])
            self.servers["model2"].faults = ["cut"]
            with self.assertRaises(errors.AnswerLostError):
                await self.write()
            self.assertEqual({"model2", "first2"}, self.list_reached())
