"""Flows of the same caller port, told apart by what the caller acknowledges."""

import pytest

from redwingstream.packets.flow_identity import (
    HALF_OF_SEQUENCES,
    SEQUENCE_MASK,
    Identity,
    SentRange,
)
from redwingstream.packets.tests.codec import Packet
from redwingstream.packets.tests.network import CODEC, SERVICE

FIRST = 0xFFFFFF00
"""Sequence number of the acceptance; the server's numbers soon start anew."""

SEGMENT = 0x8000


def _sent(*ends: int) -> SentRange:
    sent = SentRange(FIRST)
    for end in ends:
        start = (FIRST + end - 1 - SEGMENT) & SEQUENCE_MASK
        sent.record(_head(sequence=start, size=SEGMENT))
    return sent


def _head(**fields: int):
    return CODEC.read(Packet(SERVICE, SERVICE, **fields).pack())


def _identify(sent: SentRange, distance: int) -> Identity:
    acknowledged = (FIRST + distance) & SEQUENCE_MASK
    return sent.identify(_head(acknowledged=acknowledged))


class TestSentRange:
    """What a server has sent identifies the packets of its caller."""

    @pytest.mark.parametrize('distance', [0, 1])
    def test_has_the_acceptance(self, distance):
        assert _identify(_sent(), distance) is Identity.SAME

    @pytest.mark.parametrize('distance', [-1, 2, 1 << 26, 1 << 31])
    def test_has_nothing_else_before_the_first_answer(self, distance):
        assert _identify(_sent(), distance) is Identity.OTHER

    @pytest.mark.parametrize('distance', [0, 1, SEGMENT, 4 * SEGMENT])
    def test_keeps_old_acknowledgements(self, distance):
        """Guards against a late packet that is taken for another flow's."""
        sent = _sent(*range(2 * SEGMENT, 5 * SEGMENT, SEGMENT), 2 * SEGMENT)
        assert _identify(sent, distance) is Identity.SAME
        assert _identify(sent, 5 * SEGMENT) is Identity.OTHER

    def test_decides_nothing_once_half_of_the_numbers_are_used(self):
        """Guards against a long download that is taken for another flow."""
        sent = _sent()
        sent.length = HALF_OF_SEQUENCES - SEGMENT
        assert _identify(sent, sent.length) is Identity.SAME
        sent.record(
            _head(sequence=(FIRST + sent.length) & SEQUENCE_MASK, size=SEGMENT),
        )
        assert _identify(sent, -1) is Identity.UNKNOWN
