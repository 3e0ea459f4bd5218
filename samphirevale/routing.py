"""Routing: chooses the endpoint for each attempt.

Each entry has one `Router`. Its load estimates combine the sidecars'
heartbeats, which are always somewhat out of date, with the attempts that
this entry itself has sent and completed. The module does no I/O and reads no
clock: `now` is in monotonic seconds.

Out-of-date load reports are adjusted according to equations (10) and (12) of
Deng and Lau, "On Delay Adjustment for Dynamic Load Balancing in Distributed
Virtual Environments" (TVCG 2012). The adjustment uses the part of the change
that the entry knows exactly: the attempts that it has sent and completed
since the report.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from samphirevale import endpoint_records, messages, registry

# One-way network latency within a data centre and between two of them.
LOCAL_LATENCY_SECONDS = 0.0003
REMOTE_LATENCY_SECONDS = 0.0015

# Number of randomly sampled candidates that `expected_completion` compares.
SAMPLE_SIZE = 2

# The service time assumed for endpoints that have not reported their own.
DEFAULT_SERVICE_SECONDS = 0.2


# Fraction of the full-load service time that an attempt saves on an idle
# endpoint, compared with one at its concurrency limit.
CONCURRENCY_SLOWDOWN = 0.3

# Service times within this factor of the pool's median count as equal to it.
SPEED_NOISE_FACTOR = 1.5

# Smoothing term, in attempts, that is added to both the present and the last
# reported load when their ratio is computed, and the upper bound of the
# ratio. The ratio scales the load from other entries.
GROWTH_SMOOTHING_ATTEMPTS = 8
GROWTH_LIMIT = 2.0

# Fraction of the service time that a cached prefix saves, and the larger
# fraction used when endpoints are compared. The preference is larger because
# keeping each prefix on few endpoints also saves time for later attempts.
PREFIX_SAVING_SHARE = 0.08
PREFIX_PREFERENCE_SHARE = 0.5


# An endpoint is ejected if its service time exceeds this multiple of its
# pool's median.
SLOW_FACTOR = 4.0


# Maximum fraction of the candidates that may be ejected at the same time.
EJECTED_SHARE_LIMIT = 0.5


OUTCOMES = frozenset({"ok", "refused", "failed", "slow"})


class Choice(NamedTuple):
    """The chosen endpoint and the estimated completion time there."""

    endpoint: str
    expected_seconds: float


class RoutingRequest(NamedTuple):
    """The input of a routing policy for one choice.

    Attributes:
        records: the candidates, at least one, in a fixed order.
        data_centre: the entry's data centre.
        prefix: digest of the prompt's prefix; empty if there is none.
        choice_count: number of choices that the router has made before.
    """

    records: Sequence[endpoint_records.EndpointRecord]
    data_centre: str
    prefix: str
    choice_count: int


Policy = Callable[
    [RoutingRequest, float, random.Random], endpoint_records.EndpointRecord
]

_policies: registry.Registry[Policy] = registry.Registry("routing policy")
register = _policies.register
list_policies = _policies.list_names


@register("random")
def choose_random(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Baseline: chooses a random candidate."""
    return rng.choice(request.records)


