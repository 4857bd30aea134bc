"""How a caller is told what became of its request."""

import attrs
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.requests.begun import (
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
    """Final: surely not run.

    Parameters
    ----------
    reason : ResultCode
        Why.
    come_back : int
        Seconds after which a new attempt is welcome.
    """

    reason: ResultCode
    come_back: int


@attrs.frozen
class Unknown:
    """Final: it may have run once and will not be run again.

    Parameters
    ----------
    reason : ResultCode
        What is known, by default only that the outcome is not.
    """

    reason: ResultCode = ResultCode.OUTCOME_UNKNOWN


Outcome = NotRun | Unknown

# For a replay of a request whose refusal was not kept.
_NOT_RUN_BEFORE = NotRun(ResultCode.OVERLOADED, come_back=1)


def outcome_packet(request: Message, outcome: Outcome) -> bytes:
    """Return the packet that tells a caller an outcome without an answer.

    Parameters
    ----------
    request : Message
        The caller's request.
    outcome : Outcome
        What became of it.

    Returns
    -------
    bytes
        5.03 with Max-Age for *not run*, 5.04 for *unknown*.
    """
    match outcome:
        case NotRun(reason, come_back):
            packet = coap.refusal(request, reason, come_back)
        case Unknown(reason):
            packet = coap.unknown_outcome(request, reason)
    return coap.encode(packet)


def reply_packet(request: Message, begun: BeginResult) -> bytes | None:
    """Return what a caller gets for a request that is not to be run.

    Parameters
    ----------
    request : Message
        What has arrived.
    begun : Begun
        What the ledger says of it.

    Returns
    -------
    bytes or None
        None for :class:`~redwingstream.requests.ledger.Fresh`, and for a
        request in progress that is not confirmable.
    """
    packet: bytes | None = None
    match begun:
        case Running():
            packet = _in_progress(request)
        case Full(come_back):
            full = NotRun(ResultCode.LEDGER_FULL, come_back)
            packet = outcome_packet(request, full)
        case OutcomeUnknown(kept):
            packet = kept or outcome_packet(request, Unknown())
        case WasNotRun(kept):
            packet = kept or outcome_packet(request, _NOT_RUN_BEFORE)
        case Answered(kept):
            packet = kept
    return packet


def _in_progress(request: Message) -> bytes | None:
    """Return an empty ACK: the answer comes separately, stop repeating."""
    if request.mtype is not coap.CON:
        return None
    return coap.encode(coap.empty(coap.ACK, request.mid))
