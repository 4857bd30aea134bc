"""Handling of a control instance's answers by a balancer."""

import asyncio

import pytest

from redwingstream.directory.inquiry import pack_update
from redwingstream.directory.messages import (
    AgentRecord,
    HeardRecord,
    Readiness,
    Report,
)
from redwingstream.directory.packing import pack_records
from redwingstream.fleet.balancer import Balancer
from redwingstream.fleet.tests.fakes import (
    DEPLOYMENT,
    KEY,
    FakeProcess,
    FakeSocket,
)
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import address_of
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.tests.codec import Packet, PlainCodec
from redwingstream.tables.messages import TablesUpdate
from redwingstream.tables.rows import FlowRules, Generation, Pool, Route
from redwingstream.wire.frames import FrameCodec

POOL = 'feed'
OTHER_POOL = 'feed-2'
SERVICE = '198.18.0.1:443'
CONTROL = address_of('10.9.0.1', 7720)
AGENT = address_of('10.1.0.1', 8172)
OTHER_AGENT = address_of('10.1.1.1', 8172)
CALLER = address_of('100.64.0.1', 1000)


def _report(update: TablesUpdate, agents: dict[str, int]) -> bytes:
    records = tuple(
        HeardRecord(
            AgentRecord(
                address, 'north', pool, 1, 1, Readiness.READY, is_cold=False
            ),
            age=0,
            is_silent=False,
        )
        for pool, address in agents.items()
    )
    answer = Report(
        number=1,
        sender=CONTROL,
        boot=1,
        cursor=0,
        records=pack_records(records),
        update=pack_update(update),
        revision=update.revision,
        revision_age=0,
        confirmed_age=0,
        has_heard_all=True,
        controls=(),
        pause=0.4,
    )
    return FrameCodec(KEY).seal(answer)


def _tables(revision: int, route: Route, *pools: str) -> TablesUpdate:
    return TablesUpdate(
        since=0,
        revision=revision,
        routes=(route,),
        pools=tuple(Pool(pool, ('*',)) for pool in pools),
        generations=(Generation(revision, 15),),
    )


class TestControlAnswer:
    """One answer brings tables, agents and the proof that a flow is dead."""

    @pytest.fixture
    async def callers(self) -> FakeSocket:
        return FakeSocket()

    @pytest.fixture
    async def balancer(self, callers: FakeSocket) -> Balancer:
        """A balancer whose search for a flow in the only pool has failed."""
        loop = asyncio.get_running_loop()
        made = Balancer(FakeProcess(DEPLOYMENT, loop.time), PlainCodec())
        made.packet_sender.attach(callers=callers, peers=FakeSocket())
        first = _tables(1, Route(SERVICE, POOL), POOL)
        made.control_client.receive(
            _report(first, {POOL: AGENT}), ('10.9.0.1', 1)
        )
        packet = Packet(CALLER, address_of('198.18.0.1', 443), 1, 9).pack()
        missed = Envelope(
            Kind.NOT_CARRIED, packet, pool=pool_hash(POOL), visited=(AGENT,)
        )
        made.forwarder.handle_envelope(missed, AGENT, loop.time())
        await asyncio.sleep(0.1)
        return made

    async def test_ends_a_flow_that_no_agent_carries(
        self, balancer, callers
    ) -> None:
        same = _tables(1, Route(SERVICE, POOL), POOL)
        answer = _report(same, {POOL: AGENT})
        balancer.control_client.receive(answer, ('10.9.0.1', 1))
        assert len(callers.sent) == 1

    async def test_applies_tables_before_ending_flows(
        self, balancer, callers
    ) -> None:
        """Guards against resetting a feed whose route just got another pool.

        Another balancer opened it at the new pool.  The answer that brings the
        new route to this balancer also completes a proof by the old route.
        """
        rules = FlowRules(earlier=(POOL,))
        moved = _tables(
            2, Route(SERVICE, OTHER_POOL, flows=rules), POOL, OTHER_POOL
        )
        answer = _report(moved, {POOL: AGENT, OTHER_POOL: OTHER_AGENT})
        balancer.control_client.receive(answer, ('10.9.0.1', 1))
        assert not callers.sent
