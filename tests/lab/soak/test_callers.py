"""Tests how callers read events."""

from lab.soak import callers
from standins import servers
from tests import base


class ParseTest(base.TestCase):
    """Tests the events of endpoints and other bytes."""

    def test_events_and_other_texts(self):
        event = servers.build_event(3, "v2").removesuffix(b"\n\n")
        self.assertEqual((3, "v2"), callers.parse_event(event))
        for text in (b"", b"oops", event + b"\n" + event, b"id: 1\ndata: e2 v"):
            self.assertEqual(0, callers.parse_event(text)[0])
