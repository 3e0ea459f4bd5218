"""Ablations of the mechanisms of the proxying entry for streams and silences.

A stream goes on only at the version that began it, and an endpoint that works
may be silent for about a second. See mechanisms.py for the format.
"""

from lab.mechanisms import ablate_module as _ablate

VERSIONS = "a stream goes on only at the version that began it"
SILENCES = "nothing is given up for a brief silence of an endpoint"
STOPS = "no request is left without an answer as the process ends"
SILENT_LIMITS = "silent endpoints take no work, time or retries of others"

_EVENT_STREAMS = "tests.test_event_streams"
_SILENT_STREAM = f"{_EVENT_STREAMS}.SilentStreamTest"
_SILENT_STREAMS = f"{_EVENT_STREAMS}.SilentStreamsTest"
_BROKEN = "tests.test_stream_resumptions.BrokenStreamTest"
_STREAM = "tests.test_proxying.StreamTest"
_COMPLETE = "tests.test_proxying.CompleteAnswerTest"
_RACE = "tests.test_exchange_races.ExchangeRaceTest"
_ORIGINS = "tests.test_stream_origins"
_ENTRIES = "tests.test_entries.EntryTableTest"
_DISPATCH = "tests.test_batch_dispatch"
_REPORTS = "tests.platform.test_wrong_reports.WrongReportsTest"
_LAST = "tests.platform.test_last_answers.LastAnswersTest"

