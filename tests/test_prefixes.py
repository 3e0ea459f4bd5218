"""Tests of prefixes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import messages, prefixes
from tests import base

SETS = st.lists(st.sets(st.sampled_from("abcdefgh")), max_size=8)


class PrefixesTest(base.TestCase):
    """The decoder restores the encoder's set from each heartbeat."""

    @settings(derandomize=True)
    @given(SETS)
    def test_decodes_every_set(self, sets):
        encoder, decoder = prefixes.PrefixEncoder(), prefixes.PrefixDecoder()
        for number, cached in enumerate(sets):
            heartbeat = messages.Heartbeat(
                number, False, prefixes=sorted(cached)
            )
            decoded = decoder.decode(encoder.encode(heartbeat))
            self.assertEqual(cached, set(decoded.prefixes))

    def test_encodes_only_the_changes(self):
        encoder = prefixes.PrefixEncoder()
        heartbeat = messages.Heartbeat(0, False, prefixes=["a", "b"])
        self.assertEqual(["a", "b"], encoder.encode(heartbeat).prefixes)
        again = encoder.encode(heartbeat)
        self.assertEqual(([], []), (again.prefixes, again.prefixes_gone))
        changed = encoder.encode(heartbeat._replace(prefixes=["b", "c"]))
        self.assertEqual(["c"], changed.prefixes)
        self.assertEqual(["a"], changed.prefixes_gone)
