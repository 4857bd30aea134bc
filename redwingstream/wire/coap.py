"""CoAP messages (RFC 7252, 7641, 7959), as far as this project needs them.

``aiocoap.message.Message`` serves as a codec only: its endpoints, observation
handling and proxying stay unused.
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

# Elective and safe to forward (RFC 7252, section 5.4.6), from the range for
# experiments: how many milliseconds the caller will still wait.
DEADLINE_OPTION = OptionNumber(65000)  # noqa: WPS432 - named right here
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
    """Read a CoAP message.

    Raises
    ------
    WireError
        When the bytes are no CoAP message.
    """
    try:
        return Message.decode(packet)
    except _DECODE_ERRORS as error:
        raise WireError(f'CoAP message is malformed: {error}') from error


def encode(packet: Message) -> bytes:
    """Return the bytes of a CoAP message, also of one that was decoded."""
    packet.direction = Direction.OUTGOING
    return packet.encode()


def is_request(packet: Message) -> bool:
    """Whether the message asks for something."""
    return packet.code.is_request()


def is_idempotent(packet: Message) -> bool:
    """Whether running the request twice is the same as running it once."""
    return packet.code in _IDEMPOTENT_METHODS


def deadline_of(packet: Message) -> float | None:
    """Return how many seconds the caller will still wait, if it said so.

    A deadline of more than ``DEADLINE_BYTES`` bytes counts as none.
    """
    options = packet.opt.get_option(DEADLINE_OPTION)
    if not options or len(options[0].value) > DEADLINE_BYTES:
        # A number of any length is well-formed CoAP; divided, one of some
        # hundred bytes raises OverflowError.
        return None
    return int.from_bytes(options[0].value, 'big') / _MS_PER_SECOND


def set_deadline(packet: Message, seconds: float) -> None:
    """Say in the message how long its sender will wait."""
    milliseconds = max(0, int(seconds * _MS_PER_SECOND))
    encoded = milliseconds.to_bytes(DEADLINE_BYTES, 'big')
    packet.opt.delete_option(DEADLINE_OPTION)
    packet.opt.add_option(OpaqueOption(DEADLINE_OPTION, encoded))


def reply_to(
    request: Message, code: aiocoap.Code, payload: bytes = b''
) -> Message:
    """Return a response with the request's token.

    A confirmable request gets a piggybacked response (its message id in an
    ACK); any other one a NON under the same message id.
    """
    response = Message(code=code, payload=payload)
    response.token = request.token
    response.mtype = ACK if request.mtype is CON else NON
    response.mid = request.mid
    return response


def refusal(request: Message, reason: ResultCode, come_back: int) -> Message:
    """Return the final answer *not run*: 5.03 with when to come back.

    Parameters
    ----------
    request : Message
        The request given up; it was surely not run.
    reason : ResultCode
        Why; its name stands in the payload.
    come_back : int
        Seconds, in the Max-Age option.
    """
    response = reply_to(
        request, SERVICE_UNAVAILABLE, reason.name.lower().encode()
    )
    response.opt.max_age = come_back
    return response


def unknown_outcome(request: Message, reason: ResultCode) -> Message:
    """Return the final answer *unknown*: 5.04, it may have run once."""
    return reply_to(request, GATEWAY_TIMEOUT, reason.name.lower().encode())


def empty(mtype: aiocoap.Type, message_id: int) -> Message:
    """Return an empty message: an ACK, an RST, or a ping when confirmable."""
    packet = Message(code=EMPTY)
    packet.mtype = mtype
    packet.mid = message_id
    return packet
