"""Tests of operators' queries and orders on an entry with a fake store."""

import random
import types

from samphirevale import (
    configuration,
    configuration_holder,
    entry_context,
    errors,
    language,
    messages,
    operations,
    settings,
    sidecars,
    statistics,
    statuses,
    views,
)
from samphirevale.ports import operators as ports
from tests import base, fakes, test_configuration, test_settings, test_statuses

KEY = (configuration.OBJECT_KIND, configuration.OBJECT_NAME)


def build_peer(name, revision, heard_at, **heartbeat):
    """Returns a connected sidecar of an engine."""
    peer = sidecars.Peer("127.0.0.1:1", None)
    hello = (f"sidecar-{name}", "i", "sidecar", "dc1", name, "engines")
    peer.hello = messages.Hello(*hello)
    heartbeat = {"leaving": False, "batches": ["b1"], **heartbeat}
    peer.heartbeat = messages.Heartbeat(0, **heartbeat)
    peer.revision = revision
    peer.member = peer.member._replace(
        heard_at=heard_at, leaving=peer.heartbeat.leaving
    )
    return peer


class OperatorsTestCase(base.TestCase):
    """Sets up an entry's operators' service with a fake store."""

    def setUp(self):
        self.clock = fakes.Simulation(1)
        self.store = fakes.FakeStore(self.clock)
        value = test_configuration.build_value()
        self.clock.call(self.store.create(*KEY, value))
        self.peers = {}
        loaded = settings.load_entry_settings(
            test_settings.FLAGS, test_settings.SECRETS
        )
        self.context = entry_context.EntryContext(
            loaded,
            configuration_holder.ConfigurationHolder(),
            types.SimpleNamespace(peers=self.peers, leaving=False),
            *[None] * 5,
            self.store,
            statistics.Statistics(),
            random.Random(1),
            self.clock,
        )
        identity = statuses.Identity("entry-0", "i1", "dc1", 0.0)
        self.operators = operations.OperatorService(
            self.context, identity, self.clock.now
        )

    def add_peer(self, name, revision=5, silent_seconds=0, **heartbeat):
        heard_at = self.clock.now() - silent_seconds
        self.peers[name] = build_peer(name, revision, heard_at, **heartbeat)

    def query_rows(self, text):
        (statement,) = language.parse(text)
        return self.clock.call(self.operators.answer(statement.action)).rows

    def submit(self, text, order_id="o1"):
        (statement,) = language.parse(text)
        order = ports.Order(order_id, text, statement.action)
        return self.clock.call(self.operators.submit(order))

    def put_status(self, name, **changes):
        status = test_statuses.build_status(name, **changes)
        self.clock.call(self.store.create("status", name, status))


