"""The queue of attempts of a sidecar.

The sidecar offers each handover to its `AttemptQueue`, takes the attempts that
may start, and regularly collects those that were dropped. The module does no
I/O and reads no clock: `now` and `deadline_at` are in monotonic seconds.
"""

import collections
from typing import NamedTuple

from samphirevale import limits

# Service time assumed before the first measurement.
DEFAULT_SERVICE_SECONDS = 0.1

# Weight of a new measurement in the moving average of the service time.
SERVICE_WEIGHT = 0.1

# Number of the most recent service times from which quantiles are computed.
SERVICE_SAMPLES = 64

# A waiting attempt is dropped if its remaining time is below this quantile of
# the recent service times, since its work would most likely be wasted.
LATE_QUANTILE = 0.25

# An attempt whose remaining time is below this quantile only starts if no
# waiting attempt of its priority has more time.
SAFE_QUANTILE = 0.9


class Accepted(NamedTuple):
    """The attempt was added to the queue."""


class Refused(NamedTuple):
    """The attempt was not added to the queue.

    Attributes:
        reason: `overloaded`, `late` or `duplicate`.
        retry_after_ms: delay before a retry, in ms.
    """

    reason: str
    retry_after_ms: int


class Dropped(NamedTuple):
    """A waiting attempt was removed before it could start.

    Attributes:
        attempt: the attempt's id.
        reason: `late` (the deadline can no longer be met) or `overloaded`
            (evicted for an account with fewer waiting attempts).
        retry_after_ms: delay before a retry, in ms.
    """

    attempt: str
    reason: str
    retry_after_ms: int


class _QueuedAttempt(NamedTuple):
    attempt: str
    account: str
    priority: int
    deadline_at: float


