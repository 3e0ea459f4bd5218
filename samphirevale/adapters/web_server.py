"""Serves HTTP/1.1, with one task per connection."""

import contextlib
from typing import Any

import curio

from samphirevale.adapters import listener, web, web_connections

# Maximum number of connections over the limit that linger.
LINGERING_REFUSED_LIMIT = 50


async def serve(
    handler: web.Handler,
    host: str,
    port: int,
    limits: web.Limits = web.DEFAULT_LIMITS,
    state: web.ServerState | None = None,
) -> None:
    """Serves HTTP until cancelled, with one task per connection.

    Args:
        handler: called for each request. If it raises, the response is 500.
        host: the address to listen on.
        port: the port to listen on.
        limits: limits on connections, requests and timeouts.
        state: state shared with the task that stops the server.
    """
    server_state = state or web.ServerState()
    connections = 0
    refused = 0

    async def run_connection(client: Any, address: Any) -> None:
        nonlocal connections, refused
        name = _format_address(address)
        if connections >= limits.connections:
            refused += 1
            try:
                await _refuse_connection(
                    client,
                    limits,
                    server_state,
                    name,
                    lingers=refused <= LINGERING_REFUSED_LIMIT,
                )
            finally:
                refused -= 1
            return
        connections += 1
        connection = web_connections.ServerConnection(
            client, handler, limits, server_state, name
        )
        try:
            await connection.run()
        finally:
            connections -= 1

    await listener.serve(run_connection, host, port, server_state.gate)


def _format_address(address: Any) -> str:
    return ":".join(str(part) for part in address[:2])


async def _refuse_connection(
    client: Any,
    limits: web.Limits,
    state: web.ServerState,
    address: str,
    lingers: bool,
) -> None:
    state.report_closed(
        web.ClosedConnection(
            web.CONNECTION_LIMIT,
            web_connections.count_unread(client),
            requests=0,
            answered=0,
            idle_seconds=limits.idle_seconds,
            address=address,
        )
    )
    with contextlib.suppress(OSError, curio.TaskTimeout):
        async with curio.timeout_after(limits.write_seconds):
            await client.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
        if lingers:
            await web_connections.linger(client, web_connections.LINGER_SECONDS)
