"""What an agent denies from memory, and what it asks its server."""

import attrs
import pytest

from redwingstream.packets.agent_flows import (
    LATE_PACKET_SECONDS,
    MAX_FLOWS,
    CarriedFlow,
    FlowState,
)
from redwingstream.packets.effects import (
    Outgoing,
    ToCaller,
    ToPeer,
    ToServer,
)
from redwingstream.packets.envelopes import Envelope, Kind, unpack_envelope
from redwingstream.packets.flow import Address, FlowId, address_of
from redwingstream.packets.probes import PENDING_SECONDS
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.tests.codec import (
    ACCEPTING,
    OPENING,
    RETURNED,
    Packet,
)
from redwingstream.packets.tests.network import (
    CODEC,
    IDLE_TIMEOUT,
    KNOWN_AFTER,
    POOL,
    SERVICE,
    AgentNode,
    Network,
)

CALLER = address_of('100.64.0.1', 1000)
HOME = address_of('10.1.0.9', 8172)
BALANCER = address_of('10.1.0.100', 7721)
ACCEPTED = 5000
"""Sequence number with which the server has accepted the flow."""

RECEIVED = 4000
"""Bytes that the caller has received on the flow."""


class _Beside:
    """An agent, whose server is played by the test."""

    def __init__(self) -> None:
        self.network = Network()
        self.node: AgentNode = self.network.add_agent('10.1.0.1')
        self.peer = self.network.add_agent('10.1.0.2')

    def restart(self) -> None:
        """Restart the agent beside a server that keeps running."""
        self.node.start(started_at=self.network.now)
        self.node.report()
        self.network.publish_agents()

    def opening(self, sequence: int = 1) -> list[Outgoing]:
        """Deliver an opening packet."""
        packet = Packet(CALLER, SERVICE, sequence, flags=OPENING)
        return self._handle(
            Envelope(
                Kind.OPENING,
                packet.pack(),
                BALANCER,
                self.node.address,
                pool_hash(POOL),
            )
        )

    def request(
        self, acknowledged: int, kind: Kind = Kind.LOOKUP
    ) -> list[Outgoing]:
        """Deliver a request on the flow."""
        packet = Packet(CALLER, SERVICE, 2, acknowledged, size=4)
        hops = int(kind is Kind.LOOKUP)
        return self._handle(
            Envelope(kind, packet.pack(), BALANCER, HOME, hops=hops)
        )

    def accept(self, sequence: int = ACCEPTED) -> list[Outgoing]:
        """Let the server accept the flow."""
        return self.sent(Packet(SERVICE, CALLER, sequence, 1, flags=ACCEPTING))

    def answer(self, sequence: int, size: int) -> list[Outgoing]:
        """Let the server send data on the flow."""
        return self.sent(Packet(SERVICE, CALLER, sequence, 6, size=size))

    def sent(self, packet: Packet) -> list[Outgoing]:
        """Deliver a packet of the server."""
        return self.node.forwarder.handle_server_packet(
            packet.pack(), self.network.now
        )

    def _handle(self, envelope: Envelope) -> list[Outgoing]:
        return self.node.forwarder.handle_envelope(
            envelope, Address(BALANCER), self.network.now
        )


@pytest.fixture
def beside() -> _Beside:
    return _Beside()


def _delivered(outgoing: list[Outgoing]) -> list[Packet]:
    """Return the packets given to the server."""
    return [
        Packet.unpack(one.payload)
        for one in outgoing
        if isinstance(one, ToServer)
    ]


def _envelopes(outgoing: list[Outgoing], kind: Kind) -> list[Envelope]:
    """Return the messages of a kind to other processes."""
    envelopes = [
        unpack_envelope(one.payload)
        for one in outgoing
        if isinstance(one, ToPeer)
    ]
    return [one for one in envelopes if one.kind is kind]


class TestLateOpening:
    """A late opening packet reaches an agent that has restarted since."""

    @pytest.mark.parametrize('is_rediscovered', [False, True])
    def test_does_not_deny_what_follows(self, beside, is_rediscovered) -> None:
        """Guards against denying a flow by an incomplete range of numbers.

        The server answers with the number with which it had accepted the
        flow, though it has sent more through the earlier run of the agent.
        """
        beside.restart()
        if is_rediscovered:
            beside.answer(ACCEPTED + 1, 4)
        beside.opening()
        beside.accept()
        outgoing = beside.request(ACCEPTED + RECEIVED)
        assert _delivered(outgoing)
        assert not _envelopes(outgoing, Kind.NOT_CARRIED)

    def test_leaves_the_decision_to_the_server(self, beside) -> None:
        """Guards against callers that wait although the server denies it."""
        beside.restart()
        beside.opening()
        beside.accept()
        probe = _delivered(beside.request(ACCEPTED + RECEIVED))[0]
        returned = Packet(
            CALLER,
            SERVICE,
            2,
            ACCEPTED + RECEIVED,
            probe.ticket,
            size=4,
            flags=RETURNED,
        )
        outgoing = beside.sent(returned)
        assert _envelopes(outgoing, Kind.NOT_CARRIED)

    def test_is_denied_where_all_that_was_sent_is_known(self, beside) -> None:
        """Guards against packets of other flows at a server without need."""
        beside.opening()
        beside.accept()
        beside.answer(ACCEPTED + 1, 4)
        outgoing = beside.request(ACCEPTED + RECEIVED)
        assert not _delivered(outgoing)
        assert _envelopes(outgoing, Kind.NOT_CARRIED)


