"""Non-idempotent requests under loss, repetition and changes of view."""

import functools

import pytest

from redwingstream.admission.retry_budget import (
    RETRY_FRACTION,
    RETRY_RESERVE,
)
from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import FakeCaller, SentRequest
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import (
    caller_with_home,
    drop_frames,
    hold_slots,
    settled_pool,
    warm_up,
)
from redwingstream.forwarding.messages import (
    Answer,
    Assigned,
    Packet,
    RunOutcome,
)
from redwingstream.placement.messages import Record, RecordAck
from redwingstream.tables.snapshot import Tables


class TestReplays:
    """A replay gets a true answer at whatever agent it arrives."""

    def test_at_a_fenced_home(self) -> None:
        """A fenced home must not answer *not run* for a request that has run.

        The home runs the request and the answer is lost.  An agent joins,
        becomes home of the bucket and fences the old home, which does not know
        the new view yet.  The replay reaches the old home.
        """
        pool = FakePool(hosts=3, started=2)
        pool.run(3)
        caller = caller_with_home(pool, pool.hosts[-1])
        home, _ = pool.pair(caller)
        endpoint = pool.endpoint_by_host[home]
        drop_frames(pool, Answer)
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        drop_frames(pool, Tables, to=endpoint)
        pool.start(pool.hosts[-1])
        pool.run(1)
        _send_replay(pool, caller, asked, endpoint)
        pool.run(0.4)
        assert asked.outcome == 'answered'
        assert pool.runs(b'bay 7') == 1

    @pytest.mark.parametrize(
        ('lifetime', 'outcome'), [(0.2, 'answered'), (0.008, 'unknown')]
    )
    def test_at_the_heir_of_a_silent_home(
        self, lifetime: float, outcome: str
    ) -> None:
        """An heir must not answer *not run* for a request that has run.

        The home runs the request and crashes; the answer is lost, and in one
        case the outcome does not reach the heir either.  The replay reaches
        the heir while the home is silent.  That only a home may decide on it
        is no reason for the heir to refuse it.
        """
        pool = settled_pool()
        caller = pool.caller()
        home, heir = pool.pair(caller)
        endpoint = pool.endpoint_by_host[heir]
        drop_frames(pool, Answer)
        asked = caller.post(b'bay 7')
        pool.run(lifetime)
        pool.kill(pool.endpoint_by_host[home])
        pool.exchange.inspect = None
        _send_replay(pool, caller, asked, endpoint)
        pool.run(1.2)
        _send_replay(pool, caller, asked, endpoint)
        pool.run(0.2)
        assert asked.outcome != 'not run'
        pool.run(20)
        assert asked.outcome == outcome
        assert pool.runs(b'bay 7') <= 1

    def test_at_a_balancer_without_tables(self) -> None:
        """A balancer without tables must not refuse a request that is running.

        The first packet reaches its home.  The replay goes to a balancer that
        has just started and knows no route yet.
        """
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 3.0
        asked = caller.post(b'bay 7')
        pool.run(1)
        drop_frames(pool, Tables)
        for balancer in pool.balancers:
            pool.start_balancer(balancer)
        pool.run(2)
        pool.exchange.inspect = None
        pool.run(10)
        assert asked.outcome == 'answered'
        assert pool.runs(b'bay 7') == 1

    def test_full_server_while_recovering(self) -> None:
        """A recovering home must not refuse the replay of a request as new.

        The request runs, then home and heir are both lost.  The new home gets
        no contents from that pair, and its server is full when the replay
        arrives.
        """
        pool = settled_pool(hosts=4)
        caller = pool.caller()
        drop_frames(pool, Answer)
        asked = caller.post(b'bay 7')
        pool.run(0.2)
        for host in pool.pair(caller):
            pool.kill(pool.endpoint_by_host[host])
        pool.run(5)
        pool.exchange.inspect = None
        _hold_all_slots(pool)
        pool.run(40)
        assert asked.outcome == 'unknown'
        assert pool.runs(b'bay 7') == 1

    def test_condensed_requests_travel(self) -> None:
        """A request must not run twice after its bucket has moved.

        The ledger has condensed its entry into a filter.  If the new home
        received only the entries, it would take the replay for a new request.
        """
        pool = FakePool(hosts=3, started=2)
        pool.run(3)
        caller = caller_with_home(pool, pool.hosts[-1])
        home, _ = pool.pair(caller)
        parts = pool.agent(home).core.parts
        asked = caller.post(b'bay 7')
        pool.run(1)
        bucket = parts.bucket_of(caller.address, pool.service)
        for host in pool.living():
            ledger = pool.agent(host).core.parts.store.ledger
            entry = ledger.export(bucket, pool.exchange.now)[0]
            ledger.drop(bucket)
            ledger.condensed.ended.add(
                bucket, entry.key, entry.checksum, pool.exchange.now
            )
        pool.start(pool.hosts[-1])
        pool.run(3)
        assert pool.pair(caller)[0] == pool.hosts[-1]
        again = caller.reuse_identifiers(asked, b'bay 7')
        pool.run(3)
        assert again.outcome == 'unknown'
        assert pool.runs(b'bay 7') == 1


