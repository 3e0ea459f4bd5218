"""Routing: which endpoint gets an attempt.

A `Router` belongs to one entry. It learns from the sidecars' heartbeats,
which lag, and from what this entry itself has sent and got back. It does no
I/O and reads no clock: `now` is in monotonic seconds.

The adjustment of a lagging report by what has changed since it was made
follows equations (10) and (12) of Deng and Lau, "On Delay Adjustment for
Dynamic Load Balancing in Distributed Virtual Environments" (TVCG 2012),
with the known part of the change: this entry's own sends and returns.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from samphirevale import messages, registry

# Distance, one way, inside a data centre and between two, in seconds.
LOCAL_DISTANCE_SECONDS = 0.0003
REMOTE_DISTANCE_SECONDS = 0.0015

# How many candidates `expected_completion` compares.
SAMPLE_SIZE = 2

# What is taken for an endpoint that has not told it yet.
DEFAULT_LIMIT = 8
DEFAULT_SERVICE_SECONDS = 0.2

# Weight of a new measurement in the smoothed service time.
SERVICE_WEIGHT = 0.2

# The share of its service time by which an attempt is faster on an endpoint
# that is idle than on one at its limit.
CONCURRENCY_SLOWDOWN = 0.3

# Service times that differ by less than this factor are taken as equal.
SPEED_NOISE_FACTOR = 1.5

# Attempts added to both sides when own load is compared with what it was,
# and the most that other entries' load is raised by.
GROWTH_PRIOR = 8
GROWTH_LIMIT = 2.0

# The share of an attempt's service time that a cached prefix saves, and the
# share that it counts for when endpoints are compared: to keep prefixes
# apart is also worth what it saves later.
PREFIX_SAVING_SHARE = 0.08
PREFIX_PREFERENCE_SHARE = 0.5

# How long an own send with a prefix is taken as a sign of it being cached.
PREFIX_MEMORY_SECONDS = 20.0

# The most prefixes that are remembered for one endpoint.
PREFIXES_LIMIT = 512

# Failures in a row that eject an endpoint.
FAILURES_LIMIT = 3

# An endpoint that takes this many times its pool's median is ejected.
SLOW_FACTOR = 4.0

# Own measurements needed before an endpoint may be called slow.
SLOW_SAMPLES = 8

# The first ejection's length; it doubles with each further one, in seconds.
EJECTION_SECONDS = 1.0
EJECTION_SECONDS_LIMIT = 16.0

# The largest share of the candidates that may be ejected at once.
EJECTED_SHARE_LIMIT = 0.5

# Successful probes after which an ejected endpoint is trusted again.
PROBES_NEEDED = 2

OUTCOMES = frozenset({"ok", "refused", "failed", "slow"})


class Choice(NamedTuple):
    """The endpoint chosen, and when the attempt should be complete there."""

    endpoint: str
    expected_seconds: float


class _Return(NamedTuple):
    sent_at: float
    ended_at: float


class EndpointView:
    """What one entry knows of one endpoint.

    Attributes:
        name: the endpoint's name.
        pool: its pool; empty until a report came.
        data_centre: where it runs; empty until a report came.
        heartbeat: the last report, or None.
        made_at: when the load in that report was measured.
        in_flight: own attempts that have not ended, with when they were sent.
        reported_own: own attempts that the last report has counted.
        ejected_until: no new work before that time; 0 if trusted.
    """

    def __init__(self, name: str):
        self.name = name
        self.pool = ""
        self.data_centre = ""
        self.heartbeat: messages.Heartbeat | None = None
        self.made_at = 0.0
        self.in_flight: dict[str, float] = {}
        self.reported_own = 0
        self.ejected_until = 0.0
        self._returns: list[_Return] = []
        self._service_seconds = 0.0
        self._samples = 0
        self._failures = 0
        self._ejections = 0
        self._probes_left = 0
        self._prefixes: dict[str, float] = {}

    def note_report(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Takes in a heartbeat that has just arrived."""
        self.heartbeat = heartbeat
        self.made_at = now - heartbeat.load_age_ms / 1000
        self._returns = [
            item for item in self._returns if item.ended_at > self.made_at
        ]
        self.reported_own = self._count_reported_own()

    def note_sent(self, attempt: str, prefix: str, now: float) -> None:
        """Takes in that an attempt has been handed over."""
        self.in_flight[attempt] = now
        if not prefix:
            return
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = now
        if len(self._prefixes) > PREFIXES_LIMIT:
            del self._prefixes[next(iter(self._prefixes))]

    def note_ended(
        self,
        attempt: str,
        now: float,
        service_seconds: float | None,
        outcome: str,
    ) -> None:
        """Takes in how an attempt ended."""
        sent_at = self.in_flight.pop(attempt, None)
        if sent_at is not None:
            self._returns.append(_Return(sent_at, now))
        if service_seconds is not None and outcome in ("ok", "slow"):
            self._smooth_service(service_seconds)
        if outcome == "ok":
            self._note_success()
        elif outcome == "failed":
            self._note_failure(now)

    def read_load(self) -> int:
        """Returns the load of the last report as it stands."""
        if self.heartbeat is None:
            return len(self.in_flight)
        return self.heartbeat.running + self.heartbeat.waiting

    def read_others_load(self) -> int:
        """Returns the other entries' part of the reported load."""
        if self.heartbeat is None:
            return 0
        return max(0, self.read_load() - self.reported_own)

    def read_service_seconds(self) -> float | None:
        """Returns the measured time of one attempt there; None if unknown."""
        if self.heartbeat is not None and self.heartbeat.service_ms > 0:
            return self.heartbeat.service_ms / 1000
        return self._service_seconds if self._samples else None

    def has_enough_samples(self) -> bool:
        """Returns whether its speed may be compared with others'."""
        return self._samples >= SLOW_SAMPLES

    def read_limit(self) -> int:
        """Returns how many attempts the sidecar lets run at once."""
        if self.heartbeat is None or self.heartbeat.limit <= 0:
            return DEFAULT_LIMIT
        return self.heartbeat.limit

    def takes_work(self) -> bool:
        """Returns whether its last report allows new work."""
        if self.heartbeat is None:
            return True
        return self.heartbeat.healthy and not self.heartbeat.leaving

    def has_prefix(self, prefix: str, now: float) -> bool:
        """Returns whether the prefix is likely to be cached there.

        Cache events come late and with gaps, so an own recent send counts
        as well as the report.
        """
        if not prefix:
            return False
        if self.heartbeat is not None and prefix in self.heartbeat.prefixes:
            return True
        sent_at = self._prefixes.get(prefix)
        return sent_at is not None and now - sent_at < PREFIX_MEMORY_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Returns whether it is out, or on probation with a probe under way."""
        if now < self.ejected_until:
            return True
        return self._probes_left > 0 and bool(self.in_flight)

    def eject(self, now: float) -> None:
        """Takes it out; each further time for twice as long."""
        seconds = EJECTION_SECONDS * 2**self._ejections
        self.ejected_until = now + min(seconds, EJECTION_SECONDS_LIMIT)
        self._ejections = min(self._ejections + 1, 8)
        self._probes_left = PROBES_NEEDED
        self._samples = 0

    def _count_reported_own(self) -> int:
        """Returns the own attempts in the report; it holds until the next."""
        present = sum(at <= self.made_at for at in self.in_flight.values())
        returned = sum(item.sent_at <= self.made_at for item in self._returns)
        return present + returned

    def _smooth_service(self, seconds: float) -> None:
        weight = max(SERVICE_WEIGHT, 1 / (self._samples + 1))
        self._service_seconds += weight * (seconds - self._service_seconds)
        self._samples += 1

    def _note_success(self) -> None:
        self._failures = 0
        self._probes_left = max(0, self._probes_left - 1)
        if self._probes_left == 0 and self._samples > SLOW_SAMPLES:
            self._ejections = 0

    def _note_failure(self, now: float) -> None:
        self._failures += 1
        if self._failures >= FAILURES_LIMIT or self._probes_left:
            self.eject(now)


class Question(NamedTuple):
    """One choice to be made, as a policy sees it.

    Attributes:
        views: the candidates, at least one, in a fixed order.
        data_centre: where the entry runs.
        prefix: digest of the prompt's prefix; empty if there is none.
        turn: the number of choices made before.
    """

    views: Sequence[EndpointView]
    data_centre: str
    prefix: str
    turn: int


Policy = Callable[[Question, float, random.Random], EndpointView]

_policies: registry.Registry[Policy] = registry.Registry("routing policy")
register = _policies.register
list_policies = _policies.list_names


@register("random")
def choose_random(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """Baseline: any candidate."""
    return rng.choice(question.views)


@register("round_robin")
def choose_in_turn(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """Baseline: each candidate in turn."""
    return question.views[question.turn % len(question.views)]


@register("least_reported")
def choose_least_reported(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """Baseline: the lowest load of the last reports."""
    return min(question.views, key=lambda v: (v.read_load(), rng.random()))


@register("power_of_two")
def choose_of_two(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """Baseline: the one with less reported load of two (Mitzenmacher)."""
    pair = rng.sample(question.views, min(2, len(question.views)))
    return min(pair, key=lambda v: v.read_load())


@register("expected_completion")
def choose_by_completion(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """The earliest expected completion among a few candidates."""
    estimates = estimate_endpoints(question.views, now)
    return _choose_earliest(question, estimates, now, rng)


@register("expected_completion_unadjusted")
def choose_by_reported_completion(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """The same without the delay adjustment, to measure what it gives."""
    estimates = read_endpoints(question.views)
    return _choose_earliest(question, estimates, now, rng)


class Estimate(NamedTuple):
    """What is expected of an endpoint.

    Attributes:
        view: the endpoint.
        load: attempts that it has now, running and waiting.
        service_seconds: the time of one attempt.
    """

    view: EndpointView
    load: float
    service_seconds: float


def estimate_endpoints(
    views: Sequence[EndpointView], now: float
) -> list[Estimate]:
    """Returns what is expected of each endpoint of a pool at present.

    Own attempts are known exactly: the report is adjusted by those sent and
    returned since it was made. The other entries' part of the load can only
    be as old as the report. With its age it is drawn towards the pool's
    mean, as what one endpoint had too many of has been served by then, and
    it grows as this entry's own load has grown.
    """
    services = _estimate_services(views)
    others = [view.read_others_load() for view in views]
    mean = sum(others) / max(1, len(others))
    growth = _estimate_growth(views)
    estimates = []
    for view, service, other in zip(views, services, others, strict=True):
        age = max(0.0, now - view.made_at)
        trust = math.exp(-age / service) if view.heartbeat else 0.0
        part = mean + trust * (other - mean)
        load = len(view.in_flight) + growth * part
        estimates.append(Estimate(view, load, service))
    return estimates


def read_endpoints(views: Sequence[EndpointView]) -> list[Estimate]:
    """Returns the same as the last reports have it, without adjustment."""
    services = _estimate_services(views)
    return [
        Estimate(view, float(view.read_load()), service)
        for view, service in zip(views, services, strict=True)
    ]


def estimate_seconds(
    estimate: Estimate,
    data_centre: str,
    prefix: str,
    now: float,
    prefix_share: float = PREFIX_SAVING_SHARE,
) -> float:
    """Returns when an attempt sent now would be complete, in seconds.

    Args:
        estimate: what is expected of the endpoint.
        data_centre: where the entry runs.
        prefix: digest of the prompt's prefix; empty if there is none.
        now: the present time.
        prefix_share: the part of the service time that a cached prefix
            counts for.
    """
    view = estimate.view
    limit = view.read_limit()
    service = estimate.service_seconds
    wait = max(0.0, estimate.load - limit + 1) * service / limit
    busy = min(1.0, estimate.load / limit)
    service *= 1 + CONCURRENCY_SLOWDOWN * (busy - 1)
    if view.has_prefix(prefix, now):
        service *= 1 - prefix_share
    if view.data_centre == data_centre:
        distance = LOCAL_DISTANCE_SECONDS
    else:
        distance = REMOTE_DISTANCE_SECONDS
    return wait + service + 2 * distance


def _estimate_services(views: Sequence[EndpointView]) -> list[float]:
    """Returns service times, with what is unknown taken from the others.

    Differences within the noise count as none.
    """
    times = [view.read_service_seconds() for view in views]
    known = sorted(seconds for seconds in times if seconds is not None)
    median = known[len(known) // 2] if known else DEFAULT_SERVICE_SECONDS
    return [
        median if seconds is None or _is_noise(seconds / median) else seconds
        for seconds in times
    ]


def _is_noise(ratio: float) -> bool:
    return 1 / SPEED_NOISE_FACTOR <= ratio <= SPEED_NOISE_FACTOR


def _estimate_growth(views: Sequence[EndpointView]) -> float:
    """Returns this entry's load as a factor on what was last reported."""
    present = sum(len(view.in_flight) for view in views)
    reported = sum(view.reported_own for view in views)
    growth = (present + GROWTH_PRIOR) / (reported + GROWTH_PRIOR)
    return min(GROWTH_LIMIT, growth)


