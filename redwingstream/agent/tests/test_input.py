"""Malformed, unexpected and misrouted messages to an agent."""

import attrs
import pytest
from aiocoap.message import Message
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingstream.agent.tests.pool import POOL, SERVICE, FakePool
from redwingstream.agent.tests.support import settled_pool
from redwingstream.forwarding.messages import Assigned, Packet, RunOutcome
from redwingstream.membership.messages import ProbeAck
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.tables.rows import Pool, Route
from redwingstream.wire import coap

CALLER = '192.0.2.77:5000'


def _message(code: object, observe: int | None = None) -> bytes:
    message = Message(code=code, payload=b'bay 7')
    message.mtype = coap.CON
    message.mid = 1
    message.token = b'token'
    message.opt.observe = observe
    message.opt.uri_path = ('lots', '7')
    message.opt.block2 = (1, False, 2)
    coap.set_deadline(message, 5)
    return coap.encode(message)


SEEDS = (
    _message(coap.GET),
    _message(coap.POST),
    _message(coap.GET, coap.OBSERVE_REGISTER),
    _message(coap.GET, coap.OBSERVE_CANCEL),
    _message(coap.CONTENT, 7),
    coap.encode(coap.empty(coap.ACK, 1)),
    coap.encode(coap.empty(coap.RST, 1)),
)


@st.composite
def mutated(draw: st.DrawFn) -> bytes:
    """Return a CoAP message with some of its bytes changed."""
    packet = bytearray(draw(st.sampled_from(SEEDS)))
    places = st.integers(0, len(packet) - 1)
    for place in draw(st.lists(places, max_size=3)):
        packet[place] = draw(st.integers(0, 255))
    extra = draw(st.binary(max_size=300))
    cut = draw(st.integers(0, len(packet)))
    if draw(st.booleans()):
        return bytes(packet[:cut]) + extra
    return bytes(packet) + extra


def _packet(payload: bytes, **changes: object) -> Packet:
    packet = Packet(
        pool=POOL,
        revision=1,
        caller=CALLER,
        service=SERVICE,
        balancer='10.0.1.1:7000',
        payload=payload,
    )
    return attrs.evolve(packet, **changes)


def _still_serves(pool: FakePool) -> bool:
    pool.run(1)
    asked = pool.caller(99).get(b'map')
    pool.run(8)
    return asked.outcome == 'answered'


class TestMalformed:
    """A malformed packet does not affect other requests."""

    @settings(max_examples=150)
    @given(payloads=st.lists(mutated(), min_size=1, max_size=8))
    def test_from_callers(self, payloads: list[bytes]) -> None:
        pool = settled_pool(hosts=1)
        agent = pool.agent(pool.hosts[0])
        for payload in payloads:
            agent.core.handle_message(
                _packet(payload), '10.0.1.1:7000', pool.exchange.now
            )
            pool.run(0.05)
        pool.run(3)

    @settings(max_examples=100)
    @given(
        payloads=st.lists(mutated(), min_size=1, max_size=8),
        source=st.integers(-1, 3),
    )
    def test_from_the_server(self, payloads: list[bytes], source: int) -> None:
        pool = settled_pool(hosts=1)
        pool.caller().watch()
        pool.caller(2).post(b'bay 7')
        pool.run(0.01)
        agent = pool.agent(pool.hosts[0])
        for payload in payloads:
            agent.core.handle_server_packet(payload, source, pool.exchange.now)
        pool.run(3)

    @settings(max_examples=100)
    @given(payload=mutated(), is_non_idempotent=st.booleans())
    def test_assigned(self, payload: bytes, is_non_idempotent: bool) -> None:
        pool = settled_pool(hosts=2)
        core = pool.agent(pool.hosts[0]).core
        home = pool.endpoint_by_host[pool.hosts[1]]
        message = Assigned(
            packet=_packet(payload),
            home=home,
            generation=0,
            carrier_incarnation=core.parts.identity.incarnation,
            wants_outcome=is_non_idempotent,
        )
        core.handle_message(message, home, pool.exchange.now)
        pool.run(3)

    def test_endless_deadline(self) -> None:
        """A huge deadline option must not stop an agent from reading packets.

        An option of 200 bytes holds a number of several hundred digits;
        dividing it raises an error that must be handled.
        """
        pool = settled_pool(hosts=1)
        message = coap.decode(_message(coap.POST))
        message.opt.delete_option(coap.DEADLINE_OPTION)
        message.opt.add_option(
            coap.OpaqueOption(coap.DEADLINE_OPTION, bytes([255]) * 200)
        )
        payload = coap.encode(message)
        core = pool.agent(pool.hosts[0]).core
        core.handle_message(
            _packet(payload), '10.0.1.1:7000', pool.exchange.now
        )
        assert _still_serves(pool)

    def test_counted(self) -> None:
        pool = settled_pool(hosts=1)
        agent = pool.agent(pool.hosts[0])
        agent.core.handle_message(
            _packet(b'x'), '10.0.1.1:7000', pool.exchange.now
        )
        assert agent.metrics.total_by_name['caller_malformed'] == 1

    def test_outcome_of_nothing(self) -> None:
        pool = settled_pool(hosts=1)
        agent = pool.agent(pool.hosts[0])
        key = RequestKey(CALLER, SERVICE, 1, b'')
        outcome = RunOutcome(key, RequestState.ANSWERED, b'')
        agent.core.handle_message(outcome, '10.0.0.9:7000', pool.exchange.now)
        assert agent.metrics.total_by_name['outcome_late'] == 1


