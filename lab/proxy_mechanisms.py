"""The mechanisms of the proxying entry, each with how to take it out.

Each stands behind a rule of the users' platform; docs/PROOFS.md has a row for
each rule. See mechanisms.py for the form.
"""

from lab.mechanisms import Ablation, Edit

ANSWERS = "whole answers, of one's own request"
HEADERS = "headers that the system sets are its own"
ONCE = "what may have run is never run again, nor said not to have run"
STREAMS = "events of a stream in order, none missing or twice"
IN_FORCE = "routes and keys in force, and never reverting"
BUDGET = "repeats within the budget; inputs that crash endpoints contained"
LEFT = "work of a caller that leaves ends"
LEAVING = "no new work for endpoints that leave"
GRACEFUL = "a graceful stop cuts off nothing"
RIGHT_PLACE = "an endpoint is the one that was meant"
RECOVERY = "a process learns all again from the store"
LIMITS = "callers' input is bounded"

_PROXYING = "tests.test_proxying"
_SESSION = "tests.platform.test_session.SessionTest"


def _ablate(
    name: str, point: str, module: str, text: str, replacement: str, *tests: str
) -> Ablation:
    edit = Edit(f"samphirevale/{module}.py", text, replacement)
    return Ablation(name, point, (edit,), tests)


