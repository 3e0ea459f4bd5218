"""Tests of fingerprints of proxied requests."""

from samphirevale import input_fingerprints, proxy_requests
from tests import base, proxy_fakes


class FingerprintTest(base.TestCase):
    """Tests which requests have the same fingerprint."""

    def compute(self, account="acme", **changes):
        request = proxy_fakes.build_request(**changes)
        return input_fingerprints.compute_fingerprint(account, request)

    def test_another_attempt_has_the_same_fingerprint(self):
        self.assertEqual(
            self.compute(), self.compute(attempt="a2", wait_seconds=1.0)
        )

    def test_account_path_prompt_and_body_change_the_fingerprint(self):
        part = proxy_requests.PromptPart("p", 1)
        found = {
            self.compute(),
            self.compute(account="other"),
            self.compute(target="/p/y"),
            self.compute(prompt=(part,)),
            self.compute(body=b"other"),
        }
        self.assertEqual(5, len(found))
