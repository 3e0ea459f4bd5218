"""A complete session of a caller, compared with a golden file."""

import contextlib
import json
import re
from collections.abc import Iterator
from typing import Any, NamedTuple

import curio

from lab import deployments
from samphirevale.adapters import web_client
from standins import generation
from tests import base, goldens

SIZES = deployments.Sizes(entries=1, engines=1, stages=1, services=1)

TOKEN = deployments.ACCOUNT_TOKENS["colheita"]

NOTICE = "/v1/pipelines/harvest-notice/requests"
SLOT = "/v1/pipelines/slot-confirmation/requests"

EVENTS_TYPE = "text/event-stream"
JSON_TYPES = ("application/json", "application/problem+json")

# The engines' time per token, in seconds. Their lines of four tokens are then
# further apart than answer_reader.CHUNK_INTERVAL_SECONDS, so each line is one
# chunk.
TOKEN_SECONDS = "0.015"

# The polling interval for an outcome, in seconds.
POLL_SECONDS = 0.02

PLACEHOLDERS = (
    (r'(request"?: )"entry-0-[0-9a-f]{16}"', r'\1"<request id>"'),
    (r'("seconds": )[0-9.e-]+', r"\1<seconds>"),
    (r'("(?:busy|wasted)_ms": )(?!0\.0\b)[0-9.e-]+', r"\1<ms>"),
    (r"127\.0\.0\.1:\d+", "127.0.0.1:<port>"),
)


class Step(NamedTuple):
    """One request of the session.

    Attributes:
        title: the step's heading in the golden file.
        target: the path; the method is POST if there is a body, else GET.
        body: the body's JSON value, or None.
        key: the idempotency key, or empty.
        token: the bearer token.
        faults: fault switches by endpoint, which are on during this step only.
            They leave health probes as they are: a sidecar may probe during the
            step, and what it finds would hold after it.
    """

    title: str
    target: str
    body: Any = None
    key: str = ""
    token: str = TOKEN
    faults: dict[str, dict] = {}


BIANCHI_CONFIRMATION = {
    "input": "Confirm row 7 for family Bianchi.",
    "idempotent": False,
}
ROSSI_CONFIRMATION = {
    "input": "Confirm row 8 for family Rossi.",
    "idempotent": False,
}

STEPS = (
    Step("plain", NOTICE, {"input": "Strawberries are ripe.", "priority": 3}),
    Step("streamed", NOTICE, {"input": "Grapes are ripe.", "stream": True}),
    Step("keyed", SLOT, BIANCHI_CONFIRMATION, "slot-1"),
    Step("keyed, sent again", SLOT, BIANCHI_CONFIRMATION, "slot-1"),
    Step("the key with another input", SLOT, ROSSI_CONFIRMATION, "slot-1"),
    Step("the outcome of the key", "/v1/requests/slot-1"),
    Step("the outcome of an unused key", "/v1/requests/slot-9"),
    Step(
        "invalid, all findings at once",
        SLOT,
        {"deadline_ms": 0, "stream": 1, "priority": 10, "colour": "red"},
    ),
    Step("an unknown pipeline", "/v1/pipelines/tea/requests", {"input": 1}),
    Step("a wrong token", NOTICE, {"input": 1}, token="wrong"),
    Step(
        "refused, not run",
        NOTICE,
        {"input": "Figs are ripe."},
        faults={"encoder-0": {"refuse_runs": True}},
    ),
    Step(
        "refused before its stream, not completed",
        NOTICE,
        {"input": "Figs are ripe.", "stream": True},
        faults={"reranker-0": {"fail": True}},
    ),
    Step(
        "unknown",
        SLOT,
        ROSSI_CONFIRMATION,
        "slot-2",
        faults={"booking-0": {"lose_answer": True}},
    ),
    Step("unknown, sent again", SLOT, ROSSI_CONFIRMATION, "slot-2"),
    Step("the outcome of the unknown key", "/v1/requests/slot-2"),
)


def plan_endpoints() -> list[deployments.EndpointPlan]:
    """Returns the endpoints, with TOKEN_SECONDS set for the engines."""
    pace = ("--seconds-per-token", TOKEN_SECONDS)
    return [
        plan._replace(arguments=(*plan.arguments, *pace))
        if plan.kind == "engine"
        else plan
        for plan in deployments.plan_endpoints(SIZES)
    ]


def read_events(text: str) -> list[tuple[str, Any]]:
    """Returns the name and the value of each server-sent event."""
    events = []
    for block in text.removesuffix("\n\n").split("\n\n"):
        match = re.fullmatch("event: (.*)\ndata: (.*)", block)
        if match is None:
            raise AssertionError(f"no event: {block}")
        events.append((match[1], json.loads(match[2])))
    return events


def format_members(value: dict) -> str:
    """Returns a JSON object with one line for each of its members."""
    return "".join(f"{name}: {json.dumps(value[name])}\n" for name in value)


