"""Feeds that an agent carries: between its server and the callers."""

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    CloseFeed,
    FeedClosed,
    FeedEffect,
    RegistrationId,
    GenerationWanted,
    OpenFeed,
    SendToCaller,
)
from redwingstream.flows.feed_queries import FeedQueries
from redwingstream.flows.observe import is_newer
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import FeedMoved
from redwingstream.wire import coap

ASK_INTERVAL = 1.0
"""Seconds between two questions to place a feed elsewhere."""

FINAL_COPIES = 2
"""Balancers through which the final answer of a feed given up goes."""


class FeedCarrier(FeedQueries):
    """Feeds of callers that this agent's server carries.

    Parameters
    ----------
    host, pool : str
        Names of the agent's host and of its pool.
    paths : ReturnPaths
        The balancers heard from lately.
    rng : random.Random
        Spreads times, and gives first message ids.
    limits : FeedLimits, optional
        Bounds and times.

    Notes
    -----
    The record of a feed at its home decides: it is registered here only after
    home and heir have recorded it, and its generation leads every number that
    the caller sees.
    """

    def register(
        self, record: FlowRecord, request: Message, balancer: str, now: float
    ) -> list[FeedEffect]:
        """Take a caller's registration, or its repetition.

        Parameters
        ----------
        record : FlowRecord
            As recorded by the home.
        request : Message
            The registration; its empty ACK goes out at once, so that the
            caller does not repeat it while the server is asked.
        balancer : str
            Where it came from.
        now : float
            The time.
        """
        feed = self._feeds.find_open(record.key)
        if feed is None and len(self._feeds) >= self._limits.capacity:
            self.counters.refused += 1
            come_back = self._feeds.come_back()
            return _refuse(record, request, balancer, come_back)
        effects = _acknowledge(record.key, request, balancer)
        if feed is None:
            self.counters.opened += 1
            self._feeds.add(record, now)
            return effects
        if record.generation >= feed.record.generation:
            self._feeds.adopt(feed, record)
        return effects + self._notifications.send_again(feed, now)

    def take_over(
        self, record: FlowRecord, observe: int, now: float
    ) -> list[FeedEffect]:
        """Take over an established feed, or its new generation.

        Parameters
        ----------
        record : FlowRecord
            The home's new record, whose registration is sent to this server.
        observe : int
            Last number that the former carrier sent.
        now : float
            The time.
        """
        feed = self._feeds.find_open(record.key)
        if not record.registration:
            # A placement is no feed: there is nothing to register.
            self.counters.refused += 1
            return []
        if feed is None:
            feed = self._feeds.add(record, now)
            feed.established = True
            self.counters.taken += 1
        elif record.generation > feed.record.generation:
            self._feeds.adopt(feed, record)
        if not is_newer(feed.observe, observe) and not feed.delivery.counter:
            # A caller would drop these numbers as old, and the feed would
            # look silent; a higher generation mends it.
            return [GenerationWanted(feed.record)]
        return self._notifications.send_held(feed, now)

    def handle_moved(self, message: FeedMoved) -> list[FeedEffect]:
        """Let go of a feed that its home has placed elsewhere."""
        feed = self._feeds.find(message.key)
        if feed is None or message.generation <= feed.record.generation:
            return []
        self.counters.moved_away += 1
        return self._feeds.remove(feed)

    def deregister(self, key: FlowKey) -> list[FeedEffect]:
        """End a feed because its caller asks for it (Observe 1)."""
        feed = self._feeds.find_open(key)
        if feed is None:
            return []
        return self._feeds.close(feed, ResultCode.OK)

    def handle_reply(
        self, caller: str, service: str, message: Message, now: float
    ) -> list[FeedEffect]:
        """Take the ACK or RST of a caller; one of another carrier is none."""
        key = self._notifications.find((caller, service), message.mid)
        feed = None if key is None else self._feeds.find(key)
        if feed is None:
            return []
        if message.mtype is coap.ACK:
            if feed.closing:
                return self._feeds.close(feed, ResultCode.OK)
            return self._notifications.acknowledged(feed, now)
        if message.mtype is not coap.RST:
            return []
        self.counters.rejected += 1
        return self._feeds.close(feed, ResultCode.OK)

    def handle_notification(
        self, source: RegistrationId, notification: Message, now: float
    ) -> list[FeedEffect]:
        """Pass a notification of the server on to the caller."""
        feed = self._feeds.find_source(source)
        if feed is None:
            # A former registration of a feed that has moved, or has moved
            # away and back; its state may be older than what was sent since.
            self.counters.late += 1
            return [CloseFeed(source)]
        feed.failures = 0
        feed.established = True
        return self._notifications.send(feed, notification, now)

    def handle_ended(
        self,
        source: RegistrationId,
        why: ResultCode,
        response: Message | None,
        now: float,
    ) -> list[FeedEffect]:
        """Take the end of a feed at the server.

        Notes
        -----
        An established feed outlives its server's restart and its refusals: it
        is registered again.  A feed that never got a state is answered at
        once, so that its caller can try elsewhere.
        """
        feed = self._feeds.find_source(source)
        if feed is None:
            return []
        match response:
            case None if feed.established:
                self._registrations.wait_again(feed, now)
            case Message(code=coap.SERVICE_UNAVAILABLE) if feed.established:
                max_age = response.opt.max_age or 0
                self._registrations.wait_again(feed, now, max_age)
            case _:
                final = response or self._feeds.final_answer(why)
                return self._feeds.finish(feed, final, now)
        return []

    def next_registrations(self, now: float, room: int) -> list[OpenFeed]:
        """Return the registrations to send to the server now.

        Parameters
        ----------
        now : float
            The time.
        room : int
            How many the server can bear.  A server in cold start would fall
            over if all its feeds came back at once.
        """
        return self._registrations.take_due(now, room)

    def unregistered_count(self) -> int:
        """Return how many feeds are not registered at the server."""
        return len(self._registrations)

    def claim_stuck_feeds(
        self, now: float, longer_than: float
    ) -> list[FlowKey]:
        """Return the feeds not registered at the server for some time.

        Notes
        -----
        The agent asks their homes to place them elsewhere.  Each is returned
        once in ``ASK_INTERVAL`` at most: a server with thousands of feeds that
        dies would otherwise have as many questions sent at every tick.
        """
        stuck = [
            feed
            for feed in self._registrations.waiting()
            if now - feed.waiting_since > longer_than
            and (feed.asked_at is None or now - feed.asked_at >= ASK_INTERVAL)
        ]
        for asked in stuck:
            asked.asked_at = now
        return [feed.key for feed in stuck]

    def give_up(
        self, key: FlowKey, why: ResultCode, now: float
    ) -> list[FeedEffect]:
        """End a feed at once with 5.03 and when to come back.

        Notes
        -----
        Used when a zone is taken out.  No packet may come to this agent soon,
        an ACK neither, so the answer is sent once through each of two
        balancers under one message id and not repeated later.
        """
        feed = self._feeds.find_open(key)
        if feed is None:
            return []
        self.counters.given_up += 1
        effects = self._notifications.send_copies(
            feed, self._feeds.final_answer(why), FINAL_COPIES, now
        )
        return effects + self._feeds.close(feed, why)

    def poll(self, now: float) -> list[FeedEffect]:
        """Repeat notifications that wait for their ACK."""
        effects: list[FeedEffect] = []
        for key in self._notifications.timers.pop_due(now):
            effects.extend(self._feeds.repeat(key, now))
        self._ids.forget_idle(now)
        return effects


def _refuse(
    record: FlowRecord, request: Message, balancer: str, come_back: int
) -> list[FeedEffect]:
    key = record.key
    refusal = coap.refusal(request, ResultCode.OVERLOADED, come_back)
    payload = coap.encode(refusal)
    return [
        SendToCaller(balancer, key.caller, key.service, payload),
        FeedClosed(record.as_closed(), ResultCode.OVERLOADED),
    ]


def _acknowledge(
    key: FlowKey, request: Message, balancer: str
) -> list[FeedEffect]:
    if request.mtype is not coap.CON:
        return []
    ack = coap.encode(coap.empty(coap.ACK, request.mid))
    return [SendToCaller(balancer, key.caller, key.service, ack)]
