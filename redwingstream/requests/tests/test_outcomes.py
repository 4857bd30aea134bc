"""Packets that tell callers an outcome, and the checksum of requests."""

import pytest
from aiocoap.message import Message

from redwingstream.errors import ResultCode, WireError
from redwingstream.requests.begin_results import (
    Answered,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
    WasNotRun,
)
from redwingstream.requests.checksum import CHECKSUM_SIZE, request_checksum
from redwingstream.requests.filters import RequestFilters
from redwingstream.requests.outcomes import (
    NotRun,
    Unknown,
    outcome_packet,
    reply_packet,
)
from redwingstream.wire import coap


def request(
    path=('readings',), payload=b'12 cm', message_id=7, mtype=coap.CON
) -> Message:
    message = Message(code=coap.POST, payload=payload, uri_path=path)
    message.mtype = mtype
    message.mid = message_id
    message.token = b'\x01'
    return coap.decode(coap.encode(message))


class TestChecksum:
    def test_checksum_of_a_replay_is_equal(self):
        checksum = request_checksum(request())
        assert len(checksum) == CHECKSUM_SIZE
        assert checksum == request_checksum(request(message_id=8))

    def test_checksum_of_another_request_differs(self):
        checksums = {
            request_checksum(request(path, payload))
            for path in (('a', 'b'), ('ab',), ('b', 'a'), ('a', 'b', ''))
            for payload in (b'', b'x')
        }
        assert len(checksums) == 8

    def test_deadline_is_not_part_of_the_checksum(self):
        """A replay with less time left must not run as a new request.

        A caller that repeats a request states the time that is left.  If the
        deadline were part of the checksum, the replay would have another one.
        """
        early, late = request(), request()
        coap.set_deadline(early, 9)
        coap.set_deadline(late, 4)
        assert request_checksum(early) == request_checksum(late)


class TestOutcomePackets:
    def test_not_run_has_max_age_and_reason(self):
        packet = outcome_packet(
            request(), NotRun(ResultCode.OVERLOADED, retry_after=9)
        )
        answer = coap.decode(packet)
        assert answer.code == coap.SERVICE_UNAVAILABLE
        assert answer.opt.max_age == 9
        assert answer.payload == b'overloaded'
        assert answer.mid == 7

    def test_unknown_has_reason(self):
        answer = coap.decode(outcome_packet(request(), Unknown()))
        assert answer.code == coap.GATEWAY_TIMEOUT
        assert answer.payload == b'outcome_unknown'

    @pytest.mark.parametrize(
        ('result', 'code'),
        [
            (Running(), coap.EMPTY),
            (Full(3), coap.SERVICE_UNAVAILABLE),
            (WasNotRun(b''), coap.SERVICE_UNAVAILABLE),
            (OutcomeUnknown(b''), coap.GATEWAY_TIMEOUT),
        ],
    )
    def test_reply_without_a_kept_packet(self, result, code):
        answer = coap.decode(reply_packet(request(), result))
        assert answer.code == code
        assert answer.mid == 7

    @pytest.mark.parametrize('result', [Answered, WasNotRun, OutcomeUnknown])
    def test_kept_packet_is_sent_again(self, result):
        assert reply_packet(request(), result(b'kept')) == b'kept'

    def test_no_reply(self):
        assert reply_packet(request(), Fresh()) is None
        assert reply_packet(request(mtype=coap.NON), Running()) is None


class TestRequestFilters:
    def test_merge_refuses_a_filter_of_wrong_size(self):
        with pytest.raises(WireError):
            RequestFilters(247).merge(1, b'short', now=0)