TESTED = (
    _ablate(
        "attempt compared with the answer's",
        ANSWERS,
        "platform/endpoints",
        "if answer.headers.get(headers.ATTEMPT) != request.attempt:",
        "if False:",
        f"{_SESSION}.test_an_answer_of_another_request_is_not_passed_on",
    ),
    _ablate(
        "an end inside an event is no end",
        ANSWERS,
        "events",
        "return bool(self._incomplete)",
        "return False",
        f"{_PROXYING}.StreamTest.test_stream_that_ends_inside_an_event_fails",
    ),
    _ablate(
        "headers of the system dropped from callers",
        HEADERS,
        "platform/callers",
        "return name not in headers.HOP_BY_HOP"
        " and name not in headers.SYSTEM_SET",
        "return name not in headers.HOP_BY_HOP",
        f"{_SESSION}.test_what_the_system_sets_is_not_taken_from_callers",
    ),
    _ablate(
        "a lost answer may have run",
        ONCE,
        "proxy_runs",
        "            and self._route.may_run_again()\n",
        "",
        f"{_PROXYING}.WholeAnswerTest"
        ".test_request_that_may_have_run_is_not_sent_again",
    ),
    _ablate(
        "a refusal after a lost answer is no promise",
        ONCE,
        "proxy_runs",
        "            self._handed_over = previously_handed_over\n",
        "            self._handed_over = False\n",
        f"{_PROXYING}.WholeAnswerTest"
        ".test_refusal_after_a_lost_answer_does_not_invite_a_retry",
    ),
    _ablate(
        "events that were passed on are left out",
        STREAMS,
        "events",
        "if self.last is not None and event.number <= self.last:",
        "if False:",
        "tests.test_events.EventOrderTest",
    ),
    _ablate(
        "a gap between events is an error",
        STREAMS,
        "events",
        "if self.last is not None and event.number != self.last + 1:",
        "if False:",
        "tests.test_events.EventOrderTest",
    ),
    _ablate(
        "no older version of the routes",
        IN_FORCE,
        "knowledge",
        "if self.table is not None and table.version <= self.table.version:",
        "if False:",
        "tests.test_knowledge.KnowledgeTest",
    ),
    _ablate(
        "keys are used while they are fresh",
        IN_FORCE,
        "proxying",
        "if not known.routes_age.is_usable(now):",
        "if False:",
        f"{_PROXYING}.AcceptanceTest"
        ".test_outdated_routes_refuse_as_keys_may_be_revoked",
    ),
    _ablate(
        "not ready before the first routes",
        IN_FORCE,
        "gateway",
        "            and self.knowledge.table is not None\n"
        "            and self.knowledge.routes_age.is_usable(now)\n",
        "",
        f"{_SESSION}.test_not_ready_before_the_first_routes",
    ),
    _ablate(
        "an even share of the budget",
        BUDGET,
        "budgets",
        "allowance = self.terms.allowance / max(entries, 1)",
        "allowance = self.terms.allowance",
        "tests.test_budgets.RetryBudgetTest",
    ),
    _ablate(
        "inputs that crash endpoints are refused",
        BUDGET,
        "inputs",
        "return len(node.quarantine.list_crashes("
        "fingerprint, node.clock.now()))",
        "return 0",
        f"{_PROXYING}.WholeAnswerTest"
        ".test_input_that_crashes_endpoints_is_refused",
    ),
    _ablate(
        "a caller's leaving cancels its task",
        LEFT,
        "adapters/web",
        "                await task.cancel(blocking=False)\n",
        "",
        f"{_SESSION}.test_a_caller_that_leaves_ends_the_work_at_once",
    ),
    Ablation(
        "only endpoints that take new work are chosen and sent to",
        LEAVING,
        (
            Edit(
                "samphirevale/proxy_runs.py",
                "            known.catalogue.list_accepting(",
                "            known.catalogue.list_service(",
            ),
            Edit(
                "samphirevale/proxy_runs.py",
                "if not self._node.knowledge.catalogue.is_accepting(endpoint):",
                "if False:",
            ),
        ),
        (
            f"{_PROXYING}.WholeAnswerTest"
            ".test_draining_endpoint_gets_no_requests",
        ),
    ),
    _ablate(
        "batching endpoint looked at again at the call",
        LEAVING,
        "gathering",
        "if not self._is_accepting(endpoint):",
        "if False:",
        "tests.test_gathering.GathererTest"
        ".test_draining_endpoint_gets_no_items",
    ),
    _ablate(
        "late in a graceful stop requests are turned away",
        GRACEFUL,
        "proxying",
        "if self.closed:",
        "if False:",
        f"{_PROXYING}.AcceptanceTest.test_closed_proxy_refuses_requests",
    ),
    _ablate(
        "the listener stays open in a graceful stop",
        GRACEFUL,
        "gateway",
        "linger_is_over = now >= drain_started_at + LINGER_SECONDS",
        "linger_is_over = True",
        f"{_SESSION}.test_a_graceful_stop_finishes_and_turns_away",
    ),
    _ablate(
        "another start under the same name is another endpoint",
        RIGHT_PLACE,
        "catalogue",
        "            and held.started == endpoint.started\n",
        "",
        "tests.test_catalogue.CatalogueTest",
    ),
    _ablate(
        "entries that lapsed while the store was away stay usable",
        RECOVERY,
        "catalogue",
        "if now < self._grace_ends_at:",
        "if False:",
        "tests.test_catalogue.CatalogueTest",
    ),
    _ablate(
        "a lost history is listed afresh",
        RECOVERY,
        "followers",
        "                version = None\n            except errors.StoreError",
        "            except errors.StoreError",
        "tests.test_followers",
    ),
    _ablate(
        "a head must come to its end",
        LIMITS,
        "adapters/web",
        "async with curio.timeout_after(self._limits.head_seconds):",
        "async with curio.timeout_after(60):",
        f"{_SESSION}.test_a_head_that_does_not_come_to_its_end",
    ),
    _ablate(
        "the memory of all bodies is bounded",
        LIMITS,
        "adapters/web",
        "if self._state.body_bytes > limits.all_bodies_bytes:",
        "if False:",
        "tests.adapters.test_web.ServerTest"
        ".test_bodies_over_the_memory_for_all",
    ),
    _ablate(
        "no more requests than an endpoint has connections",
        LIMITS,
        "placement",
        "return not limit or self.count_running(name) < limit",
        "return True",
        f"{_SESSION}.test_no_more_connections_than_an_endpoint_takes",
    ),
)
