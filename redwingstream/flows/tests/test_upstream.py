"""Tests of the agent's exchanges with its server, packet by packet."""

import random

import pytest

from redwingstream.errors import ResultCode
from redwingstream.flows import effects
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.message_ids import EXCHANGE_LIFETIME, MessageIds
from redwingstream.flows.server_links import PROBE_TIMEOUT, ServerLinks
from redwingstream.flows.tests.fakes import FakeServer, request, response
from redwingstream.flows.upstream import Upstream
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

DEADLINE = 10.0
LIMITS = UpstreamLimits(sources=2)


@pytest.fixture
def upstream() -> Upstream:
    """Return an upstream without open exchanges."""
    return Upstream(random.Random(3), LIMITS)


def post(upstream: Upstream, owner: object = 'plate', now: float = 0) -> bytes:
    """Send a non-idempotent request; return its packet."""
    asked = request(coap.POST, payload=b'24 mm')
    _, sent = upstream.send_request(asked, owner, now, now + DEADLINE)
    return sent[0].packet


def get(upstream: Upstream, owner: object = 'report') -> effects.SendToServer:
    """Send an idempotent request; return its packet and socket."""
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


def filter_by_type(found: list, kind: type) -> list:
    """Return the effects of one type."""
    return [effect for effect in found if isinstance(effect, kind)]


class TestRequests:
    """Requests, which have one answer."""

    def test_request_contains_the_remaining_time(
        self, upstream: Upstream
    ) -> None:
        asked = request(coap.POST, payload=b'24 mm')
        _, sent = upstream.send_request(asked, 'plate', 2, 5)
        handed = coap.decode(sent[0].packet)
        assert coap.deadline_of(handed) == 3
        assert handed.payload == b'24 mm'
        assert handed.token != asked.token
        assert coap.deadline_of(asked) is None

    def test_each_answer_is_matched_with_its_request(
        self, upstream: Upstream
    ) -> None:
        """Guards against a caller that gets the answer of another caller.

        Two requests are at the server.  Its answers arrive in reverse order,
        one of them twice, and one has a token that was never sent.
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

    def test_retransmits_an_idempotent_request_unchanged(
        self, upstream: Upstream
    ) -> None:
        sent = get(upstream)
        found = poll_until(upstream, DEADLINE - 1)
        repeats = [
            again
            for again in filter_by_type(found, effects.SendToServer)
            if again.source != effects.FRESH_SOURCE
        ]
        assert repeats == [sent, sent]
        upstream.receive(empty(coap.ACK, sent.packet), 9, sent.source)
        assert not filter_by_type(
            poll_until(upstream, DEADLINE - 0.1), effects.SendToServer
        )

    def test_never_sends_a_non_idempotent_request_twice(
        self, upstream: Upstream
    ) -> None:
        """Guards against a non-idempotent request that is run twice.

        The server runs the request and restarts before it answers, so it would
        treat a retransmission under the same message id as a new request.  The
        request ends as unknown, and is cancelled at the server.
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
                    assert failed.reason is ResultCode.DEADLINE_PASSED
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
        """Guards against a request that was run but is reported as not run.

        The server acknowledges the request, runs it and restarts, and then
        rejects it because it has lost its state.
        """
        packet = post(upstream)
        upstream.receive(empty(coap.ACK, packet), 1, 1)
        found = upstream.receive(empty(coap.RST, packet), 2, 1)
        assert found[0].state is RequestState.UNKNOWN
        assert found[1] == effects.ServerRestarted()

    def test_reset_after_a_retransmission_means_unknown(
        self, upstream: Upstream
    ) -> None:
        sent = get(upstream)
        poll_until(upstream, 3)
        reset = empty(coap.RST, sent.packet)
        found = upstream.receive(reset, 4, sent.source)
        assert found[0].state is RequestState.UNKNOWN

    def test_request_that_was_not_sent_was_not_run(self) -> None:
        upstream = Upstream(random.Random(3), UpstreamLimits(max_exchanges=1))
        late = upstream.send_request(request(), 'late', 5, 5)
        assert late[0] is None
        assert late[1][0].reason is ResultCode.DEADLINE_PASSED
        get(upstream)
        full = upstream.send_request(request(), 'full', 0, 1)[1]
        assert full[0].state is RequestState.NOT_RUN
        assert full[0].reason is ResultCode.OVERLOADED

    def test_cancels_a_request(self, upstream: Upstream) -> None:
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

    def test_unreachable_server_ends_non_idempotent_requests(
        self, upstream: Upstream
    ) -> None:
        post(upstream)
        assert effects.ServerRestarted() in upstream.handle_unreachable(1)
        found = poll_until(upstream, 2.5)
        assert (
            filter_by_type(found, effects.Failed)[0].state
            is RequestState.UNKNOWN
        )

    def test_undelivered_request_was_not_run(self, upstream: Upstream) -> None:
        """Guards against a request that is reported as unknown without need.

        The server is down.  The host returns the packet of one request, which
        no process received.  Another was sent before the server went down.
        """
        post(upstream, 'before')
        packet = post(upstream, 'after')
        source = 0
        found = upstream.handle_unreachable(1, packet[:4], source)
        assert found[0] == effects.Failed(
            'after', RequestState.NOT_RUN, ResultCode.NO_SERVER
        )
        ended = filter_by_type(poll_until(upstream, 2.5), effects.Failed)
        assert [one.owner for one in ended] == ['before']
        assert ended[0].state is RequestState.UNKNOWN

    @pytest.mark.parametrize('packet', [b'', b'\xff' * 9, b'@\x01\x00'])
    def test_counts_malformed_packets(
        self, upstream: Upstream, packet: bytes
    ) -> None:
        assert not upstream.receive(packet, 0)
        assert upstream.counters.malformed == 1


