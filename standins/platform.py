"""A test double of the platform: object API, instances, weight store."""

import collections
import math
import random
import time
from typing import Any, NamedTuple

import curio

from samphirevale.adapters import web, web_client
from standins import buckets, faults, histories, programs

# The number of past changes that are kept for watches.
CHANGES_KEPT = 20_000

# The maximum size of an object's value, in bytes of JSON.
VALUE_BYTES_LIMIT = 1024 * 1024

# The default timeout of a watch, in milliseconds.
WATCH_TIMEOUT_MS = 10_000


class StoredObject(NamedTuple):
    """A version of an object; a deleted object has the value None."""

    kind: str
    name: str
    version: int
    value: Any


class Store:
    """The objects, their past versions, and the changes for watches."""

    def __init__(self):
        self._versions = histories.History(0, -math.inf)
        self._histories: dict[str, dict[str, histories.History]] = {}
        self._changes: collections.deque[StoredObject] = collections.deque()
        self._changed = curio.Event()

    def get_version(self, at: float = math.inf) -> int:
        """Returns the version of the whole store as of `at`."""
        return self._versions.get(at)

    def get(
        self, kind: str, name: str, at: float = math.inf
    ) -> StoredObject | None:
        """Returns the object as of `at`, or None if there was none."""
        history = self._histories.get(kind, {}).get(name)
        found = history.get(at) if history else None
        return None if found is None or found.value is None else found

    def list_kind(self, kind: str, at: float) -> list[StoredObject]:
        """Returns the objects of a kind as of `at`."""
        names = sorted(self._histories.get(kind, {}))
        found = [self.get(kind, name, at) for name in names]
        return [stored for stored in found if stored is not None]

    async def put(
        self, kind: str, name: str, value: Any, now: float
    ) -> StoredObject:
        """Writes a new version; the value None deletes the object."""
        self._versions.put(self.get_version() + 1, now)
        stored = StoredObject(kind, name, self.get_version(), value)
        histories_by_name = self._histories.setdefault(kind, {})
        if name not in histories_by_name:
            absent = StoredObject(kind, name, 0, None)
            histories_by_name[name] = histories.History(absent, -math.inf)
        histories_by_name[name].put(stored, now)
        self._changes.append(stored)
        if len(self._changes) > CHANGES_KEPT:
            self._drop_deleted_history(self._changes.popleft())
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        return stored

    def _drop_deleted_history(self, change: StoredObject) -> None:
        histories_by_name = self._histories[change.kind]
        history = histories_by_name.get(change.name)
        if history and history.latest is change and change.value is None:
            del histories_by_name[change.name]

    def has_changes_since(self, version: int) -> bool:
        """Returns whether `version` exists and all later changes are kept."""
        newest = self.get_version()
        return newest - len(self._changes) <= version <= newest

    def list_changes(self, kind: str, version: int) -> list[StoredObject]:
        """Returns each object's latest change of a kind after `version`."""
        latest = {}
        for change in reversed(self._changes):
            if change.version <= version:
                break
            if change.kind == kind:
                latest.setdefault(change.name, change)
        return sorted(latest.values(), key=lambda change: change.version)

    async def wait_for_change(self) -> None:
        """Waits for the next write of any kind."""
        await self._changed.wait()


class Settings(NamedTuple):
    """Runs the platform's service, with all data in memory.

    Args:
        port: the port to listen on.
        host: the address to listen on.
        writes_per_second: the rate limit of writes to objects.
        reads_per_second: the rate limit of reads; a watch counts as one read.
        weights_per_second: the rate limit of loads from the weight store.
        weights_burst: the number of loads allowed in a burst.
        list_lag_seconds: the age of the list of instances.
        seed: the seed of random faults.
    """

    port: int
    host: str = "127.0.0.1"
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    weights_per_second: float = 2.0
    weights_burst: float = 4.0
    list_lag_seconds: float = 1.0
    seed: int = 1


