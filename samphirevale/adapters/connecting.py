"""Opens TCP connections."""

import ipaddress
from typing import Any

import curio
from curio import socket


async def open_stream(host: str, port: int) -> Any:
    """Opens a connection, which the calling code has to close.

    A name is looked up in a thread, as the lookup blocks. An address needs no
    lookup: for as long as a thread holds the interpreter's lock and waits for
    a processor, no task runs.

    Args:
        host: an IP address or a name.
        port: the port.

    Returns:
        A curio socket.

    Raises:
        OSError: the connection could not be opened.
    """
    family = _find_family(host)
    if family is None:
        return await curio.open_connection(host, port)
    stream = socket.socket(family, socket.SOCK_STREAM)
    try:
        await stream.connect((host, port))
    except BaseException:
        await stream.close()
        raise
    return stream


def _find_family(host: str) -> int | None:
    """Returns the family of an IP address; None for a name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return None
    return socket.AF_INET if version == 4 else socket.AF_INET6
