"""Tests of sessions in which the store comes back from a copy."""

import curio

from samphirevale import registrations
from tests.platform import sessions

# The time in which an entry notices a new era and has registered again, in
# seconds.
REGISTRATION_SECONDS = 3.0

SERVERS = (*sessions.SERVERS, "plain3")


class StoreDrillTest(sessions.SessionTestCase):
    """The store comes back from a copy some seconds old."""

    async def take_copy(self):
        """Returns a copy that includes the registration of the entry."""
        await self.wait_until(lambda: self.store.list_names(registrations.KIND))
        return self.store.take_copy()

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
            (name,) = self.store.list_names(registrations.KIND)
            self.store.remove(registrations.KIND, name)
            copy = self.store.take_copy()
            for _ in range(2):
                self.store.restore_copy(copy)
                async with curio.timeout_after(REGISTRATION_SECONDS):
                    await self.wait_until(
                        lambda: self.store.list_names(registrations.KIND)
                    )

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
