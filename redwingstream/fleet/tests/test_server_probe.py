"""Detection of a server whose process has ended."""

import contextlib
import socket
from collections.abc import Iterator

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.server_probe import has_ended

HOST = '127.0.0.1'


@contextlib.contextmanager
def _listening(backlog: int) -> Iterator[Endpoint]:
    with socket.create_server((HOST, 0), backlog=backlog) as server:
        yield Endpoint(HOST, server.getsockname()[1])


class TestHasEnded:
    """A connection attempt to the server's port."""

    async def test_true_when_port_is_closed(self) -> None:
        with _listening(backlog=1) as endpoint:
            assert not await has_ended(endpoint)
        assert await has_ended(endpoint)

    async def test_false_while_server_listens(self) -> None:
        with _listening(backlog=1) as endpoint:
            assert not await has_ended(endpoint)

    async def test_false_while_backlog_is_full(self) -> None:
        """Guards against treating an unresponsive server as ended."""
        with _listening(backlog=0) as endpoint, contextlib.ExitStack() as held:
            for _ in range(3):
                waiting = held.enter_context(socket.socket())
                waiting.setblocking(False)  # noqa: WPS425 - no keyword
                waiting.connect_ex((HOST, endpoint.port))
            assert not await has_ended(endpoint)