TEST_ABLATIONS = (
    _ablate(
        "endpoint asked for its start before a stream goes on",
        VERSIONS,
        "request_sends",
        "            return min(GOING_ON_ASK_SECONDS, remaining)\n",
        "            return None\n",
        "tests.platform.test_out_of_step.OutOfStepTest"
        ".test_stream_does_not_go_on_at_a_server_that_has_changed",
    ),
    _ablate(
        "report that cannot be read does not tell that an endpoint is the same",
        VERSIONS,
        "platform/endpoints",
        "        started = _decode_start(data) "
        "if answer.status == 200 else None\n",
        "        try:\n"
        "            started = _decode_start(data)\n"
        "        except errors.UnconfirmedStartError:\n"
        "            started = endpoint.started\n",
        f"{_REPORTS}.test_no_stream_is_joined_in_each_way_reports_go_wrong",
    ),
    _ablate(
        "endpoint asked for its start before a stream begins",
        VERSIONS,
        "availability/eligibility",
        "return self.version is not None or self.recorded or self.shared_parts",
        "return self.version is not None or self.shared_parts",
        "tests.test_proxying.StreamTest"
        ".test_endpoint_is_asked_for_its_start_if_its_version_matters",
        "tests.platform.test_versions.VersionTest"
        ".test_no_stream_is_joined_that_began_before_a_registration",
        "tests.platform.test_versions.VersionTest"
        ".test_broken_stream_is_not_joined_before_a_registration",
    ),
    _ablate(
        "start of an endpoint confirmed on the request's own connection",
        VERSIONS,
        "platform/endpoints",
        "                if connection.is_reusable() "
        "and not connection.is_stale():\n"
        "                    return connection, started\n",
        "                if not connection.is_reusable():\n"
        "                    connection = "
        "await self._open_connection(endpoint)\n"
        "                return connection, started\n",
        "tests.platform.test_endpoints.PlatformEndpointsTest"
        ".test_start_is_asked_for_on_each_connection",
    ),
    _ablate(
        "report without a start confirms none",
        VERSIONS,
        "platform/endpoints",
        "        if started is None:\n            raise",
        "        if False:\n            raise",
        "tests.platform.test_endpoints.PlatformEndpointsTest"
        ".test_refused_report_confirms_no_start",
        "tests.platform.test_endpoints.PlatformEndpointsTest"
        ".test_report_that_does_not_say_a_start_confirms_none",
    ),
    _ablate(
        "stream begins at an endpoint that names no start",
        VERSIONS,
        "platform/endpoints",
        "            if send.start_required:\n                raise\n",
        "            raise\n",
        f"{_REPORTS}.test_all_streams_are_served_in_each_way_reports_go_wrong",
    ),
    _ablate(
        "stream that begins goes on only at a version that is known",
        VERSIONS,
        "stream_beginnings",
        "                return stream_origins.UNKNOWN_VERSION\n"
        "            return endpoint.version\n",
        "                return endpoint.version\n"
        "            return endpoint.version\n",
        f"{_REPORTS}.test_no_stream_is_joined_in_each_way_reports_go_wrong",
        f"{_STREAM}.test_stream_of_no_known_version_does_not_go_on",
    ),
    _ablate(
        "streams of no known version marked in the store",
        VERSIONS,
        "origins/recorder",
        "        self._own.expect_unknown(service, self._clock.now())\n",
        "",
        "tests.origins.test_recorder.UnknownVersionTest"
        ".test_nothing_is_inferred_beside_streams_of_no_known_version",
    ),
    _ablate(
        "caller waits for the mark of its stream",
        VERSIONS,
        "stream_bindings",
        "    await _wait_for_mark(context, first_attempt, service)\n",
        "",
        f"{_STREAM}.test_caller_gets_nothing_before_its_stream_is_marked",
    ),
    _ablate(
        "endpoint asked again for the start that began a stream",
        VERSIONS,
        "stream_beginnings",
        "                await curio.spawn(self._ask, endpoint, daemon=True)\n",
        "                pass\n",
        f"{_STREAM}.test_stream_goes_on_once_its_start_is_confirmed",
        f"{_REPORTS}.test_stream_is_taken_up_once_its_start_is_confirmed",
    ),
    _ablate(
        "endpoint that names no start not asked before each stream",
        VERSIONS,
        "request_sends",
        "        if not wanted.needs_start() or "
        "unnamed.is_marked(endpoint, now):\n",
        "        if not wanted.needs_start():\n",
        f"{_STREAM}.test_endpoint_that_has_named_no_start_is_not_asked_at_once",
    ),
    _ablate(
        "all questions before a stream begins limited together",
        VERSIONS,
        "request_sends",
        "        left = BEGIN_ASK_SECONDS - self._asking_seconds\n",
        "        left = BEGIN_ASK_SECONDS\n",
        f"{_STREAM}"
        ".test_all_questions_before_a_stream_begins_take_a_limited_time",
    ),
    _ablate(
        "stream rather begins at an endpoint that names its start",
        VERSIONS,
        "endpoint_choice",
        "            if not unnamed.is_marked(endpoint, now)\n"
        "            and selector",
        "            if selector",
        f"{_STREAM}.test_stream_rather_begins_where_it_can_be_taken_up",
    ),
    _ablate(
        "stream begins at a start that is not listed if there is no other",
        VERSIONS,
        "endpoint_choice",
        "unlisted=self.wanted.version is None",
        "unlisted=False",
        f"{_STREAM}.test_stream_begins_while_no_start_is_listed",
        "tests.platform.test_versions.VersionTest"
        ".test_streams_begin_while_no_start_is_listed",
    ),
    _ablate(
        "endpoint asked for its start before a part may be accused",
        VERSIONS,
        "availability/eligibility",
        "return self.version is not None or self.recorded or self.shared_parts",
        "return self.version is not None or self.recorded",
        "tests.platform.test_crashing_parts.CrashEvidenceTest"
        ".test_crash_is_not_forgotten_as_the_next_start_answers",
        "tests.platform.test_crashing_parts.CrashEvidenceTest"
        ".test_crashes_of_starts_that_are_not_listed_do_not_count_as_one",
    ),
    _ablate(
        "start that is over asked for no more",
        VERSIONS,
        "availability/start_marks",
        "return now < self._until.get(catalogue.get_start(endpoint), now)",
        "return False",
        "tests.platform.test_versions.VersionTest"
        ".test_server_whose_start_is_not_listed_is_asked_once",
        "tests.test_proxying.StreamTest"
        ".test_stream_does_not_go_on_while_no_start_is_listed",
    ),
    _ablate(
        "start that is over left out of the candidates",
        VERSIONS,
        "cluster_state",
        "                needs_listed and "
        "self.ended_starts.is_marked(endpoint, now)\n",
        "                False\n",
        "tests.test_cluster_state.UsableEndpointsTest"
        ".test_endpoint_that_has_started_again_gets_only_plain_requests",
    ),
    _ablate(
        "nothing sent to a start that has turned out to be over",
        VERSIONS,
        "request_sends",
        "        self._check_listed(endpoint)\n"
        "        if self._context.crashes",
        "        if self._context.crashes",
        "tests.test_proxying.StreamTest"
        ".test_endpoint_whose_start_ended_after_the_choice_gets_nothing",
    ),
    _ablate(
        "nothing sent to an endpoint that has left during the question",
        VERSIONS,
        "exchanges",
        "            raise errors.NotAcceptingError(\n",
        "            errors.NotAcceptingError(\n",
        "tests.test_proxying.StreamTest"
        ".test_nothing_is_sent_to_an_endpoint_that_left_during_the_question",
    ),
    _ablate(
        "version of the endpoint that begins a stream kept",
        VERSIONS,
        "proxy_runs",
        "            self._shared.bind_beginning(answer.beginning)\n",
        "",
        f"{_STREAM}.test_broken_stream_is_not_resumed_at_another_version",
    ),
    _ablate(
        "stream that is taken up bound to its version",
        VERSIONS,
        "stream_bindings",
        "    endpoints.bind_version(origin.version)\n",
        "",
        f"{_STREAM}.test_stream_that_began_at_another_entry_goes_on",
        f"{_STREAM}.test_stream_that_is_taken_up_goes_on_where_it_began",
    ),
    _ablate(
        "stream that is taken up bound to its service",
        VERSIONS,
        "stream_bindings",
        "    endpoints.service = origin.service\n",
        "",
        f"{_STREAM}.test_stream_stays_at_its_service_of_several",
    ),
    _ablate(
        "stream of a service that was replaced refused",
        VERSIONS,
        "stream_bindings",
        "if origin.service not in services:",
        "if False:",
        f"{_STREAM}.test_stream_of_a_service_that_was_replaced_is_refused",
    ),
    _ablate(
        "stream of a version without endpoints refused before its stages",
        VERSIONS,
        "stream_bindings",
        "if not endpoints.list_available():",
        "if False:",
        f"{_STREAM}"
        ".test_stream_whose_version_has_gone_is_refused_before_stages",
    ),
    _ablate(
        "caller told when the stream's version ends its pause",
        VERSIONS,
        "stream_bindings",
        "if endpoints.all_pause():",
        "if False:",
        f"{_STREAM}.test_stream_learns_when_its_version_ends_its_pause",
    ),
    _ablate(
        "unknown stream goes on at the only version",
        VERSIONS,
        "origins/recorder",
        "return candidates.pop() if len(candidates) == 1 else None",
        "return None",
        f"{_STREAM}.test_stream_of_unknown_version_goes_on_if_there_is_only_one",
    ),
    _ablate(
        "unknown stream of several services refused",
        VERSIONS,
        "origins/recorder",
        "return candidates.pop() if len(candidates) == 1 else None",
        "return min(candidates, default=None)",
        f"{_STREAM}.test_stream_stays_at_its_service_of_several",
    ),
    _ablate(
        "other entries told before the caller has an event",
        VERSIONS,
        "proxy_runs",
        "            await stream_bindings.record_origin(\n"
        "                self._context, self._accepted, answer.beginning\n"
        "            )\n",
        "",
        f"{_STREAM}.test_other_entries_know_a_stream_before_its_caller",
    ),
    _ablate(
        "stream taken up twice known by its first attempt",
        VERSIONS,
        "stream_bindings",
        "first_attempt = request.first_attempt",
        "pass",
        f"{_STREAM}.test_stream_taken_up_twice_is_known_by_its_first_attempt",
    ),
    _ablate(
        "entries asked where an unknown stream began",
        VERSIONS,
        "stream_origins",
        "for name in names[:ASKED]:",
        "for name in ():",
        f"{_ORIGINS}.OriginDirectoryTest",
    ),
    _ablate(
        "more entries asked than told",
        VERSIONS,
        "stream_origins",
        "ASKED = HOLDERS + 2",
        "ASKED = HOLDERS",
        f"{_ORIGINS}.OriginDirectoryTest",
    ),
    _ablate(
        "wait for asked entries limited",
        VERSIONS,
        "stream_origins",
        "ASK_SECONDS = 0.25",
        "ASK_SECONDS = 60.0",
        f"{_ORIGINS}.OriginDirectoryTest",
    ),
    _ablate(
        "streams forgotten after their time",
        VERSIONS,
        "stream_origins",
        "if found is None or found.until <= now:",
        "if found is None:",
        f"{_ORIGINS}.StreamOriginsTest",
    ),
    _ablate(
        "number of remembered streams limited",
        VERSIONS,
        "stream_origins",
        "if len(self._by_attempt) >= STREAMS_LIMIT:",
        "if False:",
        f"{_ORIGINS}.StreamOriginsTest",
    ),
    _ablate(
        "told origins remembered",
        VERSIONS,
        "entry_handler",
        "        self._origins.record(message.attempt, origin, until)\n",
        "",
        f"{_ENTRIES}.test_origins_of_streams_are_told_and_asked",
    ),
    _ablate(
        "stream that is taken up not queued behind others",
        VERSIONS,
        "proxying",
        "retried and not (route.streamed and request.last_event)",
        "retried",
        f"{_STREAM}.test_stream_that_is_taken_up_does_not_wait_behind_others",
    ),
    _ablate(
        "silent stream read on until the next endpoint has not refused it",
        SILENCES,
        "event_streams",
        "OVERLAP_SECONDS = 0.3",
        "OVERLAP_SECONDS = 0.1",
        f"{_SILENT_STREAM}.test_silent_stream_is_not_cut_by_a_late_refusal",
    ),
    _ablate(
        "part that arrives after a cancelled read kept",
        SILENCES,
        "event_streams",
        "            self._parts = self._exchange.answer.read_parts()\n"
        "            raise\n",
        "            raise\n",
        f"{_STREAM}"
        ".test_stream_of_a_silent_endpoint_is_not_cut_without_retries",
    ),
    _ablate(
        "refused resumption leaves the silent endpoint",
        SILENCES,
        "event_streams",
        "elif not resumption.terminated or resumption.result is not None:",
        "else:",
        f"{_STREAM}"
        ".test_stream_of_a_silent_endpoint_is_not_cut_without_retries",
        f"{_STREAM}"
        ".test_stream_of_a_silent_endpoint_is_not_cut_by_a_failed_stage",
    ),
    _ablate(
        "resumed stream has the time of a first event",
        SILENCES,
        "event_streams",
        "        self._parts = exchange.answer.read_parts()\n"
        "        self._begun = False\n",
        "        self._parts = exchange.answer.read_parts()\n",
        f"{_SILENT_STREAM}.test_resumed_stream_has_the_time_of_a_first_event",
    ),
    _ablate(
        "resumption goes on when the silent endpoint breaks",
        SILENCES,
        "event_streams",
        "                reason = await self._close_broken(error)\n"
        "                await self._adopt_resumed(resumption, reason)\n"
        '                return b""\n',
        "                await self._resume_broken(error)\n"
        '                return b""\n',
        f"{_SILENT_STREAM}"
        ".test_preparation_goes_on_when_the_silent_endpoint_breaks",
    ),
    _ablate(
        "two endpoints work on one stream only for a moment",
        SILENT_LIMITS,
        "event_streams",
        "            and self._run.compute_overlap(self._exchange)"
        " < OVERLAP_SECONDS\n",
        "",
        f"{_SILENT_STREAM}"
        ".test_two_endpoints_do_not_work_on_one_stream_for_long",
    ),
    _ablate(
        "refusal of the next endpoint ends the overlap",
        SILENCES,
        "request_sends",
        "            if self._newest is exchange:\n"
        "                self._newest = None\n",
        "",
        f"{_SILENT_STREAM}"
        ".test_silent_stream_is_not_left_for_one_that_has_refused",
    ),
    _ablate(
        "resumption goes on at a further endpoint after a refusal",
        SILENCES,
        "stream_resumptions",
        "                retry_taken = False\n"
        '                if getattr(error, "lacks_results", False):\n',
        "                raise errors.AnswerLostError(str(error)) from error\n"
        '                if getattr(error, "lacks_results", False):\n',
        f"{_BROKEN}.test_refused_stream_goes_on_at_a_further_endpoint",
    ),
    _ablate(
        "stages of a resumption run again if their results are gone",
        SILENCES,
        "stream_resumptions",
        "                    results = None\n",
        "                    pass\n",
        f"{_BROKEN}.test_lost_results_of_a_stream_are_computed_again",
    ),
    _ablate(
        "unadopted exchange of a resumption closed",
        SILENT_LIMITS,
        "event_streams",
        "if exchange is not None and exchange is not self._exchange:",
        "if False:",
        f"{_SILENT_STREAM}.test_stream_that_goes_on_closes_its_resumption",
    ),
    _ablate(
        "results of a resumption that failed released",
        SILENT_LIMITS,
        "event_streams",
        "            self._run.log_silence(self._order.last, str(error))\n"
        "            await self._run.release_results()\n",
        "            self._run.log_silence(self._order.last, str(error))\n",
        f"{_SILENT_STREAM}"
        ".test_results_of_a_refused_resumption_are_released_at_once",
    ),
    _ablate(
        "silent stream at its deadline ended without a retry",
        SILENT_LIMITS,
        "event_streams",
        "            if not self._compute_remaining():\n"
        "                self._end(SILENT)\n",
        "",
        f"{_SILENT_STREAMS}.test_stream_at_its_deadline_takes_no_retry",
        f"{_SILENT_STREAMS}.test_stream_at_its_deadline_is_logged_as_ended",
    ),
    _ablate(
        "deadline ends the wait for a resumption",
        SILENT_LIMITS,
        "event_streams",
        "            self._compute_remaining()\n"
        "            and not resumption.terminated\n",
        "            not resumption.terminated\n",
        f"{_SILENT_STREAM}"
        ".test_deadline_ends_a_silent_stream_while_its_stages_run",
    ),
    _ablate(
        "endpoint chosen after the stages of a resumption",
        SILENT_LIMITS,
        "stream_resumptions",
        "                results = await self._run_stages_for_resume()\n"
        "                endpoint = await self.wait_for_endpoint("
        "needs_stages=False)\n",
        "                results = await self._run_stages_for_resume()\n",
        f"{_SILENT_STREAMS}"
        ".test_silent_streams_do_not_share_it_after_their_stages",
    ),
    _ablate(
        "retry taken before the stages of a resumption",
        SILENT_LIMITS,
        "stream_resumptions",
        "if not retry_taken and not self._resends.may_send_again():",
        "if results is not None and not self._resends.may_send_again():",
        f"{_SILENT_STREAMS}"
        ".test_stages_of_silent_streams_run_again_within_the_budget",
    ),
    _ablate(
        "failed connection of a resumption takes no further retry",
        SILENT_LIMITS,
        "stream_resumptions",
        "                retry_taken = True\n",
        "",
        f"{_BROKEN}.test_failed_connection_takes_no_retry_of_a_stream",
    ),
    _ablate(
        "failed connections of a resumption limited",
        SILENT_LIMITS,
        "stream_resumptions",
        "                if connection_failures"
        " >= request_sends.CONNECT_FAILURES_LIMIT:\n"
        '                    raise errors.AnswerLostError("unreachable")'
        " from error\n",
        "",
        f"{_BROKEN}.test_failed_connections_of_a_stream_are_limited",
    ),
    _ablate(
        "silent answer kept beside that of the next endpoint",
        SILENCES,
        "proxy_runs",
        "if self._route.streamed and race.running > 1:",
        "if race.running > 1:",
        f"{_EVENT_STREAMS}.SilentAnswerTest"
        ".test_silent_answer_is_not_given_up_for_another_silent_one",
    ),
    _ablate(
        "silent first event awaited until the next endpoint has not refused",
        SILENCES,
        "proxy_runs",
        "if overlap >= event_streams.OVERLAP_SECONDS:",
        "if True:",
        f"{_EVENT_STREAMS}.SilentFirstEventTest",
    ),
    _ablate(
        "two endpoints begin one stream only for a moment",
        SILENT_LIMITS,
        "proxy_runs",
        "                for endpoint in await race.keep_last():\n",
        "                for endpoint in ():\n",
        f"{_EVENT_STREAMS}.SilentFirstEventTest"
        ".test_two_endpoints_do_not_begin_one_stream_for_long",
    ),
    _ablate(
        "request to a silent endpoint sent to another",
        SILENCES,
        "proxy_runs",
        '        self._shared.log_step("endpoint_silent",'
        " exchanges=race.running)\n"
        "        await self._start_exchange(race)\n",
        "",
        f"{_COMPLETE}.test_request_to_a_silent_endpoint_is_sent_to_another",
    ),
    _ablate(
        "failure of an endpoint returned if no other is left",
        SILENCES,
        "send_failures",
        "                self._endpoints.choose() is not None\n"
        "                and self._resends.may_send_again()\n",
        "                self._resends.may_send_again()\n",
        f"{_COMPLETE}.test_failure_is_returned_without_another_endpoint",
    ),
    _ablate(
        "error of one endpoint leaves the others",
        SILENCES,
        "exchange_races",
        "        except (Exception, curio.TaskTimeout) as error:\n",
        "        except TimeoutError as error:\n",
        f"{_RACE}.test_error_of_one_endpoint_leaves_the_other",
    ),
    _ablate(
        "exchange that ended while it was cancelled still counted",
        SILENCES,
        "exchange_races",
        "            if isinstance(task.exception, curio.TaskCancelled):\n"
        "                self.running -= 1\n",
        "            self.running -= 1\n",
        f"{_RACE}.test_exchange_that_ended_before_its_cancellation_counts",
    ),
    _ablate(
        "begun stream that nobody reads closed",
        SILENT_LIMITS,
        "exchange_races",
        "                await outcome.chunks.aclose()\n",
        "                pass\n",
        f"{_RACE}.test_stream_that_nobody_reads_is_closed",
    ),
    _ablate(
        "other exchanges cancelled after an answer",
        SILENT_LIMITS,
        "exchange_races",
        "            for _, task in self._tasks:\n"
        "                await task.cancel()\n",
        "",
        f"{_RACE}.test_answer_of_the_later_endpoint_may_come_first",
    ),
    _ablate(
        "endpoint with an overdue call avoided",
        SILENT_LIMITS,
        "batch_dispatch",
        "            self._penalized_until[name] = call.times_out_at\n",
        "",
        f"{_DISPATCH}.BatchDispatcherTest"
        ".test_items_behind_an_overdue_call_are_returned",
    ),
    _ablate(
        "endpoint not avoided once its overdue call has ended",
        SILENCES,
        "batch_dispatch",
        "        # The endpoint has answered.\n"
        "        self._penalized_until.pop(endpoint.name, None)\n",
        "",
        f"{_DISPATCH}.BatchDispatcherTest"
        ".test_call_of_a_briefly_silent_endpoint_is_not_given_up",
    ),
    _ablate(
        "slow call has its time before the silence",
        SILENCES,
        "batch_dispatch",
        "OVERDUE_FACTOR = 3.0",
        "OVERDUE_FACTOR = 1.0",
        f"{_DISPATCH}.BatchDispatcherTest"
        ".test_call_of_a_slow_endpoint_outlasts_a_brief_silence",
    ),
    _ablate(
        "items for a new start not behind the old queue",
        SILENT_LIMITS,
        "batch_dispatch",
        "        key = _build_key(endpoint)\n"
        "        task = self._queue_tasks.get(key)\n",
        "        key = endpoint.name\n"
        "        task = self._queue_tasks.get(key)\n",
        f"{_DISPATCH}.RestartedEndpointTest",
    ),
    _ablate(
        "results that cross a cancellation released",
        SILENT_LIMITS,
        "entry_handler",
        "            await entry.release_unwanted(message)\n",
        "            pass\n",
        f"{_ENTRIES}.test_results_that_cross_a_cancellation_are_released",
    ),
    _ablate(
        "broken stream given up that cannot go on before the process ends",
        STOPS,
        "stream_resumptions",
        "if self._context.clock.now() + needed > self._context.process_end.at:",
        "if False:",
        "tests.test_stopping_streams.StoppingStreamTest"
        ".test_stream_that_cannot_go_on_before_the_end_breaks_at_once",
    ),
    _ablate(
        "new request given no more time than the process has",
        STOPS,
        "proxying",
        "                self._context.process_end.at,\n",
        "                float('inf'),\n",
        "tests.test_stopping_streams.StoppingStreamTest"
        ".test_new_request_is_given_no_more_time_than_the_process_has",
    ),
    _ablate(
        "requests ended while there is time for their answers",
        STOPS,
        "gateway",
        "drain_ends_at = grace_ends_at - last_seconds",
        "drain_ends_at = process_ends_at",
        "tests.platform.test_last_answers",
    ),
    _ablate(
        "busy process given more time for its last answers",
        STOPS,
        "gateway",
        "turn_seconds = max(turn_seconds, late_seconds)",
        "pass",
        f"{_LAST}.test_last_answers_of_a_busy_entry_come_after_the_grace",
    ),
    _ablate(
        "last answers before new connections",
        STOPS,
        "gateway",
        "limit, gate.limit = gate.limit, 0",
        "limit = gate.limit",
        f"{_LAST}.test_new_connections_are_served_before_the_last_answers",
    ),
    _ablate(
        "grace period counted from the signal",
        STOPS,
        "gateway",
        "drain_started_at = min(self._stopped_at, self.clock.now())",
        "drain_started_at = self.clock.now()",
        f"{_LAST}.test_busy_entry_that_sees_the_order_late_outlasts_its_grace",
    ),
    _ablate(
        "requests accepted in a part of a short grace period only",
        STOPS,
        "gateway",
        "min(LINGER_SECONDS, grace_seconds * ACCEPTING_SHARE)",
        "LINGER_SECONDS",
        f"{_LAST}.test_request_that_cannot_be_answered_in_a_short_grace_is_run",
    ),
    _ablate(
        "streams at work go on until late in a short grace period",
        STOPS,
        "gateway",
        "GRACE_MARGIN_SECONDS, grace_seconds * GRACE_MARGIN_SHARE",
        "GRACE_MARGIN_SECONDS, grace_seconds",
        "tests.platform.test_late_in_the_grace.LateRequestsTest"
        ".test_request_that_comes_late_in_a_short_grace_is_cut",
    ),
    _ablate(
        "process ended without the shutdown of its interpreter",
        STOPS,
        "platform/__main__",
        "    os._exit(code)\n",
        "    sys.exit(code)\n",
        "tests.platform.test_stopping_process.SlowShutdownTest"
        ".test_process_that_shuts_down_slowly_is_killed_at_its_end",
    ),
    _ablate(
        "end of a request taken back once there is an answer",
        STOPS,
        "proxying",
        "await curio.check_cancellation(_EndedError)",
        "pass",
        "tests.test_stopping_streams.StoppingStreamTest"
        ".test_stream_that_begins_as_requests_are_ended_breaks",
    ),
    _ablate(
        "task of a request that was ended can be cancelled again",
        STOPS,
        "proxying",
        "task.cancelled = False",
        "pass",
        "tests.test_stopping_streams.StoppingStreamTest"
        ".test_caller_of_a_request_that_was_ended_leaves_unnoticed",
    ),
    _ablate(
        "request in progress answered as the server ends",
        STOPS,
        "adapters/web_connections",
        "if self._protocol.our_state is not h11.SEND_RESPONSE:",
        "if True:",
        "tests.adapters.test_web_connections.EndOfServerTest"
        ".test_request_in_progress_is_cut_or_refused",
    ),
)
