"""Tests of calls: each ends, whatever the peer or the library does."""

import asyncio

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.membership.messages import Probe, ProbeAck
from redwingstream.node.tests.test_member import free_endpoint
from redwingstream.wire.calls import (
    MAX_CALL_SIZE,
    MAX_CONNECTIONS,
    SERVING_CONTEXTS,
    CallClient,
    keep_cancellation,
    serve_calls,
)
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * 32
ROUNDS = 30
TEST_TIMEOUT = 60


def codec() -> FrameCodec:
    """Return a codec with the frame size of calls."""
    return FrameCodec(KEY, MAX_CALL_SIZE)


async def answer(request: object) -> object:
    """Answer a probe with its revision."""
    assert isinstance(request, Probe)
    return ProbeAck(request.revision)


async def never_answer(request: object) -> object:
    """Keep the caller waiting."""
    await asyncio.Event().wait()
    return request


async def refuse(request: object) -> object:
    """Refuse the call with a code."""
    raise CallFailedError('not here; ask c2', ResultCode.NOT_LEADER)


async def fail(request: object) -> object:
    """Raise an unexpected error on a ``ProbeAck``; answer probes."""
    if isinstance(request, ProbeAck):
        raise KeyError('no such row')
    return await answer(request)


async def ask(
    calls: CallClient, endpoint: Endpoint, timeout: float = TEST_TIMEOUT
) -> int:
    """Call with a probe; return the revision in the answer."""
    answered = await calls.call(endpoint, Probe(7), ProbeAck, timeout)
    return answered.revision


class TestCalls:
    """Calls from one client to one server."""

    async def test_answers_many_calls_at_once(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), answer):
            with CallClient(codec()).opened() as calls:
                answers = await asyncio.gather(
                    *(ask(calls, endpoint) for _ in range(2 * SERVING_CONTEXTS))
                )
        assert set(answers) == {7}

    async def test_raises_code_and_text_of_a_refusal(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), refuse):
            with CallClient(codec()).opened() as calls:
                with pytest.raises(CallFailedError, match='ask c2') as caught:
                    await ask(calls, endpoint)
        assert caught.value.code is ResultCode.NOT_LEADER

    async def test_times_out_without_an_answer(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), never_answer):
            with CallClient(codec()).opened() as calls:
                with pytest.raises(CallFailedError) as caught:
                    await ask(calls, endpoint, timeout=0.05)
        assert caught.value.code is ResultCode.TIMED_OUT

    async def test_answers_after_many_errors_of_a_handler(self) -> None:
        """Errors of a handler must not stop a process from answering calls.

        If an error ended the task that serves the call, no task would be left
        after as many errors as there are tasks: no tables, changes or dumps.
        """
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), fail):
            with CallClient(codec()).opened() as calls:
                for _ in range(SERVING_CONTEXTS + 1):
                    with pytest.raises(CallFailedError) as caught:
                        await calls.call(endpoint, ProbeAck(1), ProbeAck, 0.2)
                assert await ask(calls, endpoint, 1) == 7
        assert caught.value.code is ResultCode.INTERNAL

    async def test_limits_its_connections(self) -> None:
        """A process must not run out of file descriptors.

        Agents restart at other addresses.  If the connection to each process
        that was ever called stayed open, those to processes that are gone
        would redial for ever.
        """
        with CallClient(codec()).opened() as calls:
            for _ in range(2 * MAX_CONNECTIONS):
                endpoint = free_endpoint()
                async with serve_calls(endpoint, codec(), answer):
                    assert await ask(calls, endpoint) == 7
            assert len(calls) == MAX_CONNECTIONS

    async def test_calls_again_after_the_server_came_back(self) -> None:
        endpoint = free_endpoint()
        with CallClient(codec()).opened() as calls:
            with pytest.raises(CallFailedError):
                await ask(calls, endpoint, timeout=0.05)
            async with serve_calls(endpoint, codec(), answer):
                assert await ask(calls, endpoint) == 7

    async def test_stops_while_calls_are_answered(self) -> None:
        """A process that stops while it answers a call must not hang.

        pynng drops a cancellation that arrives when a send completes, and the
        task would then wait for the next call for ever.
        """
        async with asyncio.timeout(TEST_TIMEOUT):
            for _ in range(ROUNDS):
                endpoint = free_endpoint()
                with CallClient(codec()).opened() as calls:
                    async with serve_calls(endpoint, codec(), answer):
                        asking = [
                            asyncio.create_task(ask(calls, endpoint, 0.02))
                            for _ in range(SERVING_CONTEXTS)
                        ]
                        await asyncio.sleep(0.005)
                    await asyncio.wait(asking)
        assert all(task.done() for task in asking)


class TestKeepCancellation:
    """A cancellation that the library drops is raised again."""

    async def test_raises_a_cancellation_that_was_dropped(self) -> None:
        """A dropped cancellation must not keep a process from stopping.

        The task is cancelled when the answer to a call has just been sent.  The
        library drops the cancellation and returns, and the task would wait for
        the next call for ever.
        """

        async def drop_cancellation() -> str:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                return 'sent'

        task = asyncio.create_task(keep_cancellation(drop_cancellation()))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_returns_the_outcome(self) -> None:
        async def receive() -> bytes:
            return b'frame'

        assert await keep_cancellation(receive()) == b'frame'
