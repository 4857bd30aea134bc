"""Checks whether the server beside an agent is running."""

import asyncio
import enum

from redwingstream.endpoints import Endpoint

CONNECT_TIMEOUT = 0.2
"""Timeout in seconds for connecting to a server on the same instance."""


class PortState(enum.Enum):
    """What a connection attempt has shown.

    ``UNKNOWN``: the attempt was neither accepted nor refused in time.
    """

    LISTENING = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


async def probe_port(server: Endpoint) -> PortState:
    """Return whether a process listens on the server's port.

    Notes
    -----
    A suspended server, or one whose listen backlog is full, does not refuse
    connections.
    """
    opening = asyncio.open_connection(server.host, server.port)
    try:
        _, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT)
    except ConnectionRefusedError:
        return PortState.REFUSED
    except (OSError, TimeoutError):
        return PortState.UNKNOWN
    writer.close()
    return PortState.LISTENING


async def has_ended(server: Endpoint) -> bool:
    """Return whether no process listens on the server's port.

    Only a refused connection counts as proof.
    """
    return await probe_port(server) is PortState.REFUSED
