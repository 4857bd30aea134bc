"""Packets that reach a balancer before it knows where to send them."""

from collections import deque

import attrs

KEPT_FOR = 0.2
"""Seconds for which a packet is kept; its sender repeats it after that time."""

MAX_KEPT = 512
"""Packets that are kept; the oldest give way."""


@attrs.frozen
class EarlyPacket:
    """A packet that came too early.

    Parameters
    ----------
    packet : bytes
        As it came.
    since : float
        When it came.
    """

    packet: bytes
    since: float

    def is_repeated(self, now: float) -> bool:
        """Whether its sender has repeated it since, if it still waits."""
        return now - self.since > KEPT_FOR


class EarlyPackets:
    """Packets that wait until a balancer has tables and knows agents.

    Notes
    -----
    A caller repeats a packet after 200 ms at the earliest, and a request has
    some hundred milliseconds in all.  When all processes start at once, a
    packet that is kept for the moment until the tables come saves its caller
    the wait for the repeat.
    """

    def __init__(self) -> None:
        self.overflowed = 0
        self._kept: deque[EarlyPacket] = deque()

    def __len__(self) -> int:
        """Return how many are kept."""
        return len(self._kept)

    def keep(self, packet: bytes, now: float) -> None:
        """Keep a packet."""
        self._kept.append(EarlyPacket(packet, now))
        if len(self._kept) > MAX_KEPT:
            self._kept.popleft()
            self.overflowed += 1

    def pop_all(self) -> list[EarlyPacket]:
        """Return all that are kept, oldest first; keep none."""
        kept = list(self._kept)
        self._kept.clear()
        return kept
