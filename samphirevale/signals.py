"""Signals as values that a curio task reads.

curio 1.6 has no events for signals. Python's wake-up descriptor gets one
byte, the signal's number, for each signal, also while the kernel waits.
"""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterable

from curio import io

# The most signals that are read at once, one byte each.
READ_BYTES = 64


class SignalStream:
    """An asynchronous iterator of the signals that have come."""

    def __init__(self, stream: io.Socket, numbers: frozenset[signal.Signals]):
        self._stream = stream
        self._numbers = numbers
        self._pending: list[signal.Signals] = []

    def __aiter__(self) -> "SignalStream":
        """Returns itself."""
        return self

    async def __anext__(self) -> signal.Signals:
        """Returns the next signal, waiting for it."""
        while not self._pending:
            data = await self._stream.recv(READ_BYTES)
            self._pending = [
                signal.Signals(number)
                for number in data
                if number in self._numbers
            ]
        return self._pending.pop(0)


@contextlib.asynccontextmanager
async def open_signals(
    numbers: Iterable[signal.Signals],
) -> AsyncIterator[SignalStream]:
    """Gives the signals of `numbers` as they come; for the main thread only.

    The handlers from before are put back at the end of the block.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    # A handler must be there, or the signal keeps its default action.
    previous = {number: signal.signal(number, _ignore) for number in numbers}
    previous_descriptor = signal.set_wakeup_fd(
        sender.fileno(), warn_on_full_buffer=False
    )
    async with io.Socket(receiver) as stream:
        try:
            yield SignalStream(stream, frozenset(previous))
        finally:
            signal.set_wakeup_fd(previous_descriptor)
            for number, handler in previous.items():
                signal.signal(number, handler)
            sender.close()


def _ignore(number: int, frame: object) -> None:
    """Does nothing: the wake-up descriptor carries the number."""
