"""Calls that are cancelled while the library completes them."""

import asyncio

import pytest

from redwingstream.wire.calls import keep_cancellation


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
