"""Request and reply over pynng, for control and operators only.

A round trip costs hundreds of microseconds of processor time (see
``docs/design/wire.md``), so packets and the request ledger use datagrams.

An open TCP connection does not mean that the peer is reachable.  A call that
gets no answer in time closes its socket, and the next call dials again.
"""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any, TypeVar

import attrs
import pynng
from absl import logging

from redwingstream.endpoints import Endpoint
from redwingstream.errors import (
    CallFailedError,
    EndpointError,
    RedwingstreamError,
    ResultCode,
    WireError,
)
from redwingstream.wire.frames import FrameCodec
from redwingstream.wire.messages import message

MAX_CALL_SIZE = 1 << 24
"""Maximum size of a request or an answer in bytes."""

SERVING_CONTEXTS = 16
"""Maximum number of calls that a process answers at the same time."""

DEFAULT_TIMEOUT = 2.0
"""Seconds that a call waits for its answer."""

MAX_CONNECTIONS = 16
"""Number of connections above which a client closes idle ones, the least
recently used first."""

Handler = Callable[[object], Awaitable[object]]
AnswerT = TypeVar('AnswerT')
OutcomeT = TypeVar('OutcomeT')


@message(kind=1)
class Refused:
    """Answer to a call that was refused or failed.

    Parameters
    ----------
    code : int
        A :class:`~redwingstream.errors.ResultCode`.
    text : str
        What went wrong and how to proceed.
    """

    code: int
    text: str


@attrs.define(eq=False)
class _Connection:
    """A socket that dials one endpoint, and the number of calls that use it."""

    sock: pynng.Req0
    calls: int = 0


class CallClient:
    """Calls other processes over one connection for each endpoint.

    Parameters
    ----------
    codec : FrameCodec
        Seals requests and opens answers.

    Notes
    -----
    A connection to a process that is gone redials for ever.  Members restart
    at new endpoints, so only the most recently used connections are kept.
    """

    def __init__(self, codec: FrameCodec) -> None:
        self._codec = codec
        self._connection_by_endpoint: OrderedDict[Endpoint, _Connection] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connection_by_endpoint)

    async def call(
        self,
        endpoint: Endpoint,
        request: object,
        answer_class: type[AnswerT],
        timeout: float = DEFAULT_TIMEOUT,
    ) -> AnswerT:
        """Send one request and wait for its answer.

        Parameters
        ----------
        endpoint : Endpoint
            The TCP endpoint of the other process.
        request : object
            Message to send; handling it twice must be harmless.
        answer_class : type
            Message class of the expected answer.
        timeout : float
            Seconds to wait for the answer.

        Returns
        -------
        object
            The answer.

        Raises
        ------
        CallFailedError
            With the peer's code when it refused, ``TIMED_OUT`` without an
            answer, ``MALFORMED`` for an answer of another class, or the code
            of a frame that cannot be opened.
        """
        frame = self._codec.seal(request)
        try:
            async with asyncio.timeout(timeout):
                reply = await self._exchange(endpoint, frame)
        except (TimeoutError, pynng.NNGException) as error:
            self._close_connection(endpoint)
            raise CallFailedError(
                f'no answer from {endpoint} within {timeout} s',
                ResultCode.TIMED_OUT,
            ) from error
        return self._decode_answer(endpoint, reply, answer_class)

    @contextlib.contextmanager
    def opened(self) -> Iterator['CallClient']:
        """Close all connections when the context ends."""
        try:
            yield self
        finally:
            self._close_all()

    async def _exchange(self, endpoint: Endpoint, frame: bytes) -> bytes:
        with self._connected(endpoint) as sock, sock.new_context() as context:
            await keep_cancellation(context.asend(frame))
            return await keep_cancellation(context.arecv())

    @contextlib.contextmanager
    def _connected(self, endpoint: Endpoint) -> Iterator[pynng.Req0]:
        """Use the connection to an endpoint for one call; dial it if needed."""
        connection = self._connection_by_endpoint.get(endpoint)
        if connection is None:
            connection = _Connection(pynng.Req0(recv_max_size=MAX_CALL_SIZE))
            self._connection_by_endpoint[endpoint] = connection
            connection.sock.dial(f'tcp://{endpoint}', block=False)
        self._connection_by_endpoint.move_to_end(endpoint)
        connection.calls += 1
        self._close_idle()
        try:
            yield connection.sock
        finally:
            connection.calls -= 1

    def _close_idle(self) -> None:
        surplus = len(self) - MAX_CONNECTIONS
        if surplus <= 0:
            return
        idle = [
            endpoint
            for endpoint, connection in self._connection_by_endpoint.items()
            if not connection.calls
        ]
        for endpoint in idle[:surplus]:
            self._close_connection(endpoint)

    def _decode_answer(
        self, endpoint: Endpoint, reply: bytes, answer_class: type[AnswerT]
    ) -> AnswerT:
        try:
            answer = self._codec.open(reply).payload
        except WireError as error:
            raise CallFailedError(
                f'answer of {endpoint} cannot be opened: {error}', error.code
            ) from error
        if isinstance(answer, Refused):
            raise CallFailedError(answer.text, _known_code(answer.code))
        if not isinstance(answer, answer_class):
            raise CallFailedError(
                f'{endpoint} answered with {type(answer).__name__}; '
                f'expected {answer_class.__name__}',
                ResultCode.MALFORMED,
            )
        return answer

    def _close_all(self) -> None:
        for endpoint in list(self._connection_by_endpoint):
            self._close_connection(endpoint)

    def _close_connection(self, endpoint: Endpoint) -> None:
        connection = self._connection_by_endpoint.pop(endpoint, None)
        if connection is not None:
            connection.sock.close()


