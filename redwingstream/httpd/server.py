"""Connections, limits and time-outs round the HTTP parser.

The parser is httptools: h11 took 56 ms of processor time to import in a trial,
httptools 17 ms.  A process that starts beside a server has 0.6 of a core, and
callers wait for it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import EndpointError
from redwingstream.httpd.assembly import (
    Assembly,
    MalformedError,
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
"""Connections of one listening address: an operator has eight requests under
way, and a server one heartbeat."""

REQUEST_SECONDS = 15
"""Time that a request may take to arrive whole, and a connection may be idle;
longer than the longest pause of a sender that is still useful, since callers
of this interface give up after a few seconds."""

RequestHandler = Callable[[Request], Awaitable[Response]]


@attrs.define
class HttpCounters:
    """What passed one listening address."""

    accepted: int = 0
    refused: int = 0
    requests: int = 0
    malformed: int = 0
    timed_out: int = 0
    failed: int = 0


class HttpConnection(asyncio.Protocol):
    """One connection; requests are answered one after the other."""

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._assembly = Assembly(self._arrived)
        self._waiting: list[Request] = []
        self._answering: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, or refuse where there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.admit(self):
            self._finish(Response(UNAVAILABLE, retry_after=1))
            return
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; an answer under way is not needed any more."""
        self._server.forget(self)
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Take what has come."""
        try:
            self._assembly.feed(data)
        except MalformedError:
            self._server.counters.malformed += 1
            self._finish(Response(BAD_REQUEST))
        except TooLargeError:
            self._finish(Response(CONTENT_TOO_LARGE))

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _arrived(self, request: Request) -> None:
        self._waiting.append(request)
        if self._answering is None:
            self._answering = asyncio.ensure_future(self._answer_all())

    async def _answer_all(self) -> None:
        while self._waiting and self._transport is not None:
            response = await self._server.answer(self._waiting.pop(0))
            self._write(response, keep_open=True)
            self._restart_timer()
        self._answering = None

    def _write(self, response: Response, *, keep_open: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(render(response, keep_open=keep_open))

    def _finish(self, response: Response) -> None:
        self._write(response, keep_open=False)
        self.close()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REQUEST_SECONDS, self._time_out)

    def _time_out(self) -> None:
        if self._answering is not None:
            return
        self._server.counters.timed_out += 1
        self._finish(Response(REQUEST_TIMEOUT))


class HttpServer:
    """Connections of one listening address.

    Parameters
    ----------
    answerer : callable
        Answers a request.
    failed : callable
        Takes an exception that answering raised; the caller gets 500.
    """

    def __init__(
        self, answerer: RequestHandler, failed: Callable[[Exception], None]
    ) -> None:
        self.counters = HttpCounters()
        self._answerer = answerer
        self._failed = failed
        self._connections: set[HttpConnection] = set()

    def make_connection(self) -> HttpConnection:
        """Return the protocol for a new connection."""
        return HttpConnection(self)

    def admit(self, connection: HttpConnection) -> bool:
        """Count a new connection; return False when there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.counters.refused += 1
            return False
        self.counters.accepted += 1
        self._connections.add(connection)
        return True

    def forget(self, connection: HttpConnection) -> None:
        """Take note that a connection is gone."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._connections):
            connection.close()

    async def answer(self, request: Request) -> Response:
        """Answer one request."""
        self.counters.requests += 1
        try:
            return await self._answerer(request)
        except Exception as error:  # reported; the caller gets 500
            self.counters.failed += 1
            self._failed(error)
            return Response(INTERNAL_ERROR)


@contextlib.asynccontextmanager
async def serve_http(
    endpoint: Endpoint,
    answerer: RequestHandler,
    failed: Callable[[Exception], None],
) -> AsyncIterator[HttpServer]:
    """Listen on an address, and close everything at the end.

    Parameters
    ----------
    endpoint : Endpoint
        Where to listen.
    answerer, failed
        As in :class:`HttpServer`.

    Yields
    ------
    HttpServer
        The server.

    Raises
    ------
    EndpointError
        When the address cannot be bound.
    """
    server = HttpServer(answerer, failed)
    loop = asyncio.get_running_loop()
    try:
        listening = await loop.create_server(
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
        listening.close()
        server.close()
