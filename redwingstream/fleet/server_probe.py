"""Checks whether the server beside an agent is running."""

import asyncio

from redwingstream.endpoints import Endpoint

CONNECT_TIMEOUT = 0.2
"""Timeout in seconds for connecting to a server on the same instance."""


async def has_ended(server: Endpoint) -> bool:
    """Return whether no process listens on the server's port.

    Notes
    -----
    Only a refused connection counts as proof.  A suspended server, or one whose
    listen backlog is full, does not refuse connections.
    """
    opening = asyncio.open_connection(server.host, server.port)
    try:
        _, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
