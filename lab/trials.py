"""Runs a deployment under faults, and records what happens to it."""

import pathlib
import random
import time
from typing import Any

import curio

from lab import deployments, evidence, processes, relays
from samphirevale import configuration, errors
from samphirevale.adapters import web_client

# The interval at which the state of processes is polled, in seconds.
CHECK_SECONDS = 0.02

# The interval at which all nodes' revisions are sampled, in seconds.
SAMPLE_SECONDS = 0.4

# The timeout of reading a node's dump, in seconds.
DUMP_SECONDS = 1.0

# The pause before a crashed process is restarted, in seconds.
CRASH_PAUSE_SECONDS = 0.5

# The time limit for entries to reconnect to a replaced process, in seconds.
REJOIN_SECONDS = 10.0

# The timeout of an order, in seconds, and the maximum number of times that an
# order is submitted while its outcome is unknown.
ORDER_SECONDS = 12.0
ORDER_ATTEMPTS = 4

# How many times an order is submitted until it has run, and the pause between
# two submissions, in seconds.
ORDER_RETRIES = 15
ORDER_RETRY_SECONDS = 1.0

# The statements of the operators' language, by verb.
ORDER_TEXTS = {
    "drain": "drain {endpoint}",
    "resume": "resume {endpoint}",
    "recall": "recall {batch}",
    "roll_out": "roll out {model} {version} as {batch} to {pool}",
    "stop": "stop pipeline {pipeline}",
    "start": "start pipeline {pipeline}",
}

# The bounds of the silence of an endpoint that works and goes on, and the
# pause before the next ones, in seconds.
SILENCE_SECONDS = (0.4, 1.5)
SILENCE_PAUSE_SECONDS = 0.2

# The number of pools that have a silent endpoint at the same time.
SILENT_POOLS = 3

# An endpoint counts as used if it has run something within this time, in
# seconds.
USED_SECONDS = 1.0

# The number of characters kept from the end of the log of a process that
# exited unexpectedly.
DETAIL_CHARACTERS = 3000


