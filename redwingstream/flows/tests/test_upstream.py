"""The agent's side towards its server, packet by packet."""

import random

import pytest

from redwingstream.errors import ResultCode
from redwingstream.flows import effects
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.links import PROBE_TIMEOUT, ServerLinks
from redwingstream.flows.message_ids import EXCHANGE_LIFETIME, MessageIds
from redwingstream.flows.tests.fakes import FakeServer, request, response
from redwingstream.flows.upstream import Upstream
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

DEADLINE = 10.0
LIMITS = UpstreamLimits(sources=2)


@pytest.fixture
def upstream() -> Upstream:
    """Return an upstream with nothing open."""
    return Upstream(random.Random(3), LIMITS)


def post(upstream: Upstream, owner: object = 'plate', now: float = 0) -> bytes:
    """Hand over a non-idempotent request; return its packet."""
    asked = request(coap.POST, payload=b'24 mm')
    _, sent = upstream.send_request(asked, owner, now, now + DEADLINE)
    return sent[0].packet


def get(upstream: Upstream, owner: object = 'report') -> effects.SendToServer:
    """Hand over an idempotent request; return its packet and source."""
    return upstream.send_request(request(), owner, 0, DEADLINE)[1][0]


def poll_until(upstream: Upstream, end: float) -> list:
    """Poll whenever something is due; return all effects."""
    found = []
    due = upstream.next_due()
    while due is not None and due <= end:
        found.extend(upstream.poll(due))
        due = upstream.next_due()
    return found


def empty(mtype: coap.aiocoap.Type, packet: bytes) -> bytes:
    """Return an empty ACK or RST for a packet."""
    return coap.encode(coap.empty(mtype, coap.decode(packet).mid))


def of_type(found: list, kind: type) -> list:
    """Return the effects of one kind."""
    return [effect for effect in found if isinstance(effect, kind)]


