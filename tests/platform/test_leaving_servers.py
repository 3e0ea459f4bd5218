"""Tests of sessions with servers that ask for a pause."""

import time

import curio

from tests.platform import sessions


class PausingServerTest(sessions.SessionTestCase):
    """A server asks for a pause with a refusal."""

    async def test_a_malformed_pause_is_ignored(self):
        async with self.run_all():
            plain = self.servers["plain1"]
            for text in ("soon", "-1", "nan"):
                plain.begin_pause(0.2, time.monotonic(), text)
                await self.read_until_reached("plain1")
                await self.read_until_pause_ends("plain1")
                await curio.sleep(0.1)
                await self.read_until_reached("plain1")
