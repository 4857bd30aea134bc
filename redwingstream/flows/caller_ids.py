"""Message ids of a carrier towards each caller."""

import random
from collections import OrderedDict

import attrs
import xxhash

from redwingstream.flows.message_ids import EXCHANGE_LIFETIME, MessageIds
from redwingstream.wire import coap

ID_RANGES = 32
"""Into how many ranges carriers divide the message ids."""

IDS_PER_RANGE = coap.MESSAGE_ID_LIMIT // ID_RANGES

Ends = tuple[str, str]
"""``IP:PORT`` of the caller and of the service."""


@attrs.define
class _UsedIds:
    """Message ids towards one pair of ends, and when one was last taken."""

    message_ids: MessageIds
    last_used: float


class CallerIds:
    """Message ids from one range, in turn for each pair of ends.

    Parameters
    ----------
    host : str
        Decides the range.
    rng : random.Random
        Gives first message ids.

    Notes
    -----
    A caller drops a confirmable message as a duplicate when its id was used
    from the same address before.  Several carriers speak to one caller from
    one service address, so each takes ids from a range chosen by its host.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self._rng = rng
        place = xxhash.xxh32_intdigest(host.encode()) % ID_RANGES
        self._first = place * IDS_PER_RANGE
        # Those used last stand last.
        self._used_by_ends: OrderedDict[Ends, _UsedIds] = OrderedDict()

    def take(self, ends: Ends, now: float) -> int | None:
        """Return a message id, or None while all may still be in use."""
        used = self._used_by_ends.pop(ends, None)
        if used is None:
            start = self._rng.randrange(IDS_PER_RANGE)
            fresh = MessageIds(start, self._first, IDS_PER_RANGE)
            used = _UsedIds(fresh, now)
        used.last_used = now
        self._used_by_ends[ends] = used
        return used.message_ids.take(now)

    def forget_idle(self, now: float) -> None:
        """Forget callers that were sent nothing for long enough."""
        while self._used_by_ends:
            oldest = next(iter(self._used_by_ends.values()))
            if now - oldest.last_used <= EXCHANGE_LIFETIME:
                return
            self._used_by_ends.popitem(last=False)
