"""Packets that arrive at a balancer before it knows where to send them."""

from collections import deque

import attrs

MAX_KEPT_SECONDS = 0.2
"""Seconds for which a packet is kept; its sender sends it again after that."""

MAX_KEPT = 512
"""Maximum number of packets kept; the oldest are dropped."""


@attrs.frozen
class EarlyPacket:
    """A packet that arrived too early.

    Parameters
    ----------
    packet : bytes
        The packet as received.
    received_at : float
        Time in seconds at which it arrived.
    """

    packet: bytes
    received_at: float

    def is_expired(self, now: float) -> bool:
        """Whether its sender has sent it again, if it still waits."""
        return now - self.received_at > MAX_KEPT_SECONDS


class EarlyPackets:
    """Packets that wait until a balancer has tables and knows agents.

    Attributes
    ----------
    overflowed : int
        Number of packets dropped because too many were kept.

    Notes
    -----
    A caller retransmits a packet after 200 ms at the earliest, and a request
    must complete within some hundred milliseconds.  When all processes start
    together, keeping a packet until the tables arrive saves the caller the wait
    for the retransmission.
    """

    def __init__(self) -> None:
        self.overflowed = 0
        self._kept: deque[EarlyPacket] = deque()

    def __len__(self) -> int:
        """Return the number of packets kept."""
        return len(self._kept)

    def add(self, packet: bytes, now: float) -> None:
        """Add a packet; drop the oldest one if there are too many."""
        self._kept.append(EarlyPacket(packet, now))
        if len(self._kept) > MAX_KEPT:
            self._kept.popleft()
            self.overflowed += 1

    def pop_all(self) -> list[EarlyPacket]:
        """Remove and return all packets, oldest first."""
        kept = list(self._kept)
        self._kept.clear()
        return kept
