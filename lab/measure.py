"""Compares the system's policies with baseline policies under load.

    python -m lab.measure --seed 1 [--scenario steady] [--quick]

Runs the decision modules with simulated endpoints in virtual time, at the
sizes of both deployments. All systems get the same arrivals in one run
(paired comparison). The order in which they run rotates with each repeat.
Prints tables, draws charts under build/, and prints one JSON object as the
last line.
"""

import argparse
import collections
import json
import multiprocessing
import pathlib
import statistics
from typing import Any, NamedTuple

from lab import bound, endpoints, sites, system, workload

# The number of runs of each scenario, each with new arrivals.
REPEATS = 2

# The number of worker processes.
PROCESSES = 5

# Targets that follow from the users' promises: the minimum attainment as a
# share of the upper bound, and the relative loss of attainment that an
# account may suffer from another account's excess.
BOUND_SHARE = 0.95
SHARE_TOLERANCE = 0.05

# Smaller differences in attainment are ignored: one request in 500.
ATTAINMENT_NOISE = 0.002

# Smaller relative differences in cost are ignored.
COST_NOISE = 0.01

CHARTS_DIRECTORY = pathlib.Path("build")

CHOSEN = "chosen"

SYSTEMS = {
    CHOSEN: system.PolicySet(
        "expected_completion", "deadline", "fixed", "budget", 32, True
    ),
    "unadjusted": system.PolicySet(
        "expected_completion_unadjusted",
        "deadline",
        "fixed",
        "budget",
        32,
        True,
    ),
    "least_reported": system.PolicySet(
        "least_reported", "none", "fixed", "naive", 32, False
    ),
    "power_of_two": system.PolicySet(
        "power_of_two", "none", "fixed", "naive", 32, False
    ),
    "round_robin": system.PolicySet(
        "round_robin", "none", "fixed", "naive", 32, False
    ),
    "random": system.PolicySet("random", "none", "fixed", "naive", 32, False),
    "short_queue": system.PolicySet(
        "power_of_two", "none", "fixed", "naive", 8, False
    ),
}

# Variants of the chosen system, which do not count as baselines.
VARIANTS = {"unadjusted"}

# Scenarios whose load exceeds the endpoints' capacity.
OVERLOADS = (
    "friday_burst",
    "month_end",
    "retrieval_burst",
    "generation_burst",
    "slow_stage",
    "greedy_account",
)

# For each burst, the kinds of requests that do not use its stage.
ISOLATED = {
    "retrieval_burst": ("draft", "confirm"),
    "generation_burst": ("search", "confirm"),
}

GREEDY_ACCOUNT = "e"


class Task(NamedTuple):
    """One repeat of one scenario at one site, for all systems."""

    site: sites.Site
    scenario: str
    seed: int
    repeat: int
    systems: dict[str, system.PolicySet]


class Record(NamedTuple):
    """The results of one system in one repeat, or in all repeats together.

    Attributes:
        site, scenario, policy: the names of site, scenario and system.
        requests: the number of requests that arrived.
        whole: the number of requests answered completely in time.
        bound: the upper bound of the attainment.
        work: work by pool, in seconds at an otherwise idle endpoint.
        wasted: the part of `work` for requests without a whole answer.
        busy: time at the endpoints by pool, in seconds.
        tokens: generated tokens by pool.
        wasted_tokens: the part of `tokens` for requests without a whole
            answer.
        first: times to the first token of whole answers, in seconds.
        end: times to the end of whole answers, in seconds.
        refused: the number of requests without a whole answer, by reason.
        known: times until callers learned that their request had no whole
            answer, in seconds.
        notice: times from the decision to give up a request until its caller
            learned it, in seconds.
        groups: the numbers of arrived and of whole requests, by
            `account:NAME` and `kind:NAME`, without the extra requests of a
            burst or an excess.
    """

    site: str
    scenario: str
    policy: str
    requests: int
    whole: int
    bound: float
    work: dict[str, float]
    wasted: dict[str, float]
    busy: dict[str, float]
    tokens: dict[str, int]
    wasted_tokens: dict[str, int]
    first: list[float]
    end: list[float]
    refused: dict[str, int]
    known: list[float]
    notice: list[float]
    groups: dict[str, tuple[int, int]]