class TestVisitedAgents:
    """A packet has passed other agents before it is searched for."""

    def test_are_asked_by_the_search(self, beside) -> None:
        """Guards against counting an agent that has asked no server.

        The home has passed the packet on to an agent that it took for the
        carrier; the home's own server holds the flow.
        """
        beside.opening()
        beside.accept()
        packet = Packet(CALLER, SERVICE, 2, ACCEPTED + RECEIVED, size=4)
        passed = Envelope(
            Kind.ONGOING,
            packet.pack(),
            BALANCER,
            beside.peer.address,
            hops=1,
            visited=(beside.peer.address,),
        )
        outgoing = beside.node.forwarder.handle_envelope(
            passed, beside.peer.address, beside.network.now
        )
        targets = [
            one.target
            for one in outgoing
            if isinstance(one, ToPeer)
            and unpack_envelope(one.payload).kind is Kind.LOOKUP
        ]
        assert targets == [beside.peer.address]


class TestOtherOpening:
    """An opening packet of another flow from the port reaches the agent."""

    @pytest.mark.parametrize('is_busy', [False, True])
    def test_does_not_deny_the_open_flow(self, beside, is_busy) -> None:
        """Guards against denying a flow whose entry gave way to another.

        A late packet of an earlier flow looks like the reuse of a port.
        """
        beside.opening()
        beside.accept()
        beside.answer(ACCEPTED + 1, RECEIVED)
        if is_busy:
            beside.node.context.flows.waiting = 100
        beside.opening(sequence=77)
        if not is_busy:
            beside.accept()
        outgoing = beside.request(ACCEPTED + RECEIVED)
        assert _delivered(outgoing)
        assert not _envelopes(outgoing, Kind.NOT_CARRIED)

    def test_returned_copy_does_not_deny_the_open_flow(self, beside) -> None:
        """Guards against denying a flow by a copy that the server returns.

        The server has accepted the flow and is full when the copy arrives.
        """
        beside.opening()
        beside.accept()
        beside.sent(Packet(CALLER, SERVICE, 1, 1, flags=OPENING | RETURNED))
        outgoing = beside.request(ACCEPTED)
        assert _delivered(outgoing)
        assert not _envelopes(outgoing, Kind.NOT_CARRIED)


class TestOtherPacket:
    """The server returns a packet of another flow from the same port."""

    def _return(self, beside: _Beside, acknowledged: int) -> list[Outgoing]:
        """Let the server return a packet that it was given."""
        probe = _delivered(beside.request(acknowledged))[0]
        return beside.sent(attrs.evolve(probe, flags=RETURNED))

    @pytest.mark.parametrize('is_rediscovered', [False, True])
    @pytest.mark.parametrize('packets', [1, 2])
    def test_does_not_deny_the_open_flow(
        self, beside, is_rediscovered, packets
    ) -> None:
        """Guards against denying a flow by an answer for an earlier one.

        Late packets of the earlier flow reach an agent that cannot tell the
        two apart.
        """
        beside.restart()
        if is_rediscovered:
            beside.answer(ACCEPTED + 1, 4)
        for acknowledged in range(77, 77 + packets):
            returned = self._return(beside, acknowledged)
            assert _envelopes(returned, Kind.NOT_CARRIED)
        outgoing = beside.request(ACCEPTED + 5)
        assert _delivered(outgoing)
        assert not _envelopes(outgoing, Kind.NOT_CARRIED)

    def test_is_not_asked_for_twice(self, beside) -> None:
        """Guards against a packet to the server for each of a dead flow."""
        beside.restart()
        self._return(beside, 77)
        outgoing = beside.request(77)
        assert not _delivered(outgoing)
        assert _envelopes(outgoing, Kind.NOT_CARRIED)


class TestTicket:
    """The server returns a packet of the agent's earlier run."""

    def test_does_not_deny_another_flow(self, beside) -> None:
        """Guards against denying the flow that has the ticket now.

        Both runs of the agent have numbered their tickets from the same start.
        """
        beside.restart()
        ticket = _delivered(beside.request(ACCEPTED))[0].ticket
        other = Packet(
            address_of('100.64.0.2', 1),
            SERVICE,
            2,
            77,
            ticket,
            size=4,
            flags=RETURNED,
        )
        assert not _envelopes(beside.sent(other), Kind.NOT_CARRIED)

    def test_does_not_end_an_open_flow(self, beside) -> None:
        """Guards against a reset for a packet that was not known to be its.

        The agent no longer knows the ticket of the returned packet.
        """
        beside.restart()
        beside.answer(ACCEPTED + 1, 4)
        probe = _delivered(beside.request(77))[0]
        beside.network.run(PENDING_SECONDS + 1)
        outgoing = beside.sent(attrs.evolve(probe, flags=RETURNED))
        assert not any(isinstance(one, ToCaller) for one in outgoing)
        assert _delivered(beside.request(ACCEPTED + 5))


