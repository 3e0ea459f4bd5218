"""The sidecar's concurrency limit and the queue of attempts before it.

No I/O and no clock: `now` and `deadline_at` are in monotonic seconds. The
sidecar offers what entries hand over, takes what may start, and asks
regularly what is to be dropped.
"""

import collections
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from samphirevale import registry

# Service time that is assumed until one has been measured, in seconds.
DEFAULT_SERVICE_SECONDS = 0.1

# Weight of a new measurement in the smoothed service time.
SERVICE_WEIGHT = 0.1

# The service times that quantiles are taken over: the most recent ones.
SERVICE_SAMPLES = 64

# An attempt is dropped when less time is left than this quantile of the
# recent service times: it would most likely be wasted work.
LATE_QUANTILE = 0.25

# One that has less than this quantile left starts only when none that waits
# has more.
SAFE_QUANTILE = 0.9

# A slower answer than this many times the usual lowers an adaptive limit.
LATENCY_TOLERANCE = 2.0

# Factor of one decrease of the limit by `aimd`.
DECREASE_FACTOR = 0.9

# Weight of a new measurement in the usual and in the present latency.
LONG_WEIGHT = 0.005
SHORT_WEIGHT = 0.1

# Weight of a new value in the limit that `gradient` sets.
GRADIENT_WEIGHT = 0.2


class Limiter(Protocol):
    """Decides how many attempts may run at once.

    Attributes:
        limit: the present limit, at least 1.
    """

    limit: int

    def note_service(self, seconds: float, running: int) -> None:
        """Takes in one attempt's time and how many ran beside it."""


# Each is built with its maximum.
_limiters: registry.Registry[Callable[[int], Limiter]] = registry.Registry(
    "limit policy"
)
register = _limiters.register
list_policies = _limiters.list_names


def build_limiter(name: str, maximum: int) -> Limiter:
    """Returns a new limiter.

    Raises:
        ValueError: no limiter of that name is registered.
    """
    return _limiters.get(name)(maximum)


@register("fixed")
class FixedLimiter:
    """Baseline: always the maximum."""

    def __init__(self, maximum: int):
        self.limit = maximum

    def note_service(self, seconds: float, running: int) -> None:
        """Changes nothing."""


class _Latency:
    """A latency, smoothed over a short and over a long time."""

    def __init__(self):
        self.short = 0.0
        self.long = 0.0

    def note(self, seconds: float) -> None:
        if not self.long:
            self.short = self.long = seconds
        self.short += SHORT_WEIGHT * (seconds - self.short)
        self.long += LONG_WEIGHT * (seconds - self.long)
        if self.long > self.short:
            self.long = self.short


@register("aimd")
class AdditiveLimiter:
    """Additive increase while it is used up, decrease by a factor when slow."""

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._exact = float(maximum)
        self._latency = _Latency()
        self._since_decrease = 0

    @property
    def limit(self) -> int:
        """The present limit."""
        return int(self._exact)

    def note_service(self, seconds: float, running: int) -> None:
        """Lowers the limit at most once for each limit's worth of answers."""
        self._latency.note(seconds)
        self._since_decrease += 1
        slow = self._latency.short > LATENCY_TOLERANCE * self._latency.long
        if slow and self._since_decrease >= self.limit:
            self._exact = max(1.0, self._exact * DECREASE_FACTOR)
            self._since_decrease = 0
        elif not slow and running >= self.limit:
            self._exact = min(self._maximum, self._exact + 1 / self._exact)


@register("gradient")
class GradientLimiter:
    """The limit follows usual over present latency, plus a small reserve."""

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._exact = float(maximum)
        self._latency = _Latency()

    @property
    def limit(self) -> int:
        """The present limit."""
        return int(self._exact)

    def note_service(self, seconds: float, running: int) -> None:
        """Moves the limit a step towards its present target."""
        self._latency.note(seconds)
        ratio = LATENCY_TOLERANCE * self._latency.long / self._latency.short
        gradient = min(1.0, max(0.5, ratio))
        target = self._exact * gradient + math.sqrt(self._exact)
        if gradient >= 1.0 and running < self.limit:
            target = self._exact
        self._exact += GRADIENT_WEIGHT * (target - self._exact)
        self._exact = min(float(self._maximum), max(1.0, self._exact))


class Accepted(NamedTuple):
    """The queue holds the attempt now."""


