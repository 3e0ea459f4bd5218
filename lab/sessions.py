"""Runs session files: commands of the operators' tool with their output.

A session file consists of blocks separated by empty lines. Each block is a
command, `ENTRY$ samphirevale ARGUMENTS`, followed by its output. Comments may
precede the command. With a comment `# until PATTERN` the command is repeated
until its output matches the pattern.
"""

import re
import shlex
import subprocess
import sys
import time

from lab import deployments, processes
from samphirevale import tables

# The timeout of one command, in seconds.
TOOL_SECONDS = 30.0

# The time limit for a repeated command to match its pattern, in seconds.
UNTIL_SECONDS = 15.0

COMMAND = re.compile(r"(?:#.*\n)*(.+)\$ samphirevale (.*)\n")
UNTIL = re.compile(r"^# until (.*)$", re.MULTILINE)

# Columns whose values differ between runs, and the placeholder for them.
VOLATILE = frozenset(
    {
        *("heartbeat_age_ms", "heard_age_ms", "age_ms"),
        *("running", "waiting", "limit", "service_ms", "wait_ms"),
        *("busy_ms", "wasted_ms"),
    }
)
PLACEHOLDER = "*"


class SessionError(Exception):
    """The output of a repeated command did not match its pattern in time."""


def run_session(deployment: deployments.Deployment, text: str) -> str:
    """Runs a session's commands; returns the file with the new output.

    Raises:
        SessionError: a repeated command's output did not match its pattern.
    """
    blocks = text.split("\n\n")
    return "\n".join(_run_block(deployment, block) for block in blocks)


def _run_block(deployment: deployments.Deployment, block: str) -> str:
    command = COMMAND.match(block + "\n")
    until = UNTIL.search(command[0])
    give_up_at = time.monotonic() + UNTIL_SECONDS
    while True:
        arguments = shlex.split(command[2])
        printed = run_tool(deployment, command[1], arguments)
        if until is None or re.search(until[1], printed):
            return command[0] + printed
        if time.monotonic() > give_up_at:
            raise SessionError(
                f"{command[0]} output never matched; last output:\n{printed}"
            )


def run_tool(
    deployment: deployments.Deployment, entry: str, arguments: list[str]
) -> str:
    """Runs the tool against an entry.

    Returns:
        The standard output, with placeholders for values that vary, the
        standard error, and the exit status if it is not 0.
    """
    node = deployment.entries[entry]
    environment = {
        **deployment.environment,
        "SAMPHIREVALE_URL": node.process.url,
        "SAMPHIREVALE_ADMIN_URL": node.admin_url,
    }
    done = subprocess.run(
        [sys.executable, "-m", "samphirevale.cmdline", *arguments],
        cwd=processes.ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TOOL_SECONDS,
        check=False,
    )
    end = f"exit {done.returncode}\n" if done.returncode else ""
    return mask_volatile(done.stdout) + done.stderr + end


def mask_volatile(text: str) -> str:
    """Replaces the cells of a table's volatile columns by placeholders."""
    lines = text.splitlines()
    if not VOLATILE & set(lines[0].split() if lines else ()):
        return text
    spans = _find_spans(lines)
    head, *rows = [
        [line[start:end].strip() for start, end in spans] for line in lines
    ]
    for row in rows:
        for index, name in enumerate(head):
            if name in VOLATILE and row[index]:
                row[index] = PLACEHOLDER
    return tables.format_table(head, rows) + "\n"


def _find_spans(lines: list[str]) -> list[tuple[int, int]]:
    """Returns the spans of columns, which gaps in all lines separate."""
    width = max(map(len, lines))
    columns = zip(*(line.ljust(width) for line in lines), strict=True)
    mask = "".join(" " if set(item) == {" "} else "x" for item in columns)
    return [match.span() for match in re.finditer(r"x+( x+)*", mask)]
