"""HTTP server: accepts connections, with limits and time-outs.

The parser is httptools, because callers wait for a process to start and a
process beside a backend server has 0.6 of a core: importing httptools takes
17 ms of processor time, h11 56 ms.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import EndpointError
from redwingstream.httpd.assembly import (
    MalformedError,
    RequestAssembler,
    TooLargeError,
)
from redwingstream.httpd.messages import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    INTERNAL_ERROR,
    REQUEST_TIMEOUT,
    UNAVAILABLE,
    Request,
    Response,
    render,
)

MAX_CONNECTIONS = 256
"""Maximum number of connections to one listening address.  An operator has
eight requests in progress, and a backend server one heartbeat."""

REQUEST_TIMEOUT_SECONDS = 15
"""Seconds in which a request must arrive completely; also the time after which
an idle connection is closed.  Callers of this interface give up after a few
seconds, so a sender that pauses for longer is of no use any more."""

RequestHandler = Callable[[Request], Awaitable[Response]]


@attrs.define
class HttpCounters:
    """Counts of connections and requests of one listening address.

    Parameters
    ----------
    accepted, refused : int
        Connections accepted, and refused because there were too many.
    requests : int
        Complete requests.
    malformed : int
        Connections closed after bytes that are not a valid request.
    timed_out : int
        Connections closed because no complete request arrived in time.
    failed : int
        Requests whose handler raised an exception.
    """

    accepted: int = 0
    refused: int = 0
    requests: int = 0
    malformed: int = 0
    timed_out: int = 0
    failed: int = 0


class HttpConnection(asyncio.Protocol):
    """One connection; its requests are handled one after the other.

    Parameters
    ----------
    server : HttpServer
        The server that accepted the connection.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._assembler = RequestAssembler(self._queue_request)
        self._pending: list[Request] = []
        self._handling: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out, or refuse if there are too many connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.admit_connection(self):
            self._respond_and_close(Response(UNAVAILABLE, retry_after=1))
            return
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection; a response in progress is discarded."""
        self._server.remove_connection(self)
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse bytes received; close the connection if they are invalid."""
        try:
            self._assembler.feed(data)
        except MalformedError:
            self._server.counters.malformed += 1
            self._respond_and_close(Response(BAD_REQUEST))
        except TooLargeError:
            self._respond_and_close(Response(CONTENT_TOO_LARGE))

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _queue_request(self, request: Request) -> None:
        self._pending.append(request)
        if self._handling is None:
            self._handling = asyncio.ensure_future(self._handle_pending())

    async def _handle_pending(self) -> None:
        while self._pending and self._transport is not None:
            response = await self._server.handle_request(self._pending.pop(0))
            self._write(response, keep_open=True)
            self._restart_timer()
        self._handling = None

    def _write(self, response: Response, *, keep_open: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(render(response, keep_open=keep_open))

    def _respond_and_close(self, response: Response) -> None:
        self._write(response, keep_open=False)
        self.close()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            REQUEST_TIMEOUT_SECONDS, self._handle_timeout
        )

    def _handle_timeout(self) -> None:
        if self._handling is not None:
            return
        self._server.counters.timed_out += 1
        self._respond_and_close(Response(REQUEST_TIMEOUT))


class HttpServer:
    """The connections of one listening address.

    Parameters
    ----------
    handler : callable
        Returns the response to a request.
    on_error : callable
        Called with an exception that the handler raised; the caller gets
        status 500.

    Attributes
    ----------
    counters : HttpCounters
        Counts of connections and requests.
    """

    def __init__(
        self, handler: RequestHandler, on_error: Callable[[Exception], None]
    ) -> None:
        self.counters = HttpCounters()
        self._handler = handler
        self._on_error = on_error
        self._connections: set[HttpConnection] = set()

    def make_connection(self) -> HttpConnection:
        """Return the protocol for a new connection."""
        return HttpConnection(self)

    def admit_connection(self, connection: HttpConnection) -> bool:
        """Add a new connection; return False if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.counters.refused += 1
            return False
        self.counters.accepted += 1
        self._connections.add(connection)
        return True

    def remove_connection(self, connection: HttpConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._connections):
            connection.close()

    async def handle_request(self, request: Request) -> Response:
        """Return the response to a request; status 500 if the handler fails."""
        self.counters.requests += 1
        try:
            return await self._handler(request)
        except Exception as error:  # reported; the caller gets 500
            self.counters.failed += 1
            self._on_error(error)
            return Response(INTERNAL_ERROR)


@contextlib.asynccontextmanager
async def serve_http(
    endpoint: Endpoint,
    handler: RequestHandler,
    on_error: Callable[[Exception], None],
) -> AsyncIterator[HttpServer]:
    """Serve HTTP on an address; close all connections on exit.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    handler, on_error
        As in :class:`HttpServer`.

    Yields
    ------
    HttpServer
        The running server.

    Raises
    ------
    EndpointError
        If the address cannot be bound.
    """
    server = HttpServer(handler, on_error)
    loop = asyncio.get_running_loop()
    try:
        listener = await loop.create_server(
            server.make_connection,
            endpoint.host,
            endpoint.port,
            reuse_address=True,
        )
    except OSError as error:
        raise EndpointError(
            f'TCP endpoint {endpoint} cannot be bound: {error.strerror}; end '
            'what uses it or choose another endpoint',
        ) from error
    try:
        yield server
    finally:
        listener.close()
        server.close()
