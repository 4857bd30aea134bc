"""Tests of a feed carrier, with the packets of its callers and server."""

import random

import attrs
import pytest
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows import effects
from redwingstream.flows.caller_message_ids import CallerMessageIds
from redwingstream.flows.feed_state import FeedLimits
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.observe import COUNTER_LIMIT, is_newer
from redwingstream.flows.records import FlowKey
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.tests.fakes import (
    CALLER,
    KEY,
    SERVICE,
    TOKEN,
    record,
    request,
    response,
)
from redwingstream.forwarding.messages import FeedMoved
from redwingstream.wire import coap

BALANCERS = ('b1', 'b2', 'b3')
LIMITS = FeedLimits(capacity=50)


def make_carrier(host: str = 'a', limits: FeedLimits = LIMITS) -> FeedCarrier:
    """Build a carrier that has received packets from three balancers."""
    paths = ReturnPaths()
    for now, balancer in enumerate(BALANCERS):
        paths.record_heard(balancer, now)
    return FeedCarrier(host, 'sward-live', paths, random.Random(2), limits)


def make_feed(
    carrier: FeedCarrier, key: FlowKey = KEY, generation: int = 0
) -> effects.RegistrationId:
    """Open a feed, and return its registration at the server."""
    asked = request(observe=coap.OBSERVE_REGISTER, token=key.token)
    carrier.register(record('a', generation, key), asked, 'b1', 0)
    return carrier.next_registrations(0, 1)[0].source


def update(reading: int) -> Message:
    """Build a server's notification."""
    built = response(b'upstream', reading, str(reading).encode())
    built.opt.observe = reading
    return built


def notify(
    carrier: FeedCarrier,
    source: effects.RegistrationId,
    reading: int,
    now: float = 0,
) -> Message:
    """Handle a server's notification; return the one sent to the caller."""
    found = carrier.handle_notification(source, update(reading), now)
    return coap.decode(found[0].payload)


def reply(
    carrier: FeedCarrier,
    notification: Message,
    mtype: coap.aiocoap.Type = coap.ACK,
    now: float = 0,
) -> list:
    """Handle a caller's ACK or RST of a notification."""
    empty = coap.empty(mtype, notification.mid)
    return carrier.handle_reply(CALLER, SERVICE, empty, now)


