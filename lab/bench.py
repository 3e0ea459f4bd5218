"""A bench that surrounds a real entry or sidecar with fake peers."""

import contextlib
import hashlib
import os
import secrets
from collections.abc import AsyncIterator
from typing import Any

import curio

from lab import fake_peers, processes, usage
from samphirevale import configuration
from samphirevale.adapters import web_client

HOST = fake_peers.HOST

# The interval at which a starting process is polled, in seconds.
POLL_SECONDS = 0.02

# The time in which an entry finds and connects to its sidecars, in seconds.
JOIN_SECONDS = 2.5

# The model that the fake engines have loaded.
MODEL = "assistant"

# The pools with the kinds of their endpoints. The first pool serves all
# stages without a model, and each other pool serves one stage.
POOLS = {"stages": "stage", "engines": "engine", "services": "service"}

# The limit of concurrent attempts, too high to be reached.
LIMIT = 100_000


def build_stage(name: str, pool: str) -> configuration.StageConfiguration:
    """Returns the configuration of a stage that a pool runs."""
    kind = POOLS[pool]
    return configuration.StageConfiguration(
        name=name,
        pool=pool,
        kind=kind,
        repeatable=kind != "service",
        model=MODEL if kind == "engine" else "",
        limit=LIMIT,
        expected_ms=5.0,
    )


def build_token(account: str) -> str:
    """Returns the token of an account."""
    return f"token-of-{account}"


def build_configuration(
    revision: int,
    accounts: int = 1,
    pipelines: int = 1,
    batches: int = 1,
) -> configuration.ConfigurationValue:
    """Returns a configuration with the measured pipelines.

    These are `stages-1` to `stages-6`, `engine` and `service`.

    Args:
        revision: the revision.
        accounts: the number of accounts, named `account-0` and so on.
        pipelines: the number of further pipelines, which are not measured.
        batches: the number of batches; fake engines have loaded the first.
    """
    stages = [build_stage(f"stage-{n}", "stages") for n in range(6)]
    measured = {f"stages-{n}": stages[:n] for n in range(1, 7)}
    measured["engine"] = [build_stage("generation", "engines")]
    measured["service"] = [build_stage("booking", "services")]
    others = {f"pipeline-{n}": stages for n in range(pipelines)}
    return configuration.ConfigurationValue(
        revision=revision,
        pipelines={
            name: configuration.PipelineConfiguration(
                stages=list(used), deadline_ms=60_000, stopped=False
            )
            for name, used in (measured | others).items()
        },
        accounts=dict(map(_build_account, range(accounts))),
        batches=dict(map(_build_batch, range(batches))),
        draining=[],
        orders=[],
    )


def _build_account(
    number: int,
) -> tuple[str, configuration.AccountConfiguration]:
    name = f"account-{number}"
    digest = hashlib.sha256(build_token(name).encode()).hexdigest()
    return name, configuration.AccountConfiguration(
        token_digest=digest, share=1.0
    )


def _build_batch(number: int) -> tuple[str, configuration.BatchConfiguration]:
    name = f"b{number + 1}"
    return name, configuration.BatchConfiguration(
        model=MODEL if number == 0 else f"model-{number}",
        version=str(number),
        adapter="",
        pool="engines" if number == 0 else "others",
        state="serving",
        order=1,
    )


