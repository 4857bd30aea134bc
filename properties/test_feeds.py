"""Feeds over lost, repeated and reordered packets, moves and restarts."""

import random

import attrs
from aiocoap.message import Message
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from properties.seeds import seed_of
from redwingstream.flows.effects import FRESH_SOURCE, FeedClosed
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.observe import COUNTER_LIMIT, FRESH_AFTER
from redwingstream.flows.table import FlowTable
from redwingstream.flows.tests.fakes import (
    CALLER,
    KEY,
    REGISTRATION,
    SERVICE,
    TOKEN,
    FakeAgent,
    FakeCaller,
    FakeServer,
    record,
)
from redwingstream.forwarding.messages import FeedMoved
from redwingstream.wire import coap

HOSTS = ('carse-1', 'strathmore-1', 'fife-1')
BALANCERS = ('b1', 'b2', 'b3', 'b4')
BUCKET = 5
MAX_DELAY = 0.5
MAX_REFRESH = 90
MAX_LOSSES = 4
"""One less than the copies of a notification: a feed must survive them."""


@attrs.frozen
class InFlight:
    """A packet on its way; host is empty between balancer and caller."""

    kind: str
    host: str
    packet: bytes
    through: str | int
    sent: float


def may_lose(machine: 'FeedMachine') -> bool:
    """Whether one more packet may be lost."""
    return machine.losses < MAX_LOSSES and bool(machine.in_flight)


