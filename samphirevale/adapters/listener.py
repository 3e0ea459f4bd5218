"""Accepts connections, one task each, and survives failures to accept."""

import contextlib
import errno
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


async def serve(
    run_connection: Callable[[Any, Any], Awaitable[None]], host: str, port: int
) -> None:
    """Runs `run_connection(socket, address)` per connection until cancelled.

    A connection's socket is closed when `run_connection` returns. When the
    server is cancelled, it accepts the connections that have been established,
    stops listening, and cancels the connections' tasks.

    Raises:
        OSError: the address cannot be bound.
    """
    listening = network.tcp_server_socket(host, port, backlog=BACKLOG)
    async with curio.TaskGroup() as group, listening:
        accepting = await group.spawn(
            _accept_all, listening, group, run_connection
        )
        try:
            # Marking each task as joined keeps the error of one connection
            # from ending the others.
            async for task in group:
                task.joined = True
        finally:
            await accepting.cancel()
            await _accept_queued(listening, group, run_connection)


async def _accept_all(
    listening: Any, group: curio.TaskGroup, run_connection: Any
) -> None:
    """Accepts connections until cancelled.

    It replaces curio's own server, which ends at the first OSError.
    """
    failing = False
    while True:
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
        await group.spawn(_run_and_close, run_connection, client, address)


async def _accept_queued(
    listening: Any, group: curio.TaskGroup, run_connection: Any
) -> None:
    """Accepts the connections that have been established."""
    poll = select.poll()
    poll.register(listening.fileno(), select.POLLIN)
    with contextlib.suppress(OSError):
        async with curio.ignore_after(QUEUED_SECONDS):
            while poll.poll(0):
                client, address = await listening.accept()
                await group.spawn(
                    _run_and_close, run_connection, client, address
                )


async def _run_and_close(
    run_connection: Any, client: Any, address: Any
) -> None:
    async with client:
        await run_connection(client, address)