class AnswerTest(OperatorsTestCase):
    """The answers to queries, including unknown states."""

    def test_every_subject_and_group_has_a_table(self):
        subjects = {(name, "") for name in language.SUBJECTS}
        groups = {("requests", name) for name in language.GROUPS}
        self.assertEqual(views.list_builders(), subjects | groups)
        self.submit("recall b1")
        self.add_peer("e2")
        for subject, group in subjects | groups:
            batch = "b1" if subject == "recall" else ""
            query = language.Show(subject, group, (), batch)
            table = self.clock.call(self.operators.answer(query))
            for row in table.rows:
                self.assertEqual(len(row), len(table.columns), query)

    def test_states_of_endpoints(self):
        self.add_peer("e1")
        self.add_peer("e2", leaving=True)
        self.add_peer("e3", healthy=False)
        self.add_peer("e4", silent_seconds=10)
        self.add_peer("e5")
        self.peers["e5"].heartbeat = None
        self.add_peer("e6")
        states = [row[3] for row in self.query_rows("show endpoints")]
        expected = ["draining", "leaving", "unhealthy", *["not heard"] * 2]
        self.assertEqual(states, [*expected, "serving"])
        (batch,) = self.query_rows("show batches")
        self.assertEqual(batch[-1], ["e1", "e2", "e3", "e6"])

    def test_sidecar_state_from_another_entry_expires(self):
        self.add_peer("e2")
        (own_view,) = self.operators.build_status()["sidecars"]
        other_view = {**own_view, "endpoint": "e3", "instance": "sidecar-e3"}
        self.put_status("entry-1", sidecars=[other_view])
        row = self.query_rows("show endpoints")[1]
        self.assertEqual((row[0], row[3]), ("e3", "serving"))
        self.clock.call(self.clock.sleep(statuses.SIDECARS_FRESH_SECONDS + 1))
        row = self.query_rows("show endpoints")[1]
        self.assertEqual((row[0], row[3]), ("e3", "not heard"))

    def test_latest_state_of_a_sidecar_wins(self):
        self.add_peer("e2")
        (own_view,) = self.operators.build_status()["sidecars"]
        self.clock.call(self.clock.sleep(15.0))
        written_at = self.clock.now() - 10
        self.put_status("entry-1", sidecars=[own_view], written_at=written_at)
        for silent_seconds, state in ((5, "not heard"), (15, "serving")):
            self.add_peer("e2", silent_seconds=silent_seconds)
            self.assertEqual(self.query_rows("show endpoints")[0][3], state)

    def read_states(self):
        return [row[3] for row in self.query_rows("show instances")]

    def test_entries_without_recent_status_are_not_heard(self):
        self.put_status("entry-1")
        self.assertEqual(self.read_states(), ["serving", "serving"])
        self.store.down = True
        states = self.read_states()
        self.assertEqual(states, ["serving", "not heard", "not heard"])
        (row,) = self.query_rows("show requests")
        self.assertEqual(row[-2], "part")
        self.store.down = False
        self.clock.call(self.clock.sleep(statuses.STATUS_FRESH_SECONDS + 1))
        self.assertEqual(self.read_states(), ["serving", "not heard"])

    def test_query_without_configuration_fails(self):
        self.store.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.query_rows("show pipelines")

    def test_requests_of_all_entries_are_summed(self):
        counts = {"outcomes": [["harvest", "farm", 4, 3, 1, 0, 0]], "costs": []}
        self.put_status("entry-1", statistics=counts)
        self.put_status("entry-2", statistics=counts)
        (row,) = self.query_rows("show requests by pipeline")
        self.assertEqual(row[:7], ("harvest", 8, 6, 0.75, 2, 0, 0))
        self.assertEqual(row[7], "all")

    def test_recall_confirmation_per_instance(self):
        with self.assertRaises(errors.InvalidInputError):
            self.query_rows("show recall b1")
        self.submit("recall b1")
        self.submit("drain e9", "o2")
        self.add_peer("e1", 6)
        self.add_peer("e2", 5)
        self.add_peer("e3", 5, silent_seconds=10)
        self.add_peer("e4", 6, silent_seconds=10)
        self.put_status("entry-1", revision=5, written_at=self.clock.now())
        states = [row[2] for row in self.query_rows("show recall b1")]
        expected = ["confirmed", "not confirmed", "confirmed"]
        expected += ["not confirmed", "not heard", "confirmed"]
        self.assertEqual(states, expected)

    def test_recall_without_record(self):
        value = test_configuration.build_value(9)
        value["batches"]["b1"]["state"] = "recalled"
        value["orders"][0]["revision"] = 7
        self.assertEqual(views.find_recall_revision(value, "b1"), 7)
        load = {"id": "l", "text": "", "target": "configuration"}
        value["orders"].append(load | {"revision": 8})
        self.assertEqual(views.find_recall_revision(value, "b1"), 8)


class SubmitTest(OperatorsTestCase):
    """The results of orders."""

    def test_accepted_order_takes_effect_immediately(self):
        result = self.submit("drain e2")
        self.assertEqual((result.outcome, result.revision), ("accepted", 6))
        self.assertIn("e2", result.detail)
        self.assertTrue(self.context.holder.is_draining("e2"))
        self.assertEqual(self.submit("drain e2"), result)

    def test_refusal_names_conflicting_order(self):
        self.submit("drain e2")
        result = self.submit("drain e2", "o2")
        self.assertEqual((result.outcome, result.revision), ("refused", 0))
        self.assertIn("order o1 `drain e2`", result.detail)

    def test_roll_out_with_used_batch_id_names_its_order(self):
        text = "roll out assistant {} as {} to engines"
        self.submit(text.format(2, "b2"))
        self.submit(text.format(3, "b3"), "o2")
        self.submit("recall b3", "o3")
        for batch, order_id in (("b2", "o1"), ("b3", "o3")):
            result = self.submit(text.format(9, batch), "o4")
            self.assertEqual(result.outcome, "refused")
            self.assertIn(f"order {order_id} `", result.detail)
        with self.assertRaises(errors.InvalidInputError):
            self.submit(text.format(9, '"b 9"'), "o4")

    def test_wrong_orders_are_invalid_input(self):
        self.submit("drain e2")
        for text, order_id in (("recall b9", "o2"), ("resume e2", "o1")):
            with self.assertRaises(errors.InvalidInputError):
                self.submit(text, order_id)

    def test_order_fails_while_store_is_down(self):
        self.store.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.submit("drain e2")

    def test_order_is_unknown_if_all_answers_are_lost(self):
        self.store.faults = fakes.Faults(dropped=1.0)
        started_at = self.clock.now()
        self.assertEqual(self.submit("drain e2").outcome, "unknown")
        taken_seconds = self.clock.now() - started_at
        self.assertLess(taken_seconds, operations.SUBMIT_TIMEOUT_SECONDS + 1)
