"""Packets that wait until it is known who decides on them."""

from collections.abc import Iterator

import attrs

from redwingstream.forwarding.messages import Packet

MAX_HELD = 64
"""Packets held for one bucket."""

_Name = tuple[str, bytes]


@attrs.frozen(eq=False)
class Held:
    """A packet and since when it waits, in seconds."""

    packet: Packet
    bucket: int
    since: float

    @property
    def name(self) -> _Name:
        """What a repetition of the packet has in common with it."""
        return (self.packet.caller, self.packet.payload)


class HeldPackets:
    """Held packets by bucket; of a packet and its repetitions, one."""

    def __init__(self) -> None:
        self._held_by_bucket: dict[int, dict[_Name, Held]] = {}

    def add(self, held: Held) -> bool:
        """Hold a packet; False when too many are held."""
        of_bucket = self._held_by_bucket.setdefault(held.bucket, {})
        known = of_bucket.get(held.name)
        if known is None and len(of_bucket) >= MAX_HELD:
            return False
        since = held.since if known is None else known.since
        of_bucket[held.name] = attrs.evolve(held, since=since)
        return True

    def remove(self, held: Held) -> None:
        """Hold a packet no more."""
        of_bucket = self._held_by_bucket.get(held.bucket, {})
        of_bucket.pop(held.name, None)
        if not of_bucket:
            self._held_by_bucket.pop(held.bucket, None)

    def of_bucket(self, bucket: int) -> tuple[Held, ...]:
        """Return what is held for a bucket."""
        return tuple(self._held_by_bucket.get(bucket, {}).values())

    def __iter__(self) -> Iterator[Held]:
        """Iterate over all that is held, which may change meanwhile."""
        for bucket in tuple(self._held_by_bucket):
            yield from self.of_bucket(bucket)