class Bench:
    """A platform with real processes and fake peers.

    Attributes:
        platform: the stand-in of the platform.
        secret: the secret shared by the processes.
    """

    def __init__(self, group: processes.Group):
        self.secret = secrets.token_hex(16)
        self.platform: processes.Process | None = None
        self._group = group
        self._version: int | None = None
        self._tasks: list[curio.Task] = []
        self._environment = {
            **os.environ,
            "SAMPHIREVALE_PEER_SECRET": self.secret,
            "SAMPHIREVALE_OPERATOR_TOKEN": secrets.token_hex(16),
        }

    async def start_platform(self) -> None:
        """Starts the platform stand-in; its list of instances has no delay."""
        self.platform = self._group.start_standin(
            "platform", "platform", "--list-lag-seconds", "0", wait=False
        )
        await wait_until_ready(self.platform)

    async def start_entry(self, name: str, *more: str) -> processes.Process:
        """Starts an entry with extra flags and waits until it is ready."""
        port = processes.choose_port()
        flags = (
            *("--caller-port", str(port)),
            *("--connections-limit", "5000"),
            *more,
        )
        return await self._start_node("entry", name, port, flags)

    async def start_joined_entry(
        self, fakes: list[fake_peers.FakeSidecar], name: str
    ) -> processes.Process:
        """Starts an entry and waits until it has connected to the sidecars."""
        await self.list_sidecars(fakes)
        entry = await self.start_entry(name)
        await curio.sleep(JOIN_SECONDS)
        return entry

    async def start_sidecar(
        self, name: str, pool: str, endpoint_url: str
    ) -> processes.Process:
        """Starts a sidecar; the `port` of the process accepts entries."""
        port = processes.choose_port()
        flags = (
            *("--peer-port", str(port)),
            *("--endpoint", name),
            *("--endpoint-url", endpoint_url),
            *("--endpoint-kind", POOLS[pool]),
            *("--pool", pool),
            *("--concurrency-limit", "1000", "--queue-limit", "1000"),
        )
        return await self._start_node("sidecar", name, port, flags)

    async def _start_node(
        self, role: str, name: str, port: int, flags: tuple[str, ...]
    ) -> processes.Process:
        process = self._group.start(
            name,
            "samphirevale.daemon",
            role,
            *("--instance", name, "--data-centre", "dc1", "--host", HOST),
            *("--admin-port", str(processes.choose_port())),
            *("--store-url", self.platform.url),
            *flags,
            port=port,
            environment=self._environment,
            wait=False,
        )
        await wait_until_ready(process)
        return process

    async def start_fake_sidecars(
        self,
        count: int,
        pool: str,
        traffic: dict[str, fake_peers.Traffic],
        heartbeat_seconds: float = fake_peers.HEARTBEAT_SECONDS,
        cached: int = 0,
    ) -> list[fake_peers.FakeSidecar]:
        """Starts fake sidecars without adding them to the platform's list.

        Args:
            count: the number of sidecars.
            pool: the pool of their endpoints.
            traffic: the counters of the connections, by the entry's instance.
            heartbeat_seconds: the interval between heartbeats.
            cached: the number of prompt prefixes that each endpoint has
                cached.
        """
        fakes = []
        for number in range(count):
            fake = fake_peers.FakeSidecar(
                f"{pool}-{number}",
                pool,
                processes.choose_port(),
                self.secret,
                traffic,
                heartbeat_seconds,
                cached,
            )
            await self.spawn(fake.serve)
            fakes.append(fake)
        return fakes

    async def start_fake_endpoint(self, cached: int) -> fake_peers.FakeEndpoint:
        """Starts a fake engine or stage with `cached` cached prefixes."""
        fake = fake_peers.FakeEndpoint(processes.choose_port(), cached)
        await self.spawn(fake.serve)
        return fake

    async def spawn(self, function: Any, *args: Any) -> None:
        """Runs a task until the bench is closed."""
        task = await curio.spawn(function, *args, daemon=True)
        self._tasks.append(task)

    async def close(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            await task.cancel(blocking=False)

    async def list_sidecars(self, fakes: list[fake_peers.FakeSidecar]) -> None:
        """Replaces the platform's list of instances by the given sidecars."""
        instances = [
            {
                "name": fake.name,
                "host": HOST,
                "peer_port": fake.port,
                "state": "live",
            }
            for fake in fakes
        ]
        await self.call("POST", "/instances", {"instances": instances})

    async def put_configuration(self, value: Any) -> None:
        """Writes the configuration to the store."""
        if self._version is None:
            condition = ("If-None-Match", "*")
        else:
            condition = ("If-Match", str(self._version))
        path = f"/objects/{configuration.OBJECT_KIND}"
        stored = await self.call(
            "PUT", f"{path}/{configuration.OBJECT_NAME}", value, (condition,)
        )
        self._version = stored["version"]

    async def read_counts(self) -> dict[str, int]:
        """Returns the number of calls to the platform, by kind."""
        return await self.call("GET", "/counts")

    async def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Calls the platform and returns the answer's value.

        Raises:
            processes.ProcessError: the status is not 2xx.
        """
        status, answer, _ = await web_client.call_json(
            self.platform.url, method, path, value, headers
        )
        if not 200 <= status < 300:
            raise processes.ProcessError(f"{method} {path}: {status} {answer}")
        return answer


@contextlib.asynccontextmanager
async def open_bench(**sizes: int) -> AsyncIterator[Bench]:
    """Yields a bench whose store contains a configuration.

    Args:
        **sizes: the arguments of `build_configuration`.
    """
    with processes.open_group() as group:
        bench = Bench(group)
        try:
            await bench.start_platform()
            await bench.put_configuration(build_configuration(1, **sizes))
            yield bench
        finally:
            await bench.close()


async def wait_until_ready(process: processes.Process) -> None:
    """Waits until a process is ready without blocking the fakes.

    Raises:
        processes.ProcessError: the process exited, or the timeout expired.
    """
    async with curio.ignore_after(processes.START_SECONDS):
        while processes.READY not in process.read_log().splitlines():
            if process.exit_status is not None:
                break
            await curio.sleep(POLL_SECONDS)
    process.wait_until_ready(0.0)


class Reading:
    """Measures the processor time that a process uses from now on."""

    def __init__(self, process: processes.Process):
        self._pid = process.pid
        self._cpu_seconds = usage.read_cpu_seconds(self._pid)

    def read_cpu_ms(self) -> float:
        """Returns the processor time used since the creation, in ms."""
        used = usage.read_cpu_seconds(self._pid) - self._cpu_seconds
        return 1000 * used
