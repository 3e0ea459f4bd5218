"""The event stream of a proxied request, resumable at another endpoint.

A broken stream is resumed at once. An endpoint that is only silent may go on:
it is still read while the resumption is prepared, and left only when another
endpoint can take over.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

import curio

from samphirevale import catalogue, errors, events, exchanges

# The interval at which a silent stream's reader checks whether its resumption
# has been prepared, in seconds.
PREPARATION_CHECK_SECONDS = 0.05

# Why a stream is resumed whose endpoint has sent nothing for too long.
SILENT = "silent for too long"


class PreparedResume(NamedTuple):
    """Where a stream can be resumed.

    Attributes:
        endpoint: the endpoint that is to go on.
        results: the names of the results of the stages, which ran again.
    """

    endpoint: catalogue.Endpoint
    results: tuple[str, ...]


class _Reading(NamedTuple):
    """What came of waiting for a stream.

    Attributes:
        part: the next part; empty if there was none.
        prepared: where to resume the stream; None to read on.
    """

    part: bytes = b""
    prepared: PreparedResume | None = None


class StreamRun(Protocol):
    """The run of the request that a stream answers."""

    def compute_event_timeout(self) -> float:
        """Returns the timeout for the next event, in seconds."""

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""

    def record_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Records a broken answer, as the endpoint may have crashed."""

    def log_stream_end(self, outcome: str, last: int | None) -> None:
        """Logs the end of the stream."""

    def log_silence(self, last: int | None, outcome: str) -> None:
        """Logs that the endpoint was silent, and what came of it."""

    async def prepare_resume(self) -> PreparedResume:
        """Runs the stages again and chooses another endpoint.

        Raises:
            errors.AnswerLostError: the stream cannot be resumed now.
        """

    def may_send_again(self) -> bool:
        """Returns whether the request may be sent again, and counts it."""

    async def resume(
        self, last_event: int | None, prepared: PreparedResume | None
    ) -> exchanges.Exchange:
        """Resumes the stream at another endpoint.

        Args:
            last_event: the number of the last event that was received.
            prepared: where to resume it first, after `may_send_again`; None
                to prepare that now.

        Raises:
            errors.AnswerLostError: the stream cannot be resumed.
        """

    async def release_results(self) -> None:
        """Releases the results of the stages."""


class EventStream:
    """Iterates over whole events of an answer across several exchanges."""

    def __init__(
        self,
        run: StreamRun,
        exchange: exchanges.Exchange,
        last_event: int | None,
    ):
        self._run = run
        self._exchange = exchange
        self._order = events.EventOrder(last_event)
        self._splitter = events.EventSplitter()
        self._parts = exchange.answer.read_parts()
        self._first = b""
        self._ended = False

    async def read_first(self) -> None:
        """Reads the first event, or the end of a stream without events."""
        while not self._first and not self._ended:
            self._first = await self._accept_part(await self._read_part())

    def __aiter__(self) -> "EventStream":
        """Returns the stream itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk of whole events."""
        if self._first:
            first, self._first = self._first, b""
            return first
        while not self._ended:
            chunk = await self._read_or_resume()
            if chunk:
                return chunk
        self._run.log_stream_end("complete", self._order.last)
        await self._exchange.close(failed=False)
        raise StopAsyncIteration

    async def _read_or_resume(self) -> bytes:
        """Returns the next events; empty if there are none yet."""
        try:
            reading = await self._read_or_prepare()
            if reading.prepared is None:
                return await self._accept_part(reading.part)
            reason = SILENT
        except errors.TransportError as error:
            self._run.record_crash(self._exchange.endpoint)
            reading = _Reading()
            reason = f"{type(error).__name__}: {error}"
        except curio.TaskTimeout:
            reading = _Reading()
            reason = SILENT
        await self._resume(reason, reading.prepared)
        return b""

    async def _read_or_prepare(self) -> _Reading:
        """Waits for the next part.

        Raises:
            curio.TaskTimeout: the endpoint was silent until the deadline.
        """
        timeout = self._run.compute_event_timeout()
        try:
            async with curio.timeout_after(max(timeout, 0)):
                return _Reading(await self._read_part())
        except curio.TaskTimeout:
            if self._run.compute_remaining_seconds() <= 0:
                raise
        return await self._read_silent()

    async def _read_silent(self) -> _Reading:
        """Reads on from a silent endpoint until another one can take over."""
        async with self._preparing_resume() as preparation:
            while not preparation.terminated:
                async with curio.ignore_after(PREPARATION_CHECK_SECONDS):
                    reading = _Reading(await self._read_part())
                    self._run.log_silence(self._order.last, "went on")
                    return reading
            prepared = preparation.result
        if prepared is not None and not self._run.may_send_again():
            self._run.log_silence(self._order.last, "no_retry_left")
            await self._run.release_results()
            prepared = None
        return _Reading(prepared=prepared)

    @contextlib.asynccontextmanager
    async def _preparing_resume(self) -> AsyncIterator[curio.Task]:
        """Prepares to resume the stream in a task during the block.

        The result of the task is None if the stream cannot be resumed now.
        """
        preparation = await curio.spawn(self._prepare_resume, daemon=True)
        try:
            yield preparation
        finally:
            await preparation.cancel()

    async def _prepare_resume(self) -> PreparedResume | None:
        try:
            return await self._run.prepare_resume()
        except errors.AnswerLostError as error:
            self._run.log_silence(self._order.last, str(error))
            return None

    async def _resume(
        self, reason: str, prepared: PreparedResume | None
    ) -> None:
        """Resumes the stream at another endpoint.

        Raises:
            errors.AnswerLostError: the stream cannot be resumed.
        """
        await self._parts.aclose()
        await self._exchange.close(failed=True)
        try:
            async with curio.timeout_after(
                max(self._run.compute_remaining_seconds(), 0)
            ):
                self._exchange = await self._run.resume(
                    self._order.last, prepared
                )
        except (errors.AnswerLostError, curio.TaskTimeout) as error:
            reason = f"{reason}; not resumed: {error}"
            self._run.log_stream_end(reason, self._order.last)
            raise errors.AnswerLostError(reason) from error
        self._splitter = events.EventSplitter()
        self._parts = self._exchange.answer.read_parts()

    async def _read_part(self) -> bytes:
        """Returns the next part; sets `_ended` at the end.

        A read that is cancelled loses nothing.
        """
        try:
            return await self._parts.__anext__()
        except curio.CancelledError:
            # A cancelled iterator has ended; a new one goes on where it was.
            self._parts = self._exchange.answer.read_parts()
            raise
        except StopAsyncIteration:
            if self._splitter.has_incomplete_event():
                raise errors.AnswerLostError(
                    "the stream ended inside an event"
                ) from None
            self._ended = True
            return b""

    async def _accept_part(self, part: bytes) -> bytes:
        """Returns the whole events that a part completes."""
        if not part:
            return b""
        self._exchange.record_first_event()
        await self._run.release_results()
        return b"".join(
            event.data
            for event in self._splitter.feed(part)
            if self._order.accept(event)
        )

    async def aclose(self) -> None:
        """Closes the stream, which cancels the work at the endpoint."""
        await self._parts.aclose()
        await self._exchange.close(failed=False)
        await self._run.release_results()