class TestNotifications:
    """Delivery of the newest notification to the caller, in order."""

    def test_has_the_callers_token_and_its_own_numbers(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        first = notify(carrier, source, 17)
        assert (first.token, first.mtype) == (TOKEN, coap.CON)
        assert (first.payload, first.opt.observe) == (b'17', 0)
        reply(carrier, first)
        second = notify(carrier, source, 18)
        assert second.opt.observe == 1
        assert second.mid != first.mid

    def test_retransmits_through_another_balancer_until_the_ack(self) -> None:
        """Guards against a notification lost with a failed balancer.

        The first copy goes through a balancer that has just failed.  The same
        packet must then go through the others.
        """
        paths = ReturnPaths()
        for balancer in BALANCERS:
            paths.record_heard(balancer, 0)
            for _ in range(9):
                # Notifications to other callers were lost.
                paths.record_loss(balancer)
        paths.record_ack('b3')
        carrier = FeedCarrier('a', 'sward-live', paths, random.Random(2))
        source = make_feed(carrier)
        sent = carrier.handle_notification(source, update(17), 0)
        for _ in BALANCERS[1:]:
            sent.extend(carrier.poll(carrier.next_due()))
        assert {given.balancer for given in sent} == set(BALANCERS)
        assert len({given.payload for given in sent}) == 1
        reply(carrier, coap.decode(sent[0].payload))
        assert carrier.next_due() is None

    def test_retransmits_the_newest_notification_only(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        first = notify(carrier, source, 1)
        assert carrier.handle_notification(source, update(2), 0) == []
        assert carrier.handle_notification(source, update(3), 0) == []
        repeated = coap.decode(carrier.poll(1)[0].payload)
        assert repeated.payload == b'3'
        assert repeated.mid != first.mid
        assert is_newer(repeated.opt.observe, first.opt.observe)
        assert carrier.counters.superseded == 2
        assert reply(carrier, first) == []
        assert carrier.next_due() is not None

    def test_sends_the_held_notification_at_the_ack(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        first = notify(carrier, source, 1)
        carrier.handle_notification(source, update(2), 0)
        held = reply(carrier, first)[0]
        assert coap.decode(held.payload).payload == b'2'

    @pytest.mark.parametrize(
        ('reason', 'repeats'), [(ResultCode.TIMED_OUT, 12), (ResultCode.OK, 0)]
    )
    def test_ends_a_feed_whose_caller_is_gone(
        self, reason: ResultCode, repeats: int
    ) -> None:
        """Guards against feeds that outlive their callers.

        The caller has been switched off, or has restarted and rejects the
        notification.  The feed is deregistered and its home is notified.
        """
        carrier = make_carrier()
        source = make_feed(carrier)
        sent = notify(carrier, source, 1)
        found = []
        if repeats:
            while carrier.next_due() is not None:
                found = carrier.poll(carrier.next_due())
        else:
            found = reply(carrier, sent, coap.RST)
        closed = attrs.evolve(record('a'), closed=True)
        assert found == [
            effects.CloseFeed(source),
            effects.FeedClosed(closed, reason),
        ]
        assert len(carrier) == 0
        assert carrier.counters.repeats == repeats

    def test_missing_balancer_does_not_end_a_feed(self) -> None:
        paths = ReturnPaths()
        carrier = FeedCarrier('a', 'sward-live', paths, random.Random(1))
        source = make_feed(carrier)
        assert carrier.handle_notification(source, update(1), 0) == []
        for now in range(100):
            assert carrier.poll(now) == []
        paths.record_heard('b1', 100)
        assert carrier.poll(100)

    def test_requests_a_generation_before_numbers_run_out(self) -> None:
        """Guards against a feed that stops after 262144 notifications.

        The sequence numbers of one generation are used up.  The newest
        notification is held until the record of the next generation arrives.
        """
        carrier = make_carrier()
        source = make_feed(carrier)
        feed = carrier._feeds.find(KEY)
        feed.delivery.counter = COUNTER_LIMIT - 1
        last = notify(carrier, source, 1)
        wanted = effects.GenerationWanted(record('a'))
        reply(carrier, last)
        assert carrier.handle_notification(source, update(2), 0) == [wanted]
        taken = carrier.take_over(record('a', 1), last.opt.observe, 1)
        following = coap.decode(taken[0].payload)
        assert following.payload == b'2'
        assert is_newer(following.opt.observe, last.opt.observe)


class TestRegistration:
    """Callers that register, register again and deregister."""

    def test_registering_again_opens_no_second_feed(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        first = notify(carrier, source, 5)
        reply(carrier, first)
        again = request(observe=coap.OBSERVE_REGISTER, message_id=2)
        found = carrier.register(record('a'), again, 'b2', 1)
        ack, state = [coap.decode(sent.payload) for sent in found]
        assert (ack.mtype, ack.mid, ack.code) == (coap.ACK, 2, coap.EMPTY)
        assert state.payload == b'5'
        assert is_newer(state.opt.observe, first.opt.observe)
        assert len(carrier) == 1
        assert carrier.next_registrations(1, 10) == []

    def test_refuses_above_its_capacity(self) -> None:
        carrier = make_carrier(limits=FeedLimits(capacity=1))
        make_feed(carrier)
        other = attrs.evolve(KEY, token=b'other')
        asked = request(observe=coap.OBSERVE_REGISTER)
        found = carrier.register(record('a', key=other), asked, 'b2', 1)
        refusal = coap.decode(found[0].payload)
        assert refusal.code is coap.SERVICE_UNAVAILABLE
        assert (
            LIMITS.min_max_age <= refusal.opt.max_age <= 2 * LIMITS.min_max_age
        )
        assert found[1].record.closed

    def test_caller_deregisters(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        found = carrier.deregister(KEY)
        assert found[0] == effects.CloseFeed(source)
        assert found[1].reason is ResultCode.OK
        assert carrier.deregister(KEY) == []

    def test_first_registration_that_fails_is_answered_at_once(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        found = carrier.handle_ended(source, ResultCode.NO_SERVER, None, 1)
        final = coap.decode(found[0].payload)
        assert final.code is coap.SERVICE_UNAVAILABLE
        assert final.opt.observe is None
        assert carrier.handover(KEY) is None
        assert reply(carrier, final)[0].record.closed
        assert len(carrier) == 0

    def test_reopens_while_the_final_answer_waits_for_its_ack(self) -> None:
        """Guards against a reopened feed whose notifications look old.

        The server ends the feed, and the caller's ACK is lost.  The caller
        opens the feed again under its token.  It would drop notifications
        whose numbers start again from the beginning.
        """
        carrier = make_carrier()
        source = make_feed(carrier)
        first = notify(carrier, source, 1)
        reply(carrier, first)
        gone = Message(code=coap.aiocoap.NOT_FOUND)
        carrier.handle_ended(source, ResultCode.OK, gone, 0)
        again = make_feed(carrier)
        assert again != source
        state = notify(carrier, again, 2)
        assert is_newer(state.opt.observe, first.opt.observe)
        assert len(carrier) == 1


class TestMoves:
    """Feeds that move from one carrier to another."""

    def test_numbers_of_the_new_carrier_are_newer(self) -> None:
        """Guards against an old notification accepted after a newer one.

        The feed moves.  The former carrier does not know this yet, and sends
        notifications with higher numbers than the one in its request to move.
        """
        former, latter = make_carrier('a'), make_carrier('b')
        source = make_feed(former)
        reply(former, notify(former, source, 1))
        move = former.handover(KEY)
        late = notify(former, source, 2)
        moved = record('b', 1)
        assert latter.take_over(moved, move.observe, 1) == []
        opened = latter.next_registrations(1, 1)[0]
        assert opened.request.token == TOKEN
        fresh = notify(latter, opened.source, 2)
        assert is_newer(fresh.opt.observe, late.opt.observe)
        assert former.handle_moved(FeedMoved(KEY, 0)) == []
        assert former.handle_moved(FeedMoved(KEY, 1)) == [
            effects.CloseFeed(source)
        ]
        assert len(former) == 0
        assert former.next_due() is None

    def test_drops_late_notification_of_an_earlier_registration(self) -> None:
        """Guards against an old notification sent as the newest.

        A feed moves away and back.  Then the server's answer to the first
        registration arrives, and would get a number of the new generation.
        """
        carrier = make_carrier()
        earlier = make_feed(carrier)
        carrier.handle_moved(FeedMoved(KEY, 1))
        carrier.take_over(record('a', 2), COUNTER_LIMIT, 1)
        carrier.next_registrations(1, 1)
        stale = carrier.handle_notification(earlier, update(1), 2)
        assert stale == [effects.CloseFeed(earlier)]
        assert carrier.counters.late == 1

    def test_does_not_take_over_a_placement(self) -> None:
        carrier = make_carrier()
        placement = attrs.evolve(record('a', 1), registration=b'')
        assert not carrier.take_over(placement, 0, 1)
        assert not carrier.next_registrations(1, 1)
        assert carrier.counters.refused == 1

    def test_requests_a_generation_with_newer_numbers(self) -> None:
        carrier = make_carrier()
        found = carrier.take_over(record('a', 1), 3 * COUNTER_LIMIT, 1)
        assert found == [effects.GenerationWanted(record('a', 1))]

    def test_restarted_carrier_uses_different_message_ids(self) -> None:
        """Guards against notifications dropped after an agent's restart.

        The agent restarts and sends to the same callers within 247 s, in which
        they drop message ids that they have seen.
        """
        ends = (CALLER, SERVICE)
        taken = {
            CallerMessageIds('carse-1', random.Random(run)).allocate(ends, 0)
            for run in range(3)
        }
        assert len(taken) == 3

    def test_message_ids_differ_between_carriers(self) -> None:
        """Guards against notifications that a caller drops as duplicates.

        Two carriers send to one caller from one service address, and start at
        the same offset in their ranges.
        """
        ends = (CALLER, SERVICE)
        taken = {
            CallerMessageIds(host, random.Random(1)).allocate(ends, 0)
            for host in ('carse-1', 'strathmore-1')
        }
        assert len(taken) == 2


class TestServerTrouble:
    """Servers that restart or refuse feeds, and zones taken out."""

    def test_feeds_are_registered_gradually_after_a_restart(self) -> None:
        """Guards against overload of a restarted server by its feeds.

        Ten established feeds end together.  Each round registers no more feeds
        than allowed, and in the end every feed is registered.
        """
        carrier = make_carrier()
        for number in range(10):
            key = attrs.evolve(KEY, token=bytes([number]))
            source = make_feed(carrier, key)
            notify(carrier, source, 1)
            carrier.handle_ended(source, ResultCode.NO_SERVER, None, 1)
        assert carrier.next_registrations(9, 0) == []
        assert len(carrier.claim_stuck_feeds(9, 5)) == 10
        assert not carrier.claim_stuck_feeds(9.5, 5)
        assert len(carrier.claim_stuck_feeds(10, 5)) == 10
        rounds = [carrier.next_registrations(9, 4) for _ in range(4)]
        assert [len(opened) for opened in rounds] == [4, 4, 2, 0]
        assert len({one.source for some in rounds for one in some}) == 10

    def test_established_feed_survives_a_refusal(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        notify(carrier, source, 1)
        refusal = Message(code=coap.SERVICE_UNAVAILABLE)
        refusal.opt.max_age = 7
        assert carrier.handle_ended(source, ResultCode.OK, refusal, 0) == []
        assert carrier.next_registrations(6, 1) == []
        assert carrier.next_registrations(8, 1)[0].source.attempt == 2

    def test_final_answer_of_the_server_is_forwarded(self) -> None:
        carrier = make_carrier()
        source = make_feed(carrier)
        reply(carrier, notify(carrier, source, 1))
        gone = Message(code=coap.aiocoap.NOT_FOUND)
        found = carrier.handle_ended(source, ResultCode.OK, gone, 0)
        final = coap.decode(found[0].payload)
        assert final.code is coap.aiocoap.NOT_FOUND
        assert (final.token, final.mtype) == (TOKEN, coap.CON)

    def test_zone_out_answers_each_caller_at_once(self) -> None:
        """Guards against feeds that stop without notice to their callers.

        Their zone is taken out.  Each caller gets the final answer through two
        balancers, and no packet waits for an ACK.
        """
        carrier = make_carrier()
        source = make_feed(carrier)
        notify(carrier, source, 1)
        found = carrier.give_up(KEY, ResultCode.ZONE_OUT, 1)
        copies = [one for one in found if hasattr(one, 'payload')]
        assert len({copy.balancer for copy in copies}) == 2
        final = coap.decode(copies[0].payload)
        assert (final.mtype, final.token) == (coap.NON, TOKEN)
        assert final.payload == b'zone_out'
        assert final.opt.max_age >= LIMITS.min_max_age
        assert found[2] == effects.CloseFeed(source)
        assert found[3].record.closed
        assert carrier.next_due() is None
        assert len(carrier) == 0
