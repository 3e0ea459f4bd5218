"""The base classes of endpoints: faults, the record and workers."""

import json
import os
import random
import time
from typing import Any, Protocol

import curio

from samphirevale import errors
from samphirevale.adapters import web, web_client
from standins import faults, programs, records, slots


class Endpoint(programs.Program):
    """The base class of endpoints, with a record and the common faults."""

    ROUTES = programs.Routes(programs.Program.ROUTES)
    FAULTS = faults.Registry(programs.Program.FAULTS)
    FAULTS.declare("slow_factor", faults.POSITIVE)
    FAULTS.declare("fail", faults.FLAG)
    FAULTS.declare("crash_on", faults.TEXT)
    FAULTS.declare("lose_answer", faults.FLAG)

    def __init__(self, journal: str = ""):
        super().__init__()
        self.record = records.Record(journal)

    @staticmethod
    @FAULTS.guard("refuse", faults.FLAG)
    async def refuse(value: Any) -> web.Response:
        """Refuses all calls."""
        return programs.build_error(503, "refused by a fault switch")

    @staticmethod
    @FAULTS.guard("hang", faults.FLAG)
    async def hang(value: Any) -> None:
        """Never answers."""
        await programs.hang()

    async def sleep_scaled(self, seconds: float) -> None:
        """Sleeps for a time multiplied by the switch `slow_factor`."""
        await curio.sleep(seconds * (self.read_fault("slow_factor") or 1))

    def crash_if_matching(self, value: Any, attempt: str) -> None:
        """Exits immediately if the input contains the text of `crash_on`."""
        text = self.read_fault("crash_on")
        if text and text in json.dumps(value, ensure_ascii=False):
            self.record.record_crash(attempt, time.monotonic())
            os._exit(1)

    @ROUTES.add("GET", "/record", control=True)
    async def show_record(self, request: web.Request) -> web.Response:
        """Returns the record of all runs and orders."""
        return web.build_json(200, self.record.describe())

    @ROUTES.add("DELETE", "/record", control=True)
    async def clear_record(self, request: web.Request) -> web.Response:
        """Clears the record."""
        self.record.clear()
        return web.build_json(200, self.record.describe())


class PoolSettings(Protocol):
    """The settings of an endpoint's worker pool.

    Attributes:
        workers: the number of calls that run concurrently.
        waiting_limit: the maximum queue length; further calls are refused.
        base_seconds: the minimum duration of a call.
        jitter_seconds: the maximum random time added to a call's duration.
        seed: the seed of the random durations.
        journal: the file that the record is written to; empty for none.
    """

    workers: int
    waiting_limit: int
    base_seconds: float
    jitter_seconds: float
    seed: int
    journal: str


class PooledEndpoint(Endpoint):
    """An endpoint whose calls each occupy a worker."""

    ROUTES = programs.Routes(Endpoint.ROUTES)
    FAULTS = faults.Registry(Endpoint.FAULTS)
    FAULTS.declare("refuse_runs", faults.FLAG)

    def __init__(self, pool: PoolSettings):
        super().__init__(pool.journal)
        self.slots = slots.SlotPool(pool.workers, pool.waiting_limit)
        self._pool_settings = pool
        self._generator = random.Random(pool.seed)

    def build_result(self, fields: dict[str, Any]) -> Any:
        """Computes the result of a call from the body's fields."""
        raise NotImplementedError

    async def run_call(self, request: web.Request) -> web.Response:
        """Runs a call on a free worker; refuses it if the queue is full.

        The switch `refuse_runs` refuses it too, and leaves the other calls,
        such as health probes, as they are.
        """
        if self.read_fault("refuse_runs"):
            return programs.build_error(503, "refused by a fault switch")
        programs.read_fields(request, request=str, attempt=str)
        fields = web_client.read_json(request.body)
        if "input" not in fields:
            raise errors.InvalidInputError(
                [errors.Finding("input", "a JSON value")]
            )
        if self.slots.is_full():
            return programs.build_error(503, "the queue is full")
        async with self.slots.hold(slots.Waiter()):
            return await self._run_with_worker(fields)

    def _draw_seconds(self) -> float:
        jitter = self._generator.uniform(0, self._pool_settings.jitter_seconds)
        return self._pool_settings.base_seconds + jitter

    async def _run_with_worker(self, fields: dict[str, Any]) -> web.Response:
        started = time.monotonic()
        run = self.record.begin(fields, fields["input"], "", started)
        half_seconds = self._draw_seconds() / 2
        await self.sleep_scaled(half_seconds)
        self.crash_if_matching(fields["input"], run["attempt"])
        await self.sleep_scaled(half_seconds)
        now = time.monotonic()
        run["ended"] = now
        if self.read_fault("fail"):
            run["status"] = "failed"
            self.record.record_end(run)
            return programs.build_error(500, "failed by a fault switch")
        result = self.build_result(fields)
        run["digest"] = records.compute_digest(result)
        if self.read_fault("lose_answer"):
            run["status"] = "lost"
            self.record.record_end(run)
            raise programs.AnswerDroppedError
        run["status"] = "done"
        self.record.record_end(run)
        busy_ms = (now - started) * 1000
        return web.build_json(200, {"result": result, "busy_ms": busy_ms})
