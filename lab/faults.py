"""The faults of a run: a registry of fault kinds and a plan from a seed.

Each kind is a coroutine that injects the fault, ends it, and returns whether
it took effect.
"""

import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from lab import deployments, relays, trials
from samphirevale import errors
from samphirevale.adapters import web_client

# The mean interval between the starts of two faults, in seconds.
INTERVAL_SECONDS = 1.2

# The share of faults that start at the same time as the previous one.
SIMULTANEOUS_SHARE = 0.3

# The time that the load runs before the first fault, in seconds.
FIRST_SECONDS = 1.0

# The timeout of a probe, in seconds.
PROBE_SECONDS = 0.5

# The delay that a slow store adds to each call, in seconds.
STORE_SLOW_SECONDS = 0.4

# The age of a stale read, in seconds.
STALE_SECONDS = 3.0

# The share of writes whose answers are lost.
LOST_SHARE = 0.5

# The delay that a relay adds to each chunk, in seconds.
DELAY_SECONDS = 0.15

# The share of races in which two operators drain the same endpoint; in the
# others both roll out a batch of the same name.
RACE_DRAIN_SHARE = 0.4

# The maximum number of times that a fault is injected until it takes
# effect.
ATTEMPTS_LIMIT = 2

# The factor by which a slow endpoint's run times grow.
SLOW_FACTOR = 8.0

# The number of tokens after which a broken stream ends.
BREAK_TOKENS = 9


class Fault(NamedTuple):
    """A planned fault.

    Attributes:
        number: the fault's unique number in the plan.
        kind: a registered kind.
        at: the start, in seconds from the start of the load.
        seconds: the duration.
        choice: a random number from 0 to 1 that selects the target.
    """

    number: int
    kind: str
    at: float
    seconds: float
    choice: float


class Outcome(NamedTuple):
    """A fault and whether it took effect."""

    fault: Fault
    took_effect: bool


Action = Callable[[trials.Trial, Fault], Awaitable[bool]]


class Kind(NamedTuple):
    """A registered kind of fault.

    Attributes:
        action: the coroutine that injects the fault.
        min_seconds: the minimum duration, in seconds.
        max_seconds: the maximum duration, in seconds.
    """

    action: Action
    min_seconds: float
    max_seconds: float


KINDS: dict[str, Kind] = {}


def register(
    name: str, min_seconds: float = 0.0, max_seconds: float = 0.0
) -> Callable[[Action], Action]:
    """Returns a decorator that registers a coroutine as a kind of fault."""

    def add(action: Action) -> Action:
        KINDS[name] = Kind(action, min_seconds, max_seconds)
        return action

    return add


