"""Signals as values that a curio task reads.

curio 1.6 has no events for signals. Python's wake-up descriptor gets one
byte, the signal's number, for each signal, also while the kernel waits.
"""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterable

from curio import io


@contextlib.asynccontextmanager
async def open_signals(
    numbers: Iterable[signal.Signals],
) -> AsyncIterator[AsyncIterator[signal.Signals]]:
    """Gives the signals of `numbers` as they come; for the main thread only.

    The handlers from before are put back at the end of the block.
    """
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    # A handler must be there, or the signal keeps its default action.
    previous = {number: signal.signal(number, _ignore) for number in numbers}
    previous_descriptor = signal.set_wakeup_fd(
        sender.fileno(), warn_on_full_buffer=False
    )
    async with io.Socket(receiver) as stream:
        try:
            yield _read_signals(stream, frozenset(previous))
        finally:
            signal.set_wakeup_fd(previous_descriptor)
            for number, handler in previous.items():
                signal.signal(number, handler)
            sender.close()


async def _read_signals(
    stream: io.Socket, numbers: frozenset[signal.Signals]
) -> AsyncIterator[signal.Signals]:
    while data := await stream.recv(64):
        for number in data:
            if number in numbers:
                yield signal.Signals(number)


def _ignore(number: int, frame: object) -> None:
    """Does nothing: the wake-up descriptor carries the number."""
