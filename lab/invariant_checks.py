"""Checks the evidence of a run against the system's invariants.

Compares what the endpoints ran with what callers and operators were told.
"""

import collections
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from lab import evidence
from samphirevale import batches
from standins import generation, records

# The time limit for an order to take effect on all nodes, in seconds.
IN_FORCE_SECONDS = 4.0

# The time after which a leaving endpoint must get no new work, in seconds.
LEAVE_SECONDS = 3.0

# The tolerance by which a final answer may miss its deadline, in seconds.
DEADLINE_TOLERANCE_SECONDS = 1.0

# The maximum number of endpoints that one input may crash.
CRASHES_LIMIT = 2

# The pool of the engines.
ENGINES = "engines"

# The range from which the engines' stand-ins draw the number of tokens of an
# answer.
TOKENS_LEAST = 24
TOKENS_MOST = 64


class Violation(NamedTuple):
    """A violation of an invariant.

    Attributes:
        invariant: the invariant's name.
        evidence: the facts that show the violation.
    """

    invariant: str
    evidence: dict[str, Any]


Check = Callable[[evidence.Evidence], Iterator[dict[str, Any]]]

_checks: dict[str, Check] = {}


def register(name: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers the check of an invariant.

    A check is a generator that yields the evidence of each violation.
    """

    def add(check: Check) -> Check:
        _checks[name] = check
        return check

    return add


def list_invariants() -> list[str]:
    """Returns the names of all invariants."""
    return list(_checks)


def check_all(record: evidence.Evidence) -> list[Violation]:
    """Runs all checks and returns all violations."""
    return [
        Violation(name, item)
        for name, check in _checks.items()
        for item in check(record)
    ]


def _describe(answer: evidence.Answer) -> dict[str, Any]:
    value = answer.value or {}
    return {
        "number": answer.send.number,
        "sort": answer.send.kind,
        "key": answer.send.key,
        "request": answer.request,
        "entry": answer.entry,
        "sent_at": answer.sent_at,
        "ended_at": answer.ended_at,
        "deadline_ms": answer.send.deadline_ms,
        "outcome": answer.outcome,
        "reason": value.get("title", ""),
        "detail": value.get("detail", ""),
    }


def _describe_run(run: evidence.Run) -> dict[str, Any]:
    ended = run.ended or {}
    return {
        "endpoint": run.endpoint,
        "request": run.began["request"],
        "attempt": run.began["attempt"],
        "key": run.began["key"],
        "batch": run.began["batch"],
        "started": run.began["started"],
        "status": ended.get("status", "never ended"),
    }


def _list_whole_answers(record: evidence.Evidence) -> list[evidence.Answer]:
    return [item for item in record.answers if item.outcome == "whole"]


def compute_expected(
    record: evidence.Evidence, text: str
) -> dict[str, list[str]]:
    """Returns the tokens of each batch's answer to an input."""
    return {
        name: generation.compute_answer(
            generation.Batch(name, *batch), text, TOKENS_LEAST, TOKENS_MOST
        )
        for name, batch in record.batches.items()
    }


def find_batches(
    record: evidence.Evidence, answer: evidence.Answer
) -> list[str]:
    """Returns the batches whose answer to the input equals a draft."""
    tokens = answer.value["result"].get("tokens")
    expected = compute_expected(record, answer.send.text)
    return [name for name, own in expected.items() if own == tokens]


@register("whole_answer")
def find_wrong_answers(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that a whole answer is the complete answer to its own input."""
    confirmed = _list_confirmations(record)
    for answer in _list_whole_answers(record):
        if answer.send.key:
            wrong = _check_confirmation(answer, confirmed)
        else:
            wrong = _check_draft(record, answer)
        if wrong:
            yield {**_describe(answer), "wrong": wrong, "value": answer.value}
    for answer in record.answers:
        if answer.outcome == "malformed":
            yield {**_describe(answer), "value": answer.value}


def _list_confirmations(
    record: evidence.Evidence,
) -> dict[str, set[str]]:
    """Returns the digests of the services' answers, by key."""
    digests = collections.defaultdict(set)
    for run in record.runs:
        if run.began["key"] and run.ended:
            digests[run.began["key"]].add(run.ended["digest"])
    return digests


def _check_confirmation(
    answer: evidence.Answer, confirmed: dict[str, set[str]]
) -> str:
    result = answer.value["result"]
    if result.get("key") != answer.send.key:
        return "the confirmation has another key"
    if records.compute_digest(result) not in confirmed[answer.send.key]:
        return "no run of the key gave this confirmation"
    return ""


def _check_draft(record: evidence.Evidence, answer: evidence.Answer) -> str:
    value = answer.value
    tokens = value["result"]["tokens"]
    if not find_batches(record, answer):
        return "the tokens equal no batch's answer to the input"
    if value["count"] != len(tokens):
        return "the count differs"
    if value["digest"] != generation.compute_tokens_digest(tokens):
        return "the digest differs"
    if answer.send.kind == "streamed" and answer.streamed != tokens:
        return "the streamed tokens differ"
    return ""


@register("own_answer")
def find_foreign_answers(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that no caller gets the answer to another request."""
    owners = {}
    for text in {item.send.text for item in record.answers}:
        for tokens in compute_expected(record, text).values():
            owners[tuple(tokens[:TOKENS_LEAST])] = text
    for answer in record.answers:
        result = (answer.value or {}).get("result") or {}
        tokens = answer.streamed or result.get("tokens") or []
        owner = owners.get(tuple(tokens[:TOKENS_LEAST]))
        if owner is not None and owner != answer.send.text:
            yield {**_describe(answer), "owner": owner}
        key = result.get("key")
        if key and key != answer.send.key:
            yield {**_describe(answer), "owner": key}


@register("not_run_is_true")
def find_false_refusals(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that no endpoint ran a request that was refused as not run."""
    runs = collections.defaultdict(list)
    for run in record.runs:
        runs[run.began["request"]].append(run)
    for answer in record.answers:
        if answer.outcome == "not_run" and answer.request in runs:
            ran = [_describe_run(run) for run in runs[answer.request]]
            yield {**_describe(answer), "runs": ran}


@register("at_most_once")
def find_repeated_runs(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that a service runs a key at most once."""
    runs = collections.defaultdict(list)
    for run in record.runs:
        if run.began["key"]:
            runs[run.pool, run.began["key"]].append(run)
    for (pool, key), of_key in runs.items():
        if pool not in ("booking", "filing") or len(of_key) < 2:
            continue
        yield {"key": key, "runs": [_describe_run(run) for run in of_key]}


@register("one_outcome")
def find_two_outcomes(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that all answers for a key report the same outcome."""
    by_key = collections.defaultdict(list)
    for answer in _list_whole_answers(record):
        if answer.send.key:
            by_key[answer.send.key].append(answer)
    for key, answers in by_key.items():
        results = {str(item.value["result"]) for item in answers}
        final = record.outcomes.get(key, "not asked")
        wrong = len(results) > 1 or final is None
        if isinstance(final, dict) and final.get("state") == "done":
            results.add(str(final["outcome"]["result"]))
            wrong = wrong or len(results) > 1
        if wrong:
            items = [_describe(item) for item in answers]
            yield {"key": key, "told": items, "kept": final}


@register("outcome_has_run")
def find_outcomes_without_run(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Checks that a key whose state is `done` was run."""
    ran = {run.began["key"] for run in record.runs}
    for key, final in record.outcomes.items():
        done = isinstance(final, dict) and final.get("state") == "done"
        if done and key not in ran:
            yield {"key": key, "kept": final}


def _list_spans(
    record: evidence.Evidence, target: str, *kinds: str
) -> list[evidence.Span]:
    return [
        span
        for span in record.spans
        if span.target == target and span.kind in kinds
    ]


def _overlaps(spans: list[evidence.Span], began: float, ended: float) -> bool:
    return any(s.began <= ended and s.ended >= began for s in spans)


@register("leaving_gets_no_work")
def find_work_while_leaving(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Checks that a leaving endpoint gets no new work after LEAVE_SECONDS."""
    for endpoint in record.pools:
        for began, ended, why in _list_absences(record, endpoint):
            for run in record.runs:
                started = run.began["started"]
                late = began + LEAVE_SECONDS < started < ended
                if run.endpoint == endpoint and late:
                    since = started - began
                    yield {**_describe_run(run), "why": why, "since": since}


def _list_absences(
    record: evidence.Evidence, endpoint: str
) -> list[tuple[float, float, str]]:
    """Returns the intervals in which an endpoint was leaving or drained.

    Each one is a tuple of start, end and reason.
    """
    absences = [
        (span.began, span.ended, "stopping")
        for span in _list_spans(record, f"sidecar-{endpoint}", "stopping")
    ]
    drained_at = None
    for order in record.orders:
        if order.arguments.get("endpoint") != endpoint:
            continue
        if order.verb == "drain" and order.outcome == "accepted":
            drained_at = order.told_at
        elif order.verb == "resume" and drained_at is not None:
            # The order may have taken effect as soon as it was sent.
            absences.append((drained_at, order.sent_at, "drained"))
            drained_at = None
    if drained_at is not None:
        absences.append((drained_at, float("inf"), "drained"))
    return absences


@register("graceful_stop")
def find_cut_requests(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that a graceful stop cuts no request and exits with status 0."""
    for answer in record.answers:
        if answer.outcome not in ("cut", "malformed"):
            continue
        stopping = _list_spans(record, answer.entry, "stopping")
        if _overlaps(stopping, answer.sent_at, answer.ended_at):
            yield _describe(answer)
    yield from _find_failed_by_replacements(record)
    for item in record.exits:
        if item.expected == "stopped" and item.status != 0:
            yield item._asdict()


def _find_failed_by_replacements(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Finds requests that failed while nodes were replaced gracefully."""
    for answer in _list_answers_during(record, "calm"):
        if _has_failed(answer):
            yield {**_describe(answer), "during": "graceful replacements"}


def _list_answers_during(
    record: evidence.Evidence, kind: str
) -> list[evidence.Answer]:
    """Returns the answers to requests that were sent in spans of a kind."""
    spans = [span for span in record.spans if span.kind == kind]
    return [
        answer
        for answer in record.answers
        if any(span.began <= answer.sent_at <= span.ended for span in spans)
    ]


def _has_failed(answer: evidence.Answer) -> bool:
    """Returns whether an answer is neither whole nor true that it has not run.

    A key that is still running has not failed.
    """
    running = (answer.value or {}).get("title") == "running"
    return answer.outcome in ("cut", "not_completed", "none") or (
        answer.outcome == "unknown" and not running
    )


@register("silence_ends_nothing")
def find_ended_by_silence(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Checks that a brief silence ends no request and gives up no endpoint.

    A request may still fail at its deadline.
    """
    for answer in _list_answers_during(record, "silences"):
        deadline_at = answer.sent_at + answer.send.deadline_ms / 1000
        if _has_failed(answer) and answer.ended_at < deadline_at:
            yield _describe(answer)
    yield from ({"line": line} for line in record.given_up)


@register("final_answer")
def find_missing_answers(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that a request gets a final answer in time.

    Requests whose entry was down or frozen meanwhile are exempt.
    """
    for answer in record.answers:
        if answer.outcome in ("left", "unreached", "malformed"):
            continue
        due_at = (
            answer.sent_at
            + answer.send.deadline_ms / 1000
            + DEADLINE_TOLERANCE_SECONDS
        )
        late = answer.ended_at > due_at
        if not late and answer.outcome != "cut":
            continue
        absences = _list_spans(record, answer.entry, "down", "frozen")
        if not _overlaps(absences, answer.sent_at, answer.ended_at):
            yield {**_describe(answer), "late": answer.ended_at - due_at}


@register("configuration_in_force")
def find_old_configurations(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Checks that accepted orders take effect within IN_FORCE_SECONDS."""
    accepted = [o for o in record.orders if o.outcome == "accepted"]
    reported = set()
    for sample in record.samples:
        spans = _list_spans(record, sample.node, "down", "frozen")
        if _overlaps(spans, sample.asked_at, sample.asked_at + 0.5):
            continue
        recovered_at = max(
            (s.ended for s in spans if s.ended < sample.asked_at), default=0.0
        )
        for order in accepted:
            key = (sample.node, sample.pid, order.order_id)
            since = max(order.told_at, recovered_at)
            late = sample.asked_at > since + IN_FORCE_SECONDS
            if (
                sample.revision < order.revision
                and late
                and key not in reported
            ):
                reported.add(key)
                yield {
                    **sample._asdict(),
                    "order": order._asdict(),
                    "late": sample.asked_at - since,
                }
    yield from _find_runs_of_stopped(record)


def _find_runs_of_stopped(
    record: evidence.Evidence,
) -> Iterator[dict[str, Any]]:
    """Finds requests that ran although their pipeline was stopped."""
    for order in record.orders:
        if order.verb != "stop" or order.outcome != "accepted":
            continue
        pipeline = order.arguments["pipeline"]
        starts = [
            other.sent_at
            for other in record.orders
            if other.verb == "start"
            and other.arguments["pipeline"] == pipeline
            and other.sent_at > order.told_at
        ]
        until = min(starts, default=float("inf"))
        for answer in _list_whole_answers(record):
            late = answer.sent_at > order.told_at + IN_FORCE_SECONDS
            if answer.send.pipeline != pipeline or not late:
                continue
            if answer.ended_at < until:
                yield {**_describe(answer), "order": order._asdict()}


@register("configuration_never_reverts")
def find_reverted(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that a revision never decreases and that no order is lost.

    Revisions are compared within each process, and those of accepted orders
    with the stored one.
    """
    highest: dict[tuple[str, int], evidence.Sample] = {}
    for sample in record.samples:
        before = highest.get((sample.node, sample.pid))
        if before is not None and sample.revision < before.revision:
            yield {**sample._asdict(), "before": before._asdict()}
        else:
            highest[sample.node, sample.pid] = sample
    for order in record.orders:
        stored = record.configuration.get("revision", 0)
        if order.outcome == "accepted" and stored < order.revision:
            yield {"order": order._asdict(), "stored": stored}


@register("recall_holds")
def find_recalled_work(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that no run or answer uses a batch long after its recall.

    The limit is IN_FORCE_SECONDS after the operator was answered.
    """
    recalled = {
        order.arguments["batch"]: order.told_at + IN_FORCE_SECONDS
        for order in record.orders
        if order.verb == "recall" and order.outcome == "accepted"
    }
    for run in record.runs:
        until = recalled.get(run.began["batch"], float("inf"))
        if run.began["started"] > until:
            yield {**_describe_run(run), "until": until}
    for answer in _list_whole_answers(record):
        if answer.send.key:
            continue
        names = find_batches(record, answer)
        until = min((recalled.get(n, float("inf")) for n in names), default=0)
        if names and answer.ended_at > until:
            yield {**_describe(answer), "batches": names, "until": until}


@register("crash_input_contained")
def find_crashing_inputs(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that an input crashes at most CRASHES_LIMIT endpoints."""
    crashes = collections.defaultdict(list)
    for run in record.runs:
        if run.crashed:
            crashes[run.began["input_digest"]].append(run)
    for digest, runs in crashes.items():
        if len(runs) > CRASHES_LIMIT:
            items = [_describe_run(run) for run in runs]
            yield {"input_digest": digest, "crashes": items}


@register("orders_last")
def find_wrong_engines(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that each engine finally has exactly the configured batches."""
    if not record.configuration:
        return
    # An engine keeps only the newest serving batches.
    expected = set(batches.list_wanted(record.configuration, ENGINES))
    for name, state in record.engines.items():
        loaded = set(state["batches"])
        if loaded != expected:
            yield {
                "engine": name,
                "loaded": sorted(loaded),
                "missing": sorted(expected - loaded),
                "left": sorted(loaded - expected),
            }


@register("operators_told_truly")
def find_false_orders(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that operators got true answers to their orders.

    At most one of two conflicting orders may be accepted.
    """
    stored_ids = {item["id"] for item in record.configuration.get("orders", [])}
    by_id = {order.order_id: order for order in record.orders}
    for order in record.orders:
        is_stored = order.order_id in stored_ids
        if order.outcome == "accepted" and not is_stored:
            yield {"told": order._asdict(), "wrong": "it is not there"}
        if order.outcome in ("refused", "not_run") and is_stored:
            yield {"told": order._asdict(), "wrong": "it is there"}
        rival = by_id.get(order.rival)
        both = rival is not None and rival.outcome == order.outcome
        if (
            both
            and order.outcome == "accepted"
            and _are_concurrent(order, rival)
        ):
            yield {"told": order._asdict(), "rival": rival._asdict()}


def _are_concurrent(
    order: evidence.OrderAnswer, rival: evidence.OrderAnswer
) -> bool:
    """Returns whether both orders were sent before either was answered."""
    return order.sent_at < rival.told_at and rival.sent_at < order.told_at


@register("all_serve_again")
def find_idle_endpoints(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that after the faults each entry can use each endpoint again."""
    for entry, endpoint in record.unreachable:
        yield {"entry": entry, "endpoint": endpoint}


@register("no_process_ends_itself")
def find_ended_processes(record: evidence.Evidence) -> Iterator[dict[str, Any]]:
    """Checks that no process exits unexpectedly or logs a violation."""
    for item in record.exits:
        if not item.expected:
            yield item._asdict()
    for line in record.log_lines:
        yield {"log": line}
