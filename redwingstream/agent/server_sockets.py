"""UDP sockets between an agent and its backend server."""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable, Iterator

from redwingstream.endpoints import Endpoint
from redwingstream.flows.effects import FRESH_SOURCE
from redwingstream.wire.datagrams import BATCH, MAX_DATAGRAM

OnPacket = Callable[[bytes, int], None]
OnRefused = Callable[[], None]


class ServerSockets:
    """Connected UDP sockets, each with a source number.

    Parameters
    ----------
    server : Endpoint
        Address at which the backend server receives CoAP.
    on_packet : callable
        Called with each received packet and the source number of its socket.
    on_refused : callable
        Called when the host reports that no process listens there.

    Notes
    -----
    Connected sockets receive packets of the server only, and report an error
    when ICMP says that the server process is gone.
    """

    def __init__(
        self, server: Endpoint, on_packet: OnPacket, on_refused: OnRefused
    ) -> None:
        self._server = server
        self._on_packet = on_packet
        self._on_refused = on_refused
        self._socket_by_source: dict[int, socket.socket] = {}

    def send(self, packet: bytes, source: int) -> None:
        """Send a packet from the socket with a source number.

        For ``FRESH_SOURCE`` a new socket is opened.
        """
        if source == FRESH_SOURCE:
            self.replace(source)
        sock = self._socket_by_source.get(source) or self.replace(source)
        try:
            sock.send(packet)
        except ConnectionRefusedError:
            # The error belongs to an earlier packet, and this packet has not
            # been sent.  Without a second call a request would be lost even
            # if the server runs again.
            with contextlib.suppress(OSError):
                sock.send(packet)
            self._on_refused()
        except OSError:
            # Treated as a lost datagram; the exchange repeats it.
            return

    def replace(self, source: int) -> socket.socket:
        """Close the socket with a source number, if any, and open a new one."""
        self._close(source)
        family = socket.AF_INET6 if ':' in self._server.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)  # noqa: WPS425
        sock.connect(self._server.as_pair())
        reader = functools.partial(self._read, sock, source)
        asyncio.get_running_loop().add_reader(sock, reader)
        self._socket_by_source[source] = sock
        return sock

    def close(self) -> None:
        """Close all sockets."""
        for source in list(self._socket_by_source):
            self._close(source)

    def _close(self, source: int) -> None:
        sock = self._socket_by_source.pop(source, None)
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def _read(self, sock: socket.socket, source: int) -> None:
        for _ in range(BATCH):
            try:
                packet = sock.recv(MAX_DATAGRAM)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self._on_refused()
                return
            except OSError:
                return
            self._on_packet(packet, source)


@contextlib.contextmanager
def open_server_sockets(
    server: Endpoint, on_packet: OnPacket, on_refused: OnRefused
) -> Iterator[ServerSockets]:
    """Yield the sockets to a server and close them on exit."""
    sockets = ServerSockets(server, on_packet, on_refused)
    try:
        yield sockets
    finally:
        sockets.close()