class Router:
    """Chooses endpoints for one entry.

    Args:
        policy: the name of a registered policy.
        data_centre: where the entry runs.
        rng: the source of all its random draws.

    Raises:
        ValueError: no policy of that name is registered.
    """

    def __init__(self, policy: str, data_centre: str, rng: random.Random):
        self._policy = _policies.get(policy)
        self._data_centre = data_centre
        self._rng = rng
        self._views: dict[str, EndpointView] = {}
        self._turn = 0

    def note_report(
        self,
        endpoint: str,
        pool: str,
        data_centre: str,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Takes in a sidecar's heartbeat that has just arrived."""
        view = self._get_view(endpoint)
        view.pool = pool
        view.data_centre = data_centre
        view.note_report(heartbeat, now)

    def note_sent(
        self, endpoint: str, attempt: str, now: float, *, prefix: str = ""
    ) -> None:
        """Takes in that an attempt is being handed over."""
        self._get_view(endpoint).note_sent(attempt, prefix, now)

    def note_ended(
        self,
        endpoint: str,
        attempt: str,
        now: float,
        service_seconds: float | None,
        outcome: str,
    ) -> None:
        """Takes in how an attempt ended.

        Args:
            endpoint: where it was handed over.
            attempt: its id.
            now: the present time.
            service_seconds: the time that the endpoint worked on it; None
                if unknown.
            outcome: `ok`, `refused` (nothing ran), `failed`, or `slow`
                (given up because it took too long).
        """
        if outcome not in OUTCOMES:
            raise ValueError(f"unknown outcome {outcome!r}")
        view = self._views.get(endpoint)
        if view is None:
            return
        view.note_ended(attempt, now, service_seconds, outcome)
        if outcome in ("ok", "slow"):
            self._eject_if_slow(view, now)

    def forget(self, endpoint: str) -> None:
        """Drops what is known of an endpoint that is gone."""
        self._views.pop(endpoint, None)

    def choose(
        self,
        candidates: Sequence[str],
        now: float,
        *,
        prefix: str = "",
        exclude: Collection[str] = frozenset(),
        remaining_seconds: float = float("inf"),
    ) -> Choice | None:
        """Returns where to send an attempt, or None if nothing takes it.

        Args:
            candidates: the endpoints that could run it.
            now: the present time.
            prefix: digest of the prompt's prefix; empty if there is none.
            exclude: endpoints not to be used, such as those tried before.
            remaining_seconds: time left before the deadline; no choice is
                made when there is none.
        """
        usable = [name for name in candidates if name not in exclude]
        views = self._select(usable, now)
        if not views or remaining_seconds <= 0:
            return None
        question = Question(views, self._data_centre, prefix, self._turn)
        self._turn += 1
        view = self._policy(question, now, self._rng)
        return Choice(view.name, self._estimate(views, prefix, now)[view.name])

    def expect_seconds(
        self, candidates: Sequence[str], now: float, *, prefix: str = ""
    ) -> float:
        """Returns the best candidate's expected completion, in seconds.

        Infinite if nothing takes work.
        """
        views = self._select(candidates, now)
        times = self._estimate(views, prefix, now).values()
        return min(times, default=float("inf"))

    def dump(self, now: float) -> dict[str, dict]:
        """Returns what is known of each endpoint, for people."""
        return {
            view.name: {
                "pool": view.pool,
                "data_centre": view.data_centre,
                "reported_load": view.read_load(),
                "in_flight": len(view.in_flight),
                "service_seconds": view.read_service_seconds(),
                "ejected": view.is_ejected(now),
            }
            for view in self._views.values()
        }

    def _estimate(
        self, views: Sequence[EndpointView], prefix: str, now: float
    ) -> dict[str, float]:
        return {
            estimate.view.name: estimate_seconds(
                estimate, self._data_centre, prefix, now
            )
            for estimate in estimate_endpoints(views, now)
        }

    def _get_view(self, endpoint: str) -> EndpointView:
        view = self._views.get(endpoint)
        if view is None:
            view = self._views[endpoint] = EndpointView(endpoint)
        return view

    def _select(self, names: Sequence[str], now: float) -> list[EndpointView]:
        views = [self._get_view(name) for name in names]
        views = [view for view in views if view.takes_work()]
        trusted = [view for view in views if not view.is_ejected(now)]
        needed = len(views) - int(len(views) * EJECTED_SHARE_LIMIT)
        if len(trusted) >= needed:
            return trusted
        out = [view for view in views if view.is_ejected(now)]
        out.sort(key=lambda view: view.ejected_until)
        return trusted + out[: needed - len(trusted)]

    def _eject_if_slow(self, view: EndpointView, now: float) -> None:
        peers = sorted(
            other.read_service_seconds() or 0.0
            for other in self._views.values()
            if other.pool == view.pool and other.has_enough_samples()
        )
        if len(peers) < 3 or not view.has_enough_samples():
            return
        median = peers[len(peers) // 2]
        if (view.read_service_seconds() or 0.0) > SLOW_FACTOR * median:
            view.eject(now)


def _choose_earliest(
    question: Question,
    estimates: Sequence[Estimate],
    now: float,
    rng: random.Random,
) -> EndpointView:
    sampled = _sample(question, now, rng)
    places = (item for item in estimates if item.view in sampled)
    earliest = min(
        places,
        key=lambda item: (
            estimate_seconds(
                item,
                question.data_centre,
                question.prefix,
                now,
                PREFIX_PREFERENCE_SHARE,
            ),
            rng.random(),
        ),
    )
    return earliest.view


def _sample(
    question: Question, now: float, rng: random.Random
) -> list[EndpointView]:
    """Draws a few candidates, and those that have the prefix cached.

    When every entry takes the one best candidate of the same report, all
    send to it until the next report: sampling keeps them apart.
    """
    size = min(SAMPLE_SIZE, len(question.views))
    sampled = rng.sample(question.views, size)
    for view in question.views:
        if view not in sampled and view.has_prefix(question.prefix, now):
            sampled.append(view)
    return sampled
