"""Sends the packets that the packet path has produced."""

import functools
from collections.abc import Iterable

from redwingstream.endpoints import Endpoint
from redwingstream.packets.effects import Outgoing, ToCaller, ToPeer, ToServer
from redwingstream.packets.flow import Address, host_of, pair_of
from redwingstream.wire.datagrams import DatagramSocket

_CACHED_ADDRESSES = 16384

_pair_of = functools.lru_cache(maxsize=_CACHED_ADDRESSES)(pair_of)


class PacketSender:
    """Sends packets through the sockets of a balancer or agent.

    Parameters
    ----------
    caller_port : int
        Port at which callers receive packets.
    server : Endpoint or None
        The server beside an agent; None for a balancer.
    """

    def __init__(
        self, caller_port: int, server: Endpoint | None = None
    ) -> None:
        self._caller_port = caller_port
        self._server = None if server is None else server.as_pair()
        self._callers: DatagramSocket | None = None
        self._peers: DatagramSocket | None = None
        self._host_of = functools.lru_cache(maxsize=_CACHED_ADDRESSES)(host_of)

    def attach(self, callers: DatagramSocket, peers: DatagramSocket) -> None:
        """Set the sockets to callers and to other processes."""
        self._callers = callers
        self._peers = peers

    def send_all(self, outgoing: Iterable[Outgoing]) -> None:
        """Send packets in order; drop them before sockets are attached."""
        callers, peers = self._callers, self._peers
        if callers is None or peers is None:
            return
        for item in outgoing:
            match item:
                case ToPeer(payload=payload, target=target):
                    peers.send(payload, _pair_of(target))
                case ToCaller(payload=payload, caller=caller):
                    callers.send(payload, self._caller_pair(caller))
                case ToServer(payload=payload) if self._server is not None:
                    callers.send(payload, self._server)

    def _caller_pair(self, caller: Address) -> tuple[str, int]:
        return (self._host_of(caller), self._caller_port)
