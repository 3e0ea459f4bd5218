"""Tests of the operators' desk and its tables, against a fake store."""

import random
import types

from samphirevale import (
    configuration,
    errors,
    language,
    messages,
    node,
    operations,
    settings,
    sidecars,
    snapshots,
    statistics,
    statuses,
    views,
)
from samphirevale.ports import operators as ports
from tests import base, fakes, test_configuration, test_settings, test_statuses

KEY = (configuration.OBJECT_KIND, configuration.OBJECT_NAME)


def build_peer(name, revision, heard_at, **beat):
    """Returns a connected sidecar beside an engine."""
    peer = sidecars.Peer("127.0.0.1:1", None)
    hello = (f"sidecar-{name}", "i", "sidecar", "dc1", name, "engines")
    peer.hello = messages.Hello(*hello)
    beat = {"leaving": False, "batches": ["b1"], **beat}
    peer.heartbeat = messages.Heartbeat(0, **beat)
    peer.revision = revision
    peer.member = peer.member._replace(
        heard_at=heard_at, leaving=peer.heartbeat.leaving
    )
    return peer


class DeskTestCase(base.TestCase):
    """A desk over a fake store that holds a configuration."""

    def setUp(self):
        self.clock = fakes.Simulation(1)
        self.store = fakes.FakeStore(self.clock)
        value = test_configuration.build_value()
        self.clock.call(self.store.create(*KEY, value))
        self.peers = {}
        loaded = settings.load_entry_settings(
            test_settings.FLAGS, test_settings.SECRETS
        )
        self.node = node.Node(
            loaded,
            snapshots.SnapshotHolder(),
            types.SimpleNamespace(peers=self.peers, leaving=False),
            *[None] * 5,
            self.store,
            statistics.Statistics(),
            random.Random(1),
            self.clock,
        )
        identity = statuses.Identity("entry-0", "i1", "dc1", 0.0)
        self.desk = operations.OperatorDesk(self.node, identity, self.clock.now)

    def add_peer(self, name, revision=5, silent_seconds=0, **beat):
        heard_at = self.clock.now() - silent_seconds
        self.peers[name] = build_peer(name, revision, heard_at, **beat)

    def ask(self, text):
        (statement,) = language.parse(text)
        return self.clock.call(self.desk.answer(statement.action)).rows

    def submit(self, text, order_id="o1"):
        (statement,) = language.parse(text)
        order = ports.Order(order_id, text, statement.action)
        return self.clock.call(self.desk.submit(order))

    def put_status(self, name, **changes):
        status = test_statuses.build_status(name, **changes)
        self.clock.call(self.store.create("status", name, status))


