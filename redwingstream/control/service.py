"""Answers of a control instance to calls of operators and processes."""

import asyncio
import json
from collections.abc import Callable

import attrs

from redwingstream.control.replica import OutcomeCallback, Replica
from redwingstream.errors import (
    CallFailedError,
    ChangeRefusedError,
    RedwingstreamError,
    ResultCode,
)
from redwingstream.membership.messages import DumpAnswer, DumpRequest
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    ReadTables,
    TablesRead,
)
from redwingstream.tables.machine.state_machine import CommandResult
from redwingstream.tables.messages import (
    FetchTables,
)
from redwingstream.wire import messages

MAX_CHANGE_BYTES = 32768
MAX_REQUEST_ID = 128


class ControlService:
    """Answers calls of operators and other processes.

    Parameters
    ----------
    replica : Replica
        Replica whose state is read and changed.
    host, zone : str
        Name and availability zone of this instance, for dumps.
    timeout : float
        Seconds that a call waits for a majority.
    """

    def __init__(
        self, replica: Replica, host: str, zone: str, timeout: float
    ) -> None:
        self._replica = replica
        self._host = host
        self._zone = zone
        self._timeout = timeout

    async def answer(self, request: object) -> object:
        """Answer one call.

        Raises
        ------
        RedwingstreamError
            With the result code that the caller receives.
        """
        match request:
            case FetchTables(since=since):
                return self._replica.machine.update_since(since)
            case ReadTables():
                return await self._read_tables()
            case ChangeRequest():
                return await self._change(request)
            case DumpRequest():
                return DumpAnswer(self._dump())
        raise CallFailedError(
            f'a control instance does not answer {type(request).__name__}',
            ResultCode.MALFORMED,
        )

    async def _read_tables(self) -> TablesRead:
        await self._wait(self._replica.read)
        state = self._replica.machine.state
        update = self._replica.machine.tables.as_update()
        return TablesRead(state.config_revision, update)

    async def _change(self, request: ChangeRequest) -> ChangeAnswer:
        _check_size(request)

        def start(done: OutcomeCallback) -> None:
            self._replica.propose(request, done)

        return await self._wait(start)

    async def _wait(
        self, start: Callable[[OutcomeCallback], None]
    ) -> CommandResult:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[CommandResult] = loop.create_future()
        start(_resolver(future))
        try:
            async with asyncio.timeout(self._timeout):
                return await future
        except TimeoutError:
            raise CallFailedError(
                'no majority of the control instances has answered within '
                f'{self._timeout} s; a change may still be accepted: send it '
                'again with the same request id',
                ResultCode.NO_QUORUM,
            ) from None

    def _dump(self) -> str:
        consensus = self._replica.consensus
        state = self._replica.machine.state
        tables = self._replica.machine.tables.as_update()
        return json.dumps(
            {
                'role': 'control',
                'host': self._host,
                'zone': self._zone,
                'consensus': {
                    'role': consensus.role_name,
                    'term': consensus.term,
                    'leader': consensus.leader,
                    'accepted_index': consensus.commit,
                    'last_index': consensus.log.last_index,
                    'snapshot_index': consensus.log.snapshot_index,
                    'group': [
                        attrs.asdict(voter) for voter in consensus.log.group
                    ],
                },
                'config_revision': state.config_revision,
                'tables': attrs.asdict(tables),
            },
        )


def _resolver(future: asyncio.Future[CommandResult]) -> OutcomeCallback:
    def done(outcome: CommandResult | RedwingstreamError) -> None:
        if future.done():
            return
        if isinstance(outcome, RedwingstreamError):
            future.set_exception(outcome)
        else:
            future.set_result(outcome)

    return done


def _check_size(request: ChangeRequest) -> None:
    size = len(messages.encode(request)[1])
    if size > MAX_CHANGE_BYTES:
        raise ChangeRefusedError(
            f'the change has {size} bytes, {MAX_CHANGE_BYTES} are allowed; '
            'send it in several changes',
            ResultCode.BAD_ROW,
        )
    if not 0 < len(request.request_id) <= MAX_REQUEST_ID:
        raise ChangeRefusedError(
            f'the request id has {len(request.request_id)} characters; '
            f'1 to {MAX_REQUEST_ID} are allowed',
            ResultCode.BAD_ROW,
        )
