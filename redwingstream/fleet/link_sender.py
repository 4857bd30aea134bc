"""Sends the packets of a balancer by the decisions of its link scheduler."""

import asyncio
import functools

from redwingstream.links.scheduler import LinkScheduler
from redwingstream.packets.effects import BulkToPeer
from redwingstream.packets.flow import pair_of
from redwingstream.wire.datagrams import DatagramSocket

_CACHED_ADDRESSES = 16384

cached_pair_of = functools.lru_cache(maxsize=_CACHED_ADDRESSES)(pair_of)


class LinkSender:
    """Sends urgent packets at once and drains bulk packets by a timer.

    Parameters
    ----------
    scheduler : LinkScheduler
        Decides when bulk packets are sent.
    peers : DatagramSocket
        Socket to other processes.

    Notes
    -----
    At most one timer is set, and none while no packet is queued.  Queued
    packets are lost when the process ends; their senders retransmit them.
    """

    def __init__(self, scheduler: LinkScheduler, peers: DatagramSocket) -> None:
        self._scheduler = scheduler
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Send an urgent packet."""
        self._scheduler.record_urgent(len(payload), self._loop.time())
        self._peers.send(payload, target)

    def send_bulk(self, packet: BulkToPeer) -> None:
        """Send a bulk packet, or queue it until the link has capacity."""
        now = self._loop.time()
        if self._scheduler.admit_bulk(packet, now):
            self._peers.send(packet.payload, cached_pair_of(packet.target))
        elif self._timer is None:
            self._set_timer(now)

    def close(self) -> None:
        """Drop the queued packets and stop the timer."""
        self._scheduler.queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _drain(self) -> None:
        self._timer = None
        now = self._loop.time()
        for packet in self._scheduler.pop_due(now):
            self._peers.send(packet.payload, cached_pair_of(packet.target))
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        drain_at = self._scheduler.next_drain(now)
        if drain_at is not None:
            self._timer = self._loop.call_at(drain_at, self._drain)
