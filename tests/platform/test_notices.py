"""Tests of decoding what an answer says about further calls."""

from samphirevale.platform import notices
from samphirevale.ports import proxies
from tests import base


class DecodeNoticeTest(base.TestCase):
    """Tests the headers of an answer."""

    def decode(self, status, **headers):
        return notices.decode_notice(
            status,
            {name.replace("_", "-"): text for name, text in headers.items()},
        )

    def test_every_answer_may_say_that_its_endpoint_leaves(self):
        for status in (200, 409, 500, 503):
            notice = self.decode(status, server_leaving="1")
            self.assertEqual(proxies.EndpointNotice(leaving=True), notice)
        self.assertEqual(proxies.NO_NOTICE, self.decode(200))

    def test_refusal_may_ask_for_a_pause(self):
        for text, seconds in (("3", 3.0), ("0.25", 0.25), (" 2 ", 2.0)):
            notice = self.decode(503, retry_after=text)
            self.assertEqual(
                proxies.EndpointNotice(pause_seconds=seconds), notice
            )
        self.assertEqual(proxies.NO_NOTICE, self.decode(429, retry_after="3"))

    def test_answer_may_state_how_long_its_endpoint_is_cold(self):
        notice = self.decode(200, samphirevale_cold_ms="1500")
        self.assertEqual(proxies.EndpointNotice(cold_seconds=1.5), notice)
        notice = self.decode(200, samphirevale_cold_ms="soon")
        self.assertEqual(0.0, notice.cold_seconds)
        self.assertEqual(1, len(notice.malformed))

    def test_answer_may_state_how_slow_its_endpoint_is(self):
        for text, slowness in (
            ("3,0,8,250", 2.5),
            ("3, 0, 8, 87.5", 0.875),
            ("3,0,8", None),
            ("", None),
            ("3,0,8,", None),
            ("3,0,8,nan", None),
            ("3,0,8,0", None),
            ("3,0,8,-5", None),
        ):
            notice = self.decode(200, samphirevale_backend_load=text)
            self.assertEqual(slowness, notice.slowness, text)

    def test_malformed_headers_are_described(self):
        for text in (
            *("-1", "soon", "nan", "inf", "-inf", "1e3", "1_0", "0x1", "1,5"),
            *("Wed, 21 Oct 2026 07:28:00 GMT", "\u0663", "1 2", "+1"),
        ):
            notice = self.decode(503, retry_after=text)
            self.assertEqual(
                proxies.EndpointNotice(malformed=(f"retry-after: {text}",)),
                notice,
            )
        (description,) = self.decode(200, server_leaving="x" * 999).malformed
        self.assertEqual(notices.DESCRIPTION_LIMIT, len(description))

    def test_every_answer_may_name_a_limit(self):
        for status in (200, 409, 500, 503):
            notice = self.decode(status, server_limit="1.5")
            self.assertEqual(proxies.EndpointNotice(limit=1.5), notice)
        self.assertIsNone(self.decode(200, server_limit="").limit)

    def test_malformed_limit_is_described_and_told_apart_from_none(self):
        for text in ("-1", "many", "nan", "1e3", "1,5"):
            expected = proxies.EndpointNotice(
                malformed=(f"server-limit: {text}",), limit_malformed=True
            )
            self.assertEqual(expected, self.decode(200, server_limit=text))

    def test_huge_pause_is_decoded(self):
        notice = self.decode(503, retry_after="9" * 400)
        self.assertEqual(float("inf"), notice.pause_seconds)

    def test_endpoint_at_a_reused_address_tells_nothing_of_the_former(self):
        self.assertEqual(
            proxies.NO_NOTICE, self.decode(421, server_leaving="1")
        )