class Answer(NamedTuple):
    """One answer.

    Attributes:
        status: the status.
        headers: the headers, with names in lower case.
        text: the body.
    """

    status: int
    headers: dict[str, str]
    text: str

    def __str__(self) -> str:
        """Returns all of the answer, for the messages of failed checks."""
        return f"answered {self.status} {self.headers}\n{self.text}"

    @property
    def type(self) -> str:
        """The type of the body; empty without the header."""
        return self.headers.get("content-type", "")


class CallerSessionTest(base.TestCase):
    """Real processes and a caller that sends requests sequentially."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.deployment = cls.enterClassContext(
            deployments.open_deployment(SIZES, plans=plan_endpoints())
        )

    @contextlib.contextmanager
    def faults_on(self, step: Step) -> Iterator[None]:
        """Turns the step's switches on for the duration of the block."""
        with contextlib.ExitStack() as stack:
            for name, switches in step.faults.items():
                off = dict.fromkeys(switches)
                stack.callback(self.set_faults, name, off)
                self.set_faults(name, switches)
            yield

    def set_faults(self, name: str, switches: dict) -> None:
        """Sets switches of an endpoint, and checks that probes succeed."""
        url = self.deployment.endpoints[name].url
        deployments.call(url, "POST", "/faults", switches)
        deployments.call(url, "GET", "/health")

    async def send(self, step: Step) -> Answer:
        headers = [("Authorization", f"Bearer {step.token}")]
        if step.key:
            headers.append(("Idempotency-Key", step.key))
        method = "GET" if step.body is None else "POST"
        body = b"" if step.body is None else json.dumps(step.body).encode()
        port = self.deployment.entries["entry-0"].process.port
        async with web_client.connect("127.0.0.1", port) as connection:
            answer = await connection.request(
                method, step.target, body, tuple(headers)
            )
            text = (await answer.read_body()).decode()
        return Answer(answer.status, answer.headers, text)

    def read_object(self, answer: Answer) -> dict:
        """Returns the body, which has to be a JSON object."""
        self.assertIn(answer.type, JSON_TYPES, answer)
        return json.loads(answer.text)

    async def format_step(self, step: Step) -> str:
        answer = await self.send(step)
        text = answer.text
        if answer.type != EVENTS_TYPE:
            text = format_members(self.read_object(answer))
        method = "GET" if step.body is None else "POST"
        lines = [f"### {step.title}", f"> {method} {step.target}"]
        if step.key:
            lines.append(f"> Idempotency-Key: {step.key}")
        if step.body is not None:
            lines.append(f"> {json.dumps(step.body)}")
        lines.append(f"< {answer.status}")
        for name in ("content-type", "retry-after", "www-authenticate"):
            if name in answer.headers:
                lines.append(f"< {name}: {answer.headers[name]}")
        return "\n".join([*lines, text.rstrip(), "", ""])

    async def wait_for_outcome(self, key: str, asked: str) -> None:
        """Waits until the key's outcome, which is stored later, is stored.

        Args:
            key: the idempotency key.
            asked: the step that has used it, for the message of a failure.
        """
        while True:
            answer = await self.send(Step("", f"/v1/requests/{key}"))
            self.assertEqual(200, answer.status, f"{answer}\n\nafter\n{asked}")
            if self.read_object(answer)["state"] != "running":
                return
            await curio.sleep(POLL_SECONDS)

    def test_session(self):
        steps = []
        for step in STEPS:
            with self.faults_on(step):
                steps.append(curio.run(self.format_step, step))
                if step.key:
                    curio.run(self.wait_for_outcome, step.key, steps[-1])
        text = goldens.mask("".join(steps), PLACEHOLDERS)
        goldens.check(self, "caller-session.txt", text)

    def test_stream_matches_engine_record(self):
        step = Step("", NOTICE, {"input": "Persimmons.", "stream": True})
        answer = curio.run(self.send, step)
        self.assertEqual(
            (200, EVENTS_TYPE), (answer.status, answer.type), answer
        )
        *chunks, (name, end) = read_events(answer.text)
        self.assertEqual("end", name, answer)
        tokens = []
        for _, chunk in chunks:
            self.assertEqual(len(tokens), chunk["sequence"])
            tokens += chunk["tokens"]
        engine = self.deployment.endpoints["engine-0"].url
        record = deployments.call(engine, "GET", "/record")
        (run,) = [
            run for run in record["runs"] if run["request"] == end["request"]
        ]
        self.assertEqual("done", run["status"])
        self.assertEqual(run["count"], len(tokens))
        reported = (end["count"], end["digest"])
        self.assertEqual((run["count"], run["digest"]), reported)
        digest = generation.compute_tokens_digest(tokens)
        self.assertEqual(run["digest"], digest)
