"""The callers of a run: a plan of requests from a seed, and a client."""

import contextlib
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import curio

from lab import deployments, evidence
from samphirevale import errors
from samphirevale.adapters import web_client

# The rate of new requests per second, without retries and repeated keys.
REQUESTS_PER_SECOND = 25.0

# The shares of the kinds of requests.
KIND_SHARES = {"plain": 0.40, "streamed": 0.25, "keyed": 0.28, "leaver": 0.07}

# The range from which deadlines are drawn, in milliseconds.
DEADLINE_LEAST_MS = 1500
DEADLINE_MOST_MS = 5000

# The delays after which a request with a key is sent again, in seconds after
# the first time.
REPEAT_DELAYS_SECONDS = (0.0, 0.01, 0.2, 1.0, 3.0, 6.0)

# The share of requests with a key that are sent again, and the maximum number
# of repeats.
REPEAT_SHARE = 0.5
REPEATS_LIMIT = 3

# The interval between crash inputs, the number of times that each is sent,
# and the interval between these; both intervals in seconds.
CRASH_SECONDS = 9.0
CRASH_SENDS = 6
CRASH_PAUSE_SECONDS = 0.8

# The pools whose endpoints the crash inputs crash.
CRASH_POOLS = ("engines", "encoders", "rerankers", "booking")

# The number of retries of a request that was refused as not run, and the
# maximum wait before a retry, in seconds.
RETRIES = 2
RETRY_SECONDS_MOST = 1.5

# The time that a caller waits for an answer after the deadline, in seconds.
ANSWER_GRACE_SECONDS = 3.0

ACCOUNT_BY_PIPELINE = {
    "harvest-notice": "colheita",
    "slot-confirmation": "colheita",
    "removal-record": "hoppyard",
    "filing": "hoppyard",
}


def build_crash_text(pool: str) -> str:
    """Returns the input text that crashes the endpoints of a pool."""
    return f"fatal-to-{pool}"


def plan_sends(
    seed: int, seconds: float, entries: list[str]
) -> list[evidence.Send]:
    """Returns the requests of a run, in chronological order."""
    rng = random.Random(f"sends {seed}")
    sends = _plan_requests(rng, str(seed), seconds, entries)
    for number in range(max(1, int(seconds / CRASH_SECONDS))):
        sends += _plan_crash(rng, seed, number, seconds, entries, len(sends))
    return sorted(sends, key=lambda send: (send.at, send.number))


def plan_phase_sends(
    seed: int, phase: str, seconds: float, entries: list[str]
) -> list[evidence.Send]:
    """Returns the requests for a phase that has one kind of fault only."""
    rng = random.Random(f"{phase} sends {seed}")
    sends = _plan_requests(rng, f"{seed}-{phase}", seconds, entries)
    return sorted(sends, key=lambda send: (send.at, send.number))


def _plan_requests(
    rng: random.Random, label: str, seconds: float, entries: list[str]
) -> list[evidence.Send]:
    """Returns requests whose inputs and keys contain the label."""
    sends: list[evidence.Send] = []
    at = 0.0
    while (at := at + rng.expovariate(REQUESTS_PER_SECOND)) < seconds:
        sends += _plan_request(rng, label, at, entries, len(sends))
    return sends


def _plan_request(
    rng: random.Random, label: str, at: float, entries: list[str], number: int
) -> list[evidence.Send]:
    kind = rng.choices(list(KIND_SHARES), list(KIND_SHARES.values()))[0]
    service_pipelines = list(deployments.SERVICE_BY_PIPELINE)
    keyed = kind == "keyed" or (kind == "leaver" and rng.random() < 0.5)
    pipeline = rng.choice(
        service_pipelines if keyed else list(deployments.DRAFT_PIPELINES)
    )
    send = evidence.Send(
        number=number,
        at=at,
        kind=kind,
        entry=rng.choice(entries),
        account=ACCOUNT_BY_PIPELINE[pipeline],
        pipeline=pipeline,
        text=f"Request {label}-{number} for {pipeline}. {rng.random()}",
        key=f"key-{label}-{number}" if keyed else "",
        deadline_ms=rng.randint(DEADLINE_LEAST_MS, DEADLINE_MOST_MS),
        disconnects_after=rng.uniform(0.01, 0.3) if kind == "leaver" else 0.0,
    )
    sends = [send]
    if keyed and rng.random() < REPEAT_SHARE:
        for _ in range(rng.randint(1, REPEATS_LIMIT)):
            repeat = send._replace(
                number=number + len(sends),
                kind="keyed",
                at=at + rng.choice(REPEAT_DELAYS_SECONDS),
                entry=rng.choice(entries),
                disconnects_after=0.0,
            )
            sends.append(repeat)
    return sends


def _plan_crash(
    rng: random.Random,
    seed: int,
    input_number: int,
    seconds: float,
    entries: list[str],
    number: int,
) -> list[evidence.Send]:
    pool = CRASH_POOLS[(seed + input_number) % len(CRASH_POOLS)]
    pipeline = "slot-confirmation" if pool == "booking" else "harvest-notice"
    first_at = rng.uniform(0, max(0.1, seconds - 5.0))
    text = f"Request {seed}-crash-{input_number}: {build_crash_text(pool)}"
    key = f"crash-{seed}-{input_number}" if pool == "booking" else ""
    return [
        evidence.Send(
            number=number + repeat,
            at=first_at + repeat * CRASH_PAUSE_SECONDS,
            kind="crash",
            entry=rng.choice(entries),
            account=ACCOUNT_BY_PIPELINE[pipeline],
            pipeline=pipeline,
            text=text,
            key=key,
            deadline_ms=DEADLINE_MOST_MS,
            disconnects_after=0.0,
        )
        for repeat in range(CRASH_SENDS)
    ]


