"""An entry's context with scripted sidecars, for tests on curio."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from lab import deployments
from samphirevale import (
    admission,
    callers,
    configuration,
    configuration_holder,
    entry_context,
    idempotency,
    messages,
    quarantine,
    retries,
    routing,
    settings,
    sidecars,
    statistics,
    token_buffers,
)
from samphirevale.adapters import clock
from tests import base, fakes

TOKENS = ["a", "b", "c", "d"]

# Longer than any test, so no sidecar is suspected by accident.
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

# The reaction of a scripted sidecar to a handover.
Step = Callable[["ScriptedSidecar", messages.Handover], Awaitable[None]]


class ScriptedSidecar:
    """A scripted sidecar and the connection to it (adapters.link.Link).

    Attributes:
        peer: the entry's state of the sidecar.
        handovers: the handovers received.
        cancelled: the ids of the cancelled attempts.
        steps: the reactions to the next handovers, in order.
    """

    def __init__(self, entry: "EntryTestCase", endpoint: str, pool: str):
        self._entry = entry
        self.hello = messages.Hello(
            f"sidecar-{endpoint}", "1", "sidecar", "dc1", endpoint, pool
        )
        # The reported load makes the router prefer lower endpoint numbers.
        running = int(endpoint.rpartition("-")[2])
        self.heartbeat = messages.Heartbeat(
            0, False, running, limit=8, service_ms=1.0
        )
        if pool == "engines":
            self.heartbeat = self.heartbeat._replace(batches=["b1", "b2"])
        self.handovers: list[messages.Handover] = []
        self.cancelled: list[str] = []
        self.steps: list[Step] = []
        self.peer = sidecars.Peer(f"{endpoint}:0", entry.context.holder)

    async def attach(self, incarnation: str = "1") -> None:
        """Connects the sidecar as the process with this incarnation."""
        hello = self.hello._replace(incarnation=incarnation)
        now = self._entry.context.clock.now()
        await self.peer.attach(self, hello, now)
        self.peer.heartbeat = self.heartbeat
        self._entry.context.peers.peers[self.peer.address] = self.peer
        self._entry.context.peers.index_peer(self.peer)
        self._entry.context.router.record_report(
            hello.endpoint, hello.pool, "dc1", self.heartbeat, now
        )

    async def send(self, message: Any, revision: int) -> None:
        """Receives a message from the entry."""
        if isinstance(message, messages.Cancel):
            self.cancelled.append(message.attempt)
            return
        self.handovers.append(message)
        step = self.steps.pop(0) if self.steps else send_result
        await curio.spawn(step, self, message, daemon=True)

    async def send_to_entry(self, message: Any) -> None:
        """Sends a message to the entry."""
        await self._entry.context.peers._handle_message(
            self.peer, self, message
        )


async def send_result(
    sidecar: ScriptedSidecar, handover: messages.Handover
) -> None:
    """Sends the complete answer, from the requested offset."""
    count, digest, payload = 0, "", {"of": handover.stage}
    if handover.stream:
        await send_tokens(sidecar, handover, len(TOKENS))
        count, digest = len(TOKENS), token_buffers.digest_tokens(TOKENS)
        payload = None
    ids = (handover.request, handover.stage, handover.attempt)
    await sidecar.send_to_entry(
        messages.Result(*ids, payload, count, digest, 1.0, handover.batch)
    )


async def send_tokens(
    sidecar: ScriptedSidecar, handover: messages.Handover, end: int
) -> None:
    """Sends the tokens from the requested offset up to `end`."""
    ids = (handover.request, handover.stage, handover.attempt)
    for number in range(handover.offset, end):
        await sidecar.send_to_entry(
            messages.Chunk(*ids, number, [TOKENS[number]])
        )


def build_refusing_step(
    outcome: str, reason: str = "endpoint_failed", tokens: int = 0
) -> Step:
    """Returns a step that sends some tokens and then a refusal."""

    async def step(sidecar, handover):
        await send_tokens(sidecar, handover, tokens)
        ids = (handover.request, handover.stage, handover.attempt)
        await sidecar.send_to_entry(
            messages.Refusal(*ids, outcome, reason, "scripted", 0, 0.0)
        )

    return step


async def disconnect(sidecar: ScriptedSidecar, _: messages.Handover) -> None:
    """Closes the connection; the same process reconnects at once."""
    await sidecar.peer.detach()
    await sidecar.attach()


async def restart(sidecar: ScriptedSidecar, _: messages.Handover) -> None:
    """Closes the connection; a new process connects at once."""
    await sidecar.peer.detach()
    await sidecar.attach("2")


class EntryTestCase(base.TestCase):
    """A test case with an entry's context, without any sidecars yet."""

    def setUp(self):
        super().setUp()
        rng = random.Random(1)
        self.crashes: list[messages.CrashNotice] = []
        self.store = fakes.FakeStore()
        holder = configuration_holder.ConfigurationHolder()
        value = deployments.build_configuration()
        value["batches"]["b2"] = {**value["batches"]["b1"], "order": 2}
        value["revision"] = 2
        self.assertTrue(holder.adopt(configuration.Configuration(2, value)))
        events = sidecars.PeerEvents(
            lambda peer: None, lambda peer: None, self._record_crash_notice
        )
        monotonic_clock = clock.MonotonicClock()
        self.context = entry_context.EntryContext(
            settings=SETTINGS,
            holder=holder,
            peers=sidecars.PeerTable(
                None,
                SETTINGS.common,
                holder,
                events,
                rng,
                monotonic_clock.now,
            ),
            router=routing.Router("least_reported", "dc1", rng),
            admission=admission.Admission("none"),
            retries=retries.RetryController(),
            quarantine=quarantine.Quarantine(),
            claim_manager=idempotency.ClaimManager(
                self.store, monotonic_clock, 60.0
            ),
            store=self.store,
            statistics=statistics.Statistics(),
            rng=rng,
            clock=monotonic_clock,
        )

    async def _record_crash_notice(self, notice: messages.CrashNotice) -> None:
        self.crashes.append(notice)

    async def add_sidecar(
        self, endpoint: str, pool: str, *steps: Step
    ) -> ScriptedSidecar:
        """Connects and returns a sidecar with these steps."""
        sidecar = ScriptedSidecar(self, endpoint, pool)
        sidecar.steps = list(steps)
        await sidecar.attach()
        return sidecar

    def recall(self, batch: str) -> None:
        """Adopts a configuration in which `batch` is recalled."""
        present = self.context.holder.held
        batches = present.value["batches"]
        changed = {**batches[batch], "state": "recalled"}
        value = {**present.value, "revision": present.revision + 1}
        value["batches"] = {**batches, batch: changed}
        adopted = self.context.holder.adopt(
            configuration.Configuration(present.revision + 1, value)
        )
        self.assertTrue(adopted)


def build_request(**changes: Any) -> callers.CallerRequest:
    """Returns a validated request."""
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
