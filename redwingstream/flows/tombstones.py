"""Records of flows that have ended, kept so that late records are refused."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from redwingstream.flows.message_ids import EXCHANGE_LIFETIME
from redwingstream.flows.records import FlowKey, FlowRecord

TOMBSTONE_LIFETIME = EXCHANGE_LIFETIME
"""Seconds in which a late record cannot reopen a flow that has ended."""


@attrs.frozen
class _Tombstone:
    record: FlowRecord
    bucket: int
    closed_at: float


class Tombstones:
    """Closed records by key, ordered by the time of closing, oldest first.

    Parameters
    ----------
    capacity : int
        Maximum count of records; the oldest is evicted first.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._tombstone_by_key: OrderedDict[FlowKey, _Tombstone] = OrderedDict()

    def add(self, bucket: int, record: FlowRecord, now: float) -> None:
        """Store a closed record, without its registration."""
        bare = attrs.evolve(record, registration=b'')
        self._tombstone_by_key.pop(record.key, None)
        self._tombstone_by_key[record.key] = _Tombstone(bare, bucket, now)
        if len(self._tombstone_by_key) > self._capacity:
            self._tombstone_by_key.popitem(last=False)

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return the closed record of a flow."""
        found = self._tombstone_by_key.get(key)
        return None if found is None else found.record

    def remove(self, key: FlowKey) -> None:
        """Remove the record of a flow that has been opened again."""
        self._tombstone_by_key.pop(key, None)

    def in_bucket(self, bucket: int) -> Iterator[FlowRecord]:
        """Iterate over the closed records of a bucket."""
        for tombstone in self._tombstone_by_key.values():
            if tombstone.bucket == bucket:
                yield tombstone.record

    def drop_bucket(self, bucket: int) -> None:
        """Remove the records of a bucket."""
        for record in tuple(self.in_bucket(bucket)):
            self._tombstone_by_key.pop(record.key)

    def evict_expired(self, now: float) -> None:
        """Drop records older than ``TOMBSTONE_LIFETIME``."""
        while self._tombstone_by_key:
            earliest = next(iter(self._tombstone_by_key.values()))
            if now - earliest.closed_at < TOMBSTONE_LIFETIME:
                return
            self._tombstone_by_key.popitem(last=False)
