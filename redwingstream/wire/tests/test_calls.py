"""Tests of calls: what they refuse, and how they end."""

import asyncio
import contextlib
import socket

import pynng
import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import EndpointError
from redwingstream.wire.calls import serve_calls
from redwingstream.wire.frames import FrameCodec

KEY = b'0123456789abcdef'


async def _echo(request: object) -> object:
    return request


@contextlib.contextmanager
def _taken_endpoint():
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        yield Endpoint(*taken.getsockname())


class TestServe:
    """One endpoint on which calls are answered."""

    async def test_a_taken_endpoint_is_named(self):
        """A daemon is started twice; its TCP port is taken already."""
        with _taken_endpoint() as endpoint:
            serving = serve_calls(endpoint, FrameCodec(KEY), _echo)
            with pytest.raises(EndpointError, match=str(endpoint)):
                await serving.__aenter__()

    async def test_a_swallowed_cancellation_does_not_hold_the_end(
        self, monkeypatch
    ):
        """An operator stops a process while a call arrives, and it hangs.

        The receive has completed when the cancellation comes, and pynng
        swallows it then: the task goes on to wait for the next call.  Nobody
        cancelled it again, so the process never ended.
        """
        swallowed: list[pynng.Context] = []

        async def receive(context: pynng.Context) -> bytes:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                if swallowed:
                    raise
                swallowed.append(context)
            return b'no frame'

        monkeypatch.setattr(pynng.Context, 'arecv', receive)
        endpoint = Endpoint('127.0.0.1', 0)
        async with asyncio.timeout(5):
            async with serve_calls(endpoint, FrameCodec(KEY), _echo):
                await asyncio.sleep(0)
        assert len(swallowed) == 1