async def keep_cancellation(operation: Awaitable[OutcomeT]) -> OutcomeT:
    """Await an operation of pynng without losing a cancellation.

    Notes
    -----
    pynng drops a cancellation that arrives while its operation completes, and
    returns as if there had been none.  The task then continues with its next
    operation, so a process never stops, or a call waits past its timeout.
    asyncio counts the requests for cancellation of a task, so a dropped one is
    detected here and raised again.
    """
    before = _cancellations()
    try:
        outcome = await operation
    except pynng.NNGException:
        _raise_if_cancelled(before)
        raise
    _raise_if_cancelled(before)
    return outcome


@contextlib.asynccontextmanager
async def serve_calls(
    endpoint: Endpoint, codec: FrameCodec, handler: Handler
) -> AsyncIterator[None]:
    """Answer calls on a TCP endpoint while the context is open.

    Parameters
    ----------
    endpoint : Endpoint
        TCP endpoint to listen on.
    codec : FrameCodec
        Opens requests and seals answers.
    handler : callable
        Receives a request message and returns the answer message.  When it
        raises a :class:`~redwingstream.errors.RedwingstreamError`, its code and
        text are sent to the caller.

    Raises
    ------
    EndpointError
        When the endpoint cannot be bound.

    Notes
    -----
    At most ``SERVING_CONTEXTS`` calls are answered at the same time, so a flood
    of calls waits in the peers and not in the memory of this process.
    """
    with pynng.Rep0(recv_max_size=MAX_CALL_SIZE) as sock:
        _listen(sock, endpoint)
        tasks = [
            asyncio.create_task(_serve_context(sock, codec, handler))
            for _ in range(SERVING_CONTEXTS)
        ]
        async with _cancelled_on_exit(*tasks):
            yield


def _listen(sock: pynng.Rep0, endpoint: Endpoint) -> None:
    try:
        sock.listen(f'tcp://{endpoint}')
    except pynng.NNGException as error:
        raise EndpointError(
            f'TCP endpoint {endpoint} cannot be bound: {error}; end what uses '
            'it or choose another endpoint',
        ) from error


@contextlib.asynccontextmanager
async def _cancelled_on_exit(*tasks: asyncio.Task[Any]) -> AsyncIterator[None]:
    """Cancel tasks when the context ends, also when it is itself cancelled."""
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _raise_if_cancelled(before: int) -> None:
    if _cancellations() > before:
        raise asyncio.CancelledError


def _cancellations() -> int:
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


async def _serve_context(
    sock: pynng.Rep0, codec: FrameCodec, handler: Handler
) -> None:
    with sock.new_context() as context:
        while True:
            try:
                await _serve_call(context, codec, handler)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # For example, the peer has gone before it got its answer.
                logging.warning('calls: A call was not answered: %s.', error)


async def _serve_call(
    context: pynng.Context, codec: FrameCodec, handler: Handler
) -> None:
    frame = await keep_cancellation(context.arecv())
    answer = await _answer(codec, handler, frame)
    if answer is not None:
        await keep_cancellation(context.asend(answer))


async def _answer(
    codec: FrameCodec, handler: Handler, frame: bytes
) -> bytes | None:
    try:
        request = codec.open(frame).payload
    except WireError:
        # An unauthenticated caller gets no answer, so that it does not learn
        # whether its request arrived.
        return None
    try:
        return codec.seal(await handler(request))
    except RedwingstreamError as error:
        return codec.seal(Refused(int(error.code), str(error)))
    except Exception:
        # An uncaught error in a handler would end the task that serves this
        # context.  After as many errors as there are contexts, the process
        # would answer no calls.  Caught here, it fails only this call.
        logging.exception('calls: A handler raised an error.')
        text = (
            f'{type(request).__name__} met an error; see the log of the called '
            'process'
        )
        return codec.seal(Refused(ResultCode.INTERNAL, text))


def _known_code(code: int) -> ResultCode:
    """Return the result code of a number, ``INTERNAL`` for an unknown one.

    A peer of a newer release may send codes that this one does not have.
    """
    try:
        return ResultCode(code)
    except ValueError:
        return ResultCode.INTERNAL