class Trial:
    """A deployment that faults act on, and the record of its run.

    Attributes:
        deployment: the processes of the deployment.
        directory: the directory of journals and logs.
        relays: the relays between entries and sidecars, by endpoint.
        log: the event log of the run.
        reserved: the names of the processes on which a fault currently acts.
        spans: the intervals in which processes were down, frozen or
            stopping, all nodes were replaced gracefully, or endpoints were
            briefly silent.
        exits: the exits of processes other than endpoints.
        orders: the answers that operators got.
        samples: the sampled revisions of the nodes.
        crashes: the number of endpoints that exited unexpectedly.
        fatal_texts: the input that crashes a pool's endpoints, by pool.
        slowest_reconnect: the longest time that entries took to reconnect to
            processes that had been replaced gracefully, in seconds.
        unreachable: pairs of an entry and an endpoint to which the entry did
            not reconnect.
        pools: the pool of each endpoint, by name.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        relays_by_name: dict[str, relays.Relay],
        log: evidence.EventLog,
        fatal_texts: dict[str, str],
    ):
        self.deployment = deployment
        self.directory = deployment.group.directory
        self.relays = relays_by_name
        self.log = log
        self.reserved: set[str] = set()
        self.spans: list[evidence.Span] = []
        self.exits: list[evidence.Exit] = []
        self.orders: list[evidence.OrderAnswer] = []
        self.samples: list[evidence.Sample] = []
        self.crashes = 0
        self.slowest_reconnect = 0.0
        self.unreachable: list[tuple[str, str]] = []
        self.fatal_texts = fatal_texts
        self.pools = {
            name: plan.pool for name, plan in deployment.plans.items()
        }
        self._expected: dict[int, str] = {}
        self._seen_exits: set[int] = set()

    def find_node(self, name: str) -> deployments.Node:
        """Returns an entry or a sidecar by its process name."""
        if name in self.deployment.entries:
            return self.deployment.entries[name]
        return self.deployment.sidecars[name.removeprefix("sidecar-")]

    def find_process(self, name: str) -> processes.Process:
        """Returns a process by its name."""
        if name in self.deployment.endpoints:
            return self.deployment.endpoints[name]
        return self.find_node(name).process

    def list_nodes(self) -> dict[str, deployments.Node]:
        """Returns all entries and sidecars by their process names."""
        nodes = dict(self.deployment.entries)
        for name, node in self.deployment.sidecars.items():
            nodes[f"sidecar-{name}"] = node
        return nodes

    def is_used(self, endpoint: str) -> bool:
        """Returns whether an endpoint has recently run something."""
        path = build_journal_path(self.directory, endpoint)
        return time.time() - path.stat().st_mtime < USED_SECONDS

    def expect_end(self, process: processes.Process, how: str) -> None:
        """Records that a process will be `killed` or `stopped`."""
        self._expected[process.pid] = how

    def begin_span(self, kind: str, target: str) -> int:
        """Begins a span and returns its number for `end_span`."""
        span = evidence.Span(kind, target, time.monotonic(), float("inf"))
        self.spans.append(span)
        self.log.write("span_began", kind=kind, target=target)
        return len(self.spans) - 1

    def end_span(self, number: int) -> None:
        """Ends a span."""
        span = self.spans[number]._replace(ended=time.monotonic())
        self.spans[number] = span
        self.log.write("span_ended", kind=span.kind, target=span.target)

    async def wait_ended(self, process: processes.Process) -> int:
        """Waits until a process exits and returns its exit status."""
        while process.exit_status is None:
            await curio.sleep(CHECK_SECONDS)
        return process.exit_status

    async def wait_ready(self, process: processes.Process) -> bool:
        """Waits until a process is ready; returns whether it is."""
        give_up_at = time.monotonic() + processes.START_SECONDS
        while processes.READY not in process.read_log().splitlines():
            gone = process.exit_status is not None
            if gone or time.monotonic() > give_up_at:
                return False
            await curio.sleep(CHECK_SECONDS)
        return True

    async def restart(self, name: str) -> bool:
        """Restarts a process that has exited; returns whether it is ready."""
        if name not in self.deployment.endpoints:
            node = self.deployment.restart_node(self.find_node(name))
            return await self.wait_ready(node.process)
        self.deployment.restart_endpoint(name)
        process = self.deployment.endpoints[name]
        ready = await self.wait_ready(process)
        if ready:
            await self.set_crash_text(name)
        return ready

    async def freeze(self, name: str, seconds: float) -> bool:
        """Suspends a process (SIGSTOP) for a time, and resumes it.

        Returns:
            Whether it was suspended at the end of that time.
        """
        process = self.find_process(name)
        span = self.begin_span("frozen", name)
        process.freeze()
        try:
            await curio.sleep(seconds)
            status = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        finally:
            process.resume()
            self.end_span(span)
        return status.rpartition(")")[2].split()[0] == "T"

    async def silence_endpoints(
        self, rng: random.Random, seconds: float
    ) -> None:
        """Makes endpoints of different pools fall silent and go on.

        None is silent twice in a row, which could be one long silence.
        """
        ends_at = time.monotonic() + seconds
        silent: list[str] = []
        while time.monotonic() < ends_at:
            pools = rng.sample(sorted(set(self.pools.values())), SILENT_POOLS)
            silent = [
                rng.choice(
                    [
                        name
                        for name, own_pool in self.pools.items()
                        if own_pool == pool and name not in silent
                    ]
                )
                for pool in pools
            ]
            async with curio.TaskGroup() as group:
                for name in silent:
                    await group.spawn(
                        self.freeze, name, rng.uniform(*SILENCE_SECONDS)
                    )
            await curio.sleep(SILENCE_PAUSE_SECONDS)

    async def replace(self, name: str) -> None:
        """Stops an entry or a sidecar gracefully and restarts it."""
        process = self.find_process(name)
        stopping = self.begin_span("stopping", name)
        self.expect_end(process, "stopped")
        process.stop()
        await self.wait_ended(process)
        self.end_span(stopping)
        span = self.begin_span("down", name)
        await self.restart(name)
        self.end_span(span)

    async def replace_all(self) -> None:
        """Replaces all sidecars, one per pool at a time, then each entry."""
        rounds: dict[int, list[str]] = {}
        for pool in set(self.pools.values()):
            names = [
                name
                for name, own_pool in self.pools.items()
                if own_pool == pool
            ]
            for index, name in enumerate(names):
                rounds.setdefault(index, []).append(f"sidecar-{name}")
        await self._wait_rejoined()
        steps = [
            *rounds.values(),
            *([name] for name in self.deployment.entries),
        ]
        for names in steps:
            async with curio.TaskGroup() as group:
                for name in names:
                    await group.spawn(self.replace, name)
            await self._wait_rejoined()

    async def _wait_rejoined(self) -> None:
        """Waits until each entry can send work to each endpoint again.

        A rolling replacement of a fleet waits in the same way, using the
        output of `show endpoints`.
        """
        began = time.monotonic()
        while time.monotonic() < began + REJOIN_SECONDS:
            missing = await self._list_missing()
            if not missing:
                break
            await curio.sleep(SAMPLE_SECONDS / 4)
        else:
            self.log.write("not_rejoined", missing=missing)
            self.unreachable += missing
        seconds = time.monotonic() - began
        self.slowest_reconnect = max(self.slowest_reconnect, seconds)
        self.log.write("rejoined", seconds=seconds)

    async def _list_missing(self) -> list[tuple[str, str]]:
        """Returns each entry paired with each endpoint it cannot use."""
        missing = []
        for name, node in self.deployment.entries.items():
            peers = (await self.read_dump(node) or {}).get("peers", [])
            ready = {
                peer["endpoint"]
                for peer in peers
                if peer["ready"]
                and (peer["pool"] != "engines" or peer["batches"])
            }
            missing += [(name, other) for other in set(self.pools) - ready]
        return missing

    async def set_crash_text(self, name: str) -> None:
        """Sets the input that crashes an endpoint."""
        text = self.fatal_texts.get(self.pools[name])
        if text is not None:
            url = self.deployment.endpoints[name].url
            await self.set_faults(url, crash_on=text)

    async def set_faults(self, url: str, **values: Any) -> None:
        """Sets fault switches of a stand-in, if it is running."""
        try:
            await web_client.call_json(url, "POST", "/faults", values)
        except errors.TransportError as error:
            self.log.write("faults_not_set", url=url, error=str(error))

    async def watch_exits(self) -> None:
        """Records each process exit and restarts the process, forever."""
        while True:
            for process in list(self.deployment.group.processes):
                ended = process.exit_status is not None
                if ended and process.pid not in self._seen_exits:
                    self._seen_exits.add(process.pid)
                    await self._record_exit(process)
            await curio.sleep(CHECK_SECONDS)

    async def _record_exit(self, process: processes.Process) -> None:
        expected = self._expected.get(process.pid, "")
        name = process.name
        if name not in self.deployment.endpoints:
            detail = "" if expected else process.read_log()
            self.exits.append(
                evidence.Exit(
                    name,
                    process.exit_status,
                    expected,
                    time.monotonic(),
                    detail[-DETAIL_CHARACTERS:],
                )
            )
        self.log.write(
            "exit", name=name, status=process.exit_status, expected=expected
        )
        if expected or name == "platform":
            return
        if name in self.deployment.endpoints:
            self.crashes += 1
        await curio.spawn(self._restart_ended, name, daemon=True)

    async def _restart_ended(self, name: str) -> None:
        span = self.begin_span("down", name)
        await curio.sleep(CRASH_PAUSE_SECONDS)
        await self.restart(name)
        self.end_span(span)

    async def read_dump(self, node: deployments.Node) -> dict | None:
        """Returns a node's state dump, or None if the node does not answer."""
        secret = self.deployment.operator_token
        if node.arguments[0] == "sidecar":
            secret = self.deployment.peer_secret
        headers = (("Authorization", f"Bearer {secret}"),)
        try:
            status, value, _ = await web_client.call_json(
                node.admin_url, "GET", "/dump", None, headers, DUMP_SECONDS
            )
        except errors.TransportError:
            return None
        return value if status == 200 else None

    async def sample_revisions(self) -> None:
        """Samples the nodes' configuration revisions, forever."""
        while True:
            async with curio.TaskGroup() as group:
                for name, node in self.list_nodes().items():
                    await group.spawn(self._sample, name, node)
            await curio.sleep(SAMPLE_SECONDS)

    async def _sample(self, name: str, node: deployments.Node) -> None:
        asked_at = time.monotonic()
        value = await self.read_dump(node)
        if value is None:
            return
        revision = value.get("sidecar", value)["revision"]
        if revision:
            pid = value["process"]["pid"]
            sample = evidence.Sample(name, pid, asked_at, revision)
            self.samples.append(sample)

    async def order(
        self,
        order_id: str,
        verb: str,
        rival: str = "",
        first: int = 0,
        **arguments: str,
    ) -> evidence.OrderAnswer:
        """Submits an order as an operator would, and records the answer.

        An order whose outcome is unknown is submitted again with the same id
        through another entry.

        Args:
            order_id: the order's id.
            verb: a key of ORDER_TEXTS.
            rival: the id of a conflicting order that is submitted at the same
                time; empty for none.
            first: the index of the entry to which it is submitted first.
            **arguments: the values for the order's text.
        """
        text = ORDER_TEXTS[verb].format(**arguments)
        # A retried fault submits new orders, which need new ids.
        used = {answer.order_id for answer in self.orders}
        while order_id in used:
            order_id += "-again"
        sent_at = time.monotonic()
        outcome, revision = "not_run", 0
        for attempt in range(ORDER_ATTEMPTS):
            submitted = await self._submit(order_id, text, first + attempt)
            # After an attempt that may have run, a refused connection does
            # not prove that the order has not run.
            if submitted[0] != "unreached":
                outcome, revision = submitted
            if submitted[0] not in ("unknown", "unreached"):
                break
        answer = evidence.OrderAnswer(
            order_id,
            verb,
            arguments,
            outcome,
            revision,
            sent_at,
            time.monotonic(),
            rival,
        )
        self.orders.append(answer)
        self.log.write("order", **answer._asdict())
        return answer

    async def order_with_retries(
        self, order_id: str, verb: str, **arguments: str
    ) -> evidence.OrderAnswer:
        """Submits an order, again with a new id while it has not run."""
        for _ in range(ORDER_RETRIES):
            answer = await self.order(order_id, verb, **arguments)
            if answer.outcome != "not_run":
                break
            await curio.sleep(ORDER_RETRY_SECONDS)
        return answer

    async def _submit(
        self, order_id: str, text: str, entry_index: int
    ) -> tuple[str, int]:
        """Submits an order to one entry; returns its outcome and revision."""
        nodes = list(self.deployment.entries.values())
        node = nodes[entry_index % len(nodes)]
        token = self.deployment.operator_token
        headers = (("Authorization", f"Bearer {token}"),)
        body = {"text": text, "order_id": order_id}
        try:
            _, value, _ = await web_client.call_json(
                node.admin_url, "POST", "/query", body, headers, ORDER_SECONDS
            )
        except errors.ConnectError:
            return "unreached", 0
        except errors.TransportError:
            return "unknown", 0
        if "order" not in (value or {}):
            # The statement is wrong, the entry is stopping, or the store
            # failed.
            self.log.write("order_problem", order_id=order_id, value=value)
            return "refused", 0
        return value["order"]["outcome"], value["order"]["revision"]

    async def undo_orders(self) -> None:
        """Resumes drained endpoints and starts stopped pipelines."""
        value = await self.read_configuration()
        for name in value["draining"]:
            await self.order(f"undo-{name}", "resume", endpoint=name)
        for name, pipeline in value["pipelines"].items():
            if pipeline["stopped"]:
                await self.order(f"undo-{name}", "start", pipeline=name)

    async def read_configuration(self) -> dict:
        """Returns the configuration in the store."""
        path = f"/objects/{configuration.OBJECT_KIND}"
        path = f"{path}/{configuration.OBJECT_NAME}"
        url = self.deployment.platform.url
        _, value, _ = await web_client.call_json(url, "GET", path)
        return value["value"]

    async def list_loaded(self) -> set[str]:
        """Returns the batches that at least one engine has loaded."""
        states = await self.read_engines()
        return {name for state in states.values() for name in state["batches"]}

    async def read_engines(self) -> dict[str, dict]:
        """Returns the state of each engine that answers."""
        states = {}
        for name, pool in self.pools.items():
            if pool != "engines":
                continue
            url = self.deployment.endpoints[name].url
            try:
                _, state, _ = await web_client.call_json(
                    url, "GET", "/state", timeout_seconds=DUMP_SECONDS
                )
            except errors.TransportError:
                continue
            if "batches" in state:
                states[name] = state
        return states


def read_runs(
    directory: pathlib.Path, pools: dict[str, str]
) -> list[evidence.Run]:
    """Returns the runs recorded in all endpoints' journals."""
    runs = []
    for name, pool in pools.items():
        path = build_journal_path(directory, name)
        if path.exists():
            runs += evidence.read_journal(path, name, pool)
    return runs


def build_journal_path(directory: pathlib.Path, endpoint: str) -> pathlib.Path:
    """Returns the path of an endpoint's journal."""
    return directory / f"journal-{endpoint}.jsonl"


def read_violations(directory: pathlib.Path) -> list[str]:
    """Returns the log lines that report a violated invariant."""
    return _find_log_lines(directory, "is violated")


def read_unreachable(directory: pathlib.Path) -> list[str]:
    """Returns the log lines of sidecars that gave up their endpoint."""
    return _find_log_lines(directory, "event=endpoint_unreachable")


def _find_log_lines(directory: pathlib.Path, text: str) -> list[str]:
    return [
        f"{path.name}: {line}"
        for path in sorted(directory.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if text in line
    ]
