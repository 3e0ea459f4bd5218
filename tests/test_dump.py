"""Tests of the state dump."""

import json

from samphirevale import dump, settings
from tests import base, test_settings


class DumpTest(base.TestCase):
    """The contents of a dump, and the secrets removed from it."""

    def test_contains_no_secret(self):
        loaded = settings.load_entry_settings(
            test_settings.FLAGS, test_settings.SECRETS
        )
        sections = dump.Sections()

        @sections.register("leaks")
        def build():
            return {
                test_settings.SECRET: [
                    f"Bearer {test_settings.TOKEN}",
                    {"peer_secret": "other"},
                ],
                "settings": loaded,
                "bytes": test_settings.TOKEN.encode(),
            }

        text = json.dumps(dump.build_dump(sections, loaded))
        self.assertNotIn(test_settings.SECRET, text)
        self.assertNotIn(test_settings.TOKEN, text)
        self.assertNotIn("other", text)

    def test_failing_section(self):
        sections = dump.Sections()

        @sections.register("broken")
        def build():
            raise KeyError(test_settings.SECRET)

        @sections.register("whole")
        def build_whole():
            return {1: {2.5, None}}

        loaded = settings.load_entry_settings(
            test_settings.FLAGS, test_settings.SECRETS
        )
        built = dump.build_dump(sections, loaded)
        self.assertEqual({"error": "KeyError: '[redacted]'"}, built["broken"])
        self.assertCountEqual([2.5, None], built["whole"]["1"])
