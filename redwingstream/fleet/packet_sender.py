"""Sends the packets that the packet path has produced."""

import functools
from collections.abc import Iterable

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.link_sender import LinkSender, cached_pair_of
from redwingstream.links.scheduler import LinkScheduler
from redwingstream.packets.effects import (
    BulkToPeer,
    Outgoing,
    ToCaller,
    ToPeer,
    ToServer,
)
from redwingstream.packets.flow import Address, host_of
from redwingstream.wire.datagrams import DatagramSocket

_CACHED_ADDRESSES = 16384


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
        self._link: LinkSender | None = None
        self._host_of = functools.lru_cache(maxsize=_CACHED_ADDRESSES)(host_of)

    def attach(self, callers: DatagramSocket, peers: DatagramSocket) -> None:
        """Set the sockets to callers and to other processes."""
        self._callers = callers
        self._peers = peers

    def use_scheduler(self, scheduler: LinkScheduler | None) -> None:
        """Schedule what is sent to peers from now on; None to send at once."""
        if self._peers is None or (scheduler is None) == (self._link is None):
            return
        self.close()
        if scheduler is not None:
            self._link = LinkSender(scheduler, self._peers)

    def close(self) -> None:
        """Drop queued packets; others are sent at once from now on."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def send_all(self, outgoing: Iterable[Outgoing]) -> None:
        """Send packets in order; drop them before sockets are attached."""
        callers, peers = self._callers, self._link or self._peers
        if callers is None or peers is None:
            return
        for item in outgoing:
            match item:
                case ToPeer(payload=payload, target=target):
                    peers.send(payload, cached_pair_of(target))
                case ToCaller(payload=payload, caller=caller):
                    callers.send(payload, self._caller_pair(caller))
                case ToServer(payload=payload) if self._server is not None:
                    callers.send(payload, self._server)
                case BulkToPeer():
                    self._send_bulk(item)

    def _send_bulk(self, packet: BulkToPeer) -> None:
        if self._link is not None:
            self._link.send_bulk(packet)
        elif self._peers is not None:
            self._peers.send(packet.payload, cached_pair_of(packet.target))

    def _caller_pair(self, caller: Address) -> tuple[str, int]:
        return (self._host_of(caller), self._caller_port)
