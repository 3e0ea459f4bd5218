"""Fakes of the services that a proxying entry uses; none opens a socket."""

import contextlib
import random
import time

import curio

from samphirevale import (
    batching,
    catalogue,
    cluster_state,
    errors,
    journal,
    ownership,
    proxy_requests,
    routes,
    store_eras,
)
from samphirevale.adapters import clock
from samphirevale.origins import recorder
from samphirevale.ports import objects, proxies

BATCH_LIMITS = routes.BatchLimits(
    concurrency=1,
    queue=2,
    items=4,
    call_seconds=0.15,
    item_seconds=0.02,
    memory_bytes=1000,
    result_seconds=4.0,
)

INPUT_LIMITS = routes.InputLimits(16384, 65536, 3.0, 15.0)


class FakeClock:
    """A clock that advances only by assignment or by sleep()."""

    def __init__(self, now=100.0):
        self.seconds = now

    def now(self):
        return self.seconds

    async def sleep(self, seconds):
        self.seconds += seconds
        await curio.sleep(0)

    def timeout(self, seconds):
        return clock.MonotonicClock().timeout(seconds)


class FakeJournal(journal.Journal):
    """A journal that keeps its lines in memory."""

    def __init__(self):
        super().__init__("here", lambda: 0.0)
        self.lines = []

    def _record(self, kind, event, fields):
        self.lines.append((kind, event, fields))

    def list_events(self):
        return [event for _, event, _ in self.lines]


def build_endpoint(name="e1", service="stage", **changes):
    endpoint = catalogue.Endpoint(
        name, service, "10.0.0.1", 8000, "a", True, 4, 1, "v1"
    )
    return endpoint._replace(**changes)


def build_route(**changes):
    route = routes.Route(
        name="r",
        host="h.example",
        path_prefix="/p/",
        splits=(routes.Split("plain", 1.0),),
        repeatable=True,
        streamed=False,
        resumable=False,
        timeout_seconds=5.0,
        target_seconds=1.0,
        priority=0,
        attempts_limit=2,
        stages=(),
        anonymous=False,
    )
    return route._replace(**changes)


def build_cluster_state(own_record=None):
    """Returns what an entry knows that has just started."""
    return cluster_state.ClusterState(
        5.0, ownership.Member("me", "a"), own_record=own_record
    )


def build_eras(cluster):
    """Returns the eras of the store that an entry has seen."""
    return store_eras.StoreEras(cluster.start_era, FakeJournal())


def build_recorder(store, instance, cluster, own, clock, linked=(), eras=None):
    """Returns what writes the record of an entry and reads those of all."""
    log = FakeJournal()
    return recorder.OriginRecorder(
        store,
        instance,
        cluster,
        own,
        lambda: linked,
        eras or build_eras(cluster),
        0.0,
        clock,
        random.Random(1),
        log,
    )


def build_table(route_list, version=1, **changes):
    services = {
        "plain": routes.Service("plain", 10, None),
        "stage": routes.Service("stage", 10, BATCH_LIMITS),
    }
    table = routes.RouteTable(
        version,
        routes.index_routes(route_list),
        services,
        {"k1": routes.Account("acme", None)},
        INPUT_LIMITS,
    )
    return table._replace(**changes)


def build_request(**changes):
    request = proxy_requests.ProxiedRequest(
        attempt="a1",
        method="POST",
        target="/p/x",
        path="/p/x",
        host="h.example",
        headers=(),
        body=b"body",
        key="k1",
        received_at=100.0,
        wait_seconds=5.0,
        prompt=(),
        item_counts=(),
        item_key="",
        last_event=None,
        first_attempt="",
    )
    return request._replace(**changes)


def build_send_parameters(**changes):
    parameters = proxy_requests.SendParameters("acme", 5.0, None, ())
    return parameters._replace(**changes)


def build_item(index=0, attempt="a1", **changes):
    item = batching.Item(
        attempt, 0, index, "key", (), 100, 101.0, 105.0, 0, None
    )
    return item._replace(**changes)


