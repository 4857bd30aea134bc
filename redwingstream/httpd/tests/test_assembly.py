"""Requests built from valid, split and damaged input."""

import random

import pytest

from redwingstream.httpd.assembly import (
    MalformedError,
    RequestAssembler,
    TooLargeError,
)
from redwingstream.httpd.messages import Request

INPUT_COUNT = 100_000
VALID_REQUEST = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\n\r\n{"version":1}'
)


class TestAnyInput:
    """Requests with random bytes changed, and requests in two parts."""

    def test_mutated_bytes_are_parsed_or_rejected(self) -> None:
        generator = random.Random(6)
        requests: list[Request] = []
        rejected = 0
        for _ in range(INPUT_COUNT):
            mutated = bytearray(VALID_REQUEST)
            for _ in range(generator.randrange(3)):
                mutated[generator.randrange(len(mutated))] = (
                    generator.randrange(256)
                )
            try:
                RequestAssembler(requests.append).feed(bytes(mutated))
            except (MalformedError, TooLargeError):
                rejected += 1
        assert rejected > 0
        assert len(requests) > INPUT_COUNT / 4

    @pytest.mark.parametrize('cut', range(1, len(VALID_REQUEST)))
    def test_request_split_at_any_byte(self, cut) -> None:
        requests: list[Request] = []
        assembler = RequestAssembler(requests.append)
        assembler.feed(VALID_REQUEST[:cut])
        assert not requests
        assembler.feed(VALID_REQUEST[cut:])
        assert requests == [Request('POST', '/x', b'{"version":1}')]
