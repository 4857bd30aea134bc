"""A caller's request from its arrival to its outcome."""

import attrs
from aiocoap.message import Message

from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.requests.slots import Identity
from redwingstream.wire import coap

MAX_REQUEST_SECONDS = 20.0
"""Maximum seconds until the answer to a request, also when the caller sets no
deadline or a later one."""


@attrs.frozen(eq=False)
class Run:
    """A request that runs, or is about to run, on a server.

    Parameters
    ----------
    packet : Packet
        As the balancer sent it.
    request : Message
        The caller's request in it.
    bucket : int
        Bucket of the flow.
    deadline : float
        When the caller stops waiting for the answer, in seconds by the event
        loop's clock.
    checksum : bytes
        Checksum of a non-idempotent request; empty for any other.
    home : str
        ``IP:PORT`` of the home that assigned the request and awaits its
        outcome; empty when this agent answers the caller itself.
    """

    packet: Packet
    request: Message
    bucket: int
    deadline: float
    checksum: bytes = b''
    home: str = ''

    @property
    def key(self) -> RequestKey:
        """Key of the request in a ledger."""
        return request_key(self.packet, self.request)

    @property
    def identity(self) -> Identity:
        """Key and checksum.

        The checksum tells the request from an earlier one whose message id
        and token the caller has reused.
        """
        return (self.key, self.checksum)


@attrs.frozen(eq=False)
class RunEnd:
    """How a run ended.

    Parameters
    ----------
    run : Run
        The request.
    state : RequestState
        ``ANSWERED``, ``NOT_RUN`` or ``UNKNOWN``.
    answer : bytes
        The encoded CoAP message for the caller.
    """

    run: Run
    state: RequestState
    answer: bytes

    def as_outcome(self) -> RunOutcome:
        """Return the message that reports this end to the home."""
        run = self.run
        return RunOutcome(run.key, self.state, self.answer, run.checksum)


def request_key(packet: Packet, request: Message) -> RequestKey:
    """Return the key of a request in a ledger."""
    return RequestKey(packet.caller, packet.service, request.mid, request.token)


def request_deadline(request: Message, now: float) -> float:
    """Return when the caller of a request stops waiting for the answer.

    In seconds by the event loop's clock; never later than
    :data:`MAX_REQUEST_SECONDS` from now.
    """
    remaining = coap.deadline_of(request)
    if remaining is None:
        return now + MAX_REQUEST_SECONDS
    return now + min(remaining, MAX_REQUEST_SECONDS)


def readdress_response(request: Message, response: Message) -> bytes:
    """Encode a server's response with token and message id of the request."""
    reply = coap.reply_to(request, response.code)
    readdressed = response.copy(
        token=request.token, mid=reply.mid, mtype=reply.mtype
    )
    return coap.encode(readdressed)
