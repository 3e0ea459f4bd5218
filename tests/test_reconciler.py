"""Tests of the reconciler against test doubles of the engine and the store."""

import contextlib

import curio

from samphirevale import (
    batches,
    configuration,
    configuration_holder,
    errors,
    invariants,
    leases,
    monitors,
    reconciler,
    settings,
)
from samphirevale.adapters import clock, endpoints, objects, web_server
from standins import engine, platform
from tests import base


class ReconcilerTest(base.TestCase):
    """The orders that the reconciler sends and the leases that it holds."""

    @contextlib.asynccontextmanager
    async def running(self, **changes):
        invariants.set_fatal(True)
        self.addCleanup(invariants.set_fatal, False)
        self.platform = platform.Platform(platform.Settings(port=0))
        store_url = await self._serve(self.platform)
        self.engine = engine.Engine(
            engine.Settings(port=0, load_seconds=0.05, **changes)
        )
        self.engine_url = await self._serve(self.engine)
        self.store = objects.HttpObjectStore(store_url)
        self.holder = configuration_holder.ConfigurationHolder()
        self.tasks = []
        try:
            yield
        finally:
            for task in [*self.tasks, *self._servers]:
                await task.cancel()

    async def _serve(self, program):
        port = base.find_free_port()
        task = await curio.spawn(
            web_server.serve, program.handle, "127.0.0.1", port, daemon=True
        )
        # The server listens from its first turn on.
        await curio.sleep(0)
        self._servers = [*getattr(self, "_servers", []), task]
        return f"http://127.0.0.1:{port}"

    async def start(self, token="t1", checks_fencing=True):
        """Starts the monitor and the reconciler of one sidecar."""
        sidecar = settings.SidecarSettings(
            common=settings.CommonSettings(
                f"sidecar-{token}", "dc1", "127.0.0.1", 0, "", ""
            ),
            peer_port=0,
            endpoint="engine-1",
            endpoint_url=self.engine_url,
            endpoint_kind="engine",
            pool="engines",
            checks_fencing=checks_fencing,
            lease_seconds=1.0,
            order_seconds=0.5,
        )
        endpoint = endpoints.build_endpoint("engine", self.engine_url, 0.5)
        monitor = monitors.EndpointMonitor(endpoint, 0.05)
        started = reconciler.Reconciler(
            sidecar,
            token,
            endpoint,
            monitor,
            self.holder,
            self.store,
            clock.MonotonicClock(),
            self._announce,
        )
        for job in (monitor.run, started.run):
            self.tasks.append(await curio.spawn(job, daemon=True))
        return started

    async def _announce(self):
        pass

    def adopt(self, revision, **states):
        batches = {
            name: configuration.BatchConfiguration(
                model="m",
                version=name,
                adapter="",
                pool="engines",
                state=state,
                order=1,
            )
            for name, state in states.items()
        }
        value = {**configuration.build_empty_value(), "batches": batches}
        value["revision"] = revision
        self.holder.adopt(configuration.Configuration(revision, value))

    async def wait_for(self, condition):
        while not condition():
            await curio.sleep(0.02)

    def list_orders(self):
        return [
            (order["order"], order["batch"], order["accepted"])
            for order in self.engine.record.describe()["orders"]
        ]

    async def test_loads_serving_batches_and_unloads_recalled_ones(self):
        async with self.running():
            await self.start()
            self.adopt(1, b1="serving", b2="serving")
            await self.wait_for(lambda: len(self.list_orders()) == 2)
            self.adopt(2, b1="recalled", b2="serving")
            await self.wait_for(lambda: len(self.list_orders()) == 3)
            await curio.sleep(0.6)
            self.assertEqual(
                sorted(self.list_orders()[:2]),
                [("load", "b1", True), ("load", "b2", True)],
            )
            self.assertEqual(self.list_orders()[2:], [("unload", "b1", True)])

    async def test_the_lease_is_released_after_the_last_order(self):
        async with self.running():
            started = await self.start()
            self.adopt(1, b1="serving")
            await self.wait_for(lambda: self.list_orders())
            await self.wait_for(lambda: started.lease is None)
            await curio.sleep(0.3)
            lease = await self.store.get("leases", "engine-1")
            self.assertTrue(lease.value["released"])

    async def test_no_order_without_a_lease(self):
        async with self.running(batches=["b1=m/b1"]):
            self.platform.faults.change({"outage": True}, 0.0)
            await self.start()
            self.adopt(1, b1="recalled")
            await curio.sleep(0.5)
            self.assertEqual(self.list_orders(), [])

    async def test_no_order_after_the_lease_has_expired(self):
        async with self.running():
            started = await self.start(checks_fencing=False)
            self.adopt(1, b1="serving")
            await self.wait_for(lambda: started.lease is not None)
            self.platform.faults.change({"outage": True}, 0.0)
            lease = started.lease
            # Simulates a process that was paused until the lease expired.
            started.lease = lease._replace(valid_until=0.0)
            self.assertFalse(started._may_order())
            batch = self.holder.held.value["batches"]["b1"]
            order = reconciler.build_order("load", "b1", batch)
            with self.assertRaises(errors.InvariantError):
                await started._send_order(order)

    async def test_a_fenced_holder_takes_a_higher_fencing_token(self):
        async with self.running():
            self.engine._fencing = 2
            await self.start()
            self.adopt(1, b1="serving")
            await self.wait_for(
                lambda: ("load", "b1", True) in self.list_orders()
            )
            self.assertIn(("load", "b1", False), self.list_orders())

    async def test_a_recall_does_not_wait_for_a_ticket(self):
        async with self.running(batches=["b1=m/b1"]):
            for number in range(batches.TICKETS_LIMIT):
                await self.store.create(
                    "leases", f"rollout:engines:{number}", self.build_lease()
                )
            await self.start()
            self.adopt(1, b1="serving", b2="serving")
            await curio.sleep(0.3)
            self.assertEqual(self.list_orders(), [])
            self.adopt(2, b1="recalled", b2="serving")
            await self.wait_for(lambda: self.list_orders())
            await curio.sleep(0.4)
            self.assertEqual(self.list_orders(), [("unload", "b1", True)])

    def build_lease(self):
        return leases.LeaseValue(
            holder="another",
            token="another",
            fencing=1,
            duration_ms=60_000,
            renewal=0,
            released=False,
        )
