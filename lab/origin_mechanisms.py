"""Ablations of what entries write down of where streams began.

See mechanisms.py for the format.
"""

from lab.mechanisms import ablate_module as _ablate

RECORDS = "a stream goes on only where it began, also after a mass kill"

_OWN = "tests.origins.test_own_record.OwnRecordTest"
_RECORDER = "tests.origins.test_recorder.RecorderTest"
_CANDIDATES = "tests.origins.test_records.CandidatesTest"
_MASS_KILL = "tests.platform.test_mass_kill.MassKillTest"

TEST_ABLATIONS = (
    _ablate(
        "stream begun only at a version that the store knows",
        RECORDS,
        "cluster_state",
        "and (not wanted.recorded or self.is_recorded(endpoint))",
        "",
        "tests.test_proxying.StreamTest"
        ".test_no_stream_begins_at_a_version_that_is_not_recorded",
    ),
    _ablate(
        "single streams written beside a second version",
        RECORDS,
        "origins/own_record",
        "                if origin.service in uncertain\n",
        "                if False\n",
        f"{_OWN}.test_single_streams_are_written_only_beside_a_second_version",
        f"{_MASS_KILL}.test_streams_go_on_while_endpoints_of_their_version_live",
    ),
    _ablate(
        "single streams left out while there is one version",
        RECORDS,
        "origins/own_record",
        "                if origin.service in uncertain\n",
        "",
        f"{_RECORDER}.test_nothing_is_written_without_a_change",
    ),
    _ablate(
        "version counted after its last endpoint",
        RECORDS,
        "origins/own_record",
        "                self._origins[origin] = now + self.retention_seconds",
        "                self._origins[origin] = now",
        f"{_OWN}.test_version_that_has_gone_counts_while_its_streams_may_run",
    ),
    _ablate(
        "former services of a route counted",
        RECORDS,
        "origins/records",
        "        possible |= record.moved.get(route, frozenset())\n",
        "        pass\n",
        f"{_CANDIDATES}.test_services_that_a_route_had_count",
    ),
    _ablate(
        "nothing inferred while a record may be missing",
        RECORDS,
        "origins/recorder",
        "if found is not None or not listing.whole:",
        "if found is not None:",
        f"{_RECORDER}.test_a_copy_of_the_store_may_lack_a_version",
        f"{_RECORDER}.test_a_malformed_record_may_hide_any_version",
    ),
    _ablate(
        "record of an earlier process adopted",
        RECORDS,
        "origins/recorder",
        "                self._own.adopt_former(former, now)\n",
        "                pass\n",
        f"{_RECORDER}.test_no_stream_is_found_at_another_version",
        f"{_MASS_KILL}.test_a_stream_whose_version_left_meanwhile_is_not_joined",
    ),
    _ablate(
        "records of other entries counted",
        RECORDS,
        "origins/recorder",
        "known = [*listing.by_name.values(), self._own.build()]",
        "known = [self._own.build()]",
        f"{_RECORDER}"
        ".test_a_version_that_left_while_all_were_dead_is_a_candidate",
    ),
    _ablate(
        "record of an entry that never returns forgotten",
        RECORDS,
        "origins/recorder",
        "return now - since < self._own.retention_seconds",
        "return True",
        f"{_RECORDER}.test_an_entry_that_never_returns_counts_for_a_time_only",
    ),
    _ablate(
        "version not used while a write may remove it",
        RECORDS,
        "origins/own_record",
        "origins=self._written.origins & record.origins, streams={}",
        "streams={}",
        f"{_OWN}.test_version_is_not_used_while_it_may_be_removed_from_the_store",
    ),
    _ablate(
        "record written only over the version that was read",
        RECORDS,
        "platform/store",
        '            metadata["revision"] = version\n',
        "            pass\n",
        "tests.platform.test_store.WriteTest"
        ".test_an_object_is_replaced_only_at_its_version",
    ),
    _ablate(
        "record written again in a new era of the store",
        RECORDS,
        "origins/recorder",
        "            self._rewriting = True\n",
        "",
        "tests.platform.test_store_drills.StoreDrillTest"
        ".test_the_record_of_streams_is_written_again",
    ),
    _ablate(
        "reads of streams that ask at once shared",
        RECORDS,
        "origins/recorder",
        "self._listing.read_at < asked_at",
        "True",
        f"{_RECORDER}.test_streams_that_ask_at_once_share_a_read",
    ),
    _ablate(
        "not ready before its record is written",
        RECORDS,
        "gateway",
        "            and self.origin_recorder.is_settled\n",
        "",
        _MASS_KILL,
    ),
    _ablate(
        "ready without resumable streams",
        RECORDS,
        "origins/recorder",
        "        if not self._pending:\n            self._note_written()\n",
        "",
        f"{_RECORDER}"
        ".test_an_entry_without_resumable_streams_has_nothing_to_write",
    ),
    _ablate(
        "streams that are taken up admitted before others",
        RECORDS,
        "stage_admission",
        "    if request.resumed:\n",
        "    if False:\n",
        "tests.test_stage_admission.BurstTest"
        ".test_streams_that_are_taken_up_go_on_in_a_burst",
    ),
)
