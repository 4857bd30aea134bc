"""A caller's request while a server is, or may be, running it."""

import attrs
from aiocoap.message import Message

from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.requests.slots import Identity
from redwingstream.wire import coap

DEFAULT_DEADLINE = 20.0
"""Seconds that a request may take whose caller names no deadline."""


@attrs.frozen(eq=False)
class Run:
    """A request on its way to an outcome.

    Parameters
    ----------
    packet : Packet
        As the balancer sent it.
    request : Message
        The caller's request in it.
    bucket : int
        Bucket of the flow.
    deadline : float
        When its answer is of no use any more, in seconds of the loop's clock.
    checksum : bytes
        Of a non-idempotent request; empty for any other.
    home : str
        ``IP:PORT`` of the home that waits for the outcome; empty when this
        agent answers the caller itself.
    """

    packet: Packet
    request: Message
    bucket: int
    deadline: float
    checksum: bytes = b''
    home: str = ''

    @property
    def key(self) -> RequestKey:
        """What names the request in a ledger."""
        return request_key(self.packet, self.request)

    @property
    def identity(self) -> Identity:
        """What names it when its key was used for another one before."""
        return (self.key, self.checksum)


@attrs.frozen(eq=False)
class RunEnd:
    """How a run ended.

    Parameters
    ----------
    run : Run
        Which.
    state : RequestState
        ``ANSWERED``, ``NOT_RUN`` or ``UNKNOWN``.
    answer : bytes
        The packet for the caller.
    """

    run: Run
    state: RequestState
    answer: bytes

    def as_outcome(self) -> RunOutcome:
        """Return it as it travels."""
        run = self.run
        return RunOutcome(run.key, self.state, self.answer, run.checksum)


def request_key(packet: Packet, request: Message) -> RequestKey:
    """Return what names a request."""
    return RequestKey(packet.caller, packet.service, request.mid, request.token)


def deadline_of(request: Message, now: float) -> float:
    """Return when the answer to a request is of no use any more."""
    remaining = coap.deadline_of(request)
    if remaining is None:
        return now + DEFAULT_DEADLINE
    return now + min(remaining, DEFAULT_DEADLINE)


def answer_with(request: Message, response: Message) -> bytes:
    """Return a server's response as the caller's request expects it."""
    reply = coap.reply_to(request, response.code)
    readdressed = response.copy(
        token=request.token, mid=reply.mid, mtype=reply.mtype
    )
    return coap.encode(readdressed)
