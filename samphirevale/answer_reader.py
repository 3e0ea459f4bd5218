"""Builds calls to the endpoint, and reads and checks their answers."""

import time
from collections.abc import AsyncIterator

import curio

from samphirevale import (
    attempts,
    configuration_holder,
    errors,
    messages,
    token_streams,
)
from samphirevale.ports import endpoints

# Minimum interval between two chunks of one answer, in seconds. Tokens that
# arrive sooner are sent in one chunk. The interval is shorter than a delay
# between tokens that callers would notice.
CHUNK_INTERVAL_SECONDS = 0.02


class AttemptCounts:
    """The executor's counters, for the metrics and the dump."""

    def __init__(self):
        self.accepted = 0
        self.reattached = 0
        self.completed = 0
        self.refused: dict[str, int] = {}
        self.duplicate_tokens = 0
        self.reordered_tokens = 0
        self.crashes = 0

    def count_refusal(self, refusal: messages.Refusal) -> None:
        """Counts a refusal by outcome and reason."""
        key = f"{refusal.outcome}/{refusal.reason}"
        self.refused[key] = self.refused.get(key, 0) + 1


class AnswerReader:
    """Reads and checks one answer and forwards its chunks to the entry.

    Attributes:
        is_finished: whether the answer has ended with a result or a failure,
            in which case no cancel request is needed.
    """

    def __init__(
        self,
        attempt: attempts.Attempt,
        holder: configuration_holder.ConfigurationHolder,
        counts: AttemptCounts,
    ):
        self._attempt = attempt
        self._holder = holder
        self._counts = counts
        self._stream = token_streams.TokenStream(attempt.handover.offset)
        self._tokens: list[str] = []
        self._unsent: list[str] = []
        self._sent_at = float("-inf")
        self._flusher: curio.Task | None = None
        self.is_finished = False

    async def read(
        self, answer: AsyncIterator
    ) -> attempts.Ending | endpoints.Failed:
        """Returns the result, a refusal or the endpoint's failure."""
        try:
            return await self._read_items(answer)
        finally:
            if self._flusher is not None:
                await self._flusher.cancel(blocking=False)
            self._counts.duplicate_tokens += self._stream.duplicates
            self._counts.reordered_tokens += self._stream.reordered

    async def _read_items(
        self, answer: AsyncIterator
    ) -> attempts.Ending | endpoints.Failed:
        try:
            async for item in answer:
                if self._holder.is_recalled(self._attempt.handover.batch):
                    return self._attempt.build_failure_refusal(
                        "recalled", "its batch was recalled meanwhile"
                    )
                if isinstance(item, endpoints.Tokens):
                    await self._handle_tokens(item)
                    continue
                self.is_finished = True
                await self._send_unsent()
                if isinstance(item, endpoints.Completed):
                    return self._build_result(item)
                return item
        except errors.ProtocolError as error:
            return self._attempt.build_failure_refusal(
                "endpoint_failed", str(error)
            )
        return endpoints.Failed("lost", "the answer has no end")

    async def _handle_tokens(self, item: endpoints.Tokens) -> None:
        ready = self._stream.add(item.sequence, item.tokens)
        if not ready:
            return
        if not self._attempt.handover.stream:
            self._tokens += ready
            return
        self._unsent += ready
        wait = self._sent_at + CHUNK_INTERVAL_SECONDS - time.monotonic()
        if wait <= 0:
            await self._send_unsent()
        elif self._flusher is None:
            self._flusher = await curio.spawn(
                self._send_periodically, daemon=True
            )

    async def _send_periodically(self) -> None:
        """Sends the unsent tokens periodically until there are none."""
        await curio.sleep(CHUNK_INTERVAL_SECONDS)
        while self._unsent:
            await self._send_unsent()
            await curio.sleep(CHUNK_INTERVAL_SECONDS)
        self._flusher = None

    async def _send_unsent(self) -> None:
        if not self._unsent:
            return
        tokens, self._unsent = self._unsent, []
        self._sent_at = time.monotonic()
        sequence = self._stream.next_sequence - len(tokens)
        await self._send_chunk(sequence, tokens)

    async def _send_chunk(self, sequence: int, tokens: list[str]) -> None:
        attempt = self._attempt
        if attempt.peer is None or attempt.chunks_missed:
            # Chunks are not stored. Once one is missed, only the ending is
            # sent; its token count shows the entry that tokens are missing.
            attempt.chunks_missed = True
            return
        await attempt.peer.post(
            messages.Chunk(
                attempt.handover.request,
                attempt.handover.stage,
                attempt.handover.attempt,
                sequence,
                tokens,
            )
        )

    def _build_result(self, item: endpoints.Completed) -> messages.Result:
        handover = self._attempt.handover
        payload = item.payload
        if item.digest:
            self._stream.check_complete(item.count, item.digest)
            if not handover.stream:
                payload = {"tokens": self._tokens}
        return messages.Result(
            handover.request,
            handover.stage,
            handover.attempt,
            payload,
            item.count,
            item.digest,
            item.busy_ms,
            handover.batch,
        )


def build_call(handover: messages.Handover) -> endpoints.Call:
    """Returns the endpoint call for a handover."""
    payload = handover.payload if isinstance(handover.payload, dict) else {}
    return endpoints.Call(
        request=handover.request,
        attempt=handover.attempt,
        input=payload.get("input"),
        prior=payload.get("prior"),
        key=handover.key,
        batch=handover.batch,
        offset=handover.offset,
        priority=handover.priority,
        repeatable=handover.repeatable,
    )
