"""The decisions of one stage's attempts that need no process."""

import hashlib

from samphirevale import handovers
from samphirevale.ports import endpoints
from tests import base


class PrefixTest(base.TestCase):
    """The prefix that an entry looks for is the one that an engine caches."""

    def test_is_of_the_prompt_that_the_sidecar_sends(self):
        for value in ("São Paulo", {"rows": 7, "farm": "Serra Gaúcha"}):
            prompt = endpoints.build_prompt(value)
            expected = hashlib.sha256(prompt[:64].encode()).hexdigest()
            self.assertEqual(handovers.digest_prefix(value), expected)