class Callers:
    """Sends the requests of a plan and records the answers.

    Attributes:
        answers: one answer for each time that a request was sent.
        retried: the number of retries of requests that had not run.
    """

    def __init__(
        self, deployment: deployments.Deployment, log: evidence.EventLog
    ):
        self.answers: list[evidence.Answer] = []
        self.retried = 0
        self._deployment = deployment
        self._log = log

    async def run(self, sends: list[evidence.Send]) -> None:
        """Sends each request when it is due, and waits for all answers."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as group:
            for send in sends:
                delay = started_at + send.at - time.monotonic()
                if delay > 0:
                    await curio.sleep(delay)
                await group.spawn(self._call, send)

    async def _call(self, send: evidence.Send) -> None:
        """Sends a request, and retries it at other entries if it did not run.

        Requests of the kinds `leaver` and `crash` are not retried.
        """
        names = list(self._deployment.entries)
        first = names.index(send.entry)
        for tries in range(RETRIES + 1):
            entry = names[(first + tries) % len(names)]
            answer = await self._send_once(send, tries, entry)
            self._record(answer)
            if answer.outcome not in ("not_run", "unreached"):
                return
            if send.kind in ("leaver", "crash") or tries == RETRIES:
                return
            self.retried += 1
            value = answer.value or {}
            retry_after = value.get("retry_after_seconds", 0.2)
            await curio.sleep(min(retry_after, RETRY_SECONDS_MOST))

    def _record(self, answer: evidence.Answer) -> None:
        self.answers.append(answer)
        self._log.write(
            "answer",
            number=answer.send.number,
            tries=answer.tries,
            entry=answer.entry,
            key=answer.send.key,
            request=answer.request,
            sent_at=answer.sent_at,
            outcome=answer.outcome,
            reason=(answer.value or {}).get("title", ""),
        )

    async def _send_once(
        self, send: evidence.Send, tries: int, entry: str
    ) -> evidence.Answer:
        sent_at = time.monotonic()
        streamed: list[str] = []
        timeout = send.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
        outcome, value = "none", None
        if send.disconnects_after:
            outcome, timeout = "left", send.disconnects_after
        try:
            async with curio.timeout_after(timeout):
                outcome, value = await self._exchange(send, entry, streamed)
        except errors.ConnectError:
            outcome = "unreached"
        except errors.AnswerLostError:
            outcome = "cut"
        except errors.ProtocolError:
            outcome = "malformed"
        except curio.TaskTimeout:
            pass
        return evidence.Answer(
            send,
            tries,
            entry,
            sent_at,
            time.monotonic(),
            outcome,
            value,
            streamed,
        )

    async def _exchange(
        self, send: evidence.Send, entry: str, streamed: list[str]
    ) -> tuple[str, dict | None]:
        url = self._deployment.entries[entry].process.url
        body = {
            "input": send.text,
            "deadline_ms": send.deadline_ms,
            "stream": send.kind == "streamed",
            "idempotent": not send.key,
        }
        async with web_client.connect(
            *web_client.split_address(url)
        ) as connection:
            answer = await connection.request(
                "POST",
                f"/v1/pipelines/{send.pipeline}/requests",
                json.dumps(body).encode(),
                _build_headers(send),
            )
            if answer.headers.get("content-type") == "text/event-stream":
                return await _read_stream(answer, streamed)
            value = web_client.read_json(await answer.read_body())
            return value.get("outcome", "malformed"), value


def _build_headers(send: evidence.Send) -> tuple[tuple[str, str], ...]:
    token = deployments.ACCOUNT_TOKENS[send.account]
    headers = [("Authorization", f"Bearer {token}")]
    if send.key:
        headers.append(("Idempotency-Key", send.key))
    return tuple(headers)


async def _read_stream(
    answer: web_client.Answer, streamed: list[str]
) -> tuple[str, dict | None]:
    """Returns a stream's outcome and value; adds its tokens to `streamed`."""
    events = _read_events(answer)
    async with contextlib.aclosing(events):
        async for name, value in events:
            if name != "chunk":
                return value.get("outcome", "malformed"), value
            if value["sequence"] != len(streamed):
                return "malformed", value
            streamed += value["tokens"]
    # The stream ended without a final event.
    return "cut", None


async def _read_events(
    answer: web_client.Answer,
) -> AsyncIterator[tuple[str, Any]]:
    name = ""
    lines = answer.read_lines()
    async with contextlib.aclosing(lines):
        async for line in lines:
            field, _, text = line.decode().partition(": ")
            if field == "event":
                name = text
            elif field == "data":
                yield name, json.loads(text)


async def query_outcome(url: str, account: str, key: str) -> Any:
    """Returns an entry's answer about a key; None if the status is 404."""
    token = deployments.ACCOUNT_TOKENS[account]
    headers = (("Authorization", f"Bearer {token}"),)
    status, value, _ = await web_client.call_json(
        url, "GET", f"/v1/requests/{key}", None, headers
    )
    return None if status == 404 else value