class Silence:
    """A part of an answer: nothing arrives for a time, in seconds."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._ends_at = None

    async def wait(self):
        now = time.monotonic()
        if self._ends_at is None:
            self._ends_at = now + self._seconds
        await curio.sleep(max(self._ends_at - now, 0))


class Pause:
    """A part of an answer: a time passes on a fake clock, in seconds."""

    def __init__(self, fake_clock, seconds):
        self._clock = fake_clock
        self._seconds = seconds

    def wait(self):
        self._clock.seconds += self._seconds


class FakeAvailability:
    """Implements batch_dispatch.Availability with preset values."""

    def __init__(self):
        self.usable = True
        self.has_other = True
        self.leaving = False
        self.paused_until = 0.0
        self.interchangeable = True

    def is_usable(self, endpoint, now):
        return self.usable

    def has_other_endpoint(self, endpoint, now):
        return self.has_other

    def are_interchangeable(self, endpoint, other):
        return self.interchangeable

    def compute_call_delay(self, endpoint, now):
        return None if self.leaving else max(self.paused_until - now, 0.0)


class FakeAnswer:
    """An answer made of a list of parts.

    Exceptions among them are raised. A read that was cancelled in a silence
    goes on there.
    """

    def __init__(self, parts, status=200, streamed=False):
        self.status = status
        self.headers = ((b"X-Seal", b"s"),)
        self.streamed = streamed
        self.framed = True
        self.closed = False
        self._parts = list(parts)

    async def read_parts(self):
        while self._parts:
            part = self._parts[0]
            if isinstance(part, Silence):
                await part.wait()
            del self._parts[0]
            if isinstance(part, Pause):
                part.wait()
            if isinstance(part, Exception):
                raise part
            if isinstance(part, bytes):
                yield part

    async def close(self):
        self.closed = True


class FakeEndpoints:
    """Answers each send with the next element of a script.

    An element that is a function is called for the element itself. One that is
    an exception is raised.
    """

    def __init__(self, script=()):
        self.script = list(script)
        # The starts that endpoints name on the connections of requests; None
        # for none. The others name the listed one.
        self.named_starts = {}
        # The starts that endpoints name if they are asked apart from a request.
        self.asked_starts = {}
        self.asked = []
        self.sends = []
        self.batches = []
        self.released = []
        self.free_memory = 0
        self.run_items = self.succeed_all

    async def send(self, endpoint, request, send, on_connected):
        self.sends.append((endpoint.name, request, send))
        answer = self.script.pop(0)
        if callable(answer):
            answer = answer()
        if not isinstance(answer, errors.ConnectError):
            on_connected(self.named_starts.get(endpoint.name, endpoint.started))
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def ask_start(self, endpoint, seconds):
        self.asked.append(endpoint.name)
        started = self.asked_starts.get(endpoint.name)
        if started is None:
            raise errors.UnconfirmedStartError("no start")
        return started

    def succeed_all(self, items):
        return [
            proxies.ItemResult(f"{i.attempt}/{i.stage}/{i.index}", "")
            for i in items
        ]

    async def run_batch(self, endpoint, items, now):
        self.batches.append((endpoint.name, list(items)))
        results = self.run_items(items)
        if isinstance(results, Exception):
            raise results
        return results

    async def release(self, endpoint, results):
        self.released += results

    async def read_free_memory(self, endpoint):
        return self.free_memory


LOST_ANSWER = errors.AnswerLostError("lost")


class FakeStore:
    """Implements objects.WatchedStore in memory, without watches.

    Attributes:
        away: whether every call fails, and changes nothing.
        loses_answer: whether the answer of the next write is lost. The write
            is executed by `execute_late`.
        writes: the number of writes that were executed.
        era: the number of times that the store has started; None if it does
            not say so.
    """

    def __init__(self):
        self.era = None
        self.away = False
        self.loses_answer = False
        self.writes = 0
        self._revision = 0
        self._objects = {}
        self._late = []

    def _check(self):
        if self.away:
            raise errors.StoreUnavailableError("away")

    async def list_at(self, kind):
        self._check()
        found = [
            stored for stored in self._objects.values() if stored.kind == kind
        ]
        return objects.Listing(found, self._revision, self.era)

    def take_copy(self):
        """Returns a copy of the state."""
        return self._revision, dict(self._objects)

    def restore_copy(self, copy):
        """Comes back in a new era with the state of a copy."""
        self._revision, stored = copy
        self._objects = dict(stored)
        self.era += 1

    async def replace_version(self, kind, name, value, version):
        self._check()
        write = kind, name, value, version
        if self.loses_answer:
            self.loses_answer = False
            self._late.append(write)
            raise errors.StoreUnknownError("no answer")
        return self._execute(*write)

    def _execute(self, kind, name, value, version):
        stored = self._objects.get((kind, name))
        if version != (stored.version if stored else None):
            raise errors.StoreConflictError("changed")
        self._revision += 1
        self.writes += 1
        self._objects[kind, name] = objects.StoredObject(
            kind, name, self._revision, value
        )
        return self._revision

    def execute_late(self):
        """Executes the writes whose answers were lost, if they still may."""
        for write in self._late:
            with contextlib.suppress(errors.StoreConflictError):
                self._execute(*write)
        self._late.clear()
