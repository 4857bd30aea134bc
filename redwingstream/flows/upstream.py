"""The agent's side towards its backend server (CoAP over UDP).

A decision object: packets, requests and times go in, effects come out.
docs/design/flows.md gives the reasons for what is repeated and what is not.
"""

import random
from collections.abc import Hashable

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.exchanges import UpstreamCounters, UpstreamLimits
from redwingstream.flows.receiving import Receiving
from redwingstream.flows.sending import Effects, Sending


class Upstream:
    """Requests and feeds of an agent at its one server.

    Parameters
    ----------
    rng : random.Random
        Gives tokens, first message ids and the spread of repeats.
    limits : UpstreamLimits, optional
        Bounds and times.

    Notes
    -----
    Every method that returns effects returns all of them in the order in which
    they are to be carried out.  Times are in seconds of one clock.
    """

    def __init__(
        self, rng: random.Random, limits: UpstreamLimits | None = None
    ) -> None:
        self._sending = Sending(rng, limits or UpstreamLimits())
        self._receiving = Receiving(self._sending)
        self._exchanges = self._sending.exchanges
        self._next_check = float()

    def __len__(self) -> int:
        """Return how many requests and feeds are open."""
        return len(self._exchanges)

    @property
    def counters(self) -> UpstreamCounters:
        """What happened since the start."""
        return self._sending.counters

    def send_request(
        self, request: Message, owner: Hashable, now: float, deadline: float
    ) -> tuple[int | None, Effects]:
        """Hand a request to the server.

        Parameters
        ----------
        request : Message
            The caller's request; it is not changed.
        owner : hashable
            Comes back in the effects that concern it.
        now, deadline : float
            The time, and when the answer is of no use any more.

        Returns
        -------
        number : int or None
            Names the exchange; None when it was not handed over, and then the
            effect says ``NOT_RUN``.
        effects : list
            What to carry out.
        """
        return self._sending.open(request, owner, now, deadline)

    def open_feed(
        self, request: Message, owner: Hashable, now: float, deadline: float
    ) -> tuple[int | None, Effects]:
        """Register a feed; as :meth:`send_request`, and ends in FeedEnded."""
        if self._exchanges.feed_of(owner) is not None:
            return None, []
        return self._sending.open(request, owner, now, deadline, is_feed=True)

    def close_feed(self, owner: Hashable, now: float) -> Effects:
        """Deregister a feed; unknown owners are no error."""
        feed = self._exchanges.feed_of(owner)
        if feed is None:
            return []
        return self._sending.close_feed(feed, now)

    def cancel(self, number: int, now: float) -> Effects:
        """Give up a request that nobody waits for any more."""
        exchange = self._exchanges.by_number(number)
        if exchange is None:
            return []
        return self._sending.give_up(exchange, now, ResultCode.OUTCOME_UNKNOWN)

    def receive(self, packet: bytes, now: float, source: int = 0) -> Effects:
        """Take a packet from the server; see :meth:`Receiving.receive`."""
        return self._receiving.receive(packet, now, source)

    def handle_unreachable(
        self, now: float, packet: bytes = b'', source: int = 0
    ) -> Effects:
        """Take the hint that nobody listens at the server's address.

        Parameters
        ----------
        now : float
            The time.
        packet : bytes
            What could not be delivered, when the host says so; its first four
            bytes are enough.
        source : int
            The socket from which it was sent.

        Notes
        -----
        The process is gone, and what it knew with it.  A non-idempotent
        request that it had may have run, and no answer will come but one that
        is already in the socket's buffer; hence the short grace.  The one
        whose packet came back was surely not run.
        """
        not_run = self._sending.undelivered(packet, source, now)
        grace = self._sending.limits.ack_timeout / 2
        for exchange in self._exchanges.requests():
            if not exchange.idempotent:
                exchange.deadline = min(exchange.deadline, now + grace)
                self._sending.timers.start(exchange.number, exchange.deadline)
        return not_run + self.restarted(now)

    def restarted(self, now: float) -> Effects:
        """End every feed: the server has started anew and knows none."""
        return self._sending.restarted(now)

    def handle_socket_replaced(self, source: int, now: float) -> Effects:
        """Note that a silent socket was replaced; its feeds are gone."""
        self._sending.links.replaced(source, self._sending.rng)
        effects: Effects = []
        for feed in self._exchanges.feeds():
            if feed.source == source:
                ended = self._sending.end_feed(feed, now, ResultCode.TIMED_OUT)
                effects.extend(ended)
        return effects

    def poll(self, now: float) -> Effects:
        """Do what is due: repeats, deadlines, refreshes, probes."""
        effects: Effects = []
        for silent in self._sending.links.poll(now):
            effects.append(silent)
            effects.extend(self._end_feeds(now))
        for number in self._sending.timers.pop_due(now):
            exchange = self._exchanges.by_number(number)
            if exchange is not None:
                effects.extend(self._sending.due(exchange, now))
        if now >= self._next_check:
            effects.extend(self._check_feed(now))
        return effects

    def next_due(self) -> float | None:
        """Return when :meth:`poll` is due, or None."""
        dues = [
            self._sending.timers.next_due(),
            self._sending.links.next_due(),
        ]
        if self._exchanges.longest_silent() is not None:
            dues.append(self._next_check)
        return min((due for due in dues if due is not None), default=None)

    def _end_feeds(self, now: float) -> Effects:
        """End every feed: the server does not answer a probe either.

        Notes
        -----
        Found one after the other by their checks, the feeds of a frozen server
        would stay silent for seconds each.
        """
        effects: Effects = []
        for feed in self._exchanges.feeds():
            ended = self._sending.end_feed(feed, now, ResultCode.TIMED_OUT)
            effects.extend(ended)
        return effects

    def _check_feed(self, now: float) -> Effects:
        """Register the longest silent feed again, as a sign of a restart.

        Notes
        -----
        A server that has restarted without a word carries on with new
        requests, and its feeds just stay silent.  The number of its answer to
        a registration then falls behind the last one known.
        """
        interval = self._sending.limits.check_interval
        self._next_check = now + interval
        feed = self._exchanges.longest_silent()
        if feed is None or not feed.settled:
            return []
        if now - feed.observed_at < interval:
            return []
        return self._sending.refresh(feed, now)
