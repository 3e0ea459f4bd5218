"""Ablations of what keeps entries together within limits of endpoints.

See mechanisms.py for the format.
"""

from lab.mechanisms import ablate_module as _ablate

LIMITS = "endpoints get no more calls than the limit that they name"

_LIMITS = "tests.test_endpoint_limits.EndpointLimitsTest"
_HANDLER = "tests.test_notice_handler.NoticeHandlerTest"
_CALLS = "tests.platform.test_endpoints.PlatformEndpointsTest"

TEST_ABLATIONS = (
    _ablate(
        "calls wait for the share of a limit",
        LIMITS,
        "endpoint_notices",
        "            self.limits.compute_wait(start, now),\n",
        "",
        f"{_HANDLER}.test_limit_is_logged_once_counted_and_reported",
    ),
    _ablate(
        "limit divided among the entries told",
        LIMITS,
        "availability/call_shares",
        "return CallShare(len(sharers) / rate, me in sharers)",
        "return CallShare(1 / rate, me in sharers)",
        f"{_LIMITS}.test_limit_is_divided_among_the_entries_told",
    ),
    _ablate(
        "low limit shared by a part of the entries",
        LIMITS,
        "availability/call_shares",
        "names)[:most]",
        "names)",
        f"{_LIMITS}.test_low_limit_is_shared_by_a_part_of_a_large_fleet",
    ),
    _ablate(
        "limits that others were told kept",
        LIMITS,
        "notice_handler",
        "        self._cluster.notices.limits.adopt_report(entry, told, now)\n",
        "",
        f"{_HANDLER}.test_limit_of_another_entry_holds_here",
    ),
    _ablate(
        "limits reported to other entries",
        LIMITS,
        "notice_handler",
        "for start, told in self._cluster.notices.limits.list_told(now)",
        "for start, told in ()",
        f"{_HANDLER}.test_limit_is_logged_once_counted_and_reported",
    ),
    _ablate(
        "each call counted before it is sent",
        LIMITS,
        "platform/endpoints",
        "        self._listener.record_call(endpoint)\n",
        "",
        f"{_CALLS}.test_call_is_recorded_before_it_is_sent",
    ),
    _ablate(
        "limit ended by the newest answer",
        LIMITS,
        "endpoint_limits",
        "newest = max(told.values(), key=lambda value: value.at)",
        "newest = max(told.values())",
        f"{_LIMITS}.test_newest_answer_ends_the_limit_for_all",
    ),
    _ablate(
        "malformed limit ends none",
        LIMITS,
        "notice_handler",
        "        if not notice.limit_malformed:\n    ",
        "    ",
        f"{_HANDLER}.test_limit_ends_with_an_answer_that_names_none",
    ),
)
