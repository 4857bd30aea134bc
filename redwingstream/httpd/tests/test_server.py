"""The HTTP server, over real sockets."""

import asyncio
import contextlib
import random

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.httpd import server as server_module
from redwingstream.httpd.assembly import MAX_BODY, MAX_HEAD
from redwingstream.httpd.messages import OK, Request, Response
from redwingstream.httpd.server import HttpServer, serve_http

HOST = '127.0.0.1'
DIGITS = bytes(range(48, 58))


class _Site:
    """A server that answers with what it was sent."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.errors: list[Exception] = []
        self.server: HttpServer | None = None
        self.port = 0

    async def answer(self, request: Request) -> Response:
        self.requests.append(request)
        if request.path == '/broken':
            raise RuntimeError('broken on purpose')
        return Response(OK, request.body)

    async def send(self, *pieces: bytes) -> bytes:
        """Send pieces on one connection, return what comes until it ends."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        with contextlib.suppress(OSError):
            # The server may have closed the connection already.
            writer.write_eof()
        async with asyncio.timeout(10):
            received = await reader.read()
        writer.close()
        return received


@pytest.fixture
async def site(unused_tcp_port):
    """A running server."""
    made = _Site()
    made.port = unused_tcp_port
    endpoint = Endpoint(HOST, unused_tcp_port)
    async with serve_http(endpoint, made.answer, made.errors.append) as server:
        made.server = server
        yield made


def _post(body: bytes, path: str = '/x') -> bytes:
    head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class TestRequests:
    """Requests that are whole."""

    async def test_body_and_path_arrive(self, site) -> None:
        answer = await site.send(_post(b'{"a":1}', '/x?y=1'))
        assert answer.startswith(b'HTTP/1.1 200 OK')
        assert answer.endswith(b'{"a":1}')
        assert site.requests == [Request('POST', '/x', b'{"a":1}')]

    async def test_in_pieces(self, site) -> None:
        whole = _post(DIGITS)
        await site.send(
            *(whole[place : place + 3] for place in range(0, len(whole), 3))
        )
        assert site.requests[0].body == DIGITS

    async def test_several_on_one_connection_in_order(self, site) -> None:
        answer = await site.send(_post(b'first') + _post(b'second'))
        assert answer.index(b'first') < answer.index(b'second')

    async def test_a_body_at_the_limit(self, site) -> None:
        answer = await site.send(_post(bytes(MAX_BODY)))
        assert answer.startswith(b'HTTP/1.1 200')

    async def test_an_error_is_answered_and_reported(self, site) -> None:
        answer = await site.send(_post(b'', '/broken'))
        assert answer.startswith(b'HTTP/1.1 500')
        assert len(site.errors) == 1


class TestRefusals:
    """What is not taken."""

    async def test_a_body_above_the_limit(self, site) -> None:
        answer = await site.send(_post(bytes(MAX_BODY + 1)))
        assert answer.startswith(b'HTTP/1.1 413')
        assert not site.requests

    async def test_a_head_above_the_limit(self, site) -> None:
        head = f'GET / HTTP/1.1\r\nX: {"y" * MAX_HEAD}\r\n\r\n'
        answer = await site.send(head.encode())
        assert answer.startswith(b'HTTP/1.1 400')

    async def test_what_is_no_request(self, site) -> None:
        answer = await site.send(b'\x00\x01 nonsense\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 400')

    async def test_half_a_request_is_never_answered_as_whole(
        self, site
    ) -> None:
        answer = await site.send(_post(DIGITS)[:-4])
        assert not site.requests
        assert b'200' not in answer

    async def test_too_many_connections(self, site, monkeypatch) -> None:
        monkeypatch.setattr(server_module, 'MAX_CONNECTIONS', 1)
        _, writer = await asyncio.open_connection(HOST, site.port)
        await asyncio.sleep(0)
        answer = await site.send(_post(b''))
        assert answer.startswith(b'HTTP/1.1 503')
        writer.close()

    async def test_a_slow_sender_is_closed(self, site, monkeypatch) -> None:
        """Connections that send nothing do not pile up.

        Somebody opens connections and sends half a request.  Each is closed
        after a while, and others can connect.
        """
        monkeypatch.setattr(server_module, 'REQUEST_SECONDS', 0.05)
        reader, writer = await asyncio.open_connection(HOST, site.port)
        writer.write(b'POST /x HTTP/1.1\r\nContent-')
        async with asyncio.timeout(10):
            answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 408')
        writer.close()


class TestAnyInput:
    """Nothing that comes ends the server."""

    async def test_mutated_requests(self, site) -> None:
        """Random and mutated bytes leave the server answering."""
        chance = random.Random(7)
        whole = _post(b'{"version":1}')
        for _ in range(300):
            mutated = bytearray(whole)
            for _ in range(chance.randrange(1, 6)):
                mutated[chance.randrange(len(mutated))] = chance.randrange(256)
            await site.send(bytes(mutated))
        assert (await site.send(whole)).startswith(b'HTTP/1.1 200')
