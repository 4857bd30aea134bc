"""Where a process, a caller or a service is reached: an IP and a port."""

import functools
import ipaddress

import attrs

from redwingstream.errors import SettingError

MAX_PORT = 65535
_PORT_DIGITS = len(str(MAX_PORT))
_CACHED_ENDPOINTS = 65536


@attrs.frozen(order=True)
class Endpoint:
    """An IP address and a port.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address in its usual text form; never a name.
    port : int
        0 to 65535; a socket that is bound to 0 takes a free one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets round an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    def as_pair(self) -> tuple[str, int]:
        """Return the form that the socket calls take."""
        return (self.host, self.port)


@functools.lru_cache(maxsize=_CACHED_ENDPOINTS)
def parse_endpoint(text: str) -> Endpoint:
    """Read ``host:port`` or ``[host]:port``.

    Parameters
    ----------
    text : str
        For instance ``127.0.0.1:5683`` or ``[::1]:5683``.

    Returns
    -------
    Endpoint
        The endpoint read.

    Raises
    ------
    SettingError
        When the host is no IP address or the port is out of range.

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
    """Read an endpoint at which other processes reach this one.

    Notes
    -----
    An address that stands for all of a host's own, or port 0, is good for a
    socket.  To another process it is the other process's own host, so that
    what it sends there comes back to itself.

    Raises
    ------
    SettingError
        Also when the address is unspecified or the port is 0.
    """
    endpoint = parse_endpoint(text)
    if ipaddress.ip_address(endpoint.host).is_unspecified or not endpoint.port:
        raise SettingError(
            f'endpoint {text!r} cannot be reached by others; give one address '
            'and port of this host',
        )
    return endpoint


def _is_port(text: str) -> bool:
    # Python refuses to read a number of thousands of digits.
    is_short = len(text) <= _PORT_DIGITS
    return is_short and text.isdecimal() and int(text) <= MAX_PORT
