"""Flow records: which one wins, which one goes first."""

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
    """Build a table that holds some records since time 0."""
    table = FlowTable(capacity, IDLE)
    table.merge(BUCKET, records, 0)
    return table


def placement(number: int) -> FlowRecord:
    """Build a plain placement of one of many callers."""
    return FlowRecord(FlowKey(f'10.0.1.{number}:1', SERVICE), 'b')


class TestFlowTable:
    """What is found, what is replaced and what is forgotten."""

    def test_finds_the_feed_first_and_the_flow_else(self) -> None:
        table = make_table(record('a'), FlowRecord(PLAIN, 'b'))
        assert table.record_for(CALLER, SERVICE, TOKEN, 1).carrier == 'a'
        assert table.record_for(CALLER, SERVICE, b'other', 1).carrier == 'b'
        assert table.record_for('x', SERVICE, TOKEN, 1) is None
        assert table.find(FlowKey(CALLER, SERVICE, b'other')) is None
        assert table.feed_carriers(CALLER, SERVICE) == {'a'}
        assert table.carried_by('b') == (FlowRecord(PLAIN, 'b'),)

    def test_merges_to_the_same_in_any_order(self) -> None:
        """A feed breaks when home and heir know different carriers.

        Records of one feed reach two tables in different orders while its
        bucket is handed over; both must end with the same one.
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

    def test_ended_feed_is_not_revived_by_a_late_record(self) -> None:
        """A planner that closed its feed would be sent readings again.

        The feed ends, then its former home hands over the bucket with the
        open record, which is as old as the feed.
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

    def test_forgets_idle_placements_only(self) -> None:
        table = make_table(record('a'), placement(1), placement(2))
        table.record_for(placement(1).key.caller, SERVICE, b'', IDLE / 2)
        table.evict_expired(IDLE)
        assert set(table.export(BUCKET)) == {record('a'), placement(1)}
        assert table.counters.expired == 1

    def test_full_table_gives_up_placements_and_refuses_feeds(self) -> None:
        """An established feed would break for the sake of a new one.

        A flood of new callers fills the table: placements make room, the one
        unused for longest first; a feed that finds none is refused, so it is
        never opened without a record.
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
        """One caller could fill an agent's memory with a few feeds.

        A datagram may have 64 KiB, and home and heir keep the registration of
        each feed for as long as it is open.
        """
        longest = attrs.evolve(
            record('a'), registration=b'x' * MAX_REGISTRATION
        )
        assert make_table().takes(longest)
        too_long = attrs.evolve(longest, registration=b'x' * 1153)
        table = make_table()
        assert not table.takes(too_long)
        assert not table.put(BUCKET, too_long, 1)

    def test_placement_does_not_replace_a_feed_without_token(self) -> None:
        """A feed would go silent when its caller asks for something else.

        CoAP allows the empty token, and the placement of the caller's plain
        requests has the same key as such a feed.
        """
        feed = FlowRecord(PLAIN, 'a', 0, REGISTRATION)
        table = make_table(feed)
        assert not table.put(BUCKET, FlowRecord(PLAIN, 'b', 5), 1)
        assert table.record_for(CALLER, SERVICE, b'', 1) == feed

    def test_drops_a_bucket_whole(self) -> None:
        table = make_table(record('a'), FlowRecord(PLAIN, 'b', closed=True))
        other = placement(1)
        table.put(BUCKET + 1, other, 0)
        table.drop_bucket(BUCKET)
        assert table.export(BUCKET) == ()
        assert table.export(BUCKET + 1) == (other,)
        assert not table.feed_carriers(CALLER, SERVICE)
