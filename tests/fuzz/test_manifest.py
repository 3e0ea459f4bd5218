"""Fuzzes the operator's manifest, with odd values at any place of it.

Either it is refused as a whole, and the one before stays in force, or every
decision about a request can be made by it. The next manifest is in force.
"""

import math

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import routes, stage_times, stored_values
from samphirevale.platform import manifest
from tests import odd_values
from tests.fuzz import entry_sessions, inputs, test_stored_objects
from tests.platform import sessions

# The largest number that decisions are made by.
LARGEST = 2.0**63

NUMBERS = strategies.one_of(
    odd_values.NUMBERS,
    strategies.integers(-3, 3),
    strategies.sampled_from([0.0, -0.0, 1e-320, 1e300, -1e300]),
)

VALUES = strategies.one_of(NUMBERS, odd_values.VALUES)


def build_sound(version):
    """Returns a manifest in which all fields are stated."""
    value = sessions.build_manifest(version)
    value["routes"][0] |= {
        "weighted_split": [
            {"service": "plain", "weight": 3},
            {"service": "model", "weight": 0.5},
        ],
        "allowed_regions": ["a", "b"],
        "itl_target_ms": 50,
    }
    value["services"][0] |= {"cold_start_s": 3.0, "cold_per_s": 2}
    value["limits"] |= {
        "max_header_bytes": 16384,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    value["tenants"] += [
        {
            "name": "other",
            "api_keys": ["k2", "k3"],
            "priority": 1,
            "allowed_regions": ["a"],
        }
    ]
    return value


def encode_list(value):
    return test_stored_objects.build_list(
        test_stored_objects.build_object(
            manifest.NAME, test_stored_objects.encode(value)
        )
    )


class ManifestTest(entry_sessions.EntryTestCase):
    """Tests an entry that reads an odd manifest between two sound ones."""

    @inputs.limit_inputs
    @hypothesis.given(odd_values.build_changed(build_sound(2), VALUES))
    def test_manifests(self, odd):
        curio.run(self.check_manifests, odd)

    async def check_manifests(self, odd):
        await self.start()
        before = self.entry.cluster_state.table
        kind = manifest.KIND
        await entry_sessions.read_store(self.entry, kind, encode_list(odd))
        table = self.entry.cluster_state.table
        if table is not before:
            self.check_table(table)
            self.check_keys(table, odd.get("tenants"))
        self.check_requests()
        if table.version < stored_values.INTEGER_LIMIT:
            later = encode_list(build_sound(stored_values.INTEGER_LIMIT))
            await entry_sessions.read_store(self.entry, kind, later)
            found = self.entry.cluster_state.table
            self.assertEqual(stored_values.INTEGER_LIMIT, found.version)
        await self.sound.put(None)
        await self.sound_task.join()

    def check_table(self, table):
        """Checks the decisions about requests that follow from a table."""
        self.check_numbers(table.limits)
        accounts = [None]
        accounts += (table.accounts or {}).values()
        for service in table.services.values():
            if service.batch is not None:
                self.check_numbers(service.batch)
                self.assertGreater(service.batch.items, 0)
                self.assertGreater(service.batch.memory_bytes, 0)
        for route in table.list_routes():
            self.check_numbers(route)
            chosen = routes.choose_service(route, 0.5)
            self.assertIn(chosen, [split.service for split in route.splits])
            for account in accounts:
                table.compute_rank(route, account)
                routes.find_regions(route, account)
            seconds = stage_times.compute_bare_seconds(table, route, [2] * 9)
            self.assertTrue(0 <= seconds < LARGEST)
            table.find_route(route.host, route.path_prefix)
            for split in route.splits:
                self.assertTrue(0 <= split.weight < LARGEST)

    def check_keys(self, table, tenants):
        """Checks that keys are whole, as the manifest lists them."""
        lists = [tenant.get("api_keys") or [] for tenant in tenants or []]
        for keys in lists:
            self.assertIsInstance(keys, list)
        listed = {key for keys in lists for key in keys}
        self.assertNotIn("", listed)
        self.assertEqual(listed, set(table.accounts or ()))

    def check_numbers(self, fields):
        """Checks that the numbers among some fields can be used."""
        for value in fields:
            if isinstance(value, int | float):
                self.assertTrue(math.isfinite(value))
                self.assertLessEqual(abs(value), LARGEST)
