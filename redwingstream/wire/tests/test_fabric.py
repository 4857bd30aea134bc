"""PROXY protocol v2 datagrams, from any bytes."""

import ipaddress
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from proxyprotocol.v2 import ProxyProtocolV2

from redwingstream.endpoints import Endpoint
from redwingstream.errors import WireError
from redwingstream.wire import fabric

WAYS = (
    fabric.AddressPair(Endpoint('10.0.0.1', 5683), Endpoint('10.0.0.2', 5684)),
    fabric.AddressPair(Endpoint('fd00::1', 1), Endpoint('fd00::2', 65535)),
)
HEADER = fabric.wrap_request(WAYS[0], b'')


class TestFabric:
    """Both directions, and what is not a header."""

    @pytest.mark.parametrize('way', WAYS)
    def test_reads_what_a_fabric_writes(self, way: fabric.AddressPair) -> None:
        datagram = fabric.wrap_request(way, b'packet')
        assert fabric.unwrap(datagram) == (way, b'packet')

    @pytest.mark.parametrize('way', WAYS)
    def test_answers_go_the_other_way(self, way: fabric.AddressPair) -> None:
        datagram = fabric.wrap(way, b'answer')
        assert fabric.unwrap_answer(datagram) == (way, b'answer')

    @pytest.mark.parametrize('way', WAYS)
    def test_an_answer_by_names_is_the_same(
        self, way: fabric.AddressPair
    ) -> None:
        by_names = fabric.wrap_answer(str(way.caller), str(way.service), b'a')
        assert by_names == fabric.wrap(way, b'a')

    @pytest.mark.parametrize(
        'caller',
        ['', '10.0.0.1', '10.0.0.256:1', '10.1:1', '10.0.0.1:65536', '[::x]:1'],
    )
    def test_an_answer_to_no_endpoint_is_refused(self, caller: str) -> None:
        """One bad answer must not end in a traceback.

        An agent of another version names a caller in another form; the
        balancer gets it among good answers.  The error left the reader of the
        socket, and the rest of the batch in hand waited for the next wake-up.
        """
        with pytest.raises(WireError):
            fabric.wrap_answer(caller, '10.0.0.2:5683', b'answer')

    @given(st.ip_addresses(v=4), st.integers(0, 65535), st.integers(0, 65535))
    def test_headers_are_those_of_the_library(
        self, host: ipaddress.IPv4Address, port: int, other_port: int
    ) -> None:
        caller = Endpoint(str(host), port)
        service = Endpoint('10.9.0.1', other_port)
        way = fabric.AddressPair(caller, service)
        header = fabric.wrap_request(way, b'')
        parsed = ProxyProtocolV2().unpack(header)
        assert parsed.source == (host, port)
        assert parsed.dest == (ipaddress.ip_address('10.9.0.1'), other_port)
        assert parsed.protocol == socket.SOCK_DGRAM
        assert fabric.unwrap(header) == (way, b'')

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
        assert isinstance(way, fabric.AddressPair)
