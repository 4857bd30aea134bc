"""Answers that travel in several blocks (RFC 7959).

Each block is a request of its own, and all must come from one representation.
So a transfer under way stays with the server that sent its first block.
"""

import attrs
from aiocoap.message import Message

from redwingstream.flows.records import FlowKey, FlowRecord

TRANSFER_TIMEOUT = 247.0
"""Seconds after its last block when a transfer counts as given up."""


def is_later_block(request: Message) -> bool:
    """Whether a request asks for a block after the first."""
    block = request.opt.block2
    return block is not None and block.block_number > 0


def has_more_blocks(response: Message) -> bool:
    """Whether an answer is not the last block."""
    block = response.opt.block2
    return block is not None and block.more


@attrs.define
class _Transfer:
    bucket: int
    last_block: float


class Transfers:
    """Flows of which this agent's server is sending an answer in blocks.

    Parameters
    ----------
    host : str
        The agent's host.
    capacity : int
        Flows kept at most; the one longest without a block goes first.

    Notes
    -----
    The home of a flow needs no record of a transfer while its own server
    carries it.  When the bucket gets another home, the transfer would go on at
    another server, which may have another representation or none: the caller
    would see its answer break off at a wrong ETag.  So the old home hands over
    a placement for each transfer under way.
    """

    def __init__(self, host: str, capacity: int) -> None:
        self._host = host
        self._capacity = capacity
        # The flow longest without a block first.
        self._transfer_by_key: dict[FlowKey, _Transfer] = {}

    def __len__(self) -> int:
        """Return how many flows have a transfer under way."""
        return len(self._transfer_by_key)

    def note(
        self, bucket: int, key: FlowKey, response: Message, now: float
    ) -> None:
        """Note an answer: a transfer begins, goes on or ends.

        Notes
        -----
        One caller may have several transfers under way.  A flow counts until
        the last block of the latest one, or until it times out.
        """
        flow = attrs.evolve(key, token=b'')
        self._transfer_by_key.pop(flow, None)
        if not has_more_blocks(response):
            return
        self._transfer_by_key[flow] = _Transfer(bucket, now)
        if len(self._transfer_by_key) > self._capacity:
            self._transfer_by_key.pop(next(iter(self._transfer_by_key)))

    def placements(self, bucket: int, now: float) -> tuple[FlowRecord, ...]:
        """Return a placement for each transfer of a bucket under way."""
        return tuple(
            FlowRecord(key, self._host)
            for key, transfer in self._transfer_by_key.items()
            if transfer.bucket == bucket
            and now - transfer.last_block < TRANSFER_TIMEOUT
        )

    def expire(self, now: float) -> None:
        """Forget transfers that callers have given up."""
        for key, transfer in tuple(self._transfer_by_key.items()):
            if now - transfer.last_block < TRANSFER_TIMEOUT:
                return
            self._transfer_by_key.pop(key)
