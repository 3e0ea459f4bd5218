"""The base class of the tests and shared helpers."""

import collections
import contextlib
import inspect
import itertools
import os
import unittest
from collections.abc import AsyncIterator, Iterator
from typing import Any

import curio

from lab import processes
from samphirevale import metrics

# The timeout of an asynchronous test, in seconds.
TEST_TIMEOUT_SECONDS = 60.0

# The ports for servers in tests. They are below the ephemeral ports, which the
# system assigns to outgoing connections, and none of those for programs. Each
# process starts at an offset of its process id times PORT_STRIDE, to avoid
# collisions between processes.
PORTS = range(processes.PORTS.stop, 32000)
PORT_STRIDE = 401

# The number of ports that are held for servers that do not listen yet, more
# than a test starts.
HELD_PORTS = 200

# The methods of unittest.TestCase that tests may override.
OVERRIDDEN_METHODS = {"setUp", "tearDown", "setUpClass", "tearDownClass"}


class TestCase(unittest.TestCase):
    """Runs coroutine test methods on curio with a timeout."""

    def __init_subclass__(cls, **arguments: Any) -> None:
        """Checks that a helper does not replace a method of unittest.

        An assertion calls `fail` and would pass with a coroutine of that name.
        """
        super().__init_subclass__(**arguments)
        replaced = [
            name
            for name in vars(cls)
            if callable(getattr(unittest.TestCase, name, None))
            and not name.startswith("_")
            and name not in OVERRIDDEN_METHODS
        ]
        if replaced:
            raise TypeError(f"{cls.__name__} replaces {', '.join(replaced)}")

    def _callTestMethod(self, method: Any) -> None:  # noqa: N802
        if inspect.iscoroutinefunction(method):
            curio.run(self._run_limited, method)
        else:
            method()

    async def _run_limited(self, method: Any) -> None:
        async with curio.timeout_after(TEST_TIMEOUT_SECONDS):
            await method()


def read_counter(name: str, **labels: str) -> float:
    """Returns the value of a counter; 0 if it has no such labels yet.

    Args:
        name: the name without the prefix and the suffix of all counters.
        **labels: the labels, in the order in which they are rendered.
    """
    sample = f"samphirevale_{name}_total"
    if labels:
        pairs = (f'{key}="{value}"' for key, value in labels.items())
        sample += f"{{{','.join(pairs)}}}"
    sample += " "
    return sum(
        float(line.removeprefix(sample))
        for line in metrics.render().decode().splitlines()
        if line.startswith(sample)
    )


def _iterate_ports(ports: range) -> Iterator[int]:
    """Yields ports in a cycle whose start depends on the process id."""
    start = os.getpid() * PORT_STRIDE % len(ports)
    for offset in itertools.count(start):
        yield ports[offset % len(ports)]


_ports = _iterate_ports(PORTS)


def use_ports(number: int, count: int) -> None:
    """Uses one of `count` equal parts of the ports, no other process's."""
    global _ports
    _ports = _iterate_ports(PORTS[number::count])


@contextlib.asynccontextmanager
async def open_group() -> AsyncIterator[curio.TaskGroup]:
    """Waits for the tasks of a group, and raises the first error of one.

    A group of curio alone cancels the others and keeps the error.
    """
    async with curio.TaskGroup() as group:
        yield group
    for error in group.exceptions:
        if error is not None and not isinstance(error, curio.CancelledError):
            raise error


# The descriptors of the sockets that hold ports.
_holders: collections.deque[int] = collections.deque()


def find_free_port() -> int:
    """Returns a TCP port of 127.0.0.1 that is free now.

    A port is not returned again before all others were, and the latest
    HELD_PORTS are held, because a server may bind its port only after the next
    call of this function, in this process or another one.
    """
    for port in _ports:
        holder = processes.hold_port(port)
        if holder is None:
            continue
        _holders.append(holder.detach())
        if len(_holders) > HELD_PORTS:
            os.close(_holders.popleft())
        return port
    raise AssertionError("the ports never end")
