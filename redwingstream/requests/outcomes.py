"""Packets that tell a caller the outcome of its request."""

import attrs
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.requests.begin_results import (
    Answered,
    BeginResult,
    Full,
    OutcomeUnknown,
    Running,
    WasNotRun,
)
from redwingstream.wire import coap


@attrs.frozen
class NotRun:
    """Final outcome: the request was certainly not run.

    Parameters
    ----------
    reason : ResultCode
        Code of the reason.
    retry_after : int
        Seconds after which the caller may try again.
    """

    reason: ResultCode
    retry_after: int


@attrs.frozen
class Unknown:
    """Final outcome: the request may have run once and is not run again.

    Parameters
    ----------
    reason : ResultCode
        Code of the reason; by default that the outcome is not known.
    """

    reason: ResultCode = ResultCode.OUTCOME_UNKNOWN


Outcome = NotRun | Unknown

# For replays of requests whose refusal was not kept.
_NOT_RUN_BEFORE = NotRun(ResultCode.OVERLOADED, retry_after=1)


def outcome_packet(request: Message, outcome: Outcome) -> bytes:
    """Return the packet that tells a caller that there is no answer.

    Parameters
    ----------
    request : Message
        The caller's request.
    outcome : Outcome
        Its outcome.

    Returns
    -------
    bytes
        5.03 with Max-Age for *not run*, 5.04 for *unknown*.
    """
    match outcome:
        case NotRun(reason, retry_after):
            packet = coap.refusal(request, reason, retry_after)
        case Unknown(reason):
            packet = coap.unknown_outcome(request, reason)
    return coap.encode(packet)


def reply_packet(request: Message, result: BeginResult) -> bytes | None:
    """Return the packet for a request that is not to be run.

    Parameters
    ----------
    request : Message
        Request that has arrived.
    result : BeginResult
        Result of the ledger for it.

    Returns
    -------
    bytes or None
        None for :class:`~redwingstream.requests.begin_results.Fresh`, and for a
        request in progress that is not confirmable.
    """
    packet: bytes | None = None
    match result:
        case Running():
            packet = _in_progress(request)
        case Full(retry_after):
            full = NotRun(ResultCode.LEDGER_FULL, retry_after)
            packet = outcome_packet(request, full)
        case OutcomeUnknown(kept):
            packet = kept or outcome_packet(request, Unknown())
        case WasNotRun(kept):
            packet = kept or outcome_packet(request, _NOT_RUN_BEFORE)
        case Answered(kept):
            packet = kept
    return packet


def _in_progress(request: Message) -> bytes | None:
    """Return an empty ACK: the caller stops repeating and awaits the answer."""
    if request.mtype is not coap.CON:
        return None
    return coap.encode(coap.empty(coap.ACK, request.mid))
