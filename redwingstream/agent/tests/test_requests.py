"""Requests that are lost, repeated, or meet a change of view."""

import functools

import pytest

from redwingstream.admission.retry_budget import (
    RETRY_FRACTION,
    RETRY_RESERVE,
)
from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import SentRequest, FakeCaller
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import (
    caller_with_home,
    hold_slots,
    drop_frames,
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
    """A replay gets the truth, wherever it arrives."""

    def test_at_a_fenced_home(self) -> None:
        """The caller is told *not run* of a booking that has run.

        The home runs it and the answer is lost.  An agent joins, is home of
        the bucket now and fences the old home, which has not heard of the new
        view.  The replay reaches the old home, which refused it.
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
    def test_at_a_heir_that_stands_in(
        self, lifetime: float, outcome: str
    ) -> None:
        """The caller is told *not run* of a booking that has run.

        The home runs it and dies; its answer is lost, perhaps also what it
        tells the heir.  The heir finds the home silent and refused the replay,
        because only a home may decide on it.
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
        """The caller is told *not run* of a booking that is running.

        The first packet reached its home.  The replay goes to a balancer that
        has just started and has no tables: it knew no route and said so.
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

    def test_no_place_while_recovering(self) -> None:
        """The caller is told *not run* of a booking that has run.

        Home and heir run it and are lost.  The new home hears nobody of that
        pair, and the replay finds its server full: it was refused as new.
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
        """A booking runs twice after its bucket has moved.

        The ledger has condensed its entry into a filter.  The new home is
        given the entries only, and takes the replay for a new request.
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
    """A message id or token used again names another request."""

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
        """The caller gets the answer to its former booking.

        The home has another agent run the booking.  The caller uses message
        id and token again for another one, which goes to the same agent; it
        knew assignments by those alone and repeated the former outcome.
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
    """What the heir does not acknowledge is not run."""

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

    def test_handed_on_after_a_fence(self) -> None:
        """A booking is refused because its bucket changes hands.

        The record waits for the heir when a new view makes another agent
        home.  It was given up as *not run*; the new home can run it.
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
    """A ledger without room refuses, and says so truthfully."""

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
    """Outcomes find whoever is home."""

    def test_home_lost_before_the_outcome(self) -> None:
        """A booking that was run is told *unknown*, although it is known.

        The home has another agent run it and dies before the outcome comes.
        The carrier told the dead home only.
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
    """The server of the home gives no answer; its agent lives."""

    def test_others_run_what_is_home_there_though_they_are_cold(self) -> None:
        """All bookings are refused while two of three servers stand idle.

        Few callers, and one agent is home of them all.  Its server dies.  The
        other servers have had nothing to run since their start, so they count
        as cold, and cold ones are given nothing by other homes: they never
        warm up, and the bookings are refused until the server is back.
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
    """Agents that die with what they were assigned."""

    def test_told_once_control_knows(self) -> None:
        """A caller waits 20 s for an answer that cannot come.

        The home has another agent run its booking, and that agent dies.  The
        home waited until the deadline, although control had removed the agent.
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
    """What the system repeats on its own account."""

    def test_within_a_budget(self) -> None:
        """Agents that are late get each request four times, and are later.

        Assignments to another agent stay without an outcome; each was
        repeated three times, whatever the load.
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
    """One caller with several requests, answered in any order."""

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
