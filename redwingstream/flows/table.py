"""The flows of the buckets for which an agent is home or heir."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.tombstones import Tombstones

MAX_REGISTRATION = 1152
"""Maximum size of a feed's registration in bytes.

RFC 7252, section 4.6, gives it as the upper bound of a message that should
fit a datagram.
"""


@attrs.define
class FlowCounters:
    """Counts of the records that were refused by a table or left it.

    Parameters
    ----------
    stale : int
        Records refused because a newer one was known.
    refused : int
        Records refused for lack of room or for their size.
    expired : int
        Plain placements dropped after their idle timeout.
    evicted : int
        Plain placements dropped to make room.
    """

    stale: int = 0
    refused: int = 0
    expired: int = 0
    evicted: int = 0


@attrs.define
class _Entry:
    record: FlowRecord
    bucket: int
    last_used_at: float


class FlowTable:
    """Flow records by bucket, by key and by the endpoints of a flow.

    Parameters
    ----------
    capacity : int
        Maximum count of open records, and also of tombstones.
    idle_timeout : float
        Seconds without use after which a plain placement is dropped.  Feeds do
        not expire here: their carriers close them.

    Notes
    -----
    Merging records gives the same result in any order.  The higher generation
    wins, then a closed record, then the carrier with the greater name.
    """

    def __init__(self, capacity: int, idle_timeout: float) -> None:
        self._capacity = capacity
        self._idle_timeout = idle_timeout
        self._entry_by_key: dict[FlowKey, _Entry] = {}
        # Plain placements, least recently used first.
        self._plain_by_key: OrderedDict[FlowKey, None] = OrderedDict()
        self._tombstones = Tombstones(capacity)
        self._keys_by_bucket: dict[int, set[FlowKey]] = {}
        self._feeds_by_ends: dict[tuple[str, str], tuple[FlowKey, ...]] = {}
        self.counters = FlowCounters()

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._entry_by_key)

    def put(self, bucket: int, record: FlowRecord, now: float) -> bool:
        """Store an open or closed record unless a newer one is known.

        Returns
        -------
        bool
            False if a newer record is known, or :meth:`accepts` returns False.
        """
        known = self.find(record.key) or self._tombstones.find(record.key)
        if not _replaces(record, known):
            self.counters.stale += 1
            return False
        if record.closed:
            self._remove(record.key)
            self._tombstones.add(bucket, record, now)
            return True
        if not self.accepts(record):
            self.counters.refused += 1
            return False
        self._remove(record.key)
        self._tombstones.remove(record.key)
        self._insert(_Entry(record, bucket, now))
        return True

    def accepts(self, record: FlowRecord) -> bool:
        """Whether the table has room for a record, and its size is allowed.

        Notes
        -----
        Placements are evicted to make room, feeds are not.  A feed without a
        record must not be opened: after the next change of view no agent
        would know it.
        """
        if len(record.registration) > MAX_REGISTRATION:
            return False
        if record.key in self._entry_by_key or self._plain_by_key:
            return True
        return len(self._entry_by_key) < self._capacity

    def record_for(
        self, caller: str, service: str, token: bytes, now: float
    ) -> FlowRecord | None:
        """Return the record of the feed, else of the flow, else None."""
        entry = self._entry_by_key.get(FlowKey(caller, service, token))
        if entry is None and token:
            entry = self._entry_by_key.get(FlowKey(caller, service))
        if entry is None:
            return None
        entry.last_used_at = now
        if not entry.record.registration:
            self._plain_by_key.move_to_end(entry.record.key)
        return entry.record

    def feed_carriers(self, caller: str, service: str) -> frozenset[str]:
        """Return the hosts that carry feeds between two endpoints.

        A caller's ACK or RST has no token, so it is forwarded to all of them.
        """
        keys = self._feeds_by_ends.get((caller, service), ())
        return frozenset(self._entry_by_key[key].record.carrier for key in keys)

    def next_generation(self, key: FlowKey) -> int:
        """Return the generation of the next record of a flow or feed."""
        known = self.find(key) or self._tombstones.find(key)
        return 0 if known is None else known.generation + 1

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return the open record with exactly this key."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.record

    def export(self, bucket: int) -> tuple[FlowRecord, ...]:
        """Return the records of a bucket, including those of ended flows."""
        keys = self._keys_by_bucket.get(bucket, ())
        open_records = [self._entry_by_key[key].record for key in keys]
        return (*open_records, *self._tombstones.in_bucket(bucket))

    def merge(
        self, bucket: int, records: Iterable[FlowRecord], now: float
    ) -> int:
        """Put all the records; return how many of them were stored."""
        return sum(self.put(bucket, record, now) for record in records)

    def drop_bucket(self, bucket: int) -> None:
        """Drop a bucket that now has another home and heir."""
        for key in tuple(self._keys_by_bucket.get(bucket, ())):
            self._remove(key)
        self._tombstones.drop_bucket(bucket)

    def carried_by(self, host: str) -> tuple[FlowRecord, ...]:
        """Return the records of the open flows that a host carries."""
        return tuple(
            entry.record
            for entry in self._entry_by_key.values()
            if entry.record.carrier == host
        )

    def feed_records(self) -> tuple[FlowRecord, ...]:
        """Return the records of all open feeds."""
        return tuple(
            entry.record
            for entry in self._entry_by_key.values()
            if entry.record.registration
        )

    def evict_expired(self, now: float) -> None:
        """Drop idle plain placements and expired tombstones."""
        self._tombstones.evict_expired(now)
        while self._plain_by_key:
            oldest = next(iter(self._plain_by_key))
            idle = now - self._entry_by_key[oldest].last_used_at
            if idle < self._idle_timeout:
                return
            self._remove(oldest)
            self.counters.expired += 1

    def _insert(self, entry: _Entry) -> None:
        if self._plain_by_key and len(self._entry_by_key) >= self._capacity:
            # Without its placement a flow may move to another server, which
            # only affects the load; without its record a feed breaks.
            self._remove(next(iter(self._plain_by_key)))
            self.counters.evicted += 1
        key = entry.record.key
        self._entry_by_key[key] = entry
        self._keys_by_bucket.setdefault(entry.bucket, set()).add(key)
        if entry.record.registration:
            ends = (key.caller, key.service)
            self._feeds_by_ends[ends] = (
                *self._feeds_by_ends.get(ends, ()),
                key,
            )
        else:
            self._plain_by_key[key] = None

    def _remove(self, key: FlowKey) -> None:
        entry = self._entry_by_key.pop(key, None)
        if entry is None:
            return
        self._plain_by_key.pop(key, None)
        keys = self._keys_by_bucket[entry.bucket]
        keys.discard(key)
        if not keys:
            self._keys_by_bucket.pop(entry.bucket)
        ends = (key.caller, key.service)
        feeds = self._feeds_by_ends.pop(ends, ())
        left = tuple(feed for feed in feeds if feed != key)
        if left:
            self._feeds_by_ends[ends] = left


def _replaces(record: FlowRecord, known: FlowRecord | None) -> bool:
    if known is None:
        return True
    if known.registration and not record.registration and not record.closed:
        # A feed may have the empty token, whose key is also that of the
        # flow's plain placement.  Without this guard a placement would
        # replace the feed, and its notifications would stop.
        return False
    return _rank(record) >= _rank(known)


def _rank(record: FlowRecord) -> tuple[int, bool, str]:
    return (record.generation, record.closed, record.carrier)
