"""Ablations of the mechanisms of the proxying entry.

Each mechanism implements a rule of the users' platform; docs/PROOFS.md has a
row for each rule. See mechanisms.py for the format.
"""

from lab.mechanisms import Ablation, Edit
from lab.mechanisms import ablate_module as _ablate

ANSWERS = "answers are complete and belong to the caller's own request"
HEADERS = "callers cannot set the headers that the system sets"
NO_REPEATED_WORK = (
    "work that may have run is neither repeated nor reported as not run"
)
STREAMS = "events of a stream arrive in order, without gaps or duplicates"
ROUTES_AND_KEYS = "routes and keys take effect and never revert"
BUDGET = "retries stay within the budget; crashing inputs are contained"
DISCONNECTED_CALLERS = "work ends when its caller disconnects"
LEAVING = "endpoints that leave get no new work"
PAUSES = "endpoints that ask for a pause get nothing until its end"
GRACEFUL_SHUTDOWN = "a graceful shutdown interrupts no request"
CORRECT_ENDPOINT = "requests reach the endpoint they were meant for"
RECOVERY = "a process recovers its state from the store"
ERAS = "a store that returns from a copy brings nothing back"
LIMITS = "callers' input is limited in size and time"
CONNECTIONS = "a connection does not end before its request is answered"

_PROXYING = "tests.test_proxying"
_NOTICES = "tests.test_endpoint_notices"
_CALLS = "tests.platform.test_endpoints"
_SILENCES = "tests.test_event_streams"
_DISPATCH = "tests.test_batch_dispatch.BatchDispatcherTest"
_SESSION = "tests.platform.test_session.SessionTest"
_WEB = "tests.adapters.test_web_connections"
_DRILL = "tests.platform.test_store_drills.StoreDrillTest"