class TestDelay:
    """A packet or the agent itself is delayed by a machine that stands still.

    What the agent remembers of the flow has ended, or would have been learned
    meanwhile.
    """

    def test_of_a_packet_does_not_deny_its_flow(self, beside) -> None:
        """Guards against a reset for a request that a balancer has held.

        It was sent within the idle time-out and arrives after it.
        """
        beside.opening()
        beside.accept()
        beside.answer(ACCEPTED + 1, 4)
        beside.network.run(IDLE_TIMEOUT + LATE_PACKET_SECONDS - 1)
        assert _delivered(beside.request(ACCEPTED + 5))

    def test_of_the_agent_does_not_deny_a_flow(self, beside) -> None:
        """Guards against counting the time of a freeze as observation.

        What the server sends meanwhile waits unread, or is dropped.
        """
        beside.restart()
        beside.network.run(KNOWN_AFTER - 5)
        beside.network.now += 6
        assert _delivered(beside.request(ACCEPTED))

    def test_of_the_agent_counts_as_soon_as_it_runs(self, beside) -> None:
        """Guards against forgetting the freeze before a packet is read."""
        beside.restart()
        beside.network.run(KNOWN_AFTER - 5)
        beside.network.now += 6
        beside.node.forwarder.tick(beside.network.now)
        assert _delivered(beside.request(ACCEPTED))

    def test_is_over_after_the_same_time_again(self, beside) -> None:
        """Guards against packets to the server of a dead flow for good."""
        beside.restart()
        beside.network.run(KNOWN_AFTER + 1)
        outgoing = beside.request(ACCEPTED)
        assert not _delivered(outgoing)
        assert _envelopes(outgoing, Kind.NOT_CARRIED)


class TestFullTable:
    """The agent's table has no place left."""

    def test_does_not_deny_evicted_flows(self, beside) -> None:
        """Guards against denying flows that the server still holds."""
        beside.opening()
        beside.accept()
        flows = beside.node.context.flows
        for number in range(MAX_FLOWS):
            flow = FlowId(number)
            envelope = Envelope(Kind.OPENING, b'')
            flows.add(
                CarriedFlow(flow, envelope, FlowState.ACCEPTED, 0),
                beside.network.now,
            )
        assert _delivered(beside.request(ACCEPTED))


class TestSearch:
    """Agents answer a search."""

    def test_answer_to_an_earlier_search_does_not_count(self, beside) -> None:
        """Guards against denying a flow by a late answer on an earlier one.

        The earlier flow had the same port and was searched for before.
        """
        beside.opening()
        beside.accept()
        searched = beside.request(ACCEPTED + RECEIVED, Kind.ONGOING)
        lookup = _envelopes(searched, Kind.LOOKUP)[0]
        late = Packet(CALLER, SERVICE, 2, 77, size=0)
        answer = attrs.evolve(lookup, kind=Kind.NOT_CARRIED, packet=late.pack())
        peer = beside.peer.address
        forwarder = beside.node.forwarder
        now = beside.network.now
        outgoing = forwarder.handle_envelope(answer, peer, now)
        assert not _envelopes(outgoing, Kind.NOT_CARRIED)
        asked = CODEC.head_only(lookup.packet)
        answer = attrs.evolve(answer, packet=asked)
        outgoing = forwarder.handle_envelope(answer, peer, now)
        assert _envelopes(outgoing, Kind.NOT_CARRIED)


class TestLostFlow:
    """The server returns a packet without a ticket."""

    def test_is_not_concluded_from_a_packet_of_another(self, beside) -> None:
        """Guards against forgetting the flow that uses the port now.

        The agent's earlier run had given the packet to a slow server.
        """
        beside.opening()
        beside.accept()
        beside.answer(ACCEPTED + 1, 4)
        other = Packet(CALLER, SERVICE, 2, 77, size=4, flags=RETURNED)
        outgoing = beside.sent(other)
        assert not any(isinstance(one, ToCaller) for one in outgoing)
        assert _delivered(beside.request(ACCEPTED + 5))

    def test_resets_the_caller_of_its_own_packet(self, beside) -> None:
        """Guards against callers that wait although their server denies it."""
        beside.opening()
        beside.accept()
        beside.answer(ACCEPTED + 1, 4)
        own = Packet(CALLER, SERVICE, 2, ACCEPTED + 5, size=4, flags=RETURNED)
        assert any(isinstance(one, ToCaller) for one in beside.sent(own))