class TestRequests:
    """Requests with one answer."""

    def test_hands_over_the_remaining_time(self, upstream: Upstream) -> None:
        asked = request(coap.POST, payload=b'24 mm')
        _, sent = upstream.send_request(asked, 'plate', 2, 5)
        handed = coap.decode(sent[0].packet)
        assert coap.deadline_of(handed) == 3
        assert handed.payload == b'24 mm'
        assert handed.token != asked.token
        assert coap.deadline_of(asked) is None

    def test_each_answer_goes_to_its_own_request(
        self, upstream: Upstream
    ) -> None:
        """An adviser would read another adviser's report.

        Two requests are with the server; its answers come in the other order,
        one of them twice, and one with a token that nobody sent.
        """
        first, second = get(upstream, 'first'), get(upstream, 'second')
        token = coap.decode(second.packet).token
        late = coap.encode(response(token, 9, b'second'))
        found = upstream.receive(late, 1, second.source)
        assert found[0].packet == empty(coap.ACK, late)
        assert found[1].owner == 'second'
        assert found[1].response.payload == b'second'
        again = upstream.receive(late, 2, second.source)
        assert [sent.packet for sent in again] == [empty(coap.ACK, late)]
        stray = coap.encode(response(b'nobody', 10))
        rejected = upstream.receive(stray, 2, first.source)
        assert [sent.packet for sent in rejected] == [empty(coap.RST, stray)]
        piggybacked = FakeServer().receive(first.packet, first.source)[0]
        answered = upstream.receive(piggybacked, 3, first.source)
        assert answered[0].owner == 'first'
        assert answered[0].latency == 3
        assert len(upstream) == 0
        assert upstream.counters.duplicates == 1
        assert upstream.counters.unknown_tokens == 1

    def test_repeats_an_idempotent_request_as_it_was(
        self, upstream: Upstream
    ) -> None:
        sent = get(upstream)
        found = poll_until(upstream, DEADLINE - 1)
        repeats = [
            again
            for again in of_type(found, effects.SendToServer)
            if again.source != effects.FRESH_SOURCE
        ]
        assert repeats == [sent, sent]
        upstream.receive(empty(coap.ACK, sent.packet), 9, sent.source)
        assert not of_type(
            poll_until(upstream, DEADLINE - 0.1), effects.SendToServer
        )

    def test_never_sends_a_non_idempotent_request_twice(
        self, upstream: Upstream
    ) -> None:
        """A plate reading would be booked twice.

        The server runs the request and restarts before it has answered; a
        repeat under the same message id would then be new to it.  The request
        ends unknown, and the server is told that nobody waits.
        """
        server = FakeServer()
        packet = post(upstream)
        server.receive(packet, 0)
        server.restart()
        for effect in poll_until(upstream, DEADLINE):
            match effect:
                case effects.SendToServer(sent):
                    server.receive(sent, 0)
                case effects.Failed() as failed:
                    assert failed.state is RequestState.UNKNOWN
                    assert failed.why is ResultCode.DEADLINE_PASSED
        assert server.runs == [b'24 mm']
        assert server.cancelled == [coap.decode(packet).mid]
        assert len(upstream) == 0

    def test_reset_of_the_only_copy_means_not_run(
        self, upstream: Upstream
    ) -> None:
        reset = empty(coap.RST, post(upstream))
        found = upstream.receive(reset, 1, 1)
        assert [failed.state for failed in found] == [RequestState.NOT_RUN]

    def test_reset_after_an_ack_means_unknown_and_restart(
        self, upstream: Upstream
    ) -> None:
        """A booking that was made would be reported as not run.

        The server acknowledges the request, runs it, restarts and then does
        not know the request any more.
        """
        packet = post(upstream)
        upstream.receive(empty(coap.ACK, packet), 1, 1)
        found = upstream.receive(empty(coap.RST, packet), 2, 1)
        assert found[0].state is RequestState.UNKNOWN
        assert found[1] == effects.ServerRestarted()

    def test_reset_after_a_repeat_means_unknown(
        self, upstream: Upstream
    ) -> None:
        sent = get(upstream)
        poll_until(upstream, 3)
        reset = empty(coap.RST, sent.packet)
        found = upstream.receive(reset, 4, sent.source)
        assert found[0].state is RequestState.UNKNOWN

    def test_what_was_not_handed_over_was_not_run(self) -> None:
        upstream = Upstream(random.Random(3), UpstreamLimits(max_exchanges=1))
        late = upstream.send_request(request(), 'late', 5, 5)
        assert late[0] is None
        assert late[1][0].why is ResultCode.DEADLINE_PASSED
        get(upstream)
        full = upstream.send_request(request(), 'full', 0, 1)[1]
        assert full[0].state is RequestState.NOT_RUN
        assert full[0].why is ResultCode.OVERLOADED

    def test_cancels_what_nobody_waits_for(self, upstream: Upstream) -> None:
        number, sent = upstream.send_request(request(), 'x', 0, DEADLINE)
        found = upstream.cancel(number, 1)
        assert found[0].packet == empty(coap.RST, sent[0].packet)
        assert found[1].state is RequestState.UNKNOWN
        assert not upstream.cancel(number, 2)
        token = coap.decode(sent[0].packet).token
        late = coap.encode(response(token, 7))
        rejected = upstream.receive(late, 3, sent[0].source)
        assert rejected[0].packet == empty(coap.RST, late)
        assert upstream.counters.late == 1

    def test_refused_port_ends_what_cannot_be_answered(
        self, upstream: Upstream
    ) -> None:
        post(upstream)
        assert effects.ServerRestarted() in upstream.handle_unreachable(1)
        found = poll_until(upstream, 2.5)
        assert of_type(found, effects.Failed)[0].state is RequestState.UNKNOWN

    def test_undelivered_request_was_not_run(self, upstream: Upstream) -> None:
        """A farm adviser would walk the field again for nothing.

        The server is down; the host returns the packet of one request, which
        nobody had.  Another one was handed over before the server died.
        """
        post(upstream, 'before')
        packet = post(upstream, 'after')
        source = 0
        found = upstream.handle_unreachable(1, packet[:4], source)
        assert found[0] == effects.Failed(
            'after', RequestState.NOT_RUN, ResultCode.NO_SERVER
        )
        ended = of_type(poll_until(upstream, 2.5), effects.Failed)
        assert [one.owner for one in ended] == ['before']
        assert ended[0].state is RequestState.UNKNOWN

    @pytest.mark.parametrize('packet', [b'', b'\xff' * 9, b'@\x01\x00'])
    def test_counts_malformed_packets(
        self, upstream: Upstream, packet: bytes
    ) -> None:
        assert not upstream.receive(packet, 0)
        assert upstream.counters.malformed == 1


