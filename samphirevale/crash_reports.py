"""Records crashes of endpoints, and tells other entries what they show.

What is recorded is sent to all linked entries by `send_pending`, which is
called at short intervals. An entry that connects gets all that is known.
"""

from collections.abc import Awaitable, Callable, Iterable

from samphirevale import (
    catalogue,
    crashing_parts,
    entry_messages,
    journal,
    message_checks,
    messages,
    metrics,
    proxy_requests,
)
from samphirevale.ports import clock as clocks

# An answer that has gone on for this time after its first event does not crash
# its endpoint, in seconds.
GOES_ON_SECONDS = 0.5

# The refusal of a request whose prompt crashes endpoints.
REASON = "prompt_part_crashes_endpoints"


def list_shared_parts(
    request: proxy_requests.ProxiedRequest,
) -> tuple[str, ...]:
    """Returns the parts of a prompt that other requests may share."""
    return tuple(part.name for part in request.prompt[:-1])


class CrashReports:
    """Implements entry_listeners.CrashListener for one entry.

    Attributes:
        parts: what is known of parts that crash endpoints.
    """

    def __init__(
        self,
        broadcast: Callable[[entry_messages.CrashEvidence], Awaitable[None]],
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        """Initializes reports without a crash.

        Args:
            broadcast: sends a message to all linked entries.
            clock: a clock that includes time while the machine is suspended.
            log: the log of crashes and of parts that are refused.
        """
        self.parts = crashing_parts.CrashingParts()
        self._broadcast = broadcast
        self._clock = clock
        self._journal = log
        self._refused: frozenset[crashing_parts.Group] = frozenset()
        # What has not been told to other entries yet.
        self._untold_crashes: set[crashing_parts.Start] = set()
        self._untold_answers: set[str] = set()
        self._untold_heard: set[crashing_parts.Start] = set()

    def refuses(self, request: proxy_requests.ProxiedRequest) -> bool:
        """Returns whether endpoints crash under parts of a request."""
        shared = list_shared_parts(request)
        if not shared:
            return False
        return self.parts.find_group(shared, self._clock.now()) is not None

    def record_crash(
        self,
        endpoint: catalogue.Endpoint,
        request: proxy_requests.ProxiedRequest,
        sent_at: float,
    ) -> None:
        """Records that an endpoint closed the connection of a request.

        Args:
            endpoint: the endpoint, which may have crashed.
            request: the request, of which no answer has gone on.
            sent_at: when the request was sent.
        """
        start = catalogue.get_start(endpoint)
        parts = list_shared_parts(request)
        sent = dict.fromkeys(parts, sent_at)
        if not self.parts.record_crash(start, self._clock.now(), sent):
            return
        self._untold_crashes.add(start)
        metrics.ENDPOINT_CRASHES.labels(service=endpoint.service).inc()
        self._journal.record_event(
            "endpoint_crashed",
            request=request.attempt,
            endpoint=endpoint.name,
            service=endpoint.service,
            started=endpoint.started,
            parts=list(parts),
        )
        self._update_refused("")

    def record_answer(self, request: proxy_requests.ProxiedRequest) -> None:
        """Records that an answer has gone on, which clears the parts."""
        shared = list_shared_parts(request)
        if not shared:
            return
        cleared = self.parts.record_answer(shared, self._clock.now())
        if cleared:
            self._untold_answers.update(cleared)
            self._update_refused("")

    def record_heard(self, endpoint: catalogue.Endpoint) -> None:
        """Records that something arrived from an endpoint."""
        start = catalogue.get_start(endpoint)
        if self.parts.record_heard(start, self._clock.now()):
            self._untold_heard.add(start)
            self._untold_crashes.discard(start)
            self._update_refused("")

    def adopt_group(self, group: crashing_parts.Group, seconds: float) -> None:
        """Adopts a group from the store that is refused for a time."""
        now = self._clock.now()
        seconds = min(seconds, crashing_parts.CRASH_SECONDS)
        self.parts.adopt_group(group, now + seconds, now)
        self._update_refused("store")

    def list_lasting_groups(self) -> list[crashing_parts.Group]:
        """Returns the refused groups of which no part was ever answered."""
        return [
            group
            for group in self.parts.list_groups(self._clock.now())
            if not self.parts.was_answered(group)
        ]

    def was_answered(self, group: crashing_parts.Group) -> bool:
        """Returns whether a part of a group was ever answered."""
        return self.parts.was_answered(group)

    def update(self) -> None:
        """Logs and counts the parts that are refused by now."""
        self._update_refused("")

    def _update_refused(self, source: str) -> None:
        """Logs the parts that are refused from now on, or no longer are.

        Args:
            source: the entry that told it; empty for this one.
        """
        now = self._clock.now()
        before, self._refused = self._refused, self.parts.list_groups(now)
        if before == self._refused:
            return
        metrics.CRASHING_PARTS.set(len(self._refused))
        for group in self._refused - before:
            self._journal.record_event(
                "parts_refused", parts=sorted(group), source=source
            )
        for group in before - self._refused:
            self._journal.record_event(
                "parts_accepted", parts=sorted(group), source=source
            )

    async def send_pending(self) -> None:
        """Tells the linked entries what they have not been told."""
        untold = (
            self._untold_crashes,
            self._untold_answers,
            self._untold_heard,
        )
        if not any(untold):
            return
        crashes, answers, heard = map(set, untold)
        for names in untold:
            names.clear()
        await self._broadcast(self._build(crashes, answers, heard))

    def build_evidence(self) -> entry_messages.CrashEvidence:
        """Returns all that is known, for an entry that connects."""
        crashes = {start for start, _ in self.parts.list_crashes()}
        answers = self.parts.list_accused()
        heard = {start for start, _ in self.parts.list_heard()}
        return self._build(crashes, answers, heard)

    def _build(
        self,
        crashes: set[crashing_parts.Start],
        answers: set[str],
        heard: set[crashing_parts.Start],
    ) -> entry_messages.CrashEvidence:
        now = self._clock.now()

        def compute_age(at: float) -> float:
            return messages.round_ms((now - at) * 1000)

        def list_parts(parts: Iterable[str]) -> list[str]:
            return message_checks.list_sendable(
                parts, message_checks.PARTS_LIMIT
            )

        return entry_messages.CrashEvidence(
            [
                [
                    *start,
                    compute_age(crash.at),
                    list_parts(crash.sent),
                    [
                        compute_age(crash.sent[part])
                        for part in list_parts(crash.sent)
                    ],
                ]
                for start, crash in self.parts.list_crashes()
                if start in crashes
            ],
            [
                [part, compute_age(at)]
                for part, at in self.parts.list_answered(answers)
                if message_checks.is_sendable(part)
            ],
            [
                [*start, compute_age(at)]
                for start, at in self.parts.list_heard()
                if start in heard
            ],
        )

    def adopt_evidence(
        self, entry: str, message: entry_messages.CrashEvidence
    ) -> None:
        """Adopts what another entry knows of crashes and answers."""
        now = self._clock.now()
        for name, started, age_ms in message.heard:
            start = crashing_parts.Start(name, started)
            self.parts.record_heard(start, now - age_ms / 1000)
        for part, age_ms in message.answered:
            self.parts.record_answer([part], now - age_ms / 1000)
        for name, started, age_ms, parts, sent_ages in message.crashes:
            start = crashing_parts.Start(name, started)
            sent = {
                part: now - sent_age / 1000
                for part, sent_age in zip(parts, sent_ages, strict=False)
            }
            self.parts.record_crash(start, now - age_ms / 1000, sent)
            self._answer_accusation(sent)
        self._update_refused(entry)

    def _answer_accusation(self, accused: Iterable[str]) -> None:
        """Tells the other entries which accused parts were answered here."""
        for part, _ in self.parts.list_answered(accused):
            self._untold_answers.add(part)
