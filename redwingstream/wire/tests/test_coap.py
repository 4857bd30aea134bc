"""Tests of the CoAP messages of callers, agents and servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingstream.errors import ResultCode, WireError
from redwingstream.wire import coap

GET_HEADER = b'\x42\x01\x00\x07ab'


def request_of(code: coap.aiocoap.Code = coap.POST) -> coap.Message:
    """Return a confirmable request."""
    request = coap.Message(code=code, uri_path=('readings',), payload=b'31')
    request.mtype = coap.CON
    request.mid = 7
    request.token = b'ab'
    return request


class TestCodec:
    """Messages are encoded and decoded; other bytes are refused."""

    def test_returns_what_was_encoded(self) -> None:
        packet = coap.encode(request_of())
        assert coap.encode(coap.decode(packet)) == packet

    @given(st.binary(max_size=64))
    def test_any_bytes_are_read_or_refused(self, packet: bytes) -> None:
        try:
            message = coap.decode(packet)
        except WireError:
            return
        coap.encode(message)

    @given(st.binary(max_size=32))
    def test_any_options_are_read_or_refused(self, options: bytes) -> None:
        try:
            message = coap.decode(b''.join((GET_HEADER, options)))
        except WireError:
            return
        coap.encode(message)
        assert coap.is_idempotent(message)


class TestAnswers:
    """Final answers and deadlines."""

    def test_not_run_says_when_to_try_again(self) -> None:
        refusal = coap.refusal(request_of(), ResultCode.OVERLOADED, 3)
        read = coap.decode(coap.encode(refusal))
        assert read.code == coap.SERVICE_UNAVAILABLE
        assert read.opt.max_age == 3
        assert (read.mid, read.token, read.mtype) == (7, b'ab', coap.ACK)

    def test_unknown_outcome_is_a_gateway_timeout(self) -> None:
        answer = coap.unknown_outcome(request_of(), ResultCode.OUTCOME_UNKNOWN)
        assert answer.code == coap.GATEWAY_TIMEOUT

    def test_deadline_is_encoded_and_decoded(self) -> None:
        request = request_of()
        coap.set_deadline(request, 9)
        coap.set_deadline(request, 2.5)
        read = coap.decode(coap.encode(request))
        assert coap.deadline_of(read) == pytest.approx(2.5)

    @pytest.mark.parametrize(
        ('code', 'idempotent'),
        [(coap.GET, True), (coap.POST, False), (coap.aiocoap.PUT, True)],
    )
    def test_knows_idempotent_methods(
        self, code: coap.aiocoap.Code, *, idempotent: bool
    ) -> None:
        assert coap.is_idempotent(request_of(code)) is idempotent
