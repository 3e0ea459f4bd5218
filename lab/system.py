"""Simulated entries that run requests through stages, in virtual time.

The policies are the real modules; everything else is simulated.
"""

import itertools
import random
from typing import NamedTuple

from lab import endpoints, loop, sites, workload
from samphirevale import admission, deadlines, retries, routing

# The delay of updates to the platform's list of instances, in seconds.
LIST_SECONDS = 1.0


class PolicySet(NamedTuple):
    """One combination of policies.

    Attributes:
        routing: the name of the routing policy.
        admission: the name of the admission policy.
        limiter: the name of the limit policy.
        retries: the name of the retry policy.
        queue_limit: the maximum number of attempts queued at an endpoint.
        deadline_aware: whether sidecars consider deadlines and accounts.
    """

    routing: str
    admission: str
    limiter: str
    retries: str
    queue_limit: int
    deadline_aware: bool


class Outcome(NamedTuple):
    """The outcome of one request.

    Attributes:
        request: the request.
        whole: whether the caller got the whole answer in time.
        reason: why the caller did not; empty if the answer is whole.
        first_seconds: the time from the arrival to the first token, or to the
            end if no stage generates tokens; None if the answer is not
            whole.
        end_seconds: the time from the arrival until the caller learned the
            outcome.
        notice_seconds: the time from the decision to give up, at the sidecar
            or the entry, until the caller learned the outcome; 0 if whole.
    """

    request: workload.Request
    whole: bool
    reason: str
    first_seconds: float | None
    end_seconds: float
    notice_seconds: float


class Simulation:
    """A simulation of one site under a scenario with a set of policies.

    Attributes:
        outcomes: the outcomes of the requests.
        work_log: the work that the endpoints did.
        pools: the sidecars in the platform's list, by pool.
    """

    def __init__(
        self,
        site: sites.Site,
        scenario: workload.Scenario,
        system: PolicySet,
        seed: str,
    ):
        self.clock = loop.Loop()
        self.scenario = scenario
        self.system = system
        self.outcomes: list[Outcome] = []
        self.work_log = endpoints.WorkLog()
        self.sidecars: dict[str, endpoints.Sidecar] = {}
        self.pools: dict[str, list[str]] = {}
        self._site = site
        self._rng = random.Random(f"{seed}/endpoints")
        self.entries = [
            Entry(self, f"dc{number % site.data_centres}", f"{seed}/{number}")
            for number in range(site.entries)
        ]
        for pool in ("engines", *sites.STAGE_SECONDS):
            self.pools[pool] = []
            for number in range(sites.count_endpoints(site, pool)):
                self._add_sidecar(pool, number, f"{pool}-{number}")
        for fault in scenario.faults:
            self.clock.call_at(fault.at, self._apply_fault, fault)

    def run(self, requests: list[workload.Request]) -> None:
        """Runs all requests until they have ended."""
        choose_entry = itertools.cycle(self.entries)
        for request in requests:
            entry = next(choose_entry)
            self.clock.call_at(request.at, entry.receive, request)
        last = workload.RUN_SECONDS + sites.DEADLINE_SECONDS
        self.clock.run(last + 0.1)

    def _add_sidecar(self, pool: str, number: int, name: str) -> None:
        sidecar = endpoints.Sidecar(
            self.clock,
            name,
            pool,
            f"dc{number % self._site.data_centres}",
            self.system.limiter,
            self.system.queue_limit,
            self._rng,
            self.work_log,
        )
        self.sidecars[name] = sidecar
        self.pools[pool].append(name)
        offset = self._rng.random() * endpoints.HEARTBEAT_SECONDS
        self.clock.call_later(0.0, self._send_report, sidecar)
        self.clock.call_later(offset, self._send_heartbeats, sidecar)

    def _send_heartbeats(self, sidecar: endpoints.Sidecar) -> None:
        if sidecar.name not in self.sidecars:
            return
        self._send_report(sidecar)
        self.clock.call_later(
            endpoints.HEARTBEAT_SECONDS, self._send_heartbeats, sidecar
        )

    def _send_report(self, sidecar: endpoints.Sidecar) -> None:
        delay = self.scenario.report_seconds
        heartbeat = sidecar.build_heartbeat()
        heartbeat = heartbeat._replace(load_age_ms=1000 * delay)
        for entry in self.entries:
            latency = get_latency(entry.data_centre, sidecar)
            self.clock.call_later(
                delay + latency, entry.record_report, sidecar, heartbeat
            )

    def _apply_fault(self, fault: workload.Fault) -> None:
        name = f"{fault.pool}-{fault.number}"
        sidecar = self.sidecars[name]
        if not fault.leaves:
            sidecar.set_speed(fault.speed)
            return
        sidecar.leaving = True
        self._send_report(sidecar)
        self.clock.call_later(LIST_SECONDS, self._remove_from_list, sidecar)
        self.clock.call_later(
            endpoints.LEAVING_SECONDS,
            self._add_sidecar,
            fault.pool,
            fault.number,
            f"{name}b",
        )

    def _remove_from_list(self, sidecar: endpoints.Sidecar) -> None:
        self.pools[sidecar.pool].remove(sidecar.name)


