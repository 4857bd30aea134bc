"""Bulk packets that wait for the link, in turn by flow."""

from collections import OrderedDict, deque

import attrs

from redwingstream.packets.effects import BulkToPeer
from redwingstream.packets.flow import FlowId

MAX_AGE = 0.5
"""Maximum seconds for which a packet waits.  The size limit corresponds to
this time at the full rate, so packets only expire when urgent ones take the
rate.  Their senders transmit them again 0.6 s after the first time."""

_Key = tuple[FlowId, int, int]


@attrs.define
class QueueCounters:
    """Counts of bulk packets that were not sent.

    Parameters
    ----------
    duplicates : int
        Retransmissions of packets that were still queued.
    expired : int
        Packets dropped because they had waited too long.
    overflowed : int
        Packets dropped because the queue was full.
    aborted : int
        Packets dropped because their caller has reset the flow.
    """

    duplicates: int = 0
    expired: int = 0
    overflowed: int = 0
    aborted: int = 0


@attrs.define
class _Waiting:
    packet: BulkToPeer
    since: float


class BulkQueue:
    """A queue bounded in bytes and age that serves flows in turn.

    Parameters
    ----------
    max_bytes : int
        Maximum number of bytes of the queued payloads.

    Attributes
    ----------
    size : int
        Number of bytes of the queued payloads.
    """

    def __init__(self, max_bytes: int) -> None:
        self.counters = QueueCounters()
        self.size = 0
        self._max_bytes = max_bytes
        # In order of arrival.  The keys of each flow are in the same order, so
        # the oldest packet is also the first one of its flow.
        self._waiting_by_key: OrderedDict[_Key, _Waiting] = OrderedDict()
        self._keys_by_flow: OrderedDict[FlowId, deque[_Key]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued packets."""
        return len(self._waiting_by_key)

    def add(self, packet: BulkToPeer, now: float) -> None:
        """Queue a packet unless it is queued already or there is no room."""
        self.expire(now)
        key = (packet.flow, packet.sequence, packet.size)
        if key in self._waiting_by_key:
            self.counters.duplicates += 1
        elif self.size + len(packet.payload) > self._max_bytes:
            self.counters.overflowed += 1
        else:
            self.size += len(packet.payload)
            self._waiting_by_key[key] = _Waiting(packet, now)
            self._keys_by_flow.setdefault(packet.flow, deque()).append(key)

    def pop(self) -> BulkToPeer:
        """Remove and return the next packet of the flow whose turn it is."""
        flow = next(iter(self._keys_by_flow))
        self._keys_by_flow.move_to_end(flow)
        return self._pop_first(flow)

    def expire(self, now: float) -> None:
        """Drop the packets that have waited too long."""
        while self._waiting_by_key and self.oldest_wait(now) > MAX_AGE:
            flow, _, _ = next(iter(self._waiting_by_key))
            self._pop_first(flow)
            self.counters.expired += 1

    def oldest_wait(self, now: float) -> float:
        """Return the seconds for which the oldest packet has waited."""
        if not self._waiting_by_key:
            return 0
        return now - next(iter(self._waiting_by_key.values())).since

    def holds(self, flow: FlowId) -> bool:
        """Whether packets of a flow are queued."""
        return flow in self._keys_by_flow

    def drop_flow(self, flow: FlowId) -> None:
        """Remove the packets of a flow that its caller has aborted."""
        while self.holds(flow):
            self._pop_first(flow)
            self.counters.aborted += 1

    def clear(self) -> None:
        """Remove all packets."""
        self.size = 0
        self._waiting_by_key.clear()
        self._keys_by_flow.clear()

    def _pop_first(self, flow: FlowId) -> BulkToPeer:
        keys = self._keys_by_flow[flow]
        packet = self._waiting_by_key.pop(keys.popleft()).packet
        if not keys:
            self._keys_by_flow.pop(flow)
        self.size -= len(packet.payload)
        return packet