def run_task(task: Task) -> list[Record]:
    """Runs every system on the same arrivals.

    If there are extra requests, runs the chosen system again without them.
    """
    scenario = workload.scenarios[task.scenario](task.site)
    seed = f"{task.seed}/{task.site.name}/{task.scenario}/{task.repeat}"
    requests = workload.draw_requests(scenario, seed)
    best = bound.bound_attainment(task.site, scenario, requests)
    names = list(task.systems)
    offset = task.repeat % len(names)
    records = []
    for name in names[offset:] + names[:offset]:
        chosen = task.systems[name]
        simulation = system.Simulation(task.site, scenario, chosen, seed)
        simulation.run(requests)
        records.append(_summarise(task, name, simulation, best))
    usual = [request for request in requests if not request.extra]
    if len(usual) < len(requests):
        simulation = system.Simulation(
            task.site, scenario, task.systems[CHOSEN], seed
        )
        simulation.run(usual)
        records.append(_summarise(task, "without_extra", simulation, 1.0))
    return records


def _summarise(
    task: Task, policy: str, simulation: system.Simulation, best: float
) -> Record:
    whole = [item for item in simulation.outcomes if item.whole]
    failed = [item for item in simulation.outcomes if not item.whole]
    whole_ids = {item.request.id for item in whole}
    work: collections.Counter[str] = collections.Counter()
    wasted: collections.Counter[str] = collections.Counter()
    busy: collections.Counter[str] = collections.Counter()
    for (request, pool), seconds in simulation.work_log.work.items():
        work[pool] += seconds
        busy[pool] += simulation.work_log.busy[request, pool]
        if request not in whole_ids:
            wasted[pool] += seconds
    tokens, wasted_tokens = _count_tokens(simulation.work_log, whole_ids)
    return Record(
        site=task.site.name,
        scenario=task.scenario,
        policy=policy,
        requests=len(simulation.outcomes),
        whole=len(whole),
        bound=best,
        work=dict(work),
        wasted=dict(wasted),
        busy=dict(busy),
        tokens=tokens,
        wasted_tokens=wasted_tokens,
        first=[item.first_seconds for item in whole],
        end=[item.end_seconds for item in whole],
        refused=dict(collections.Counter(item.reason for item in failed)),
        known=[item.end_seconds for item in failed],
        notice=[item.notice_seconds for item in failed],
        groups=_count_groups(simulation.outcomes),
    )


def _count_tokens(
    work_log: endpoints.WorkLog, whole_ids: set[str]
) -> tuple[dict[str, int], dict[str, int]]:
    """Returns all tokens and the wasted tokens, by pool."""
    tokens: collections.Counter[str] = collections.Counter()
    wasted: collections.Counter[str] = collections.Counter()
    for (request, pool), count in work_log.tokens.items():
        tokens[pool] += count
        if request not in whole_ids:
            wasted[pool] += count
    return dict(tokens), dict(wasted)


def _count_groups(
    outcomes: list[system.Outcome],
) -> dict[str, tuple[int, int]]:
    groups: dict[str, tuple[int, int]] = {}
    for item in outcomes:
        if item.request.extra:
            continue
        names = (f"kind:{item.request.kind}", f"account:{item.request.account}")
        for name in names:
            arrived, whole = groups.get(name, (0, 0))
            groups[name] = (arrived + 1, whole + item.whole)
    return groups


