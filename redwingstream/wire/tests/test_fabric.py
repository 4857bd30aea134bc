"""PROXY protocol v2 datagrams, from any bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingstream.endpoints import Endpoint
from redwingstream.errors import WireError
from redwingstream.wire import fabric

WAYS = (
    fabric.Way(Endpoint('10.0.0.1', 5683), Endpoint('10.0.0.2', 5684)),
    fabric.Way(Endpoint('fd00::1', 1), Endpoint('fd00::2', 65535)),
)
HEADER = fabric.wrap_request(WAYS[0], b'')


class TestFabric:
    """Both directions, and what is not a header."""

    @pytest.mark.parametrize('way', WAYS)
    def test_reads_what_a_fabric_writes(self, way: fabric.Way) -> None:
        datagram = fabric.wrap_request(way, b'packet')
        assert fabric.unwrap(datagram) == (way, b'packet')

    @pytest.mark.parametrize('way', WAYS)
    def test_answers_go_the_other_way(self, way: fabric.Way) -> None:
        datagram = fabric.wrap(way, b'answer')
        assert fabric.unwrap_answer(datagram) == (way, b'answer')

    @given(st.binary(max_size=100))
    def test_refuses_any_other_bytes(self, datagram: bytes) -> None:
        with pytest.raises(WireError):
            fabric.unwrap(datagram)

    @given(st.integers(0, len(HEADER) - 1), st.integers(0, 255))
    def test_a_changed_header_is_read_or_refused(
        self, position: int, changed: int
    ) -> None:
        """One damaged header must not end in a traceback.

        The fabric, or something between, damages a header; the balancer gets
        it among good datagrams.  The library raises several error classes;
        one was not caught, and the batch in hand was lost with it.
        """
        datagram = bytearray(fabric.wrap_request(WAYS[0], b'packet'))
        datagram[position] = changed
        try:
            way, _ = fabric.unwrap(bytes(datagram))
        except WireError:
            return
        assert isinstance(way, fabric.Way)
