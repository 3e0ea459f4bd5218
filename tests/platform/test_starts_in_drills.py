"""Tests of all entries starting while the store returns from a copy.

The copy still has a key that was revoked before, and nobody else knows it.
"""

import contextlib
import time

import curio

from samphirevale import errors, gateway, store_eras
from standins import metadata_store, servers
from tests import base
from tests.platform import sessions

# How long the store is away, in seconds.
AWAY_SECONDS = 0.5

# How long after its return the operator has written again, in seconds. It is
# less than store_eras.REWRITE_SECONDS.
OPERATOR_SECONDS = 1.5

# When both entries of a deployment start, in seconds after the return of the
# store: while it is sound, as it goes away, and when nobody can have seen the
# sound one any more, which is while it is away and when the copy is in force.
STARTS = (
    (-1.5, -1.5),
    (-AWAY_SECONDS - 0.05, -AWAY_SECONDS - 0.05),
    (-1.5, 0.3),
)
STARTS_TOO_LATE = (
    (-0.2, -0.2),
    (-0.2, 0.3),
    (0.3, 0.3),
    (0.3, 1.2),
)

# The pause between two requests to an entry, in seconds.
PAUSE_SECONDS = 0.1

# How long an entry may take to serve after the drill, in seconds. It is for a
# busy machine, as one process runs all of these entries.
SERVING_SECONDS = 20.0

REVOKED_KEY = "k1"
VALID_KEY = "k2"


class StartTogetherInDrillTest(sessions.SessionTestCase):
    """All entries start, at several moments of the drill."""

    async def test_copy_names_the_era_before_as_settled(self):
        await self.play_all(is_era_in_copy=True)

    async def test_copy_names_no_settled_era(self):
        await self.play_all(is_era_in_copy=False)

    async def play_all(self, is_era_in_copy):
        """Plays a drill for each pair of starts, all at the same time."""
        async with contextlib.AsyncExitStack() as stack:
            server = servers.Server("plain1", "")
            server_port = await sessions.serve(stack, server.handle)
            async with base.open_group() as group:
                for starts in STARTS + STARTS_TOO_LATE:
                    await group.spawn(
                        self.play, server_port, starts, is_era_in_copy
                    )
        for starts, seen in zip(
            STARTS + STARTS_TOO_LATE, group.results, strict=True
        ):
            for statuses in seen:
                self.assertLessEqual(statuses, {None, 401, 503}, starts)
                if starts in STARTS_TOO_LATE:
                    self.assertIn(503, statuses, starts)

    async def play(self, server_port, starts, is_era_in_copy):
        """Plays a drill; returns how each entry answered the revoked key."""
        store = metadata_store.MetadataStore()
        store.put(
            "servers",
            "plain1",
            sessions.build_registration("plain1", server_port),
        )
        manifest = sessions.build_manifest(1, [REVOKED_KEY, VALID_KEY])
        store.put("config", "main", manifest)
        if is_era_in_copy:
            sessions.put_settled_era(store)
        copy = store.take_copy()
        sessions.put_settled_era(store)
        self.revoke(store)
        returns_at = time.monotonic() - min(starts) + 0.1
        async with contextlib.AsyncExitStack() as stack:
            store_port = await sessions.serve(stack, store.handle)
            async with base.open_group() as group:
                for number, start in enumerate(starts):
                    entry = self.build_gateway(store_port, f"entry{number}")
                    await group.spawn(
                        self.run_entry,
                        entry,
                        self.port,
                        returns_at + start,
                        returns_at + 2 * store_eras.REWRITE_SECONDS,
                    )
                await self.play_drill(store, copy, returns_at)
        return group.results

    def revoke(self, store):
        """Takes the key away, as the operator does before and after."""
        manifest = sessions.build_manifest(2, [VALID_KEY])
        store.put("config", "main", manifest)

    async def play_drill(self, store, copy, returns_at):
        await sleep_until(returns_at - AWAY_SECONDS)
        store.away = True
        await sleep_until(returns_at)
        store.restore_copy(copy)
        await sleep_until(returns_at + OPERATOR_SECONDS)
        self.revoke(store)

    async def run_entry(self, entry, port, starts_at, ends_at):
        """Starts an entry; returns how it answered the revoked key."""
        statuses = set()
        await sleep_until(starts_at)
        task = await curio.spawn(gateway.run, entry)
        try:
            while time.monotonic() < ends_at:
                statuses.add(await self.ask(port, REVOKED_KEY))
                await curio.sleep(PAUSE_SECONDS)
            async with curio.timeout_after(SERVING_SECONDS):
                while await self.ask(port, VALID_KEY) != 200:
                    await curio.sleep(PAUSE_SECONDS)
            statuses.add(await self.ask(port, REVOKED_KEY))
        finally:
            await task.cancel()
        return statuses

    async def ask(self, port, key):
        """Returns the status of an answer; None before the entry listens."""
        try:
            status, *_ = await self.call("/read/x", key=key, port=port)
        except errors.TransportError:
            return None
        return status


async def sleep_until(moment):
    """Sleeps until a moment of the monotonic clock."""
    await curio.sleep(max(moment - time.monotonic(), 0.0))
