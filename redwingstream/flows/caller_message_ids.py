"""Message ids of the packets that a carrier sends to each caller."""

import random
from collections import OrderedDict

import attrs
import xxhash

from redwingstream.flows.message_ids import EXCHANGE_LIFETIME, MessageIds
from redwingstream.wire import coap

ID_RANGES = 32
"""Number of ranges into which the message ids are divided."""

IDS_PER_RANGE = coap.MESSAGE_ID_LIMIT // ID_RANGES

Ends = tuple[str, str]
"""Endpoints of a flow: ``IP:PORT`` of the caller and of the service."""


@attrs.define
class _UsedIds:
    """Message ids for one pair of endpoints, and when one was last used."""

    message_ids: MessageIds
    last_used_at: float


class CallerMessageIds:
    """Allocates message ids from one range for each pair of endpoints.

    Parameters
    ----------
    host : str
        Host of the carrier, which determines the range.
    rng : random.Random
        Random generator for the first message id of each pair.

    Notes
    -----
    A caller drops a confirmable message as a duplicate if the same address
    used its id before.  Several carriers send to one caller from one service
    address, so each allocates ids from a range that its host determines.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self._rng = rng
        index = xxhash.xxh32_intdigest(host.encode()) % ID_RANGES
        self._first = index * IDS_PER_RANGE
        # Least recently used first.
        self._used_by_ends: OrderedDict[Ends, _UsedIds] = OrderedDict()

    def allocate(self, ends: Ends, now: float) -> int | None:
        """Return a message id, or None if the next ids may still be in use."""
        used = self._used_by_ends.pop(ends, None)
        if used is None:
            start = self._rng.randrange(IDS_PER_RANGE)
            allocated = MessageIds(start, self._first, IDS_PER_RANGE)
            used = _UsedIds(allocated, now)
        used.last_used_at = now
        self._used_by_ends[ends] = used
        return used.message_ids.allocate(now)

    def evict_expired(self, now: float) -> None:
        """Drop pairs that were sent nothing for ``EXCHANGE_LIFETIME``."""
        while self._used_by_ends:
            oldest = next(iter(self._used_by_ends.values()))
            if now - oldest.last_used_at <= EXCHANGE_LIFETIME:
                return
            self._used_by_ends.popitem(last=False)
