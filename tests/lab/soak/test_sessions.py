"""A short seeded play with real processes."""

import pathlib
import tempfile

import curio

from lab.soak import checks, plans, records, sessions
from tests import base

PLAY = plans.Play(
    seed=59, entries=3, servers=9, seconds=8.0, callers=60, plain=4
)


class PlayTest(base.TestCase):
    """Three entries, nine model endpoints, two releases, losses, pauses."""

    def test_streams_go_on_at_their_version_while_endpoints_start_again(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            seen = curio.run(sessions.play_all, PLAY, folder)
            self.assertEqual(seen.legs, sessions.read_seen(folder).legs)
            lines = sessions.read_lines(folder)
        taken_up = [leg for leg in seen.legs if leg.last_event and leg.events]
        self.assertGreater(len(taken_up), 0)
        ends = {leg.end for leg in seen.legs}
        self.assertLessEqual({records.COMPLETE, records.LEFT}, ends)
        streams = checks.group_streams(seen.legs)
        for finding in checks.check_all(seen):
            legs = streams.get(finding.stream, [])
            trace = "\n".join(checks.build_trace(legs, seen, lines))
            self.fail(f"{finding}\n{trace}")
