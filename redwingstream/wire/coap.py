"""The parts of CoAP (RFC 7252, 7641, 7959) that this project needs.

Only the message codec of aiocoap is used, not its endpoints, observation
handling or proxying.
"""

import aiocoap
from aiocoap import error as coap_errors
from aiocoap.message import Direction, Message
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import OpaqueOption

from redwingstream.errors import ResultCode, WireError

CON = aiocoap.CON
NON = aiocoap.NON
ACK = aiocoap.ACK
RST = aiocoap.RST

GET = aiocoap.GET
POST = aiocoap.POST
EMPTY = aiocoap.EMPTY
CONTENT = aiocoap.CONTENT
CHANGED = aiocoap.CHANGED
SERVICE_UNAVAILABLE = aiocoap.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = aiocoap.GATEWAY_TIMEOUT

MESSAGE_ID_LIMIT = 65536
OBSERVE_REGISTER = 0
OBSERVE_CANCEL = 1
OBSERVE_LIMIT = 1 << 24

# Option with the milliseconds that the caller will still wait.  Its number is
# from the range for experiments, elective and safe to forward (RFC 7252,
# section 5.4.6).
DEADLINE_OPTION = OptionNumber(65000)  # noqa: WPS432 - named by the constant
DEADLINE_BYTES = 4
_MS_PER_SECOND = 1000

_DECODE_ERRORS = (
    coap_errors.Error,
    ValueError,
    IndexError,
    OverflowError,
)

_SAFE_METHODS = frozenset((aiocoap.GET, aiocoap.FETCH))
_IDEMPOTENT_METHODS = _SAFE_METHODS | {
    aiocoap.PUT,
    aiocoap.DELETE,
    aiocoap.iPATCH,
}


def decode(packet: bytes) -> Message:
    """Decode a CoAP message.

    Raises
    ------
    WireError
        When the bytes are not a CoAP message.
    """
    try:
        return Message.decode(packet)
    except _DECODE_ERRORS as error:
        raise WireError(f'CoAP message is malformed: {error}') from error


def encode(packet: Message) -> bytes:
    """Return the bytes of a CoAP message; a decoded one is also accepted."""
    packet.direction = Direction.OUTGOING
    return packet.encode()


def is_request(packet: Message) -> bool:
    """Return whether the message is a request."""
    return packet.code.is_request()


def is_idempotent(packet: Message) -> bool:
    """Return whether running the request twice has the effect of one run."""
    return packet.code in _IDEMPOTENT_METHODS


def deadline_of(packet: Message) -> float | None:
    """Return the seconds that the caller will still wait; None if not given.

    A deadline of more than ``DEADLINE_BYTES`` bytes counts as not given.
    """
    options = packet.opt.get_option(DEADLINE_OPTION)
    if not options or len(options[0].value) > DEADLINE_BYTES:
        # CoAP allows a number of any length; dividing one of some hundred
        # bytes raises OverflowError.
        return None
    return int.from_bytes(options[0].value, 'big') / _MS_PER_SECOND


def set_deadline(packet: Message, seconds: float) -> None:
    """Set the deadline option: the seconds that the sender will still wait."""
    milliseconds = max(0, int(seconds * _MS_PER_SECOND))
    encoded = milliseconds.to_bytes(DEADLINE_BYTES, 'big')
    packet.opt.delete_option(DEADLINE_OPTION)
    packet.opt.add_option(OpaqueOption(DEADLINE_OPTION, encoded))


def reply_to(
    request: Message, code: aiocoap.Code, payload: bytes = b''
) -> Message:
    """Return a response with the request's token.

    A confirmable request gets a piggybacked response (an ACK with its message
    id); any other request gets a NON with the same message id.
    """
    response = Message(code=code, payload=payload)
    response.token = request.token
    response.mtype = ACK if request.mtype is CON else NON
    response.mid = request.mid
    return response


def refusal(request: Message, reason: ResultCode, retry_after: int) -> Message:
    """Return the final answer *not run*: 5.03 with a time to try again.

    Parameters
    ----------
    request : Message
        The request; it must certainly not have run.
    reason : ResultCode
        Why it was not run; the payload holds its name in lower case.
    retry_after : int
        Seconds after which to try again, sent in the Max-Age option.
    """
    response = reply_to(
        request, SERVICE_UNAVAILABLE, reason.name.lower().encode()
    )
    response.opt.max_age = retry_after
    return response


def unknown_outcome(request: Message, reason: ResultCode) -> Message:
    """Return the final answer *unknown*: 5.04; it may have run once."""
    return reply_to(request, GATEWAY_TIMEOUT, reason.name.lower().encode())


def empty(mtype: aiocoap.Type, message_id: int) -> Message:
    """Return an empty message: an ACK, an RST, or a ping when confirmable."""
    packet = Message(code=EMPTY)
    packet.mtype = mtype
    packet.mid = message_id
    return packet