class Entry:
    """One simulated entry with its own instances of the policies."""

    def __init__(self, simulation: Simulation, data_centre: str, seed: str):
        self.simulation = simulation
        self.data_centre = data_centre
        rng = random.Random(f"{seed}/entry")
        system = simulation.system
        self.router = routing.Router(system.routing, data_centre, rng)
        self.admission = admission.Admission(system.admission, sites.ACCOUNTS)
        self.retries = retries.RetryController(system.retries)

    def record_report(
        self, sidecar: endpoints.Sidecar, heartbeat: routing.messages.Heartbeat
    ) -> None:
        """Passes an arrived heartbeat to the router."""
        self.router.record_report(
            sidecar.name,
            sidecar.pool,
            sidecar.data_centre,
            heartbeat,
            self.simulation.clock.now,
        )

    def receive(self, request: workload.Request) -> None:
        """Accepts a caller's request."""
        RequestRun(self, request).start()

    def estimate_seconds(self, pools: list[str], prefix: str) -> list[float]:
        """Returns the expected duration of an attempt now, for each pool."""
        now = self.simulation.clock.now
        return [
            self.router.estimate_best_seconds(
                self.simulation.pools[pool],
                now,
                prefix=prefix if pool == "engines" else "",
            )
            for pool in pools
        ]


