"""The other entries: a link to each, reports, and pieces handed over.

Entries register in the store under their names, each with a token that who
dials it must show. Of two entries the one whose name comes first dials. One
that has been silent for too long counts as dead until it reports again.
"""

import contextlib
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

import curio

from samphirevale import (
    backoff,
    batching,
    catalogue,
    errors,
    journal,
    messages,
    ownership,
    reports,
)
from samphirevale.adapters import link as links
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects, proxies

# The kind of the entries' registrations in the store.
KIND = "samphirevale-entries"

# The interval between looks for entries that are to be dialed, in seconds.
DIAL_CHECK_SECONDS = 0.1

# Silence after which the other entry counts as dead, in seconds.
SILENCE_SECONDS = 1.0

# The longest pause between two tries to dial, in seconds.
DIAL_SECONDS_LIMIT = 2.0


class Registration(NamedTuple):
    """Where an entry is to be dialed.

    Attributes:
        name: its instance.
        host: its address.
        port: its port for other entries.
        token: who dials must show it; new at each start.
    """

    name: str
    host: str
    port: int
    token: str


def decode_registration(stored: objects.StoredObject) -> Registration | None:
    """Returns a registration, or None if it is malformed."""
    value = stored.value
    if not isinstance(value, dict):
        return None
    found = Registration(
        stored.name,
        value.get("host"),
        value.get("port"),
        value.get("token"),
    )
    types = (str, str, int, str)
    if all(map(isinstance, found, types)):
        return found
    return None


class Load(NamedTuple):
    """What an entry has in progress at an endpoint."""

    running: int
    unread_tokens: int


class PieceServer(Protocol):
    """Does pieces for other entries."""

    async def serve_pieces(
        self, pieces: messages.Pieces
    ) -> list[proxies.ItemResult]:
        """Returns the pieces' results in order."""

    async def release_results(self, released: messages.ResultsReleased) -> None:
        """Frees results."""


class Entry:
    """Another entry while a link to it is up.

    Attributes:
        hello: its first message.
        queues: the state of the queues that it gathers.
        loads: what it has in progress, by endpoint.
        sent: items and bytes that were handed to it for an endpoint since
            its last report.
    """

    def __init__(self, link: links.Link, hello: messages.Hello):
        self.link = link
        self.hello = hello
        self.queues: dict[str, batching.QueueState] = {}
        self.loads: dict[str, Load] = {}
        self.sent: dict[str, tuple[int, int]] = {}
        self.waiting: dict[int, curio.Queue] = {}
        self.serving: dict[int, curio.Task] = {}

    def adopt_report(self, report: messages.EntryReport) -> None:
        """Takes over what it says of itself."""
        self.queues = {
            name: batching.QueueState(*fields)
            for name, *fields in report.queues
        }
        self.loads = {name: Load(*fields) for name, *fields in report.loads}
        self.sent = {}

    def note_sent(self, endpoint: str, items: int, size: int) -> None:
        """Counts items that its next report may not have."""
        before = self.sent.get(endpoint, (0, 0))
        self.sent[endpoint] = (before[0] + items, before[1] + size)

    def read_state(self, endpoint: str) -> batching.QueueState | None:
        """Returns a queue's state, with what was sent since its report."""
        state = self.queues.get(endpoint)
        items, size = self.sent.get(endpoint, (0, 0))
        if state is None:
            return None
        return state._replace(
            waiting=state.waiting + items,
            waiting_bytes=state.waiting_bytes + size,
        )


