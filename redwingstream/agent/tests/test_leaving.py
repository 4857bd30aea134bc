"""An agent that leaves, and a zone that is taken out."""

import pytest

from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import (
    caller_with_home,
    carriers,
    hold_slots,
    drop_frames,
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
        asked = caller.post(b'bay 7')
        pool.run(1)
        assert asked.outcome == 'answered'
        assert not server.runs_by_key

    def test_running_request_finishes(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 4.0
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        pool.leave(home)
        pool.run(2)
        assert not pool.agent(home).runner.has_left(pool.control.tables)
        pool.run(4)
        assert asked.outcome == 'answered'
        assert pool.agent(home).runner.has_left(pool.control.tables)

    def test_waits_for_outcomes_elsewhere(self) -> None:
        """A caller never hears of a booking that has run.

        The home has another agent run it and leaves.  It did not count what
        others run for it, and its process ended before the outcome came.
        """
        pool = settled_pool(hosts=2)
        warm_up(pool)
        caller = pool.caller()
        home, heir = pool.pair(caller)
        pool.server_by_host[heir].run_time = 3.0
        hold_slots(pool, home)
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        assert pool.runs(b'bay 7') == 1
        core = pool.agent(home).core
        core.leave()
        assert not core.is_idle()
        pool.run(6)
        assert asked.outcome == 'answered'

    def test_given_up_at_the_deadline(self) -> None:
        """What has not finished by then is cancelled and told *unknown*."""
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 30.0
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        pool.leave(home)
        pool.run(2)
        pool.agent(home).runner.give_up(pool.exchange.now)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(0.1)
        assert asked.outcome == 'unknown'

    def test_unrecorded_at_the_deadline(self) -> None:
        pool = settled_pool(hosts=2)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        drop_frames(pool, RunOutcome)
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        pool.agent(home).runner.give_up(pool.exchange.now)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(0.1)
        assert asked.outcome == 'unknown'

    def test_mark_taken_back(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.control.mark_draining(home)
        pool.run(2)
        pool.control.mark_draining(home, is_draining=False)
        pool.run(2)
        asked = caller.post(b'bay 7')
        pool.run(1)
        assert asked.outcome == 'answered'
        assert pool.server_by_host[home].runs_by_key[b'bay 7'] == 1


class TestReadmission:
    """A process that control has removed and admits anew."""

    def test_serves_again(self) -> None:
        """A host takes no work any more after a long pause of its agent.

        Control removes the frozen agent and admits it under a new incarnation
        when it runs again.  Its core kept the former one: it was home of
        nothing, and packets to it went nowhere.
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
        asked = caller.post(b'bay 7')
        pool.run(1)
        assert asked.outcome == 'answered'
        assert pool.server_by_host[home].runs_by_key[b'bay 7'] == 1


class TestZoneOut:
    """Operators take an availability zone out."""

    @pytest.mark.parametrize('is_cut', [False, True])
    def test_feeds_are_given_up(self, is_cut: bool) -> None:
        """A driver watches a board that stands still in a zone out.

        The agent that carries it may be cut off from control and not know of
        the mark.  Its home tells the caller, and the agent lets go.
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
        asked = [caller.post(b'bay %d' % number) for number in range(3)]
        pool.run(8)
        assert not pool.server_by_host[home].runs_by_key
        assert {each.outcome for each in asked} <= {'answered', 'not run'}

    def test_running_request_is_cancelled(self) -> None:
        pool = settled_pool()
        caller = pool.caller()
        home, _ = pool.pair(caller)
        pool.server_by_host[home].run_time = 30.0
        asked = caller.post(b'bay 7')
        pool.run(0.5)
        pool.control.mark_zone(pool.zone_by_host[home], is_out=True)
        pool.run(3)
        assert asked.outcome == 'unknown'


class TestBlocks:
    """Answers in several blocks (RFC 7959)."""

    def test_go_on_while_the_agent_leaves(self) -> None:
        """A report breaks off in the middle because its agent leaves.

        Each block is a request of its own, and the leaving agent refused the
        next one as new work.
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
        before = pool.server_by_host[home].taken
        asked = caller.get_block(b'report', 1)
        pool.run(0.5)
        assert asked.outcome == 'answered'
        assert pool.server_by_host[home].taken == before + 1
