"""`make prove`: checks invariants of real processes under load and faults.

Starts a small deployment, sends the requests and injects the faults that the
seed determines. At the end it compares what the endpoints ran with what
callers and operators were told. The last line of output is one JSON object.
The exit status is 1 on any violation.
"""

import argparse
import collections
import json
import pathlib
import random
import shutil
import sys
import time
from typing import Any

import curio

from lab import (
    callers,
    deployments,
    evidence,
    faults,
    invariant_checks,
    processes,
    relays,
    trials,
)
from samphirevale import errors

SIZES = deployments.Sizes(entries=3, engines=3, stages=2, services=2)

# The number of sidecar addresses in the entries' settings.
CONFIGURED_PEERS = 2

# The time for the deployment to settle after load and faults, in seconds.
SETTLE_SECONDS = 8.0

# The duration of the load under which all nodes are replaced, in seconds.
REPLACEMENT_SECONDS = 15.0

# The duration of the load under which endpoints are briefly silent, in seconds.
SILENCES_SECONDS = 15.0

# The timeout of a graceful process shutdown, in seconds.
STOP_SECONDS = 45.0

# The time limit for reading the outcomes of all keys, in seconds.
QUERY_SECONDS = 30.0

# The pause between two queries of one key's outcome, in seconds.
QUERY_PAUSE_SECONDS = 0.5

# The maximum number of violations printed per invariant.
SHOWN_VIOLATIONS = 3

# The maximum number of characters printed per violation.
SHOWN_CHARACTERS = 700

# The outcomes that are refusals; the table counts their reasons.
REFUSALS = ("not_run", "not_completed", "invalid")


def plan_deployment(directory: pathlib.Path) -> list[deployments.EndpointPlan]:
    """Returns the endpoints' plans; one engine ignores fencing tokens."""
    plans = []
    for plan in deployments.plan_endpoints(SIZES):
        journal = trials.build_journal_path(directory, plan.name)
        arguments = (*plan.arguments, "--journal", str(journal))
        flags: tuple[str, ...] = ()
        if plan.name == "engine-0":
            arguments = (*arguments, "--no-checks-fencing")
            flags = ("--checks-fencing", "false")
        plans.append(plan._replace(arguments=arguments, sidecar_flags=flags))
    return plans


class Result:
    """The printed result of a run."""

    def __init__(
        self,
        seed: int,
        record: evidence.Evidence,
        outcomes: list[faults.Outcome],
        due: collections.Counter,
        retried: int,
        slowest_rejoin: float,
    ):
        self.violations = invariant_checks.check_all(record)
        self.record = record
        self._seed = seed
        self._due = due
        self._retried = retried
        self._slowest_rejoin = slowest_rejoin
        self._took_effect = collections.Counter(
            item.fault.kind for item in outcomes if item.took_effect
        )

    def build_summary(self) -> dict[str, Any]:
        """Returns the JSON object of the last line."""
        counts = collections.Counter(a.outcome for a in self.record.answers)
        by_invariant = collections.Counter(
            item.invariant for item in self.violations
        )
        return {
            "seed": self._seed,
            "requests": len(self.record.answers),
            "outcomes": dict(sorted(counts.items())),
            "retried": self._retried,
            "faults": {
                kind: {"due": due, "took_effect": self._took_effect[kind]}
                for kind, due in sorted(self._due.items())
            },
            "slowest_rejoin_seconds": round(self._slowest_rejoin, 2),
            "never_took_effect": self.list_without_effect(),
            "violations": len(self.violations),
            "violations_by_invariant": dict(by_invariant),
        }

    def list_without_effect(self) -> list[str]:
        """Returns the kinds of faults that were due but never took effect."""
        return [
            kind for kind in sorted(self._due) if not self._took_effect[kind]
        ]

    def print_table(self) -> None:
        """Prints the counts of requests, faults and violations."""
        counts = collections.Counter(a.outcome for a in self.record.answers)
        print(f"\n{'requests':<36}{len(self.record.answers):>8}")
        for outcome, count in sorted(counts.items()):
            print(f"  {outcome:<34}{count:>8}")
        reasons = collections.Counter(
            f"{a.outcome} {(a.value or {}).get('title', '')}"
            for a in self.record.answers
            if a.outcome in (*REFUSALS, "unknown")
        )
        for reason, count in sorted(reasons.items()):
            print(f"    {reason:<32}{count:>8}")
        print(f"{'retried':<36}{self._retried:>8}")
        print(f"\n{'faults':<36}{'due':>8}{'in effect':>12}")
        for kind, due in sorted(self._due.items()):
            print(f"  {kind:<34}{due:>8}{self._took_effect[kind]:>12}")
        print(f"\n{'violations':<36}{len(self.violations):>8}")
        by_invariant = collections.Counter(v.invariant for v in self.violations)
        for name in invariant_checks.list_invariants():
            print(f"  {name:<34}{by_invariant[name]:>8}")

    def print_violations(self) -> None:
        """Prints the first violations of each invariant."""
        shown: collections.Counter[str] = collections.Counter()
        for item in self.violations:
            shown[item.invariant] += 1
            if shown[item.invariant] <= SHOWN_VIOLATIONS:
                text = json.dumps(item.evidence, default=str)
                print(f"\n{item.invariant}: {text[:SHOWN_CHARACTERS]}")


