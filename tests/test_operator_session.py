"""A whole session of operators, held against a golden file, and a race.

After a wanted change of what operators see, rewrite the file and read its
difference:

    REWRITE_GOLDEN=1 python -m tests tests.test_operator_session
"""

import os
import pathlib
import re
import subprocess
import sys
import threading
import time
from typing import NamedTuple

import curio

from lab import deployments, processes
from lab import run as lab_run
from samphirevale import client, tables
from tests import base

GOLDEN = pathlib.Path(__file__).parent / "golden" / "operator-session.txt"

# Set to anything, this environment variable rewrites the golden file.
REWRITE = "REWRITE_GOLDEN"

SIZES = deployments.Sizes(entries=2, engines=2, stages=1, services=1)

# Columns whose cells differ from run to run.
VOLATILE = frozenset(
    {
        *("heartbeat_age_ms", "heard_age_ms", "age_ms"),
        *("running", "waiting", "limit", "service_ms", "wait_ms"),
        *("busy_ms", "wasted_ms"),
    }
)

# What stands for such a cell.
PLACEHOLDER = "*"

# The longest wait until a step prints what it waits for, in seconds.
STEP_SECONDS = 15.0

# The rounds of the race.
RACE_ROUNDS = 6


class Step(NamedTuple):
    """One command of the session.

    Attributes:
        entry: the entry that it is sent to.
        arguments: the tool's command line.
        awaits: a pattern; the command is repeated until it prints it.
    """

    entry: str
    arguments: tuple[str, ...]
    awaits: str = ""


def ask(text: str, awaits: str = "", entry: str = "entry-0") -> Step:
    return Step(entry, ("query", text), awaits)


def order(order_id: str, text: str, entry: str = "entry-0") -> Step:
    return Step(entry, ("order", "--order-id", order_id, text))


STEPS = (
    ask("show instances", r"entry-1 +entry +dc2 +serving +1"),
    ask("show endpoints"),
    ask("show endpoints where pool = engines and data_centre = dc2"),
    ask("show pipelines; show accounts; show configuration"),
    ask("show requests", r"all"),
    ask("show requests by pipeline"),
    ask("show requests by account"),
    ask("show requests by stage"),
    # Two batches side by side; the same order again; its id for another.
    order("o1", "roll out assistant 2 as b2 to engines"),
    order("o1", "roll out assistant 2 as b2 to engines"),
    order("o1", "roll out assistant 3 as b3 to engines", "entry-1"),
    order("o2", "roll out assistant 2 as b2 to engines", "entry-1"),
    ask("show batches", r"b2 .* engine-0,engine-1"),
    # A recall is confirmed by all, and final.
    ask("show recall b1"),
    order("o3", "recall b1", "entry-1"),
    ask("show recall b1", r"\A(?!(.|\n)*not )(.*confirmed.*\n?|.*state.*\n)+"),
    ask("show batches where state = recalled", r"recalled +1\n?\Z"),
    order("o4", "roll out assistant 1 as b1 to engines"),
    order("o5", "recall b9"),
    # A drain and a resume, each sent by two operators.
    order("o6", "drain engine-0"),
    order("o7", "drain engine-0", "entry-1"),
    ask("show endpoints where state = draining", entry="entry-1"),
    order("o8", "resume engine-0", "entry-1"),
    order("o9", "resume engine-0"),
    order("o10", "drain engine-9"),
    order("o11", "resume engine-9"),
    order("o12", "stop pipeline filing"),
    ask("show pipelines where state = stopped", entry="entry-1"),
    order("o13", "start pipeline filing", "entry-1"),
    order("o14", "stop pipeline fishing"),
    # Wrong statements.
    ask("show endpoint"),
    ask("show endpoints where colour = red; show requests by moon; shwo x"),
    ask("show pipelines by stage"),
    ask("recall b2"),
    order("o15", "roll out assistant as b3"),
    order("o16", 'drain ""'),
    order("no spaces in ids", "drain engine-1"),
    ask("show orders"),
)


