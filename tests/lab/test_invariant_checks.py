"""Tests that each check detects a made-up violation of its invariant."""

import unittest

from lab import evidence, invariant_checks
from standins import generation, records

TEXT = "Draft a notice."
OTHER = "Draft another."
BATCHES = {"b1": ("assistant", "1", ""), "b2": ("assistant", "2", "")}
CONFIRMATION = {"confirmation": "booking-1", "key": "key-1"}


def build_send(**changes) -> evidence.Send:
    send = evidence.Send(
        1, 0.0, "plain", "entry-0", "colheita", "harvest-notice",
        TEXT, "", 2000, 0.0,
    )  # fmt: skip
    return send._replace(**changes)


def compute_tokens(text: str, batch: str = "b1") -> list[str]:
    return generation.compute_answer(
        generation.Batch(batch, *BATCHES[batch]), text, 24, 64
    )


def build_draft(text: str = TEXT, batch: str = "b1") -> dict:
    tokens = compute_tokens(text, batch)
    return {
        "request": "r1",
        "outcome": "whole",
        "result": {"text": "".join(tokens), "tokens": tokens},
        "count": len(tokens),
        "digest": generation.compute_tokens_digest(tokens),
    }


def build_answer(outcome="whole", value=None, **changes) -> evidence.Answer:
    if value is None:
        value = {"request": "r1", "outcome": outcome}
    answer = evidence.Answer(
        build_send(), 0, "entry-0", 10.0, 11.0, outcome, value, []
    )
    return answer._replace(**changes)


def build_keyed(result=None, **changes) -> evidence.Answer:
    value = {
        "request": "r1",
        "outcome": "whole",
        "result": result or CONFIRMATION,
        "count": 0,
        "digest": "",
    }
    send = build_send(kind="keyed", key="key-1", pipeline="slot-confirmation")
    return build_answer("whole", value, send=send, **changes)


def build_run(
    endpoint="booking-0", pool="booking", crashed=False, **changes
) -> evidence.Run:
    began = {
        "request": "r1",
        "attempt": "a1",
        "key": "key-1",
        "input_digest": "d1",
        "batch": "",
        "started": 10.5,
        "digest": records.compute_digest(CONFIRMATION),
        "status": "done",
        **changes,
    }
    return evidence.Run(endpoint, pool, began, began, crashed)


def build_order(verb="drain", **changes) -> evidence.OrderAnswer:
    order = evidence.OrderAnswer(
        "o1", verb, {"endpoint": "booking-0"}, "accepted", 5, 10.0, 10.1, ""
    )
    return order._replace(**changes)


def build_exit(status: int, expected: str) -> evidence.Exit:
    return evidence.Exit("sidecar-booking-0", status, expected, 10.0, "")


def build_batch(order: int, state: str = "serving") -> dict:
    return {
        "model": "assistant",
        "pool": "engines",
        "state": state,
        "order": order,
    }


def build_evidence(**changes) -> evidence.Evidence:
    record = evidence.Evidence(
        answers=[],
        runs=[],
        orders=[],
        spans=[],
        samples=[],
        exits=[],
        outcomes={},
        configuration={
            "revision": 5,
            "orders": [{"id": "o1"}],
            "batches": {
                "b1": build_batch(1),
                "b2": build_batch(2, "recalled"),
            },
        },
        engines={},
        log_lines=[],
        batches=BATCHES,
        pools={"booking-0": "booking"},
        unreachable=[],
        given_up=[],
    )
    return record._replace(**changes)


