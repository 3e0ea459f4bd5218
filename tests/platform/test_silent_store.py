"""Tests of connections to the store that fall silent for good."""

import contextlib
import time
from unittest import mock

import curio

from standins import metadata_store
from tests.platform import sessions

# How long after the begin of a watch the connections fall silent, and how long
# after that a server drains, in seconds.
SILENT_AFTER = 0.15
DRAINS_AFTER = 0.5


class SilentStoreTest(sessions.SessionTestCase):
    """Calls that are open are never answered, and new ones are.

    Guards against an endpoint that drains, and still gets requests once its
    entry counts as one that can reach the store again.
    """

    @contextlib.asynccontextmanager
    async def run_silent(self):
        """Runs everything; `self.silences` counts the silences."""
        self.silences = 0
        self.watched = 0
        handle = metadata_store.MetadataStore.handle

        async def answer(store, request):
            silences = self.silences
            if "watch" in request.query and "servers" in request.path:
                self.watched += 1
            response = await handle(store, request)
            if silences != self.silences:
                await curio.sleep(100.0)
            return response

        with mock.patch.object(metadata_store.MetadataStore, "handle", answer):
            async with self.run_all():
                yield

    async def test_drain_is_learned_within_the_time_of_contact(self):
        async with self.run_silent():
            known = self.watched
            await self.wait_until(lambda: self.watched > known)
            await curio.sleep(SILENT_AFTER)
            self.silences += 1
            silent_at = time.monotonic()
            await curio.sleep(DRAINS_AFTER)
            self.change_server("plain2", state="draining")
            contact_seconds = self.gateway.settings.contact_seconds
            await curio.sleep(silent_at + contact_seconds - time.monotonic())
            self.assertEqual(["plain1"], self.list_accepting("plain"))
