"""Runs small deployments of the users' pipelines as local processes."""

import contextlib
import hashlib
import os
import pathlib
import secrets
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import curio

from lab import processes
from samphirevale import configuration, errors
from samphirevale.adapters import web_client

HOST = "127.0.0.1"

# The time limit for every entry to connect to every sidecar, in seconds.
JOIN_SECONDS = 20.0

# The deadline of the pipelines, in milliseconds.
DEADLINE_MS = 5000

# The model and the batch that engines serve from the start.
MODEL = "assistant"
FIRST_BATCH = "b1"

# The tokens of the accounts, for use with the stand-ins only.
ACCOUNT_TOKENS = {"colheita": "colheita-token", "hoppyard": "hoppyard-token"}

# The assistant's stages: name, pool, kind and expected time in milliseconds.
ASSISTANT_STAGES = (
    ("encoding", "encoders", "stage", 20.0),
    ("retrieval", "retrievers", "stage", 20.0),
    ("reranking", "rerankers", "stage", 20.0),
    ("generation", "engines", "engine", 200.0),
)

# The pools of services whose calls must not be repeated, by the pipeline
# that ends with such a call.
SERVICE_BY_PIPELINE = {"slot-confirmation": "booking", "filing": "filing"}

# The pipelines that end with the generated text.
DRAFT_PIPELINES = ("harvest-notice", "removal-record")


# A function that returns the port to publish for a sidecar in the platform's
# list, given its endpoint's name and its own port.
Relay = Callable[[str, int], int]


class EndpointPlan(NamedTuple):
    """An endpoint to start, together with its sidecar.

    Attributes:
        name: the endpoint's name.
        pool: the endpoint's pool.
        kind: `engine`, `stage` or `service`.
        arguments: the stand-in's command-line arguments.
        sidecar_flags: extra flags of the sidecar.
    """

    name: str
    pool: str
    kind: str
    arguments: tuple[str, ...] = ()
    sidecar_flags: tuple[str, ...] = ()


class Node(NamedTuple):
    """An entry or a sidecar, with the command that restarts it."""

    process: processes.Process
    module: str
    arguments: tuple[str, ...]
    admin_url: str


class Sizes(NamedTuple):
    """The number of processes of each kind in a deployment.

    Attributes:
        entries: the number of entries.
        engines: the number of assistant engines.
        stages: the number of endpoints of each other assistant stage.
        services: the number of endpoints of each service.
    """

    entries: int = 2
    engines: int = 2
    stages: int = 2
    services: int = 2


def build_stage(
    name: str, pool: str, kind: str, expected_ms: float
) -> configuration.StageConfiguration:
    """Returns the configuration of one stage."""
    return configuration.StageConfiguration(
        name=name,
        pool=pool,
        kind=kind,
        repeatable=kind != "service",
        model=MODEL if kind == "engine" else "",
        limit=64,
        expected_ms=expected_ms,
    )


def build_configuration() -> configuration.ConfigurationValue:
    """Returns the configuration of both users' pipelines."""
    assistant = [build_stage(*stage) for stage in ASSISTANT_STAGES]
    pipelines = dict.fromkeys(DRAFT_PIPELINES, assistant)
    for name, pool in SERVICE_BY_PIPELINE.items():
        pipelines[name] = [*assistant, build_stage(pool, pool, "service", 40.0)]
    return configuration.ConfigurationValue(
        revision=1,
        pipelines={
            name: configuration.PipelineConfiguration(
                stages=stages, deadline_ms=DEADLINE_MS, stopped=False
            )
            for name, stages in pipelines.items()
        },
        accounts={
            name: configuration.AccountConfiguration(
                token_digest=hashlib.sha256(token.encode()).hexdigest(),
                share=1.0,
            )
            for name, token in ACCOUNT_TOKENS.items()
        },
        batches={
            FIRST_BATCH: configuration.BatchConfiguration(
                model=MODEL,
                version="1",
                adapter="",
                pool="engines",
                state="serving",
                order=1,
            )
        },
        draining=[],
        orders=[],
    )