class InvariantChecksTest(unittest.TestCase):
    """Tests which evidence each check reports and which it accepts."""

    def check(self, expected: set[str], **changes) -> None:
        violations = invariant_checks.check_all(build_evidence(**changes))
        self.assertEqual({item.invariant for item in violations}, expected)
        for item in violations:
            self.assertTrue(item.evidence)

    def test_sound_run_passes(self):
        self.check(
            set(),
            answers=[build_answer(value=build_draft()), build_keyed()],
            runs=[build_run()],
            outcomes={
                "key-1": {"state": "done", "outcome": {"result": CONFIRMATION}}
            },
            orders=[build_order("stop", arguments={"pipeline": "filing"})],
            samples=[evidence.Sample("entry-0", 1, 15.0, 5)],
            engines={"engine-0": {"batches": ["b1"]}},
            exits=[build_exit(0, "stopped"), build_exit(-9, "killed")],
        )

    def test_short_answer(self):
        draft = build_draft()
        draft["result"]["tokens"] = draft["result"]["tokens"][:-1]
        self.check({"whole_answer"}, answers=[build_answer(value=draft)])

    def test_wrong_count_and_digest(self):
        for field in ("count", "digest"):
            draft = {**build_draft(), field: 1}
            self.check({"whole_answer"}, answers=[build_answer(value=draft)])

    def test_streamed_tokens_differ(self):
        send = build_send(kind="streamed")
        answer = build_answer(value=build_draft(), send=send)
        self.check({"whole_answer"}, answers=[answer])

    def test_malformed_answer(self):
        self.check({"whole_answer"}, answers=[build_answer("malformed")])

    def test_confirmation_without_run(self):
        self.check({"whole_answer"}, answers=[build_keyed()])

    def test_foreign_draft(self):
        other = build_answer("not_run", send=build_send(text=OTHER))
        foreign = build_answer(value=build_draft(OTHER))
        self.check({"whole_answer", "own_answer"}, answers=[foreign, other])

    def test_foreign_tokens_of_a_stream_that_ended_early(self):
        other = build_answer("not_run", send=build_send(text=OTHER))
        tokens = compute_tokens(OTHER)[:24]
        foreign = build_answer("unknown", streamed=tokens)
        self.check({"own_answer"}, answers=[foreign, other])

    def test_foreign_confirmation(self):
        result = {"confirmation": "booking-2", "key": "key-2"}
        answer = build_keyed(result)
        self.check(
            {"whole_answer", "own_answer"},
            answers=[answer],
            runs=[build_run()],
        )

    def test_false_not_run(self):
        self.check(
            {"not_run_is_true"},
            answers=[build_answer("not_run")],
            runs=[build_run()],
        )

    def test_key_run_twice(self):
        self.check(
            {"at_most_once"},
            runs=[build_run(), build_run("booking-1", attempt="a2")],
        )

    def test_two_outcomes_of_a_key(self):
        second = {"confirmation": "booking-2", "key": "key-1"}
        digest = records.compute_digest(second)
        self.check(
            {"one_outcome"},
            answers=[build_keyed(), build_keyed(second)],
            runs=[build_run(), build_run(pool="other", digest=digest)],
        )

    def test_outcome_that_is_lost(self):
        self.check(
            {"one_outcome"},
            answers=[build_keyed()],
            runs=[build_run()],
            outcomes={"key-1": None},
        )

    def test_outcome_without_run(self):
        final = {"state": "done", "outcome": {"result": CONFIRMATION}}
        self.check({"outcome_has_run"}, outcomes={"key-1": final})

    def test_work_while_stopping(self):
        span = evidence.Span("stopping", "sidecar-booking-0", 5.0, 12.0)
        self.check({"leaving_gets_no_work"}, spans=[span], runs=[build_run()])

    def test_work_while_drained(self):
        self.check(
            {"leaving_gets_no_work"},
            orders=[build_order()],
            runs=[build_run(started=13.2)],
        )

    def test_work_soon_after_the_drain_or_after_the_resume(self):
        resume = build_order("resume", sent_at=20.0, told_at=20.1)
        self.check(
            set(),
            orders=[build_order(), resume],
            runs=[build_run(started=13.0), build_run(key="k", started=20.05)],
        )

    def test_cut_by_a_graceful_stop(self):
        span = evidence.Span("stopping", "entry-0", 10.5, 12.0)
        self.check(
            {"graceful_stop", "final_answer"},
            spans=[span],
            answers=[build_answer("cut")],
        )

    def check_phase(self, kind, invariant):
        """Checks which outcomes violate an invariant in a phase."""
        span = evidence.Span(kind, "", 9.0, 12.0)
        for outcome in ("not_completed", "unknown"):
            answers = [build_answer(outcome)]
            self.check({invariant}, spans=[span], answers=answers)
        running = {"request": "r1", "title": "running"}
        answers = [build_answer("unknown", running), build_answer("not_run")]
        self.check(set(), spans=[span], answers=answers)

    def test_request_that_graceful_replacements_fail(self):
        self.check_phase("calm", "graceful_stop")

    def test_request_that_a_brief_silence_ends(self):
        self.check_phase("silences", "silence_ends_nothing")
        span = evidence.Span("silences", "", 9.0, 12.0)
        late = build_answer("not_completed", ended_at=12.0)
        self.check(set(), spans=[span], answers=[late])
        self.check({"silence_ends_nothing"}, given_up=["sidecar: unreachable"])

    def test_graceful_stop_with_another_status(self):
        self.check({"graceful_stop"}, exits=[build_exit(1, "stopped")])

    def test_late_or_missing_answer(self):
        for answer in (
            build_answer("whole", build_draft(), ended_at=13.1),
            build_answer("none", ended_at=15.0),
            build_answer("cut"),
        ):
            self.check({"final_answer"}, answers=[answer])

    def test_missing_answer_of_a_killed_or_frozen_entry(self):
        for kind in ("down", "frozen"):
            span = evidence.Span(kind, "entry-0", 10.5, 12.0)
            self.check(set(), spans=[span], answers=[build_answer("cut")])

    def test_old_configuration(self):
        order = build_order("stop", arguments={"pipeline": "filing"})
        sample = evidence.Sample("entry-0", 1, 14.2, 4)
        self.check({"configuration_in_force"}, orders=[order], samples=[sample])

    def test_old_configuration_of_a_node_that_was_frozen(self):
        order = build_order("stop", arguments={"pipeline": "filing"})
        span = evidence.Span("frozen", "entry-0", 9.0, 13.0)
        early = evidence.Sample("entry-0", 1, 16.9, 4)
        self.check(set(), orders=[order], samples=[early], spans=[span])
        late = early._replace(asked_at=17.1)
        self.check(
            {"configuration_in_force"},
            orders=[order],
            samples=[late],
            spans=[span],
        )

    def test_work_of_a_stopped_pipeline(self):
        stop = build_order("stop", arguments={"pipeline": "harvest-notice"})
        start = build_order(
            "start", arguments=stop.arguments, sent_at=20.0, told_at=20.1
        )
        early = build_answer(value=build_draft(), sent_at=14.0, ended_at=14.9)
        late = early._replace(sent_at=14.2)
        other = early._replace(sent_at=19.9, ended_at=20.1)
        orders = [stop, start]
        self.check(set(), orders=orders, answers=[early, other])
        self.check({"configuration_in_force"}, orders=orders, answers=[late])

    def test_reverted_configuration(self):
        samples = [
            evidence.Sample("entry-0", 1, 10.0, 5),
            evidence.Sample("entry-0", 1, 11.0, 4),
        ]
        self.check({"configuration_never_reverts"}, samples=samples)

    def test_lost_order(self):
        order = build_order(
            "stop", revision=6, arguments={"pipeline": "filing"}
        )
        self.check({"configuration_never_reverts"}, orders=[order])

    def test_recalled_batch_is_run(self):
        recall = build_order("recall", arguments={"batch": "b2"})
        self.check(
            {"recall_holds"},
            orders=[recall],
            runs=[build_run(batch="b2", started=14.2)],
        )

    def test_answer_of_a_recalled_batch(self):
        recall = build_order("recall", arguments={"batch": "b2"})
        draft = build_draft(batch="b2")
        answer = build_answer(value=draft, sent_at=14.0, ended_at=14.2)
        self.check({"recall_holds"}, orders=[recall], answers=[answer])

    def test_input_that_crashes_three(self):
        runs = [
            build_run(key="", crashed=True, attempt=str(number))
            for number in range(3)
        ]
        self.check({"crash_input_contained"}, runs=runs)
        self.check(set(), runs=runs[:2])

    def test_engine_keeps_the_newest_serving_batches(self):
        serving = {f"b{order}": build_batch(order) for order in range(1, 5)}
        configuration = {
            "revision": 5,
            "orders": [{"id": "o1"}],
            "batches": serving,
        }
        for loaded, expected in (
            (["b3", "b4"], set()),
            (["b1", "b3", "b4"], {"orders_last"}),
            (["b2", "b4"], {"orders_last"}),
        ):
            self.check(
                expected,
                configuration=configuration,
                engines={"engine-0": {"batches": loaded}},
            )

    def test_engine_with_another_state(self):
        for loaded in ([], ["b1", "b2"]):
            self.check(
                {"orders_last"}, engines={"engine-0": {"batches": loaded}}
            )

    def test_false_answer_to_an_operator(self):
        lost = build_order(order_id="o9", arguments={})
        stored = build_order(outcome="refused", arguments={})
        for order in (lost, stored):
            self.check({"operators_told_truly"}, orders=[order])

    def test_both_rival_orders_accepted(self):
        order = build_order(rival="o2", arguments={})
        rival = build_order(order_id="o2", rival="o1", arguments={})
        configuration = {
            **build_evidence().configuration,
            "orders": [{"id": "o1"}, {"id": "o2"}],
        }
        self.check(
            {"operators_told_truly"},
            orders=[order, rival],
            configuration=configuration,
        )

    def test_process_that_exits_unexpectedly(self):
        self.check({"no_process_ends_itself"}, exits=[build_exit(1, "")])

    def test_endpoint_that_stays_unused_after_the_faults(self):
        self.check({"all_serve_again"}, unreachable=[("entry-0", "booking-0")])

    def test_logged_violation(self):
        self.check({"no_process_ends_itself"}, log_lines=["is violated"])

    def test_every_invariant_has_a_test(self):
        self.assertEqual(
            set(invariant_checks.list_invariants()),
            {
                "whole_answer",
                "own_answer",
                "not_run_is_true",
                "at_most_once",
                "one_outcome",
                "outcome_has_run",
                "leaving_gets_no_work",
                "graceful_stop",
                "silence_ends_nothing",
                "final_answer",
                "configuration_in_force",
                "configuration_never_reverts",
                "recall_holds",
                "crash_input_contained",
                "orders_last",
                "operators_told_truly",
                "all_serve_again",
                "no_process_ends_itself",
            },
        )
