"""Packets that wait until the home of their bucket can decide on them."""

from collections.abc import Iterator

import attrs

from redwingstream.forwarding.messages import Packet

MAX_HELD = 64
"""Maximum number of packets held for one bucket."""

_DedupKey = tuple[str, bytes]


@attrs.frozen(eq=False)
class HeldPacket:
    """A packet that waits for a decision.

    Parameters
    ----------
    packet : Packet
        As the balancer sent it.
    bucket : int
        Bucket of its flow.
    held_at : float
        When its first copy arrived, in seconds by the event loop's clock.
    """

    packet: Packet
    bucket: int
    held_at: float

    @property
    def dedup_key(self) -> _DedupKey:
        """Caller and payload, which are equal for all copies of a packet."""
        return (self.packet.caller, self.packet.payload)


class HeldPackets:
    """Held packets by bucket; one entry for a packet and its copies."""

    def __init__(self) -> None:
        self._held_by_bucket: dict[int, dict[_DedupKey, HeldPacket]] = {}

    def add(self, held: HeldPacket) -> bool:
        """Hold a packet; return False when the bucket holds too many."""
        packets = self._held_by_bucket.setdefault(held.bucket, {})
        known = packets.get(held.dedup_key)
        if known is None and len(packets) >= MAX_HELD:
            return False
        held_at = held.held_at if known is None else known.held_at
        packets[held.dedup_key] = attrs.evolve(held, held_at=held_at)
        return True

    def remove(self, held: HeldPacket) -> None:
        """Remove a held packet."""
        packets = self._held_by_bucket.get(held.bucket, {})
        packets.pop(held.dedup_key, None)
        if not packets:
            self._held_by_bucket.pop(held.bucket, None)

    def in_bucket(self, bucket: int) -> tuple[HeldPacket, ...]:
        """Return the packets held for a bucket."""
        return tuple(self._held_by_bucket.get(bucket, {}).values())

    def __iter__(self) -> Iterator[HeldPacket]:
        """Iterate over all held packets; safe when these change meanwhile."""
        for bucket in tuple(self._held_by_bucket):
            yield from self.in_bucket(bucket)
