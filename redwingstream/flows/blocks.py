"""Answers that travel in several blocks (RFC 7959).

Each block is a request of its own, and all must come from one representation.
So a transfer under way stays with the server that sent its first block.
"""

from collections import OrderedDict

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


def resource_of(request: Message) -> str:
    """Return what a request asks for, whichever block of it."""
    path = '/'.join(request.opt.uri_path)
    return '?'.join((path, *request.opt.uri_query))


@attrs.frozen
class _Name:
    flow: FlowKey
    resource: str


@attrs.define
class _Transfer:
    bucket: int
    last_block: float


class BlockTransfers:
    """Flows of which this agent's server is sending an answer in blocks.

    Parameters
    ----------
    host : str
        The agent's host.
    capacity : int
        Transfers kept at most; the one longest without a block goes first.

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
        # The transfer longest without a block first.
        self._transfer_by_name: OrderedDict[_Name, _Transfer] = OrderedDict()

    def __len__(self) -> int:
        """Return how many transfers are under way."""
        return len(self._transfer_by_name)

    def record_response(
        self,
        bucket: int,
        key: FlowKey,
        request: Message,
        response: Message,
        now: float,
    ) -> None:
        """Note an answer: a transfer begins, goes on or ends."""
        flow = attrs.evolve(key, token=b'')
        name = _Name(flow, resource_of(request))
        self._transfer_by_name.pop(name, None)
        if not has_more_blocks(response):
            return
        self._transfer_by_name[name] = _Transfer(bucket, now)
        if len(self._transfer_by_name) > self._capacity:
            self._transfer_by_name.popitem(last=False)

    def placements(self, bucket: int, now: float) -> tuple[FlowRecord, ...]:
        """Return a placement for each flow of a bucket with a transfer."""
        flows = {
            name.flow: None
            for name, transfer in self._transfer_by_name.items()
            if transfer.bucket == bucket
            and now - transfer.last_block < TRANSFER_TIMEOUT
        }
        return tuple(FlowRecord(flow, self._host) for flow in flows)

    def evict_expired(self, now: float) -> None:
        """Forget transfers that callers have given up."""
        while self._transfer_by_name:
            oldest = next(iter(self._transfer_by_name.values()))
            if now - oldest.last_block < TRANSFER_TIMEOUT:
                return
            self._transfer_by_name.popitem(last=False)
