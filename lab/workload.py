"""Scenarios of arrivals and faults, drawn from a seed."""

import random
from collections.abc import Callable
from typing import NamedTuple

from lab import sites

# The duration of a run's arrivals, and the start and end of the burst, in
# seconds.
RUN_SECONDS = 24.0
BURST_START = 6.0
BURST_END = 16.0

# The load of the usual mix, as a share of the engines' capacity.
STEADY_LOAD = 0.7


class Request(NamedTuple):
    """One request of a caller.

    Attributes:
        id: the request's id, unique in the run.
        at: the arrival time, in seconds.
        kind: one of sites.KINDS.
        account: the account that it belongs to.
        prefix: the number of its prompt prefix.
        tokens: the length of its generated answer, in tokens.
        work: the work in each pool that generates no tokens, in seconds.
        extra: whether it belongs to a burst or to an account's excess.
    """

    id: str
    at: float
    kind: str
    account: str
    prefix: int
    tokens: int
    work: dict[str, float]
    extra: bool


class Flow(NamedTuple):
    """A stream of Poisson arrivals.

    Attributes:
        rate: the rate, in requests per second.
        start: the start, in seconds.
        end: the end, in seconds.
        kinds: the weights of the kinds of requests.
        accounts: the weights of the accounts.
        extra: whether the requests come on top of the usual load.
    """

    rate: float
    start: float
    end: float
    kinds: dict[str, float]
    accounts: dict[str, float]
    extra: bool = False


class Fault(NamedTuple):
    """A change of an endpoint's speed, or its replacement.

    Attributes:
        at: the time, in seconds.
        pool: the endpoint's pool.
        number: the endpoint's number in the pool.
        speed: the factor on its speed from then on; 0 if it fails all
            attempts.
        leaves: whether it leaves and another endpoint replaces it.
    """

    at: float
    pool: str
    number: int
    speed: float = 1.0
    leaves: bool = False


class Scenario(NamedTuple):
    """The conditions of one run.

    Attributes:
        flows: the arrivals.
        faults: the faults.
        report_seconds: the age of load reports when they arrive, in seconds.
        store_down: whether the store is down, so that no request that needs
            a claim can run.
    """

    flows: list[Flow]
    faults: list[Fault] = []
    report_seconds: float = 0.0
    store_down: bool = False


Builder = Callable[[sites.Site], Scenario]

scenarios: dict[str, Builder] = {}


def register(name: str) -> Callable[[Builder], Builder]:
    """Returns a decorator that registers the builder of a scenario."""

    def add(builder: Builder) -> Builder:
        scenarios[name] = builder
        return builder

    return add


def _flow(site: sites.Site, load: float) -> Flow:
    rate = load * sites.compute_engine_capacity(site)
    return Flow(rate, 0.0, RUN_SECONDS, sites.MIX, sites.ACCOUNTS)


def _burst(rate: float, kinds: dict[str, float]) -> Flow:
    accounts = sites.ACCOUNTS
    return Flow(rate, BURST_START, BURST_END, kinds, accounts, extra=True)


@register("steady")
def build_steady(site: sites.Site) -> Scenario:
    """Builds the usual load."""
    return Scenario([_flow(site, STEADY_LOAD)])


@register("friday_burst")
def build_friday(site: sites.Site) -> Scenario:
    """Builds a burst that raises the load to twice the engines' capacity."""
    rate = (2 - STEADY_LOAD) * sites.compute_engine_capacity(site)
    flows = [_flow(site, STEADY_LOAD), _burst(rate, sites.MIX)]
    return Scenario(flows)


@register("month_end")
def build_month_end(site: sites.Site) -> Scenario:
    """Builds a constant load slightly above the engines' capacity."""
    return Scenario([_flow(site, 1.2)])


@register("retrieval_burst")
def build_retrieval_burst(site: sites.Site) -> Scenario:
    """Adds a burst of searches of twice the retrievers' capacity."""
    per_endpoint = sites.compute_capacity("retrievers")
    capacity = site.endpoints * per_endpoint / sites.STAGE_SECONDS["retrievers"]
    flows = [_flow(site, STEADY_LOAD), _burst(2 * capacity, {"search": 1.0})]
    return Scenario(flows)