class TestReusedIds:
    """A reused message id and token identify another request."""

    def test_at_the_home(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        first = caller.post(b'bay 7')
        pool.run(1)
        second = caller.reuse_identifiers(first, b'bay 8')
        pool.run(1)
        assert second.outcome == 'answered'
        assert pool.runs(b'bay 8') == 1
        assert not caller.wrong_answers

    def test_at_a_carrier(self) -> None:
        """A carrier must not answer a request with an earlier outcome.

        The home assigns a request to another agent.  The caller reuses message
        id and token for a second request, which goes to the same agent; an
        agent that compares only these would repeat the first outcome.
        """
        pool = settled_pool(hosts=2)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        first = caller.post(b'bay 7')
        pool.run(0.4)
        second = caller.reuse_identifiers(first, b'bay 8')
        pool.run(1)
        assert (first.outcome, second.outcome) == ('answered', 'answered')
        assert pool.runs(b'bay 8') == 1
        assert not caller.wrong_answers


class TestLostRecords:
    """A request whose record the heir does not acknowledge is not run."""

    def test_heir_silent(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        drop_frames(pool, RecordAck)
        asked = caller.post(b'bay 7')
        pool.run(6)
        assert asked.outcome == 'not run'
        assert pool.runs(b'bay 7') == 0

    def test_late_ack_starts_nothing(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        pool.exchange.inspect = lambda frame: (
            (8.0,) if isinstance(frame.payload, RecordAck) else None
        )
        asked = caller.post(b'bay 7')
        pool.run(20)
        assert asked.outcome == 'not run'
        assert pool.runs(b'bay 7') == 0

    def test_forwarded_after_a_change_of_view(self) -> None:
        """A request must not be refused because its bucket moves.

        The record waits for the heir when a new view makes another agent
        home.  The request is passed to the new home, which runs it.
        """
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        drop_frames(pool, Record)
        asked = caller.post(b'bay 7')
        pool.run(0.2)
        pool.exchange.inspect = None
        pool.control.mark_draining(home)
        pool.run(1.5)
        assert asked.outcome == 'answered'
        assert pool.runs(b'bay 7') == 1


class TestLedgerFull:
    """A request that does not fit into the ledger is answered as *not run*."""

    def test_refused(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        parts = pool.agent(home).core.parts
        parts.store.ledger.capacity = 0
        asked = caller.post(b'bay 7')
        pool.run(1)
        assert asked.outcome == 'not run'
        assert pool.runs(b'bay 7') == 0


class TestOutcomes:
    """Outcomes reach the present home of the bucket."""

    def test_home_lost_before_the_outcome(self) -> None:
        """A known outcome must not be answered as *unknown*.

        The home assigns a request to another agent and crashes before the
        outcome arrives.  The carrier also has to report it to the new home.
        """
        pool = settled_pool(hosts=3)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        drop_frames(pool, RunOutcome)
        asked = caller.post(b'bay 7')
        pool.run(0.2)
        pool.kill(pool.endpoint_by_host[home])
        pool.exchange.inspect = None
        pool.run(60)
        assert pool.runs(b'bay 7') == 1
        assert asked.outcome == 'answered'


class TestServerLost:
    """The server of the home does not answer, while its agent runs."""

    def test_cold_servers_run_assigned_requests(self) -> None:
        """Requests must not be refused while two of three servers are idle.

        One agent is home of all callers, and its server stops answering.  The
        other servers have run nothing since their start, so they count as
        cold.  If homes assigned nothing to cold servers, these would never
        warm up, and all requests would be refused until the server is back.
        """
        pool = settled_pool()
        home = pool.hosts[0]
        callers = [caller_with_home(pool, home)]
        caller = callers[0]
        warm = caller.post(b'bay 1')
        pool.run(1)
        assert warm.outcome == 'answered'
        pool.server_by_host[home].is_silent = True
        asked = []
        for number in range(40):
            asked.append(caller.post(f'bay {number + 2}'.encode()))
            pool.run(0.5)
        pool.run(20)
        answered = [one for one in asked if one.outcome == 'answered']
        assert len(answered) >= len(asked) / 2
        falls = [server.overloads for server in pool.server_by_host.values()]
        assert not any(falls)


class TestLostCarriers:
    """Agents that crash while they run assigned requests."""

    def test_ended_when_carrier_is_removed(self) -> None:
        """A caller must not wait 20 s for an answer that cannot arrive.

        The home assigns a request to another agent, which crashes.  The home
        ends the request as soon as the control instances have removed that
        agent, not only at the deadline.
        """
        pool = settled_pool(hosts=3)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        for server in pool.server_by_host.values():
            server.run_time = 1.0
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        runs = {
            host: server.runs_by_key[b'bay 7']
            for host, server in pool.server_by_host.items()
        }
        carrier = max(runs, key=runs.__getitem__)
        assert carrier != home
        pool.kill(pool.endpoint_by_host[carrier])
        pool.run(6)
        assert asked.outcome == 'unknown'


class TestRepeats:
    """Repeated assignments stay within the retry budget."""

    def test_within_a_budget(self) -> None:
        """Overloaded agents must not get every assignment four times.

        No assignment gets an outcome.  Three repeats of each, whatever the
        load, would slow the agents down further.
        """
        pool = settled_pool(hosts=2)
        warm_up(pool)
        home, _ = pool.pair(pool.caller())
        sent = []
        pool.exchange.inspect = functools.partial(_lose_assignments, sent)
        for number in range(40):
            hold_slots(pool, home)
            caller_with_home(pool, home).post(str(number).encode())
            pool.run(0.1)
        pool.run(3)
        fresh = len({frame.payload.packet.payload for frame in sent})
        assert fresh > RETRY_RESERVE
        repeats = len(sent) - fresh
        assert 0 < repeats <= RETRY_RESERVE + RETRY_FRACTION * 40


class TestSeveralAtOnce:
    """One caller with several concurrent requests, answered in any order."""

    @pytest.mark.parametrize('delay', [0, 0.3])
    def test_each_gets_its_own(self, delay: float) -> None:
        pool = settled_pool(slots=6)
        warm_up(pool)
        caller = pool.caller()
        turn = iter((delay, 0, delay, 0, delay, 0) * 50)
        pool.exchange.inspect = lambda frame: (
            (next(turn),) if isinstance(frame.payload, Answer) else None
        )
        asked = [caller.post(b'bay %d' % number) for number in range(6)]
        pool.run(20)
        assert {each.outcome for each in asked} <= {'answered', 'not run'}
        assert not caller.wrong_answers


def _hold_all_slots(pool: FakePool) -> None:
    for host in pool.living():
        hold_slots(pool, host)


def _send_replay(
    pool: FakePool, caller: FakeCaller, asked: SentRequest, endpoint: str
) -> None:
    balancer = pool.balancers[0]
    packet = Packet(
        pool='lot-desk',
        revision=1,
        caller=caller.address,
        service=pool.service,
        balancer=balancer,
        payload=asked.packet,
    )
    pool.exchange.send(balancer, endpoint, packet)


def _lose_assignments(sent: list[Frame], frame: Frame) -> tuple[()] | None:
    if isinstance(frame.payload, Assigned):
        sent.append(frame)
        return ()
    return None
