"""The state that an entry keeps about each endpoint behind a sidecar.

It combines the sidecar's heartbeats, which are always somewhat out of date,
with the attempts that this entry itself has sent and completed. The module does
no I/O and reads no clock: `now` is in monotonic seconds.
"""

from typing import NamedTuple

from samphirevale import messages

# The concurrency limit assumed for an endpoint that has not reported its own.
DEFAULT_LIMIT = 8

# Weight of a new measurement in the moving average of the service time.
SERVICE_WEIGHT = 0.2

# How long a prefix counts as cached on an endpoint after this entry has sent
# an attempt with that prefix there.
PREFIX_RETENTION_SECONDS = 20.0

# Maximum number of recently sent prefixes kept for each endpoint.
PREFIXES_LIMIT = 512

# Number of consecutive failures after which an endpoint is ejected.
CONSECUTIVE_FAILURES_LIMIT = 3

# Minimum number of this entry's own measurements before an endpoint may be
# classed as slow.
SLOW_SAMPLES = 8

# Duration of the first ejection, which doubles with each further one, and its
# upper bound.
EJECTION_SECONDS = 1.0
EJECTION_SECONDS_LIMIT = 16.0

# Number of successful probes that ends the probation of an ejected endpoint.
PROBES_NEEDED = 2


class _EndedAttempt(NamedTuple):
    sent_at: float
    ended_at: float


class EndpointRecord:
    """The state that one entry keeps about one endpoint.

    Attributes:
        name: the endpoint's name.
        pool: its pool; empty before the first report.
        data_centre: its data centre; empty before the first report.
        heartbeat: the last heartbeat, or None.
        load_measured_at: when the load in that heartbeat was measured.
        in_flight: send times of this entry's in-flight attempts, by attempt.
        reported_own_attempts: number of this entry's attempts that the load
            in the last heartbeat includes.
        ejected_until: end of the current ejection; 0 if never ejected.
    """

    def __init__(self, name: str):
        self.name = name
        self.pool = ""
        self.data_centre = ""
        self.heartbeat: messages.Heartbeat | None = None
        self.load_measured_at = 0.0
        self.in_flight: dict[str, float] = {}
        self.reported_own_attempts = 0
        self.ejected_until = 0.0
        self._ended_attempts: list[_EndedAttempt] = []
        self._service_seconds = 0.0
        self._sample_count = 0
        self._consecutive_failures = 0
        self._ejection_count = 0
        self._probes_left = 0
        self._prefix_sent_at: dict[str, float] = {}

    def record_report(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Records a heartbeat that has just arrived."""
        self.heartbeat = heartbeat
        self.load_measured_at = now - heartbeat.load_age_ms / 1000
        self._ended_attempts = [
            ended
            for ended in self._ended_attempts
            if ended.ended_at > self.load_measured_at
        ]
        self.reported_own_attempts = self._count_reported_own_attempts()

    def record_sent(self, attempt: str, prefix: str, now: float) -> None:
        """Records that an attempt is handed over to the endpoint."""
        self.in_flight[attempt] = now
        if not prefix:
            return
        self._prefix_sent_at.pop(prefix, None)
        self._prefix_sent_at[prefix] = now
        if len(self._prefix_sent_at) > PREFIXES_LIMIT:
            del self._prefix_sent_at[next(iter(self._prefix_sent_at))]

    def record_end(
        self,
        attempt: str,
        now: float,
        service_seconds: float | None,
        outcome: str,
    ) -> None:
        """Records how an attempt ended."""
        sent_at = self.in_flight.pop(attempt, None)
        if sent_at is not None:
            self._ended_attempts.append(_EndedAttempt(sent_at, now))
        if service_seconds is not None and outcome in ("ok", "slow"):
            self._update_service_average(service_seconds)
        if outcome == "ok":
            self._record_success()
        elif outcome == "failed":
            self._record_failure(now)

    def get_reported_load(self) -> int:
        """Returns the load in the last report, without adjustment."""
        if self.heartbeat is None:
            return len(self.in_flight)
        return self.heartbeat.running + self.heartbeat.waiting

    def get_others_reported_load(self) -> int:
        """Returns the part of the reported load that other entries sent."""
        if self.heartbeat is None:
            return 0
        return max(0, self.get_reported_load() - self.reported_own_attempts)

    def get_service_seconds(self) -> float | None:
        """Returns the endpoint's measured service time; None if unknown."""
        if self.heartbeat is not None and self.heartbeat.service_ms > 0:
            return self.heartbeat.service_ms / 1000
        return self._service_seconds if self._sample_count else None

    def has_enough_samples(self) -> bool:
        """Returns whether enough measurements exist to classify it as slow."""
        return self._sample_count >= SLOW_SAMPLES

    def get_concurrency_limit(self) -> int:
        """Returns the sidecar's concurrency limit."""
        if self.heartbeat is None or self.heartbeat.limit <= 0:
            return DEFAULT_LIMIT
        return self.heartbeat.limit

    def accepts_work(self) -> bool:
        """Returns whether the endpoint accepts new work by its last report."""
        if self.heartbeat is None:
            return True
        return self.heartbeat.healthy and not self.heartbeat.leaving

    def has_prefix(self, prefix: str, now: float) -> bool:
        """Returns whether the prefix is likely to be cached on the endpoint.

        Cache events arrive late and some are lost, so a recent send of this
        entry counts as well as the report.
        """
        if not prefix:
            return False
        if self.heartbeat is not None and prefix in self.heartbeat.prefixes:
            return True
        sent_at = self._prefix_sent_at.get(prefix)
        return sent_at is not None and now - sent_at < PREFIX_RETENTION_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Returns whether the endpoint must not get an attempt now.

        This is the case during an ejection, and during the probation after
        it while a probe is in flight.
        """
        if now < self.ejected_until:
            return True
        return self._probes_left > 0 and bool(self.in_flight)

    def eject(self, now: float) -> None:
        """Ejects the endpoint; each further ejection lasts twice as long."""
        seconds = EJECTION_SECONDS * 2**self._ejection_count
        self.ejected_until = now + min(seconds, EJECTION_SECONDS_LIMIT)
        self._ejection_count = min(self._ejection_count + 1, 8)
        self._probes_left = PROBES_NEEDED
        self._sample_count = 0

    def _count_reported_own_attempts(self) -> int:
        """Returns how many of this entry's attempts the report includes."""
        in_flight_count = sum(
            sent_at <= self.load_measured_at
            for sent_at in self.in_flight.values()
        )
        ended_count = sum(
            ended.sent_at <= self.load_measured_at
            for ended in self._ended_attempts
        )
        return in_flight_count + ended_count

    def _update_service_average(self, seconds: float) -> None:
        weight = max(SERVICE_WEIGHT, 1 / (self._sample_count + 1))
        self._service_seconds += weight * (seconds - self._service_seconds)
        self._sample_count += 1

    def _record_success(self) -> None:
        self._consecutive_failures = 0
        self._probes_left = max(0, self._probes_left - 1)
        if self._probes_left == 0 and self._sample_count > SLOW_SAMPLES:
            self._ejection_count = 0

    def _record_failure(self, now: float) -> None:
        if now < self.ejected_until:
            # Most of these attempts were sent before the ejection.
            return
        self._consecutive_failures += 1
        if (
            self._consecutive_failures >= CONSECUTIVE_FAILURES_LIMIT
            or self._probes_left
        ):
            self.eject(now)
