"""A caller's flow: what it takes for a reset."""

import pytest

from standins.packets.callers import RESET_WINDOW, CallerSite, Router
from standins.packets.header import ACK, RST, SYN, End, Packet

SERVICE = End('198.18.0.1', 443)
ACCEPTED = 2**32 - 5
"""Sequence number near the last one, after which numbers begin again."""


@pytest.fixture
async def flow():
    return CallerSite('127.1.1.100', Router(())).flow(SERVICE)


def _take(flow, seq: int, flags: int, data: bytes = b'') -> None:
    flow.take(Packet(SERVICE, End('127.1.1.100', 1), seq, 2, flags, data))


class TestReset:
    """A reset reaches a caller."""

    @pytest.mark.parametrize('seq', [0, 77, 2**31])
    async def test_counts_before_the_flow_is_open(self, flow, seq) -> None:
        _take(flow, seq, RST)
        assert flow.is_reset

    @pytest.mark.parametrize(
        ('distance', 'is_reset'),
        [
            (0, True),
            (RESET_WINDOW, True),
            (-RESET_WINDOW, True),
            (RESET_WINDOW + 1, False),
            (2**31, False),
        ],
    )
    async def test_counts_near_what_was_received(
        self, flow, distance, is_reset
    ) -> None:
        """Guards against taking the refusal of an opening packet for a reset.

        It has the number 0 and may be late, so that the flow is open by then.
        """
        _take(flow, ACCEPTED, SYN | ACK)
        _take(flow, ACCEPTED + 1, ACK, b'answer')
        _take(flow, (ACCEPTED + 7 + distance) % 2**32, RST)
        assert flow.is_reset == is_reset
        counters = flow._site.counters
        assert counters.resets_on_open == is_reset
        assert counters.resets_ignored == (not is_reset)
        assert counters.all_resets == 1
