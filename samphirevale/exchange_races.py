"""Exchanges of one request with several endpoints; the first answer counts.

An endpoint that is silent for long may still answer before the one that was
asked after it, which may refuse the request or be silent, too.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import curio

from samphirevale import catalogue, errors, proxy_requests

# Sends the request to an endpoint and returns its answer.
Send = Callable[[catalogue.Endpoint], Awaitable[proxy_requests.Answer]]


class FinishedExchange(NamedTuple):
    """An exchange that has ended, or whose stream has begun.

    Attributes:
        endpoint: the endpoint to which the request was sent.
        outcome: the answer, or the error that ended the exchange.
    """

    endpoint: catalogue.Endpoint
    outcome: proxy_requests.Answer | errors.TransportError | TimeoutError


class ExchangeRace:
    """The exchanges of one request that are in progress.

    Attributes:
        running: the number of exchanges in progress.
    """

    def __init__(self):
        self.running = 0
        self._tasks: list[tuple[catalogue.Endpoint, curio.Task]] = []
        self._finished: curio.Queue = curio.Queue()

    async def start(self, endpoint: catalogue.Endpoint, send: Send) -> None:
        """Sends the request to a further endpoint."""
        self.running += 1
        task = await curio.spawn(self._run, endpoint, send, daemon=True)
        self._tasks.append((endpoint, task))

    async def _run(self, endpoint: catalogue.Endpoint, send: Send) -> None:
        try:
            outcome = await send(endpoint)
        except (Exception, curio.TaskTimeout) as error:
            outcome = error
        await self._finished.put(FinishedExchange(endpoint, outcome))

    async def wait(self, seconds: float) -> FinishedExchange | None:
        """Returns the next exchange that ends, or None after a time.

        Raises:
            Exception: the unexpected error of an exchange.
        """
        finished = None
        async with curio.ignore_after(max(seconds, 0.0)):
            finished = await self._finished.get()
        if finished is None:
            return None
        self.running -= 1
        if _is_unexpected(finished.outcome):
            raise finished.outcome
        return finished

    async def keep_last(self) -> list[catalogue.Endpoint]:
        """Cancels all exchanges but the one that was started last.

        Returns:
            The endpoints whose exchanges were in progress.
        """
        *earlier, last = self._tasks
        self._tasks = [last]
        cancelled = []
        for endpoint, task in earlier:
            await task.cancel()
            if isinstance(task.exception, curio.TaskCancelled):
                self.running -= 1
                cancelled.append(endpoint)
        return cancelled

    async def close(self) -> None:
        """Cancels what is in progress, and closes streams nobody reads.

        A deadline that passes meanwhile takes effect afterwards.
        """
        async with curio.disable_cancellation():
            for _, task in self._tasks:
                await task.cancel()
            while not self._finished.empty():
                outcome = (await self._finished.get()).outcome
                if isinstance(outcome, proxy_requests.StreamedAnswer):
                    await outcome.chunks.aclose()


def _is_unexpected(outcome: object) -> bool:
    """Returns whether an outcome is an error of the program."""
    return isinstance(outcome, BaseException) and not isinstance(
        outcome, errors.TransportError | TimeoutError
    )


@contextlib.asynccontextmanager
async def open_race() -> AsyncIterator[ExchangeRace]:
    """Closes the race at the end of the block."""
    race = ExchangeRace()
    try:
        yield race
    finally:
        await race.close()
