"""Waits for the outcome of a change or read of the replicated tables."""

import asyncio

from redwingstream.errors import (
    CallFailedError,
    RedwingstreamError,
    ResultCode,
)
from redwingstream.tables.machine.state_machine import CommandResult

CHANGE_TIMEOUT = 3.0
"""Seconds that a change may wait for a majority until its sender is told that
the outcome is unknown; operators abandon a call after 1 s to 2 s."""


class OutcomeWaiter:
    """Waits for the outcome of one change or read."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._future: asyncio.Future[None] = loop.create_future()

    def set_outcome(self, outcome: CommandResult | RedwingstreamError) -> None:
        """Set the outcome; later ones are ignored."""
        if self._future.done():
            return
        if isinstance(outcome, RedwingstreamError):
            self._future.set_exception(outcome)
        else:
            self._future.set_result(None)

    async def wait(self) -> None:
        """Wait for the outcome for up to ``CHANGE_TIMEOUT``.

        Raises
        ------
        CallFailedError
            When the outcome is not known in time.
        RedwingstreamError
            When the change or read has failed.
        """
        try:
            await asyncio.wait_for(self._future, CHANGE_TIMEOUT)
        except TimeoutError as error:
            raise CallFailedError(
                f'no majority within {CHANGE_TIMEOUT} s; the change may still '
                'be accepted: send it again',
                ResultCode.NO_QUORUM,
            ) from error
