"""The HTTP server, over real sockets."""

import asyncio
import contextlib
import random

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.httpd import server as server_module
from redwingstream.httpd.assembly import MAX_BODY_BYTES, MAX_HEAD_BYTES
from redwingstream.httpd.messages import OK, Request, Response
from redwingstream.httpd.server import HttpServer, serve_http

HOST = '127.0.0.1'
DIGITS = bytes(range(48, 58))


class _EchoSite:
    """A running server whose responses repeat the request body."""

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
        """Send parts on one connection; return all that is received."""
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
    running_site = _EchoSite()
    running_site.port = unused_tcp_port
    endpoint = Endpoint(HOST, unused_tcp_port)
    async with serve_http(
        endpoint, running_site.answer, running_site.errors.append
    ) as server:
        running_site.server = server
        yield running_site


def _post(body: bytes, path: str = '/x') -> bytes:
    head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class TestRequests:
    """Complete requests."""

    async def test_body_and_path_arrive(self, site) -> None:
        answer = await site.send(_post(b'{"a":1}', '/x?y=1'))
        assert answer.startswith(b'HTTP/1.1 200 OK')
        assert answer.endswith(b'{"a":1}')
        assert site.requests == [Request('POST', '/x', b'{"a":1}')]

    async def test_request_in_several_parts(self, site) -> None:
        whole = _post(DIGITS)
        await site.send(
            *(whole[offset : offset + 3] for offset in range(0, len(whole), 3))
        )
        assert site.requests[0].body == DIGITS

    async def test_responses_keep_the_order_of_requests(self, site) -> None:
        answer = await site.send(_post(b'first') + _post(b'second'))
        assert answer.index(b'first') < answer.index(b'second')

    async def test_a_body_at_the_limit(self, site) -> None:
        answer = await site.send(_post(bytes(MAX_BODY_BYTES)))
        assert answer.startswith(b'HTTP/1.1 200')

    async def test_an_error_is_answered_and_reported(self, site) -> None:
        answer = await site.send(_post(b'', '/broken'))
        assert answer.startswith(b'HTTP/1.1 500')
        assert len(site.errors) == 1


class TestRefusals:
    """Requests and connections that are rejected."""

    async def test_a_body_above_the_limit(self, site) -> None:
        answer = await site.send(_post(bytes(MAX_BODY_BYTES + 1)))
        assert answer.startswith(b'HTTP/1.1 413')
        assert not site.requests

    async def test_a_head_above_the_limit(self, site) -> None:
        head = f'GET / HTTP/1.1\r\nX: {"y" * MAX_HEAD_BYTES}\r\n\r\n'
        answer = await site.send(head.encode())
        assert answer.startswith(b'HTTP/1.1 400')

    async def test_bytes_that_are_no_request(self, site) -> None:
        answer = await site.send(b'\x00\x01 nonsense\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 400')

    async def test_an_incomplete_request_is_not_handled(self, site) -> None:
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

    async def test_an_incomplete_request_times_out(
        self, site, monkeypatch
    ) -> None:
        """Connections with incomplete requests do not accumulate.

        A caller that sends a part of a request and then nothing is answered
        with status 408 after the time-out, and its connection is closed, so
        that others can connect.
        """
        monkeypatch.setattr(server_module, 'REQUEST_TIMEOUT_SECONDS', 0.05)
        reader, writer = await asyncio.open_connection(HOST, site.port)
        writer.write(b'POST /x HTTP/1.1\r\nContent-')
        async with asyncio.timeout(10):
            answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 408')
        writer.close()


class TestAnyInput:
    """The server keeps running whatever bytes it receives."""

    async def test_mutated_requests(self, site) -> None:
        """The server still answers after requests with random changes."""
        generator = random.Random(7)
        whole = _post(b'{"version":1}')
        for _ in range(300):
            mutated = bytearray(whole)
            for _ in range(generator.randrange(1, 6)):
                mutated[generator.randrange(len(mutated))] = (
                    generator.randrange(256)
                )
            await site.send(bytes(mutated))
        assert (await site.send(whole)).startswith(b'HTTP/1.1 200')
