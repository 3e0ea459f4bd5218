"""Accepts connections, one task for each, and goes on when that fails."""

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import network

from samphirevale import logs

# The most connections that wait to be accepted.
BACKLOG = 1024

# The pause after a failure to accept, in seconds: a file that is closed
# elsewhere makes room, and nothing tells when.
RETRY_SECONDS = 0.05


async def serve(
    run_connection: Callable[[Any, Any], Awaitable[None]], host: str, port: int
) -> None:
    """Runs `run_connection(socket, address)` for each until cancelled.

    The socket is closed when it returns; the tasks end with the server.

    Raises:
        OSError: the address cannot be listened on.
    """
    listening = network.tcp_server_socket(host, port, backlog=BACKLOG)
    async with listening, curio.TaskGroup() as group:
        await group.spawn(_accept_all, listening, group, run_connection)
        # A connection's error ends that connection only.
        async for task in group:
            task.joined = True


async def _accept_all(
    listening: Any, group: curio.TaskGroup, run_connection: Any
) -> None:
    """Accepts for ever; curio's own server ends at the first OSError."""
    failing = False
    while True:
        try:
            client, address = await listening.accept()
        except OSError as error:
            if not failing:
                name = errno.errorcode.get(error.errno, str(error.errno))
                logs.log_change("accept_failed", error=name)
            failing = True
            await curio.sleep(RETRY_SECONDS)
            continue
        failing = False
        await group.spawn(_run_owned, run_connection, client, address)


async def _run_owned(run_connection: Any, client: Any, address: Any) -> None:
    async with client:
        await run_connection(client, address)
