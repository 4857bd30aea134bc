"""Requests to a server that restarts, over a network that loses packets."""

import random

import attrs
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from properties.seeds import seed_of
from redwingstream.flows import effects
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.tests.fakes import FakeServer, request
from redwingstream.flows.upstream import Upstream
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

WAIT = 8.0
CODES = (coap.POST, coap.aiocoap.PUT)


@attrs.frozen
class InFlight:
    """A packet between agent and server."""

    to_server: bool
    packet: bytes
    source: int


@seed(seed_of('upstream.RequestMachine'))
class RequestMachine(RuleBasedStateMachine):
    """Every request ends once, with its own answer or a true outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float()
        limits = UpstreamLimits(sources=2, max_exchanges=6)
        self.upstream = Upstream(random.Random(5), limits)
        self.server = FakeServer()
        self.in_flight: list[InFlight] = []
        self.asked: dict[int, float] = {}
        self.ended: dict[int, effects.Responded | effects.Failed] = {}
        self.numbers: list[int] = []

    @rule(code=st.sampled_from(CODES), seconds=st.floats(0, WAIT))
    def ask(self, code: coap.aiocoap.Code, seconds: float) -> None:
        """Hand a request over; its owner is its payload."""
        owner = len(self.asked)
        asked = request(code, payload=str(owner).encode())
        self.asked[owner] = self.now + seconds
        number, wanted = self.upstream.send_request(
            asked, owner, self.now, self.now + seconds
        )
        if number is not None:
            self.numbers.append(number)
        self.carry_out(wanted)

    @rule(index=st.integers(0, 5))
    def deliver(self, index: int) -> None:
        """Deliver any of the packets on their way."""
        if not self.in_flight:
            return
        flying = self.in_flight.pop(index % len(self.in_flight))
        if flying.to_server:
            for answer in self.server.receive(flying.packet, flying.source):
                self.in_flight.append(InFlight(False, answer, flying.source))
        else:
            self.carry_out(
                self.upstream.receive(flying.packet, self.now, flying.source)
            )

    @rule(index=st.integers(0, 5), lost=st.booleans())
    def lose_or_repeat(self, index: int, lost: bool) -> None:
        """Lose a packet, or put a copy of it on its way."""
        if not self.in_flight:
            return
        flying = self.in_flight.pop(index % len(self.in_flight))
        self.in_flight.extend(() if lost else (flying, flying))

    @rule(seconds=st.floats(0.1, 3))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        due = self.upstream.next_due()
        while due is not None and due <= end:
            self.now = max(self.now, due)
            self.carry_out(self.upstream.poll(self.now))
            due = self.upstream.next_due()
        self.now = end

    @rule(refused=st.booleans())
    def restart_server(self, refused: bool) -> None:
        """Restart the server; nothing is on its way to it any more."""
        self.server.restart()
        self.in_flight = [
            flying for flying in self.in_flight if not flying.to_server
        ]
        if refused:
            self.carry_out(self.upstream.handle_unreachable(self.now))

    @rule()
    def restart_in_the_middle(self) -> None:
        """Let the server run what is on its way, and die before it answers."""
        for flying in self.in_flight:
            if flying.to_server:
                self.server.receive(flying.packet, flying.source)
        self.restart_server(refused=False)

    @rule(index=st.integers(0, 9))
    def cancel(self, index: int) -> None:
        """Give up one of the requests."""
        if self.numbers:
            number = self.numbers[index % len(self.numbers)]
            self.carry_out(self.upstream.cancel(number, self.now))

    @invariant()
    def runs_at_most_once(self) -> None:
        """No non-idempotent request runs twice."""
        assert len(set(self.server.runs)) == len(self.server.runs)

    @invariant()
    def not_run_is_true(self) -> None:
        """What is reported as not run has not run, and never will."""
        for owner, end in self.ended.items():
            if isinstance(end, effects.Failed):
                if end.state is RequestState.NOT_RUN:
                    assert str(owner).encode() not in self.server.runs

    @invariant()
    def ends_by_its_deadline(self) -> None:
        """Nothing is open past its deadline."""
        for owner, deadline in self.asked.items():
            assert owner in self.ended or self.now <= deadline

    def carry_out(self, wanted: list[effects.UpstreamEffect]) -> None:
        """Send packets; keep how each request ended."""
        for effect in wanted:
            match effect:
                case effects.SendToServer(packet, source):
                    self.in_flight.append(InFlight(True, packet, source))
                case effects.Responded(owner, answer):
                    assert owner not in self.ended
                    assert answer.payload == str(owner).encode()
                    self.ended[owner] = effect
                case effects.Failed(owner):
                    assert owner not in self.ended
                    self.ended[owner] = effect


TestRequests = RequestMachine.TestCase
TestRequests.settings = settings(max_examples=300, stateful_step_count=40)
