"""Tests of endpoints that cannot be parsed or bound; errors name them."""

import socket

import pytest

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import EndpointError, ResultCode, SettingError
from redwingstream.wire.calls import serve_calls
from redwingstream.wire.datagrams import open_datagrams
from redwingstream.wire.frames import FrameCodec

CODEC = FrameCodec(b'k' * 32)


async def answer(request: object) -> object:
    """Answer with the request."""
    return request


class TestParseEndpoint:
    """Texts that are not endpoints are refused."""

    def test_refuses_a_port_of_thousands_of_digits(self) -> None:
        """Such an address in a frame must raise only the documented error."""
        with pytest.raises(SettingError):
            parse_endpoint(f'127.0.0.1:{"1" * 5000}')


class TestTakenEndpoint:
    """Another process, or the same daemon twice, uses the port."""

    async def test_calls(self) -> None:
        """The error names a TCP endpoint that is in use."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            endpoint = Endpoint(*taken.getsockname())
            serving = serve_calls(endpoint, CODEC, answer)
            with pytest.raises(EndpointError, match=str(endpoint)) as met:
                await serving.__aenter__()
        assert met.value.code is ResultCode.ADDRESS_IN_USE

    async def test_datagrams(self) -> None:
        """The error names a UDP endpoint that is in use."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(('127.0.0.1', 0))
            endpoint = Endpoint(*taken.getsockname())
            opened = open_datagrams(endpoint, print)
            with pytest.raises(EndpointError, match=str(endpoint)) as met:
                opened.__enter__()
        assert met.value.code is ResultCode.ADDRESS_IN_USE
