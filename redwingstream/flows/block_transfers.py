"""Answers that are sent in several blocks (RFC 7959).

The caller requests each block separately, and all blocks must come from one
representation of the resource.  A transfer in progress therefore stays with
the server that sent its first block.
"""

from collections import OrderedDict

import attrs
from aiocoap.message import Message

from redwingstream.flows.records import FlowKey, FlowRecord

TRANSFER_TIMEOUT = 247.0
"""Seconds after its last block when a transfer counts as abandoned."""


def is_later_block(request: Message) -> bool:
    """Whether a request asks for a block after the first."""
    block = request.opt.block2
    return block is not None and block.block_number > 0


def has_more_blocks(response: Message) -> bool:
    """Whether an answer is not the last block."""
    block = response.opt.block2
    return block is not None and block.more


def requested_resource(request: Message) -> str:
    """Return path and query of a request, which all blocks have in common."""
    path = '/'.join(request.opt.uri_path)
    return '?'.join((path, *request.opt.uri_query))


@attrs.frozen
class _TransferKey:
    flow: FlowKey
    resource: str


@attrs.define
class _Transfer:
    bucket: int
    last_block_at: float


class BlockTransfers:
    """Block transfers in progress at this agent's server.

    Parameters
    ----------
    host : str
        The agent's host.
    capacity : int
        Maximum count of transfers; the one whose last block is the oldest is
        evicted first.

    Notes
    -----
    The home of a flow needs no record of a transfer that its own server
    serves.  When the bucket gets another home, later blocks would come from
    another server, which may have another representation or none: the caller
    would see a different ETag, and its transfer would fail.  The old home
    therefore hands over a placement for each transfer in progress.
    """

    def __init__(self, host: str, capacity: int) -> None:
        self._host = host
        self._capacity = capacity
        # Ordered by the time of the last block, oldest first.
        self._transfer_by_key: OrderedDict[_TransferKey, _Transfer] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of transfers in progress."""
        return len(self._transfer_by_key)

    def record_response(
        self,
        bucket: int,
        key: FlowKey,
        request: Message,
        response: Message,
        now: float,
    ) -> None:
        """Record an answer: a transfer begins, continues or ends."""
        flow = attrs.evolve(key, token=b'')
        transfer_key = _TransferKey(flow, requested_resource(request))
        self._transfer_by_key.pop(transfer_key, None)
        if not has_more_blocks(response):
            return
        self._transfer_by_key[transfer_key] = _Transfer(bucket, now)
        if len(self._transfer_by_key) > self._capacity:
            self._transfer_by_key.popitem(last=False)

    def placements(self, bucket: int, now: float) -> tuple[FlowRecord, ...]:
        """Return a placement for each flow of a bucket with a transfer."""
        flows = {
            transfer_key.flow: None
            for transfer_key, transfer in self._transfer_by_key.items()
            if transfer.bucket == bucket
            and now - transfer.last_block_at < TRANSFER_TIMEOUT
        }
        return tuple(FlowRecord(flow, self._host) for flow in flows)

    def evict_expired(self, now: float) -> None:
        """Drop transfers that callers have abandoned."""
        while self._transfer_by_key:
            oldest = next(iter(self._transfer_by_key.values()))
            if now - oldest.last_block_at < TRANSFER_TIMEOUT:
                return
            self._transfer_by_key.popitem(last=False)
