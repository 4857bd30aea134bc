"""The UDP socket of a process, read dry in batches at each wake-up.

Stock asyncio hands over one datagram a wake-up; reading a non-blocking socket
until it is empty takes a sixth of the time a packet.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import EndpointError

BATCH = 64
"""Datagrams read at one wake-up at most."""

MAX_DATAGRAM = 65535
"""Bytes of a UDP datagram at most."""

RECEIVE_BUFFER = 4 * 1024 * 1024
"""Bytes of the receive buffer that the kernel is asked for."""

Receiver = Callable[[bytes, tuple[str, int]], None]


@attrs.define
class DatagramCounters:
    """What passed one socket since it was opened."""

    received: int = 0
    sent: int = 0
    send_failed: int = 0


class DatagramSocket:
    """A bound UDP socket on the running loop.

    Parameters
    ----------
    sock : socket.socket
        Bound and non-blocking; :func:`open_datagrams` makes and closes it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.counters = DatagramCounters()

    @property
    def endpoint(self) -> Endpoint:
        """Where this socket is bound."""
        host, port = self._sock.getsockname()[:2]
        return Endpoint(host, port)

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Send one datagram; a full buffer or a refused peer only counts.

        Notes
        -----
        UDP may lose any datagram, so every protocol above repeats what must
        arrive.  An error here is handled as one more loss.
        """
        try:
            self._sock.sendto(payload, target)
        except OSError:
            self.counters.send_failed += 1
            return
        self.counters.sent += 1

    def read_batch(self, receiver: Receiver) -> None:
        """Hand over what the socket holds, ``BATCH`` datagrams at most."""
        for _ in range(BATCH):
            try:
                payload, source = self._sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier send shows up here; the socket
                # itself is still good.
                continue
            self.counters.received += 1
            receiver(payload, source[:2])


@contextlib.contextmanager
def open_datagrams(
    endpoint: Endpoint, receiver: Receiver
) -> Iterator[DatagramSocket]:
    """Bind a UDP socket, read it on the running loop, close it at the end.

    Parameters
    ----------
    endpoint : Endpoint
        Where to bind; port 0 takes a free one.
    receiver : callable
        Takes each datagram and its source.

    Yields
    ------
    DatagramSocket
        The open socket.

    Raises
    ------
    EndpointError
        When the endpoint cannot be bound.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ':' in endpoint.host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)  # noqa: WPS425 - no keyword
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        _bind(sock, endpoint)
        datagrams = DatagramSocket(sock)
        loop.add_reader(sock, datagrams.read_batch, receiver)
        try:
            yield datagrams
        finally:
            loop.remove_reader(sock)


def _bind(sock: socket.socket, endpoint: Endpoint) -> None:
    try:
        sock.bind(endpoint.as_pair())
    except OSError as error:
        raise EndpointError(
            f'UDP endpoint {endpoint} cannot be bound: {error.strerror}; end '
            'what uses it or choose another endpoint',
        ) from error
