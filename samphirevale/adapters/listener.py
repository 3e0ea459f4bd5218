"""Accepts connections, one task each, and survives failures to accept."""

import contextlib
import errno
import math
import select
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import network

from samphirevale import logs

# Maximum number of connections waiting to be accepted.
BACKLOG = 1024

# Delay before accepting again after a failure, in seconds. The usual failure
# is a lack of file descriptors, and nothing signals when one becomes free.
RETRY_SECONDS = 0.05

# How long a server that is cancelled accepts connections that have been
# established, in seconds.
QUEUED_SECONDS = 0.1


# How long a server that has its limit of connections waits, in seconds.
FULL_SECONDS = 0.01


class Gate:
    """Bounds the connections that a server has open at once.

    Those over the limit wait to be accepted, in the order of their arrival.

    Attributes:
        open: the number of accepted connections that are not closed.
        limit: the number from which on none is accepted. A server that is
            waiting for one when it is reached accepts that one.
    """

    def __init__(self):
        self.open = 0
        self.limit = math.inf

    def is_full(self) -> bool:
        """Returns whether no connection may be accepted now."""
        return self.open >= self.limit


async def serve(
    run_connection: Callable[[Any, Any], Awaitable[None]],
    host: str,
    port: int,
    gate: Gate | None = None,
) -> None:
    """Runs `run_connection(socket, address)` per connection until cancelled.

    A connection's socket is closed when `run_connection` returns. When the
    server is cancelled, it accepts the connections that have been established,
    stops listening, and cancels the connections' tasks.

    Args:
        run_connection: serves one connection.
        host: the address to listen on.
        port: the port to listen on.
        gate: bounds the connections until the server is cancelled.

    Raises:
        OSError: the address cannot be bound.
    """
    gate = gate or Gate()

    async def run_and_close(client: Any, address: Any) -> None:
        try:
            async with client:
                await run_connection(client, address)
        finally:
            gate.open -= 1

    listening = network.tcp_server_socket(host, port, backlog=BACKLOG)
    async with curio.TaskGroup() as group, listening:
        accepting = await group.spawn(
            _accept_all, listening, group, gate, run_and_close
        )
        try:
            # Marking each task as joined keeps the error of one connection
            # from ending the others.
            async for task in group:
                task.joined = True
        finally:
            await accepting.cancel()
            await _accept_queued(listening, group, gate, run_and_close)


async def _accept_all(
    listening: Any, group: curio.TaskGroup, gate: Gate, run_and_close: Any
) -> None:
    """Accepts connections until cancelled.

    It replaces curio's own server, which ends at the first OSError.
    """
    failing = False
    while True:
        if gate.is_full():
            await curio.sleep(FULL_SECONDS)
            continue
        try:
            client, address = await listening.accept()
        except OSError as error:
            if not failing:
                name = errno.errorcode.get(error.errno, str(error.errno))
                logs.log_event("accept_failed", error=name)
            failing = True
            await curio.sleep(RETRY_SECONDS)
            continue
        failing = False
        gate.open += 1
        await group.spawn(run_and_close, client, address)


async def _accept_queued(
    listening: Any, group: curio.TaskGroup, gate: Gate, run_and_close: Any
) -> None:
    """Accepts the connections that have been established."""
    poll = select.poll()
    poll.register(listening.fileno(), select.POLLIN)
    with contextlib.suppress(OSError):
        async with curio.ignore_after(QUEUED_SECONDS):
            while poll.poll(0):
                client, address = await listening.accept()
                gate.open += 1
                await group.spawn(run_and_close, client, address)
