"""`make run`: runs the whole system locally with a request of each kind.

Starts two entries and the sidecars and stand-ins of both users' pipelines.
Sends the requests in examples/ and prints each answer with the durations of
its stages. Then queries endpoints and requests with the operators' tool, and
stops all processes gracefully.
"""

import argparse
import hashlib
import json
import pathlib
import subprocess
import sys
import time

from lab import deployments, processes

EXAMPLES = (
    "harvest-notice",
    "slot-confirmation",
    "removal-record",
    "filing",
)

# The timeout of the operators' tool, in seconds.
TOOL_SECONDS = 30.0


class RunError(Exception):
    """An answer or a process was not as expected."""


def read_example(name: str) -> dict:
    """Returns an example request."""
    path = processes.ROOT / "examples" / f"{name}.json"
    return json.loads(path.read_text())


def send_example(entry: deployments.Node, name: str) -> dict:
    """Sends an example request to an entry and returns the answer."""
    example = read_example(name)
    token = deployments.ACCOUNT_TOKENS[example["account"]]
    headers = [("Authorization", f"Bearer {token}")]
    if "idempotency_key" in example:
        headers.append(("Idempotency-Key", example["idempotency_key"]))
    path = f"/v1/pipelines/{example['pipeline']}/requests"
    # Only the tool uses streams; here the answer is a single JSON value.
    body = {**example["request"], "stream": False}
    return deployments.call(
        entry.process.url, "POST", path, body, tuple(headers)
    )


def check_answer(answer: dict) -> None:
    """Checks that an answer is complete.

    Raises:
        RunError: the outcome is not `whole`, or count or digest are wrong.
    """
    if answer["outcome"] != "whole":
        raise RunError(f"answer is not whole: {answer}")
    result = answer["result"]
    if answer["count"]:
        tokens = result["tokens"]
        lines = "".join(f"{token}\n" for token in tokens)
        digest = hashlib.sha256(lines.encode()).hexdigest()
        if (len(tokens), digest) != (answer["count"], answer["digest"]):
            raise RunError(f"tokens do not match count or digest: {answer}")


def print_answer(name: str, answer: dict, seconds: float) -> None:
    """Prints an answer and the durations of its stages."""
    print(f"\n{name}: {answer['outcome']} in {seconds * 1000:.0f} ms")
    result = {**answer["result"]}
    result.pop("tokens", None)
    print(f"  result  {json.dumps(result)}")
    if answer["count"]:
        print(f"  tokens  {answer['count']}, digest {answer['digest'][:16]}")
    for use in answer["stages"]:
        print(
            f"  {use['stage']:<12}"
            f" {use['seconds'] * 1000:7.1f} ms,"
            f" endpoint busy {use['busy_ms']:7.1f} ms,"
            f" attempts {use['attempts']}"
        )


def run_tool(deployment: deployments.Deployment, *arguments: str) -> None:
    """Runs the operators' tool, whose output goes to the standard output.

    Raises:
        RunError: the tool failed.
    """
    entry = deployment.entries["entry-0"]
    environment = {
        **deployment.environment,
        "SAMPHIREVALE_URL": entry.process.url,
        "SAMPHIREVALE_ADMIN_URL": entry.admin_url,
    }
    print(f"\n$ samphirevale {' '.join(arguments)}", flush=True)
    done = subprocess.run(
        [sys.executable, "-m", "samphirevale.cmdline", *arguments],
        cwd=processes.ROOT,
        env=environment,
        timeout=TOOL_SECONDS,
        check=False,
    )
    if done.returncode:
        raise RunError(f"samphirevale {arguments}: exit {done.returncode}")


def show_addresses(deployment: deployments.Deployment) -> None:
    """Prints the addresses and secrets, and waits for Ctrl-C."""
    for name, node in deployment.entries.items():
        print(f"{name}: callers {node.process.url} admin {node.admin_url}")
    print(f"operator token: {deployment.operator_token}")
    for account, token in deployments.ACCOUNT_TOKENS.items():
        print(f"token of account {account}: {token}")
    print("Press Ctrl-C to stop.", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print()


def run(keep: bool, directory: pathlib.Path) -> None:
    """Starts the system, sends the example requests and stops the system.

    Raises:
        RunError: an answer is not complete, the tool failed, or a process did
            not stop gracefully.
    """
    with deployments.open_deployment(directory=directory) as deployment:
        count = len(deployment.group.processes)
        print(f"{count} processes run; logs are under build/run")
        entries = list(deployment.entries.values())
        for number, name in enumerate(EXAMPLES):
            started_at = time.monotonic()
            answer = send_example(entries[number % len(entries)], name)
            check_answer(answer)
            print_answer(name, answer, time.monotonic() - started_at)
        run_tool(deployment, "query", "show endpoints")
        run_tool(deployment, "query", "show requests by pipeline")
        run_tool(deployment, "query", "show requests by stage")
        if keep:
            show_addresses(deployment)
        statuses = deployment.stop()
    failed = {name: status for name, status in statuses.items() if status}
    if failed:
        raise RunError(f"did not stop gracefully: {failed}")
    print(f"\nall {count} processes stopped gracefully")


def main() -> int:
    """Runs the command and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the system running until Ctrl-C",
    )
    arguments = parser.parse_args()
    directory = processes.ROOT / "build" / "run"
    directory.mkdir(parents=True, exist_ok=True)
    try:
        run(arguments.keep, directory)
    except (RunError, processes.ProcessError) as error:
        print(f"make run failed: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