def join_records(records: list[Record]) -> Record:
    """Joins the records of one system's repeats of a scenario."""
    first = records[0]
    requests = sum(item.requests for item in records)
    best = sum(item.bound * item.requests for item in records) / requests
    groups: dict[str, tuple[int, int]] = {}
    for item in records:
        for name, (count, whole) in item.groups.items():
            old = groups.get(name, (0, 0))
            groups[name] = (old[0] + count, old[1] + whole)
    return first._replace(
        requests=requests,
        whole=sum(item.whole for item in records),
        bound=best,
        work=_sum_maps([item.work for item in records]),
        wasted=_sum_maps([item.wasted for item in records]),
        busy=_sum_maps([item.busy for item in records]),
        tokens=_sum_maps([item.tokens for item in records]),
        wasted_tokens=_sum_maps([item.wasted_tokens for item in records]),
        first=[value for item in records for value in item.first],
        end=[value for item in records for value in item.end],
        refused=_sum_maps([item.refused for item in records]),
        known=[value for item in records for value in item.known],
        notice=[value for item in records for value in item.notice],
        groups=groups,
    )


def _sum_maps(maps: list[dict[str, Any]]) -> dict[str, Any]:
    total: collections.Counter[str] = collections.Counter()
    for item in maps:
        total.update(item)
    return dict(total)


def compute_attainment(record: Record) -> float:
    """Returns the share of requests answered completely in time."""
    return record.whole / record.requests


def compute_cost(record: Record) -> float:
    """Returns the work per whole answer, in seconds."""
    return sum(record.work.values()) / max(1, record.whole)


def compute_wasted_share(record: Record) -> float:
    """Returns the share of work for requests without a whole answer."""
    return sum(record.wasted.values()) / max(1e-9, sum(record.work.values()))


def compute_group_attainment(record: Record, name: str) -> float:
    """Returns the attainment of one account or kind of request."""
    arrived, whole = record.groups.get(name, (0, 0))
    return whole / arrived if arrived else 1.0


