"""The steps of the protocol at which the fault matrix injects its faults."""

from collections.abc import Callable

import attrs

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_server import ServerPacket
from redwingstream.forwarding.messages import (
    Answer,
    Assigned,
    FeedMove,
    FeedMoved,
    Packet,
    RunOutcome,
    TakeFeed,
)
from redwingstream.placement.messages import (
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.wire import coap

BODY = b'bay 7'
_ANSWER = b'done:bay 7'


@attrs.frozen
class Step:
    """A step of the protocol.

    Parameters
    ----------
    name : str
        Its row in the table.
    scenario : str
        Scenario of the fault matrix in which the step occurs.
    matches : callable
        Whether a frame belongs to this step.
    """

    name: str
    scenario: str
    matches: Callable[[Frame], bool]


def _request_code(payload: bytes) -> object:
    return coap.decode(payload).code


def _is_post(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, Packet) and (
        _request_code(payload.payload) is coap.POST
    )


def _is_registration(frame: Frame) -> bool:
    payload = frame.payload
    if not isinstance(payload, Packet):
        return False
    return coap.decode(payload.payload).opt.observe == coap.OBSERVE_REGISTER


def _is_record(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, Record) and any(
        entry.state == 'started' for entry in payload.contents.entries
    )


def _is_handing_over(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, ServerPacket) and (
        _request_code(payload.payload) is coap.POST
    )


def _is_servers_answer(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, ServerPacket) and (
        coap.decode(payload.payload).payload == _ANSWER
    )


def _is_answer(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, Answer) and (
        coap.decode(payload.payload).payload == _ANSWER
    )


def _is_opening(frame: Frame) -> bool:
    payload = frame.payload
    if not isinstance(payload, ServerPacket):
        return False
    return coap.decode(payload.payload).opt.observe == coap.OBSERVE_REGISTER


def _is_notification(frame: Frame) -> bool:
    payload = frame.payload
    if not isinstance(payload, Answer):
        return False
    return coap.decode(payload.payload).opt.observe is not None


def _is_callers_ack(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, Packet) and (
        coap.decode(payload.payload).mtype is coap.ACK
    )


def _is_assignment(frame: Frame) -> bool:
    payload = frame.payload
    return isinstance(payload, Assigned) and payload.wants_outcome


def _is_kind(payload_class: type) -> Callable[[Frame], bool]:
    return lambda frame: isinstance(frame.payload, payload_class)


STEPS = (
    Step('packet to home', 'request', _is_post),
    Step('record to heir', 'request', _is_record),
    Step('record ack', 'request', _is_kind(RecordAck)),
    Step('hand to server', 'request', _is_handing_over),
    Step("server's answer", 'request', _is_servers_answer),
    Step('answer to caller', 'request', _is_answer),
    Step('assignment', 'assigned', _is_assignment),
    Step('outcome to home', 'assigned', _is_kind(RunOutcome)),
    Step('take bucket', 'join', _is_kind(TakeBucket)),
    Step('bucket given', 'join', _is_kind(BucketGiven)),
    Step('feed registration', 'registration', _is_registration),
    Step('feed opening', 'registration', _is_opening),
    Step('notification', 'feed', _is_notification),
    Step("caller's ack", 'feed', _is_callers_ack),
    Step('feed move', 'leave', _is_kind(FeedMove)),
    Step('take feed', 'leave', _is_kind(TakeFeed)),
    Step('feed moved', 'leave', _is_kind(FeedMoved)),
)
