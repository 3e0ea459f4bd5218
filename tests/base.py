"""The base class of the tests, with the helpers that several share."""

import inspect
import itertools
import os
import socket
import unittest
from collections.abc import Iterator
from typing import Any

import curio

# The longest that one asynchronous test may take, in seconds.
TEST_SECONDS = 60.0

# Ports for servers of tests: below those that the system gives to outgoing
# connections. Processes begin so many ports apart.
PORTS = range(20000, 32000)
PORTS_APART = 401


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


def _iterate_ports() -> Iterator[int]:
    """Yields the ports in turn, from another one in each process."""
    start = os.getpid() * PORTS_APART % len(PORTS)
    for offset in itertools.count(start):
        yield PORTS[offset % len(PORTS)]


_ports = _iterate_ports()


def find_free_port() -> int:
    """Returns a TCP port of 127.0.0.1 that is free now.

    No port is returned twice before all have been: a server may bind the one
    that it was given only after the next was asked for.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports never end")
