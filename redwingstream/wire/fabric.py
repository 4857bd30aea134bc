"""PROXY protocol v2 datagrams from and to the fabric.

The fabric is the network in front of the balancers.  It puts a header with the
addresses of caller and service before each datagram (published format, version
2, ``DGRAM``).  In datagrams to the fabric the same header has the service as
source and the caller as destination.  Of the ``proxy-protocol`` library only
the codec is used, not its listener or proxying.

The fabric sends the packets of one flow to any balancer, so a balancer receives
the headers of all flows, more than a cache of headers holds
(``asv_bench.packet_path`` with many callers).  The first 16 bytes are the same
in all IPv4 headers.  The library builds them once, and ``struct`` packs and
unpacks the 12 bytes of addresses after them.  Other headers go through the
library, behind a small cache.
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
    """The two addresses of a datagram.

    Parameters
    ----------
    caller : Endpoint
        Address of the caller, as seen by the fabric.
    service : Endpoint
        Address that the caller sent to.
    """

    caller: Endpoint
    service: Endpoint


def unwrap(datagram: bytes) -> tuple[AddressPair, bytes]:
    """Split a datagram from the fabric into its addresses and its payload.

    Raises
    ------
    WireError
        When it does not start with a complete PROXY protocol v2 header that
        has addresses.
    """
    if datagram[:_FIXED_SIZE] == _PREFIX_V4 and len(datagram) >= _SIZE_V4:
        return _read_v4(datagram), datagram[_SIZE_V4:]
    length_bytes = datagram[_LENGTH_OFFSET:_FIXED_SIZE]
    size = _FIXED_SIZE + int.from_bytes(length_bytes, 'big')
    if not _FIXED_SIZE < size <= min(len(datagram), _MAX_HEADER):
        raise WireError('datagram has no complete PROXY protocol v2 header')
    return _read_header(datagram[:size]), datagram[size:]


def wrap(addresses: AddressPair, payload: bytes) -> bytes:
    """Return the datagram to the fabric that carries an answer to a caller."""
    return _make_header(addresses.service, addresses.caller) + payload


def wrap_answer(caller: str, service: str, payload: bytes) -> bytes:
    """Return the datagram to the fabric that carries an answer to a caller.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends, as sent by the agent.
    payload : bytes
        The packet.

    Raises
    ------
    WireError
        When one of them is not an endpoint.

    Notes
    -----
    The caller's endpoint does not use the cache of ``parse_endpoint``.  A
    balancer sees more callers than the cache holds, so each lookup would need
    a parse anyway and each entry would cost memory.
    """
    try:
        return _pack_answer(caller, service) + payload
    except _ENDPOINT_ERRORS as error:
        raise WireError(
            f'answer to {caller!r} from {service!r} names no endpoints'
        ) from error


def wrap_request(addresses: AddressPair, payload: bytes) -> bytes:
    """Return the datagram in which the fabric sends a caller's packet."""
    return _make_header(addresses.caller, addresses.service) + payload


def unwrap_answer(datagram: bytes) -> tuple[AddressPair, bytes]:
    """Split a datagram to the fabric; see :func:`unwrap`."""
    reversed_pair, payload = unwrap(datagram)
    return AddressPair(reversed_pair.service, reversed_pair.caller), payload


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
    return AddressPair(caller, _cached_service(dest_host, dest_port))


@functools.lru_cache(maxsize=_CACHED_SERVICES)
def _cached_service(host: bytes, port: int) -> Endpoint:
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
