"""An entry's node on curio whose sidecars follow a script."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from lab import deployments
from samphirevale import (
    admission,
    answers,
    callers,
    configuration,
    keyed,
    messages,
    node,
    quarantine,
    retries,
    routing,
    settings,
    sidecars,
    snapshots,
    statistics,
)
from samphirevale.adapters import clock
from tests import base, fakes

TOKENS = ["a", "b", "c", "d"]

# Longer than any test, in seconds: nothing falls silent by chance.
SUSPECT_SECONDS = 1000.0

SETTINGS = settings.EntrySettings(
    settings.CommonSettings(
        "entry-0",
        "dc1",
        "127.0.0.1",
        1,
        "",
        "",
        suspect_seconds=SUSPECT_SECONDS,
    ),
    2,
    "",
)

# What a sidecar does with an attempt that is handed to it.
Step = Callable[["ScriptedSidecar", messages.Handover], Awaitable[None]]


class ScriptedSidecar:
    """A sidecar, and the entry's connection to it (adapters.link.Link).

    Attributes:
        peer: the entry's view of it.
        handovers: the attempts that were handed over.
        cancelled: the ids of the attempts that were cancelled.
        steps: what it does with the next attempts, in turn.
    """

    def __init__(self, entry: "EntryTestCase", endpoint: str, pool: str):
        self._entry = entry
        self.hello = messages.Hello(
            f"sidecar-{endpoint}", "1", "sidecar", "dc1", endpoint, pool
        )
        # The lower an endpoint's number, the earlier it is chosen.
        running = int(endpoint.rpartition("-")[2])
        self.heartbeat = messages.Heartbeat(
            0, False, running, limit=8, service_ms=1.0
        )
        if pool == "engines":
            self.heartbeat = self.heartbeat._replace(batches=["b1", "b2"])
        self.handovers: list[messages.Handover] = []
        self.cancelled: list[str] = []
        self.steps: list[Step] = []
        self.peer = sidecars.Peer(f"{endpoint}:0", entry.node.holder)

    async def attach(self, incarnation: str = "1") -> None:
        """Connects it, as the process with this token."""
        hello = self.hello._replace(incarnation=incarnation)
        now = self._entry.node.clock.now()
        await self.peer.attach(self, hello, now)
        self.peer.heartbeat = self.heartbeat
        self._entry.node.peers.peers[self.peer.address] = self.peer
        self._entry.node.peers.enroll(self.peer)
        self._entry.node.router.note_report(
            hello.endpoint, hello.pool, "dc1", self.heartbeat, now
        )

    async def send(self, message: Any, revision: int) -> None:
        """Takes in what the entry sends."""
        if isinstance(message, messages.Cancel):
            self.cancelled.append(message.attempt)
            return
        self.handovers.append(message)
        step = self.steps.pop(0) if self.steps else give_result
        await curio.spawn(step, self, message, daemon=True)

    async def say(self, message: Any) -> None:
        """Sends a message to the entry."""
        await self._entry.node.peers._take_message(self.peer, self, message)


async def give_result(
    sidecar: ScriptedSidecar, handover: messages.Handover
) -> None:
    """Gives the whole answer, from the offset that is asked for."""
    count, digest, payload = 0, "", {"of": handover.stage}
    if handover.stream:
        await give_tokens(sidecar, handover, len(TOKENS))
        count, digest = len(TOKENS), answers.digest_tokens(TOKENS)
        payload = None
    names = (handover.request, handover.stage, handover.attempt)
    await sidecar.say(
        messages.Result(*names, payload, count, digest, 1.0, handover.batch)
    )


async def give_tokens(
    sidecar: ScriptedSidecar, handover: messages.Handover, end: int
) -> None:
    """Gives the tokens from the offset up to `end`."""
    names = (handover.request, handover.stage, handover.attempt)
    for number in range(handover.offset, end):
        await sidecar.say(messages.Chunk(*names, number, [TOKENS[number]]))


def refuse(
    outcome: str, reason: str = "endpoint_failed", tokens: int = 0
) -> Step:
    """Returns a step that gives some tokens and refuses then."""

    async def step(sidecar, handover):
        await give_tokens(sidecar, handover, tokens)
        names = (handover.request, handover.stage, handover.attempt)
        await sidecar.say(
            messages.Refusal(*names, outcome, reason, "scripted", 0, 0.0)
        )

    return step


async def cut(sidecar: ScriptedSidecar, _: messages.Handover) -> None:
    """Cuts the connection; the same process is back at once."""
    await sidecar.peer.detach()
    await sidecar.attach()


async def replace(sidecar: ScriptedSidecar, _: messages.Handover) -> None:
    """Cuts the connection; another process is there at once."""
    await sidecar.peer.detach()
    await sidecar.attach("2")


class EntryTestCase(base.TestCase):
    """Gives each test a node without sidecars."""

    def setUp(self):
        super().setUp()
        rng = random.Random(1)
        self.crashes: list[messages.CrashNotice] = []
        self.store = fakes.FakeStore()
        holder = snapshots.SnapshotHolder()
        value = deployments.build_configuration()
        value["batches"]["b2"] = {**value["batches"]["b1"], "order": 2}
        value["revision"] = 2
        self.assertTrue(holder.adopt(configuration.Configuration(2, value)))
        events = sidecars.PeerEvents(
            lambda peer: None, lambda peer: None, self._note_crash
        )
        machine_clock = clock.MonotonicClock()
        self.node = node.Node(
            settings=SETTINGS,
            holder=holder,
            peers=sidecars.PeerTable(
                None,
                SETTINGS.common,
                holder,
                events,
                rng,
                machine_clock.now,
            ),
            router=routing.Router("least_reported", "dc1", rng),
            admission=admission.Admission("none"),
            retries=retries.Retries(),
            quarantine=quarantine.Quarantine(),
            keeper=keyed.Keeper(self.store, machine_clock, 60.0),
            store=self.store,
            statistics=statistics.Statistics(),
            rng=rng,
            clock=machine_clock,
        )

    async def _note_crash(self, notice: messages.CrashNotice) -> None:
        self.crashes.append(notice)

    async def add(
        self, endpoint: str, pool: str, *steps: Step
    ) -> ScriptedSidecar:
        """Returns a connected sidecar with these steps."""
        sidecar = ScriptedSidecar(self, endpoint, pool)
        sidecar.steps = list(steps)
        await sidecar.attach()
        return sidecar

    def recall(self, batch: str) -> None:
        """Adopts a configuration in which `batch` is recalled."""
        held = self.node.holder.held
        batches = held.value["batches"]
        changed = {**batches[batch], "state": "recalled"}
        value = {**held.value, "revision": held.revision + 1}
        value["batches"] = {**batches, batch: changed}
        adopted = self.node.holder.adopt(
            configuration.Configuration(held.revision + 1, value)
        )
        self.assertTrue(adopted)


def build_request(**changes: Any) -> callers.CallerRequest:
    """Returns a checked request."""
    return callers.CallerRequest(
        id="entry-0-1",
        account="colheita",
        pipeline="slot-confirmation",
        input="Row 7.",
        deadline_ms=5000,
        stream=False,
        idempotent=True,
        key="key-1",
        priority=9,
        fingerprint="f",
    )._replace(**changes)
