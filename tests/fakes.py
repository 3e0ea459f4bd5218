"""Fakes of the ports: virtual time, and a store with seeded random faults."""

import contextlib
import copy
import heapq
import math
import random
import types
from typing import Any, NamedTuple

from samphirevale import errors
from samphirevale.ports import objects


class Simulation:
    """Runs coroutines in virtual time; implements ports.clock.Clock."""

    def __init__(self, seed: int = 0):
        self.rng = random.Random(seed)
        self._now = 0.0
        self._scheduled = []

    def now(self) -> float:
        return self._now

    @types.coroutine
    def sleep(self, seconds: float):
        yield seconds

    @contextlib.asynccontextmanager
    async def timeout(self, seconds: float):
        # The simulation does not interrupt calls; the tested code compares
        # the time with its deadline between the calls.
        yield

    def spawn(self, coroutine: Any, at: float = 0.0) -> None:
        scheduled = (max(at, self._now), self.rng.random(), coroutine)
        heapq.heappush(self._scheduled, scheduled)

    def run(self, until: float = math.inf) -> None:
        """Runs until all coroutines end; closes the rest at `until`."""
        self.advance(until)
        for _, _, coroutine in self._scheduled:
            coroutine.close()
        self._scheduled.clear()

    def advance(self, until: float) -> None:
        """Runs until a time; a later call continues the rest."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self._now, _, coroutine = heapq.heappop(self._scheduled)
            with contextlib.suppress(StopIteration):
                self.spawn(coroutine, self._now + coroutine.send(None))

    def call(self, coroutine: Any) -> Any:
        """Runs all coroutines to their end; returns the given one's result."""
        results = []

        async def store_result():
            results.append(await coroutine)

        self.spawn(store_result(), self._now)
        self.run()
        return results[0]


class Faults(NamedTuple):
    """Probabilities of faults per call, and times in seconds.

    A `lost` write takes effect, a `dropped` one never does and a `delayed`
    one does later; the response is lost in all three cases. A `stale` read
    returns the object as it was up to `delay_seconds` ago.
    """

    unavailable: float = 0.0
    lost: float = 0.0
    dropped: float = 0.0
    delayed: float = 0.0
    stale: float = 0.0
    delay_seconds: float = 2.0
    latency_seconds: float = 0.01


class FakeStore:
    """An ObjectStore in memory; while `down` is set, every call fails."""

    def __init__(self, clock: Any = None, faults: Faults = Faults()):  # noqa: B008
        self.objects: dict[tuple[str, str], objects.StoredObject] = {}
        self.version = 0
        self.down = False
        self.faults = faults
        self.instances: list[objects.ListedInstance] = []
        self.writes = 0
        self._clock = clock
        self._delayed_writes = []
        self._history = {}

    async def get(self, kind, name):
        await self._begin()
        found = self.objects.get((kind, name))
        if self._occurs(self.faults.stale):
            age = self._clock.rng.uniform(0, self.faults.delay_seconds)
            found = self._find_past_version(kind, name, self._clock.now() - age)
        return copy.deepcopy(found)

    async def list_kind(self, kind):
        await self._begin()
        found = [
            stored for key, stored in self.objects.items() if key[0] == kind
        ]
        return copy.deepcopy(found)

    async def create(self, kind, name, value):
        return await self._write(kind, name, value, None)

    async def update(self, kind, name, value, version):
        return await self._write(kind, name, value, version)

    async def delete(self, kind, name, version):
        await self._write(kind, name, None, version)

    async def list_instances(self):
        await self._begin()
        return list(self.instances)

    async def _begin(self) -> None:
        if self._clock is not None:
            jitter = self._clock.rng.uniform(0.5, 1.5)
            await self._clock.sleep(self.faults.latency_seconds * jitter)
            self._apply_due_writes()
        if self.down or self._occurs(self.faults.unavailable):
            raise errors.StoreUnavailableError("down", 1.0)

    async def _write(self, kind, name, value, version):
        await self._begin()
        self.writes += 1
        value = copy.deepcopy(value)
        if self._occurs(self.faults.dropped):
            raise errors.StoreUnknownError("dropped")
        if self._occurs(self.faults.delayed):
            delay = self._clock.rng.uniform(0, self.faults.delay_seconds)
            write = (self._clock.now() + delay, (kind, name, value, version))
            self._delayed_writes.append(write)
            raise errors.StoreUnknownError("delayed")
        stored = self._apply(kind, name, value, version)
        if self._occurs(self.faults.lost):
            raise errors.StoreUnknownError("lost")
        return copy.deepcopy(stored)

    def _find_past_version(self, kind, name, at):
        history = self._history.get((kind, name), [])
        return next(
            (stored for since, stored in reversed(history) if since <= at), None
        )

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._clock.rng.random() < probability

    def _apply(self, kind, name, value, version):
        current = self.objects.get((kind, name))
        if (current.version if current else None) != version:
            raise errors.StoreConflictError(f"{kind}/{name}")
        self.version += 1
        stored = objects.StoredObject(kind, name, self.version, value)
        if value is None:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = stored
        if self._clock is not None:
            present = None if value is None else stored
            history = self._history.setdefault((kind, name), [])
            history.append((self._clock.now(), present))
        return stored

    def _apply_due_writes(self) -> None:
        now = self._clock.now()
        due = [write for at, write in self._delayed_writes if at <= now]
        self._delayed_writes = [
            delayed for delayed in self._delayed_writes if delayed[0] > now
        ]
        for write in due:
            with contextlib.suppress(errors.StoreConflictError):
                self._apply(*write)
