"""Routing: which endpoint gets an attempt.

A `Router` belongs to one entry. It learns from the sidecars' heartbeats,
which lag, and from what this entry itself has sent and got back. It does no
I/O and reads no clock: `now` is in monotonic seconds.

The adjustment of a lagging report by what has changed since it was made
follows equations (10) and (12) of Deng and Lau, "On Delay Adjustment for
Dynamic Load Balancing in Distributed Virtual Environments" (TVCG 2012),
with the known part of the change: this entry's own sends and returns.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from samphirevale import messages

# Distance, one way, inside a data centre and between two, in seconds.
LOCAL_DISTANCE_SECONDS = 0.0003
REMOTE_DISTANCE_SECONDS = 0.0015

# How many candidates `expected_completion` compares.
SAMPLE_SIZE = 3

# What is taken for an endpoint that has not told it yet.
DEFAULT_LIMIT = 8
DEFAULT_SERVICE_SECONDS = 0.2

# Weight of a new measurement in the smoothed service time.
SERVICE_WEIGHT = 0.2

# The share of an attempt's service time that a cached prefix saves.
PREFIX_SAVING_SHARE = 0.3

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
        ejected_until: no new work before that time; 0 if trusted.
    """

    def __init__(self, name: str):
        self.name = name
        self.pool = ""
        self.data_centre = ""
        self.heartbeat: messages.Heartbeat | None = None
        self.made_at = 0.0
        self.in_flight: dict[str, float] = {}
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

    def estimate_load(self) -> int:
        """Returns the reported load, adjusted by own sends and returns."""
        if self.heartbeat is None:
            return len(self.in_flight)
        sent = sum(at > self.made_at for at in self.in_flight.values())
        returned = sum(
            item.sent_at <= self.made_at < item.ended_at
            for item in self._returns
        )
        return max(0, self.read_load() + sent - returned)

    def read_service_seconds(self) -> float:
        """Returns the measured time of one attempt at the endpoint."""
        if self.heartbeat is not None and self.heartbeat.service_ms > 0:
            return self.heartbeat.service_ms / 1000
        if self._samples:
            return self._service_seconds
        return DEFAULT_SERVICE_SECONDS

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

_policies: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Makes a function a routing policy under `name`."""

    def add(policy: Policy) -> Policy:
        _policies[name] = policy
        return policy

    return add


def list_policies() -> list[str]:
    """Returns the names of all registered policies."""
    return sorted(_policies)


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
    return _choose_earliest(question, now, rng, adjusted=True)


@register("expected_completion_unadjusted")
def choose_by_reported_completion(
    question: Question, now: float, rng: random.Random
) -> EndpointView:
    """The same without the delay adjustment, to measure what it gives."""
    return _choose_earliest(question, now, rng, adjusted=False)


def estimate_seconds(
    view: EndpointView,
    data_centre: str,
    prefix: str,
    now: float,
    *,
    adjusted: bool = True,
) -> float:
    """Returns when an attempt sent now would be complete, in seconds."""
    load = view.estimate_load() if adjusted else view.read_load()
    limit = view.read_limit()
    service = view.read_service_seconds()
    wait = max(0, load - limit + 1) * service / limit
    if view.has_prefix(prefix, now):
        service *= 1 - PREFIX_SAVING_SHARE
    if view.data_centre == data_centre:
        distance = LOCAL_DISTANCE_SECONDS
    else:
        distance = REMOTE_DISTANCE_SECONDS
    return wait + service + 2 * distance


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
        if policy not in _policies:
            raise ValueError(f"unknown routing policy {policy!r}")
        self._policy = _policies[policy]
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
        return Choice(view.name, self._estimate(view, prefix, now))

    def expect_seconds(
        self, candidates: Sequence[str], now: float, *, prefix: str = ""
    ) -> float:
        """Returns the best candidate's expected completion, in seconds.

        Infinite if nothing takes work.
        """
        views = self._select(candidates, now)
        times = (self._estimate(view, prefix, now) for view in views)
        return min(times, default=float("inf"))

    def dump(self, now: float) -> dict[str, dict]:
        """Returns what is known of each endpoint, for people."""
        return {
            view.name: {
                "pool": view.pool,
                "data_centre": view.data_centre,
                "load": view.estimate_load(),
                "in_flight": len(view.in_flight),
                "expected_seconds": self._estimate(view, "", now),
                "ejected": view.is_ejected(now),
            }
            for view in self._views.values()
        }

    def _estimate(self, view: EndpointView, prefix: str, now: float) -> float:
        return estimate_seconds(view, self._data_centre, prefix, now)

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
            other.read_service_seconds()
            for other in self._views.values()
            if other.pool == view.pool and other.has_enough_samples()
        )
        if len(peers) < 3 or not view.has_enough_samples():
            return
        median = peers[len(peers) // 2]
        if view.read_service_seconds() > SLOW_FACTOR * median:
            view.eject(now)


def _choose_earliest(
    question: Question, now: float, rng: random.Random, *, adjusted: bool
) -> EndpointView:
    sampled = _sample(question, now, rng)
    return min(
        sampled,
        key=lambda view: estimate_seconds(
            view,
            question.data_centre,
            question.prefix,
            now,
            adjusted=adjusted,
        ),
    )


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
