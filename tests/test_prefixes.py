"""Tests of prefixes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import messages, prefixes
from tests import base

SETS = st.lists(st.sets(st.sampled_from("abcdefgh")), max_size=8)


class PrefixesTest(base.TestCase):
    """The receiver restores the sender's set from each heartbeat."""

    @settings(derandomize=True)
    @given(SETS)
    def test_restores_every_set(self, sets):
        sender, receiver = prefixes.PrefixEncoder(), prefixes.PrefixDecoder()
        for number, held in enumerate(sets):
            beat = messages.Heartbeat(number, False, prefixes=sorted(held))
            restored = receiver.decode(sender.encode(beat))
            self.assertEqual(held, set(restored.prefixes))

    def test_encodes_only_the_changes(self):
        sender = prefixes.PrefixEncoder()
        beat = messages.Heartbeat(0, False, prefixes=["a", "b"])
        self.assertEqual(["a", "b"], sender.encode(beat).prefixes)
        again = sender.encode(beat)
        self.assertEqual(([], []), (again.prefixes, again.prefixes_gone))
        changed = sender.encode(beat._replace(prefixes=["b", "c"]))
        self.assertEqual(["c"], changed.prefixes)
        self.assertEqual(["a"], changed.prefixes_gone)
