"""What a run leaves to be judged: sends, answers, runs, orders, samples.

All times are on the machine's monotonic clock, in seconds, which every
process of the machine shares.
"""

import json
import pathlib
import time
from typing import Any, NamedTuple


class Send(NamedTuple):
    """One request that a caller sends.

    Attributes:
        number: its place in the plan; unique.
        at: when it is due, in seconds from the start of the load.
        sort: `plain`, `streamed`, `keyed`, `leaver` or `crash`.
        entry: which entry it goes to.
        account: whose it is.
        pipeline: the pipeline.
        text: the input.
        key: the idempotency key; empty for none.
        deadline_ms: the deadline that it names.
        leaves_after: when the caller closes, in seconds; 0 for never.
    """

    number: int
    at: float
    sort: str
    entry: str
    account: str
    pipeline: str
    text: str
    key: str
    deadline_ms: int
    leaves_after: float


class Answer(NamedTuple):
    """What a caller was told.

    Attributes:
        send: the request.
        tries: how often the caller had sent it before.
        entry: the entry that it went to.
        sent_at: when.
        ended_at: when it was told, or gave up.
        outcome: `whole`, `not_run`, `not_completed`, `unknown`, `invalid`;
            `cut` (the connection ended first), `left` (the caller closed),
            `unreached` (no connection), `none` (none in time), `malformed`.
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
        """The request's id; empty if it was not told."""
        return (self.value or {}).get("request", "")


class Run(NamedTuple):
    """One run in an endpoint's journal.

    Attributes:
        endpoint: the endpoint.
        pool: its pool.
        began: the journal's line of its beginning.
        ended: that of its end; None if it never did.
        crashed: it ended the endpoint's process.
    """

    endpoint: str
    pool: str
    began: dict
    ended: dict | None
    crashed: bool


class OrderAnswer(NamedTuple):
    """What an operator was told.

    Attributes:
        order_id: the order's id.
        verb: what it does.
        arguments: to what.
        outcome: `accepted`, `refused`, `unknown` or `not_run`.
        revision: the revision that it made, if accepted.
        sent_at: when it was sent.
        told_at: when the answer came.
        rival: the id of the order that it raced with; empty for none.
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
    """A time in which a process was not as usual.

    Attributes:
        kind: `down` (killed until it serves again), `frozen`, `stopping`
            (asked to end, until it did) or `calm` (no faults but graceful
            replacements; of no target).
        target: the process's name.
        began: when.
        ended: when; infinity while it lasts.
    """

    kind: str
    target: str
    began: float
    ended: float


class Sample(NamedTuple):
    """A node's revision at one time."""

    node: str
    pid: int
    asked_at: float
    revision: int


class Exit(NamedTuple):
    """The end of one of our processes.

    Attributes:
        name: the process.
        status: its exit status; negative for a signal.
        expected: `killed`, `stopped` (gracefully), or empty.
        at: when it was seen.
        detail: the end of its log.
    """

    name: str
    status: int
    expected: str
    at: float
    detail: str


class Evidence(NamedTuple):
    """All of it.

    Attributes:
        answers: what callers were told.
        runs: what endpoints ran.
        orders: what operators were told.
        spans: when processes were killed, frozen or stopping.
        samples: the nodes' revisions.
        exits: the processes that ended.
        outcomes: what each key's question was answered at the end.
        configuration: the store's last configuration.
        engines: the state of each engine at the end.
        log_lines: lines of the nodes' logs that tell of violations.
        batches: model, version and adapter of each batch ever rolled out.
        pools: each endpoint's pool.
        idle: entries with the endpoints that they sent no work to, long
            after the faults, as pairs.
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
    idle: list[tuple[str, str]]


class EventLog:
    """The run's events as JSON lines, each with its time."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self._file = path.open("w")

    def write(self, event: str, **fields: Any) -> None:
        """Adds an event of now."""
        line = {"at": time.monotonic(), "event": event, **fields}
        self._file.write(json.dumps(line, default=str) + "\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def read_journal(path: pathlib.Path, endpoint: str, pool: str) -> list[Run]:
    """Returns the runs in an endpoint's journal."""
    began: dict[str, dict] = {}
    ended: dict[str, dict] = {}
    crashed = set()
    for line in path.read_text().splitlines():
        item = json.loads(line)
        if item["event"] == "began":
            # An attempt may be run twice only by a fault: keep both.
            began[f"{item['attempt']} {item['started']}"] = item
        elif item["event"] == "ended":
            ended[f"{item['attempt']} {item['started']}"] = item
        elif item["event"] == "crashed":
            crashed.add(item["attempt"])
    return [
        Run(endpoint, pool, item, ended.get(mark), item["attempt"] in crashed)
        for mark, item in began.items()
    ]
