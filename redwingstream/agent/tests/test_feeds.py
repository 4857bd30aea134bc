"""Feeds whose carriers leave, die, are cut off, or lose their server."""

import functools

import pytest

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import FakeCaller, Watched
from redwingstream.agent.tests.fake_server import ServerPacket
from redwingstream.agent.tests.pool import CONTROL, FakePool
from redwingstream.agent.tests.support import (
    carriers,
    hold_slots,
    drop_frames,
    settled_pool,
    warm_up,
)
from redwingstream.forwarding.messages import FeedMove, Packet, TakeFeed
from redwingstream.wire import coap

GAP = 1.5


def feed_elsewhere(pool: FakePool) -> tuple[FakeCaller, Watched]:
    """Return a feed that another agent than its home carries."""
    warm_up(pool)
    caller = pool.caller()
    home, _ = pool.pair(caller)
    hold_slots(pool, home)
    watched = caller.watch()
    pool.run(2)
    assert carriers(pool) != [home]
    return caller, watched


def registration_of(
    pool: FakePool, caller: FakeCaller, watched: Watched
) -> Packet:
    """Return the registration of a feed as a balancer sends it."""
    return Packet(
        pool='lot-desk',
        revision=1,
        caller=caller.address,
        service=pool.service,
        balancer=pool.balancers[0],
        payload=watched.request.packet,
    )


def cut_off(pool: FakePool, endpoint: str) -> set[tuple[str, str]]:
    """Cut an agent off from all but its server."""
    others = [
        each
        for each in pool.exchange.process_by_address
        if not each.startswith('server of') and each != endpoint
    ]
    cuts = {(endpoint, each) for each in others}
    cuts |= {(each, endpoint) for each in others}
    pool.exchange.cuts |= cuts
    return cuts


class TestSilentCarrier:
    """A carrier that dies without a word."""

    def test_replaced_without_control(self) -> None:
        """A lot board stands still for as long as control is gone.

        All control instances are gone when the board's carrier dies.  It stays
        in the tables, so its home saw no reason to place the board elsewhere.
        """
        pool = settled_pool(hosts=3)
        _, watched = feed_elsewhere(pool)
        pool.kill(CONTROL)
        for host in carriers(pool):
            pool.kill(pool.endpoint_by_host[host])
        pool.run(12)
        assert watched.longest_gap(pool.exchange.now) < 6
        assert not watched.ended

    def test_plain_requests_go_elsewhere(self) -> None:
        """An adviser's pages stay away until the lease of a dead host ends.

        A flow was placed at another agent, which dies.  The home passed each
        request to it until control removed it, and for ever without control.
        """
        pool = settled_pool(hosts=3)
        warm_up(pool)
        caller = pool.caller()
        home, _ = pool.pair(caller)
        hold_slots(pool, home)
        first = caller.get(b'map')
        pool.run(0.2)
        assert first.outcome == 'answered'
        pool.kill(CONTROL)
        record = _placement(pool, caller, home)
        pool.kill(pool.endpoint_by_host[record.partition('#')[0]])
        asked = caller.get(b'map 2')
        pool.run(10)
        assert asked.outcome != 'none'

    def test_cut_off_carrier_lets_go(self) -> None:
        """A board jumps back to old counts minutes after a short cut.

        Its carrier is cut off, the board is placed elsewhere, and the carrier
        comes back as it was and goes on sending.  After 128 s without other
        notifications a caller takes what it sends for newer (RFC 7641).
        """
        pool = settled_pool(hosts=3)
        _, watched = feed_elsewhere(pool)
        pool.kill(CONTROL)
        former = carriers(pool)
        cuts = cut_off(pool, pool.endpoint_by_host[former[0]])
        pool.run(6)
        pool.exchange.cuts -= cuts
        pool.run(25)
        assert len(carriers(pool)) == 1
        assert carriers(pool) != former
        assert not watched.ended
        assert watched.longest_gap(pool.exchange.now) < 6


class TestLostHome:
    """A home that dies while another agent carries the feed."""

    def test_acks_through_the_heir(self) -> None:
        """A board ends half a minute after control and one host are lost.

        The carrier's notifications reach the caller, but its ACKs go by the
        dead home.  The heir passed them on to the home as well.
        """
        pool = settled_pool(hosts=3)
        caller, watched = feed_elsewhere(pool)
        home, _ = pool.pair(caller)
        pool.kill(CONTROL)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(45)
        assert not watched.ended
        assert watched.longest_gap(pool.exchange.now) < 8

    def test_known_registration_through_the_heir(self) -> None:
        """A planner's feed ends because it registered again.

        The home is dead and control has not replaced it.  The caller repeats
        its registration, the heir stands in and refused it with 5.03.
        """
        pool = settled_pool(hosts=3)
        caller, watched = feed_elsewhere(pool)
        home, heir = pool.pair(caller)
        pool.kill(CONTROL)
        pool.kill(pool.endpoint_by_host[home])
        caller.get(b'map')
        pool.run(2)
        for _ in range(3):
            pool.exchange.send(
                pool.balancers[0],
                pool.endpoint_by_host[heir],
                registration_of(pool, caller, watched),
            )
            pool.run(2)
        assert not watched.ended

    def test_registration_while_nobody_has_room(self) -> None:
        """A board ends because its caller registered again at a bad moment.

        Its carrier and control have just died, and the server beside the home
        is full.  The home took the registration for a new feed and refused it
        with 5.03.
        """
        pool = settled_pool(hosts=2)
        caller, watched = feed_elsewhere(pool)
        home, _ = pool.pair(caller)
        pool.kill(CONTROL)
        for host in carriers(pool):
            pool.kill(pool.endpoint_by_host[host])
        for _ in range(40):
            pool.exchange.send(
                pool.balancers[0],
                pool.endpoint_by_host[home],
                registration_of(pool, caller, watched),
            )
            pool.run(0.1)
        pool.run(10)
        assert not watched.ended
        assert carriers(pool)