class AttemptQueue:
    """The waiting and running attempts of one endpoint.

    Args:
        policy: the name of a registered limiter.
        concurrency_limit: maximum number of running attempts.
        queue_limit: maximum number of waiting attempts.
    """

    def __init__(self, policy: str, concurrency_limit: int, queue_limit: int):
        self._limiter = limits.build_limiter(policy, concurrency_limit)
        self._queue_limit = queue_limit
        self._waiting: dict[str, _QueuedAttempt] = {}
        self._running: dict[str, _QueuedAttempt] = {}
        self._started_at: dict[str, float] = {}
        self._now = 0.0
        self._dropped: list[Dropped] = []
        self._served_seconds: dict[str, float] = {}
        self._service_seconds = DEFAULT_SERVICE_SECONDS
        self._has_measurement = False
        self._recent_service_seconds: collections.deque[float] = (
            collections.deque(maxlen=SERVICE_SAMPLES)
        )

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting attempts."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Maximum number of running attempts at present."""
        return self._limiter.limit

    @property
    def service_ms(self) -> float:
        """Service time of one attempt in ms; 0 before the first measurement.

        This is the moving average over the attempts that ended, or the mean
        age of the running ones if that is longer. The age reveals an endpoint
        that has become slow before its first slow attempt ends.
        """
        if not self._has_measurement:
            return 0.0
        return 1000 * max(self._service_seconds, self._compute_mean_age())

    def offer(
        self,
        attempt: str,
        account: str,
        priority: int,
        deadline_at: float,
        now: float,
    ) -> Accepted | Refused:
        """Adds an attempt to the queue, or refuses it at once.

        After a refusal as `overloaded` or `late`, nothing of the attempt has
        run.

        Args:
            attempt: the attempt's id.
            account: the client account.
            priority: the priority; lower values start first.
            deadline_at: the attempt's deadline, in monotonic seconds.
            now: the present time.
        """
        if attempt in self._waiting or attempt in self._running:
            return Refused("duplicate", 0)
        wait = self._estimate_wait(self._count_ahead(account, priority))
        if now + wait + self._estimate_needed_seconds() > deadline_at:
            return Refused("late", self._estimate_retry_ms())
        if self.waiting >= self._queue_limit and not self._evict_for(account):
            return Refused("overloaded", self._estimate_retry_ms())
        self._activate_account(account)
        self._waiting[attempt] = _QueuedAttempt(
            attempt, account, priority, deadline_at
        )
        return Accepted()

    def start_next(self, now: float) -> str | None:
        """Moves the next attempt from waiting to running.

        Attempts are ordered by priority, then by whether they have enough
        time left, then by the account with the least service so far, then by
        arrival. Attempts that would be late are dropped, and
        `collect_dropped` returns them.

        Returns:
            The attempt's id; None if none may start.
        """
        if self.running >= self.limit:
            return None
        self._drop_late(now)
        if not self._waiting:
            return None
        safe_at = now + self._compute_quantile(SAFE_QUANTILE)
        chosen = min(
            self._waiting.values(),
            key=lambda queued: (
                queued.priority,
                queued.deadline_at < safe_at,
                self._served_seconds[queued.account],
            ),
        )
        del self._waiting[chosen.attempt]
        self._running[chosen.attempt] = chosen
        self._started_at[chosen.attempt] = now
        self._served_seconds[chosen.account] += self._service_seconds
        return chosen.attempt

    def collect_dropped(self, now: float) -> list[Dropped]:
        """Drops late attempts; returns all dropped since the last call."""
        self._now = now
        self._drop_late(now)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def list_overdue(self, now: float) -> list[str]:
        """Returns the running attempts whose deadline has passed.

        They count as running until `record_end`, since the endpoint works on
        them until the call is cancelled.
        """
        return [
            queued.attempt
            for queued in self._running.values()
            if queued.deadline_at <= now
        ]

    def record_end(
        self, attempt: str, now: float, service_seconds: float | None
    ) -> None:
        """Removes a running attempt and records its service time.

        Args:
            attempt: the attempt's id; without effect if it is not running.
            now: the present time.
            service_seconds: how long the endpoint worked on the attempt; None
                if the attempt failed or was cancelled, as its time says
                nothing about the endpoint's speed.
        """
        self._now = now
        started_at = self._started_at.pop(attempt, now)
        ended = self._running.pop(attempt, None)
        if ended is None or service_seconds is None:
            return
        # A call that hung long past its deadline would distort the averages.
        limit_seconds = max(ended.deadline_at - started_at, 0.0)
        service_seconds = min(service_seconds, limit_seconds)
        running = self.running + 1
        self._limiter.record_service_time(service_seconds, running)
        correction = service_seconds - self._service_seconds
        self._served_seconds[ended.account] += correction
        self._update_service_average(service_seconds)

    def cancel(self, attempt: str) -> bool:
        """Removes a waiting attempt; returns False if it is not waiting."""
        return self._waiting.pop(attempt, None) is not None

    def estimate_wait_ms(self, now: float) -> float:
        """Returns the estimated queueing time of a new attempt, in ms."""
        self._now = now
        return 1000 * self._estimate_wait(self.waiting)

    def _compute_mean_age(self) -> float:
        """Returns the mean age of the running attempts, in seconds.

        Attempts past their deadline are left out, since the age of a call
        that hangs does not predict how long a new one takes.
        """
        ages = [
            self._now - started_at
            for attempt, started_at in self._started_at.items()
            if self._running[attempt].deadline_at > self._now
        ]
        return sum(ages) / len(ages) if ages else 0.0

    def _update_service_average(self, seconds: float) -> None:
        self._recent_service_seconds.append(seconds)
        if not self._has_measurement:
            self._has_measurement = True
            self._service_seconds = seconds
        change = seconds - self._service_seconds
        self._service_seconds += SERVICE_WEIGHT * change

    def _compute_quantile(self, share: float) -> float:
        """Returns a quantile of the recent service times; 0 without any."""
        if not self._recent_service_seconds:
            return 0.0
        times = sorted(self._recent_service_seconds)
        return times[int(share * (len(times) - 1))]

    def _estimate_needed_seconds(self) -> float:
        """Returns the minimum time that an attempt probably needs, in seconds.

        It is 0 while nothing is running. Otherwise, an endpoint that was slow
        would get no further attempt, and nothing would show that it has
        recovered.
        """
        return self._compute_quantile(LATE_QUANTILE) if self._running else 0.0

    def _estimate_wait(self, waiting_ahead: int) -> float:
        ahead = self.running + waiting_ahead - self.limit + 1
        return max(0, ahead) * self._service_seconds / self.limit

    def _count_ahead(self, account: str, priority: int) -> int:
        """Returns how many waiting attempts would start before a new one.

        Accounts of the same priority start their attempts in rotation.
        """
        higher_priority = 0
        counts: collections.Counter[str] = collections.Counter()
        for queued in self._waiting.values():
            if queued.priority < priority:
                higher_priority += 1
            elif queued.priority == priority:
                counts[queued.account] += 1
        own = counts[account]
        return higher_priority + sum(
            count if name == account else min(count, own + 1)
            for name, count in counts.items()
        )

    def _estimate_retry_ms(self) -> int:
        """Returns the time until half of the queue has started, in ms."""
        per_attempt = self._service_seconds / self.limit
        return max(1, round(1000 * per_attempt * (1 + self.waiting / 2)))

    def _drop_late(self, now: float) -> None:
        needed = self._estimate_needed_seconds()
        late = [
            queued.attempt
            for queued in self._waiting.values()
            if now + needed > queued.deadline_at
        ]
        for attempt in late:
            self._drop(attempt, "late")

    def _drop(self, attempt: str, reason: str) -> None:
        del self._waiting[attempt]
        dropped = Dropped(attempt, reason, self._estimate_retry_ms())
        self._dropped.append(dropped)

    def _evict_for(self, account: str) -> bool:
        """Evicts the newest attempt of the account with the most waiting.

        Returns False without evicting if that account would then have fewer
        waiting attempts than the given one with its new attempt.
        """
        counts = collections.Counter(
            queued.account for queued in self._waiting.values()
        )
        if not counts:
            return False
        largest_account, count = counts.most_common(1)[0]
        if count <= counts[account] + 1:
            return False
        newest = [
            queued.attempt
            for queued in self._waiting.values()
            if queued.account == largest_account
        ][-1]
        self._drop(newest, "overloaded")
        return True

    def _activate_account(self, account: str) -> None:
        """Raises the recorded service of an account that was idle.

        The account gets at least the lowest value of the active accounts, so
        idle time does not give it credit over them. If no account is active,
        all records are reset.
        """
        active = {queued.account for queued in self._waiting.values()}
        active.update(queued.account for queued in self._running.values())
        if account in active:
            return
        floor = min(
            (self._served_seconds[name] for name in active), default=0.0
        )
        self._served_seconds[account] = max(
            self._served_seconds.get(account, 0.0), floor
        )
        if not active:
            self._served_seconds = {account: 0.0}
