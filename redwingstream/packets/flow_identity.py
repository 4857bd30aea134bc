"""Tells flows of the same caller port and service apart.

A caller may use a port again, and two servers may accept copies of one opening
packet.  A caller acknowledges only what the server of its flow has sent, so the
acknowledgement number of a packet identifies the server.  The sequence numbers
of a caller do not identify its flow: a bare acknowledgement may have a number
before that of the opening packet, and a long upload moves far away from it.
"""

import enum

import attrs

from redwingstream.packets.flow import Head

SEQUENCE_MASK = 0xFFFFFFFF

HALF_OF_SEQUENCES = 0x80000000
"""Half of all sequence numbers.  A number is after another one if the way there
is shorter than that; a longer range identifies nothing."""


class Identity(enum.Enum):
    """Whether a packet belongs to the flow that an agent carries.

    ``UNKNOWN``: only the server can tell.
    """

    SAME = enum.auto()
    OTHER = enum.auto()
    UNKNOWN = enum.auto()


@attrs.define
class SentRange:
    """Sequence numbers that a server has sent on one flow.

    Parameters
    ----------
    first : int
        Sequence number with which the server accepted the flow.
    length : int
        Number of sequence numbers sent, from ``first`` on.
    """

    first: int
    length: int = 1

    def record(self, head: Head) -> None:
        """Record a packet of the server."""
        # The last packet of a server counts as one more number.
        end = head.sequence + head.size + 1
        advance = (end - self.first - self.length) & SEQUENCE_MASK
        if advance < HALF_OF_SEQUENCES:
            self.length += advance

    def identify(self, head: Head) -> Identity:
        """Return whether a caller's packet acknowledges this range."""
        if self.length >= HALF_OF_SEQUENCES:
            return Identity.UNKNOWN
        distance = (head.acknowledged - self.first) & SEQUENCE_MASK
        return Identity.SAME if distance <= self.length else Identity.OTHER
