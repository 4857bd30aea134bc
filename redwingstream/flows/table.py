"""The flows of the buckets for which an agent is home or heir."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.tombstones import Tombstones

MAX_REGISTRATION = 1152
"""Bytes of a feed's registration; what fits a datagram (RFC 7252, 4.6)."""


@attrs.define
class FlowCounters:
    """What became of the records put into a table."""

    stale: int = 0
    refused: int = 0
    expired: int = 0
    evicted: int = 0


@attrs.define
class _Entry:
    record: FlowRecord
    bucket: int
    last_used: float


class FlowTable:
    """Flow records by bucket, by key and by the two ends of a flow.

    Parameters
    ----------
    capacity : int
        Records that are kept at most, and tombstones besides.
    idle_timeout : float
        Seconds after which a plain placement that is not used is forgotten.
        Feeds never expire here: their carriers close them.

    Notes
    -----
    Records merge in any order to the same result: the higher generation wins,
    then a closed one, then the carrier with the greater name.
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
        """Return how many flows are open."""
        return len(self._entry_by_key)

    def put(self, bucket: int, record: FlowRecord, now: float) -> bool:
        """Remember a record.

        Returns
        -------
        bool
            False when a newer one is known, or when :meth:`takes` says so.
        """
        known = self.find(record.key) or self._tombstones.find(record.key)
        if not _replaces(record, known):
            self.counters.stale += 1
            return False
        if record.closed:
            self._forget(record.key)
            self._tombstones.add(bucket, record, now)
            return True
        if not self.takes(record):
            self.counters.refused += 1
            return False
        self._forget(record.key)
        self._tombstones.remove(record.key)
        self._remember(_Entry(record, bucket, now))
        return True

    def takes(self, record: FlowRecord) -> bool:
        """Whether there is room for a record.

        Notes
        -----
        Feeds leave no room for others, placements do.  A feed that is not
        recorded must not be opened: after the next change of view nobody
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
        """Return the record of the feed, else of the flow, if there is one."""
        entry = self._entry_by_key.get(FlowKey(caller, service, token))
        if entry is None and token:
            entry = self._entry_by_key.get(FlowKey(caller, service))
        if entry is None:
            return None
        entry.last_used = now
        if not entry.record.registration:
            self._plain_by_key.move_to_end(entry.record.key)
        return entry.record

    def feed_carriers(self, caller: str, service: str) -> frozenset[str]:
        """Return who carries feeds of a flow.

        An ACK or RST of the caller names no token; it goes to all of these.
        """
        keys = self._feeds_by_ends.get((caller, service), ())
        return frozenset(self._entry_by_key[key].record.carrier for key in keys)

    def next_generation(self, key: FlowKey) -> int:
        """Return the generation of the next record of a flow or feed."""
        known = self.find(key) or self._tombstones.find(key)
        return 0 if known is None else known.generation + 1

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return the open record of exactly this flow or feed."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.record

    def export(self, bucket: int) -> tuple[FlowRecord, ...]:
        """Return the records of a bucket, those of ended flows too."""
        keys = self._keys_by_bucket.get(bucket, ())
        alive = [self._entry_by_key[key].record for key in keys]
        return (*alive, *self._tombstones.of_bucket(bucket))

    def merge(
        self, bucket: int, records: Iterable[FlowRecord], now: float
    ) -> int:
        """Put each of the records; return how many changed the table."""
        return sum(self.put(bucket, record, now) for record in records)

    def drop_bucket(self, bucket: int) -> None:
        """Forget a bucket that now has another home and heir."""
        for key in tuple(self._keys_by_bucket.get(bucket, ())):
            self._forget(key)
        self._tombstones.drop(bucket)

    def carried_by(self, host: str) -> tuple[FlowRecord, ...]:
        """Return the open flows that a host carries."""
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
        """Forget idle plain placements and old tombstones."""
        self._tombstones.expire(now)
        while self._plain_by_key:
            oldest = next(iter(self._plain_by_key))
            idle = now - self._entry_by_key[oldest].last_used
            if idle < self._idle_timeout:
                return
            self._forget(oldest)
            self.counters.expired += 1

    def _remember(self, entry: _Entry) -> None:
        if self._plain_by_key and len(self._entry_by_key) >= self._capacity:
            # A forgotten placement costs balance; a forgotten feed breaks.
            self._forget(next(iter(self._plain_by_key)))
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

    def _forget(self, key: FlowKey) -> None:
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
