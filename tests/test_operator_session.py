"""A whole session of operators, held against a golden file, and a race.

The file holds the commands with what they print. A line `# until PATTERN`
above a command has it repeated until it prints that. After a wanted change
of what operators see, or to add a command to the file, rewrite it and read
its difference:

    REWRITE_GOLDEN=1 python -m tests tests.test_operator_session
"""

import os
import pathlib
import re
import shlex
import subprocess
import sys
import threading
import time
from typing import Any

import curio

from lab import deployments, processes
from lab import run as lab_run
from samphirevale import client, tables
from tests import base

GOLDEN = pathlib.Path(__file__).parent / "golden" / "operator-session.txt"

# Set to anything, this environment variable rewrites the golden file.
REWRITE = "REWRITE_GOLDEN"

SIZES = deployments.Sizes(entries=2, engines=2, stages=1, services=1)

# A command of the file, with the comments above it.
COMMAND = re.compile(r"(?:#.*\n)*(entry-\d)\$ samphirevale (.*)\n")
UNTIL = re.compile(r"^# until (.*)$", re.MULTILINE)

# Columns whose cells differ from run to run, and what stands for those.
VOLATILE = frozenset(
    {
        *("heartbeat_age_ms", "heard_age_ms", "age_ms"),
        *("running", "waiting", "limit", "service_ms", "wait_ms"),
        *("busy_ms", "wasted_ms"),
    }
)
PLACEHOLDER = "*"

# The longest wait until a command prints what it is repeated for, in seconds.
UNTIL_SECONDS = 15.0

# The rounds of the race, and how slow each call of the store is in it, in
# seconds.
RACE_ROUNDS = 4
SLOW_SECONDS = 0.2


def hide_volatile(text: str) -> str:
    """Returns a table with placeholders in the columns that vary."""
    lines = text.splitlines()
    if not VOLATILE & set(lines[0].split() if lines else ()):
        return text
    spans = find_spans(lines)
    head, *rows = [
        [line[start:end].strip() for start, end in spans] for line in lines
    ]
    for row in rows:
        for index, name in enumerate(head):
            if name in VOLATILE and row[index]:
                row[index] = PLACEHOLDER
    return tables.format_table(head, rows) + "\n"


def find_spans(lines: list[str]) -> list[tuple[int, int]]:
    """Returns where the columns stand: between gaps that all lines have."""
    width = max(map(len, lines))
    columns = zip(*(line.ljust(width) for line in lines), strict=True)
    marks = "".join(" " if set(item) == {" "} else "x" for item in columns)
    return [match.span() for match in re.finditer(r"x+( x+)*", marks)]


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
        golden = GOLDEN.read_text()
        session = "\n".join(map(self.run_block, golden.split("\n\n")))
        if os.environ.get(REWRITE):
            GOLDEN.write_text(session)
        else:
            self.assertEqual(golden, session)

    def run_block(self, block: str) -> str:
        """Returns a block of the file with what its command prints now."""
        command = COMMAND.match(block + "\n")
        until = UNTIL.search(command[0])
        give_up_at = time.monotonic() + UNTIL_SECONDS
        while True:
            printed = self.run_tool(command[1], shlex.split(command[2]))
            if until is None or re.search(until[1], printed):
                return command[0] + printed
            self.assertLess(time.monotonic(), give_up_at, printed)

    def run_tool(self, entry: str, arguments: list[str]) -> str:
        """Returns what a command prints, and its exit code if it is not 0."""
        admin_url = self.deployment.entries[entry].admin_url
        environment = self.deployment.environment
        done = subprocess.run(
            [sys.executable, "-m", "samphirevale.cmdline", *arguments],
            cwd=processes.ROOT,
            env={**environment, "SAMPHIREVALE_ADMIN_URL": admin_url},
            capture_output=True,
            text=True,
            timeout=lab_run.TOOL_SECONDS,
            check=False,
        )
        end = f"exit {done.returncode}\n" if done.returncode else ""
        return hide_volatile(done.stdout) + done.stderr + end

    def test_of_two_operators_at_two_entries_one_wins(self):
        # So slow that both read the configuration before either has written.
        slow = {"slow_seconds": SLOW_SECONDS}
        url = self.deployment.platform.url
        deployments.call(url, "POST", "/faults", slow)
        accepted = {}
        for number in range(RACE_ROUNDS):
            texts = {f"{verb}-{number}": verb for verb in ("stop", "start")}
            results = self.race(texts)
            outcomes = {item["outcome"]: key for key, item in results.items()}
            self.assertEqual(set(outcomes), {"accepted", "refused"})
            winner = outcomes["accepted"]
            detail = results[outcomes["refused"]]["detail"]
            self.assertIn(f"order {winner} `", detail)
            accepted[winner] = results[winner]["revision"]
            for entry in self.deployment.entries:
                self.assertEqual(self.read(entry, "show orders", 2), accepted)
                states = self.read(entry, "show pipelines", 1)
                expected = {"stop": "stopped", "start": "serving"}
                self.assertEqual(states["filing"], expected[texts[winner]])

    def race(self, verbs: dict[str, str]) -> dict[str, dict]:
        """Sends orders by their ids at one moment, to an entry each."""
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
        """Returns a column of a query's rows by their first one."""
        rows = self.call_entry(entry, client.run_query, text).value["rows"]
        return {row[0]: row[column] for row in rows}

    def call_entry(self, entry, function, *args):
        url = self.deployment.entries[entry].admin_url
        token = self.deployment.operator_token
        return curio.run(function, url, token, *args)
