"""Tests of signal streams."""

import os
import signal

import curio

from samphirevale import signals
from tests import base


class SignalsTest(base.TestCase):
    """Tests received signals and the restored handlers."""

    async def test_signals_are_received_in_order(self):
        previous_handler = signal.getsignal(signal.SIGUSR2)
        numbers = {signal.SIGUSR1, signal.SIGUSR2}
        async with signals.open_signals(numbers) as stream:
            for number in (signal.SIGUSR2, signal.SIGUSR1):
                task = await curio.spawn(stream.__anext__)
                await curio.sleep(0.01)
                os.kill(os.getpid(), number)
                self.assertEqual(number, await task.join())
        self.assertEqual(previous_handler, signal.getsignal(signal.SIGUSR2))
