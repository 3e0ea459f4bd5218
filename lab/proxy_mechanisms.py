"""Ablations of the mechanisms of the proxying entry.

Each mechanism implements a rule of the users' platform; docs/PROOFS.md has a
row for each rule. See mechanisms.py for the format.
"""

from lab.mechanisms import Ablation, Edit

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
LIMITS = "callers' input is limited in size and time"

_PROXYING = "tests.test_proxying"
_NOTICES = "tests.test_endpoint_notices"
_CALLS = "tests.platform.test_endpoints"
_DISPATCH = "tests.test_batch_dispatch.BatchDispatcherTest"
_SESSION = "tests.platform.test_session.SessionTest"


def _ablate(
    name: str,
    requirement: str,
    module: str,
    text: str,
    replacement: str,
    *tests: str,
) -> Ablation:
    edit = Edit(f"samphirevale/{module}.py", text, replacement)
    return Ablation(name, requirement, (edit,), tests)


TEST_ABLATIONS = (
    _ablate(
        "attempt id compared with the answer's",
        ANSWERS,
        "platform/endpoints",
        "if answer.headers.get(headers.ATTEMPT) != request.attempt:",
        "if False:",
        f"{_SESSION}.test_an_answer_of_another_request_is_not_forwarded",
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
        "proxy_runs",
        "            and self._route.may_run_again()\n",
        "",
        f"{_PROXYING}.CompleteAnswerTest"
        ".test_request_that_may_have_run_is_not_sent_again",
    ),
    _ablate(
        "not_run not reported after a lost answer",
        NO_REPEATED_WORK,
        "proxy_runs",
        "            self._handed_over = previously_handed_over\n",
        "            self._handed_over = False\n",
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
        "adapters/web",
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
                "            self.catalogue.list_accepting(service), now\n",
                "            self.catalogue.list_service(service), now\n",
            ),
            Edit(
                "samphirevale/cluster_state.py",
                "return self.catalogue.is_accepting(\n"
                "            endpoint\n"
                "        ) and self.notices",
                "return self.notices",
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
        "endpoint_notices",
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
        "entries",
        "        await entry.link.send(self._notices.build_leaving(), 0)\n",
        "",
        "tests.test_entries.EntryTableTest"
        ".test_endpoints_that_leave_are_told_on_connecting",
    ),
    _ablate(
        "leaving not told to callers",
        LEAVING,
        "platform/headers",
        "NOT_FOR_CALLERS = HOP_BY_HOP | {LEAVING}",
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
        "kept = connection.is_reusable() and not notice.leaving",
        "kept = connection.is_reusable()",
        f"{_CALLS}.PlatformEndpointsTest"
        ".test_connection_to_an_endpoint_that_leaves_is_not_kept",
    ),
    _ablate(
        "queued items of such an endpoint go elsewhere at once",
        LEAVING,
        "batch_dispatch",
        "        if queue is not None:\n"
        "            await _resolve_all(queue.take_all(), UNSENT)\n",
        "",
        f"{_DISPATCH}.test_queued_items_can_go_elsewhere_at_once",
    ),
    _ablate(
        "no releases to an endpoint that leaves",
        LEAVING,
        "batch_dispatch",
        "        if delay is None:\n            return\n",
        "",
        f"{_DISPATCH}.test_endpoint_that_leaves_gets_no_releases",
    ),
    _ablate(
        "endpoint not used until the end of its pause",
        PAUSES,
        "endpoint_notices",
        "until = self._paused_until.get(get_start(endpoint), now)",
        "until = now",
        f"{_NOTICES}.AnyOrderTest",
    ),
    _ablate(
        "pause not ended by a shorter one",
        PAUSES,
        "endpoint_notices",
        "max(before, now + min(seconds, PAUSE_SECONDS_LIMIT))",
        "now + min(seconds, PAUSE_SECONDS_LIMIT)",
        f"{_NOTICES}.AnyOrderTest",
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
        "if _SECONDS.fullmatch(pause):",
        "if pause:",
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
        "        except errors.NotAcceptingError:\n"
        "            await exchange.close(failed=False)\n"
        "            raise\n",
        "",
        f"{_PROXYING}.PauseTest"
        ".test_pause_that_begins_during_the_connect_is_no_failure",
    ),
    _ablate(
        "caller told when the first pause ends",
        PAUSES,
        "proxy_runs",
        "self._compute_pause() or RETRY_AFTER_SECONDS",
        "RETRY_AFTER_SECONDS",
        f"{_PROXYING}.PauseTest"
        ".test_caller_learns_when_the_first_endpoint_ends_its_pause",
    ),
    _ablate(
        "request refused at once if a pause outlasts its stages",
        PAUSES,
        "proxy_runs",
        "            and cluster.compute_pause(self._accepted.service, now)\n"
        "            <= bare_seconds\n",
        "",
        f"{_PROXYING}.PauseTest"
        ".test_pause_that_outlasts_the_stages_refuses_at_once",
    ),
    _ablate(
        "retry taken only if there is an endpoint for it",
        PAUSES,
        "proxy_runs",
        "                if self._all_endpoints_pause():\n",
        "                if False:\n",
        f"{_PROXYING}.PauseTest"
        ".test_refusal_without_another_endpoint_takes_no_retry",
    ),
    _ablate(
        "retry after a refusal taken from the budget",
        BUDGET,
        "proxy_runs",
        "                if not self._take_retry(self._accepted.service):\n",
        "                if False:\n",
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
        "proxy_runs",
        ") or choose(cluster.list_available(service, now), request, now)",
        ")",
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
        "stages",
        "        and known.list_usable(stage.service, now)\n",
        "        and known.catalogue.list_accepting(stage.service)\n",
        f"{_PROXYING}.PauseTest.test_paused_stage_refuses_at_once",
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
        "newer routes of another entry do not confirm older ones",
        ROUTES_AND_KEYS,
        "routes_freshness",
        "if answer.version > self._cluster.table.version:",
        "if False:",
        "tests.test_routes_freshness.SoundnessTest",
    ),
    _ablate(
        "objects listed again when the watch history is gone",
        RECOVERY,
        "watchers",
        "                version = None\n            except errors.StoreError",
        "            except errors.StoreError",
        "tests.test_watchers",
    ),
    _ablate(
        "time limit for request heads",
        LIMITS,
        "adapters/web",
        "async with curio.timeout_after(self._limits.head_seconds):",
        "async with curio.timeout_after(60):",
        f"{_SESSION}.test_an_incomplete_head_times_out",
    ),
    _ablate(
        "total memory of request bodies limited",
        LIMITS,
        "adapters/web",
        "if self._state.body_bytes > limits.all_bodies_bytes:",
        "if False:",
        "tests.adapters.test_web.ServerTest"
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
