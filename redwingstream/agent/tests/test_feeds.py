"""Feeds whose carriers leave, die, are cut off, or lose their server."""

import functools

import pytest

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import FakeCaller, WatchedFeed
from redwingstream.agent.tests.fake_server import ServerPacket
from redwingstream.agent.tests.pool import CONTROL, FakePool
from redwingstream.agent.tests.support import (
    carriers,
    drop_frames,
    hold_slots,
    settled_pool,
    warm_up,
)
from redwingstream.forwarding.messages import FeedMove, Packet, TakeFeed
from redwingstream.wire import coap

MAX_GAP = 1.5


def watch_feed_carried_elsewhere(
    pool: FakePool,
) -> tuple[FakeCaller, WatchedFeed]:
    """Return a caller and its feed, carried by an agent other than its home."""
    warm_up(pool)
    caller = pool.caller()
    home, _ = pool.pair(caller)
    hold_slots(pool, home)
    watched = caller.watch()
    pool.run(2)
    assert carriers(pool) != [home]
    return caller, watched


def registration_of(
    pool: FakePool, caller: FakeCaller, watched: WatchedFeed
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
    """A carrier that dies without notice."""

    def test_replaced_without_control(self) -> None:
        """A feed is moved when its carrier dies while control is down.

        Without control instances the dead carrier stays in the tables.  A home
        that relies on the tables alone never moves the feed.
        """
        pool = settled_pool(hosts=3)
        _, watched = watch_feed_carried_elsewhere(pool)
        pool.kill(CONTROL)
        for host in carriers(pool):
            pool.kill(pool.endpoint_by_host[host])
        pool.run(12)
        assert watched.longest_gap(pool.exchange.now) < 6
        assert not watched.ended

    def test_plain_requests_go_elsewhere(self) -> None:
        """Requests of a flow are not forwarded to a dead agent.

        The flow is placed at another agent, which dies.  A home that relies on
        the tables forwards requests to it until its lease ends, and without
        control forever.
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
        record = _carrier_of_flow(pool, caller, home)
        pool.kill(pool.endpoint_by_host[record.partition('#')[0]])
        request = caller.get(b'map 2')
        pool.run(10)
        assert request.outcome != 'none'

    def test_cut_off_carrier_stops_serving(self) -> None:
        """A carrier stops serving a feed that was moved while it was cut off.

        The carrier returns with its state and continues to send.  After 128 s
        without other notifications the caller takes its old notifications for
        newer ones (RFC 7641).
        """
        pool = settled_pool(hosts=3)
        _, watched = watch_feed_carried_elsewhere(pool)
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

    def test_acks_reach_carrier_through_heir(self) -> None:
        """A feed survives the loss of control and of its home.

        The notifications reach the caller, but its ACKs are routed through the
        dead home.  If the heir forwards them to the home too, the carrier gets
        none and ends the feed after half a minute.
        """
        pool = settled_pool(hosts=3)
        caller, watched = watch_feed_carried_elsewhere(pool)
        home, _ = pool.pair(caller)
        pool.kill(CONTROL)
        pool.kill(pool.endpoint_by_host[home])
        pool.run(45)
        assert not watched.ended
        assert watched.longest_gap(pool.exchange.now) < 8

    def test_known_registration_through_the_heir(self) -> None:
        """An heir does not refuse the registration of a known feed.

        The home is dead and not yet replaced, and the caller repeats its
        registration.  An answer of 5.03 by the heir would end the feed.
        """
        pool = settled_pool(hosts=3)
        caller, watched = watch_feed_carried_elsewhere(pool)
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
        """A repeated registration is not refused while no agent has room.

        The carrier and control have just died, and the server of the home is
        full.  A home that treats the registration as a new feed refuses it
        with 5.03, which ends the feed.
        """
        pool = settled_pool(hosts=2)
        caller, watched = watch_feed_carried_elsewhere(pool)
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
    """The return path to a caller that sends nothing."""

    def test_all_balancers_replaced(self) -> None:
        """A feed continues after all balancers have been replaced.

        No packet of the caller arrives in the meantime, so the agent has heard
        from none of the new balancers and must learn of them from the tables.
        """
        pool = settled_pool()
        caller = pool.caller()
        watched = caller.watch()
        pool.run(2)
        pool.replace_balancers()
        pool.run(10)
        assert watched.longest_gap(pool.exchange.now) < 4


class TestMoves:
    """Feeds that are moved by request of their carrier."""

    def test_no_gap_while_the_server_is_slow(self) -> None:
        """A feed has no gap when its carrier leaves.

        The former carrier must not stop before the new server has sent its
        first notification.
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
        assert watched.longest_gap(pool.exchange.now) < MAX_GAP
        assert not watched.ended

    @pytest.mark.parametrize('seconds', [0.3, 1, 4])
    def test_message_to_new_carrier_lost(self, seconds: float) -> None:
        """A feed continues when the message to its new carrier is lost.

        The leaving home moves the feed, and the message to the new carrier is
        lost.  The next home has a record that names a living carrier.  If it
        tells the former carrier to stop, no agent serves the feed.
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

    def test_move_requests_are_rate_limited(self) -> None:
        """Requests to move a feed are sent at a limited rate.

        Otherwise each feed whose server does not accept it causes fifty
        requests a second to its home.
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
        pool.exchange.inspect = lambda frame: _collect(frame, FeedMove, sent)
        pool.run(5)
        assert len(sent) <= 11


class TestAdmissionOfFeeds:
    """How registrations of feeds affect admission."""

    def test_not_found_is_no_failure(self) -> None:
        """An answer of 4.04 to a registration does not lower the limit.

        If admission treats it as a timeout, one caller that registers for a
        missing resource lowers the limit to that of a cold server.
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
        """Registrations that arrive together at an idle pool are accepted.

        In a new and idle pool each server gets one request at a time.  A
        registration takes milliseconds.  Registrations within that time must
        wait, as every server has room for hundreds.
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


def _carrier_of_flow(pool: FakePool, caller: FakeCaller, home: str) -> str:
    flows = pool.agent(home).core.parts.store.flows
    record = flows.record_for(
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


def _collect(frame: Frame, kind: type, sent: list[Frame]) -> None:
    if isinstance(frame.payload, kind):
        sent.append(frame)