class TestFeedsAtServer:
    """Feeds and the signs that the server has lost them."""

    def open(self, upstream: Upstream, owner: str) -> effects.SendToServer:
        """Register a feed and take its first state, number 10."""
        asked = request(observe=coap.OBSERVE_REGISTER)
        sent = upstream.open_feed(asked, owner, 0, DEADLINE)[1][0]
        found = self.answer(upstream, sent, 10, 0)
        assert [update.owner for update in found] == [owner]
        return sent

    def answer(
        self,
        upstream: Upstream,
        sent: effects.SendToServer,
        number: int,
        now: float,
    ) -> list:
        """Answer a registration with a number."""
        answered = coap.reply_to(coap.decode(sent.packet), coap.CONTENT, b'1')
        answered.opt.observe = number
        return upstream.receive(coap.encode(answered), now, sent.source)

    def notify(
        self, upstream: Upstream, sent: effects.SendToServer, number: int
    ) -> list:
        """Send a notification."""
        update = response(coap.decode(sent.packet).token, number)
        update.opt.observe = number
        return upstream.receive(coap.encode(update), 1, sent.source)

    def test_drops_notifications_out_of_order(self, upstream: Upstream) -> None:
        """A planner would see yesterday's growth after today's.

        The server sends two states, the network swaps them and delivers the
        newer one twice.
        """
        sent = self.open(upstream, 'feed')
        newer = self.notify(upstream, sent, 12)
        assert isinstance(newer[1], effects.FeedUpdate)
        for old in (11, 12):
            found = self.notify(upstream, sent, old)
            assert [type(effect) for effect in found] == [effects.SendToServer]
        assert upstream.counters.duplicates == 2

    def test_finds_a_restart_without_a_word(self, upstream: Upstream) -> None:
        """All feeds of a server would stay silent for good.

        The server restarts between two requests and nothing fails: it has
        just forgotten who observes.  Registering one silent feed again shows
        it by a number behind the last one.
        """
        for owner in ('one', 'two', 'three'):
            self.open(upstream, owner)
        checks = poll_until(upstream, LIMITS.check_interval + 0.1)
        assert len(checks) == 1
        found = self.answer(upstream, checks[0], 1, 3)
        assert found[0] == effects.ServerRestarted()
        ended = of_type(found, effects.FeedEnded)
        assert {end.owner for end in ended} == {'one', 'two', 'three'}

    def test_slow_answer_to_a_refresh_is_no_restart(
        self, upstream: Upstream
    ) -> None:
        sent = self.open(upstream, 'feed')
        checks = poll_until(upstream, LIMITS.check_interval + 0.1)
        self.notify(upstream, sent, 13)
        assert not self.answer(upstream, checks[0], 12, 3)
        assert upstream.counters.restarts == 0

    def test_registers_silent_feeds_again(self) -> None:
        """A feed that the server has lost would stay silent.

        Whatever the reason, each feed without a notification for its Max-Age
        is registered again under its token.
        """
        limits = UpstreamLimits(check_interval=1000)
        upstream = Upstream(random.Random(3), limits)
        tokens = {
            coap.decode(self.open(upstream, owner).packet).token
            for owner in ('one', 'two', 'three')
        }
        again = poll_until(upstream, limits.refresh_after * 3 / 2)
        sent = [
            coap.decode(one.packet)
            for one in of_type(again, effects.SendToServer)
            if one.source != effects.FRESH_SOURCE
        ]
        assert {one.token for one in sent} == tokens
        assert all(one.opt.observe == 0 for one in sent)

    def test_closed_feed_is_rejected_at_its_next_state(
        self, upstream: Upstream
    ) -> None:
        sent = self.open(upstream, 'feed')
        goodbye = coap.decode(upstream.close_feed('feed', 1)[0].packet)
        assert goodbye.opt.observe == coap.OBSERVE_CANCEL
        assert goodbye.token == coap.decode(sent.packet).token
        rejected = coap.decode(self.notify(upstream, sent, 14)[0].packet)
        assert rejected.mtype is coap.RST

    def test_answer_without_observe_ends_the_feed(
        self, upstream: Upstream
    ) -> None:
        sent = self.open(upstream, 'feed')
        last = coap.encode(response(coap.decode(sent.packet).token, 14))
        ended = upstream.receive(last, 1, sent.source)[1]
        assert ended.why is ResultCode.OK
        assert ended.response.payload == b'1'


