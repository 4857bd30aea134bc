"""Endpoints: IP address and port of a process, a caller or a service."""

import functools
import ipaddress

import attrs

from redwingstream.errors import SettingError

MAX_PORT = 65535
_PORT_DIGITS = len(str(MAX_PORT))
_MAX_CACHED_ENDPOINTS = 65536


@attrs.frozen(order=True)
class Endpoint:
    """An IP address and a port.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address in its usual text form; never a host name.
    port : int
        0 to 65535; a socket that is bound to port 0 gets a free port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    def as_pair(self) -> tuple[str, int]:
        """Return the address and port as socket functions expect them."""
        return (self.host, self.port)


@functools.lru_cache(maxsize=_MAX_CACHED_ENDPOINTS)
def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port`` or ``[host]:port``.

    Parameters
    ----------
    text : str
        For example ``127.0.0.1:5683`` or ``[::1]:5683``.

    Returns
    -------
    Endpoint
        The endpoint.

    Raises
    ------
    SettingError
        If the host is not an IP address or the port is out of range.

    Examples
    --------
    >>> parse_endpoint('127.0.0.1:5683').port
    5683
    """
    host, separator, port_text = text.rpartition(':')
    bare_host = host.removeprefix('[').removesuffix(']')
    try:
        address = ipaddress.ip_address(bare_host)
    except ValueError:
        raise SettingError(
            f'endpoint {text!r} has no IP address; write it as IP:PORT, '
            'for instance 127.0.0.1:5683',
        ) from None
    if not separator or not _is_port(port_text):
        raise SettingError(
            f'endpoint {text!r} has no port of 0 to {MAX_PORT}; write it as '
            'IP:PORT, for instance 127.0.0.1:5683',
        )
    return Endpoint(str(address), int(port_text))


def parse_reachable(text: str) -> Endpoint:
    """Parse an endpoint at which other processes reach this one.

    Parameters
    ----------
    text : str
        As for :func:`parse_endpoint`.

    Returns
    -------
    Endpoint
        The endpoint.

    Raises
    ------
    SettingError
        Also if the address is unspecified or the port is 0.

    Notes
    -----
    A socket can be bound to the unspecified address (0.0.0.0 or ``::``) or to
    port 0, but other processes cannot send to it: for them the unspecified
    address means their own host, so that what they send comes back to them.
    """
    endpoint = parse_endpoint(text)
    if ipaddress.ip_address(endpoint.host).is_unspecified or not endpoint.port:
        raise SettingError(
            f'endpoint {text!r} cannot be reached by others; give one address '
            'and port of this host',
        )
    return endpoint


def _is_port(text: str) -> bool:
    # The length is checked first, as int() raises an error for a text of
    # thousands of digits.
    is_short = len(text) <= _PORT_DIGITS
    return is_short and text.isdecimal() and int(text) <= MAX_PORT
