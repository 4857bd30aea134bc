"""Calls end, whatever the other side or the library does."""

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
PATIENCE = 60


def codec() -> FrameCodec:
    """Return a codec as calls use it."""
    return FrameCodec(KEY, MAX_CALL_SIZE)


async def answer(request: object) -> object:
    """Answer a probe."""
    assert isinstance(request, Probe)
    return ProbeAck(request.revision)


async def never_answer(request: object) -> object:
    """Keep the caller waiting."""
    await asyncio.Event().wait()
    return request


async def refuse(request: object) -> object:
    """Refuse with a code."""
    raise CallFailedError('not here; ask c2', ResultCode.NOT_LEADER)


async def fail(request: object) -> object:
    """Fail as a handler with an error in it does; answer probes."""
    if isinstance(request, ProbeAck):
        raise KeyError('no such row')
    return await answer(request)


async def ask(
    calls: CallClient, endpoint: Endpoint, timeout: float = PATIENCE
) -> int:
    """Call with a probe; return the revision in the answer."""
    answered = await calls.call(endpoint, Probe(7), ProbeAck, timeout)
    return answered.revision


class TestCalls:
    """One server, one client."""

    async def test_answers_many_calls_at_once(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), answer):
            with CallClient(codec()).opened() as calls:
                answers = await asyncio.gather(
                    *(ask(calls, endpoint) for _ in range(2 * SERVING_CONTEXTS))
                )
        assert set(answers) == {7}

    async def test_passes_on_code_and_text_of_a_refusal(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), refuse):
            with CallClient(codec()).opened() as calls:
                with pytest.raises(CallFailedError, match='ask c2') as caught:
                    await ask(calls, endpoint)
        assert caught.value.code is ResultCode.NOT_LEADER

    async def test_gives_up_a_call_that_is_not_answered(self) -> None:
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), never_answer):
            with CallClient(codec()).opened() as calls:
                with pytest.raises(CallFailedError) as caught:
                    await ask(calls, endpoint, timeout=0.05)
        assert caught.value.code is ResultCode.TIMED_OUT

    async def test_answers_after_many_errors_of_a_handler(self) -> None:
        """A process answers no call any more, and looks well otherwise.

        A request meets an error in the handler.  The task that served it
        ended without a word; after as many of them as there are tasks, nobody
        is left to take a call: no tables, no changes, no dump.
        """
        endpoint = free_endpoint()
        async with serve_calls(endpoint, codec(), fail):
            with CallClient(codec()).opened() as calls:
                for _ in range(SERVING_CONTEXTS + 1):
                    with pytest.raises(CallFailedError) as caught:
                        await calls.call(endpoint, ProbeAck(1), ProbeAck, 0.2)
                assert await ask(calls, endpoint, 1) == 7
        assert caught.value.code is ResultCode.INTERNAL

    async def test_keeps_few_connections(self) -> None:
        """A balancer has no file descriptors left after weeks of churn.

        Agents restart at other addresses.  A connection to each process that
        was ever asked for the tables stayed, and those to processes that are
        gone went on dialling.
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

    async def test_stops_in_the_middle_of_answers(self) -> None:
        """A process that was told to stop hangs for ever.

        A call is being answered when the process stops.  pynng completes the
        send at the moment in which it is cancelled and swallows the
        cancellation; the task goes on to wait for the next call.
        """
        async with asyncio.timeout(PATIENCE):
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
    """A cancellation is never lost, whatever the library does with it."""

    async def test_raises_a_cancellation_that_was_swallowed(self) -> None:
        """A process that is told to stop never stops.

        Its answer to a call has just been sent when the task is cancelled;
        the library drops the cancellation and returns, and the task waits for
        the next call for ever.
        """

        async def swallow() -> str:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                return 'sent'

        task = asyncio.create_task(keep_cancellation(swallow()))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_returns_the_outcome(self) -> None:
        async def receive() -> bytes:
            return b'frame'

        assert await keep_cancellation(receive()) == b'frame'