class TestReturnPaths:
    """The way back to a caller that sends nothing."""

    def test_all_balancers_replaced(self) -> None:
        """A driver's board stops once the last of the old balancers is gone.

        All balancers are replaced while no packet of a caller arrives.  The
        agent had heard from none of the new ones, and sent to the old ones.
        """
        pool = settled_pool()
        caller = pool.caller()
        watched = caller.watch()
        pool.run(2)
        pool.replace_balancers()
        pool.run(10)
        assert watched.longest_gap(pool.exchange.now) < 4


class TestMoves:
    """Feeds that change their carrier on purpose."""

    def test_no_gap_while_the_server_is_slow(self) -> None:
        """A board pauses when its agent leaves.

        The former carrier let go as soon as the new one had the word, before
        the new server had sent anything.
        """
        pool = settled_pool(hosts=3)
        caller = pool.caller()
        watched = caller.watch()
        pool.run(3)
        home, _ = pool.pair(caller)
        pool.exchange.inspect = functools.partial(_slow_registration, 1.8)
        pool.agent(home).core.leave()
        pool.exchange.call_later(0.5, lambda: pool.control.mark_draining(home))
        pool.run(8)
        assert carriers(pool) != [home]
        assert watched.longest_gap(pool.exchange.now) < GAP
        assert not watched.ended

    @pytest.mark.parametrize('seconds', [0.3, 1, 4])
    def test_new_carrier_never_heard(self, seconds: float) -> None:
        """A board stands still for good after its agent has left.

        The leaving home places the board elsewhere, and the word to the new
        carrier is lost.  The next home finds in its records that the feed has
        a living carrier, and told the former one to let go.
        """
        pool = settled_pool(hosts=4)
        warm_up(pool)
        caller = pool.caller()
        watched = caller.watch()
        pool.run(2)
        drop_frames(pool, TakeFeed)
        pool.leave(pool.pair(caller)[0])
        pool.run(seconds)
        pool.exchange.inspect = None
        pool.run(10)
        assert len(carriers(pool)) == 1
        assert not watched.ended
        assert watched.longest_gap(pool.exchange.now) < 6

    def test_moves_are_paced(self) -> None:
        """Feeds whose server does not take them flood the homes.

        Each was asked to be placed elsewhere fifty times a second.
        """
        pool = settled_pool(hosts=2)
        caller = pool.caller()
        caller.watch()
        pool.run(3)
        for host in pool.hosts:
            pool.server_by_host[host].restart()
            pool.kill(f'server of {host}')
            pool.agent(host).runner.handle_server_unreachable(pool.exchange.now)
        sent: list[Frame] = []
        pool.exchange.inspect = lambda frame: _note(frame, FeedMove, sent)
        pool.run(5)
        assert len(sent) <= 11


class TestAdmissionOfFeeds:
    """What the opening of feeds says about the server."""

    def test_not_found_is_no_failure(self) -> None:
        """One caller asks for a board that is not there; all others wait.

        The server answers 4.04, and admission took that for a timeout and
        gave the server no more than a cold one.
        """
        pool = settled_pool(hosts=1)
        warm_up(pool)
        limit = pool.agent(pool.hosts[0]).core.parts.limit
        before = limit.limit
        pool.server_by_host[pool.hosts[0]].refuse_feeds = True
        watched = pool.caller().watch()
        pool.run(2)
        assert watched.ended
        assert before > 1
        assert limit.limit == before

    def test_several_at_once_at_an_idle_pool(self) -> None:
        """Marshals who open the board together are sent away for seconds.

        The pool is fresh and idle, so that each server is given one request
        at a time.  A registration takes milliseconds, and those that came
        within them were refused although every server carries hundreds.
        """
        pool = settled_pool(hosts=2)
        pool.exchange.inspect = functools.partial(_slow_registration, 0.05)
        opened = []
        for number in range(1, 9):
            opened.append(pool.caller(number).watch())
            pool.run(0.02)
        pool.run(4)
        assert not any(watched.ended for watched in opened)
        assert all(map(len, (watched.seen_at for watched in opened)))


def _placement(pool: FakePool, caller: FakeCaller, home: str) -> str:
    flows = pool.agent(home).core.parts.store.flows
    record = flows.carrier_of(
        caller.address, pool.service, b'', pool.exchange.now
    )
    return record.carrier


def _slow_registration(
    seconds: float, frame: Frame
) -> tuple[float, ...] | None:
    if isinstance(frame.payload, ServerPacket):
        message = coap.decode(frame.payload.payload)
        if message.opt.observe == coap.OBSERVE_REGISTER:
            return (seconds,)
    return None


def _note(frame: Frame, kind: type, sent: list[Frame]) -> None:
    if isinstance(frame.payload, kind):
        sent.append(frame)
