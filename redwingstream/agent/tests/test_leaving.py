"""An agent that leaves, and a zone that is taken out of service."""

import pytest

from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import (
    caller_with_home,
    carriers,
    drop_frames,
    hold_slots,
    settled_pool,
    warm_up,
)
from redwingstream.forwarding.messages import RunOutcome
from redwingstream.tables.snapshot import Tables


class TestLeaving:
    """A graceful stop."""

    def test_no_new_work(self) -> None:
        pool = settled_pool()
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        server = pool.server_by_host[home]
        pool.agent(home).core.leave()
        request = caller.post(b'bay 7')
        pool.run(1)
        assert request.outcome == 'answered'
        assert not server.runs_by_key

    def test_running_request_finishes(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 4.0
        request = caller.post(b'bay 7')
        pool.run(0.5)
        pool.leave(home)
        pool.run(2)
        assert not pool.agent(home).runner.has_left(pool.control.tables)
        pool.run(4)
        assert request.outcome == 'answered'
        assert pool.agent(home).runner.has_left(pool.control.tables)

    def test_waits_for_outcomes_elsewhere(self) -> None:
        """A leaving home waits for requests that other agents run for it.

        If it does not count them, its process ends before the outcome arrives
        and the caller gets no answer to a request that has run.
        """
        pool = settled_pool(hosts=2)
        warm_up(pool)
        caller = pool.caller()
        home, heir = pool.pair(caller)
        pool.server_by_host[heir].run_time = 3.0
        hold_slots(pool, home)
        request = caller.post(b'bay 7')
        pool.run(0.5)
        assert pool.runs(b'bay 7') == 1
        core = pool.agent(home).core
        core.leave()
        assert not core.is_idle()
        pool.run(6)
        assert request.outcome == 'answered'

    def test_given_up_at_the_deadline(self) -> None:
        """Unfinished requests are cancelled and answered as *unknown*."""
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 30.0
        request = caller.post(b'bay 7')
        pool.run(0.5)
        pool.leave(home)
        pool.run(2)
        pool.agent(home).runner.end_unfinished(pool.exchange.now)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(0.1)
        assert request.outcome == 'unknown'

    def test_unrecorded_at_the_deadline(self) -> None:
        pool = settled_pool(hosts=2)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        drop_frames(pool, RunOutcome)
        request = caller.post(b'bay 7')
        pool.run(0.5)
        pool.agent(home).runner.end_unfinished(pool.exchange.now)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(0.1)
        assert request.outcome == 'unknown'

    def test_draining_mark_removed(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.control.mark_draining(home)
        pool.run(2)
        pool.control.mark_draining(home, is_draining=False)
        pool.run(2)
        request = caller.post(b'bay 7')
        pool.run(1)
        assert request.outcome == 'answered'
        assert pool.server_by_host[home].runs_by_key[b'bay 7'] == 1


class TestReadmission:
    """A process that control has removed and admits again."""

    def test_serves_again(self) -> None:
        """An agent serves again after a pause longer than its lease.

        Control removes the frozen agent and admits it under a new incarnation
        when it runs again.  A core that keeps the former incarnation is home
        of no bucket, and packets to it are lost.
        """
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        endpoint = pool.endpoint_by_host[home]
        pool.exchange.frozen.add(endpoint)
        pool.run(6)
        pool.exchange.thaw(endpoint)
        pool.run(3)
        assert pool.pair(caller)[0] == home
        request = caller.post(b'bay 7')
        pool.run(1)
        assert request.outcome == 'answered'
        assert pool.server_by_host[home].runs_by_key[b'bay 7'] == 1


class TestZoneOut:
    """Operators take an availability zone out of service."""

    @pytest.mark.parametrize('is_cut', [False, True])
    def test_feeds_are_given_up(self, is_cut: bool) -> None:
        """Feeds in a zone that is out of service are ended.

        The carrier may be cut off from control and not know that its zone is
        out.  The home tells the caller, and the carrier stops serving.
        """
        pool = settled_pool()
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        watched = caller.watch()
        pool.run(2)
        host = carriers(pool)[0]
        assert host != home
        if is_cut:
            drop_frames(pool, Tables, to=pool.endpoint_by_host[host])
        pool.control.mark_zone(pool.zone_by_host[host], is_out=True)
        pool.run(2)
        assert watched.ended
        assert not carriers(pool)

    def test_no_work_in_the_zone(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.control.mark_zone(pool.zone_by_host[home], is_out=True)
        pool.run(1)
        requests = [caller.post(b'bay %d' % number) for number in range(3)]
        pool.run(8)
        assert not pool.server_by_host[home].runs_by_key
        assert {each.outcome for each in requests} <= {'answered', 'not run'}

    def test_running_request_is_cancelled(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 30.0
        request = caller.post(b'bay 7')
        pool.run(0.5)
        pool.control.mark_zone(pool.zone_by_host[home], is_out=True)
        pool.run(3)
        assert request.outcome == 'unknown'


class TestBlocks:
    """Answers in several blocks (RFC 7959)."""

    def test_go_on_while_the_agent_leaves(self) -> None:
        """A leaving agent serves later blocks of a started answer.

        Each block is a request of its own.  An agent that refuses the next one
        as new work interrupts the transfer.
        """
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        first = caller.get_block(b'report', 0)
        pool.run(0.5)
        pool.leave(home)
        later = caller.get_block(b'report', 1)
        pool.run(0.3)
        assert (first.outcome, later.outcome) == ('answered', 'answered')

    def test_go_on_at_the_same_server_after_a_move(self) -> None:
        pool = FakePool(hosts=3, started=2)
        pool.run(3)
        caller = caller_with_home(pool, pool.hosts[-1])
        home, _ = pool.pair(caller)
        caller.get_block(b'report', 0)
        pool.run(0.5)
        pool.start(pool.hosts[-1])
        pool.run(2)
        assert pool.pair(caller)[0] == pool.hosts[-1]
        before = pool.server_by_host[home].received
        request = caller.get_block(b'report', 1)
        pool.run(0.5)
        assert request.outcome == 'answered'
        assert pool.server_by_host[home].received == before + 1
