"""Delivers signals to a curio task as an asynchronous iterator.

curio 1.6 has no events for signals. Python writes one byte, the signal's
number, to its wake-up descriptor for each signal, even while the curio kernel
waits for events.
"""

import contextlib
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterable

from curio import io

# The largest number of signals that are read at once, one byte each.
READ_BYTES = 64


class SignalStream:
    """An asynchronous iterator over received signals.

    Attributes:
        first_at: when each signal was received first, in seconds. The iterator
            may be late if other tasks run for long.
    """

    def __init__(
        self,
        stream: io.Socket,
        numbers: frozenset[signal.Signals],
        first_at: dict[signal.Signals, float],
    ):
        self.first_at = first_at
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
    now: Callable[[], float] = time.monotonic,
) -> AsyncIterator[SignalStream]:
    """Opens a stream of the signals in `numbers`; for the main thread only.

    The previous handlers are restored at the end of the block.

    Args:
        numbers: the signals.
        now: returns the time in seconds.
    """
    first_at: dict[signal.Signals, float] = {}

    def record(number: int, frame: object) -> None:
        first_at.setdefault(signal.Signals(number), now())

    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    # Without a handler, the signal would keep its default action.
    previous = {number: signal.signal(number, record) for number in numbers}
    previous_descriptor = signal.set_wakeup_fd(
        sender.fileno(), warn_on_full_buffer=False
    )
    async with io.Socket(receiver) as stream:
        try:
            yield SignalStream(stream, frozenset(previous), first_at)
        finally:
            signal.set_wakeup_fd(previous_descriptor)
            for number, handler in previous.items():
                signal.signal(number, handler)
            sender.close()