class TestMisrouted:
    """A packet for one pool never reaches a server of another pool."""

    @pytest.mark.parametrize(
        'changes',
        [
            {'pool': 'map-press'},
            {'service': '198.51.100.9:5683'},
            {'caller': 'nobody'},
        ],
    )
    def test_refused(self, changes: dict[str, str]) -> None:
        """A packet must not reach a server of the wrong pool.

        A balancer with old tables sends to an address that now belongs to an
        agent of another pool, or follows a route that was removed.
        """
        pool = settled_pool(hosts=1)
        agent = pool.agent(pool.hosts[0])
        seen = []
        pool.exchange.inspect = seen.append
        packet = _packet(_message(coap.POST), **changes)
        agent.core.handle_message(packet, '10.0.1.1:7000', pool.exchange.now)
        pool.run(0.01)
        kinds = [type(frame.payload) for frame in seen]
        assert ProbeAck in kinds
        assert not pool.runs(b'bay 7')

    def test_route_moved_to_another_pool(self) -> None:
        pool = settled_pool(hosts=1)
        route = Route(SERVICE, 'map-press')
        tables = pool.control.tables
        pool.control.tables = attrs.evolve(
            tables,
            revision=tables.revision + 1,
            route_by_key={route.key: route},
            pool_by_name={
                **tables.pool_by_name,
                'map-press': Pool('map-press', ('map-*',)),
            },
        )
        pool.run(1)
        agent = pool.agent(pool.hosts[0])
        packet = _packet(_message(coap.POST))
        agent.core.handle_message(packet, '10.0.1.1:7000', pool.exchange.now)
        pool.run(1)
        assert not pool.runs(b'bay 7')
        assert agent.metrics.total_by_name['misrouted'] == 1

    def test_former_run_is_not_assigned(self) -> None:
        """A request must not run twice when its carrier restarts.

        The home repeats an assignment that the carrier's former run has
        already run; the new run has no record of it.
        """
        pool = settled_pool(hosts=2)
        core = pool.agent(pool.hosts[0]).core
        home = pool.endpoint_by_host[pool.hosts[1]]
        message = Assigned(
            packet=_packet(_message(coap.POST)),
            home=home,
            generation=0,
            carrier_incarnation=core.parts.identity.incarnation - 1,
            wants_outcome=True,
        )
        core.handle_message(message, home, pool.exchange.now)
        pool.run(1)
        assert not pool.runs(b'bay 7')