@register("round_robin")
def choose_round_robin(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Baseline: chooses the candidates in rotation."""
    return request.records[request.choice_count % len(request.records)]


@register("least_reported")
def choose_least_reported(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Baseline: chooses the candidate with the lowest reported load."""
    return min(
        request.records,
        key=lambda record: (record.get_reported_load(), rng.random()),
    )


@register("power_of_two")
def choose_power_of_two(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Baseline: samples two candidates and chooses the less loaded one.

    This is Mitzenmacher's power of two choices, on the reported loads.
    """
    pair = rng.sample(request.records, min(2, len(request.records)))
    return min(pair, key=lambda record: record.get_reported_load())


@register("expected_completion")
def choose_earliest_completion(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Chooses the earliest estimated completion among sampled candidates."""
    estimates = estimate_loads(request.records, now)
    return _choose_earliest(request, estimates, now, rng)


@register("expected_completion_unadjusted")
def choose_earliest_unadjusted(
    request: RoutingRequest, now: float, rng: random.Random
) -> endpoint_records.EndpointRecord:
    """Chooses as `expected_completion` does, from unadjusted reports.

    This is the control with which the effect of the adjustment is measured.
    """
    estimates = estimate_unadjusted(request.records)
    return _choose_earliest(request, estimates, now, rng)


class Estimate(NamedTuple):
    """The estimated load and service time of an endpoint.

    Attributes:
        record: the endpoint.
        load: number of attempts there, running and waiting.
        service_seconds: service time of one attempt.
    """

    record: endpoint_records.EndpointRecord
    load: float
    service_seconds: float


def estimate_loads(
    records: Sequence[endpoint_records.EndpointRecord], now: float
) -> list[Estimate]:
    """Estimates the present load and service time of a pool's endpoints.

    This entry's own in-flight attempts are known exactly and replace their
    part of the reported load. The part from other entries is only known as
    of the report. It moves towards the pool's mean as the report ages, since
    an endpoint works off its excess load in the meantime. It is also scaled
    by the growth of this entry's own load.
    """
    services = _estimate_service_times(records)
    others = [record.get_others_reported_load() for record in records]
    mean = sum(others) / max(1, len(others))
    growth = _estimate_load_growth(records)
    estimates = []
    for record, service, other in zip(records, services, others, strict=True):
        age = max(0.0, now - record.load_measured_at)
        report_weight = math.exp(-age / service) if record.heartbeat else 0.0
        others_load = mean + report_weight * (other - mean)
        load = len(record.in_flight) + growth * others_load
        estimates.append(Estimate(record, load, service))
    return estimates


def estimate_unadjusted(
    records: Sequence[endpoint_records.EndpointRecord],
) -> list[Estimate]:
    """Returns the estimates by the last reports, without adjustment."""
    services = _estimate_service_times(records)
    return [
        Estimate(record, float(record.get_reported_load()), service)
        for record, service in zip(records, services, strict=True)
    ]


def estimate_completion_seconds(
    estimate: Estimate,
    data_centre: str,
    prefix: str,
    now: float,
    prefix_share: float = PREFIX_SAVING_SHARE,
) -> float:
    """Returns how long an attempt sent now would take, in seconds.

    Args:
        estimate: the endpoint's estimated load and service time.
        data_centre: the entry's data centre.
        prefix: digest of the prompt's prefix; empty if there is none.
        now: the present time.
        prefix_share: fraction of the service time to subtract for a cached
            prefix.
    """
    record = estimate.record
    limit = record.get_concurrency_limit()
    service = estimate.service_seconds
    wait = max(0.0, estimate.load - limit + 1) * service / limit
    utilisation = min(1.0, estimate.load / limit)
    service *= 1 + CONCURRENCY_SLOWDOWN * (utilisation - 1)
    if record.has_prefix(prefix, now):
        service *= 1 - prefix_share
    if record.data_centre == data_centre:
        latency = LOCAL_LATENCY_SECONDS
    else:
        latency = REMOTE_LATENCY_SECONDS
    return wait + service + 2 * latency


def _estimate_service_times(
    records: Sequence[endpoint_records.EndpointRecord],
) -> list[float]:
    """Returns the service time of each endpoint.

    The median of the known service times replaces unknown ones and those
    that differ from it by no more than noise.
    """
    times = [record.get_service_seconds() for record in records]
    known = sorted(seconds for seconds in times if seconds is not None)
    median = known[len(known) // 2] if known else DEFAULT_SERVICE_SECONDS
    return [
        median
        if seconds is None or _is_within_noise(seconds / median)
        else seconds
        for seconds in times
    ]


def _is_within_noise(ratio: float) -> bool:
    return 1 / SPEED_NOISE_FACTOR <= ratio <= SPEED_NOISE_FACTOR


def _estimate_load_growth(
    records: Sequence[endpoint_records.EndpointRecord],
) -> float:
    """Returns the growth of this entry's own load since the reports.

    This is the ratio of the present to the reported number of its attempts,
    smoothed and limited to `GROWTH_LIMIT`.
    """
    present = sum(len(record.in_flight) for record in records)
    reported = sum(record.reported_own_attempts for record in records)
    growth = (present + GROWTH_SMOOTHING_ATTEMPTS) / (
        reported + GROWTH_SMOOTHING_ATTEMPTS
    )
    return min(GROWTH_LIMIT, growth)


class Router:
    """Chooses endpoints for one entry.

    Args:
        policy: the name of a registered policy.
        data_centre: the entry's data centre.
        rng: the random number generator for all choices.

    Raises:
        ValueError: no policy of that name is registered.
    """

    def __init__(self, policy: str, data_centre: str, rng: random.Random):
        self._policy = _policies.get(policy)
        self._data_centre = data_centre
        self._rng = rng
        self._records: dict[str, endpoint_records.EndpointRecord] = {}
        self._choice_count = 0

    def record_report(
        self,
        endpoint: str,
        pool: str,
        data_centre: str,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Records a sidecar's heartbeat that has just arrived."""
        record = self._get_or_add_record(endpoint)
        record.pool = pool
        record.data_centre = data_centre
        record.record_report(heartbeat, now)

    def record_sent(
        self, endpoint: str, attempt: str, now: float, *, prefix: str = ""
    ) -> None:
        """Records that an attempt is being handed over."""
        self._get_or_add_record(endpoint).record_sent(attempt, prefix, now)

    def record_end(
        self,
        endpoint: str,
        attempt: str,
        now: float,
        service_seconds: float | None,
        outcome: str,
    ) -> None:
        """Records how an attempt ended.

        Args:
            endpoint: the endpoint that got the attempt.
            attempt: the attempt's id.
            now: the present time.
            service_seconds: how long the endpoint worked on the attempt;
                None if unknown.
            outcome: `ok`, `refused` (nothing ran), `failed`, or `slow`
                (abandoned because it took too long).

        Raises:
            ValueError: the outcome is none of these.
        """
        if outcome not in OUTCOMES:
            raise ValueError(f"unknown outcome {outcome!r}")
        record = self._records.get(endpoint)
        if record is None:
            return
        record.record_end(attempt, now, service_seconds, outcome)
        if outcome in ("ok", "slow"):
            self._eject_if_slow(record, now)

    def remove_endpoint(self, endpoint: str) -> None:
        """Removes the state of an endpoint that no longer exists."""
        self._records.pop(endpoint, None)

    def choose(
        self,
        candidates: Sequence[str],
        now: float,
        *,
        prefix: str = "",
        exclude: Collection[str] = frozenset(),
        remaining_seconds: float = float("inf"),
    ) -> Choice | None:
        """Chooses the endpoint for an attempt; None if there is none.

        Args:
            candidates: the endpoints that could run the attempt.
            now: the present time.
            prefix: digest of the prompt's prefix; empty if there is none.
            exclude: endpoints to skip, such as those tried before.
            remaining_seconds: time left before the deadline; the result is
                None if it is not positive.
        """
        usable = [name for name in candidates if name not in exclude]
        records = self._select_usable(usable, now)
        if not records or remaining_seconds <= 0:
            return None
        request = RoutingRequest(
            records, self._data_centre, prefix, self._choice_count
        )
        self._choice_count += 1
        record = self._policy(request, now, self._rng)
        return Choice(
            record.name,
            self._estimate_completion_times(records, prefix, now)[record.name],
        )

    def estimate_best_seconds(
        self, candidates: Sequence[str], now: float, *, prefix: str = ""
    ) -> float:
        """Returns the lowest estimated completion time of the candidates.

        The time is in seconds from now, and infinite if no candidate accepts
        work.
        """
        records = self._select_usable(candidates, now)
        times = self._estimate_completion_times(records, prefix, now).values()
        return min(times, default=float("inf"))

    def dump(self, now: float) -> dict[str, dict]:
        """Returns the state of each endpoint, for operators."""
        return {
            record.name: {
                "pool": record.pool,
                "data_centre": record.data_centre,
                "reported_load": record.get_reported_load(),
                "in_flight": len(record.in_flight),
                "service_seconds": record.get_service_seconds(),
                "ejected": record.is_ejected(now),
            }
            for record in self._records.values()
        }

    def _estimate_completion_times(
        self,
        records: Sequence[endpoint_records.EndpointRecord],
        prefix: str,
        now: float,
    ) -> dict[str, float]:
        return {
            estimate.record.name: estimate_completion_seconds(
                estimate, self._data_centre, prefix, now
            )
            for estimate in estimate_loads(records, now)
        }

    def _get_or_add_record(
        self, endpoint: str
    ) -> endpoint_records.EndpointRecord:
        record = self._records.get(endpoint)
        if record is None:
            record = self._records[endpoint] = endpoint_records.EndpointRecord(
                endpoint
            )
        return record

    def _select_usable(
        self, names: Sequence[str], now: float
    ) -> list[endpoint_records.EndpointRecord]:
        """Returns the endpoints that accept work and are not ejected.

        If more than the fraction `EJECTED_SHARE_LIMIT` is ejected, the excess
        is included again, starting with the earliest end of an ejection.
        """
        records = [self._get_or_add_record(name) for name in names]
        records = [record for record in records if record.accepts_work()]
        not_ejected = [
            record for record in records if not record.is_ejected(now)
        ]
        needed = len(records) - int(len(records) * EJECTED_SHARE_LIMIT)
        if len(not_ejected) >= needed:
            return not_ejected
        ejected = [record for record in records if record.is_ejected(now)]
        ejected.sort(key=lambda record: record.ejected_until)
        return not_ejected + ejected[: needed - len(not_ejected)]

    def _eject_if_slow(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        pool_seconds = sorted(
            other.get_service_seconds() or 0.0
            for other in self._records.values()
            if other.pool == record.pool and other.has_enough_samples()
        )
        if len(pool_seconds) < 3 or not record.has_enough_samples():
            return
        median = pool_seconds[len(pool_seconds) // 2]
        if (record.get_service_seconds() or 0.0) > SLOW_FACTOR * median:
            record.eject(now)


def _choose_earliest(
    request: RoutingRequest,
    estimates: Sequence[Estimate],
    now: float,
    rng: random.Random,
) -> endpoint_records.EndpointRecord:
    sampled = _sample_candidates(request, now, rng)
    sampled_estimates = (
        estimate for estimate in estimates if estimate.record in sampled
    )
    earliest = min(
        sampled_estimates,
        key=lambda estimate: (
            estimate_completion_seconds(
                estimate,
                request.data_centre,
                request.prefix,
                now,
                PREFIX_PREFERENCE_SHARE,
            ),
            rng.random(),
        ),
    )
    return earliest.record


def _sample_candidates(
    request: RoutingRequest, now: float, rng: random.Random
) -> list[endpoint_records.EndpointRecord]:
    """Returns a random sample of candidates plus those with a cached prefix.

    Without sampling, all entries would choose the same best candidate from
    the same report and overload it until the next report.
    """
    size = min(SAMPLE_SIZE, len(request.records))
    sampled = rng.sample(request.records, size)
    for record in request.records:
        if record not in sampled and record.has_prefix(request.prefix, now):
            sampled.append(record)
    return sampled
