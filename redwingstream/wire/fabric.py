"""PROXY protocol v2 datagrams from and to the fabric.

The fabric puts the caller's and the service's address before each datagram
(published format, version 2, ``DGRAM``).  Towards the fabric the same header
names the service as source and the caller as destination.  The codec is the
``proxy-protocol`` library's; its listener and everything else it brings for
proxying stays unused.

The fabric sprays, so a balancer meets the headers of all flows, more than a
cache of headers holds (``asv_bench.packet_path`` with many callers).  The first
16 bytes are the same in all headers of a kind: the library makes those of an
IPv4 datagram once, and the 12 bytes of addresses after them are packed and
unpacked by ``struct``.  Every other header goes through the library each time.
"""

import functools
import ipaddress
import socket
import struct

import attrs
from proxyprotocol import ProxyProtocolIncompleteError
from proxyprotocol.result import ProxyResultIPv4, ProxyResultIPv6
from proxyprotocol.v2 import ProxyProtocolV2

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import SettingError, WireError

_CACHED_SERVICES = 4096
_CACHED_HEADERS = 1024
_FIXED_SIZE = 16
_LENGTH_OFFSET = 14
_MAX_HEADER = 536
_ADDRESSES_V4 = struct.Struct('>4s4sHH')
_SIZE_V4 = _FIXED_SIZE + _ADDRESSES_V4.size

_HEADER_ERRORS = (ValueError, struct.error, ProxyProtocolIncompleteError)

_ENDPOINT_ERRORS = (SettingError, OSError, ValueError, struct.error)

_codec = ProxyProtocolV2()


@attrs.frozen
class AddressPair:
    """Between whom a datagram goes.

    Parameters
    ----------
    caller : Endpoint
        The caller's address as the fabric saw it.
    service : Endpoint
        The address that the caller sent to.
    """

    caller: Endpoint
    service: Endpoint


def unwrap(datagram: bytes) -> tuple[AddressPair, bytes]:
    """Split a datagram from the fabric into its way and its payload.

    Raises
    ------
    WireError
        When no complete PROXY protocol v2 header with addresses leads it.
    """
    if datagram[:_FIXED_SIZE] == _PREFIX_V4 and len(datagram) >= _SIZE_V4:
        return _read_v4(datagram), datagram[_SIZE_V4:]
    length_bytes = datagram[_LENGTH_OFFSET:_FIXED_SIZE]
    size = _FIXED_SIZE + int.from_bytes(length_bytes, 'big')
    if not _FIXED_SIZE < size <= min(len(datagram), _MAX_HEADER):
        raise WireError('datagram has no whole PROXY protocol v2 header')
    return _read_header(datagram[:size]), datagram[size:]


def wrap(way: AddressPair, payload: bytes) -> bytes:
    """Return the datagram that takes an answer to a caller."""
    return _make_header(way.service, way.caller) + payload


def wrap_answer(caller: str, service: str, payload: bytes) -> bytes:
    """Return the datagram that takes an answer to a caller.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends, as an agent names them.
    payload : bytes
        The packet.

    Raises
    ------
    WireError
        When one of them is no endpoint.

    Notes
    -----
    The caller's endpoint is not looked up in the cache of ``parse_endpoint``:
    a balancer meets more callers than it holds, so each look costs a parse and
    each entry memory.
    """
    try:
        return _pack_answer(caller, service) + payload
    except _ENDPOINT_ERRORS as error:
        raise WireError(
            f'answer to {caller!r} from {service!r} names no endpoints'
        ) from error


def wrap_request(way: AddressPair, payload: bytes) -> bytes:
    """Return the datagram by which a fabric hands in a caller's packet."""
    return _make_header(way.caller, way.service) + payload


def unwrap_answer(datagram: bytes) -> tuple[AddressPair, bytes]:
    """Split a datagram that goes out to the fabric; see :func:`unwrap`."""
    backwards, payload = unwrap(datagram)
    return AddressPair(backwards.service, backwards.caller), payload


@functools.lru_cache(maxsize=_CACHED_HEADERS)
def _read_header(header: bytes) -> AddressPair:
    try:
        parsed = _codec.unpack(header)
    except _HEADER_ERRORS as error:
        raise WireError('PROXY protocol v2 header is malformed') from error
    if not isinstance(parsed, ProxyResultIPv4 | ProxyResultIPv6):
        raise WireError('PROXY protocol v2 header names no IP addresses')
    source_host, source_port = parsed.source
    dest_host, dest_port = parsed.dest
    return AddressPair(
        Endpoint(str(source_host), source_port),
        Endpoint(str(dest_host), dest_port),
    )


def _read_v4(datagram: bytes) -> AddressPair:
    source_host, dest_host, source_port, dest_port = _ADDRESSES_V4.unpack_from(
        datagram, _FIXED_SIZE
    )
    caller = Endpoint(socket.inet_ntoa(source_host), source_port)
    return AddressPair(caller, _service_of(dest_host, dest_port))


@functools.lru_cache(maxsize=_CACHED_SERVICES)
def _service_of(host: bytes, port: int) -> Endpoint:
    return Endpoint(socket.inet_ntoa(host), port)


def _pack_answer(caller: str, service: str) -> bytes:
    source = parse_endpoint(service)
    if '[' in caller:
        return _make_header(source, parse_endpoint(caller))
    host, _, port = caller.rpartition(':')
    return _make_header(source, Endpoint(host, int(port)))


def _make_header(source: Endpoint, dest: Endpoint) -> bytes:
    if ':' in source.host or ':' in dest.host:
        return _pack_header(source, dest)
    return _PREFIX_V4 + _ADDRESSES_V4.pack(
        socket.inet_pton(socket.AF_INET, source.host),
        socket.inet_pton(socket.AF_INET, dest.host),
        source.port,
        dest.port,
    )


@functools.lru_cache(maxsize=_CACHED_HEADERS)
def _pack_header(source: Endpoint, dest: Endpoint) -> bytes:
    source_host = ipaddress.ip_address(source.host)
    dest_host = ipaddress.ip_address(dest.host)
    is_v4 = source_host.version == ipaddress.IPv4Address(0).version
    result_class = ProxyResultIPv4 if is_v4 else ProxyResultIPv6
    return _codec.pack(
        result_class(
            (source_host, source.port),
            (dest_host, dest.port),
            protocol=socket.SOCK_DGRAM,
        ),
    )


_PREFIX_V4 = _pack_header(Endpoint('0.0.0.0', 0), Endpoint('0.0.0.0', 0))[
    :_FIXED_SIZE
]
