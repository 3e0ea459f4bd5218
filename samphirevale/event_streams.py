"""The event stream of a proxied request, resumable at another endpoint."""

from typing import Protocol

import curio

from samphirevale import catalogue, errors, events, exchanges


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

    async def resume(self, last_event: int | None) -> exchanges.Exchange:
        """Resumes the stream at another endpoint.

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
            self._first = await self._read_chunk()

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
        """Returns the next events; empty after the stream was resumed."""
        try:
            async with curio.timeout_after(
                max(self._run.compute_event_timeout(), 0)
            ):
                return await self._read_chunk()
        except (errors.TransportError, curio.TaskTimeout) as error:
            if isinstance(error, errors.TransportError):
                self._run.record_crash(self._exchange.endpoint)
            await self._parts.aclose()
            await self._exchange.close(failed=True)
            reason = f"{type(error).__name__}: {error}"
            if isinstance(error, curio.TaskTimeout):
                reason = "silent for too long"
        try:
            async with curio.timeout_after(
                max(self._run.compute_remaining_seconds(), 0)
            ):
                self._exchange = await self._run.resume(self._order.last)
        except (errors.AnswerLostError, curio.TaskTimeout) as error:
            reason = f"{reason}; not resumed: {error}"
            self._run.log_stream_end(reason, self._order.last)
            raise errors.AnswerLostError(reason) from error
        self._splitter = events.EventSplitter()
        self._parts = self._exchange.answer.read_parts()
        return b""

    async def _read_chunk(self) -> bytes:
        """Returns the next whole events; sets `_ended` at the end."""
        try:
            part = await self._parts.__anext__()
        except StopAsyncIteration:
            if self._splitter.has_incomplete_event():
                raise errors.AnswerLostError(
                    "the stream ended inside an event"
                ) from None
            self._ended = True
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