TEST_ABLATIONS = (
    _ablate(
        "attempt id compared with the answer's",
        ANSWERS,
        "platform/endpoints",
        "if attempt not in (None, request.attempt):",
        "if False:",
        f"{_SESSION}.test_an_answer_of_another_request_is_not_forwarded",
        f"{_SESSION}.test_a_refusal_of_another_request_refuses_nothing",
    ),
    _ablate(
        "wait of a watch leaves time for its answer and the next call",
        "an endpoint that drains is known to within the time of contact",
        "watchers",
        "    wait_seconds -= LATE_ANSWER_SECONDS + RECOVERY_SECONDS\n",
        "",
        "tests.platform.test_silent_store",
    ),
    _ablate(
        "status that promises not passed on without the endpoint's word",
        ANSWERS,
        "platform/endpoints",
        "if answer.status in notices.NOT_RUN:",
        "if False:",
        f"{_SESSION}.test_a_request_that_has_run_is_not_answered_as_not_run",
    ),
    _ablate(
        "connection of its own for each call of a stage",
        ANSWERS,
        "platform/endpoints",
        "        connection = await self._open_connection(endpoint)\n"
        "        decode =",
        '        connection = await self._get_connection(endpoint, "")\n'
        "        decode =",
        f"{_CALLS}.RepeatedAnswersTest",
    ),
    _ablate(
        "each kind of call once on a connection",
        ANSWERS,
        "platform/endpoints",
        "                if target not in connection.targets\n",
        "",
        f"{_CALLS}.SharedConnectionsTest",
    ),
    _ablate(
        "connection closed after a release",
        ANSWERS,
        "platform/endpoints",
        "kept = target != FREE_TARGET and not notice.leaving",
        "kept = not notice.leaving",
        f"{_CALLS}.SharedConnectionsTest",
    ),
    _ablate(
        "release not answered by the answer to another call",
        ANSWERS,
        "platform/endpoints",
        '        raise errors.ProtocolError("not the answer to a release")\n',
        "        pass\n",
        f"{_CALLS}.SharedConnectionsTest",
    ),
    _ablate(
        "connection with bytes behind its answer closed",
        ANSWERS,
        "adapters/web_client",
        "        if data or ended:\n",
        "        if ended:\n",
        "tests.adapters.test_web_client.KeptConnectionTest",
    ),
    _ablate(
        "connection that has ended with its answer not used again",
        ANSWERS,
        "adapters/web_client",
        "        if data or ended:\n",
        "        if data:\n",
        "tests.adapters.test_web_client.KeptConnectionTest",
    ),
    _ablate(
        "end of stream inside an event detected",
        ANSWERS,
        "events",
        "return bool(self._incomplete)",
        "return False",
        f"{_PROXYING}.StreamTest.test_stream_that_ends_inside_an_event_fails",
    ),
    _ablate(
        "system headers of callers dropped",
        HEADERS,
        "platform/callers",
        "return name not in headers.HOP_BY_HOP"
        " and name not in headers.SYSTEM_SET",
        "return name not in headers.HOP_BY_HOP",
        f"{_SESSION}.test_headers_set_by_the_proxy_are_not_taken_from_callers",
    ),
    _ablate(
        "attempt with a lost answer not repeated",
        NO_REPEATED_WORK,
        "resends",
        "if not self._route.may_run_again():\n"
        '            return "not_resumable"',
        'if False:\n            return "not_resumable"',
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_request_that_may_have_run_is_not_sent_again",
    ),
    _ablate(
        "not_run not reported after a lost answer",
        NO_REPEATED_WORK,
        "request_sends",
        "            self.runs -= 1\n",
        "            self.runs = 0\n",
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_refusal_after_a_lost_answer_does_not_invite_a_retry",
    ),
    _ablate(
        "events that were already sent skipped",
        STREAMS,
        "events",
        "if self.last is not None and event.number <= self.last:",
        "if False:",
        "tests.test_events.EventOrderTest",
    ),
    _ablate(
        "gap between events treated as an error",
        STREAMS,
        "events",
        "if self.last is not None and event.number != self.last + 1:",
        "if False:",
        "tests.test_events.EventOrderTest",
    ),
    _ablate(
        "text that is no event not passed on",
        STREAMS,
        "events",
        "if _LINE.fullmatch(line) is None:",
        "if False:",
        "tests.test_events.EventSplitterTest",
        "tests.platform.test_broken_streams.ErrorInStreamTest",
    ),
    _ablate(
        "event without a number among numbered ones treated as an error",
        STREAMS,
        "events",
        "if event.has_fields and self.last is not None:",
        "if False:",
        "tests.test_events.EventOrderTest",
        "tests.platform.test_broken_streams.ErrorInStreamTest",
    ),
    _ablate(
        "comments are no begin of a stream that ends with its connection",
        STREAMS,
        "event_streams",
        "if not self._splitter.has_events and not framed:",
        "if not self._begun and not framed:",
        "tests.platform.test_broken_streams.EndOfStreamTest",
    ),
    _ablate(
        "caller's answer begins with an event, not with a comment",
        STREAMS,
        "event_streams",
        "return bool(self._first) and self._splitter.has_events",
        "return bool(self._first)",
        "tests.platform.test_broken_streams.EndOfStreamTest",
    ),
    _ablate(
        "stream that ends before the caller's last event treated as broken",
        STREAMS,
        "event_streams",
        "if highest is not None and highest < self._order.last:",
        "if False:",
        "tests.platform.test_broken_streams.EndOfStreamTest",
    ),
    _ablate(
        "body without framing that ends early resets its connection",
        STREAMS,
        "adapters/web_connections",
        "if self._ends_inside_unframed():",
        "if False:",
        "tests.platform.test_broken_streams.CallerFramingTest",
    ),
    _ablate(
        "stream without numbers not resumed",
        STREAMS,
        "event_streams",
        "if not self._order.all_numbered:",
        "if False:",
        "tests.test_proxying.StreamTest"
        ".test_stream_without_numbers_is_not_resumed",
    ),
    _ablate(
        "type of a stream counts in any case",
        STREAMS,
        "platform/endpoints",
        'answer.headers.get("content-type", "").lower()',
        'answer.headers.get("content-type", "")',
        "tests.platform.test_broken_streams.ContentTypeTest",
    ),
    _ablate(
        "streams of silent endpoints read until another can take over",
        STREAMS,
        "event_streams",
        "            part = await self._read_silent()\n",
        "            error = errors.TransportError(SILENT)\n"
        "            await self._resume_broken(error)\n"
        '            part = b""\n',
        f"{_PROXYING}.StreamTest"
        ".test_stream_of_a_silent_endpoint_is_not_cut_without_retries",
    ),
    _ablate(
        "silent endpoint waited for if no other may answer",
        NO_REPEATED_WORK,
        "proxy_runs",
        "if self._endpoints.choose() is None:\n"
        "            return\n"
        "        if not self._resends.may_send_again():\n"
        "            return\n",
        "if not self._resends.may_send_again():\n"
        '            raise TimeoutError("silent for too long")\n',
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_silent_endpoint_is_waited_for_if_no_other_may_answer",
    ),
    _ablate(
        "call of a batching endpoint that is silent for a second kept",
        NO_REPEATED_WORK,
        "batch_dispatch",
        "timeout = overdue + SILENCE_SECONDS",
        "timeout = overdue",
        "tests.test_batch_dispatch.BatchDispatcherTest"
        ".test_call_of_a_briefly_silent_endpoint_is_not_given_up",
    ),
    _ablate(
        "items behind an overdue call kept without another endpoint",
        NO_REPEATED_WORK,
        "batch_dispatch",
        "if self._availability.has_other_endpoint(call.endpoint, now):",
        "if True:",
        f"{_DISPATCH}"
        ".test_items_stay_behind_an_overdue_call_of_the_only_endpoint",
    ),
    _ablate(
        "items behind an overdue call returned",
        NO_REPEATED_WORK,
        "batch_dispatch",
        "                await self.withdraw_items(call.endpoint, OVERDUE)\n",
        "                pass\n",
        "tests.test_batch_dispatch.BatchDispatcherTest"
        ".test_items_behind_an_overdue_call_are_returned",
    ),
    _ablate(
        "items kept if the calls of all endpoints are overdue",
        NO_REPEATED_WORK,
        "batch_dispatch",
        "                await self.withdraw_items(call.endpoint, OVERDUE)\n",
        "                await self.withdraw_items(call.endpoint)\n",
        "tests.test_batch_dispatch.SilentEndpointTest"
        ".test_items_wait_if_all_endpoints_fall_silent_at_once",
    ),
    _ablate(
        "items behind overdue calls use no attempt",
        NO_REPEATED_WORK,
        "stages",
        "if reason == batch_dispatch.OVERDUE:",
        "if False:",
        "tests.test_stages.StageSequenceRunTest"
        ".test_items_behind_overdue_calls_are_never_given_up",
    ),
    _ablate(
        "endpoint that is silent for a second kept",
        STREAMS,
        "silence_limits",
        "SILENCE_SECONDS = 2.0",
        "SILENCE_SECONDS = 1.0",
        f"{_PROXYING}.StreamTest"
        ".test_stream_of_a_briefly_silent_endpoint_stays_there",
    ),
    _ablate(
        "silent endpoint left only once the next one is connected to",
        STREAMS,
        "exchanges",
        "        if self._connected_at is None:\n"
        "            return 0.0\n"
        "        return self._context.clock.now() - self._connected_at",
        "        return self._context.clock.now() - self._sent_at",
        f"{_SILENCES}.SilentStreamTest"
        ".test_silent_stream_is_not_cut_during_the_next_connect",
        f"{_SILENCES}.SilentFirstEventTest"
        ".test_first_event_is_not_given_up_during_the_next_connect",
    ),
    _ablate(
        "silent endpoints the last choice in place of none",
        STREAMS,
        "endpoint_choice",
        "if chosen is None and self._silent:",
        "if False:",
        f"{_SILENCES}.SilentStreamTest"
        ".test_stream_returns_to_its_endpoint_after_a_later_refusal",
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_only_endpoint_is_connected_to_again_after_a_silence",
    ),
    _ablate(
        "events of one part accepted together",
        STREAMS,
        "events",
        "            self.last = last\n",
        "",
        f"{_PROXYING}.StreamTest.test_events_before_a_gap_are_not_lost",
    ),
    _ablate(
        "stages run again beside a silent endpoint that has their results",
        NO_REPEATED_WORK,
        "proxy_runs",
        "            self._result_names = await self._stages.run_again()\n",
        "            await self._stages.release_results()\n"
        "            self._result_names = await self._stages.run_again()\n",
        f"{_SILENCES}.SilentAnswerTest"
        ".test_silent_answer_keeps_its_results_if_another_one_lacks_them",
    ),
    _ablate(
        "failures while an endpoint is avoided not counted",
        NO_REPEATED_WORK,
        "placement",
        "if now < load.avoided_until:",
        "if False:",
        "tests.test_placement.EndpointSelectorTest"
        ".test_requests_that_fail_together_do_not_prolong_the_avoidance",
    ),
    _ablate(
        "streams resumed only at the version that began them",
        STREAMS,
        "availability/eligibility",
        "self.version is not None and endpoint.version != self.version",
        "False",
        f"{_PROXYING}.StreamTest"
        ".test_broken_stream_is_not_resumed_at_another_version",
    ),
    _ablate(
        "streams of unknown version refused",
        STREAMS,
        "stream_bindings",
        "        return proxy_requests.Refusal(\n"
        '            503, "unknown_version"',
        "        return None\n"
        "        return proxy_requests.Refusal(\n"
        '            503, "unknown_version"',
        f"{_PROXYING}.StreamTest.test_stream_of_unknown_version_is_refused",
    ),
    _ablate(
        "other entries told where a stream began",
        STREAMS,
        "stream_origins",
        "for name in names[:HOLDERS]:",
        "for name in ():",
        "tests.test_stream_origins.OriginDirectoryTest",
    ),
    _ablate(
        "older versions of the routes rejected",
        ROUTES_AND_KEYS,
        "cluster_state",
        "if self.table is not None and table.version <= self.table.version:",
        "if False:",
        "tests.test_cluster_state.ClusterStateTest",
    ),
    _ablate(
        "keys used only while the routes are fresh",
        ROUTES_AND_KEYS,
        "proxying",
        "if not cluster.routes_age.is_usable(now):",
        "if False:",
        f"{_PROXYING}.AcceptanceTest"
        ".test_outdated_routes_refuse_as_keys_may_be_revoked",
    ),
    _ablate(
        "not ready before the first routes",
        ROUTES_AND_KEYS,
        "gateway",
        "            and self.cluster_state.table is not None\n"
        "            and self.cluster_state.routes_age.is_usable(now)\n",
        "",
        f"{_SESSION}.test_not_ready_before_the_first_routes",
    ),
    _ablate(
        "retry budget divided among the entries",
        BUDGET,
        "retry_budgets",
        "allowance = self.limits.allowance / max(entries, 1)",
        "allowance = self.limits.allowance",
        "tests.test_retry_budgets.RetryBudgetTest",
    ),
    _ablate(
        "inputs that crash endpoints refused",
        BUDGET,
        "input_fingerprints",
        "return len(\n"
        "        context.quarantine.list_crashes("
        "fingerprint, context.clock.now())\n"
        "    )",
        "return 0",
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_input_that_crashes_endpoints_is_refused",
    ),
    _ablate(
        "task cancelled when its caller disconnects",
        DISCONNECTED_CALLERS,
        "adapters/web_connections",
        "                await task.cancel(blocking=False)\n",
        "",
        f"{_SESSION}.test_a_disconnected_callers_request_is_cancelled_at_once",
    ),
    Ablation(
        "requests sent only to accepting endpoints",
        LEAVING,
        (
            Edit(
                "samphirevale/cluster_state.py",
                "accepting = self.catalogue.list_accepting(service)",
                "accepting = self.catalogue.list_service(service)",
            ),
            Edit(
                "samphirevale/cluster_state.py",
                "self.catalogue.is_accepting(endpoint) and self.may_call",
                "self.may_call",
            ),
        ),
        (
            f"{_PROXYING}.CompleteAnswerTest"
            ".test_draining_endpoint_gets_no_requests",
        ),
    ),
    _ablate(
        "batching endpoint checked again before the call",
        LEAVING,
        "batch_dispatch",
        "if not self._availability.is_usable(endpoint, now):",
        "if False:",
        "tests.test_batch_dispatch.BatchDispatcherTest"
        ".test_draining_endpoint_gets_no_items",
    ),
    _ablate(
        "endpoint that has said that it leaves not used",
        LEAVING,
        "endpoint_notices",
        "get_start(endpoint) not in self._leaving\n            and ",
        "",
        f"{_NOTICES}.AnyOrderTest",
    ),
    _ablate(
        "leaving remembered after the registration has ended",
        LEAVING,
        "endpoint_notices",
        "elif registered_at + LEAVING_SECONDS <= now:",
        "else:",
        f"{_NOTICES}.AnyOrderTest",
    ),
    _ablate(
        "leaving ends with a restart",
        LEAVING,
        "catalogue",
        "return EndpointStart(endpoint.name, endpoint.started)",
        "return EndpointStart(endpoint.name, 1)",
        f"{_NOTICES}.AnyOrderTest",
    ),
    _ablate(
        "leaving told to the linked entries",
        LEAVING,
        "notice_handler",
        "                await self._broadcast(_build_message([start]))\n",
        "                pass\n",
        "tests.test_notice_handler.NoticeHandlerTest",
    ),
    _ablate(
        "leaving told to an entry that connects",
        LEAVING,
        "entry_handler",
        "        await entry.link.send(self._notices.build_leaving(), 0)\n",
        "",
        "tests.test_entries.EntryTableTest"
        ".test_endpoints_that_leave_are_told_on_connecting",
    ),
    _ablate(
        "leaving not told to callers",
        LEAVING,
        "platform/headers",
        "NOT_FOR_CALLERS = HOP_BY_HOP | {LEAVING, LIMIT, COLD_MS, LOAD}",
        "NOT_FOR_CALLERS = HOP_BY_HOP",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_callers_do_not_learn_that_an_endpoint_leaves",
    ),
    _ablate(
        "notice of another endpoint at the address ignored",
        LEAVING,
        "platform/notices",
        "if status == MISDIRECTED:",
        "if False:",
        "tests.platform.test_notices",
    ),
    _ablate(
        "connection to an endpoint that leaves not kept",
        LEAVING,
        "platform/endpoints",
        "kept = target != FREE_TARGET and not notice.leaving",
        "kept = target != FREE_TARGET",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_connection_to_an_endpoint_that_leaves_is_not_kept",
    ),
    _ablate(
        "queued items of such an endpoint go elsewhere at once",
        LEAVING,
        "batch_dispatch",
        "        if queue is not None:\n"
        "            await _resolve_all(queue.take_all(), reason)\n",
        "",
        f"{_DISPATCH}.test_queued_items_can_go_elsewhere_at_once",
    ),
    _ablate(
        "no releases to an endpoint that leaves",
        LEAVING,
        "batch_dispatch",
        "return delay is not None",
        "return True",
        f"{_DISPATCH}.test_endpoint_that_leaves_gets_no_releases",
    ),
    _ablate(
        "endpoint not used until the end of its pause",
        PAUSES,
        "endpoint_notices",
        "pause = self._paused_until.get(start, now) - now",
        "pause = 0.0",
        f"{_NOTICES}.AnyOrderTest",
    ),
    _ablate(
        "pause not ended by a shorter one",
        PAUSES,
        "endpoint_notices",
        "max(before, now + min(seconds, PAUSE_SECONDS_LIMIT))",
        "now + min(seconds, PAUSE_SECONDS_LIMIT)",
        f"{_NOTICES}.AnyOrderTest",
        f"{_NOTICES}.EndpointNoticesTest"
        ".test_shorter_pause_does_not_end_a_longer_one",
    ),
    _ablate(
        "length of pauses limited",
        PAUSES,
        "endpoint_notices",
        "min(seconds, PAUSE_SECONDS_LIMIT)",
        "seconds",
        f"{_NOTICES}.EndpointNoticesTest",
    ),
    _ablate(
        "pause checked again once the connection is open",
        PAUSES,
        "platform/endpoints",
        "if not self._listener.may_call(endpoint):",
        "if False:",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_nothing_is_sent_if_a_pause_begins_during_the_connect",
    ),
    _ablate(
        "pauses learnt from batches, releases and reports",
        PAUSES,
        "platform/endpoints",
        "            notice = await self._handle_notice(endpoint, answer)\n"
        "            data",
        "            notice = proxies.NO_NOTICE\n            data",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_every_kind_of_call_learns_of_a_pause_and_of_leaving",
    ),
    _ablate(
        "malformed pause ignored",
        PAUSES,
        "platform/notices",
        "if _DECIMAL.fullmatch(text):",
        "if text:",
        "tests.platform.test_notices",
    ),
    _ablate(
        "releases wait for the end of a pause",
        PAUSES,
        "batch_dispatch",
        "while delay:",
        "while False:",
        f"{_DISPATCH}.test_releases_wait_for_the_end_of_a_pause",
    ),
    _ablate(
        "free memory not read during a pause",
        PAUSES,
        "batch_dispatch",
        "if self._availability.compute_call_delay(endpoint, now) != 0:",
        "if False:",
        f"{_DISPATCH}.test_free_memory_is_not_read_during_a_pause",
    ),
    _ablate(
        "pause not counted as a failure of the endpoint",
        PAUSES,
        "errors",
        "return not error.asks_pause",
        "return True",
        f"{_PROXYING}.PauseTest.test_pause_is_no_failure_of_the_endpoint",
        f"{_DISPATCH}.test_pause_is_no_penalty_after_its_end",
    ),
    _ablate(
        "send prevented by a pause not counted as a failure",
        PAUSES,
        "proxy_runs",
        "if errors.is_unreachable(error):",
        "if isinstance(error, errors.ConnectError):",
        f"{_PROXYING}.PauseTest"
        ".test_pause_that_begins_during_the_connect_is_no_failure",
    ),
    _ablate(
        "caller told when the first pause ends",
        PAUSES,
        "send_failures",
        "self.compute_pause() or proxy_requests",
        "proxy_requests",
        f"{_PROXYING}.PauseTest"
        ".test_caller_learns_when_the_first_endpoint_ends_its_pause",
    ),
    _ablate(
        "request refused at once if a pause outlasts its stages",
        PAUSES,
        "request_stages",
        "            and self._endpoints.compute_pause() <= bare_seconds\n",
        "",
        f"{_PROXYING}.PauseTest"
        ".test_pause_that_outlasts_the_stages_refuses_at_once",
    ),
    _ablate(
        "retry taken only if there is an endpoint for it",
        PAUSES,
        "send_failures",
        "        if self._endpoints.all_pause():\n"
        "            return self.build",
        "        if False:\n            return self.build",
        f"{_PROXYING}.PauseTest"
        ".test_refusal_without_another_endpoint_takes_no_retry",
    ),
    _ablate(
        "retry after a refusal taken from the budget",
        BUDGET,
        "send_failures",
        "        if not self._resends.take_retry(self._endpoints.service):\n",
        "        if False:\n",
        f"{_PROXYING}.PauseTest"
        ".test_refused_request_goes_on_and_counts_as_a_retry",
    ),
    _ablate(
        "pause of an owner ends items to its endpoint",
        PAUSES,
        "cluster_state",
        "if not_full or self.find_batch_limits(service) is not None:",
        "if not_full:",
        "tests.test_cluster_state.UsableEndpointsTest",
    ),
    _ablate(
        "pause of other entries only avoided if possible",
        PAUSES,
        "cluster_state",
        "if not_full or self.find_batch_limits(service) is not None:",
        "if True:",
        "tests.test_cluster_state.UsableEndpointsTest",
    ),
    _ablate(
        "endpoint that pauses for others used if no other is left",
        PAUSES,
        "endpoint_choice",
        "            or choose(\n"
        "                cluster.list_available(self.service, now, wanted), "
        "request, now\n"
        "            )\n",
        "",
        f"{_PROXYING}.PauseTest"
        ".test_endpoint_that_pauses_for_others_is_the_last_choice",
    ),
    _ablate(
        "owner has items run where nothing pauses",
        PAUSES,
        "item_routing",
        "self._cluster.list_usable(endpoint.service, now)",
        "self._cluster.catalogue.list_accepting(endpoint.service)",
        "tests.test_item_routing.RoutedItemRunnerTest"
        ".test_items_for_a_pausing_endpoint_go_to_another_owned_one",
    ),
    _ablate(
        "unsent items not offered to the same endpoint again",
        PAUSES,
        "stages",
        "self._refusing.add(result.endpoint or endpoint.name)",
        "pass",
        "tests.test_stages.StageSequenceRunTest"
        ".test_unsent_items_are_not_offered_to_the_same_endpoint",
    ),
    _ablate(
        "stages refused at once if their endpoints pause",
        PAUSES,
        "stage_placement",
        "        and known.list_usable(stage.service, now, wanted)\n",
        "        and known.catalogue.list_accepting(stage.service)\n",
        f"{_PROXYING}.PauseTest.test_paused_stage_refuses_at_once",
    ),
    _ablate(
        "unanswered requests ended with the grace period",
        GRACEFUL_SHUTDOWN,
        "gateway",
        "await self._proxy.end_requests()",
        "pass",
        f"{_SESSION}"
        ".test_sent_request_is_answered_at_the_end_of_the_grace_period",
        f"{_SESSION}"
        ".test_unsent_request_is_refused_at_the_end_of_the_grace_period",
    ),
    _ablate(
        "request refused that arrives as the process ends",
        GRACEFUL_SHUTDOWN,
        "adapters/web_connections",
        "reason = await self._refuse_last()",
        "reason = web.CANCELLED",
        f"{_WEB}.EndOfServerTest"
        ".test_request_that_arrives_on_an_idle_connection_is_answered",
    ),
    _ablate(
        "established connections accepted as the process ends",
        GRACEFUL_SHUTDOWN,
        "adapters/listener",
        "await _accept_queued(listening, group, gate, run_and_close)",
        "pass",
        f"{_WEB}.EndOfServerTest.test_request_on_a_new_connection_is_answered",
    ),
    _ablate(
        "requests refused late in a graceful shutdown",
        GRACEFUL_SHUTDOWN,
        "proxying",
        "if self.closed:",
        "if False:",
        f"{_PROXYING}.AcceptanceTest.test_closed_proxy_refuses_requests",
    ),
    _ablate(
        "listener kept open during a graceful shutdown",
        GRACEFUL_SHUTDOWN,
        "gateway",
        "linger_is_over = now >= drain_started_at + LINGER_SECONDS",
        "linger_is_over = True",
        f"{_SESSION}.test_a_graceful_stop_closes_connections_after_their_answers",
    ),
    _ablate(
        "restarted endpoint treated as a new endpoint",
        CORRECT_ENDPOINT,
        "catalogue",
        "            and registered.started == endpoint.started\n",
        "",
        "tests.test_catalogue.CatalogueTest",
    ),
    _ablate(
        "records that expired during a store outage kept",
        RECOVERY,
        "catalogue",
        "if now < self._grace_ends_at:",
        "if False:",
        "tests.test_catalogue.CatalogueTest",
    ),
    _ablate(
        "age of routes counted from the question",
        ROUTES_AND_KEYS,
        "routes_freshness",
        "asked_at - answer.age_seconds",
        "self._clock.now() - answer.age_seconds",
        "tests.test_routes_freshness.SoundnessTest",
    ),
    _ablate(
        "newer routes of another entry read from the store",
        ROUTES_AND_KEYS,
        "routes_freshness",
        "if answer.version > self._cluster.table.version:",
        "if False:",
        "tests.test_routes_freshness.RoutesFreshnessTest"
        ".test_newer_version_elsewhere_is_read_from_the_store",
    ),
    Ablation(
        "newer routes of another entry do not confirm older ones",
        ROUTES_AND_KEYS,
        (
            Edit(
                "samphirevale/routes_freshness.py",
                "if answer.version > self._cluster.table.version:",
                "if False:",
            ),
            Edit(
                "samphirevale/cluster_state.py",
                "if not self.has_newest_routes():",
                "if False:",
            ),
        ),
        ("tests.test_routes_freshness.SoundnessTest",),
    ),
    _ablate(
        "objects listed again when the watch history is gone",
        RECOVERY,
        "watchers",
        "                version = None\n                await",
        "                await",
        "tests.test_watchers",
    ),
    _ablate(
        "objects listed again in a new era",
        ERAS,
        "watchers",
        "        self._check_era()\n        self._record_answer()",
        "        self._record_answer()",
        "tests.test_watchers.RewindTest",
    ),
    Ablation(
        "revisions compared within one era",
        ERAS,
        (
            Edit(
                "samphirevale/watchers.py",
                "        self._check_era()\n        self._record_answer()",
                "        self._record_answer()",
            ),
            Edit(
                "samphirevale/watchers.py",
                "            await group.spawn("
                "self._eras.wait_newer, self._era)\n",
                "",
            ),
        ),
        (
            f"{_DRILL}"
            ".test_change_with_a_revision_given_out_again_is_not_skipped",
        ),
    ),
    _ablate(
        "answers of an older era ignored",
        ERAS,
        "watchers",
        "if era is not None and self._eras.is_outdated(era):",
        "if False:",
        "tests.test_watchers.WatcherTest"
        ".test_answer_of_an_older_era_changes_nothing",
    ),
    _ablate(
        "waiting watch given up in a new era",
        ERAS,
        "watchers",
        "            await group.spawn(self._eras.wait_newer, self._era)\n",
        "",
        "tests.test_watchers.WatcherTest"
        ".test_waiting_watch_is_given_up_in_a_new_era",
    ),
    _ablate(
        "lists after a new era spread",
        ERAS,
        "watchers",
        "self._rng.random() * self.times.relist_seconds",
        "0",
        "tests.test_watchers.WatcherTest.test_lists_after_a_new_era_are_spread",
    ),
    _ablate(
        "first watch after the rewrites answered soon",
        ERAS,
        "watchers",
        "if self._confirmed_at >= rewrite_ends_at:",
        "if True:",
        "tests.test_watchers.WatcherTest"
        ".test_first_watch_after_the_rewrites_is_answered_soon",
    ),
    _ablate(
        "list of two eras refused",
        ERAS,
        "platform/store",
        "if before is not None and page is not None and page != before:",
        "if False:",
        "tests.platform.test_store.EraTest.test_pages_of_two_eras_are_no_list",
    ),
    _ablate(
        "routes confirmed by a new era only within the margin",
        ERAS,
        "freshness",
        "started_at = min(started_at, self._proved_at + MARGIN_SECONDS)",
        "pass",
        "tests.test_routes_freshness.RewindSoundnessTest",
    ),
    _ablate(
        "routes older than another entry's not confirmed",
        ERAS,
        "cluster_state",
        "if not self.has_newest_routes():",
        "if False:",
        "tests.test_cluster_state.ClusterStateTest",
    ),
    _ablate(
        "source of an older era does not confirm the routes",
        ERAS,
        "routes_freshness",
        "if relation is store_eras.Relation.OLDER:",
        "if False:",
        "tests.test_routes_freshness.RoutesFreshnessTest",
    ),
    _ablate(
        "new era learned from other entries",
        ERAS,
        "cluster_watch",
        "await self.eras.observe(known.era, entry, self._clock.now())",
        "pass",
        f"{_DRILL}.test_cut_off_entry_learns_a_new_era_from_another",
    ),
    _ablate(
        "registrations contradicted by an earlier era held back",
        ERAS,
        "copy_guard",
        "if not self._is_outdated(endpoint):",
        "if True:",
        "tests.test_copy_guard.CopyGuardTest",
        f"{_DRILL}.test_store_that_lost_its_writes_brings_nothing_back",
    ),
    _ablate(
        "registration that stays in the store used",
        ERAS,
        "copy_guard",
        "if now >= held.at + HOLD_SECONDS",
        "if False",
        "tests.test_copy_guard.CopyGuardTest",
    ),
    _ablate(
        "endpoints that a copy lacks kept for a while",
        ERAS,
        "cluster_state",
        "        self.catalogue.start_grace_period(now)\n",
        "",
        "tests.test_cluster_state.ClusterStateTest",
        f"{_DRILL}.test_store_that_lost_an_endpoint_does_not_take_it_away",
    ),
    _ablate(
        "entries that a copy lacks kept",
        ERAS,
        "cluster_watch",
        "whole=now >= self.eras.get_rewrite_end()",
        "whole=True",
        f"{_DRILL}.test_store_that_lost_an_entry_does_not_unregister_it",
    ),
    _ablate(
        "entry registered again in each era",
        ERAS,
        "registrar",
        "            await self._eras.wait_newer(era)\n",
        "            return\n",
        "tests.test_registrar.RegistrarTest",
        f"{_DRILL}.test_entry_registers_again_in_a_new_era",
    ),
    _ablate(
        "older era does not replace a newer one",
        ERAS,
        "store_eras",
        "if newest is None or era > newest:",
        "if newest is None or era != newest:",
        "tests.test_store_eras.StoreErasTest",
    ),
    _ablate(
        "first era counted as no change",
        ERAS,
        "store_eras",
        "            self._on_first(now)\n            return\n",
        "            self._on_first(now)\n",
        "tests.test_store_eras.StoreErasTest.test_first_era_is_no_change",
    ),
    _ablate(
        "first era may lack writes",
        ERAS,
        "store_eras",
        "            self._on_first(now)\n            return\n",
        "            return\n",
        "tests.platform.test_store_drills.StartDuringDrillTest",
        "tests.platform.test_starts_in_drills.StartTogetherInDrillTest",
    ),
    _ablate(
        "mark of an era before settles no era",
        ERAS,
        "settled_era",
        "if self._stored is not None and self._stored == self._eras.newest:",
        "if self._stored is not None:",
        "tests.platform.test_starts_in_drills.StartTogetherInDrillTest"
        ".test_copy_names_the_era_before_as_settled",
    ),
    _ablate(
        "settled era confirms no routes older than another entry's",
        ERAS,
        "cluster_state",
        "            self.confirm_routes(answered_at, self.routes_era)\n",
        "            self.routes_age.confirm(answered_at)\n",
        "tests.test_cluster_state.ClusterStateTest",
        "tests.platform.test_store_drills.StartDuringDrillTest"
        ".test_entry_that_starts_waits_for_what_another_one_knows",
    ),
    _ablate(
        "era named as settled only once it is",
        ERAS,
        "settled_era",
        "            and self._clock.now() >= self._eras.get_rewrite_end()\n",
        "",
        "tests.platform.test_starts_in_drills.StartTogetherInDrillTest",
    ),
    _ablate(
        "settled era named in the store",
        ERAS,
        "settled_era",
        "            self._eras.settle()\n",
        "            pass\n",
        "tests.platform.test_store_drills.StartDuringDrillTest"
        ".test_entry_that_starts_on_a_calm_day_serves_at_once",
    ),
    _ablate(
        "malformed era ignored",
        ERAS,
        "platform/store",
        "if len(text) <= ERA_DIGITS_LIMIT and text.isascii()"
        " and text.isdigit():",
        "if text.isdigit():",
        "tests.platform.test_store.EraTest"
        ".test_malformed_era_is_none_logged_and_counted",
    ),
    _ablate(
        "endpoints remembered after they have gone",
        ERAS,
        "copy_guard",
        "        self._departed[name] = _Dated(change.before, now)\n",
        "",
        "tests.test_copy_guard.CopyGuardTest",
    ),
    _ablate(
        "endpoint that has come back not remembered as gone",
        ERAS,
        "copy_guard",
        "            self._departed.pop(change.after.name, None)\n"
        "            return\n",
        "            return\n",
        "tests.test_copy_guard.CopyGuardTest"
        ".test_endpoint_that_came_back_stays_in_its_later_state",
    ),
    _ablate(
        "endpoints that have long gone forgotten",
        ERAS,
        "copy_guard",
        "            if now < departed.at + DEPARTED_SECONDS:\n",
        "            if True:\n",
        "tests.test_copy_guard.CopyGuardTest.test_old_departures_are_forgotten",
    ),
    _ablate(
        "draining endpoint kept draining by the guard",
        ERAS,
        "copy_guard",
        "return endpoint.started, not endpoint.accepting",
        "return endpoint.started, True",
        "tests.test_copy_guard.CopyGuardTest"
        ".test_draining_endpoint_does_not_accept_work_again",
    ),
    _ablate(
        "later start kept by the guard",
        ERAS,
        "copy_guard",
        "return endpoint.started, not endpoint.accepting",
        "return 0, not endpoint.accepting",
        "tests.test_copy_guard.CopyGuardTest"
        ".test_later_start_is_not_replaced_by_an_earlier_one",
    ),
    _ablate(
        "registration that is held back left in its earlier state",
        ERAS,
        "copy_guard",
        "if name not in self._departed:",
        "if False:",
        "tests.test_copy_guard.CopyGuardTest",
    ),
    _ablate(
        "registration that is written again used",
        ERAS,
        "cluster_watch",
        "            self._cluster.copy_guard.record_write("
        "stored_object.name)\n",
        "",
        f"{_DRILL}.test_store_that_lost_its_writes_brings_nothing_back",
    ),
    _ablate(
        "time of a held registration counted from its first list",
        ERAS,
        "copy_guard",
        "since = self._held.get(name, _Dated(endpoint, now)).at",
        "since = now",
        "tests.test_copy_guard.CopyGuardTest"
        ".test_registration_that_stays_in_the_store_is_used",
    ),
    _ablate(
        "changes of endpoints recorded for the guard",
        ERAS,
        "cluster_watch",
        "            self._cluster.copy_guard.record_change(change, now)\n",
        "",
        f"{_DRILL}.test_store_that_lost_its_writes_brings_nothing_back",
    ),
    _ablate(
        "held registrations released",
        ERAS,
        "gateway",
        "            self.cluster_watch.release_held(now)\n",
        "",
        f"{_DRILL}.test_server_that_stays_in_the_copy_is_used_after_all",
    ),
    _ablate(
        "newest version of the routes learned from reports",
        ERAS,
        "cluster_watch",
        "        self._cluster.note_routes_version(known.version)\n",
        "",
        f"{_DRILL}.test_routes_older_than_those_of_another_entry_expire",
    ),
    _ablate(
        "newest version of the routes learned from sources",
        ERAS,
        "routes_freshness",
        "        self._cluster.note_routes_version(answer.version)\n",
        "",
        "tests.test_routes_freshness",
    ),
    _ablate(
        "new era learned from sources",
        ERAS,
        "routes_freshness",
        "        relation = await self._eras.observe("
        "answer.era, name, self._clock.now())\n",
        "        relation = store_eras.compare("
        "answer.era, self._eras.newest)\n",
        "tests.test_routes_freshness.RoutesFreshnessTest"
        ".test_source_tells_of_a_new_era",
    ),
    _ablate(
        "pause after a read of a store that lost the newest routes",
        ERAS,
        "routes_freshness",
        '                "routes_not_read",'
        ' error="another entry has newer routes"\n'
        "            )\n"
        "            await self._clock.sleep(FAILED_READ_SECONDS)\n",
        '                "routes_not_read",'
        ' error="another entry has newer routes"\n'
        "            )\n",
        "tests.test_routes_freshness.RoutesFreshnessTest"
        ".test_store_that_lost_the_newest_routes_does_not_confirm",
    ),
    _ablate(
        "era in which the routes were confirmed told",
        ERAS,
        "gateway",
        "            self.cluster_state.routes_era,\n",
        "            self.cluster_watch.eras.newest,\n",
        f"{_DRILL}.test_entries_tell_each_other_the_era",
    ),
    _ablate(
        "routes need an answer after the rewrites of a new era",
        ERAS,
        "cluster_state",
        "self.catalogue.list_all(), now)\n"
        "        self.routes_age.start_grace_period("
        "now + store_eras.REWRITE_SECONDS)\n",
        "self.catalogue.list_all(), now)\n",
        "tests.test_routes_freshness.RewindSoundnessTest",
    ),
    _ablate(
        "answer of an older era followed by a registration",
        ERAS,
        "registrar",
        "return previous if era is None else era",
        "return self._eras.newest",
        "tests.test_registrar.RegistrarTest"
        ".test_late_answer_of_an_older_era_is_followed_by_a_write",
    ),
    _ablate(
        "registrations of a fleet in a new era spread",
        ERAS,
        "registrar",
        "            await self._clock.sleep("
        "self._rng.random() * SPREAD_SECONDS)\n",
        "",
        "tests.test_registrar.RegistrarTest.test_writes_of_a_fleet_are_spread",
    ),
    _ablate(
        "new era learned from a write",
        ERAS,
        "registrar",
        "        await self._eras.observe("
        "era, store_eras.STORE, self._clock.now())\n",
        "",
        "tests.test_registrar.RegistrarTest"
        ".test_answer_of_a_write_announces_a_new_era",
    ),
    _ablate(
        "queued items taken back when an endpoint leaves",
        LEAVING,
        "notice_handler",
        "            await self._withdraw_items(endpoint)\n"
        "        return True\n",
        "            pass\n        return True\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_leaving_is_told_once_and_ends_what_is_queued",
    ),
    _ablate(
        "leaving of an earlier start ends nothing of the present one",
        LEAVING,
        "notice_handler",
        "if endpoint is not None and catalogue.get_start(endpoint) == start:",
        "if endpoint is not None:",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_leaving_of_an_earlier_start_leaves_the_present_one",
    ),
    _ablate(
        "leaving adopted from other entries",
        LEAVING,
        "notice_handler",
        "            await self._handle_leaving(start, entry)\n",
        "            pass\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_leaving_told_by_an_entry_is_not_told_on",
    ),
    _ablate(
        "idle connections to an endpoint that leaves closed",
        LEAVING,
        "platform/endpoints",
        "        if notice.leaving:\n"
        "            await self.close_idle(endpoint)\n",
        "",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_idle_connections_to_an_endpoint_that_leaves_are_closed",
    ),
    _ablate(
        "endpoints that have long left forgotten",
        LEAVING,
        "endpoint_notices",
        "                del self._leaving[start]\n",
        "                pass\n",
        _NOTICES,
    ),
    _ablate(
        "queued items taken back when a pause begins",
        PAUSES,
        "notice_handler",
        "                seconds=seconds,\n"
        "            )\n"
        "            await self._withdraw_items(endpoint)\n",
        "                seconds=seconds,\n            )\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_pause_is_counted_and_reported",
    ),
    _ablate(
        "pauses reported to other entries",
        PAUSES,
        "gateway",
        "            self._notices.describe_pauses(now),\n",
        "            [],\n",
        "tests.platform.test_leaving_servers.PausingServerTest"
        ".test_another_entry_prefers_servers_that_do_not_pause",
    ),
    _ablate(
        "pauses adopted from reports",
        PAUSES,
        "entry_handler",
        "        self._notices.adopt_pauses(message.pauses)\n",
        "",
        "tests.test_entries.EntryTableTest.test_pauses_are_reported",
    ),
    _ablate(
        "pause of another entry adopted without binding",
        PAUSES,
        "notice_handler",
        "            self._cluster.notices.record_pause_elsewhere(\n",
        "            self._cluster.notices.record_pause(\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_reported_pause_is_adopted_without_binding",
    ),
    _ablate(
        "pauses that are over forgotten",
        PAUSES,
        "endpoint_notices",
        "                del ends[start]\n",
        "                pass\n",
        _NOTICES,
        "tests.test_notice_handler",
    ),
    _ablate(
        "notices that are over removed",
        PAUSES,
        "gateway",
        "            self._notices.remove_expired(now)\n",
        "",
        "tests.platform.test_leaving_servers.LeavingServerTest"
        ".test_a_server_that_has_long_gone_is_forgotten",
    ),
    _ablate(
        "malformed notices counted",
        PAUSES,
        "notice_handler",
        "            self._record_malformed("
        'endpoint, text.partition(":")[0], text)\n',
        "            pass\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_malformed_and_huge_notices_are_logged_and_counted",
    ),
    _ablate(
        "call that was not sent takes its items elsewhere",
        PAUSES,
        "batch_dispatch",
        "            if isinstance(error, errors.NotAcceptingError):\n",
        "            if False:\n",
        f"{_DISPATCH}.test_items_that_were_not_sent_can_go_elsewhere",
    ),
    _ablate(
        "pause of a leaving endpoint not waited for",
        PAUSES,
        "cluster_state",
        "            if not self.notices.is_leaving(endpoint)\n        ]\n",
        "        ]\n",
        "tests.test_cluster_state.UsableEndpointsTest",
    ),
    _ablate(
        "pause that ends before the stages refuses nothing",
        PAUSES,
        "request_stages",
        "self._endpoints.compute_pause() <= bare_seconds",
        "not self._endpoints.all_pause()",
        f"{_PROXYING}.PauseTest"
        ".test_pause_that_ends_before_the_stages_refuses_nothing",
    ),
    _ablate(
        "heads read up to the operator's limit from the start",
        LIMITS,
        "adapters/web_connections",
        "self._limits = state.limits or limits",
        "self._limits = limits",
        "tests.adapters.test_web_connections",
    ),
    _ablate(
        "raised idle timeout held for idle connections",
        CONNECTIONS,
        "adapters/web_connections",
        "            # The timeout may have been raised meanwhile.\n"
        "            self._adopt_limits()\n",
        "",
        f"{_WEB}.IdleTimeoutTest"
        ".test_raised_timeout_holds_for_a_connection_that_is_idle",
    ),
    _ablate(
        "idle connection read once more",
        CONNECTIONS,
        "adapters/web_connections",
        "self._read_ahead(LAST_READ_SECONDS) and not self._caller_left",
        "self._read_ahead(-1.0) and False",
        f"{_WEB}.IdleTimeoutTest"
        ".test_request_that_arrives_as_the_timeout_fires_is_answered",
    ),
    _ablate(
        "input read on after the last answer",
        CONNECTIONS,
        "adapters/web_connections",
        "if reason in _LINGERING_REASONS:",
        "if False:",
        f"{_WEB}.LingeringTest.test_refusal_of_a_body_that_arrives_late",
    ),
    _ablate(
        "answer to a request whose handler times out",
        CONNECTIONS,
        "adapters/web_connections",
        "except (Exception, curio.TaskTimeout) as error:",
        "except Exception as error:",
        f"{_WEB}.FailedHandlerTest"
        ".test_timeout_that_escapes_a_handler_is_answered",
    ),
    _ablate(
        "error of an exchange raised where its request waits",
        CONNECTIONS,
        "exchange_races",
        "except (Exception, curio.TaskTimeout) as error:",
        "except (errors.TransportError, TimeoutError) as error:",
        "tests.test_exchange_races.ExchangeRaceTest"
        ".test_unexpected_error_does_not_leave_the_request_waiting",
    ),
    _ablate(
        "time limit for request heads",
        LIMITS,
        "adapters/web_connections",
        "async with _refuse_after("
        "self._limits.head_seconds, web.HEAD_TIMEOUT):",
        "async with _refuse_after(60, web.HEAD_TIMEOUT):",
        f"{_SESSION}.test_an_incomplete_head_times_out",
    ),
    _ablate(
        "total memory of request bodies limited",
        LIMITS,
        "adapters/web_connections",
        "if self._state.body_bytes > limits.all_bodies_bytes:",
        "if False:",
        "tests.adapters.test_web_connections.ServerTest"
        ".test_bodies_over_the_shared_memory_limit_are_refused",
    ),
    _ablate(
        "requests limited to an endpoint's connections",
        LIMITS,
        "placement",
        "return not limit or self.count_running(name) < limit",
        "return True",
        f"{_SESSION}.test_connections_stay_within_the_endpoints_limit",
    ),
)
