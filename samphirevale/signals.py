"""Delivers signals to a curio task as an asynchronous iterator.

curio 1.6 has no events for signals. Python writes one byte, the signal's
number, to its wake-up descriptor for each signal, even while the curio kernel
waits for events.
"""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterable

from curio import io

# The largest number of signals that are read at once, one byte each.
READ_BYTES = 64


class SignalStream:
    """An asynchronous iterator over received signals."""

    def __init__(self, stream: io.Socket, numbers: frozenset[signal.Signals]):
        self._stream = stream
        self._numbers = numbers
        self._pending: list[signal.Signals] = []

    def __aiter__(self) -> "SignalStream":
        """Returns the iterator itself."""
        return self

    async def __anext__(self) -> signal.Signals:
        """Waits for the next signal and returns it."""
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
    """Opens a stream of the signals in `numbers`; for the main thread only.

    The previous handlers are restored at the end of the block.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    # Without a handler, the signal would keep its default action.
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
    """Does nothing, as the wake-up descriptor delivers the signal."""