def compute_quantile(values: list[float], share: float) -> float:
    """Returns a quantile; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Joined = dict[tuple[str, str, str], Record]


def run_all(
    seed: int,
    names: list[str],
    repeats: int,
    systems: dict[str, system.PolicySet],
) -> Joined:
    """Runs scenarios at both sites.

    Returns:
        The joined records, by site, scenario and policy.
    """
    tasks = [
        Task(site, name, seed, repeat, systems)
        for name in names
        for site in sites.SITES
        for repeat in range(repeats)
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        results = pool.map(run_task, tasks, chunksize=1)
    grouped: dict[tuple[str, str, str], list[Record]] = {}
    for record in (item for result in results for item in result):
        key = (record.site, record.scenario, record.policy)
        grouped.setdefault(key, []).append(record)
    return {key: join_records(items) for key, items in grouped.items()}


class Check(NamedTuple):
    """One target and whether it was met.

    Attributes:
        target: the name of the target.
        place: the site and the scenario.
        passed: whether the target was met.
        figures: the measured values, for printing.
    """

    target: str
    place: str
    passed: bool
    figures: str


def check_targets(joined: Joined) -> list[Check]:
    """Checks every target for every site and scenario that was run."""
    checks = []
    for site, scenario, policy in joined:
        if policy != CHOSEN:
            continue
        runs = {
            name: record
            for (other_site, other_scenario, name), record in joined.items()
            if (other_site, other_scenario) == (site, scenario)
        }
        place = f"{site} {scenario}"
        checks += _check_bound(place, scenario, runs)
        checks += _check_baselines(place, scenario, runs)
        checks += _check_isolation(place, scenario, runs)
        checks += _check_shares(place, scenario, runs)
    return checks


def _check_bound(
    place: str, scenario: str, runs: dict[str, Record]
) -> list[Check]:
    if scenario not in OVERLOADS:
        return []
    record = runs[CHOSEN]
    share = compute_attainment(record) / record.bound
    figures = f"{share:.4f} of the bound {record.bound:.4f}"
    return [Check("bound", place, share >= BOUND_SHARE, figures)]


def _check_baselines(
    place: str, scenario: str, runs: dict[str, Record]
) -> list[Check]:
    others = {
        name: record
        for name, record in runs.items()
        if name not in VARIANTS | {CHOSEN, "without_extra"}
    }
    if not others:
        return []
    best = max(others, key=lambda name: compute_attainment(others[name]))
    own = compute_attainment(runs[CHOSEN])
    other = compute_attainment(others[best])
    checks = [
        Check(
            "attainment",
            place,
            own >= other - ATTAINMENT_NOISE,
            f"{own:.4f}, best baseline {best} {other:.4f}",
        )
    ]
    if scenario == "steady":
        own = compute_cost(runs[CHOSEN])
        other = min(compute_cost(record) for record in others.values())
        passed = own <= other * (1 + COST_NOISE)
        figures = f"{own:.4f} s, cheapest baseline {other:.4f} s"
        checks.append(Check("cost", place, passed, figures))
    return checks


def _check_isolation(
    place: str, scenario: str, runs: dict[str, Record]
) -> list[Check]:
    checks = []
    for kind in ISOLATED.get(scenario, ()):
        own = compute_group_attainment(runs[CHOSEN], f"kind:{kind}")
        alone = compute_group_attainment(runs["without_extra"], f"kind:{kind}")
        passed = own >= alone - ATTAINMENT_NOISE
        figures = f"{kind} {own:.4f}, without the burst {alone:.4f}"
        checks.append(Check("isolation", place, passed, figures))
    return checks


def _check_shares(
    place: str, scenario: str, runs: dict[str, Record]
) -> list[Check]:
    if scenario != "greedy_account":
        return []
    checks = []
    for account in sites.ACCOUNTS:
        if account == GREEDY_ACCOUNT:
            continue
        own = compute_group_attainment(runs[CHOSEN], f"account:{account}")
        alone = compute_group_attainment(
            runs["without_extra"], f"account:{account}"
        )
        passed = own >= alone * (1 - SHARE_TOLERANCE)
        figures = f"{account} {own:.4f}, without the excess {alone:.4f}"
        checks.append(Check("shares", place, passed, figures))
    return checks


def print_tables(joined: Joined) -> None:
    """Prints one row for each site, scenario and policy."""
    head = (
        f"{'site':9}{'scenario':17}{'policy':15}{'attain':>7}{'bound':>7}"
        f"{'cost':>7}{'waste':>7}{'first p50/p95/p99':>18}"
        f"{'end p50/p95/p99':>18}{'known':>6}{'acct':>6}{'kind':>6}  refused"
    )
    print(head)
    for record in joined.values():
        print(_format_record(record))


def _format_record(record: Record) -> str:
    first = _format_quantiles(record.first)
    end = _format_quantiles(record.end)
    known = compute_quantile(record.known, 0.5)
    accounts = _compute_lowest(record, "account:")
    kinds = _compute_lowest(record, "kind:")
    refused = " ".join(f"{k}={v}" for k, v in sorted(record.refused.items()))
    return (
        f"{record.site:9}{record.scenario:17}{record.policy:15}"
        f"{compute_attainment(record):7.4f}{record.bound:7.4f}"
        f"{compute_cost(record):7.4f}{compute_wasted_share(record):7.4f}"
        f"{first:>18}{end:>18}{known:6.2f}{accounts:6.3f}{kinds:6.3f}"
        f"  {refused}"
    )


def _format_quantiles(values: list[float]) -> str:
    shares = (0.5, 0.95, 0.99)
    return "/".join(
        f"{compute_quantile(values, share):.2f}" for share in shares
    )


def _compute_lowest(record: Record, prefix: str) -> float:
    names = [name for name in record.groups if name.startswith(prefix)]
    return min(
        (compute_group_attainment(record, name) for name in names), default=1.0
    )


def print_costs(joined: Joined) -> None:
    """Prints work and busy time per whole answer, by stage."""
    print("\ncost by stage for one whole answer: work s (busy s) wasted share")
    for record in joined.values():
        parts = []
        for pool in sorted(record.work):
            whole = max(1, record.whole)
            work = record.work[pool] / whole
            busy = record.busy[pool] / whole
            wasted = record.wasted.get(pool, 0.0) / max(1e-9, record.work[pool])
            parts.append(f"{pool} {work:.3f} ({busy:.3f}) {wasted:.3f}")
        place = f"{record.site:9}{record.scenario:17}{record.policy:15}"
        print(place + "; ".join(parts))


def print_tokens(joined: Joined) -> None:
    """Prints the tokens in whole answers and the wasted ones, by stage."""
    print("\ntokens by stage: in whole answers, wasted")
    for record in joined.values():
        parts = []
        for pool, count in sorted(record.tokens.items()):
            wasted = record.wasted_tokens.get(pool, 0)
            parts.append(f"{pool} {count - wasted} {wasted}")
        place = f"{record.site:9}{record.scenario:17}{record.policy:15}"
        print(place + "; ".join(parts))


def print_notice_times(joined: Joined) -> None:
    """Prints how long callers wait to learn that their request failed.

    The simulation has no delay between callers and entries. The real entry
    also answers as soon as it knows the outcome.
    """
    print("\nms from giving up to the caller's knowing: p50/p99/most")
    for record in joined.values():
        values = [
            1000 * compute_quantile(record.notice, share)
            for share in (0.5, 0.99, 1.0)
        ]
        place = f"{record.site:9}{record.scenario:17}{record.policy:15}"
        print(place + "/".join(f"{value:.1f}" for value in values))


def print_checks(checks: list[Check]) -> None:
    """Prints the result of each check with its figures."""
    print()
    for check in checks:
        word = "pass" if check.passed else "FAIL"
        print(f"{word} {check.target:11}{check.place:28}{check.figures}")
    passed = sum(check.passed for check in checks)
    print(f"targets: {passed} of {len(checks)} pass")


def draw_charts(joined: Joined) -> None:
    """Draws one chart per site: attainment by scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    CHARTS_DIRECTORY.mkdir(exist_ok=True)
    for site in sites.SITES:
        figure, axes = pyplot.subplots(figsize=(12, 5))
        names = sorted({key[1] for key in joined if key[0] == site.name})
        policies = list(SYSTEMS)
        width = 0.8 / len(policies)
        for number, policy in enumerate(policies):
            records = [joined.get((site.name, name, policy)) for name in names]
            values = [compute_attainment(r) if r else 0.0 for r in records]
            positions = [index + number * width for index in range(len(names))]
            axes.bar(positions, values, width, label=policy)
        axes.set_xticks(range(len(names)), names, rotation=30, ha="right")
        axes.set_ylabel("attainment")
        axes.set_title(site.name)
        axes.legend(fontsize=7, ncol=4)
        figure.tight_layout()
        figure.savefig(CHARTS_DIRECTORY / f"attainment-{site.name}.png")
        pyplot.close(figure)