class Refused(NamedTuple):
    """The queue does not hold the attempt.

    Attributes:
        reason: `overloaded`, `late` or `duplicate`.
        retry_after_ms: when it may be worth asking again.
    """

    reason: str
    retry_after_ms: int


class Dropped(NamedTuple):
    """A waiting attempt was removed before it could start.

    Attributes:
        attempt: its id.
        reason: `late` (its deadline can no longer be met) or `overloaded`
            (its place went to an account that holds fewer).
        retry_after_ms: when it may be worth asking again.
    """

    attempt: str
    reason: str
    retry_after_ms: int


class _Entry(NamedTuple):
    attempt: str
    account: str
    priority: int
    deadline_at: float


class AttemptQueue:
    """The attempts that wait at one endpoint, and those that it runs.

    Args:
        policy: the name of a registered limiter.
        concurrency_limit: most attempts that run at once.
        queue_limit: most attempts that wait.
    """

    def __init__(self, policy: str, concurrency_limit: int, queue_limit: int):
        self._limiter = build_limiter(policy, concurrency_limit)
        self._queue_limit = queue_limit
        self._waiting: dict[str, _Entry] = {}
        self._running: dict[str, _Entry] = {}
        self._started_at: dict[str, float] = {}
        self._now = 0.0
        self._dropped: list[Dropped] = []
        self._served: dict[str, float] = {}
        self._service_seconds = DEFAULT_SERVICE_SECONDS
        self._measured = False
        self._recent: collections.deque[float] = collections.deque(
            maxlen=SERVICE_SAMPLES
        )

    @property
    def running(self) -> int:
        """Attempts that run now."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Attempts that wait now."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Attempts that may run at once."""
        return self._limiter.limit

    @property
    def service_ms(self) -> float:
        """The time of one attempt in ms; 0 until measured.

        The smoothed time of those that ended, or the mean age of those that
        run when that is longer: an endpoint that has become slow shows it
        before the first slow attempt ends.
        """
        if not self._measured:
            return 0.0
        return 1000 * max(self._service_seconds, self._read_mean_age())

    def offer(
        self,
        attempt: str,
        account: str,
        priority: int,
        deadline_at: float,
        now: float,
    ) -> Accepted | Refused:
        """Takes an attempt into the queue, or says at once why not.

        `overloaded` and `late` mean that nothing of it has run.
        """
        if attempt in self._waiting or attempt in self._running:
            return Refused("duplicate", 0)
        wait = self._estimate_wait(self._count_before(account, priority))
        if now + wait + self._read_needed() > deadline_at:
            return Refused("late", self._estimate_retry_ms())
        if self.waiting >= self._queue_limit and not self._evict_for(account):
            return Refused("overloaded", self._estimate_retry_ms())
        self._activate(account)
        self._waiting[attempt] = _Entry(attempt, account, priority, deadline_at)
        return Accepted()

    def take(self, now: float) -> str | None:
        """Returns the next attempt to start, or None.

        The most urgent priority first, then those that have time enough,
        then the account that was served least, then the order of arrival.
        Attempts that would be late are left for `expire`.
        """
        if self.running >= self.limit:
            return None
        self._drop_late(now)
        if not self._waiting:
            return None
        safe_at = now + self._read_quantile(SAFE_QUANTILE)
        entry = min(
            self._waiting.values(),
            key=lambda item: (
                item.priority,
                item.deadline_at < safe_at,
                self._served[item.account],
            ),
        )
        del self._waiting[entry.attempt]
        self._running[entry.attempt] = entry
        self._started_at[entry.attempt] = now
        self._served[entry.account] += self._service_seconds
        return entry.attempt

    def expire(self, now: float) -> list[Dropped]:
        """Returns the attempts dropped since the last call, each once."""
        self._now = now
        self._drop_late(now)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def list_overdue(self, now: float) -> list[str]:
        """Returns the running attempts whose deadline has passed.

        They stay in `running` until `note_ended`: the endpoint still works
        on them until it has been told to stop.
        """
        return [
            entry.attempt
            for entry in self._running.values()
            if entry.deadline_at <= now
        ]

    def note_ended(
        self, attempt: str, now: float, service_seconds: float | None
    ) -> None:
        """Frees a running attempt's place.

        Args:
            attempt: its id; one that does not run changes nothing.
            now: the present time.
            service_seconds: the time that the endpoint worked on it; None
                where that says nothing of its speed (failed, cancelled).
        """
        self._now = now
        started_at = self._started_at.pop(attempt, now)
        entry = self._running.pop(attempt, None)
        if entry is None or service_seconds is None:
            return
        # What is waited for past its deadline would count for many others.
        most = max(entry.deadline_at - started_at, 0.0)
        service_seconds = min(service_seconds, most)
        running = self.running + 1
        self._limiter.note_service(service_seconds, running)
        charged = service_seconds - self._service_seconds
        self._served[entry.account] += charged
        self._smooth_service(service_seconds)

    def cancel(self, attempt: str) -> bool:
        """Removes a waiting attempt; returns False if it does not wait."""
        return self._waiting.pop(attempt, None) is not None

    def estimate_wait_ms(self, now: float) -> float:
        """Returns how long a new attempt would wait, in ms."""
        self._now = now
        return 1000 * self._estimate_wait(self.waiting)

    def _read_mean_age(self) -> float:
        """Returns how long the running attempts have run, on average.

        Those past their deadline are left out: a call that hangs for long
        says nothing more of what a new one would take.
        """
        ages = [
            self._now - started_at
            for attempt, started_at in self._started_at.items()
            if self._running[attempt].deadline_at > self._now
        ]
        return sum(ages) / len(ages) if ages else 0.0

    def _smooth_service(self, seconds: float) -> None:
        self._recent.append(seconds)
        if not self._measured:
            self._measured = True
            self._service_seconds = seconds
        change = seconds - self._service_seconds
        self._service_seconds += SERVICE_WEIGHT * change

    def _read_quantile(self, share: float) -> float:
        """Returns a quantile of the recent service times; 0 if unknown."""
        if not self._recent:
            return 0.0
        times = sorted(self._recent)
        return times[int(share * (len(times) - 1))]

    def _read_needed(self) -> float:
        """Returns the least time that an attempt is thought to need.

        None while nothing runs: an endpoint that has been slow shows by the
        next attempt whether it still is, and would get none otherwise.
        """
        return self._read_quantile(LATE_QUANTILE) if self._running else 0.0

    def _estimate_wait(self, before: int) -> float:
        ahead = self.running + before - self.limit + 1
        return max(0, ahead) * self._service_seconds / self.limit

    def _count_before(self, account: str, priority: int) -> int:
        """Returns how many waiting attempts would start before a new one."""
        urgent = 0
        counts: collections.Counter[str] = collections.Counter()
        for entry in self._waiting.values():
            if entry.priority < priority:
                urgent += 1
            elif entry.priority == priority:
                counts[entry.account] += 1
        own = counts[account]
        return urgent + sum(
            count if name == account else min(count, own + 1)
            for name, count in counts.items()
        )

    def _estimate_retry_ms(self) -> int:
        """Returns when half of what waits now will have started, in ms."""
        per_attempt = self._service_seconds / self.limit
        return max(1, round(1000 * per_attempt * (1 + self.waiting / 2)))

    def _drop_late(self, now: float) -> None:
        needed = self._read_needed()
        late = [
            entry.attempt
            for entry in self._waiting.values()
            if now + needed > entry.deadline_at
        ]
        for attempt in late:
            self._drop(attempt, "late")

    def _drop(self, attempt: str, reason: str) -> None:
        del self._waiting[attempt]
        dropped = Dropped(attempt, reason, self._estimate_retry_ms())
        self._dropped.append(dropped)

    def _evict_for(self, account: str) -> bool:
        """Drops the newest attempt of whoever holds most of the queue."""
        counts = collections.Counter(
            entry.account for entry in self._waiting.values()
        )
        if not counts:
            return False
        largest, count = counts.most_common(1)[0]
        if count <= counts[account] + 1:
            return False
        newest = [
            entry.attempt
            for entry in self._waiting.values()
            if entry.account == largest
        ][-1]
        self._drop(newest, "overloaded")
        return True

    def _activate(self, account: str) -> None:
        """Lets an account that was idle start level with the others.

        Time in which it asked for nothing gives it no credit.
        """
        active = {entry.account for entry in self._waiting.values()}
        active.update(entry.account for entry in self._running.values())
        if account in active:
            return
        floor = min((self._served[name] for name in active), default=0.0)
        self._served[account] = max(self._served.get(account, 0.0), floor)
        if not active:
            self._served = {account: 0.0}
