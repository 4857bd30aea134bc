"""Splits the contents of a bucket into parts that fit a frame."""

from collections import deque
from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.flows.records import FlowRecord
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.records import LedgerEntry, RequestState

# Bytes of contents in a message.  A frame holds at most 60000 bytes; the rest
# of the message needs a few hundred.
PART_BYTES = 48000
# Bytes of new records in a message.  Half a part, so that a message full of new
# records leaves room for existing contents, and an item always fits a part.
RECORD_BYTES = 24000

Item = LedgerEntry | FlowRecord

_encoder = msgspec.msgpack.Encoder()


def encoded_size(payload: object) -> int:
    """Return the number of bytes of an item or of contents in a frame."""
    return len(_encoder.encode(payload))


def contents_to_items(contents: BucketContents) -> deque[Item]:
    """Return entries and flows in one queue, each limited in size."""
    both: tuple[Item, ...] = contents.entries + contents.flows
    return deque(_limit_size(each) for each in both)


def items_to_contents(chosen: Iterable[Item]) -> BucketContents:
    """Return contents with these items, in their order."""
    entries = []
    flows = []
    for each in chosen:
        if isinstance(each, LedgerEntry):
            entries.append(each)
        else:
            flows.append(each)
    return BucketContents(tuple(entries), tuple(flows))


def pop_items(waiting: deque[Item], room: int) -> list[Item]:
    """Remove and return the first items that fit.

    Parameters
    ----------
    waiting : deque of Item
        Queue from whose left end the items are removed.
    room : int
        Bytes that the items may take together.

    Returns
    -------
    list of Item
        The removed items.
    """
    chosen: list[Item] = []
    while waiting:
        room -= encoded_size(waiting[0])
        if room < 0:
            break
        chosen.append(waiting.popleft())
    return chosen


def split(contents: BucketContents) -> tuple[BucketContents, ...]:
    """Split contents into one or more parts of at most 48000 bytes."""
    waiting = contents_to_items(contents)
    first = items_to_contents(pop_items(waiting, PART_BYTES))
    # The condensed requests are two filters of 4096 bytes; together with a
    # part they still fit a datagram.
    parts = [attrs.evolve(first, condensed=contents.condensed)]
    while waiting:
        parts.append(items_to_contents(pop_items(waiting, PART_BYTES)))
    return tuple(parts)


def _limit_size(item: Item) -> Item:
    # An item that fits no part would block the takeover of its bucket for
    # good: the new home would repeat its request without end.  The item loses
    # its answer or registration instead; a request whose answer is too large
    # to send becomes *unknown* and is never run again.
    if encoded_size(item) <= RECORD_BYTES:
        return item
    if isinstance(item, LedgerEntry):
        return attrs.evolve(item, state=RequestState.UNKNOWN, answer=b'')
    return attrs.evolve(item, registration=b'')
