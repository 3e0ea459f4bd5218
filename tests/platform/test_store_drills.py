"""Tests of sessions in which the store comes back from a copy."""

import time
from unittest import mock

import curio

from samphirevale import (
    gateway,
    registrations,
    routes_freshness,
    settled_era,
    store_eras,
)
from samphirevale.origins import records
from tests.platform import sessions

# The time in which an entry notices a new era and has registered again, in
# seconds.
REGISTRATION_SECONDS = 3.0

SERVERS = (*sessions.SERVERS, "plain3")


# How long the start of an entry may take on a calm day, in seconds. It is less
# than the time in which a copy is written again.
START_SECONDS = 1.5


class StartDuringDrillTest(sessions.SessionTestCase):
    """Entries start while the store has just returned from a copy.

    Guards against a key that was revoked, and is served again.
    """

    async def revoke(self):
        """Revokes a key; returns a copy of the store from before."""
        copy = self.store.take_copy()
        manifest = sessions.build_manifest(2, ["k2"])
        self.store.put("config", "main", manifest)
        known = self.gateway.cluster_state
        await self.wait_until(lambda: known.table.version == 2)
        return copy

    async def write_again(self):
        """Revokes the key again, as the operator does after the drill."""
        await curio.sleep(1.5)
        manifest = sessions.build_manifest(2, ["k2"])
        self.store.put("config", "main", manifest)

    async def check_refused_while_starting(self, port):
        """Checks that the key is not served before the copy is mended."""
        operator = await curio.spawn(self.write_again)
        ends_at = time.monotonic() + 2 * store_eras.REWRITE_SECONDS
        while time.monotonic() < ends_at:
            status, *_ = await self.call("/read/x", port=port)
            self.assertIn(status, (401, 503))
            await curio.sleep(0.05)
        await operator.join()
        status, *_ = await self.call("/read/x", key="k2", port=port)
        self.assertEqual(200, status)

    async def test_entry_that_starts_alone(self):
        async with self.run_all():
            copy = await self.revoke()
            await self.kill_entry()
            self.store.restore_copy(copy)
            self.gateway = self.build_gateway(self.store_port)
            self.task = await curio.spawn(gateway.run, self.gateway)
            await curio.sleep(0.2)
            await self.check_refused_while_starting(self.port)

    async def test_entry_that_starts_beside_one_that_knows(self):
        async with self.run_all():
            copy = await self.revoke()
            self.store.restore_copy(copy)
            second = self.build_gateway(self.store_port, "entry2")
            task = await curio.spawn(gateway.run, second)
            await curio.sleep(0.2)
            await self.check_refused_while_starting(self.port)
            await task.cancel()

    async def test_entry_that_starts_waits_for_what_another_one_knows(self):
        """The operator takes longer than the entries take to settle the era."""
        async with self.run_all():
            copy = await self.revoke()
            self.store.restore_copy(copy)
            second = self.build_gateway(self.store_port, "entry2")
            task = await curio.spawn(gateway.run, second)
            await self.wait_until(
                lambda: second.cluster_state.newest_routes == 2
            )
            sessions.put_settled_era(self.store)
            eras = second.cluster_watch.eras
            await self.wait_until(lambda: eras.get_rewrite_end() < 0.0)
            status, *_ = await self.call("/read/x", port=self.port)
            self.assertEqual(503, status)
            self.assertFalse(second.is_ready())
            manifest = sessions.build_manifest(2, ["k2"])
            self.store.put("config", "main", manifest)
            await self.wait_until(second.is_ready)
            status, *_ = await self.call("/read/x", port=self.port)
            self.assertEqual(401, status)
            await task.cancel()

    @mock.patch("samphirevale.store_eras.REWRITE_SECONDS", 60.0)
    async def test_entry_that_starts_tells_no_age_of_its_routes(self):
        async with self.run_all():
            self.store.restore_copy(self.store.take_copy())
            log = self.log
            second = self.build_gateway(self.store_port, "entry2")
            task = await curio.spawn(gateway.run, second)
            await self.wait_until(lambda: second.cluster_state.table)
            table = self.gateway.table
            await self.wait_until(lambda: table.is_linked("entry2"))
            self.assertIsNone(await table.ask_routes_age("entry2"))
            self.assertNotIn("message_malformed", log.list_events())
            sessions.put_settled_era(self.store)
            await self.wait_until(second.is_ready)
            known = await table.ask_routes_age("entry2")
            self.assertEqual(1, known.version)
            await task.cancel()

    async def test_entry_that_starts_on_a_calm_day_serves_at_once(self):
        async with self.run_all():
            await self.kill_entry()
            began_at = time.monotonic()
            await self.start_entry()
            self.assertLess(time.monotonic() - began_at, START_SECONDS)

    async def test_entries_name_a_settled_era(self):
        """Those that start later need not wait."""
        async with self.run_all():
            self.store.restore_copy(self.store.take_copy())
            era = settled_era.encode_era(self.store.era)

            def is_named():
                stored = self.store.read(registrations.KIND, settled_era.NAME)
                return stored == era

            self.assertFalse(is_named())
            async with curio.timeout_after(3 * store_eras.REWRITE_SECONDS):
                while not is_named():
                    await curio.sleep(0.05)


