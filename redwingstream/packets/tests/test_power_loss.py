"""All servers come back cold, and callers try again as soon as refused.

After a loss of power each server may be given a few new flows a second for two
seconds, and callers ask for more.  A caller that is refused has used up its
three tries within milliseconds.  Some of the requests are answered late: they
must neither take the places of others nor delay those that come when the
servers are warm.
"""

import random

import attrs
import pytest

from redwingstream.packets.tests.codec import RESET, Packet
from redwingstream.packets.tests.network import SERVICE, Caller, Network

SERVERS = 7
RUN = 0.035
RATE = 12.0  # requests a second and server
COLD_FOR = 2.0
TIMEOUT = 3.0
TARGET = 0.45
MAX_TRIES = 3
DURATION = 4.0
RETURN_DELAY = 0.001
FIRST_PORT = 1000


@attrs.define
class _Request:
    """A request of a caller that tries again."""

    asked_at: float
    tries: int = 0
    answered_at: float | None = None

    @property
    def waited(self) -> float:
        """Seconds until the answer; infinite without one."""
        if self.answered_at is None:
            return float('inf')
        return self.answered_at - self.asked_at


class _Try(Caller):
    """One flow of a request."""

    def __init__(self, pool: '_ColdPool', request: _Request) -> None:
        super().__init__(pool.network, '100.64.0.1', pool.next_port())
        self._pool = pool
        self._request = request

    def handle_packet(self, packet: Packet) -> None:
        """Handle a packet; try again after a reset."""
        super().handle_packet(packet)
        if packet.flags & RESET:
            self._pool.try_again(self._request)
        elif packet.size:
            self._request.answered_at = self.network.now


class _ColdPool:
    """A pool after a loss of power, and the requests of the next seconds."""

    def __init__(self, seed: int) -> None:
        self.network = Network()
        self.requests: list[_Request] = []
        self._rng = random.Random(seed)
        self._port = FIRST_PORT
        for number in range(SERVERS):
            agent = self.network.add_agent(f'10.1.0.{number + 1}')
            agent.server.slots = 1
            agent.server.run_seconds = RUN
            agent.context.timeout_by_service = {SERVICE: TIMEOUT}
            agent.context.target_by_service = {SERVICE: TARGET}
            agent.report(cold_for=COLD_FOR)
        self._balancer = self.network.add_balancer('10.1.0.100')

    def run(self) -> None:
        """Ask for requests in random steps and wait for the answers."""
        while self.network.now < DURATION:
            request = _Request(self.network.now)
            self.requests.append(request)
            self._try(request)
            self.network.run(self._rng.expovariate(RATE * SERVERS))
        self.network.run(TIMEOUT)

    def try_again(self, request: _Request) -> None:
        """Open another flow unless the caller has given up."""
        is_over = self.network.now - request.asked_at > TIMEOUT
        if request.tries < MAX_TRIES and not is_over:
            self.network.call_later(RETURN_DELAY, lambda: self._try(request))

    def next_port(self) -> int:
        """Return a port that no flow has used."""
        self._port += 1
        return self._port

    def asked_within(self, begin: float, end: float) -> list[_Request]:
        """Return the requests asked within a span of time."""
        return [one for one in self.requests if begin <= one.asked_at < end]

    def _try(self, request: _Request) -> None:
        request.tries += 1
        _Try(self, request).open(self._balancer)


@pytest.fixture(params=range(4))
def pool(request) -> _ColdPool:
    created = _ColdPool(request.param)
    created.run()
    return created


class TestColdPool:
    """Callers are served as well as the cold servers allow."""

    def test_everybody_is_answered_before_the_time_out(self, pool) -> None:
        """Guards against callers that use up their tries on refusals."""
        assert max(one.waited for one in pool.requests) <= TIMEOUT

    def test_places_go_to_those_who_can_be_answered_in_time(self, pool) -> None:
        """Guards against places for flows whose answers come too late."""
        cold = [
            one
            for one in pool.requests
            if one.answered_at is not None and one.answered_at < COLD_FOR
        ]
        assert len(cold) >= SERVERS * 5
        assert max(one.waited for one in cold) <= TARGET

    def test_warm_servers_answer_new_callers_in_time(self, pool) -> None:
        """Guards against a queue of late flows ahead of new ones."""
        warm = pool.asked_within(COLD_FOR, DURATION)
        assert max(one.waited for one in warm) <= TARGET