class Proof:
    """One run of the randomised proof."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        trial: trials.Trial,
        directory: pathlib.Path,
    ):
        self._seed = seed
        self._trial = trial
        self._directory = directory
        self._deployment = trial.deployment
        self._callers = callers.Callers(trial.deployment, trial.log)
        self._sends = callers.plan_sends(
            seed, seconds, list(trial.deployment.entries)
        )
        entries = list(trial.deployment.entries)
        self._calm_sends = callers.plan_phase_sends(
            seed, "calm", REPLACEMENT_SECONDS, entries
        )
        # A request may meet a silent endpoint at each of its stages.
        self._silence_sends = [
            send._replace(deadline_ms=callers.DEADLINE_MOST_MS)
            for send in callers.plan_phase_sends(
                seed, "silences", SILENCES_SECONDS, entries
            )
        ]
        self._plan = faults.plan_faults(seed, seconds)
        self._given_up: list[str] = []

    async def run(self) -> Result:
        """Runs the load and the faults, and checks all invariants."""
        trial = self._trial
        for name in self._deployment.endpoints:
            await trial.set_crash_text(name)
        watcher = await curio.spawn(trial.watch_exits, daemon=True)
        sampler = await curio.spawn(trial.sample_revisions, daemon=True)
        async with curio.TaskGroup() as group:
            await group.spawn(self._callers.run, self._sends)
            fault_task = await group.spawn(faults.run_faults, trial, self._plan)
        await curio.sleep(SETTLE_SECONDS)
        # Orders that end a drain or a stop may have failed in an outage.
        await trial.undo_orders()
        await curio.sleep(invariant_checks.IN_FORCE_SECONDS)
        await self._replace_all()
        await curio.sleep(SETTLE_SECONDS)
        await self._silence_all()
        await curio.sleep(SETTLE_SECONDS)
        outcomes = await self._query_outcomes()
        configuration = await trial.read_configuration()
        engines = await trial.read_engines()
        await sampler.cancel()
        await self._stop_nodes()
        await curio.sleep(trials.CHECK_SECONDS * 5)
        await watcher.cancel()
        record = self._collect(outcomes, configuration, engines)
        return self._build_result(record, fault_task.result)

    async def _replace_all(self) -> None:
        """Replaces all nodes gracefully under load, with no other faults."""
        span = self._trial.begin_span("calm", "")
        async with curio.TaskGroup() as group:
            await group.spawn(self._callers.run, self._calm_sends)
            await group.spawn(self._trial.replace_all)
        self._trial.end_span(span)

    async def _silence_all(self) -> None:
        """Makes endpoints briefly silent under load, with no other faults."""
        rng = random.Random(f"silences {self._seed}")
        before = trials.read_unreachable(self._directory)
        span = self._trial.begin_span("silences", "")
        async with curio.TaskGroup() as group:
            await group.spawn(self._callers.run, self._silence_sends)
            await group.spawn(
                self._trial.silence_endpoints, rng, SILENCES_SECONDS
            )
        self._trial.end_span(span)
        after = trials.read_unreachable(self._directory)
        self._given_up = [line for line in after if line not in before]

    async def _query_outcomes(self) -> dict[str, Any]:
        """Returns the outcome that an entry reports for each key."""
        owners = {
            send.key: send.account
            for send in (
                *self._sends,
                *self._calm_sends,
                *self._silence_sends,
            )
            if send.key
        }
        urls = [node.process.url for node in self._deployment.entries.values()]
        states = {}
        # One limit for all keys, so that a faulty system does not block the
        # run.
        give_up_at = time.monotonic() + QUERY_SECONDS
        for number, (key, account) in enumerate(owners.items()):
            states[key] = await self._query_outcome(
                urls[number % len(urls)], account, key, give_up_at
            )
        return states

    async def _query_outcome(
        self, url: str, account: str, key: str, give_up_at: float
    ) -> Any:
        while True:
            try:
                value = await callers.query_outcome(url, account, key)
            except errors.TransportError as error:
                value = {"state": f"not answered: {error}"}
            if value is None or value.get("state") in ("done", "unknown"):
                return value
            if time.monotonic() > give_up_at:
                return value
            await curio.sleep(QUERY_PAUSE_SECONDS)

    async def _stop_nodes(self) -> None:
        """Stops first the entries and then the sidecars gracefully."""
        for table in (self._deployment.entries, self._deployment.sidecars):
            async with curio.TaskGroup() as group:
                for node in table.values():
                    await group.spawn(self._stop, node.process)

    async def _stop(self, process: processes.Process) -> None:
        trial = self._trial
        span = trial.begin_span("stopping", process.name)
        trial.expect_end(process, "stopped")
        process.stop()
        async with curio.ignore_after(STOP_SECONDS):
            await trial.wait_ended(process)
        trial.end_span(span)

    def _collect(
        self,
        outcomes: dict[str, Any],
        configuration: dict,
        engines: dict[str, dict],
    ) -> evidence.Evidence:
        trial = self._trial
        return evidence.Evidence(
            answers=self._callers.answers,
            runs=trials.read_runs(self._directory, trial.pools),
            orders=trial.orders,
            spans=trial.spans,
            samples=trial.samples,
            exits=trial.exits,
            outcomes=outcomes,
            configuration=configuration,
            engines=engines,
            log_lines=trials.read_violations(self._directory),
            batches={
                name: (batch["model"], batch["version"], batch["adapter"])
                for name, batch in configuration["batches"].items()
            },
            pools=trial.pools,
            unreachable=trial.unreachable,
            given_up=self._given_up,
        )

    def _build_result(
        self, record: evidence.Evidence, outcomes: list[faults.Outcome]
    ) -> Result:
        due = collections.Counter(fault.kind for fault in self._plan)
        sends = [send for send in self._sends if send.kind == "crash"]
        due["crash_input"] = len({send.text for send in sends})
        crashed = {
            run.began["input_digest"] for run in record.runs if run.crashed
        }
        for number in range(len(crashed)):
            fault = faults.Fault(-number, "crash_input", 0.0, 0.0, 0.0)
            outcomes.append(faults.Outcome(fault, True))
        return Result(
            self._seed,
            record,
            outcomes,
            due,
            self._callers.retried,
            self._trial.slowest_reconnect,
        )


def run(seed: int, seconds: float, directory: pathlib.Path) -> Result:
    """Runs a proof; writes its events and logs to the directory."""
    fatal_texts = {
        pool: callers.build_crash_text(pool) for pool in callers.CRASH_POOLS
    }
    with (
        relays.open_relays() as all_relays,
        deployments.open_deployment(
            SIZES,
            directory,
            plans=plan_deployment(directory),
            relay=all_relays.add,
            configured_peers=CONFIGURED_PEERS,
        ) as deployment,
    ):
        log = evidence.EventLog(directory / "events.jsonl")
        trial = trials.Trial(deployment, all_relays.by_name, log, fatal_texts)
        try:
            result = curio.run(Proof(seed, seconds, trial, directory).run)
            for violation in result.violations:
                log.write("violation", **violation._asdict())
        finally:
            log.close()
    return result


def main() -> int:
    """Runs the command and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    arguments = parser.parse_args()
    name = f"seed-{arguments.seed}"
    directory = processes.ROOT / "build" / "prove" / name
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    result = run(arguments.seed, arguments.seconds, directory)
    result.print_table()
    result.print_violations()
    for kind in result.list_without_effect():
        print(f"\nwarning: {kind} was due and never took effect")
    if result.violations:
        print(f"\nevents, journals and logs are under build/prove/{name}")
    print(json.dumps(result.build_summary()))
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