class TestServerLinks:
    """Sockets that go silent, and servers that do."""

    @pytest.mark.parametrize('answered', [True, False])
    def test_tells_a_silent_link_from_a_silent_server(
        self, upstream: Upstream, answered: bool
    ) -> None:
        """Requests time out for good while a new socket would work.

        A packet filter between agent and server has lost track of the socket.
        After three timeouts in a row a ping goes out from a fresh one.
        """
        get(upstream)
        found = poll_until(upstream, DEADLINE)
        pings = [
            sent
            for sent in of_type(found, effects.SendToServer)
            if sent.source == effects.FRESH_SOURCE
        ]
        if answered:
            pong = empty(coap.RST, pings[0].packet)
            verdict = upstream.receive(pong, DEADLINE, effects.FRESH_SOURCE)
        else:
            verdict = upstream.poll(DEADLINE + PROBE_TIMEOUT)
        silent = of_type(found + verdict, effects.ServerSilent)
        assert [told.probe_answered for told in silent] == [answered]

    def test_a_silent_server_has_lost_all_its_feeds(
        self, upstream: Upstream
    ) -> None:
        """Feeds stay silent for minutes after their server has frozen.

        Their registrations are checked one every two seconds; each one that
        is not answered moved a single feed, although the server had not
        answered the probe either.
        """
        owners = {f'feed {number}' for number in range(20)}
        for owner in owners:
            TestFeedsAtServer().open(upstream, owner)
        found = poll_until(upstream, 30)
        silent = of_type(found, effects.ServerSilent)
        assert not any(told.probe_answered for told in silent)
        ended = of_type(found, effects.FeedEnded)
        assert {end.owner for end in ended} == owners

    def test_avoids_a_link_that_times_out(self) -> None:
        links = ServerLinks(2, random.Random(1))
        links.timed_out(0, 1, 2)
        assert {links.choose(3)[0] for _ in range(5)} == {1}
        links.heard(0, 4)
        assert {links.choose(5)[0] for _ in range(5)} == {0, 1}

    def test_replaced_link_ends_its_feeds(self, upstream: Upstream) -> None:
        sent = TestFeedsAtServer().open(upstream, 'feed')
        assert not upstream.handle_socket_replaced(1 - sent.source, 1)
        ended = upstream.handle_socket_replaced(sent.source, 1)
        assert [end.owner for end in ended] == ['feed']


class TestMessageIds:
    """Message ids towards one endpoint."""

    def test_never_gives_an_id_twice_in_a_lifetime(self) -> None:
        """A request would get the answer to another one.

        The receiver takes an id that it saw less than 247 s ago for a
        repetition.  Ids are taken as fast as they are given out.
        """
        ids = MessageIds(start=37, first=1024, size=64)
        used_by_id: dict[int, float] = {}
        for tick in range(2000):
            taken = ids.take(tick)
            if taken is None:
                continue
            assert 1024 <= taken < 1088
            used = used_by_id.get(taken)
            assert used is None or tick - used >= EXCHANGE_LIFETIME
            used_by_id[taken] = tick
        assert len(used_by_id) == 64

    def test_says_when_all_are_in_use(self) -> None:
        ids = MessageIds(start=0, size=8)
        assert [ids.take(0) for _ in range(9)] == [*range(8), None]
        assert ids.take(EXCHANGE_LIFETIME) == 0