class StoreDrillTest(sessions.SessionTestCase):
    """The store comes back from a copy some seconds old."""

    async def take_copy(self):
        """Returns a copy that includes the registration of the entry."""
        await self.wait_until(self.list_entries)
        return self.store.take_copy()

    def list_entries(self):
        """Returns the names of the entries that are registered."""
        names = self.store.list_names(registrations.KIND)
        return [name for name in names if name != settled_era.NAME]

    async def move(self, name, *zones):
        """Registers a server in other zones, and waits for the last one."""
        for zone in zones:
            self.change_server(name, zone=zone)
        catalogue = self.gateway.cluster_state.catalogue
        await self.wait_until(
            lambda: catalogue.find(name).data_centre == zones[-1]
        )

    async def restore(self, copy):
        """Restores a copy and waits until the entry has listed it.

        The entry lists, as it has seen more revisions than are given out again.
        """
        await self.move("model1", "b", "c", "d")
        self.store.restore_copy(copy)
        await self.move("model1", "e")

    async def unregister(self, name):
        self.store.remove("servers", name)
        catalogue = self.gateway.cluster_state.catalogue
        await self.wait_until(lambda: catalogue.find(name) is None)

    async def test_requests_are_served_while_the_store_is_away(self):
        async with self.run_all():
            copy = await self.take_copy()
            self.store.away = True
            for _ in range(sessions.REQUESTS):
                await self.read()
            self.store.restore_copy(copy)
            self.change_server("plain2", state="draining")
            await self.wait_until_accepting("plain1")
            await self.read()

    async def test_changes_after_a_lost_revision_are_seen(self):
        async with self.run_all():
            copy = await self.take_copy()
            await self.restore(copy)
            self.change_server("plain1", state="draining")
            await self.wait_until_accepting("plain2")

    async def test_a_malformed_or_missing_era_is_ignored(self):
        async with self.run_all():
            self.store.era_header = "odd"
            self.change_server("plain1", state="draining")
            await self.wait_until_accepting("plain2")
            self.store.era_header = ""
            self.change_server("plain1")
            await self.wait_until_accepting("plain1", "plain2")
            await self.read()

    async def test_a_key_revoked_before_the_drill_stays_refused(self):
        async with self.run_all():
            copy = await self.take_copy()
            known = self.gateway.cluster_state
            manifest = sessions.build_manifest(2, ["k2"])
            self.store.put("config", "main", manifest)
            await self.wait_until(lambda: known.table.version == 2)
            await self.restore(copy)
            self.assertEqual(401, (await self.call("/read/x"))[0])
            self.assertEqual(200, (await self.call("/read/x", key="k2"))[0])
            manifest = sessions.build_manifest(3, ["k3"])
            self.store.put("config", "main", manifest)
            await self.wait_until(lambda: known.table.version == 3)

    async def test_a_change_at_a_revision_given_out_again_is_seen(self):
        async with self.run_all():
            copy = await self.take_copy()
            await self.move("plain2", "b")
            self.store.restore_copy(copy)
            self.change_server("plain1", state="draining")
            await self.wait_until_accepting("plain2")

    async def test_the_entry_registers_again_in_each_new_era(self):
        async with self.run_all():
            await self.take_copy()
            (name,) = self.list_entries()
            self.store.remove(registrations.KIND, name)
            copy = self.store.take_copy()
            for _ in range(2):
                self.store.restore_copy(copy)
                async with curio.timeout_after(REGISTRATION_SECONDS):
                    await self.wait_until(self.list_entries)

    async def test_the_record_of_streams_is_written_again(self):
        async with self.run_all():
            copy = await self.take_copy()
            (name,) = self.store.list_names(records.KIND)
            record = self.store.read(records.KIND, name)
            copy = copy._replace(
                objects={
                    key: stored
                    for key, stored in copy.objects.items()
                    if key != (records.KIND, name)
                }
            )
            for _ in range(2):
                self.store.restore_copy(copy)
                await self.wait_until(
                    lambda: self.store.list_names(records.KIND)
                )
                self.assertEqual(record, self.store.read(records.KIND, name))
                await self.check_stream()

    async def test_a_server_gone_before_the_drill_stays_unused(self):
        async with self.run_all():
            copy = await self.take_copy()
            await self.unregister("plain1")
            await self.restore(copy)
            self.assertEqual(["plain2"], self.list_accepting("plain"))
            await self.check_unused("plain1")
            self.change_server("plain1")
            await self.read_until_reached("plain1")

    async def test_a_server_draining_before_the_drill_stays_unused(self):
        async with self.run_all():
            copy = await self.take_copy()
            self.change_server("plain1", state="draining")
            await self.wait_until_accepting("plain2")
            await self.restore(copy)
            self.assertEqual(["plain2"], self.list_accepting("plain"))
            await self.check_unused("plain1")
            self.change_server("plain1", born=2)
            await self.read_until_reached("plain1")

    async def test_a_server_missing_from_the_copy_stays_usable_at_first(self):
        async with self.run_all(SERVERS):
            await self.unregister("plain3")
            copy = await self.take_copy()
            self.change_server("plain3")
            await self.wait_until_accepting("plain1", "plain2", "plain3")
            await self.restore(copy)
            self.assertIn("plain3", self.list_accepting("plain"))
            await self.wait_until_accepting("plain1", "plain2")

    async def return_from_copy(self, copy):
        """Lets the store return from a copy; waits until that is known."""
        self.store.restore_copy(copy)
        await self.wait_for_event("store_era_changed")

    async def wait_for_event(self, event):
        await self.wait_until(lambda: event in self.log.list_events())

    async def test_store_that_lost_its_writes_brings_nothing_back(self):
        async with self.run_all():
            copy = self.store.take_copy()
            self.store.put("config", "main", sessions.build_manifest(2, ["k2"]))
            self.store.remove("servers", "plain1")
            table = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: (
                    table.find("plain1") is None
                    and self.gateway.cluster_state.table.version == 2
                )
            )
            await self.return_from_copy(copy)
            held = self.gateway.cluster_state.copy_guard
            await self.wait_until(lambda: held.is_held("plain1"))
            for _ in range(4):
                status = (await self.call("/read/x", key="k2"))[0]
                self.assertEqual(200, status)
            self.assertEqual([], self.servers["plain1"].seen_headers)
            self.assertEqual(401, (await self.call("/read/x"))[0])
            self.register_server("plain1", 1, slots=5)
            await self.wait_until(lambda: table.find("plain1") is not None)
            self.assertFalse(held.is_held("plain1"))

    async def test_server_that_stays_in_the_copy_is_used_after_all(self):
        with mock.patch("samphirevale.copy_guard.HOLD_SECONDS", 1.0):
            async with self.run_all():
                copy = self.store.take_copy()
                await self.unregister("plain1")
                await self.return_from_copy(copy)
                held = self.gateway.cluster_state.copy_guard
                await self.wait_until(lambda: held.is_held("plain1"))
                await self.wait_until_accepting("plain1", "plain2")
                await self.read_until_reached("plain1")

    async def test_routes_older_than_those_of_another_entry_expire(self):
        async with self.run_all():
            known = self.gateway.cluster_state
            await self.gateway.cluster_watch.adopt_report(
                "other", routes_freshness.StoreKnowledge(None, 2)
            )
            await self.wait_until(lambda: not self.gateway.is_ready())
            self.assertEqual(503, (await self.call("/read/x"))[0])
            self.store.put("config", "main", sessions.build_manifest(2))
            await self.wait_until(self.gateway.is_ready)
            self.assertEqual(2, known.table.version)
            await self.read()

    async def test_store_that_lost_an_endpoint_does_not_take_it_away(self):
        async with self.run_all():
            catalogue = self.gateway.cluster_state.catalogue
            port = catalogue.find("plain2").port
            self.store.remove("servers", "plain2")
            copy = self.store.take_copy()
            self.register_server("plain2", port, born=2)
            await self.wait_until(lambda: catalogue.find("plain2").started == 2)
            await self.return_from_copy(copy)
            # Its revision is that of plain2 in the era before.
            self.register_server("plain1", port, slots=5)
            await self.wait_until(lambda: catalogue.find("plain1").slots == 5)
            self.assertIsNotNone(catalogue.find("plain2"))
            await self.wait_until(lambda: catalogue.find("plain2") is None)

    async def test_change_with_a_revision_given_out_again_is_not_skipped(self):
        async with self.run_all():
            catalogue = self.gateway.cluster_state.catalogue
            ports = {
                name: catalogue.find(name).port for name in ("plain1", "plain2")
            }
            copy = self.store.take_copy()
            self.register_server("plain2", ports["plain2"], born=2)
            await self.wait_until(lambda: catalogue.find("plain2").started == 2)
            self.store.restore_copy(copy)
            # The watch continues after the revision that the first one gets.
            self.register_server("plain1", ports["plain1"], born=3)
            self.register_server("plain2", ports["plain2"], born=3)
            await self.wait_until(lambda: catalogue.find("plain2").started == 3)
            await self.wait_until(lambda: catalogue.find("plain1").started == 3)

    async def test_entry_registers_again_in_a_new_era(self):
        async with self.run_all():
            kind = "samphirevale-entries"
            await self.wait_until(lambda: self.store.list_names(kind))
            self.store.remove(kind, "entry1")
            copy = self.store.take_copy()
            await self.return_from_copy(copy)
            async with curio.timeout_after(2.0):
                await self.wait_until(lambda: self.store.list_names(kind))

    async def test_store_that_lost_an_entry_does_not_unregister_it(self):
        async with self.run_all():
            table = self.gateway.table
            copy = self.store.take_copy()
            self.register_entry("a1")
            await self.wait_until(lambda: table.is_registered("a1"))
            await self.return_from_copy(copy)
            self.register_entry("a2")
            await self.wait_until(lambda: table.is_registered("a2"))
            self.assertTrue(table.is_registered("a1"))

    def register_entry(self, name):
        value = {"host": "127.0.0.1", "port": 1, "token": "t"}
        self.store.put("samphirevale-entries", name, value)

    async def test_cut_off_entry_learns_a_new_era_from_another(self):
        async with self.run_all():
            self.store.away = True
            await self.gateway.cluster_watch.adopt_report(
                "other", routes_freshness.StoreKnowledge(2, 1)
            )
            await self.wait_for_event("store_era_changed")
            # The store answers once more as it was before.
            self.store.away = False
            self.store.put("config", "main", sessions.build_manifest(2))
            await curio.sleep(1.0)
            version = self.gateway.cluster_state.table.version
            self.assertEqual(1, version)
            self.store.restore_copy(self.store.take_copy())
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )

    async def test_entries_tell_each_other_the_era(self):
        async with self.run_all(), self.run_second_entry():
            self.store.away = True
            await self.second.cluster_watch.adopt_report(
                "other", routes_freshness.StoreKnowledge(2, 1)
            )
            await self.wait_for_event("store_era_changed")
            self.assertEqual(2, self.gateway.cluster_watch.eras.newest)
            # The routes were last confirmed in the era before.
            known = await self.second.table.ask_routes_age("entry1")
            self.assertEqual((1, 1), (known.version, known.era))

    async def test_drill_refuses_no_request(self):
        async with self.run_all():
            copy = self.store.take_copy()
            self.store.put("config", "main", sessions.build_manifest(2))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            self.store.away = True
            await curio.sleep(1.0)
            self.store.restore_copy(copy)
            statuses = set()
            for _ in range(45):
                statuses.add((await self.call("/read/x"))[0])
                await curio.sleep(0.1)
            self.assertEqual({200}, statuses)
            self.assertIn("store_era_changed", self.log.list_events())

    async def test_malformed_era_is_ignored(self):
        async with self.run_all():
            self.store.era_header = "odd"
            self.store.put("config", "main", sessions.build_manifest(2))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            self.store.era_header = "-4"
            self.store.put("config", "main", sessions.build_manifest(3))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 3
            )
            self.assertEqual(200, (await self.call("/read/x"))[0])
            self.assertNotIn("store_era_changed", self.log.list_events())