class EntryTable:
    """Keeps a link to each other entry, for as long as both live.

    Attributes:
        linked: by name, those that are alive.
    """

    def __init__(
        self,
        me: Registration,
        data_centre: str,
        server: PieceServer,
        build_report: Callable[[float], messages.EntryReport],
        note_members: Callable[[Iterable[ownership.Member]], None],
        note_crashed: Callable[[list[list[str]]], None],
        clock: clocks.Clock,
        rng: random.Random,
        log: journal.Journal,
    ):
        self.linked: dict[str, Entry] = {}
        self._me = me
        self._hello = messages.Hello(
            me.name, me.token, "entry", data_centre, "", ""
        )
        self._server = server
        self._reporter = reports.Reporter(build_report)
        self._note_members = note_members
        self._note_crashed = note_crashed
        self._clock = clock
        self._rng = rng
        self._journal = log
        self._known: dict[str, Registration] = {}
        self._dialers: dict[str, curio.Task] = {}
        self._exchanges = itertools.count()

    def describe(self) -> dict[str, Any]:
        """Returns this entry's registration as it is stored."""
        return {
            "host": self._me.host,
            "port": self._me.port,
            "token": self._me.token,
        }

    def adopt(self, registrations: Iterable[Registration], whole: bool) -> None:
        """Takes over registrations; with `whole`, there are no others."""
        if whole:
            self._known = {}
        for item in registrations:
            if item.name != self._me.name:
                self._known[item.name] = item

    def forget(self, name: str) -> None:
        """Drops the registration of an entry that has left."""
        self._known.pop(name, None)

    async def dial_known(self) -> None:
        """Keeps a task for each entry that is to be dialed, for ever."""
        while True:
            for name in self._known:
                task = self._dialers.get(name)
                if self._me.name < name and (task is None or task.terminated):
                    self._dialers[name] = await curio.spawn(
                        self._dial, name, daemon=True
                    )
            await curio.sleep(DIAL_CHECK_SECONDS)

    async def _dial(self, name: str) -> None:
        """Dials an entry until its registration is gone."""
        tries = 0
        while name in self._known:
            found = self._known[name]
            try:
                async with links.dial(
                    found.host, found.port, found.token
                ) as link:
                    tries = 0
                    await self.run_link(link)
            except (errors.TransportError, OSError):
                # The table's own lines tell of entries that come and go.
                pass
            pause = backoff.compute_pause(
                tries, longest_seconds=DIAL_SECONDS_LIMIT, rng=self._rng
            )
            tries += 1
            await self._clock.sleep(pause)

    async def serve(self) -> None:
        """Accepts the links of the entries that dial, until cancelled."""
        await links.serve(
            self.run_link, self._me.host, self._me.port, self._me.token
        )

    async def run_link(self, link: links.Link) -> None:
        """Speaks on a link until it ends."""
        await link.send(self._hello, 0)
        try:
            async with curio.timeout_after(SILENCE_SECONDS):
                frame = await link.receive()
        except curio.TaskTimeout as error:
            raise errors.PeerClosedError("no hello") from error
        if not isinstance(frame.message, messages.Hello):
            raise errors.ProtocolError("the first message is hello")
        entry = Entry(link, frame.message)
        reporter = await curio.spawn(self._report, entry, daemon=True)
        try:
            await self._attach(entry)
            await self._read(entry)
        finally:
            await reporter.cancel()
            await self._detach(entry)

    async def _attach(self, entry: Entry) -> None:
        self.linked[entry.hello.instance] = entry
        self._journal.note_change("entry_up", entry=entry.hello.instance)
        self._tell_members()

    async def _detach(self, entry: Entry) -> None:
        name = entry.hello.instance
        if self.linked.get(name) is entry:
            del self.linked[name]
            self._journal.note_change("entry_down", entry=name)
            self._tell_members()
        for queue in entry.waiting.values():
            await queue.put(None)
        for task in list(entry.serving.values()):
            await task.cancel(blocking=False)

    def _tell_members(self) -> None:
        self._note_members(
            ownership.Member(entry.hello.instance, entry.hello.data_centre)
            for entry in self.linked.values()
        )

    async def _report(self, entry: Entry) -> None:
        """Reports on a link for as long as it takes frames."""
        with contextlib.suppress(errors.PeerClosedError):
            while True:
                report = self._reporter.read(self._clock.now())
                await entry.link.send(report, 0)
                await curio.sleep(reports.compute_interval(len(self.linked)))

    async def _read(self, entry: Entry) -> None:
        while True:
            try:
                async with curio.timeout_after(SILENCE_SECONDS):
                    frame = await entry.link.receive()
            except curio.TaskTimeout as error:
                raise errors.PeerClosedError("silent") from error
            await self._take_message(entry, frame.message)

    async def _take_message(self, entry: Entry, message: Any) -> None:
        if isinstance(message, messages.EntryReport):
            entry.adopt_report(message)
            self._note_crashed(message.crashed)
        elif isinstance(message, messages.Pieces):
            entry.serving[message.exchange] = await curio.spawn(
                self._serve_pieces, entry, message, daemon=True
            )
        elif isinstance(message, messages.PiecesDone):
            queue = entry.waiting.get(message.exchange)
            if queue is not None:
                await queue.put(message)
        elif isinstance(message, messages.PiecesWithdrawn):
            task = entry.serving.get(message.exchange)
            if task is not None:
                await task.cancel(blocking=False)
        elif isinstance(message, messages.ResultsReleased):
            await self._server.release_results(message)

    async def _serve_pieces(
        self, entry: Entry, pieces: messages.Pieces
    ) -> None:
        try:
            results = await self._server.serve_pieces(pieces)
            done = messages.PiecesDone(
                pieces.exchange,
                [made.result for made in results],
                [made.reason for made in results],
            )
            with contextlib.suppress(errors.PeerClosedError):
                await entry.link.send(done, 0)
        finally:
            entry.serving.pop(pieces.exchange, None)

    async def run_pieces(
        self,
        entry: Entry,
        endpoint: catalogue.Endpoint,
        items: Sequence[batching.Item],
    ) -> list[proxies.ItemResult]:
        """Has another entry do pieces; those of a lost link have failed."""
        exchange = next(self._exchanges)
        now = self._clock.now()
        first = items[0]
        pieces = messages.Pieces(
            exchange,
            endpoint.name,
            first.attempt,
            first.stage,
            [item.index for item in items],
            first.key,
            list(first.inputs),
            first.result_bytes,
            int((first.due_at - now) * 1000),
            int((first.deadline_at - now) * 1000),
            first.rank,
        )
        failed = [proxies.ItemResult("", "error")] * len(items)
        entry.waiting[exchange] = curio.Queue()
        entry.note_sent(
            endpoint.name, len(items), len(items) * first.result_bytes
        )
        try:
            await entry.link.send(pieces, 0)
            done = await entry.waiting[exchange].get()
        except errors.PeerClosedError:
            return failed
        except curio.CancelledError:
            await self._withdraw(entry, exchange)
            raise
        finally:
            del entry.waiting[exchange]
        if done is None or len(done.results) != len(items):
            return failed
        return [
            proxies.ItemResult(*made)
            for made in zip(done.results, done.reasons, strict=True)
        ]

    async def _withdraw(self, entry: Entry, exchange: int) -> None:
        with contextlib.suppress(errors.PeerClosedError):
            await entry.link.send(messages.PiecesWithdrawn(exchange), 0)

    async def release(
        self, entry: Entry, endpoint: catalogue.Endpoint, names: Sequence[str]
    ) -> None:
        """Asks another entry to free results.

        Raises:
            errors.PeerClosedError: it cannot be asked.
        """
        released = messages.ResultsReleased(endpoint.name, list(names))
        await entry.link.send(released, 0)