class TestFeedsAtServer:
    """Feeds, and detection of a server that has lost them."""

    def open(self, upstream: Upstream, owner: str) -> effects.SendToServer:
        """Register a feed and handle its first notification, number 10."""
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
        """Handle a server's answer to a registration, with a number."""
        answered = coap.reply_to(coap.decode(sent.packet), coap.CONTENT, b'1')
        answered.opt.observe = number
        return upstream.receive(coap.encode(answered), now, sent.source)

    def notify(
        self, upstream: Upstream, sent: effects.SendToServer, number: int
    ) -> list:
        """Handle a server's notification."""
        update = response(coap.decode(sent.packet).token, number)
        update.opt.observe = number
        return upstream.receive(coap.encode(update), 1, sent.source)

    def test_drops_notifications_out_of_order(self, upstream: Upstream) -> None:
        """Guards against an old notification forwarded after a newer one.

        The server sends two notifications.  The network swaps them and
        delivers the newer one twice.
        """
        sent = self.open(upstream, 'feed')
        newer = self.notify(upstream, sent, 12)
        assert isinstance(newer[1], effects.FeedUpdate)
        for old in (11, 12):
            found = self.notify(upstream, sent, old)
            assert [type(effect) for effect in found] == [effects.SendToServer]
        assert upstream.counters.duplicates == 2

    def test_detects_a_restart_without_errors(self, upstream: Upstream) -> None:
        """Guards against feeds that stay silent after a restart.

        The server restarts between two requests, so no request fails, but its
        feeds are lost.  When one silent feed is registered again, the answer
        has a lower number than the last notification.
        """
        for owner in ('one', 'two', 'three'):
            self.open(upstream, owner)
        checks = poll_until(upstream, LIMITS.check_interval + 0.1)
        assert len(checks) == 1
        found = self.answer(upstream, checks[0], 1, 3)
        assert found[0] == effects.ServerRestarted()
        ended = filter_by_type(found, effects.FeedEnded)
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
        """Guards against a feed that the server has lost and that stays silent.

        For whatever reason it was lost, each feed without a notification for
        its Max-Age is registered again under its token.
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
            for one in filter_by_type(again, effects.SendToServer)
            if one.source != effects.FRESH_SOURCE
        ]
        assert {one.token for one in sent} == tokens
        assert all(one.opt.observe == 0 for one in sent)

    def test_closed_feed_is_rejected_at_its_next_notification(
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
        assert ended.reason is ResultCode.OK
        assert ended.response.payload == b'1'


class TestServerLinks:
    """Sockets that no longer receive, and servers that do not answer."""

    @pytest.mark.parametrize('answered', [True, False])
    def test_distinguishes_a_failed_socket_from_a_failed_server(
        self, upstream: Upstream, answered: bool
    ) -> None:
        """Guards against a socket that times out while a new one would work.

        A packet filter between agent and server has lost the socket's state.
        After three consecutive timeouts a ping is sent from a new socket.
        """
        get(upstream)
        found = poll_until(upstream, DEADLINE)
        pings = [
            sent
            for sent in filter_by_type(found, effects.SendToServer)
            if sent.source == effects.FRESH_SOURCE
        ]
        if answered:
            pong = empty(coap.RST, pings[0].packet)
            verdict = upstream.receive(pong, DEADLINE, effects.FRESH_SOURCE)
        else:
            verdict = upstream.poll(DEADLINE + PROBE_TIMEOUT)
        silent = filter_by_type(found + verdict, effects.ServerSilent)
        assert [told.probe_answered for told in silent] == [answered]

    def test_failed_probe_ends_all_feeds(self, upstream: Upstream) -> None:
        """Guards against feeds that stay silent for minutes at a hung server.

        One registration is checked every two seconds, and an unanswered check
        ends a single feed.  All feeds must end once the server has not
        answered the probe either.
        """
        owners = {f'feed {number}' for number in range(20)}
        for owner in owners:
            TestFeedsAtServer().open(upstream, owner)
        found = poll_until(upstream, 30)
        silent = filter_by_type(found, effects.ServerSilent)
        assert not any(told.probe_answered for told in silent)
        ended = filter_by_type(found, effects.FeedEnded)
        assert {end.owner for end in ended} == owners

    def test_avoids_a_socket_that_times_out(self) -> None:
        links = ServerLinks(2, random.Random(1))
        links.record_timeout(0, 1, 2)
        assert {links.choose(3)[0] for _ in range(5)} == {1}
        links.record_heard(0, 4)
        assert {links.choose(5)[0] for _ in range(5)} == {0, 1}

    def test_replaced_socket_ends_its_feeds(self, upstream: Upstream) -> None:
        sent = TestFeedsAtServer().open(upstream, 'feed')
        assert not upstream.handle_socket_replaced(1 - sent.source, 1)
        ended = upstream.handle_socket_replaced(sent.source, 1)
        assert [end.owner for end in ended] == ['feed']


class TestMessageIds:
    """Message ids of packets to one endpoint."""

    def test_never_reuses_an_id_within_its_lifetime(self) -> None:
        """Guards against a request that gets the answer to another one.

        The receiver treats an id that it saw less than 247 s ago as a
        retransmission.  Ids are allocated as fast as possible.
        """
        ids = MessageIds(start=37, first=1024, size=64)
        used_by_id: dict[int, float] = {}
        for tick in range(2000):
            taken = ids.allocate(tick)
            if taken is None:
                continue
            assert 1024 <= taken < 1088
            used = used_by_id.get(taken)
            assert used is None or tick - used >= EXCHANGE_LIFETIME
            used_by_id[taken] = tick
        assert len(used_by_id) == 64

    def test_returns_none_while_all_ids_are_in_use(self) -> None:
        ids = MessageIds(start=0, size=8)
        assert [ids.allocate(0) for _ in range(9)] == [*range(8), None]
        assert ids.allocate(EXCHANGE_LIFETIME) == 0
