"""Tests of the flow table: precedence of records, and eviction."""

import itertools

import attrs

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.table import MAX_REGISTRATION, FlowTable
from redwingstream.flows.tests.fakes import (
    CALLER,
    KEY,
    REGISTRATION,
    SERVICE,
    TOKEN,
    record,
)
from redwingstream.flows.tombstones import TOMBSTONE_LIFETIME

PLAIN = FlowKey(CALLER, SERVICE)
BUCKET = 3
IDLE = 60.0


def make_table(*records: FlowRecord, capacity: int = 100) -> FlowTable:
    """Build a table with some records stored at time 0."""
    table = FlowTable(capacity, IDLE)
    table.merge(BUCKET, records, 0)
    return table


def placement(number: int) -> FlowRecord:
    """Build a plain placement of one of many callers."""
    return FlowRecord(FlowKey(f'10.0.1.{number}:1', SERVICE), 'b')


class TestFlowTable:
    """Lookup, replacement and eviction of records."""

    def test_finds_the_feed_before_the_flow(self) -> None:
        table = make_table(record('a'), FlowRecord(PLAIN, 'b'))
        assert table.record_for(CALLER, SERVICE, TOKEN, 1).carrier == 'a'
        assert table.record_for(CALLER, SERVICE, b'other', 1).carrier == 'b'
        assert table.record_for('x', SERVICE, TOKEN, 1) is None
        assert table.find(FlowKey(CALLER, SERVICE, b'other')) is None
        assert table.feed_carriers(CALLER, SERVICE) == {'a'}
        assert table.carried_by('b') == (FlowRecord(PLAIN, 'b'),)

    def test_merge_does_not_depend_on_order(self) -> None:
        """Guards against home and heir that store different carriers.

        Records of one feed reach two tables in different orders while its
        bucket is handed over.  Both tables must end with the same record.
        """
        records = (
            record('a'),
            record('b', 1),
            record('c', 1),
            FlowRecord(KEY, 'c', 1, closed=True),
            record('a', 2),
        )
        for order in itertools.permutations(records):
            assert make_table(*order).export(BUCKET) == (records[-1],)
        for order in itertools.permutations(records[:3]):
            assert make_table(*order).export(BUCKET) == (records[2],)

    def test_late_record_does_not_reopen_an_ended_feed(self) -> None:
        """Guards against notifications to a caller that has closed its feed.

        The feed ends.  Then its former home hands over the bucket with the
        open record of the feed.
        """
        table = make_table(record('a'), FlowRecord(KEY, 'a', closed=True))
        assert not table.put(BUCKET, record('a'), 1)
        assert table.record_for(CALLER, SERVICE, TOKEN, 1) is None
        assert table.next_generation(KEY) == 1
        heir = FlowTable(100, IDLE)
        heir.merge(BUCKET, table.export(BUCKET), 1)
        assert not heir.put(BUCKET, record('a'), 1)
        assert table.put(BUCKET, record('b', 1), 2)

    def test_forgets_ended_feeds_after_their_time(self) -> None:
        table = make_table(FlowRecord(KEY, 'a', closed=True))
        table.evict_expired(TOMBSTONE_LIFETIME - 1)
        assert table.export(BUCKET)
        table.evict_expired(TOMBSTONE_LIFETIME)
        assert not table.export(BUCKET)

    def test_drops_idle_placements_only(self) -> None:
        table = make_table(record('a'), placement(1), placement(2))
        table.record_for(placement(1).key.caller, SERVICE, b'', IDLE / 2)
        table.evict_expired(IDLE)
        assert set(table.export(BUCKET)) == {record('a'), placement(1)}
        assert table.counters.expired == 1

    def test_full_table_evicts_placements_and_refuses_feeds(self) -> None:
        """Guards against the eviction of an established feed by new ones.

        A flood of new callers fills the table.  Placements are evicted, least
        recently used first.  A feed for which there is no room is refused, so
        it is never opened without a record.
        """
        table = make_table(record('a'), placement(1), placement(2), capacity=3)
        table.record_for(placement(1).key.caller, SERVICE, b'', 1)
        assert table.put(BUCKET, placement(3), 2)
        assert placement(2) not in table.export(BUCKET)
        for number in range(2):
            key = FlowKey(CALLER, SERVICE, bytes([number]))
            assert table.put(BUCKET, record('a', key=key), 3)
        full = FlowKey(CALLER, SERVICE, b'full')
        assert not table.put(BUCKET, record('a', key=full), 4)
        assert not table.put(BUCKET, placement(4), 4)
        assert table.counters.refused == 2
        assert record('a') in table.export(BUCKET)

    def test_refuses_a_registration_that_is_too_long(self) -> None:
        """Guards against a caller that fills an agent's memory with few feeds.

        A datagram can have 64 KiB, and home and heir store the registration of
        each feed for as long as the feed is open.
        """
        longest = attrs.evolve(
            record('a'), registration=b'x' * MAX_REGISTRATION
        )
        assert make_table().accepts(longest)
        too_long = attrs.evolve(longest, registration=b'x' * 1153)
        table = make_table()
        assert not table.accepts(too_long)
        assert not table.put(BUCKET, too_long, 1)

    def test_placement_does_not_replace_a_feed_without_token(self) -> None:
        """Guards against a feed that stops when its caller sends a request.

        CoAP allows the empty token.  The placement of the caller's plain
        requests then has the same key as the feed.
        """
        feed = FlowRecord(PLAIN, 'a', 0, REGISTRATION)
        table = make_table(feed)
        assert not table.put(BUCKET, FlowRecord(PLAIN, 'b', 5), 1)
        assert table.record_for(CALLER, SERVICE, b'', 1) == feed

    def test_drop_bucket_removes_all_its_records(self) -> None:
        table = make_table(record('a'), FlowRecord(PLAIN, 'b', closed=True))
        other = placement(1)
        table.put(BUCKET + 1, other, 0)
        table.drop_bucket(BUCKET)
        assert table.export(BUCKET) == ()
        assert table.export(BUCKET + 1) == (other,)
        assert not table.feed_carriers(CALLER, SERVICE)