def hide_volatile(text: str) -> str:
    """Returns a table with placeholders in the columns that vary."""
    lines = text.splitlines()
    if not VOLATILE & set(lines[0].split() if lines else ()):
        return text
    rows = [
        [line[start:end].strip() for start, end in _find_spans(lines)]
        for line in lines
    ]
    head, *body = rows
    for row in body:
        for index, name in enumerate(head):
            if name in VOLATILE and row[index]:
                row[index] = PLACEHOLDER
    return tables.format_table(head, body) + "\n"


def _find_spans(lines: list[str]) -> list[tuple[int, int]]:
    """Returns where the columns stand: between gaps that all lines have."""
    width = max(map(len, lines))
    padded = [line.ljust(width) for line in lines]
    marks = "".join(
        " " if all(line[index] == " " for line in padded) else "x"
        for index in range(width)
    )
    return [match.span() for match in re.finditer(r"x+( x+)*", marks)]


def run_tool(deployment: deployments.Deployment, step: Step) -> str:
    """Returns what a command prints, and its exit code if it is not 0."""
    admin_url = deployment.entries[step.entry].admin_url
    done = subprocess.run(
        [sys.executable, "-m", "samphirevale.cmdline", *step.arguments],
        cwd=processes.ROOT,
        env={**deployment.environment, "SAMPHIREVALE_ADMIN_URL": admin_url},
        capture_output=True,
        text=True,
        timeout=lab_run.TOOL_SECONDS,
        check=False,
    )
    end = f"exit {done.returncode}\n" if done.returncode else ""
    return hide_volatile(done.stdout) + done.stderr + end


def run_step(deployment: deployments.Deployment, step: Step) -> str:
    """Returns what a step prints once it prints what it waits for."""
    give_up_at = time.monotonic() + STEP_SECONDS
    while True:
        text = run_tool(deployment, step)
        is_over = time.monotonic() > give_up_at
        if is_over or re.search(step.awaits, text):
            return text


class OperatorSessionTest(base.TestCase):
    """What operators see, from processes that run."""

    maxDiff = None

    def setUp(self):
        opened = deployments.open_deployment(SIZES)
        self.deployment = self.enterContext(opened)

    def test_session(self):
        for name in ("harvest-notice", "filing"):
            entry = self.deployment.entries["entry-0"]
            answer = lab_run.send_example(entry, name)
            self.assertEqual(answer["outcome"], "whole")
        parts = []
        for step in STEPS:
            words = " ".join(f"'{item}'" for item in step.arguments)
            printed = run_step(self.deployment, step)
            parts.append(f"{step.entry}$ samphirevale {words}\n{printed}")
        session = "\n".join(parts)
        if os.environ.get(REWRITE):
            GOLDEN.write_text(session)
        self.assertEqual(GOLDEN.read_text(), session)

    def test_of_two_operators_at_two_entries_one_wins(self):
        accepted = {}
        for number in range(RACE_ROUNDS):
            verb = "resume" if number % 2 else "drain"
            ids = [f"{verb}-{number}-{side}" for side in ("left", "right")]
            results = self.race(f"{verb} engine-0", ids)
            outcomes = sorted(item["outcome"] for item in results.values())
            self.assertEqual(outcomes, ["accepted", "refused"], results)
            (winner,) = (
                name
                for name, item in results.items()
                if item["outcome"] == "accepted"
            )
            accepted[winner] = results[winner]["revision"]
            (loser,) = set(ids) - {winner}
            self.assertIn(f"order {winner} `", results[loser]["detail"])
        for entry in self.deployment.entries:
            self.assertEqual(self.list_orders(entry), accepted)

    def race(self, text: str, ids: list[str]) -> dict[str, dict]:
        """Sends an order by each id at one moment, to an entry each."""
        results = {}
        start = threading.Barrier(len(ids))

        def send(entry, order_id):
            start.wait()
            reply = self.call_entry(entry, client.run_order, text, order_id)
            results[order_id] = reply.value["order"]

        threads = [
            threading.Thread(target=send, args=pair)
            for pair in zip(self.deployment.entries, ids, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def list_orders(self, entry: str) -> dict[str, int]:
        reply = self.call_entry(entry, client.run_query, "show orders")
        return {row[0]: row[2] for row in reply.value["rows"]}

    def call_entry(self, entry, function, *args):
        url = self.deployment.entries[entry].admin_url
        token = self.deployment.operator_token
        return curio.run(function, url, token, *args)
