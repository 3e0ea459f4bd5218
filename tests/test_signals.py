"""Tests of signals as values."""

import os
import signal

import curio

from samphirevale import signals
from tests import base


class SignalsTest(base.TestCase):
    """What is read, and that the handlers are put back."""

    async def test_signals_come_in_turn(self):
        before = signal.getsignal(signal.SIGUSR2)
        wanted = {signal.SIGUSR1, signal.SIGUSR2}
        async with signals.open_signals(wanted) as stream:
            for number in (signal.SIGUSR2, signal.SIGUSR1):
                task = await curio.spawn(stream.__anext__)
                await curio.sleep(0.01)
                os.kill(os.getpid(), number)
                self.assertEqual(number, await task.join())
        self.assertEqual(before, signal.getsignal(signal.SIGUSR2))
