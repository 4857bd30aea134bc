"""Buckets are distributed by weight, and as few as possible move."""

import attrs

from redwingstream.placement.rendezvous import (
    Pair,
    PairTable,
    bucket_of,
    pair_of,
)
from redwingstream.placement.tests.fakes import POOL, member, view

BUCKETS = 4096
SERVICE = '10.9.0.1:5683'
ZONES = ('carse', 'strathmore', 'angus-glens', 'fife-north')
MEMBERS = tuple(
    member(f'host-{run}', run + 1, ZONES[run % 4]) for run in range(7)
)


def homes(members: tuple) -> list[str]:
    """Return the home of each bucket."""
    return [
        pair_of(members, POOL, bucket).home.host for bucket in range(BUCKETS)
    ]


def losers(before: list[str], after: list[str]) -> set[str]:
    """Return the hosts that were home of a bucket and are not any more."""
    pairs = zip(before, after, strict=True)
    return {former for former, later in pairs if former != later}


class TestBucketOf:
    """The bucket of a flow is a keyed hash of both ends."""

    def test_depends_on_the_key_and_fills_all_buckets(self) -> None:
        callers = [f'10.0.0.1:{port}' for port in range(2000)]
        first, other = (
            [bucket_of(caller, SERVICE, 64, key) for caller in callers]
            for key in (b'k' * 32, b'x' * 32)
        )
        assert set(first) == set(range(64))
        assert first != other


class TestPairOf:
    """Home and heir are chosen by weighted rendezvous hashing."""

    def test_moves_only_buckets_of_the_changed_member(self) -> None:
        before = homes(MEMBERS)
        after = homes(MEMBERS[1:])
        assert losers(before, after) == {'host-0'}
        heavier = attrs.evolve(MEMBERS[0], weight=200)
        grown = homes((heavier, *MEMBERS[1:]))
        assert losers(grown, before) == {'host-0'}

    def test_keeps_buckets_of_a_host_that_restarts(self) -> None:
        again = attrs.evolve(MEMBERS[3], incarnation=99)
        assert homes((*MEMBERS[:3], again, *MEMBERS[4:])) == homes(MEMBERS)

    def test_distributes_buckets_by_weight(self) -> None:
        heavy = attrs.evolve(MEMBERS[0], weight=300)
        held = homes((heavy, *MEMBERS[1:4])).count('host-0')
        assert 47 * BUCKETS < 100 * held < 53 * BUCKETS

    def test_puts_the_heir_into_another_zone_if_there_is_one(self) -> None:
        for bucket in range(200):
            pair = pair_of(MEMBERS, POOL, bucket)
            assert pair.heir.zone != pair.home.zone
        near = (member('a', 1), member('b', 2))
        assert len(pair_of(near, POOL, 0).members()) == 2

    def test_handles_views_of_one_member_and_of_none(self) -> None:
        assert pair_of(MEMBERS[:1], POOL, 0) == Pair(MEMBERS[0], None)
        assert pair_of((), POOL, 0) == Pair()

    def test_is_the_same_from_a_table_and_in_any_order(self) -> None:
        table = PairTable.from_view(view(1, *MEMBERS))
        for bucket in range(64):
            expected = pair_of(tuple(reversed(MEMBERS)), POOL, bucket)
            assert table.pair(bucket) == expected
