"""Measures the overhead of the system compared with direct endpoint calls.

    python -m lab.overhead [--requests N] [--repeats N]

Runs one deployment on this machine with one caller. Requests through the
entry alternate with the same four calls made directly to the stand-ins. Both
reuse their connections. The overhead is the time that a caller waits minus
the working time that the endpoints report.

A second pair of deployments runs under cProfile, one with requests and the
other idle for the same time. The difference, by library, is the cost of the
requests for each process. Because profiling slows down the code, only the
shares are meaningful.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import pstats
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

import curio

from lab import deployments
from samphirevale.adapters import web_client

SIZES = deployments.Sizes(entries=1, engines=1, stages=1, services=1)

PATH = "/v1/pipelines/harvest-notice/requests"

# The number of tokens in every answer, so that all requests are equal work.
TOKENS = 32

# The number of requests before the measurement starts.
WARM_UP_REQUESTS = 10

# The endpoints of all stages of the pipeline but the last, in order.
STAGE_ENDPOINTS = ("encoder-0", "retriever-0", "reranker-0")

ENGINE = "engine-0"

# The groups of a profile's lines. A line belongs to the first group of which
# it contains a pattern.
GROUPS = (
    ("wait", ("'poll' of 'select",)),
    ("sockets", ("_socket.socket", "select.", "_socket")),
    ("h11", ("/h11/", "bytearray")),
    ("cbor", ("cbor2",)),
    ("websockets", ("/websockets/",)),
    ("curio", ("/curio/", "selectors.py", "'send' of 'coroutine'")),
    ("json", ("/json/", "_json")),
    ("prometheus", ("/prometheus_client/",)),
    ("samphirevale", ("/samphirevale/",)),
)


class Timing(NamedTuple):
    """The times of one request, in milliseconds.

    Attributes:
        wall_ms: the time that the caller waited.
        busy_ms: the working time that the endpoints report.
        stages_ms: the overhead of each stage; empty if unknown.
    """

    wall_ms: float
    busy_ms: float
    stages_ms: tuple[float, ...] = ()

    @property
    def overhead_ms(self) -> float:
        """The part of the caller's wait in which no endpoint worked."""
        return self.wall_ms - self.busy_ms


class Caller:
    """A caller that reuses its connections."""

    def __init__(self, deployment: deployments.Deployment):
        self._entry = deployment.entries["entry-0"].process.port
        self._ports = {
            name: endpoint.port
            for name, endpoint in deployment.endpoints.items()
        }
        self._connections: dict[int, web_client.ClientConnection] = {}
        self._number = 0

    async def close(self) -> None:
        """Closes its connections."""
        for connection in self._connections.values():
            await connection.close()

    async def _post(
        self, port: int, path: str, value: dict, *headers: tuple[str, str]
    ) -> bytes:
        if port not in self._connections:
            opened = await web_client.open_connection(deployments.HOST, port)
            self._connections[port] = opened
        connection = self._connections[port]
        body = json.dumps(value).encode()
        answer = await connection.request("POST", path, body, headers)
        data = await answer.read_body()
        if answer.status != 200 or not connection.is_reusable():
            raise RuntimeError(f"{path}: {answer.status} {data[:200]}")
        return data

    async def send(self, text: str) -> Timing:
        """Sends one request through the entry."""
        token = deployments.ACCOUNT_TOKENS["colheita"]
        bearer = ("Authorization", f"Bearer {token}")
        started_at = time.perf_counter()
        data = await self._post(self._entry, PATH, {"input": text}, bearer)
        wall_ms = (time.perf_counter() - started_at) * 1000
        uses = json.loads(data)["stages"]
        return Timing(
            wall_ms,
            sum(use["busy_ms"] for use in uses),
            tuple(use["seconds"] * 1000 - use["busy_ms"] for use in uses),
        )

    async def call_directly(self, text: str) -> Timing:
        """Makes the calls of one request directly to the stand-ins."""
        self._number += 1
        name = f"straight-{self._number}"
        fields = {"request": name, "attempt": name}
        busy_ms = 0.0
        prior = None
        started_at = time.perf_counter()
        for endpoint in STAGE_ENDPOINTS:
            value = {**fields, "input": text, "prior": prior}
            data = await self._post(self._ports[endpoint], "/run", value)
            answer = json.loads(data)
            prior = answer["result"]
            busy_ms += answer["busy_ms"]
        value = {**fields, "batch": deployments.FIRST_BATCH, "prompt": text}
        data = await self._post(self._ports[ENGINE], "/generate", value)
        busy_ms += json.loads(data.splitlines()[-1])["busy_ms"]
        wall_ms = (time.perf_counter() - started_at) * 1000
        return Timing(wall_ms, busy_ms)


@contextlib.asynccontextmanager
async def open_caller(
    deployment: deployments.Deployment,
) -> AsyncIterator[Caller]:
    """Yields a caller that has sent its warm-up requests."""
    caller = Caller(deployment)
    try:
        for number in range(WARM_UP_REQUESTS):
            await caller.send(f"warm-up {number}")
            await caller.call_directly(f"warm-up {number}")
        yield caller
    finally:
        await caller.close()


