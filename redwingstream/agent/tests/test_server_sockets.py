"""Sockets between an agent and its server, on the loopback interface."""

import socket

from redwingstream.agent.server_sockets import open_server_sockets
from redwingstream.endpoints import Endpoint

LOCALHOST = '127.0.0.1'


def open_server(port: int = 0) -> socket.socket:
    """Open the socket of a backend server."""
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind((LOCALHOST, port))
    server.settimeout(1)
    return server


class TestServerSockets:
    """Sending to a server that restarts."""

    async def test_sends_request_after_earlier_error(
        self,
    ) -> None:
        """A request is not lost to the error of an earlier packet.

        The server is down and refuses a packet.  After it is back, the next
        call to send reports that refusal instead of sending the request.
        """
        with open_server() as server:
            port = server.getsockname()[1]
        refusals: list[bool] = []
        with open_server_sockets(
            Endpoint(LOCALHOST, port),
            lambda packet, source: None,
            lambda: refusals.append(True),
        ) as sockets:
            sockets.send(b'lost', 0)
            with open_server(port) as server:
                sockets.send(b'24 mm', 0)
                assert server.recv(100) == b'24 mm'
        assert refusals == [True]
