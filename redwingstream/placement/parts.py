"""Contents of a bucket cut into parts that fit a frame."""

from collections import deque
from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.flows.records import FlowRecord
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.records import LedgerEntry, RequestState

# A frame takes 60000 bytes; the rest of the message needs a few hundred.
PART_BYTES = 48000
# Half a part, so that a full load of new records leaves room for handing over
# the old ones, and an item never fills more than one part.
RECORD_BYTES = 24000

Item = LedgerEntry | FlowRecord

_encoder = msgspec.msgpack.Encoder()


def size_of(payload: object) -> int:
    """Return the bytes that an item or contents take in a frame."""
    return len(_encoder.encode(payload))


def items_of(contents: BucketContents) -> deque[Item]:
    """Return entries and flows in one queue, none above the allowed size."""
    both: tuple[Item, ...] = contents.entries + contents.flows
    return deque(_within_bounds(each) for each in both)


def contents_of(chosen: Iterable[Item]) -> BucketContents:
    """Put items back into contents, in their order."""
    entries = []
    flows = []
    for each in chosen:
        if isinstance(each, LedgerEntry):
            entries.append(each)
        else:
            flows.append(each)
    return BucketContents(tuple(entries), tuple(flows))


def take_part(waiting: deque[Item], room: int) -> list[Item]:
    """Remove from a queue what fits.

    Parameters
    ----------
    waiting : deque
        Items; what is returned is removed from its left end.
    room : int
        Bytes that the items may take together.

    Returns
    -------
    list
        The items.
    """
    chosen: list[Item] = []
    while waiting:
        room -= size_of(waiting[0])
        if room < 0:
            break
        chosen.append(waiting.popleft())
    return chosen


def split(contents: BucketContents) -> tuple[BucketContents, ...]:
    """Cut contents into parts of at most 48000 bytes, at least one."""
    waiting = items_of(contents)
    first = contents_of(take_part(waiting, PART_BYTES))
    # Two filters of 4096 bytes, beside the part: still within a datagram.
    parts = [attrs.evolve(first, condensed=contents.condensed)]
    while waiting:
        parts.append(contents_of(take_part(waiting, PART_BYTES)))
    return tuple(parts)


def _within_bounds(item: Item) -> Item:
    # An item that fits no part would stop the handoff of its bucket for good:
    # the new home would ask for ever.  It loses its long field instead; a
    # request whose answer cannot travel is *unknown*, never run again.
    if size_of(item) <= RECORD_BYTES:
        return item
    if isinstance(item, LedgerEntry):
        return attrs.evolve(item, state=RequestState.UNKNOWN, answer=b'')
    return attrs.evolve(item, registration=b'')