def plan_endpoints() -> list[deployments.EndpointPlan]:
    """Returns the endpoints' plans, with answers of a fixed length."""
    return [
        endpoint._replace(
            arguments=(*endpoint.arguments, "--tokens", str(TOKENS))
        )
        if endpoint.kind == "engine"
        else endpoint
        for endpoint in deployments.plan_endpoints(SIZES)
    ]


async def measure(
    deployment: deployments.Deployment, requests: int, repeats: int
) -> None:
    """Prints the times of each repeat and the overhead of each stage."""
    async with open_caller(deployment) as caller:
        print("repeat  ours ms  straight ms  ratio  overheads ms  ratio")
        rows = []
        for repeat in range(repeats):
            through_entry, direct = await measure_pairs(
                caller, requests, repeat
            )
            rows += through_entry
            print_repeat(repeat, through_entry, direct)
    print_stages(rows)


async def measure_pairs(
    caller: Caller, requests: int, repeat: int
) -> tuple[list[Timing], list[Timing]]:
    """Returns the timings of requests that alternate with direct calls."""
    through_entry, direct = [], []
    for number in range(requests):
        text = f"Harvest notice {repeat}-{number}"
        through_entry.append(await caller.send(text))
        direct.append(await caller.call_directly(text))
    return through_entry, direct


def print_repeat(
    repeat: int, through_entry: list[Timing], direct: list[Timing]
) -> None:
    """Prints the medians of one repeat with their ratios."""
    walls = [read_median(rows, "wall_ms") for rows in (through_entry, direct)]
    overheads = [
        read_median(rows, "overhead_ms") for rows in (through_entry, direct)
    ]
    print(
        f"{repeat:6}  {walls[0]:7.1f}  {walls[1]:11.1f}"
        f"  {walls[0] / walls[1]:5.3f}"
        f"  {overheads[0]:5.2f} / {overheads[1]:4.2f}"
        f"  {overheads[0] / overheads[1]:5.2f}"
    )


def read_median(rows: list[Timing], name: str) -> float:
    """Returns the median of an attribute of the timings."""
    return statistics.median(getattr(row, name) for row in rows)


def print_stages(rows: list[Timing]) -> None:
    """Prints the overhead of each stage and of the rest, with shares."""
    total = read_median(rows, "overhead_ms")
    names = (*STAGE_ENDPOINTS, ENGINE)
    shares = {
        name: statistics.median(row.stages_ms[number] for row in rows)
        for number, name in enumerate(names)
    }
    shares["caller and entry"] = statistics.median(
        row.overhead_ms - sum(row.stages_ms) for row in rows
    )
    print("\nmedian overhead by part")
    for name, milliseconds in shares.items():
        print(
            f"  {name:<18} {milliseconds:6.2f} ms {milliseconds / total:5.0%}"
        )


async def send_all(
    deployment: deployments.Deployment, requests: int, seconds: float
) -> float:
    """Sends requests, then idles; returns the total time in seconds."""
    started_at = time.monotonic()
    async with open_caller(deployment) as caller:
        for number in range(requests):
            await caller.send(f"Profiled notice {number}")
        await curio.sleep(seconds)
    return time.monotonic() - started_at


def profile(requests: int, seconds: float) -> tuple[dict, float]:
    """Runs requests, then idles, in a profiled deployment.

    Returns:
        The processor time by process and group, and the duration, both in
        seconds.
    """
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        with deployments.open_deployment(
            SIZES, plans=plan_endpoints(), profiles=directory
        ) as deployment:
            duration = curio.run(send_all, deployment, requests, seconds)
            deployment.group.stop_all()
        return {
            part: group_profile(directory / f"{part}.profile")
            for part in ("entry-0", "sidecar-encoder-0", "sidecar-engine-0")
        }, duration


def group_profile(path: pathlib.Path) -> collections.Counter[str]:
    """Returns the processor time in a profile by group, in seconds.

    Omits lines without a group, which belong to the start of the process, and
    the time spent waiting.
    """
    seconds = collections.Counter()
    for (file, _, function), row in pstats.Stats(str(path)).stats.items():
        text = f"{file} {function}"
        group = next(
            (
                name
                for name, patterns in GROUPS
                if any(pattern in text for pattern in patterns)
            ),
            "",
        )
        seconds[group] += row[2]
    del seconds["wait"], seconds[""]
    return seconds


def print_profile(requests: int) -> None:
    """Prints the processor time per request of each process, by library."""
    busy, duration = profile(requests, 0.0)
    idle, _ = profile(0, duration)
    print(f"\nprocessor time under cProfile, {requests} requests less idle")
    for part, seconds in busy.items():
        seconds.subtract(idle[part])
        total = sum(seconds.values())
        shares = ", ".join(
            f"{group} {used / total:.0%}"
            for group, used in seconds.most_common()
            if used / total >= 0.01
        )
        print(f"  {part:<18} {total / requests * 1000:5.2f} ms: {shares}")


def main() -> int:
    """Runs the command and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=40)
    parser.add_argument("--repeats", type=int, default=5)
    arguments = parser.parse_args()
    with deployments.open_deployment(
        SIZES, plans=plan_endpoints()
    ) as deployment:
        curio.run(measure, deployment, arguments.requests, arguments.repeats)
    print_profile(arguments.requests * arguments.repeats)
    return 0


if __name__ == "__main__":
    sys.exit(main())