class Platform(programs.Program):
    """The platform's service."""

    ROUTES = programs.Routes(programs.Program.ROUTES)
    FAULTS = faults.Registry(programs.Program.FAULTS)
    FAULTS.declare("lose_answers", faults.SHARE)
    FAULTS.declare("refuse_writes", faults.FLAG)
    FAULTS.declare("stale_reads", faults.POSITIVE)

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        self._store = Store()
        self._instances = histories.History([], -math.inf)
        self._generator = random.Random(settings.seed)
        self._counts = collections.Counter()
        now = time.monotonic()
        self._buckets = {
            "write": buckets.TokenBucket(
                settings.writes_per_second, settings.writes_per_second, now
            ),
            "read": buckets.TokenBucket(
                settings.reads_per_second, settings.reads_per_second, now
            ),
            "weights": buckets.TokenBucket(
                settings.weights_per_second, settings.weights_burst, now
            ),
        }

    @staticmethod
    @FAULTS.guard("outage", faults.FLAG)
    async def refuse(value: Any) -> web.Response:
        """Refuses all calls."""
        return programs.build_error(503, "outage")

    @staticmethod
    @FAULTS.guard("blackhole", faults.FLAG)
    async def hang(value: Any) -> None:
        """Never answers."""
        await programs.hang()

    @staticmethod
    @FAULTS.guard("slow_seconds", faults.POSITIVE)
    async def delay(value: Any) -> None:
        """Delays each call."""
        await curio.sleep(value)

    def _count(self, call: str, bucket: str) -> web.Response | None:
        """Counts a call; returns a refusal if it exceeds the rate limit."""
        self._counts[call] += 1
        wait = self._buckets[bucket].take(1, time.monotonic())
        if not wait:
            return None
        self._counts[f"{call}_limited"] += 1
        return programs.build_error(
            429, f"over the rate of {bucket}", _build_retry_after(wait)
        )

    def _get_read_time(self) -> float:
        return time.monotonic() - (self.read_fault("stale_reads") or 0)

    @ROUTES.add("GET", "/objects/{kind}/{name}")
    async def get_object(
        self, request: web.Request, kind: str, name: str
    ) -> web.Response:
        """Returns one object."""
        refusal = self._count("get", "read")
        if refusal:
            return refusal
        stored = self._store.get(kind, name, self._get_read_time())
        if stored is None:
            return programs.build_error(404, f"no {kind}/{name}")
        return web.build_json(200, stored._asdict())

    @ROUTES.add("GET", "/objects/{kind}")
    async def list_objects(
        self, request: web.Request, kind: str
    ) -> web.Response:
        """Returns all objects of a kind."""
        refusal = self._count("list", "read")
        if refusal:
            return refusal
        at = self._get_read_time()
        found = self._store.list_kind(kind, at)
        return _build_list(found, self._store.get_version(at))

    @ROUTES.add("PUT", "/objects/{kind}/{name}")
    async def put_object(
        self, request: web.Request, kind: str, name: str
    ) -> web.Response:
        """Creates or replaces an object if the precondition holds."""
        refusal = self._count("put", "write") or self._refuse_write()
        if refusal:
            return refusal
        value = web_client.read_json(request.body)
        if value is None or len(request.body) > VALUE_BYTES_LIMIT:
            return programs.build_error(400, "a value, of at most 1 MiB")
        current = self._store.get(kind, name)
        if request.headers.get("if-none-match") == "*":
            status = 201 if current is None else 412
        else:
            status = _check_version(request, current)
        if status >= 400:
            return _build_conflict(status, current)
        stored = await self._store.put(kind, name, value, time.monotonic())
        self._drop_answer_randomly()
        return web.build_json(status, stored._asdict())

    @ROUTES.add("DELETE", "/objects/{kind}/{name}")
    async def delete_object(
        self, request: web.Request, kind: str, name: str
    ) -> web.Response:
        """Deletes an object if the precondition holds."""
        refusal = self._count("delete", "write") or self._refuse_write()
        if refusal:
            return refusal
        current = self._store.get(kind, name)
        status = _check_version(request, current)
        if status >= 400:
            return _build_conflict(status, current)
        stored = await self._store.put(kind, name, None, time.monotonic())
        self._drop_answer_randomly()
        return web.build_json(200, stored._asdict())

    def _refuse_write(self) -> web.Response | None:
        if not self.read_fault("refuse_writes"):
            return None
        return programs.build_error(503, "writes are refused")

    def _drop_answer_randomly(self) -> None:
        share = self.read_fault("lose_answers") or 0
        if self._generator.random() < share:
            self._counts["lost_answers"] += 1
            raise programs.AnswerDroppedError

    @ROUTES.add("GET", "/watch/{kind}")
    async def watch(self, request: web.Request, kind: str) -> web.Response:
        """Waits for changes of a kind and returns them."""
        refusal = self._count("watch", "read")
        if refusal:
            return refusal
        version = programs.read_integer(request, "version", 0)
        timeout_ms = programs.read_integer(
            request, "timeout_ms", WATCH_TIMEOUT_MS
        )
        async with curio.ignore_after(timeout_ms / 1000):
            while self._store.has_changes_since(version):
                if self._store.list_changes(kind, version):
                    break
                await self._store.wait_for_change()
        refusal = await self.faults.run_guards(time.monotonic())
        if refusal:
            return refusal
        if not self._store.has_changes_since(version):
            return programs.build_error(410, "list again and watch from there")
        changes = self._store.list_changes(kind, version)
        return _build_list(changes, self._store.get_version())

    @ROUTES.add("GET", "/instances")
    async def list_instances(self, request: web.Request) -> web.Response:
        """Returns the instances as of `list_lag_seconds` ago."""
        refusal = self._count("instances", "read")
        if refusal:
            return refusal
        at = time.monotonic() - self._settings.list_lag_seconds
        return web.build_json(200, {"instances": self._instances.get(at)})

    @ROUTES.add("POST", "/instances", control=True)
    async def change_instances(self, request: web.Request) -> web.Response:
        """Replaces the current list of instances."""
        (instances,) = programs.read_fields(request, instances=list)
        self._instances.put(instances, time.monotonic())
        return web.build_json(200, {"instances": instances})

    @ROUTES.add("GET", "/weights/{model}/{version}")
    async def get_weights(
        self, request: web.Request, model: str, version: str
    ) -> web.Response:
        """Allows a load of weights if it is within the rate limit."""
        refusal = self._count("weights", "weights")
        if refusal:
            return refusal
        return web.build_json(200, {"model": model, "version": version})

    @ROUTES.add("GET", "/counts", control=True)
    async def show_counts(self, request: web.Request) -> web.Response:
        """Returns the numbers of calls by kind."""
        return web.build_json(200, dict(self._counts))


def _build_list(objects: list[StoredObject], version: int) -> web.Response:
    found = [stored._asdict() for stored in objects]
    return web.build_json(200, {"objects": found, "version": version})


def _build_retry_after(seconds: float) -> tuple[str, str]:
    return "Retry-After", str(max(1, math.ceil(seconds)))


def _check_version(request: web.Request, current: StoredObject | None) -> int:
    expected = request.headers.get("if-match")
    if expected is None:
        return 400
    if current is None:
        return 404
    return 200 if expected.strip('"') == str(current.version) else 412


def _build_conflict(status: int, current: StoredObject | None) -> web.Response:
    if status == 400:
        return programs.build_error(400, "If-Match or If-None-Match: *")
    found = "nothing" if current is None else f"version {current.version}"
    return programs.build_error(status, f"found {found}")


if __name__ == "__main__":
    programs.run(Platform, Settings)
