"""Ablations of what contains parts of prompts that crash endpoints.

See mechanisms.py for the format.
"""

from lab.mechanisms import ablate_module as _ablate

PARTS = "parts of prompts that crash endpoints reach few of them"
SOUND = "requests that share other parts with those are served"

_PARTS = "tests.test_crashing_parts.CrashingPartsTest"
_REPORTS = "tests.test_crash_reports.CrashReportsTest"
_REQUESTS = "tests.test_crashing_requests.CrashingRequestTest"
_STORE = "tests.test_crashing_part_store.CrashingPartStoreTest"

TEST_ABLATIONS = (
    _ablate(
        "new requests with the part refused",
        PARTS,
        "proxying",
        "if self._context.crashes.refuses(request):",
        "if False:",
        f"{_REQUESTS}.test_new_request_with_the_part_is_refused_as_not_run",
    ),
    _ablate(
        "parts checked again at each send",
        PARTS,
        "request_sends",
        "if self._context.crashes.refuses(self._request):",
        "if False:",
        f"{_REQUESTS}.test_request_is_not_sent_once_its_part_is_known",
    ),
    _ablate(
        "request that crashes endpoints not repeated",
        PARTS,
        "resends",
        "if self._context.crashes.refuses(self._request):",
        "if False:",
        f"{_REQUESTS}"
        ".test_request_that_crashes_the_third_endpoint_is_not_repeated",
    ),
    _ablate(
        "other entries told of crashes",
        PARTS,
        "crash_reports",
        "        self._untold_crashes.add(start)\n",
        "",
        f"{_REPORTS}.test_crashes_at_two_entries_refuse_a_part_at_both",
    ),
    _ablate(
        "entry that connects told of all crashes",
        PARTS,
        "crash_reports",
        "crashes = {start for start, _ in self.parts.list_crashes()}",
        "crashes = set()",
        f"{_REPORTS}.test_entry_that_connects_gets_all",
    ),
    _ablate(
        "refused parts kept in the store",
        PARTS,
        "crashing_part_store",
        "                await self._write(groups)\n",
        "",
        f"{_STORE}.test_refused_parts_are_written_once",
    ),
    _ablate(
        "stored parts refused by an entry that starts",
        PARTS,
        "crashing_part_store",
        "self._reports.adopt_group(group, ends_at - wall_now)",
        "pass",
        f"{_STORE}.test_stored_group_is_refused_by_an_entry_that_starts",
    ),
    _ablate(
        "answers clear the parts of their requests",
        SOUND,
        "crashing_parts",
        "            and answered_at > crashed_at - CLEARED_SECONDS\n",
        "            and False\n",
        f"{_PARTS}.test_part_that_was_answered_is_not_refused_with_the_other",
    ),
    _ablate(
        "parts that crash together refused together",
        SOUND,
        "crashing_parts",
        "if group.issubset(parts):",
        "if group.intersection(parts):",
        f"{_PARTS}.test_parts_that_only_crash_together_are_refused_together",
    ),
    _ablate(
        "endpoints that crash at once counted once",
        SOUND,
        "crashing_parts",
        "if sent_at >= earliest - TELLING_SECONDS:",
        "if True:",
        f"{_PARTS}.test_endpoints_that_crash_at_once_accuse_a_part_once",
    ),
    _ablate(
        "endpoint that is heard later not counted",
        SOUND,
        "crashing_parts",
        "        del self._crashes[start]\n        self._changed = True\n",
        "        self._changed = True\n",
        f"{_PARTS}.test_endpoint_that_is_heard_later_has_not_crashed",
    ),
    _ablate(
        "answers told to entries that accuse their parts",
        SOUND,
        "crash_reports",
        "            self._untold_answers.add(part)\n",
        "            pass\n",
        f"{_REPORTS}.test_earlier_answer_elsewhere_is_told_to_the_accuser",
    ),
)