@register("generation_burst")
def build_generation_burst(site: sites.Site) -> Scenario:
    """Adds a burst of drafts of 1.5 times the engines' capacity."""
    work = sites.compute_work_seconds("engines")
    capacity = site.engines * sites.compute_capacity("engines") / work
    flows = [_flow(site, STEADY_LOAD), _burst(1.5 * capacity, {"draft": 1.0})]
    return Scenario(flows)


@register("slow_stage")
def build_slow_stage(site: sites.Site) -> Scenario:
    """Slows all rerankers down to a third of their speed."""
    faults = [
        Fault(BURST_START, "rerankers", number, speed=1 / 3)
        for number in range(site.endpoints)
    ]
    return Scenario([_flow(site, STEADY_LOAD)], faults)


@register("slow_endpoint")
def build_slow_endpoint(site: sites.Site) -> Scenario:
    """Slows one engine down to a sixth of its speed, without failures."""
    faults = [Fault(BURST_START, "engines", 0, speed=1 / 6)]
    return Scenario([_flow(site, STEADY_LOAD)], faults)


@register("fast_failure")
def build_fast_failure(site: sites.Site) -> Scenario:
    """Makes one engine fail all attempts immediately."""
    faults = [Fault(BURST_START, "engines", 0, speed=0.0)]
    return Scenario([_flow(site, STEADY_LOAD)], faults)


@register("stale_reports")
def build_stale_reports(site: sites.Site) -> Scenario:
    """Delays load reports by 1 s, near full load."""
    return Scenario([_flow(site, 0.9)], report_seconds=1.0)


@register("rolling")
def build_rolling(site: sites.Site) -> Scenario:
    """Replaces half of each pool's endpoints, one after another."""
    faults = []
    for pool in ("engines", *sites.STAGE_SECONDS):
        half = max(1, sites.count_endpoints(site, pool) // 2)
        step = (RUN_SECONDS - 4.0) / half
        faults += [
            Fault(2.0 + step * number, pool, number, leaves=True)
            for number in range(half)
        ]
    return Scenario([_flow(site, STEADY_LOAD)], faults)


@register("greedy_account")
def build_greedy_account(site: sites.Site) -> Scenario:
    """Makes one account send ten times its share."""
    usual = _flow(site, STEADY_LOAD)
    share = sites.ACCOUNTS["e"] / sum(sites.ACCOUNTS.values())
    excess = usual._replace(
        rate=9 * share * usual.rate, accounts={"e": 1.0}, extra=True
    )
    return Scenario([usual, excess])


@register("store_down")
def build_store_down(site: sites.Site) -> Scenario:
    """Takes the store down for the whole run, so that nothing is claimed."""
    return Scenario([_flow(site, STEADY_LOAD)], store_down=True)


def draw_requests(scenario: Scenario, seed: str) -> list[Request]:
    """Returns the arrivals in order; each flow has its own seed."""
    requests: list[Request] = []
    for number, flow in enumerate(scenario.flows):
        rng = random.Random(f"{seed}/{number}")
        requests += _draw_flow(flow, f"{number}", rng)
    return sorted(requests, key=lambda request: request.at)


def _draw_flow(flow: Flow, name: str, rng: random.Random) -> list[Request]:
    requests = []
    at = flow.start + rng.expovariate(flow.rate)
    while at < flow.end:
        request_id = f"{name}-{len(requests)}"
        requests.append(_draw_request(flow, request_id, at, rng))
        at += rng.expovariate(flow.rate)
    return requests


def _draw_request(
    flow: Flow, request_id: str, at: float, rng: random.Random
) -> Request:
    scale = sites.TOKENS_MEAN / sites.TOKENS_SHAPE
    work = {
        pool: rng.gammavariate(sites.STAGE_SHAPE, mean / sites.STAGE_SHAPE)
        for pool, mean in sites.STAGE_SECONDS.items()
    }
    return Request(
        id=request_id,
        at=at,
        kind=_draw_weighted(flow.kinds, rng),
        account=_draw_weighted(flow.accounts, rng),
        prefix=min(int(rng.expovariate(4 / sites.PREFIXES)), sites.PREFIXES),
        tokens=max(1, round(rng.gammavariate(sites.TOKENS_SHAPE, scale))),
        work=work,
        extra=flow.extra,
    )


def _draw_weighted(weights: dict[str, float], rng: random.Random) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]