def plan_faults(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run in chronological order.

    Every kind occurs once before any kind occurs again.
    """
    rng = random.Random(f"faults {seed}")
    plan: list[Fault] = []
    remaining_kinds: list[str] = []
    at = FIRST_SECONDS
    while at < seconds:
        if not remaining_kinds:
            remaining_kinds = sorted(KINDS)
            rng.shuffle(remaining_kinds)
        name = remaining_kinds.pop()
        kind = KINDS[name]
        plan.append(
            Fault(
                len(plan),
                name,
                at,
                rng.uniform(kind.min_seconds, kind.max_seconds),
                rng.random(),
            )
        )
        if rng.random() >= SIMULTANEOUS_SHARE:
            # Scaled so that the mean interval is INTERVAL_SECONDS, counting the
            # faults that start together.
            mean = INTERVAL_SECONDS / (1 - SIMULTANEOUS_SHARE)
            at += rng.uniform(0.5 * mean, 1.5 * mean)
    return plan


async def run_faults(trial: trials.Trial, plan: list[Fault]) -> list[Outcome]:
    """Injects each fault when it is due; returns the outcomes."""
    started_at = time.monotonic()
    outcomes: list[Outcome] = []

    async def run_fault(fault: Fault) -> None:
        trial.log.write("fault", **{**fault._asdict(), "at": time.monotonic()})
        took_effect = False
        for _ in range(ATTEMPTS_LIMIT):
            took_effect = await _inject(trial, fault)
            if took_effect:
                break
        trial.log.write(
            "fault_over", number=fault.number, took_effect=took_effect
        )
        outcomes.append(Outcome(fault, took_effect))

    async with curio.TaskGroup() as group:
        for fault in plan:
            delay = started_at + fault.at - time.monotonic()
            if delay > 0:
                await curio.sleep(delay)
            await group.spawn(run_fault, fault)
    return outcomes


async def _inject(trial: trials.Trial, fault: Fault) -> bool:
    """Injects a fault and returns whether it took effect.

    A fault has no effect if another fault makes its target unreachable.
    """
    try:
        return await KINDS[fault.kind].action(trial, fault)
    except errors.TransportError as error:
        trial.log.write("fault_failed", number=fault.number, error=str(error))
        return False


class _Reservation:
    """Reserves a process for one fault while the fault acts on it.

    Attributes:
        name: the name of the reserved process; empty if none is free.
    """

    def __init__(self, trial: trials.Trial, names: list[str], choice: float):
        self._trial = trial
        first = int(choice * len(names)) if names else 0
        rotated = names[first:] + names[:first]
        free = [name for name in rotated if name not in trial.reserved]
        self.name = free[0] if free else ""

    async def __aenter__(self) -> str:
        if self.name:
            self._trial.reserved.add(self.name)
            self._trial.log.write("target", name=self.name)
        return self.name

    async def __aexit__(self, *_: Any) -> None:
        self._trial.reserved.discard(self.name)


def _list_entries(trial: trials.Trial) -> list[str]:
    return list(trial.deployment.entries)


def _list_sidecars(trial: trials.Trial, pool: str = "") -> list[str]:
    return [f"sidecar-{name}" for name in _list_endpoints(trial, pool)]


def _list_endpoints(trial: trials.Trial, pool: str = "") -> list[str]:
    return [
        name for name, own in trial.pools.items() if not pool or own == pool
    ]


async def _kill(trial: trials.Trial, fault: Fault, names: list[str]) -> bool:
    async with _Reservation(trial, names, fault.choice) as name:
        if not name:
            return False
        process = trial.find_process(name)
        if process.exit_status is not None:
            return False
        span = trial.begin_span("down", name)
        trial.expect_end(process, "killed")
        process.kill()
        await trial.wait_ended(process)
        await curio.sleep(fault.seconds)
        await trial.restart(name)
        trial.end_span(span)
        return True


@register("kill_entry", 0.1, 1.5)
async def kill_entry(trial: trials.Trial, fault: Fault) -> bool:
    """Kills an entry and restarts it."""
    return await _kill(trial, fault, _list_entries(trial))


@register("kill_sidecar", 0.1, 1.5)
async def kill_sidecar(trial: trials.Trial, fault: Fault) -> bool:
    """Kills a sidecar and restarts it."""
    return await _kill(trial, fault, _list_sidecars(trial))


@register("kill_endpoint", 0.1, 1.5)
async def kill_endpoint(trial: trials.Trial, fault: Fault) -> bool:
    """Kills an endpoint and restarts it."""
    return await _kill(trial, fault, _list_endpoints(trial))


async def _freeze(trial: trials.Trial, fault: Fault, names: list[str]) -> bool:
    async with _Reservation(trial, names, fault.choice) as name:
        if not name:
            return False
        if trial.find_process(name).exit_status is not None:
            return False
        return await trial.freeze(name, fault.seconds)


@register("freeze_entry", 1.0, 4.0)
async def freeze_entry(trial: trials.Trial, fault: Fault) -> bool:
    """Suspends an entry's process (SIGSTOP) and resumes it."""
    return await _freeze(trial, fault, _list_entries(trial))


@register("freeze_sidecar", 1.0, 4.0)
async def freeze_sidecar(trial: trials.Trial, fault: Fault) -> bool:
    """Suspends a sidecar's process and resumes it."""
    return await _freeze(trial, fault, _list_sidecars(trial))


@register("freeze_sidecar_past_lease", 5.5, 7.0)
async def freeze_past_lease(trial: trials.Trial, fault: Fault) -> bool:
    """Suspends an engine's sidecar for longer than its lease."""
    return await _freeze(trial, fault, _list_sidecars(trial, "engines"))


@register("freeze_endpoint", 1.0, 4.0)
async def freeze_endpoint(trial: trials.Trial, fault: Fault) -> bool:
    """Suspends an endpoint's process and resumes it."""
    return await _freeze(trial, fault, _list_endpoints(trial))


@register("silence_endpoint", *trials.SILENCE_SECONDS)
async def silence_endpoint(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an endpoint that works fall silent for a moment and go on."""
    return await _freeze(trial, fault, _list_endpoints(trial))


async def _stop_and_start(
    trial: trials.Trial, fault: Fault, names: list[str]
) -> bool:
    async with _Reservation(trial, names, fault.choice) as name:
        if not name:
            return False
        if trial.find_process(name).exit_status is not None:
            return False
        await trial.replace(name)
        return True


@register("replace_sidecar")
async def replace_sidecar(trial: trials.Trial, fault: Fault) -> bool:
    """Stops a sidecar gracefully and restarts it."""
    return await _stop_and_start(trial, fault, _list_sidecars(trial))


@register("replace_entry")
async def replace_entry(trial: trials.Trial, fault: Fault) -> bool:
    """Stops an entry gracefully and restarts it."""
    return await _stop_and_start(trial, fault, _list_entries(trial))


def _choose_relay(trial: trials.Trial, fault: Fault) -> relays.Relay:
    names = list(trial.relays)
    name = names[int(fault.choice * len(names))]
    trial.log.write("target", name=name)
    return trial.relays[name]


@register("cut_link", 0.5, 3.0)
async def cut_link(trial: trials.Trial, fault: Fault) -> bool:
    """Cuts a sidecar's connections in both directions."""
    relay = _choose_relay(trial, fault)
    before = relay.cuts
    relay.cut()
    await curio.sleep(fault.seconds)
    relay.reset()
    return relay.cuts > before


async def _stall(trial: trials.Trial, fault: Fault, direction: str) -> bool:
    relay = _choose_relay(trial, fault)
    before = relay.stalled_chunks
    relay.stalled |= {direction}
    await curio.sleep(fault.seconds)
    relay.reset()
    return relay.stalled_chunks > before


@register("stall_to_sidecar", 0.5, 4.0)
async def stall_to_sidecar(trial: trials.Trial, fault: Fault) -> bool:
    """Holds back all data from entries to a sidecar."""
    return await _stall(trial, fault, relays.TO_SIDECAR)


@register("stall_to_entry", 0.5, 4.0)
async def stall_to_entry(trial: trials.Trial, fault: Fault) -> bool:
    """Holds back all data from a sidecar to entries."""
    return await _stall(trial, fault, relays.TO_ENTRY)


@register("delay_link", 1.0, 4.0)
async def delay_link(trial: trials.Trial, fault: Fault) -> bool:
    """Delays all data between entries and a sidecar, in both directions."""
    relay = _choose_relay(trial, fault)
    before = relay.delayed_chunks
    relay.delay_seconds = DELAY_SECONDS
    await curio.sleep(fault.seconds)
    relay.reset()
    return relay.delayed_chunks > before


async def _probe(url: str, path: str) -> tuple[int, float]:
    """Returns a call's status (0 without an answer) and duration in seconds."""
    started_at = time.monotonic()
    status = 0
    with contextlib.suppress(errors.TransportError):
        status, _, _ = await web_client.call_json(
            url, "GET", path, timeout_seconds=PROBE_SECONDS
        )
    return status, time.monotonic() - started_at


_STORE_PATH = "/objects/configuration/current"


async def _disturb_store(
    trial: trials.Trial, fault: Fault, **values: Any
) -> tuple[int, float]:
    """Sets fault switches of the store for the duration, and probes it."""
    url = trial.deployment.platform.url
    await trial.set_faults(url, seconds=fault.seconds, **values)
    probed = await _probe(url, _STORE_PATH)
    await curio.sleep(max(0.0, fault.seconds - probed[1]))
    return probed


@register("store_outage", 1.0, 6.0)
async def store_outage(trial: trials.Trial, fault: Fault) -> bool:
    """Makes the store refuse all calls."""
    return (await _disturb_store(trial, fault, outage=True))[0] == 503


@register("store_blackhole", 1.0, 4.0)
async def store_blackhole(trial: trials.Trial, fault: Fault) -> bool:
    """Makes the store leave all calls unanswered."""
    return (await _disturb_store(trial, fault, blackhole=True))[0] == 0


@register("store_slow", 1.0, 4.0)
async def store_slow(trial: trials.Trial, fault: Fault) -> bool:
    """Slows down each call to the store."""
    _, seconds = await _disturb_store(
        trial, fault, slow_seconds=STORE_SLOW_SECONDS
    )
    return seconds >= STORE_SLOW_SECONDS


async def _read_count(trial: trials.Trial, name: str) -> int:
    url = trial.deployment.platform.url
    _, counts, _ = await web_client.call_json(url, "GET", "/counts")
    return counts.get(name, 0)


@register("store_loses_answers", 1.0, 4.0)
async def store_loses_answers(trial: trials.Trial, fault: Fault) -> bool:
    """Makes the store apply writes but lose some of the answers."""
    before = await _read_count(trial, "lost_answers")
    await _disturb_store(trial, fault, lose_answers=LOST_SHARE)
    return await _read_count(trial, "lost_answers") > before


@register("store_refuses_writes", 1.0, 4.0)
async def store_refuses_writes(trial: trials.Trial, fault: Fault) -> bool:
    """Makes the store answer reads but refuse writes."""
    before = await _read_count(trial, "put")
    await _disturb_store(trial, fault, refuse_writes=True)
    return await _read_count(trial, "put") > before


@register("store_stale_reads", 2.0, 5.0)
async def store_stale_reads(trial: trials.Trial, fault: Fault) -> bool:
    """Makes the store answer reads with old values."""
    before = await _read_count(trial, "get")
    await _disturb_store(trial, fault, stale_reads=STALE_SECONDS)
    # The probe accounts for one read.
    return await _read_count(trial, "get") > before + 1


@register("list_lacks_instances", 2.0, 5.0)
async def list_lacks_instances(trial: trials.Trial, fault: Fault) -> bool:
    """Removes live instances from the list, and marks another as leaving."""
    names = list(trial.deployment.sidecars)
    rng = random.Random(fault.choice)
    rng.shuffle(names)
    absent, leaving = frozenset(names[:3]), frozenset(names[3:4])
    url = trial.deployment.platform.url
    faulty = trial.deployment.build_list(leaving, absent)
    await web_client.call_json(url, "POST", "/instances", {"instances": faulty})
    try:
        return await _watch_for_short_list(url, fault.seconds, len(names))
    finally:
        correct = trial.deployment.build_list()
        await web_client.call_json(
            url, "POST", "/instances", {"instances": correct}
        )


async def _watch_for_short_list(url: str, seconds: float, whole: int) -> bool:
    """Polls the list; returns whether it ever had fewer than `whole` items."""
    ends_at = time.monotonic() + seconds
    was_short = False
    while time.monotonic() < ends_at:
        await curio.sleep(PROBE_SECONDS)
        with contextlib.suppress(errors.TransportError):
            status, listed, _ = await web_client.call_json(
                url, "GET", "/instances", timeout_seconds=PROBE_SECONDS
            )
            was_short |= status == 200 and len(listed["instances"]) < whole
    return was_short


async def _switch_endpoint(
    trial: trials.Trial,
    fault: Fault,
    pool: str,
    affected_status: str,
    **values: Any,
) -> bool:
    """Sets fault switches of an endpoint; returns whether a run was affected.

    Args:
        trial: the current trial.
        fault: the fault.
        pool: the endpoint's pool; empty for any.
        affected_status: the status of an affected run; empty if any run that
            ends during the fault counts as affected.
        **values: the switches.
    """
    names = _list_endpoints(trial, pool)
    # The fault would have no effect on an endpoint that gets no work.
    names = [name for name in names if trial.is_used(name)] or names
    async with _Reservation(trial, names, fault.choice) as name:
        if not name:
            return False
        url = trial.deployment.endpoints[name].url
        began = time.monotonic()
        await trial.set_faults(url, seconds=fault.seconds, **values)
        await curio.sleep(fault.seconds)
        try:
            _, record, _ = await web_client.call_json(url, "GET", "/record")
        except errors.TransportError:
            return False
    return any(
        run["status"] == (affected_status or run["status"])
        for run in record["runs"]
        if run["ended"] and run["ended"] > began
    )


async def _block_endpoint(
    trial: trials.Trial, fault: Fault, expected_status: int, **values: Any
) -> bool:
    """Sets fault switches of an endpoint; returns whether they take effect.

    Args:
        trial: the current trial.
        fault: the fault.
        expected_status: the status of a health check that shows the effect;
            0 for no answer.
        **values: the switches.
    """
    async with _Reservation(
        trial, _list_endpoints(trial), fault.choice
    ) as name:
        if not name:
            return False
        url = trial.deployment.endpoints[name].url
        await trial.set_faults(url, seconds=fault.seconds, **values)
        status, seconds = await _probe(url, "/health")
        await curio.sleep(max(0.0, fault.seconds - seconds))
        return status == expected_status


@register("endpoint_refuses", 1.0, 4.0)
async def endpoint_refuses(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an endpoint refuse all calls."""
    return await _block_endpoint(trial, fault, 503, refuse=True)


@register("endpoint_hangs", 1.0, 4.0)
async def endpoint_hangs(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an endpoint leave all calls unanswered."""
    return await _block_endpoint(trial, fault, 0, hang=True)


@register("endpoint_slow", 2.0, 5.0)
async def endpoint_slow(trial: trials.Trial, fault: Fault) -> bool:
    """Slows down an endpoint's runs."""
    return await _switch_endpoint(
        trial, fault, "", "done", slow_factor=SLOW_FACTOR
    )


@register("endpoint_fails", 1.0, 4.0)
async def endpoint_fails(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an endpoint's runs fail."""
    return await _switch_endpoint(trial, fault, "", "failed", fail=True)


@register("endpoint_loses_answers", 1.0, 4.0)
async def endpoint_loses_answers(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an endpoint run calls without answering them."""
    return await _switch_endpoint(trial, fault, "", "lost", lose_answer=True)


@register("service_loses_answers", 1.0, 4.0)
async def service_loses_answers(trial: trials.Trial, fault: Fault) -> bool:
    """Makes a service run non-repeatable calls without answering them."""
    pool = ("booking", "filing")[fault.number % 2]
    return await _switch_endpoint(trial, fault, pool, "lost", lose_answer=True)


@register("engine_breaks_streams", 1.0, 4.0)
async def engine_breaks_streams(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an engine's streams end early."""
    return await _switch_endpoint(
        trial, fault, "engines", "broken", break_stream_after=BREAK_TOKENS
    )


@register("engine_duplicates_chunks", 1.0, 4.0)
async def engine_duplicates_chunks(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an engine send each chunk of a stream twice."""
    return await _switch_endpoint(
        trial, fault, "engines", "done", duplicate_chunks=True
    )


@register("engine_reorders_chunks", 1.0, 4.0)
async def engine_reorders_chunks(trial: trials.Trial, fault: Fault) -> bool:
    """Makes an engine send the chunks of a stream out of order."""
    return await _switch_endpoint(
        trial, fault, "engines", "", reorder_chunks=True
    )


@register("drain_endpoint", 4.5, 6.0)
async def drain_endpoint(trial: trials.Trial, fault: Fault) -> bool:
    """Drains an endpoint by an operator's order, and resumes it."""
    names = _list_endpoints(trial)
    name = names[int(fault.choice * len(names))]
    drained = await trial.order(f"drain-{fault.number}", "drain", endpoint=name)
    await curio.sleep(fault.seconds)
    await trial.order_with_retries(
        f"resume-{fault.number}", "resume", endpoint=name
    )
    return drained.outcome == "accepted"


@register("race_operators", 2.0, 3.0)
async def race_operators(trial: trials.Trial, fault: Fault) -> bool:
    """Gives two conflicting orders concurrently at two entries."""
    races = sum(1 for answer in trial.orders if answer.rival)
    ids = [f"race-{fault.number}-{races}-{index}" for index in range(2)]
    race = _race_drains if fault.choice < RACE_DRAIN_SHARE else _race_batches
    async with curio.TaskGroup() as group:
        for index, order_id in enumerate(ids):
            await group.spawn(
                race, trial, fault, order_id, ids[1 - index], index
            )
    outcomes = {order.order_id: order.outcome for order in trial.orders}
    return all(outcomes[order_id] != "not_run" for order_id in ids)


async def _race_batches(
    trial: trials.Trial,
    fault: Fault,
    order_id: str,
    rival: str,
    entry_index: int,
) -> None:
    """Rolls out a batch under the same name as the rival order does."""
    await trial.order(
        order_id,
        "roll_out",
        rival,
        entry_index,
        batch=order_id.rpartition("-")[0],
        model=deployments.MODEL,
        version=f"{fault.number}-{entry_index}",
        pool="engines",
    )


async def _race_drains(
    trial: trials.Trial,
    fault: Fault,
    order_id: str,
    rival: str,
    entry_index: int,
) -> None:
    """Drains an endpoint; resumes it later unless the order was refused."""
    names = _list_endpoints(trial)
    name = names[fault.number % len(names)]
    answer = await trial.order(
        order_id, "drain", rival, entry_index, endpoint=name
    )
    if answer.outcome != "refused":
        await curio.sleep(fault.seconds)
        await trial.order_with_retries(
            f"{order_id}-resume", "resume", endpoint=name
        )


@register("stop_pipeline", 5.0, 6.0)
async def stop_pipeline(trial: trials.Trial, fault: Fault) -> bool:
    """Stops a pipeline by an operator's order, and starts it again."""
    pipeline = deployments.DRAFT_PIPELINES[-1]
    stopped = await trial.order(
        f"stop-{fault.number}", "stop", pipeline=pipeline
    )
    await curio.sleep(fault.seconds)
    await trial.order_with_retries(
        f"start-{fault.number}", "start", pipeline=pipeline
    )
    return stopped.outcome == "accepted"


@register("roll_out_batch")
async def roll_out_batch(trial: trials.Trial, fault: Fault) -> bool:
    """Rolls out a batch; engines serve it once they have loaded it."""
    batch, version = f"b-{fault.number}", str(fault.number + 2)
    answer = await trial.order(
        f"roll-out-{fault.number}",
        "roll_out",
        batch=batch,
        model=deployments.MODEL,
        version=version,
        pool="engines",
    )
    return answer.outcome == "accepted"


@register("recall_batch", 2.0, 3.0)
async def recall_batch(trial: trials.Trial, fault: Fault) -> bool:
    """Recalls a batch, after rolling out another one if necessary."""
    batch = await _choose_recall(trial, fault)
    if not batch:
        await roll_out_batch(trial, fault)
        await curio.sleep(fault.seconds)
        batch = await _choose_recall(trial, fault)
    if not batch:
        return False
    answer = await trial.order_with_retries(
        f"recall-{fault.number}", "recall", batch=batch
    )
    return answer.outcome == "accepted"


async def _choose_recall(trial: trials.Trial, fault: Fault) -> str:
    """Returns a serving batch to recall; empty if fewer than two serve."""
    try:
        value = await trial.read_configuration()
        loaded = await trial.list_loaded()
    except (errors.TransportError, KeyError, TypeError):
        return ""
    serving = [
        name
        for name, batch in value["batches"].items()
        if batch["state"] == "serving"
    ]
    if len(serving) < 2:
        return ""
    first = serving[0]
    if fault.choice < 0.5 and loaded & set(serving[1:]):
        return first
    # If the first were recalled, nothing would serve until another batch is
    # loaded.
    return serving[-1]
