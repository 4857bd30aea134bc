"""The feeds that an agent carries, between its server and the callers.

:class:`FeedCarrier` receives packets and times and returns effects for the
agent to carry out; it does no input or output itself.
"""

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    CloseFeed,
    FeedClosed,
    FeedEffect,
    GenerationWanted,
    OpenFeed,
    RegistrationId,
    SendToCaller,
)
from redwingstream.flows.feed_queries import FeedQueries
from redwingstream.flows.observe import is_newer
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import FeedMoved
from redwingstream.wire import coap

RELOCATION_INTERVAL = 1.0
"""Seconds between two requests to place the same feed at another carrier."""

FINAL_COPIES = 2
"""Number of balancers through which the final answer is sent when a feed is
ended early."""


class FeedCarrier(FeedQueries):
    """Carries feeds of callers that this agent's server serves.

    Parameters
    ----------
    host, pool : str
        Names of the agent's host and of its pool.
    paths : ReturnPaths
        The balancers from which packets arrived recently.
    rng : random.Random
        Random generator for the spread of times and first message ids.
    limits : FeedLimits, optional
        Limits and timeouts.

    Notes
    -----
    The record of a feed at its home is authoritative.  The feed is registered
    here only after home and heir have stored the record, and the generation
    of the record forms the high bits of the sequence numbers that the caller
    sees.
    """

    def register(
        self, record: FlowRecord, request: Message, balancer: str, now: float
    ) -> list[FeedEffect]:
        """Handle a caller's registration, or a repeated one.

        Parameters
        ----------
        record : FlowRecord
            The record that the home has stored.
        request : Message
            The registration.  It is acknowledged at once with an empty ACK, so
            that the caller does not retransmit it before the server answers.
        balancer : str
            ``IP:PORT`` of the balancer from which it came.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        feed = self._feeds.find_open(record.key)
        if feed is None and len(self._feeds) >= self._limits.capacity:
            self.counters.refused += 1
            max_age = self._feeds.retry_max_age()
            return _refuse(record, request, balancer, max_age)
        effects = _acknowledge(record.key, request, balancer)
        if feed is None:
            self.counters.opened += 1
            self._feeds.add(record, now)
            return effects
        if record.generation >= feed.record.generation:
            self._feeds.apply_record(feed, record)
        return effects + self._notifications.send_current(feed, now)

    def take_over(
        self, record: FlowRecord, observe: int, now: float
    ) -> list[FeedEffect]:
        """Take over an established feed, or its new generation.

        Parameters
        ----------
        record : FlowRecord
            The home's new record, whose registration is sent to this server.
        observe : int
            Last sequence number that the former carrier sent.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        feed = self._feeds.find_open(record.key)
        if not record.registration:
            # A placement has no registration to send to the server.
            self.counters.refused += 1
            return []
        if feed is None:
            feed = self._feeds.add(record, now)
            feed.established = True
            self.counters.taken += 1
        elif record.generation > feed.record.generation:
            self._feeds.apply_record(feed, record)
        if not is_newer(feed.observe, observe) and not feed.delivery.counter:
            # The caller would drop the next numbers as old, and the feed would
            # seem silent; a higher generation makes them newer.
            return [GenerationWanted(feed.record)]
        return self._notifications.send_held(feed, now)

    def handle_moved(self, message: FeedMoved) -> list[FeedEffect]:
        """Release a feed that its home has placed at another carrier."""
        feed = self._feeds.find(message.key)
        if feed is None or message.generation <= feed.record.generation:
            return []
        self.counters.moved_away += 1
        return self._feeds.remove(feed)

    def deregister(self, key: FlowKey) -> list[FeedEffect]:
        """End a feed at its caller's request (Observe 1)."""
        feed = self._feeds.find_open(key)
        if feed is None:
            return []
        return self._feeds.close(feed, ResultCode.OK)

    def handle_reply(
        self, caller: str, service: str, message: Message, now: float
    ) -> list[FeedEffect]:
        """Handle a caller's ACK or RST.

        One that answers a notification of another carrier is ignored.
        """
        key = self._notifications.find((caller, service), message.mid)
        feed = None if key is None else self._feeds.find(key)
        if feed is None:
            return []
        if message.mtype is coap.ACK:
            if feed.closing:
                return self._feeds.close(feed, ResultCode.OK)
            return self._notifications.handle_ack(feed, now)
        if message.mtype is not coap.RST:
            return []
        self.counters.rejected += 1
        return self._feeds.close(feed, ResultCode.OK)

    def handle_notification(
        self, source: RegistrationId, notification: Message, now: float
    ) -> list[FeedEffect]:
        """Send a notification of the server to the caller, or hold it."""
        feed = self._feeds.find_registered(source)
        if feed is None:
            # It belongs to an earlier registration of a feed that has moved
            # away, and maybe back; its state may be older than the last one
            # that was sent.
            self.counters.late += 1
            return [CloseFeed(source)]
        feed.failures = 0
        feed.established = True
        return self._notifications.send(feed, notification, now)

    def handle_ended(
        self,
        source: RegistrationId,
        reason: ResultCode,
        response: Message | None,
        now: float,
    ) -> list[FeedEffect]:
        """Handle that the server has ended a feed.

        Parameters
        ----------
        source : RegistrationId
            The registration that has ended.
        reason : ResultCode
            Reason, if there is no response.
        response : Message or None
            Response by which the server ended it.
        now : float
            Current time in seconds, by the event loop's clock.

        Notes
        -----
        An established feed survives restarts and refusals of its server: it is
        registered again.  A feed without any notification so far is answered
        at once, so that its caller can try again.
        """
        feed = self._feeds.find_registered(source)
        if feed is None:
            return []
        match response:
            case None if feed.established:
                self._registrations.retry_later(feed, now)
            case Message(code=coap.SERVICE_UNAVAILABLE) if feed.established:
                max_age = response.opt.max_age or 0
                self._registrations.retry_later(feed, now, max_age)
            case _:
                final = response or self._feeds.final_answer(reason)
                return self._feeds.finish(feed, final, now)
        return []

    def next_registrations(self, now: float, room: int) -> list[OpenFeed]:
        """Return the registrations to send to the server now.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        room : int
            Maximum count of registrations.  A server in cold start would be
            overloaded if all its feeds were registered at once.
        """
        return self._registrations.pop_due(now, room)

    def unregistered_count(self) -> int:
        """Return the number of feeds that are not registered at the server."""
        return len(self._registrations)

    def claim_stuck_feeds(
        self, now: float, longer_than: float
    ) -> list[FlowKey]:
        """Return the feeds that have no registration for too long.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        longer_than : float
            Minimum time without a registration, in seconds.

        Notes
        -----
        The agent asks their homes to place them at another carrier.  Each feed
        is returned at most once in ``RELOCATION_INTERVAL``: if a server with
        thousands of feeds dies, thousands of requests would otherwise be sent
        at every tick.
        """
        stuck = [
            feed
            for feed in self._registrations.waiting()
            if now - feed.unregistered_at > longer_than
            and (
                feed.relocation_requested_at is None
                or now - feed.relocation_requested_at >= RELOCATION_INTERVAL
            )
        ]
        for asked in stuck:
            asked.relocation_requested_at = now
        return [feed.key for feed in stuck]

    def give_up(
        self, key: FlowKey, reason: ResultCode, now: float
    ) -> list[FeedEffect]:
        """End a feed at once with 5.03 and a Max-Age for the next attempt.

        Notes
        -----
        It is called when a zone is taken out.  Soon no packets may arrive at
        this agent, not even ACKs.  The answer is therefore sent once through
        each of two balancers under one message id, without retransmission.
        """
        feed = self._feeds.find_open(key)
        if feed is None:
            return []
        self.counters.given_up += 1
        effects = self._notifications.send_copies(
            feed, self._feeds.final_answer(reason), FINAL_COPIES, now
        )
        return effects + self._feeds.close(feed, reason)

    def poll(self, now: float) -> list[FeedEffect]:
        """Retransmit the notifications whose ACK is overdue."""
        effects: list[FeedEffect] = []
        for key in self._notifications.timers.pop_due(now):
            effects.extend(self._feeds.repeat(key, now))
        self._ids.evict_expired(now)
        return effects


def _refuse(
    record: FlowRecord, request: Message, balancer: str, max_age: int
) -> list[FeedEffect]:
    key = record.key
    refusal = coap.refusal(request, ResultCode.OVERLOADED, max_age)
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
