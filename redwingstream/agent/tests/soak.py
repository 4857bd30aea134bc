"""Random faults, several at once, under steady requests and feeds."""

import random
from collections import Counter

import attrs

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import (
    FakeCaller,
    SentRequest,
    WatchedFeed,
)
from redwingstream.agent.tests.fake_server import ServerPacket
from redwingstream.agent.tests.pool import CONTROL, FakePool
from redwingstream.agent.tests.support import warm_up

HOSTS = 5
CALLERS = 6
ROUNDS = 24
LOSS = 0.01
"""Share of frames that are lost."""

REPEATED = 0.01
"""Share of frames that arrive twice."""

DELAYED = 0.02
"""Share of frames that arrive late."""

LONGEST_DELAY = 0.4
SHORTEST_FAULT = 0.3
LONGEST_FAULT = 6.0
RECOVERY_SECONDS = 75
"""Seconds after the last fault in which callers repeat unanswered requests."""


@attrs.define(eq=False)
class Soak:
    """One run under random faults.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    faults_at_once : int
        Maximum count of agents with a fault at the same time.

    Attributes
    ----------
    requests : list of SentRequest
        Requests sent by all callers.
    watched : list of WatchedFeed
        One feed of each caller.
    """

    seed: int
    faults_at_once: int
    pool: FakePool = attrs.field(init=False)
    requests: list[SentRequest] = attrs.Factory(list)
    watched: list[WatchedFeed] = attrs.Factory(list)
    callers: list[FakeCaller] = attrs.Factory(list)
    _faulty: set[str] = attrs.Factory(set)
    _next_balancer_at: float = 0
    _rng: random.Random = attrs.field(init=False)

    def run(self) -> None:
        """Run until every request has its outcome."""
        self._rng = random.Random(self.seed)
        self.pool = FakePool(HOSTS, 3)
        self.pool.run(3)
        warm_up(self.pool)
        self.callers = [self.pool.caller(each + 1) for each in range(CALLERS)]
        self.watched = [caller.watch() for caller in self.callers]
        self.pool.run(2)
        self.pool.exchange.inspect = self._inspect
        for _ in range(ROUNDS):
            self._round()
        self.pool.exchange.inspect = None
        self.pool.run(RECOVERY_SECONDS)

    def violations(self) -> list[str]:
        """Return the guarantees for requests that are broken."""
        found = []
        for request in self.requests:
            runs = self.pool.runs(request.body)
            outcome_and_runs = (request.outcome, runs)
            is_allowed = outcome_and_runs in {
                ('answered', 1),
                ('not run', 0),
                ('unknown', 0),
                ('unknown', 1),
            }
            if not is_allowed:
                found.append(
                    f'{request.body!r}: {request.outcome}, {runs} runs'
                )
        wrong = sum(caller.wrong_answers for caller in self.callers)
        if wrong:
            found.append(f'{wrong} answers to other requests')
        return found

    def silent_feeds(self) -> int:
        """Return the count of feeds that have stopped."""
        now = self.pool.exchange.now
        return sum(
            watched.ended or now - watched.seen_at[-1] > 3
            for watched in self.watched
        )

    def count_outcomes(self) -> Counter[str]:
        """Return the count of requests by outcome."""
        return Counter(request.outcome for request in self.requests)

    def _round(self) -> None:
        rng = self._rng
        for caller in self.callers:
            if rng.random() < 1 / 2:
                body = f'bay {len(self.requests)}'.encode()
                self.requests.append(caller.post(body))
        if rng.random() < 1 / 2:
            self._inject_fault()
        self.pool.run(rng.random() * 2)

    def _inject_fault(self) -> None:
        rng = self._rng
        seconds = rng.uniform(SHORTEST_FAULT, LONGEST_FAULT)
        faults = [
            self._restart_server,
            self._restart_balancer,
            self._kill,
            self._freeze,
            self._cut,
            self._drain,
        ]
        if self.faults_at_once > 1:
            faults.extend((self._take_zone_out, self._lose_control))
        rng.choice(faults)(seconds)

    def _restart_server(self, seconds: float) -> None:
        host = self._rng.choice(self.pool.hosts)
        self.pool.server_by_host[host].restart()

    def _restart_balancer(self, seconds: float) -> None:
        now = self.pool.exchange.now
        if now < self._next_balancer_at:
            return
        # One at a time, as in a rolling replacement.
        self._next_balancer_at = now + seconds + SHORTEST_FAULT
        endpoint = self._rng.choice(self.pool.balancers)
        self.pool.kill(endpoint)
        self.pool.exchange.call_later(
            seconds, lambda: self.pool.start_balancer(endpoint)
        )

    def _kill(self, seconds: float) -> None:
        host = self._choose_host(seconds)
        if host is not None:
            self.pool.kill(self.pool.endpoint_by_host[host])
            self.pool.exchange.call_later(
                seconds, lambda: self.pool.start(host)
            )

    def _freeze(self, seconds: float) -> None:
        host = self._choose_host(seconds)
        if host is not None:
            exchange = self.pool.exchange
            endpoint = self.pool.endpoint_by_host[host]
            exchange.frozen.add(endpoint)
            exchange.call_later(seconds, lambda: exchange.thaw(endpoint))

    def _cut(self, seconds: float) -> None:
        host = self._choose_host(seconds)
        if host is None:
            return
        exchange = self.pool.exchange
        endpoint = self.pool.endpoint_by_host[host]
        others = [
            each
            for each in exchange.process_by_address
            if not each.startswith('server of') and each != endpoint
        ]
        chosen = self._rng.sample(others, self._rng.randint(1, len(others)))
        pairs = {(endpoint, each) for each in chosen}
        if self._rng.random() < 1 / 2:
            pairs |= {(each, endpoint) for each in chosen}
        exchange.cuts |= pairs
        exchange.call_later(
            seconds, lambda: exchange.cuts.difference_update(pairs)
        )

    def _take_zone_out(self, seconds: float) -> None:
        control = self.pool.control
        zone = self._rng.choice(sorted(set(self.pool.zone_by_host.values())))
        control.mark_zone(zone, is_out=True)
        self.pool.exchange.call_later(
            seconds, lambda: control.mark_zone(zone, is_out=False)
        )

    def _lose_control(self, seconds: float) -> None:
        self.pool.kill(CONTROL)
        self.pool.exchange.call_later(seconds, self.pool.control.restart)

    def _drain(self, seconds: float) -> None:
        host = self._choose_host(seconds)
        control = self.pool.control
        if host not in control.tables.member_by_host:
            return
        control.mark_draining(host)
        self.pool.exchange.call_later(
            seconds, lambda: control.mark_draining(host, is_draining=False)
        )

    def _choose_host(self, seconds: float) -> str | None:
        if len(self._faulty) >= self.faults_at_once:
            return None
        host = self._rng.choice(sorted(set(self.pool.hosts) - self._faulty))
        self._faulty.add(host)
        # The host can get a fault again once control has noticed this one
        # and the view is settled.
        healed_at = seconds + LONGEST_FAULT
        self.pool.exchange.call_later(
            healed_at, lambda: self._faulty.discard(host)
        )
        return host

    def _inspect(self, frame: Frame) -> tuple[float, ...] | None:
        if isinstance(frame.payload, ServerPacket):
            return None
        drawn = self._rng.random()
        if drawn < LOSS:
            return ()
        if drawn < LOSS + REPEATED:
            return (0, self._rng.random() * LONGEST_DELAY)
        if drawn < LOSS + REPEATED + DELAYED:
            return (self._rng.random() * LONGEST_DELAY,)
        return None
