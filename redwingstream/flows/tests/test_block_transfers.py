"""Tests that an answer in several blocks stays with one server."""

from aiocoap.message import Message

from redwingstream.flows.block_transfers import (
    TRANSFER_TIMEOUT,
    BlockTransfers,
    is_later_block,
)
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.tests.fakes import CALLER, KEY, SERVICE, request
from redwingstream.wire import coap

BUCKET = 4
PLACEMENT = FlowRecord(FlowKey(CALLER, SERVICE), 'a')


def block(number: int, more: bool) -> Message:
    """Build one block of an answer."""
    answer = Message(code=coap.CONTENT, payload=b'x' * 16)
    answer.opt.block2 = (number, more, 0)
    return answer


def ask(path: str) -> Message:
    """Build a request for the resource of a path."""
    asked = request()
    asked.opt.uri_path = (path,)
    return asked


class TestBlockTransfers:
    """Transfers in progress, and what the home of a bucket hands over."""

    def test_transfer_in_progress_is_handed_over_as_placement(self) -> None:
        """Guards against a transfer that fails when its bucket moves.

        The first blocks came from the home's own server.  Then the bucket gets
        another home, whose server has another representation.
        """
        transfers = BlockTransfers('a', 10)
        for report in ('spring', 'autumn'):
            transfers.record_response(
                BUCKET, KEY, ask(report), block(0, True), 1
            )
        transfers.record_response(
            BUCKET, KEY, ask('spring'), block(1, False), 2
        )
        assert transfers.placements(BUCKET, 3) == (PLACEMENT,)
        assert transfers.placements(BUCKET + 1, 3) == ()
        transfers.record_response(
            BUCKET, KEY, ask('autumn'), block(1, False), 4
        )
        assert len(transfers) == 0

    def test_capacity_and_timeout_are_enforced(self) -> None:
        transfers = BlockTransfers('a', 2)
        for number in range(3):
            asked = ask(str(number))
            transfers.record_response(
                BUCKET, KEY, asked, block(0, True), number
            )
        assert len(transfers) == 2
        assert transfers.placements(BUCKET, TRANSFER_TIMEOUT + 3) == ()
        transfers.evict_expired(TRANSFER_TIMEOUT + 1)
        assert len(transfers) == 1

    def test_recognises_later_blocks(self) -> None:
        asked = request()
        assert not is_later_block(asked)
        asked.opt.block2 = (0, False, 6)
        assert not is_later_block(asked)
        asked.opt.block2 = (2, False, 6)
        assert is_later_block(asked)