@seed(seed_of('feeds.FeedMachine'))
class FeedMachine(RuleBasedStateMachine):
    """One caller's feed, three servers that may carry it, four balancers."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float()
        self.rng = random.Random(7)
        self.caller = FakeCaller()
        self.home = FlowTable(capacity=10, idle_timeout=60)
        self.servers = {host: FakeServer() for host in HOSTS}
        limits = UpstreamLimits(sources=2)
        self.agents = {host: FakeAgent(host, limits) for host in HOSTS}
        self.reading = 1
        self.losses = 0
        self.silent: set[str] = set()
        self.in_flight: list[InFlight] = []

    @initialize()
    def establish(self) -> None:
        """Open the feed; all balancers have been heard of."""
        for agent in self.agents.values():
            agent.paths.set_members(BALANCERS, self.now)
        self.home.put(BUCKET, record(HOSTS[0]), self.now)
        self.register()
        self.settle()
        assert self.caller.shown

    @rule(index=st.integers(0, 30))
    def deliver_out_of_order(self, index: int) -> None:
        """Deliver any of the packets on their way."""
        if self.in_flight:
            self.deliver(self.in_flight.pop(index % len(self.in_flight)))

    @rule(index=st.integers(0, 30))
    def duplicate(self, index: int) -> None:
        """Deliver a packet and leave a copy on its way."""
        if self.in_flight:
            self.deliver(self.in_flight[index % len(self.in_flight)])

    @precondition(may_lose)
    @rule(index=st.integers(0, 30))
    def lose(self, index: int) -> None:
        """Lose any of the packets on their way."""
        self.losses += 1
        self.in_flight.pop(index % len(self.in_flight))

    @rule(seconds=st.floats(0.01, 4))
    def advance(self, seconds: float) -> None:
        """Let time pass; no packet is later than half a second."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + MAX_DELAY / 2)
            self.deliver_older_than(self.now - MAX_DELAY)
            for agent in self.agents.values():
                agent.poll(self.now)
            self.collect()

    @rule()
    def deliver_newest(self) -> None:
        """Deliver the packet that was sent last."""
        if self.in_flight:
            self.deliver(self.in_flight.pop())

    @rule(times=st.integers(1, 3))
    def publish(self, times: int = 1) -> None:
        """Let every server have new readings."""
        for _ in range(times):
            self.reading += 1
            for host, server in self.servers.items():
                for packet, source in server.publish(self.reading):
                    self.put('from server', host, packet, source)

    @rule(host=st.sampled_from(HOSTS))
    def restart_server(self, host: str) -> None:
        """Restart a server without a word."""
        self.servers[host].restart()

    @rule(host=st.sampled_from(HOSTS))
    def restart_refused(self, host: str) -> None:
        """Restart a server; its agent gets an ICMP error."""
        self.servers[host].restart()
        agent = self.agents[host]
        agent.carry_out(agent.upstream.handle_unreachable(self.now), self.now)
        self.collect()

    @rule(silent=st.sets(st.sampled_from(BALANCERS), max_size=2))
    def silence_balancers(self, silent: set[str]) -> None:
        """Lose what agents send through some balancers."""
        self.silent = silent

    @rule(host=st.sampled_from(HOSTS))
    def move(self, host: str) -> None:
        """Move the feed; the former carrier may hear of it much later."""
        former = self.agents[self.carrier()]
        handover = former.carrier.handover(KEY)
        if handover is None or host == former.host:
            return
        generation = self.home.next_generation(KEY)
        moved = record(host, generation)
        assert self.home.put(BUCKET, moved, self.now)
        agent = self.agents[host]
        taken = agent.carrier.take_over(moved, handover.observe, self.now)
        agent.carry_out(taken, self.now)
        self.collect()
        self.put('moved', former.host, b'', generation)

    @rule()
    def register(self) -> None:
        """Let the caller register, for the first time or again."""
        host = self.carrier()
        packet = coap.decode(REGISTRATION)
        agent = self.agents[host]
        known = self.home.record_for(CALLER, SERVICE, TOKEN, self.now)
        asked = agent.carrier.register(known, packet, 'b1', self.now)
        agent.carry_out(asked, self.now)
        self.collect()

    @invariant()
    def no_state_goes_back(self) -> None:
        """Within a generation the caller never sees an older reading."""
        shown = self.caller.shown
        for (number, reading), (later, newer) in zip(shown, shown[1:]):
            if number // COUNTER_LIMIT == later // COUNTER_LIMIT:
                assert reading <= newer

    @invariant()
    def feed_is_open(self) -> None:
        """No fault within the bounds ends the feed."""
        assert not self.caller.final
        assert len(self.home) == 1

    def teardown(self) -> None:
        """Let faults end: the newest reading reaches the caller."""
        self.silent = set()
        self.settle()
        self.advance(FRESH_AFTER + MAX_REFRESH)
        self.publish()
        self.settle()
        assert self.caller.shown[-1][1] == self.reading
        carried = [host for host in HOSTS if len(self.agents[host].carrier)]
        assert carried == [self.carrier()]

    def carrier(self) -> str:
        """Return the host that the home knows as the feed's carrier."""
        known = self.home.record_for(CALLER, SERVICE, TOKEN, self.now)
        assert known is not None
        return known.carrier

    def settle(self) -> None:
        """Deliver all that is on its way."""
        while self.in_flight:
            self.deliver(self.in_flight.pop(0))

    def deliver_older_than(self, limit: float) -> None:
        """Deliver what has been on its way for too long."""
        late = [flying for flying in self.in_flight if flying.sent < limit]
        for flying in late:
            self.in_flight.remove(flying)
            self.deliver(flying)

    def deliver(self, flying: InFlight) -> None:
        """Hand a packet to its receiver."""
        match flying:
            case InFlight(kind='to server'):
                server = self.servers[flying.host]
                for answer in server.receive(flying.packet, flying.through):
                    self.put('from server', flying.host, answer, flying.through)
            case InFlight(kind='from server'):
                agent = self.agents[flying.host]
                taken = agent.upstream.receive(
                    flying.packet, self.now, int(flying.through)
                )
                agent.carry_out(taken, self.now)
            case InFlight(kind='to caller'):
                self.to_caller(flying)
            case InFlight(kind='from caller'):
                self.from_caller(coap.decode(flying.packet))
            case InFlight(kind='moved'):
                agent = self.agents[flying.host]
                let_go = agent.carrier.handle_moved(
                    FeedMoved(KEY, int(flying.through))
                )
                agent.carry_out(let_go, self.now)
        self.collect()

    def to_caller(self, flying: InFlight) -> None:
        """Hand a packet to the caller, unless its balancer is silent."""
        if flying.through in self.silent:
            return
        ack = self.caller.receive(flying.packet, self.now)
        if ack is not None:
            self.put('from caller', '', ack, self.rng.choice(BALANCERS))

    def from_caller(self, ack: Message) -> None:
        """Hand an ACK to the carriers that the home knows."""
        for host in self.home.feed_carriers(CALLER, SERVICE):
            agent = self.agents[host]
            taken = agent.carrier.handle_reply(CALLER, SERVICE, ack, self.now)
            agent.carry_out(taken, self.now)

    def collect(self) -> None:
        """Put what the agents send on its way."""
        for host, agent in self.agents.items():
            for sent in agent.to_server:
                assert sent.source != FRESH_SOURCE or sent.packet
                self.put('to server', host, sent.packet, sent.source)
            for given in agent.to_caller:
                self.put('to caller', host, given.payload, given.balancer)
            for said in agent.to_home:
                assert isinstance(said, FeedClosed)
                self.home.put(BUCKET, said.record, self.now)
            agent.to_server.clear()
            agent.to_caller.clear()
            agent.to_home.clear()

    def put(
        self, kind: str, host: str, packet: bytes, through: str | int
    ) -> None:
        """Put one packet on its way."""
        self.in_flight.append(InFlight(kind, host, packet, through, self.now))


TestFeeds = FeedMachine.TestCase
TestFeeds.settings = settings(max_examples=200, stateful_step_count=40)
