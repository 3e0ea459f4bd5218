"""The event stream of a proxied request, resumable at another endpoint.

A broken stream is resumed at once. An endpoint that is only silent may go on:
it is still read while the stream is resumed, and left only when another
endpoint has taken over. That is when it has begun to answer, or has worked on
the stream for a moment without refusing it.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import NoReturn, Protocol

import curio

from samphirevale import catalogue, errors, events, exchanges

# The interval at which the reader of a silent stream checks whether another
# endpoint has taken over, in seconds.
RESUMPTION_CHECK_SECONDS = 0.05

# How long two endpoints may work on one stream, in seconds. An endpoint refuses
# a request in less.
OVERLAP_SECONDS = 0.3

# How long a stream that still sends is read after its deadline, in seconds.
LATE_SECONDS = 0.25

# Why a stream ends whose endpoint sends on after the deadline.
ENDLESS = "sending after the deadline"

# Why a stream ends whose endpoint has sent nothing for too long.
SILENT = "silent for too long"


class StreamRun(Protocol):
    """The run of the request that a stream answers."""

    def compute_event_timeout(self, begun: bool) -> float:
        """Returns the timeout for the next event, in seconds.

        Args:
            begun: whether the present endpoint has sent an event.
        """

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""

    def compute_overlap(self, exchange: exchanges.Exchange) -> float:
        """Returns how long a further endpoint has had the request.

        Args:
            exchange: the exchange with the present endpoint.

        Returns:
            The time in seconds; 0 if there is none, or if it has refused the
            request.
        """

    def record_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Records a broken answer, as the endpoint may have crashed."""

    def record_left(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a silent endpoint was left.

        It gets the request again if no other endpoint accepts it.
        """

    def log_stream_end(self, outcome: str, last: int | None) -> None:
        """Logs the end of the stream."""

    def log_silence(self, last: int | None, outcome: str) -> None:
        """Logs that the endpoint was silent, and what came of it."""

    async def resume(self, last_event: int | None) -> exchanges.Exchange:
        """Resumes the stream at another endpoint.

        Raises:
            errors.AnswerLostError: the stream cannot be resumed.
        """

    def record_events(self) -> None:
        """Records that the caller gets events."""

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
        self._begun = False
        self._ended = False

    async def read_first(self) -> None:
        """Reads the first event, or the end of a stream without events."""
        try:
            while not self._has_first() and not self._ended:
                if len(self._first) > events.EVENT_BYTES_LIMIT:
                    raise errors.ProtocolError("too long a comment")
                self._first += await self._accept_part(await self._read_part())
        except BaseException:
            await self._parts.aclose()
            raise

    def _has_first(self) -> bool:
        """Returns whether there is more for the caller than comments."""
        return bool(self._first) and self._splitter.has_events

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
        if self._exchange.answer.framed:
            self._exchange.record_answered()
        self._run.log_stream_end("complete", self._order.last)
        await self._exchange.close(failed=False)
        raise StopAsyncIteration

    async def _read_or_resume(self) -> bytes:
        """Returns the next events; empty if there are none yet."""
        if self._run.compute_remaining_seconds() < -LATE_SECONDS:
            self._end(ENDLESS)
        timeout = self._run.compute_event_timeout(self._begun)
        try:
            async with curio.timeout_after(max(timeout, 0)):
                part = await self._read_part()
        except errors.TransportError as error:
            await self._resume_broken(error)
            return b""
        except curio.TaskTimeout:
            if not self._compute_remaining():
                self._end(SILENT)
            part = await self._read_silent()
        return await self._accept_or_resume(part)

    async def _accept_or_resume(self, part: bytes) -> bytes:
        """Returns the whole events that a part completes."""
        try:
            return await self._accept_part(part)
        except errors.TransportError as error:
            await self._resume_broken(error)
            return b""

    async def _read_silent(self) -> bytes:
        """Reads on from a silent endpoint until another one has taken over.

        Returns:
            The next part; empty if there is none yet.
        """
        async with self._resuming() as resumption:
            try:
                part = await self._read_during(resumption)
            except errors.TransportError as error:
                reason = await self._close_broken(error)
                await self._adopt_resumed(resumption, reason)
                return b""
            if part or self._ended:
                self._run.log_silence(self._order.last, "went on")
            elif not resumption.terminated or resumption.result is not None:
                self._run.record_left(self._exchange.endpoint)
                await self._close_exchange()
                await self._adopt_resumed(resumption, SILENT)
            return part

    async def _read_during(self, resumption: curio.Task) -> bytes:
        """Returns the next part.

        Returns:
            An empty part if the resumption or the request's time has ended
            before, or another endpoint has taken over.
        """
        while (
            self._compute_remaining()
            and not resumption.terminated
            and self._run.compute_overlap(self._exchange) < OVERLAP_SECONDS
        ):
            async with curio.ignore_after(RESUMPTION_CHECK_SECONDS):
                return await self._read_part()
        return b""

    async def _adopt_resumed(self, resumption: curio.Task, reason: str) -> None:
        """Waits for a resumption and goes on with its answer.

        Raises:
            errors.AnswerLostError: the stream was not resumed.
        """
        async with curio.ignore_after(self._compute_remaining()):
            await resumption.wait()
        if not resumption.terminated or resumption.result is None:
            self._end(f"{reason}; not resumed")
        self._adopt(resumption.result)

    @contextlib.asynccontextmanager
    async def _resuming(self) -> AsyncIterator[curio.Task]:
        """Resumes the stream in a task during the block.

        The result of the task is the new exchange, or None if the stream cannot
        be resumed now. An exchange that was not adopted is closed.
        """
        resumption = await curio.spawn(self._try_resume, daemon=True)
        try:
            yield resumption
        finally:
            await resumption.cancel()
            exchange = None
            if resumption.exception is None:
                exchange = resumption.result
            if exchange is not None and exchange is not self._exchange:
                await exchange.close(failed=False)

    async def _try_resume(self) -> exchanges.Exchange | None:
        try:
            return await self._resume()
        except (errors.AnswerLostError, TimeoutError) as error:
            self._run.log_silence(self._order.last, str(error))
            await self._run.release_results()
            return None

    async def _resume(self) -> exchanges.Exchange:
        """Resumes the stream at another endpoint.

        Raises:
            errors.AnswerLostError: it cannot be resumed, or not without events
                that the caller has.
        """
        if not self._order.all_numbered:
            raise errors.AnswerLostError("events_without_numbers")
        return await self._run.resume(self._order.last)

    async def _resume_broken(self, error: errors.TransportError) -> None:
        """Resumes the stream of an endpoint whose answer broke.

        Raises:
            errors.AnswerLostError: the stream cannot be resumed.
        """
        reason = await self._close_broken(error)
        try:
            async with curio.timeout_after(self._compute_remaining()):
                exchange = await self._resume()
        except (
            errors.AnswerLostError,
            curio.TaskTimeout,
            TimeoutError,
        ) as failure:
            self._end(f"{reason}; not resumed: {failure}")
        self._adopt(exchange)

    async def _close_broken(self, error: errors.TransportError) -> str:
        """Closes an exchange that broke; returns a description of the error."""
        self._exchange.record_broken(error)
        self._run.record_crash(self._exchange.endpoint)
        await self._close_exchange()
        return f"{type(error).__name__}: {error}"

    async def _close_exchange(self) -> None:
        await self._parts.aclose()
        await self._exchange.close(failed=True)

    def _adopt(self, exchange: exchanges.Exchange) -> None:
        """Goes on with the answer of another endpoint."""
        self._exchange = exchange
        self._splitter = events.EventSplitter()
        self._parts = exchange.answer.read_parts()
        self._begun = False

    def _compute_remaining(self) -> float:
        return max(self._run.compute_remaining_seconds(), 0.0)

    def _end(self, reason: str) -> NoReturn:
        """Ends the stream before it is complete."""
        self._run.log_stream_end(reason, self._order.last)
        raise errors.AnswerLostError(reason)

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
            lack = self._find_lack()
            if lack:
                raise errors.AnswerLostError(
                    f"the stream ended {lack}"
                ) from None
            self._ended = True
            return b""

    def _find_lack(self) -> str:
        """Returns where a stream ended that is not whole; empty if it is."""
        if self._splitter.has_incomplete_event():
            return "inside an event"
        framed = self._exchange.answer.framed
        if not self._splitter.has_events and not framed:
            return "before an event"
        highest = self._splitter.highest
        if highest is not None and highest < self._order.last:
            return f"at event {highest}, before {self._order.last}"
        return ""

    async def _accept_part(self, part: bytes) -> bytes:
        """Returns the whole events that a part completes."""
        if not part:
            return b""
        self._begun = True
        self._exchange.record_event()
        self._run.record_events()
        await self._run.release_results()
        new_events = self._order.accept_all(self._splitter.feed(part))
        return b"".join(event.data for event in new_events)

    async def aclose(self) -> None:
        """Closes the stream, which cancels the work at the endpoint."""
        await self._parts.aclose()
        await self._exchange.close(failed=False)
        await self._run.release_results()