def plan_endpoints(sizes: Sizes) -> list[EndpointPlan]:
    """Returns the endpoints of both users' pipelines."""
    plans = []
    kinds = {"encoders": "encoder", "retrievers": "retriever"}
    kinds["rerankers"] = "reranker"
    for pool, kind in kinds.items():
        for number in range(sizes.stages):
            plans.append(
                EndpointPlan(
                    f"{kind}-{number}", pool, "stage", ("--kind", kind)
                )
            )
    for number in range(sizes.engines):
        plans.append(
            EndpointPlan(
                f"engine-{number}",
                "engines",
                "engine",
                ("--batches", f"{FIRST_BATCH}={MODEL}/1"),
            )
        )
    for pool in SERVICE_BY_PIPELINE.values():
        for number in range(sizes.services):
            plans.append(
                EndpointPlan(
                    f"{pool}-{number}", pool, "service", ("--name", pool)
                )
            )
    return plans


class Deployment:
    """A running deployment.

    Attributes:
        platform: the stand-in of the platform.
        endpoints: the stand-ins of the endpoints, by name.
        sidecars: the sidecars, by the name of their endpoint.
        entries: the entries, by instance name.
        listed_ports: the port of each sidecar in the platform's list, by the
            name of its endpoint.
        plans: the plans of the endpoints, by name.
    """

    def __init__(
        self,
        group: processes.Group,
        environment: dict[str, str],
        relay: Relay | None = None,
    ):
        self.group = group
        self.environment = environment
        self.platform: processes.Process | None = None
        self.endpoints: dict[str, processes.Process] = {}
        self.sidecars: dict[str, Node] = {}
        self.entries: dict[str, Node] = {}
        # The directory to which entries and sidecars write profiles when they
        # exit; None for no profiles.
        self.profiles: pathlib.Path | None = None
        self.operator_token = environment["SAMPHIREVALE_OPERATOR_TOKEN"]
        self.peer_secret = environment["SAMPHIREVALE_PEER_SECRET"]
        self.plans: dict[str, EndpointPlan] = {}
        self.listed_ports: dict[str, int] = {}
        self._relay = relay

    def start_platform(self, *arguments: str) -> None:
        """Starts the stand-in of the platform."""
        self.platform = self.group.start_standin(
            "platform", "platform", *arguments
        )

    def start_endpoint(self, plan: EndpointPlan) -> None:
        """Starts an endpoint without waiting until it is ready."""
        self.plans[plan.name] = plan
        self._run_endpoint(plan, processes.choose_port())

    def restart_endpoint(self, name: str) -> None:
        """Restarts an endpoint that has exited, on the same port."""
        self._run_endpoint(self.plans[name], self.endpoints[name].port)

    def _run_endpoint(self, plan: EndpointPlan, port: int) -> None:
        arguments = ("--port", str(port), *plan.arguments)
        if plan.kind == "engine":
            arguments = ("--weights-url", self.platform.url, *arguments)
        self.endpoints[plan.name] = self.group.start(
            plan.name,
            f"standins.{plan.kind}",
            *arguments,
            port=port,
            wait=False,
        )

    def start_sidecar(self, name: str, number: int) -> None:
        """Starts the sidecar of an endpoint."""
        plan = self.plans[name]
        admin_port = processes.choose_port()
        peer_port = processes.choose_port()
        self.listed_ports[name] = peer_port
        if self._relay is not None:
            self.listed_ports[name] = self._relay(name, peer_port)
        arguments = (
            "sidecar",
            *self._build_common_flags(f"sidecar-{name}", number, admin_port),
            *("--peer-port", str(peer_port)),
            *("--endpoint", name),
            *("--endpoint-url", self.endpoints[name].url),
            *("--endpoint-kind", plan.kind),
            *("--pool", plan.pool),
            *plan.sidecar_flags,
        )
        self.sidecars[name] = self._start_node(
            f"sidecar-{name}", arguments, admin_port, peer_port
        )

    def start_entry(self, name: str, number: int, *flags: str) -> None:
        """Starts an entry."""
        admin_port = processes.choose_port()
        caller_port = processes.choose_port()
        arguments = (
            "entry",
            *self._build_common_flags(name, number, admin_port),
            *("--caller-port", str(caller_port)),
            *("--list-seconds", "0.5"),
            *flags,
        )
        self.entries[name] = self._start_node(
            name, arguments, admin_port, caller_port
        )

    def restart_node(self, node: Node) -> Node:
        """Restarts an entry or a sidecar with the same settings."""
        process = self.group.start(
            node.process.name,
            node.module,
            *node.arguments,
            port=node.process.port,
            environment=self.environment,
            wait=False,
        )
        restarted = node._replace(process=process)
        for table in (self.sidecars, self.entries):
            for name, current in table.items():
                if current is node:
                    table[name] = restarted
        return restarted

    def _build_common_flags(
        self, instance: str, number: int, admin_port: int
    ) -> tuple[str, ...]:
        return (
            *("--instance", instance),
            *("--data-centre", f"dc{number % 2 + 1}"),
            *("--host", HOST),
            *("--admin-port", str(admin_port)),
            *("--store-url", self.platform.url),
            *("--fatal-invariants", "true"),
        )

    def _start_node(
        self, name: str, arguments: tuple[str, ...], admin_port: int, port: int
    ) -> Node:
        command = ["samphirevale.daemon", *arguments]
        if self.profiles is not None:
            output = str(self.profiles / f"{name}.profile")
            command = ["cProfile", "-o", output, "-m", *command]
        process = self.group.start(
            name,
            *command,
            port=port,
            environment=self.environment,
            wait=False,
        )
        return Node(
            process,
            "samphirevale.daemon",
            arguments,
            f"http://{HOST}:{admin_port}",
        )

    def wait_until_ready(self) -> None:
        """Waits until every process is ready."""
        for process in self.group.processes:
            process.wait_until_ready()

    def stop(self) -> dict[str, int]:
        """Stops all processes gracefully: entries, sidecars, then the rest.

        Returns:
            The exit status of each process, by name.
        """
        entries = [node.process for node in self.entries.values()]
        sidecars = [node.process for node in self.sidecars.values()]
        nodes = [*entries, *sidecars]
        others = [item for item in self.group.processes if item not in nodes]
        statuses = {}
        for group in (entries, sidecars, others):
            for process in group:
                process.resume()
                process.stop()
            statuses |= {process.name: process.wait() for process in group}
        return statuses

    def list_sidecars(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publishes the sidecars in the platform's list."""
        instances = self.build_list(leaving)
        call(self.platform.url, "POST", "/instances", {"instances": instances})

    def build_list(
        self,
        leaving: frozenset[str] = frozenset(),
        absent: frozenset[str] = frozenset(),
    ) -> list[dict]:
        """Returns the instances to list, without the absent ones."""
        return [
            {
                "name": f"sidecar-{name}",
                "host": HOST,
                "peer_port": self.listed_ports[name],
                "state": "leaving" if name in leaving else "live",
            }
            for name in self.sidecars
            if name not in absent
        ]

    def get_peer_port(self, name: str) -> int:
        """Returns the port on which an endpoint's sidecar accepts entries."""
        return self.sidecars[name].process.port

    def read_dump(self, node: Node) -> dict:
        """Returns the state dump of an entry or a sidecar."""
        secret = self.operator_token
        if node.arguments[0] == "sidecar":
            secret = self.peer_secret
        headers = (("Authorization", f"Bearer {secret}"),)
        return call(node.admin_url, "GET", "/dump", headers=headers)


def call(
    url: str,
    method: str,
    path: str,
    value: Any = None,
    headers: tuple[tuple[str, str], ...] = (),
) -> Any:
    """Makes an HTTP call with JSON and returns the answer's value.

    Raises:
        processes.ProcessError: no answer, or a status other than 2xx.
    """
    try:
        status, answer, _ = curio.run(
            web_client.call_json, url, method, path, value, headers
        )
    except errors.TransportError as error:
        raise processes.ProcessError(f"{method} {path}: {error}") from error
    if not 200 <= status < 300:
        raise processes.ProcessError(f"{method} {path}: {status} {answer}")
    return answer


@contextlib.contextmanager
def open_deployment(
    sizes: Sizes = Sizes(),  # noqa: B008 - it is immutable
    directory: pathlib.Path | None = None,
    platform_arguments: tuple[str, ...] = (),
    plans: list[EndpointPlan] | None = None,
    entry_flags: tuple[str, ...] = (),
    relay: Relay | None = None,
    configured_peers: int = 0,
    profiles: pathlib.Path | None = None,
) -> Iterator[Deployment]:
    """Yields a running deployment and kills remaining processes at the end.

    Args:
        sizes: the numbers of processes.
        directory: the directory for logs; a temporary one if None.
        platform_arguments: the command-line arguments of the platform.
        plans: the endpoints; those for `sizes` if None.
        entry_flags: extra flags of each entry.
        relay: returns the port to publish for a sidecar; None for its own
            port.
        configured_peers: the number of sidecars whose addresses are in the
            entries' settings, so that entries can start while the platform
            is down.
        profiles: the directory for profiles of entries and sidecars; None for
            no profiles.
    """
    environment = dict(os.environ)
    environment["SAMPHIREVALE_PEER_SECRET"] = secrets.token_hex(16)
    environment["SAMPHIREVALE_OPERATOR_TOKEN"] = secrets.token_hex(16)
    with processes.open_group(directory) as group:
        deployment = Deployment(group, environment, relay)
        deployment.profiles = profiles
        deployment.start_platform(*platform_arguments)
        call(
            deployment.platform.url,
            "PUT",
            f"/objects/{configuration.OBJECT_KIND}/{configuration.OBJECT_NAME}",
            build_configuration(),
            (("If-None-Match", "*"),),
        )
        plans = plans or plan_endpoints(sizes)
        for plan in plans:
            deployment.start_endpoint(plan)
        deployment.wait_until_ready()
        for number, plan in enumerate(plans):
            deployment.start_sidecar(plan.name, number)
        ports = list(deployment.listed_ports.values())[:configured_peers]
        if ports:
            addresses = ",".join(f"{HOST}:{port}" for port in ports)
            entry_flags = (*entry_flags, "--peers", addresses)
        for number in range(sizes.entries):
            deployment.start_entry(f"entry-{number}", number, *entry_flags)
        deployment.list_sidecars()
        deployment.wait_until_ready()
        wait_until_joined(deployment)
        yield deployment


def wait_until_joined(deployment: Deployment) -> None:
    """Waits until every entry can send work to every sidecar.

    Raises:
        processes.ProcessError: the time limit was exceeded.
    """
    expected = set(deployment.endpoints)
    give_up_at = time.monotonic() + JOIN_SECONDS
    missing = dict.fromkeys(deployment.entries, expected)
    while missing:
        if time.monotonic() > give_up_at:
            raise processes.ProcessError(f"entries lack endpoints: {missing}")
        time.sleep(0.05)
        missing = {
            name: absent
            for name, node in deployment.entries.items()
            if (absent := expected - _list_ready(deployment, node))
        }


def _list_ready(deployment: Deployment, node: Node) -> set[str]:
    """Returns the endpoints to which an entry can send new work.

    An engine is included once it has loaded a batch, because it runs nothing
    before that.
    """
    peers = deployment.read_dump(node)["peers"]
    return {
        peer["endpoint"]
        for peer in peers
        if peer["ready"] and (peer["pool"] != "engines" or peer["batches"])
    }
