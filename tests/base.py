"""The base class of the tests, with the helpers that several share."""

import inspect
import socket
import unittest
from typing import Any

import curio

# The longest that one asynchronous test may take, in seconds.
TEST_SECONDS = 60.0


class TestCase(unittest.TestCase):
    """Runs coroutine test methods on curio, each under a time limit."""

    def _callTestMethod(self, method: Any) -> None:  # noqa: N802
        if inspect.iscoroutinefunction(method):
            curio.run(self._run_limited, method)
        else:
            method()

    async def _run_limited(self, method: Any) -> None:
        async with curio.timeout_after(TEST_SECONDS):
            await method()


def find_free_port() -> int:
    """Returns a TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
