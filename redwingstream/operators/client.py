"""Client of the control instances and of the other processes.

Calls that read or change the tables go to the leader of the control instances.
An instance that does not lead refuses such a call with ``NOT_LEADER`` and, if
it knows the leader, names it in the error text; the client then retries there.
"""

import asyncio
import contextlib
import uuid
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import attrs

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import (
    CallFailedError,
    ChangeRefusedError,
    ResultCode,
    SettingError,
)
from redwingstream.membership.messages import DumpAnswer, DumpRequest
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    ReadTables,
    TablesRead,
)
from redwingstream.tables.messages import (
    FetchTables,
    TablesUpdate,
)

ATTEMPT_TIMEOUT = 2.0
"""Seconds to wait for the answer of one process in one attempt."""

RETRY_INTERVAL = 0.2
"""Seconds between two attempts."""

# The call may succeed at another control instance, or later.
_TRANSIENT = frozenset(
    (ResultCode.NOT_LEADER, ResultCode.NO_QUORUM, ResultCode.TIMED_OUT)
)

AnswerT = TypeVar('AnswerT')


class CallTransport(Protocol):
    """The part of ``CallClient`` that this module uses."""

    async def call(
        self,
        endpoint: Endpoint,
        request: object,
        answer_class: type[AnswerT],
        timeout: float = ATTEMPT_TIMEOUT,
    ) -> AnswerT:
        """Send a request and wait up to ``timeout`` seconds for its answer."""


@attrs.frozen
class LaggingProcess:
    """A process whose tables have not reached a given revision.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint of the process.
    revision : int or None
        Revision of its tables; None if it does not answer.
    """

    endpoint: Endpoint
    revision: int | None


class ControlClient:
    """Reads and changes the tables through the control instances.

    Parameters
    ----------
    calls : CallTransport
        Sends the calls.
    control : sequence of Endpoint
        Endpoints of the configured control instances.
    timeout : float
        Seconds after which a command stops retrying.
    now : callable, optional
        Clock in seconds; the running event loop's by default.
    """

    def __init__(
        self,
        calls: CallTransport,
        control: Sequence[Endpoint],
        timeout: float,
        now: Callable[[], float] | None = None,
    ) -> None:
        self.control = tuple(control)
        self._calls = calls
        self._timeout = timeout
        self._now = now or asyncio.get_running_loop().time
        self._leader = self.control[0]

    async def read_tables(self) -> TablesRead:
        """Return the current tables of the leader."""
        return await self._ask_leader(ReadTables(), TablesRead)

    async def change(
        self,
        edits: Edits,
        based_on: int,
        *,
        force: bool = False,
        request_id: str = '',
    ) -> ChangeAnswer:
        """Change the tables; the answer holds the accepted revision.

        Parameters
        ----------
        edits : Edits
            The changes.
        based_on : int
            Configuration revision that the change is based on; the change is
            refused with ``CONFLICT`` if another one was made since.
        force : bool
            Whether to accept changes that would harm traffic.
        request_id : str, optional
            Request id of an earlier attempt whose answer was lost; a new id
            by default.

        Raises
        ------
        ChangeRefusedError
            If the change is refused; the message names the reason and the
            current revision.
        CallFailedError
            If no answer arrives in time; the change may have been accepted.

        Notes
        -----
        An answer can be lost after the change was accepted.  All attempts of
        this call carry the same request id, so an accepted change is not made
        again and its first answer is returned.
        """
        sent_id = request_id or uuid.uuid4().hex
        request = ChangeRequest(sent_id, based_on, edits, force)
        try:
            answer = await self._ask_leader(request, ChangeAnswer)
        except CallFailedError as error:
            if error.code not in _TRANSIENT:
                raise
            raise CallFailedError(
                f'{error}; the change may have been accepted: repeat the '
                f'command with --request-id {sent_id} '
                f'--based-on {based_on}',
                error.code,
            ) from error
        if answer.code != ResultCode.OK:
            raise ChangeRefusedError(
                f'refused: {answer.text} (current revision {answer.revision})',
                ResultCode(answer.code),
            )
        return answer

    async def dump(self, endpoint: Endpoint) -> str:
        """Return the state of a process as JSON text."""
        answer = await self._calls.call(
            endpoint, DumpRequest(), DumpAnswer, self._attempt_timeout()
        )
        return answer.text

    async def fetch_revision(self, endpoint: Endpoint, known: int) -> int:
        """Ask a process for the revision of the tables in force on it.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint of the process.
        known : int
            A revision that the operator already has.  The answer holds only
            later changes, which keeps it small.
        """
        update = await self._calls.call(
            endpoint, FetchTables(known), TablesUpdate, self._attempt_timeout()
        )
        return update.revision

    async def wait_in_force(
        self, revision: int, endpoints: Sequence[Endpoint]
    ) -> tuple[LaggingProcess, ...]:
        """Wait until processes have reached a revision, or time is up.

        Parameters
        ----------
        revision : int
            Configuration revision that is to be in force.
        endpoints : sequence of Endpoint
            Processes to wait for.

        Returns
        -------
        tuple of LaggingProcess
            Processes that have not reached it in time; empty if all have.
        """
        deadline = self._now() + self._timeout
        lagging = await self._lagging_processes(revision, endpoints)
        while lagging and self._now() < deadline:
            await asyncio.sleep(RETRY_INTERVAL)
            waiting = [process.endpoint for process in lagging]
            lagging = await self._lagging_processes(revision, waiting)
        return lagging

    async def _lagging_processes(
        self, revision: int, endpoints: Sequence[Endpoint]
    ) -> tuple[LaggingProcess, ...]:
        found = await asyncio.gather(
            *(
                self._process_revision(endpoint, revision)
                for endpoint in endpoints
            )
        )
        return tuple(
            process
            for process in found
            if process.revision is None or process.revision < revision
        )

    async def _process_revision(
        self, endpoint: Endpoint, revision: int
    ) -> LaggingProcess:
        try:
            return LaggingProcess(
                endpoint, await self.fetch_revision(endpoint, revision)
            )
        except CallFailedError:
            return LaggingProcess(endpoint, None)

    async def _ask_leader(
        self, request: object, answer_class: type[AnswerT]
    ) -> AnswerT:
        deadline = self._now() + self._timeout
        while True:
            try:
                return await self._calls.call(
                    self._leader, request, answer_class, self._attempt_timeout()
                )
            except CallFailedError as error:
                failure = error
            if failure.code not in _TRANSIENT or self._now() >= deadline:
                raise failure
            self._leader = self._next_candidate(failure)
            await asyncio.sleep(RETRY_INTERVAL)

    def _next_candidate(self, failure: CallFailedError) -> Endpoint:
        """Return the endpoint to ask next.

        This is the leader that the refusal names, else the next configured
        instance.  An instance that was cut off from the others may name a
        former leader; if that does not answer, the next configured instance is
        asked.
        """
        if failure.code is ResultCode.NOT_LEADER:
            named = _find_named_leader(str(failure))
            if named is not None and named != self._leader:
                return named
        if self._leader not in self.control:
            return self.control[0]
        position = self.control.index(self._leader) + 1
        return self.control[position % len(self.control)]

    def _attempt_timeout(self) -> float:
        return min(ATTEMPT_TIMEOUT, self._timeout)


def _find_named_leader(text: str) -> Endpoint | None:
    """Return the first endpoint in the text of a refusal, if any."""
    for word in text.split():
        with contextlib.suppress(SettingError):
            return parse_endpoint(word)
    return None
