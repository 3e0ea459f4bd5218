"""The output and the exit codes of the command-line tool."""

import json
import sys
from typing import Any

from samphirevale import client, errors, orders, tables, token_buffers

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_BROKEN = 5

# The exit code for each outcome in an answer.
OUTCOME_EXITS = {
    "whole": EXIT_DONE,
    "accepted": EXIT_DONE,
    "invalid": EXIT_INVALID,
    "refused": EXIT_REFUSED,
    "not_run": EXIT_REFUSED,
    "not_completed": EXIT_REFUSED,
    "unknown": EXIT_UNKNOWN,
}


def report_error(error: errors.SamphirevaleError) -> int:
    """Prints an error and returns the exit code."""
    if isinstance(error, errors.InvalidInputError):
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID
    print(f"{_describe_failure(error)}: {error}", file=sys.stderr)
    if isinstance(error, errors.AnswerLostError | errors.StoreUnknownError):
        return EXIT_UNKNOWN
    if isinstance(error, token_buffers.BrokenStreamError):
        return EXIT_BROKEN
    return EXIT_FAILED


def _describe_failure(error: errors.SamphirevaleError) -> str:
    if isinstance(error, errors.ConnectError):
        return "nothing was sent"
    if isinstance(error, errors.AnswerLostError | errors.StoreUnknownError):
        return "the answer is lost"
    if isinstance(error, token_buffers.BrokenStreamError):
        return "the answer is not whole"
    return "failed"


def ignore_tokens(tokens: list[str]) -> None:
    """Does nothing; the complete answer is printed as JSON later."""


def print_tokens(tokens: list[str]) -> None:
    """Prints tokens of a streamed answer as they arrive."""
    print(*tokens, sep="", end="", flush=True)


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_answer(reply: client.Reply, streamed: bool, as_json: bool) -> int:
    """Prints the answer to a request and returns the exit code."""
    if as_json:
        print_json(reply.value)
        return _choose_exit(reply.value)
    if reply.status != 200:
        return _print_problem(reply.value)
    if streamed:
        print()
    else:
        _print_result(reply.value)
    _print_stages(reply.value)
    return _choose_exit(reply.value)


def _print_result(value: dict[str, Any]) -> None:
    result = value.get("result")
    if isinstance(result, dict) and isinstance(result.get("text"), str):
        print(result["text"])
    else:
        print_json(result)


def _print_stages(value: dict[str, Any]) -> None:
    """Prints each stage's time and cost, and the token count and digest."""
    stages = value.get("stages") or []
    if stages:
        rows = [list(stage.values()) for stage in stages]
        print(tables.format_table(list(stages[0]), rows))
    if value.get("digest"):
        print(f"whole: {value['count']} tokens, digest {value['digest']}")


def _print_problem(value: Any) -> int:
    """Prints problem details and returns the exit code."""
    if not isinstance(value, dict):
        print(f"failed: {value}", file=sys.stderr)
        return EXIT_FAILED
    outcome = value.get("outcome", "failed")
    text = value.get("detail") or value.get("title", "")
    print(f"{outcome}: {text}", file=sys.stderr)
    if "retry_after_seconds" in value:
        print(f"retry after {value['retry_after_seconds']} s", file=sys.stderr)
    for item in value.get("findings", ()):
        print(errors.Finding(**item), file=sys.stderr)
    return _choose_exit(value)


def _choose_exit(value: Any) -> int:
    outcome = value.get("outcome") if isinstance(value, dict) else None
    if not isinstance(outcome, str):
        return EXIT_FAILED
    return OUTCOME_EXITS.get(outcome, EXIT_FAILED)


def print_statements(reply: client.Reply, as_json: bool) -> int:
    """Prints the answers to statements and returns the highest exit code."""
    multiple = reply.value.get("answers")
    if as_json:
        print_json(reply.value)
    codes = [
        _choose_statement_exit(value) if as_json else _print_statement(value)
        for value in (multiple or [reply.value])
    ]
    return max(codes)


def _choose_statement_exit(value: dict[str, Any]) -> int:
    if "columns" in value:
        return EXIT_DONE
    return _choose_exit(value.get("order", value))


def _print_statement(value: dict[str, Any]) -> int:
    if "columns" in value:
        print(tables.format_table(value["columns"], value["rows"]))
    elif "order" in value:
        columns = list(value["order"])
        print(tables.format_table(columns, [list(value["order"].values())]))
    else:
        return _print_problem(value)
    return _choose_statement_exit(value)


def print_submission(order_id: str, result: orders.Submission) -> int:
    """Prints the result of a load and returns the exit code."""
    if isinstance(result, orders.Accepted):
        print(f"accepted: revision {result.revision}")
        return EXIT_DONE
    if isinstance(result, orders.Rejected):
        conflict = result.conflicting_order
        print(
            f"refused: order {conflict['id']} ({conflict['text']}) came first: "
            f"{result.detail}",
            file=sys.stderr,
        )
        return EXIT_REFUSED
    print(f"unknown: try again with --order-id {order_id}", file=sys.stderr)
    return EXIT_UNKNOWN
