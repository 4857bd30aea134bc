"""What callers are told, and what makes two requests the same."""

import pytest
from aiocoap.message import Message

from redwingstream.errors import ResultCode, WireError
from redwingstream.requests.begun import (
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
    asked = Message(code=coap.POST, payload=payload, uri_path=path)
    asked.mtype = mtype
    asked.mid = message_id
    asked.token = b'\x01'
    return coap.decode(coap.encode(asked))


class TestChecksum:
    def test_of_a_replay_is_the_same(self):
        checksum = request_checksum(request())
        assert len(checksum) == CHECKSUM_SIZE
        assert checksum == request_checksum(request(message_id=8))

    def test_of_another_request_differs(self):
        checksums = {
            request_checksum(request(path, payload))
            for path in (('a', 'b'), ('ab',), ('b', 'a'), ('a', 'b', ''))
            for payload in (b'', b'x')
        }
        assert len(checksums) == 8

    def test_deadline_is_not_part_of_the_request(self):
        """A reading is stored twice by a caller that counts its time down.

        It repeats the same request with less time left in it.  Cause: the
        replay's checksum differs, so it passes for a new request.
        """
        early, late = request(), request()
        coap.set_deadline(early, 9)
        coap.set_deadline(late, 4)
        assert request_checksum(early) == request_checksum(late)


class TestTold:
    def test_not_run(self):
        packet = outcome_packet(
            request(), NotRun(ResultCode.OVERLOADED, come_back=9)
        )
        answer = coap.decode(packet)
        assert answer.code == coap.SERVICE_UNAVAILABLE
        assert answer.opt.max_age == 9
        assert answer.payload == b'overloaded'
        assert answer.mid == 7

    def test_unknown(self):
        answer = coap.decode(outcome_packet(request(), Unknown()))
        assert answer.code == coap.GATEWAY_TIMEOUT
        assert answer.payload == b'outcome_unknown'

    @pytest.mark.parametrize(
        ('begun', 'code'),
        [
            (Running(), coap.EMPTY),
            (Full(3), coap.SERVICE_UNAVAILABLE),
            (WasNotRun(b''), coap.SERVICE_UNAVAILABLE),
            (OutcomeUnknown(b''), coap.GATEWAY_TIMEOUT),
        ],
    )
    def test_again_without_a_kept_packet(self, begun, code):
        answer = coap.decode(reply_packet(request(), begun))
        assert answer.code == code
        assert answer.mid == 7

    @pytest.mark.parametrize('begun', [Answered, WasNotRun, OutcomeUnknown])
    def test_again_as_before(self, begun):
        assert reply_packet(request(), begun(b'kept')) == b'kept'

    def test_nothing_to_tell(self):
        assert reply_packet(request(), Fresh()) is None
        assert reply_packet(request(mtype=coap.NON), Running()) is None


class TestRequestFilters:
    def test_malformed_export_is_refused(self):
        with pytest.raises(WireError):
            RequestFilters(247).merge(1, b'short', now=0)