def build_summary(joined: Joined, checks: list[Check]) -> dict[str, Any]:
    """Returns three figures for each site, scenario and policy."""
    summary: dict[str, Any] = {}
    for (site, scenario, policy), record in joined.items():
        cell = summary.setdefault(f"{site}/{scenario}", {})
        cell[policy] = {
            "attainment": round(compute_attainment(record), 4),
            "cost_per_whole_answer": round(compute_cost(record), 4),
            "wasted_share": round(compute_wasted_share(record), 4),
        }
    return summary


def print_means(joined: Joined) -> None:
    """Prints each policy's mean attainment over all scenarios."""
    print()
    for policy in SYSTEMS:
        values = [
            compute_attainment(record)
            for key, record in joined.items()
            if key[2] == policy
        ]
        mean = statistics.fmean(values)
        print(f"mean attainment {policy:15}{mean:.4f}")


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=sorted(workload.scenarios))
    parser.add_argument("--quick", action="store_true", help="one repeat")
    options = parser.parse_args()
    names = [options.scenario] if options.scenario else []
    names = names or list(workload.scenarios)
    repeats = 1 if options.quick else REPEATS
    joined = run_all(options.seed, names, repeats, SYSTEMS)
    print_tables(joined)
    print_costs(joined)
    print_tokens(joined)
    print_notice_times(joined)
    print_means(joined)
    checks = check_targets(joined)
    print_checks(checks)
    draw_charts(joined)
    print(json.dumps(build_summary(joined, checks)))


if __name__ == "__main__":
    main()
