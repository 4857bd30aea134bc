"""Tests of the balancer's decisions: which agent gets a packet, or why none."""

import pytest

from redwingstream.balancer.forwarder import Drop, Forward, Forwarder, Refuse
from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.membership.peers import SILENT_AFTER
from redwingstream.placement.rendezvous import bucket_of, pair_of
from redwingstream.tables.rows import (
    DEFAULT_BUCKETS,
    Pool,
    PoolView,
    Route,
    ViewMember,
)
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.fabric import AddressPair

KEY = b'k' * 32
SERVICE = '127.0.0.1:5683'
POOL = 'sward-live'
ADDRESSES = AddressPair(Endpoint('10.0.0.1', 4000), parse_endpoint(SERVICE))
MEMBERS = tuple(
    ViewMember(f'host-{number}', 1, f'127.0.1.{number}:7000', zone)
    for number, zone in enumerate(('carse', 'carse', 'strathmore'))
)


def tables_of(
    *,
    has_route: bool = True,
    has_pool: bool = True,
    members: tuple[ViewMember, ...] = MEMBERS,
) -> Tables:
    """Return tables with one route and one pool."""
    route = Route(SERVICE, POOL)
    return Tables(
        revision=3,
        route_by_key={route.key: route} if has_route else {},
        pool_by_name={POOL: Pool(POOL, ('*',))} if has_pool else {},
        view_by_pool={POOL: PoolView(POOL, 3, members)},
    )


def forwarder_with(tables: Tables) -> Forwarder:
    """Return a forwarder with the given tables."""
    forwarder = Forwarder(Endpoint('127.0.2.1', 7000), KEY)
    forwarder.apply_tables(tables)
    return forwarder


class TestForwarder:
    """Route, pool, bucket and home are found, or the packet is rejected."""

    def test_sends_to_the_home(self) -> None:
        decision = forwarder_with(tables_of()).decide(ADDRESSES, b'packet', 0)
        assert isinstance(decision, Forward)
        bucket = bucket_of(str(ADDRESSES.caller), SERVICE, DEFAULT_BUCKETS, KEY)
        home = pair_of(MEMBERS, POOL, bucket).home
        assert home is not None
        assert str(decision.agent) == home.endpoint
        assert decision.packet.payload == b'packet'
        assert decision.packet.revision == 3

    @pytest.mark.parametrize(
        ('tables', 'reason'),
        [
            (tables_of(has_route=False), ResultCode.NO_ROUTE),
            (tables_of(has_pool=False), ResultCode.NO_POOL),
            (tables_of(members=()), ResultCode.NO_SERVER),
        ],
    )
    def test_gives_the_reason_of_a_rejection(
        self, tables: Tables, reason: ResultCode
    ) -> None:
        decision = forwarder_with(tables).decide(ADDRESSES, b'packet', 0)
        assert decision == Refuse(reason)

    def test_drops_packets_before_the_first_tables(self) -> None:
        """A balancer without tables must not reject a packet.

        A balancer restarts while no control instance is reachable and gets a
        repeated registration of a feed.  If it answered 5.03 (no route), the
        feed would end.
        """
        assert forwarder_with(Tables()).decide(ADDRESSES, b'', 0) == Drop()

    def test_two_balancers_choose_the_same_home(self) -> None:
        first = forwarder_with(tables_of()).decide(ADDRESSES, b'', 0)
        second = forwarder_with(tables_of()).decide(ADDRESSES, b'', 5)
        assert isinstance(first, Forward)
        assert isinstance(second, Forward)
        assert first.agent == second.agent

    def test_sends_to_the_heir_of_a_silent_home(self) -> None:
        """A caller must not wait for the whole lease of a dead home.

        The home is killed.  It stays in the committed view, the only one that
        balancers know, until control has missed its heartbeats for three
        seconds.
        """
        forwarder = forwarder_with(tables_of())
        first = forwarder.decide(ADDRESSES, b'', 0)
        later = forwarder.decide(ADDRESSES, b'', SILENT_AFTER + 1)
        assert isinstance(first, Forward)
        assert isinstance(later, Forward)
        assert later.agent != first.agent
        forwarder.links.record_heard(first.agent)
        assert forwarder.decide(ADDRESSES, b'', SILENT_AFTER + 2) == first

    def test_drops_a_pool_that_was_removed(self) -> None:
        forwarder = forwarder_with(tables_of())
        forwarder.apply_tables(Tables(revision=4))
        decision = forwarder.decide(ADDRESSES, b'', 0)
        assert decision == Refuse(ResultCode.NO_ROUTE)
