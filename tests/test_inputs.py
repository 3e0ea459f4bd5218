"""Fingerprints of what a caller sends again."""

from samphirevale import inputs, proxied
from tests import base, proxy_fakes


class FingerprintTest(base.TestCase):
    """What makes two inputs the same."""

    def compute(self, account="acme", **changes):
        request = proxy_fakes.build_request(**changes)
        return inputs.compute_fingerprint(account, request)

    def test_another_attempt_is_the_same_input(self):
        self.assertEqual(
            self.compute(), self.compute(attempt="a2", wait_seconds=1.0)
        )

    def test_account_path_prompt_and_body_tell_inputs_apart(self):
        part = proxied.PromptPart("p", 1)
        found = {
            self.compute(),
            self.compute(account="other"),
            self.compute(target="/p/y"),
            self.compute(prompt=(part,)),
            self.compute(body=b"other"),
        }
        self.assertEqual(5, len(found))
