"""The UDP socket of a process, which reads datagrams in batches.

The datagram endpoint of asyncio reads one datagram per wake-up of the event
loop.  Reading a non-blocking socket until it is empty takes a sixth of that
time per packet.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import EndpointError

BATCH = 64
"""Maximum number of datagrams read per wake-up."""

MAX_DATAGRAM = 65535
"""Maximum size of a UDP datagram in bytes."""

RECEIVE_BUFFER = 4 * 1024 * 1024
"""Size in bytes of the receive buffer that is requested from the kernel."""

Receiver = Callable[[bytes, tuple[str, int]], None]


@attrs.define
class DatagramCounters:
    """Counts of datagrams of one socket since it was opened."""

    received: int = 0
    sent: int = 0
    send_failed: int = 0


class DatagramSocket:
    """A bound UDP socket on the running loop.

    Parameters
    ----------
    sock : socket.socket
        Bound, non-blocking socket; :func:`open_datagrams` opens and closes it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.counters = DatagramCounters()

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint that the socket is bound to."""
        host, port = self._sock.getsockname()[:2]
        return Endpoint(host, port)

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Send one datagram; an error such as a full buffer is only counted.

        Notes
        -----
        UDP may lose any datagram, so every protocol above retransmits what
        must arrive.  An error here counts as one more loss.
        """
        try:
            self._sock.sendto(payload, target)
        except OSError:
            self.counters.send_failed += 1
            return
        self.counters.sent += 1

    def read_batch(self, receiver: Receiver) -> None:
        """Pass waiting datagrams to the receiver, at most ``BATCH`` of them."""
        for _ in range(BATCH):
            try:
                payload, source = self._sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                # Reports an ICMP error of an earlier send; the socket itself
                # still works.
                continue
            self.counters.received += 1
            receiver(payload, source[:2])


@contextlib.contextmanager
def open_datagrams(
    endpoint: Endpoint, receiver: Receiver
) -> Iterator[DatagramSocket]:
    """Open a UDP socket on the running event loop while the context is open.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint to bind; with port 0 the kernel chooses a free port.
    receiver : callable
        Called with each datagram and its source address.

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