class RequestRun:
    """Runs one request through its stages."""

    def __init__(self, entry: Entry, request: workload.Request):
        self._entry = entry
        self._clock = entry.simulation.clock
        self._request = request
        self._stages = sites.build_stages(request.kind)
        self._deadline_at = request.at + sites.DEADLINE_SECONDS
        self._position = 0
        self._tried: list[str] = []
        self._attempt = ""
        self._sidecar: endpoints.Sidecar | None = None
        self._first_seconds: float | None = None
        self._given_up_at = 0.0
        self._ended = False
        self._in_stage = False
        self._admitted = False

    def start(self) -> None:
        """Starts the first stage if the request is admitted."""
        if self._entry.simulation.scenario.store_down and (
            self._request.kind == "confirm"
        ):
            self._end("store")
            return
        decision = self._entry.admission.admit(
            self._request.id,
            self._request.account,
            self._stages,
            sites.DEADLINE_SECONDS,
            self._expect(0),
            self._clock.now,
        )
        if not decision.admitted:
            self._end(decision.reason)
            return
        self._admitted = True
        self._clock.call_at(self._deadline_at, self._give_up)
        self._start_stage()

    def _expect(self, position: int) -> list[float]:
        pools = [stage["pool"] for stage in self._stages[position:]]
        return self._entry.estimate_seconds(pools, str(self._request.prefix))

    def _start_stage(self) -> None:
        stage = self._stages[self._position]
        if not self._entry.admission.acquire_slot(stage, self._clock.now):
            self._end("stage_limit")
            return
        self._in_stage = True
        self._tried = []
        self._entry.retries.record_first_attempt(stage["name"])
        self._send()

    def _send(self) -> None:
        now = self._clock.now
        simulation = self._entry.simulation
        pool = self._stages[self._position]["pool"]
        prefix = str(self._request.prefix) if pool == "engines" else ""
        choice = self._entry.router.choose(
            simulation.pools[pool],
            now,
            prefix=prefix,
            exclude=self._tried,
            remaining_seconds=self._deadline_at - now,
        )
        if choice is None:
            self._end("unavailable")
            return
        self._tried.append(choice.endpoint)
        attempt = f"{self._request.id}/{self._position}/{len(self._tried)}"
        self._attempt = attempt
        self._sidecar = simulation.sidecars[choice.endpoint]
        self._entry.router.record_sent(
            choice.endpoint, attempt, now, prefix=prefix
        )
        self._clock.call_later(self._get_latency(), self._offer, attempt)

    def _offer(self, attempt: str) -> None:
        later = self._stages[self._position + 1 :]
        needed = self._expect(self._position + 1)
        service = [stage["expected_ms"] / 1000 for stage in later]
        job = endpoints.Job(
            attempt,
            self._request,
            deadlines.compute_stage_deadline(
                self._deadline_at, needed, service
            ),
            self._record_first_token,
            self._build_end_callback(attempt, self._sidecar),
        )
        aware = self._entry.simulation.system.deadline_aware
        self._sidecar.offer(job, checks_deadline=aware, fair=aware)

    def _build_end_callback(self, attempt: str, sidecar: endpoints.Sidecar):
        latency = self._get_latency()

        def on_end(outcome: str, reason: str, busy: float) -> None:
            if attempt == self._attempt:
                self._given_up_at = self._clock.now
            self._clock.call_later(
                latency,
                self._handle_end,
                attempt,
                sidecar,
                outcome,
                reason,
                busy,
            )

        return on_end

    def _record_first_token(self) -> None:
        if self._first_seconds is None and not self._ended:
            self._first_seconds = self._clock.now - self._request.at

    def _handle_end(
        self,
        attempt: str,
        sidecar: endpoints.Sidecar,
        outcome: str,
        reason: str,
        busy: float,
    ) -> None:
        now = self._clock.now
        result = {"ok": "ok", "not_run": "refused"}.get(outcome, "failed")
        if reason == "cancelled":
            result = "slow"
        self._entry.router.record_end(
            sidecar.name, attempt, now, busy or None, result
        )
        if self._ended or attempt != self._attempt:
            return
        if outcome == "ok":
            self._finish_stage()
        else:
            self._retry_or_end(outcome, reason)

    def _finish_stage(self) -> None:
        self._leave_stage()
        self._position += 1
        if self._position == len(self._stages):
            self._end("")
        else:
            self._start_stage()

    def _retry_or_end(self, outcome: str, reason: str) -> None:
        stage = self._stages[self._position]
        ending = retries.AttemptFailure(
            stage["name"],
            bool(stage["repeatable"]),
            outcome,
            reason,
            len(self._tried),
        )
        remaining = self._deadline_at - self._clock.now
        expected = sum(self._expect(self._position))
        if self._entry.retries.decide(ending, expected, remaining).retry:
            self._send()
        else:
            self._end(reason, self._clock.now - self._given_up_at)

    def _give_up(self) -> None:
        if self._ended:
            return
        if self._sidecar is not None:
            self._clock.call_later(
                self._get_latency(), self._sidecar.cancel, self._attempt
            )
        self._end("deadline")

    def _leave_stage(self) -> None:
        stage = self._stages[self._position]
        self._entry.admission.release_slot(stage, self._clock.now)
        self._in_stage = False

    def _get_latency(self) -> float:
        return get_latency(self._entry.data_centre, self._sidecar)

    def _end(self, reason: str, notice_seconds: float = 0.0) -> None:
        now = self._clock.now
        self._ended = True
        if self._in_stage:
            self._leave_stage()
        if self._admitted:
            self._entry.admission.record_end(
                self._request.id, now, whole=not reason
            )
        seconds = now - self._request.at
        first = self._first_seconds if not reason else None
        if not reason and first is None:
            first = seconds
        self._entry.simulation.outcomes.append(
            Outcome(
                self._request,
                not reason,
                reason,
                first,
                seconds,
                notice_seconds,
            )
        )


def get_latency(data_centre: str, sidecar: endpoints.Sidecar) -> float:
    """Returns the one-way latency between an entry and a sidecar."""
    if sidecar.data_centre == data_centre:
        return routing.LOCAL_LATENCY_SECONDS
    return routing.REMOTE_LATENCY_SECONDS
