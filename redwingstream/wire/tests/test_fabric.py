"""Tests of PROXY protocol v2 datagrams, also of damaged ones."""

import ipaddress
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from proxyprotocol.v2 import ProxyProtocolV2

from redwingstream.endpoints import Endpoint
from redwingstream.errors import WireError
from redwingstream.wire import fabric

ADDRESS_PAIRS = (
    fabric.AddressPair(Endpoint('10.0.0.1', 5683), Endpoint('10.0.0.2', 5684)),
    fabric.AddressPair(Endpoint('fd00::1', 1), Endpoint('fd00::2', 65535)),
)
HEADER = fabric.wrap_request(ADDRESS_PAIRS[0], b'')


class TestFabric:
    """Datagrams in both directions; other bytes are refused."""

    @pytest.mark.parametrize('addresses', ADDRESS_PAIRS)
    def test_reads_datagrams_of_the_fabric(
        self, addresses: fabric.AddressPair
    ) -> None:
        datagram = fabric.wrap_request(addresses, b'packet')
        assert fabric.unwrap(datagram) == (addresses, b'packet')

    @pytest.mark.parametrize('addresses', ADDRESS_PAIRS)
    def test_answers_have_the_reverse_direction(
        self, addresses: fabric.AddressPair
    ) -> None:
        datagram = fabric.wrap(addresses, b'answer')
        assert fabric.unwrap_answer(datagram) == (addresses, b'answer')

    @pytest.mark.parametrize('addresses', ADDRESS_PAIRS)
    def test_an_answer_by_texts_is_the_same(
        self, addresses: fabric.AddressPair
    ) -> None:
        by_texts = fabric.wrap_answer(
            str(addresses.caller), str(addresses.service), b'a'
        )
        assert by_texts == fabric.wrap(addresses, b'a')

    @pytest.mark.parametrize(
        'caller',
        ['', '10.0.0.1', '10.0.0.256:1', '10.1:1', '10.0.0.1:65536', '[::x]:1'],
    )
    def test_an_answer_to_no_endpoint_is_refused(self, caller: str) -> None:
        """A malformed answer must raise only ``WireError``.

        An agent of another version may write a caller's address in another
        form.  Another error would leave the reader of the socket, and the rest
        of the batch would wait for the next wake-up.
        """
        with pytest.raises(WireError):
            fabric.wrap_answer(caller, '10.0.0.2:5683', b'answer')

    @given(st.ip_addresses(v=4), st.integers(0, 65535), st.integers(0, 65535))
    def test_headers_match_the_library(
        self, host: ipaddress.IPv4Address, port: int, other_port: int
    ) -> None:
        caller = Endpoint(str(host), port)
        service = Endpoint('10.9.0.1', other_port)
        addresses = fabric.AddressPair(caller, service)
        header = fabric.wrap_request(addresses, b'')
        parsed = ProxyProtocolV2().unpack(header)
        assert parsed.source == (host, port)
        assert parsed.dest == (ipaddress.ip_address('10.9.0.1'), other_port)
        assert parsed.protocol == socket.SOCK_DGRAM
        assert fabric.unwrap(header) == (addresses, b'')

    @given(st.binary(max_size=100))
    def test_refuses_any_other_bytes(self, datagram: bytes) -> None:
        with pytest.raises(WireError):
            fabric.unwrap(datagram)

    @given(st.integers(0, len(HEADER) - 1), st.integers(0, 255))
    def test_a_changed_header_is_read_or_refused(
        self, position: int, changed: int
    ) -> None:
        """A damaged header must raise only ``WireError``.

        The library raises several error classes.  One that is not caught would
        lose the batch of good datagrams that arrived with the damaged one.
        """
        datagram = bytearray(fabric.wrap_request(ADDRESS_PAIRS[0], b'packet'))
        datagram[position] = changed
        try:
            addresses, _ = fabric.unwrap(bytes(datagram))
        except WireError:
            return
        assert isinstance(addresses, fabric.AddressPair)
