"""The record of a run: requests, answers, runs, orders and samples.

All times are in seconds on the monotonic clock, which all processes of a
machine share.
"""

import json
import pathlib
import time
from typing import Any, NamedTuple


class Send(NamedTuple):
    """One planned request of a caller.

    Attributes:
        number: the request's unique number in the plan.
        at: when to send it, in seconds from the start of the load.
        kind: `plain`, `streamed`, `keyed`, `leaver` (the caller disconnects)
            or `crash` (the input crashes endpoints).
        entry: the entry that it is sent to.
        account: the account that it belongs to.
        pipeline: the pipeline.
        text: the input.
        key: the idempotency key; empty for none.
        deadline_ms: the deadline in the request, in milliseconds.
        disconnects_after: when the caller disconnects, in seconds after
            sending; 0 for never.
    """

    number: int
    at: float
    kind: str
    entry: str
    account: str
    pipeline: str
    text: str
    key: str
    deadline_ms: int
    disconnects_after: float


class Answer(NamedTuple):
    """The answer that a caller got.

    Attributes:
        send: the request.
        tries: how many times the caller had sent the request before.
        entry: the entry that the request was sent to.
        sent_at: when the request was sent.
        ended_at: when the answer was complete or the caller gave up.
        outcome: `whole`, `not_run`, `not_completed`, `unknown` or `invalid`
            as answered; `cut` (the connection ended early), `left` (the
            caller disconnected), `unreached` (no connection), `none` (no
            answer in time) or `malformed`.
        value: the last JSON value; None without one.
        streamed: the tokens of the stream's events.
    """

    send: Send
    tries: int
    entry: str
    sent_at: float
    ended_at: float
    outcome: str
    value: dict | None
    streamed: list[str]

    @property
    def request(self) -> str:
        """The request's id; empty if the answer does not contain it."""
        return (self.value or {}).get("request", "")


class Run(NamedTuple):
    """One run in an endpoint's journal.

    Attributes:
        endpoint: the endpoint.
        pool: the endpoint's pool.
        began: the journal's record of the start.
        ended: the journal's record of the end; None if there is none.
        crashed: whether the run crashed the endpoint's process.
    """

    endpoint: str
    pool: str
    began: dict
    ended: dict | None
    crashed: bool


class OrderAnswer(NamedTuple):
    """The answer that an operator got to an order.

    Attributes:
        order_id: the order's id.
        verb: the verb, such as `drain`.
        arguments: the values in the order's text, by name.
        outcome: `accepted`, `refused`, `unknown` or `not_run`.
        revision: the revision that an accepted order created.
        sent_at: when the order was sent.
        told_at: when the answer arrived.
        rival: the id of a conflicting order that was submitted at the same
            time; empty for none.
    """

    order_id: str
    verb: str
    arguments: dict
    outcome: str
    revision: int
    sent_at: float
    told_at: float
    rival: str


class Span(NamedTuple):
    """An interval in which a process was in an unusual state.

    Attributes:
        kind: `down` (from the exit until the process is ready again),
            `frozen` (suspended), `stopping` (from the request to stop until
            the exit), `calm` (graceful replacements and no other faults) or
            `silences` (brief silences of endpoints and no other faults); the
            last two have no target.
        target: the process's name.
        began: the start.
        ended: the end; infinity until the span ends.
    """

    kind: str
    target: str
    began: float
    ended: float


class Sample(NamedTuple):
    """The configuration revision of a node at one time.

    Attributes:
        node: the process name of the entry or sidecar.
        pid: the process id.
        asked_at: when the state dump was requested.
        revision: the revision in the dump.
    """

    node: str
    pid: int
    asked_at: float
    revision: int


class Exit(NamedTuple):
    """The exit of a process other than an endpoint.

    Attributes:
        name: the process's name.
        status: the exit status; negative for a signal.
        expected: `killed`, `stopped` (gracefully), or empty if the exit was
            unexpected.
        at: when the exit was detected.
        detail: the end of the log; empty if the exit was expected.
    """

    name: str
    status: int
    expected: str
    at: float
    detail: str


class Evidence(NamedTuple):
    """The complete record of a run.

    Attributes:
        answers: the answers that callers got.
        runs: the runs in the endpoints' journals.
        orders: the answers that operators got.
        spans: the intervals in which processes were down, frozen or
            stopping, all nodes were replaced gracefully, or endpoints were
            briefly silent.
        samples: the sampled revisions of the nodes.
        exits: the exits of processes other than endpoints.
        outcomes: the final answer of an entry about each idempotency key;
            None if the entry did not know the key.
        configuration: the final configuration in the store.
        engines: the final state of each engine, by name.
        log_lines: log lines of the nodes that report violations.
        batches: model, version and adapter of each batch, by name.
        pools: the pool of each endpoint.
        unreachable: pairs of an entry and an endpoint that the entry could
            not use long after the faults.
        given_up: log lines of sidecars that gave up an endpoint although it was
            only briefly silent.
    """

    answers: list[Answer]
    runs: list[Run]
    orders: list[OrderAnswer]
    spans: list[Span]
    samples: list[Sample]
    exits: list[Exit]
    outcomes: dict[str, Any]
    configuration: dict
    engines: dict[str, dict]
    log_lines: list[str]
    batches: dict[str, tuple[str, str, str]]
    pools: dict[str, str]
    unreachable: list[tuple[str, str]]
    given_up: list[str]


class EventLog:
    """Writes the run's events as JSON lines, each with its time."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self._file = path.open("w")

    def write(self, event: str, **fields: Any) -> None:
        """Writes an event with the current time."""
        line = {"at": time.monotonic(), "event": event, **fields}
        self._file.write(json.dumps(line, default=str) + "\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def read_journal(path: pathlib.Path, endpoint: str, pool: str) -> list[Run]:
    """Returns the runs recorded in an endpoint's journal."""
    began: dict[str, dict] = {}
    ended: dict[str, dict] = {}
    crashed = set()
    for line in path.read_text().splitlines():
        item = json.loads(line)
        if item["event"] == "began":
            # Keeps both runs if a fault causes an attempt to run twice.
            began[f"{item['attempt']} {item['started']}"] = item
        elif item["event"] == "ended":
            ended[f"{item['attempt']} {item['started']}"] = item
        elif item["event"] == "crashed":
            crashed.add(item["attempt"])
    return [
        Run(endpoint, pool, item, ended.get(run_id), item["attempt"] in crashed)
        for run_id, item in began.items()
    ]
