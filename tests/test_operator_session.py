"""A complete session of operators with a golden file, and a race.

To add a command, add it to the golden file and rewrite it (tests/goldens.py).
"""

import threading
from typing import Any

import curio

from lab import deployments, sessions
from lab import run as lab_run
from samphirevale import client
from tests import base, goldens

GOLDEN = "operator-session.txt"

SIZES = deployments.Sizes(entries=2, engines=2, stages=1, services=1)

# The number of rounds of the race, and the delay of each store call during it,
# in seconds.
RACE_ROUNDS = 4
SLOW_SECONDS = 0.2


class OperatorSessionTest(base.TestCase):
    """Operators' commands against running processes."""

    maxDiff = None

    def setUp(self):
        opened = deployments.open_deployment(SIZES)
        self.deployment = self.enterContext(opened)

    def test_session(self):
        for name in ("harvest-notice", "filing"):
            entry = self.deployment.entries["entry-0"]
            answer = lab_run.send_example(entry, name)
            self.assertEqual(answer["outcome"], "whole")
        golden = (goldens.DIRECTORY / GOLDEN).read_text(encoding="utf-8")
        session = sessions.run_session(self.deployment, golden)
        goldens.check(self, GOLDEN, session)

    def test_one_of_two_concurrent_orders_is_accepted(self):
        # The delay makes both read the configuration before either writes it.
        slow = {"slow_seconds": SLOW_SECONDS}
        url = self.deployment.platform.url
        deployments.call(url, "POST", "/faults", slow)
        accepted = {}
        for number in range(RACE_ROUNDS):
            texts = {f"{verb}-{number}": verb for verb in ("stop", "start")}
            results = self.race(texts)
            outcomes = {item["outcome"]: key for key, item in results.items()}
            self.assertEqual(set(outcomes), {"accepted", "refused"})
            accepted_id = outcomes["accepted"]
            detail = results[outcomes["refused"]]["detail"]
            self.assertIn(f"order {accepted_id} `", detail)
            accepted[accepted_id] = results[accepted_id]["revision"]
            for entry in self.deployment.entries:
                self.assertEqual(self.read(entry, "show orders", 2), accepted)
                states = self.read(entry, "show pipelines", 1)
                expected = {"stop": "stopped", "start": "serving"}
                self.assertEqual(states["filing"], expected[texts[accepted_id]])

    def race(self, verbs: dict[str, str]) -> dict[str, dict]:
        """Sends an order to each entry concurrently; returns results by id."""
        results = {}
        barrier = threading.Barrier(len(verbs))

        def send(entry, order_id):
            barrier.wait()
            text = f"{verbs[order_id]} pipeline filing"
            reply = self.call_entry(entry, client.run_order, text, order_id)
            results[order_id] = reply.value["order"]

        pairs = zip(self.deployment.entries, verbs, strict=True)
        threads = [threading.Thread(target=send, args=pair) for pair in pairs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def read(self, entry: str, text: str, column: int) -> dict[str, Any]:
        """Returns the values of a column by the first column."""
        rows = self.call_entry(entry, client.run_query, text).value["rows"]
        return {row[0]: row[column] for row in rows}

    def call_entry(self, entry, function, *args):
        url = self.deployment.entries[entry].admin_url
        token = self.deployment.operator_token
        return curio.run(function, url, token, *args)