class AnswerTest(DeskTestCase):
    """What is told, and what is said not to be known."""

    def test_every_subject_and_group_is_answered(self):
        subjects = {(name, "") for name in language.SUBJECTS}
        groups = {("requests", name) for name in language.GROUPS}
        self.assertEqual(views.list_builders(), subjects | groups)
        self.submit("recall b1")
        self.add_peer("e2")
        for subject, group in subjects | groups:
            batch = "b1" if subject == "recall" else ""
            query = language.Show(subject, group, (), batch)
            table = self.clock.call(self.desk.answer(query))
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
        states = [row[3] for row in self.ask("show endpoints")]
        expected = ["draining", "leaving", "unhealthy", *["not heard"] * 2]
        self.assertEqual(states, [*expected, "serving"])
        (batch,) = self.ask("show batches")
        self.assertEqual(batch[-1], ["e1", "e2", "e3", "e6"])

    def test_a_sidecar_of_another_entry_is_believed_for_a_while(self):
        self.add_peer("e2")
        (mine,) = self.desk.build_status()["sidecars"]
        theirs = {**mine, "endpoint": "e3", "instance": "sidecar-e3"}
        self.put_status("entry-1", sidecars=[theirs])
        row = self.ask("show endpoints")[1]
        self.assertEqual((row[0], row[3]), ("e3", "serving"))
        self.clock.call(self.clock.sleep(statuses.SIDECARS_SECONDS + 1))
        row = self.ask("show endpoints")[1]
        self.assertEqual((row[0], row[3]), ("e3", "not heard"))

    def test_the_latest_sighting_of_a_sidecar_counts(self):
        self.add_peer("e2")
        (mine,) = self.desk.build_status()["sidecars"]
        self.clock.call(self.clock.sleep(15.0))
        written_at = self.clock.now() - 10
        self.put_status("entry-1", sidecars=[mine], written_at=written_at)
        for silent_seconds, state in ((5, "not heard"), (15, "serving")):
            self.add_peer("e2", silent_seconds=silent_seconds)
            self.assertEqual(self.ask("show endpoints")[0][3], state)

    def read_states(self):
        return [row[3] for row in self.ask("show instances")]

    def test_entries_that_are_not_heard(self):
        self.put_status("entry-1")
        self.assertEqual(self.read_states(), ["serving", "serving"])
        self.store.down = True
        states = self.read_states()
        self.assertEqual(states, ["serving", "not heard", "not heard"])
        (row,) = self.ask("show requests")
        self.assertEqual(row[-2], "part")
        self.store.down = False
        self.clock.call(self.clock.sleep(statuses.NOT_HEARD_SECONDS + 1))
        self.assertEqual(self.read_states(), ["serving", "not heard"])

    def test_nothing_is_told_without_a_configuration(self):
        self.store.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.ask("show pipelines")

    def test_requests_of_all_entries_are_summed(self):
        counts = {"outcomes": [["harvest", "farm", 4, 3, 1, 0, 0]], "costs": []}
        self.put_status("entry-1", statistics=counts)
        self.put_status("entry-2", statistics=counts)
        (row,) = self.ask("show requests by pipeline")
        self.assertEqual(row[:7], ("harvest", 8, 6, 0.75, 2, 0, 0))
        self.assertEqual(row[7], "all")

    def test_who_has_confirmed_a_recall(self):
        with self.assertRaises(errors.InvalidInputError):
            self.ask("show recall b1")
        self.submit("recall b1")
        self.submit("drain e9", "o2")
        self.add_peer("e1", 6)
        self.add_peer("e2", 5)
        self.add_peer("e3", 5, silent_seconds=10)
        self.add_peer("e4", 6, silent_seconds=10)
        self.put_status("entry-1", revision=5, written_at=self.clock.now())
        states = [row[2] for row in self.ask("show recall b1")]
        expected = ["confirmed", "not confirmed", "confirmed"]
        expected += ["not confirmed", "not heard", "confirmed"]
        self.assertEqual(states, expected)

    def test_an_old_recall_whose_record_is_gone(self):
        value = test_configuration.build_value(9)
        value["batches"]["b1"]["state"] = "recalled"
        value["orders"][0]["revision"] = 7
        self.assertEqual(views.find_recall(value, "b1"), 7)
        load = {"id": "l", "text": "", "target": "configuration"}
        value["orders"].append(load | {"revision": 8})
        self.assertEqual(views.find_recall(value, "b1"), 8)


class SubmitTest(DeskTestCase):
    """How the ends of an order are told."""

    def test_accepted_is_in_force_here_at_once(self):
        result = self.submit("drain e2")
        self.assertEqual((result.outcome, result.revision), ("accepted", 6))
        self.assertIn("e2", result.detail)
        self.assertTrue(self.node.holder.is_draining("e2"))
        self.assertEqual(self.submit("drain e2"), result)

    def test_refused_tells_what_won(self):
        self.submit("drain e2")
        result = self.submit("drain e2", "o2")
        self.assertEqual((result.outcome, result.revision), ("refused", 0))
        self.assertIn("order o1 `drain e2`", result.detail)

    def test_a_used_batch_tells_its_own_order(self):
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

    def test_wrong_orders_are_invalid(self):
        self.submit("drain e2")
        for text, order_id in (("recall b9", "o2"), ("resume e2", "o1")):
            with self.assertRaises(errors.InvalidInputError):
                self.submit(text, order_id)

    def test_the_store_is_down(self):
        self.store.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.submit("drain e2")

    def test_an_answer_is_lost_for_good(self):
        self.store.faults = fakes.Faults(dropped=1.0)
        started_at = self.clock.now()
        self.assertEqual(self.submit("drain e2").outcome, "unknown")
        taken_seconds = self.clock.now() - started_at
        self.assertLess(taken_seconds, operations.SUBMIT_SECONDS + 1)
