"""The agent's CoAP client towards its backend server, over UDP.

:class:`Upstream` receives requests, packets and times and returns effects for
the agent to carry out; it does no input or output itself.
docs/design/flows.md explains which requests are retransmitted.
"""

import random
from collections.abc import Hashable

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.exchanges import UpstreamCounters, UpstreamLimits
from redwingstream.flows.packet_receiver import PacketReceiver
from redwingstream.flows.request_sender import Effects, RequestSender


class Upstream:
    """Requests and feeds of an agent at its one server.

    Parameters
    ----------
    rng : random.Random
        Random generator for tokens, first message ids and timeouts.
    limits : UpstreamLimits, optional
        Limits and timeouts.

    Notes
    -----
    Effects are returned in the order in which they are to be carried out.
    Times are in seconds, by the event loop's clock.
    """

    def __init__(
        self, rng: random.Random, limits: UpstreamLimits | None = None
    ) -> None:
        self._sender = RequestSender(rng, limits or UpstreamLimits())
        self._receiver = PacketReceiver(self._sender)
        self._exchanges = self._sender.exchanges
        self._next_check = float()

    def __len__(self) -> int:
        """Return the number of open requests and feeds."""
        return len(self._exchanges)

    @property
    def counters(self) -> UpstreamCounters:
        """Counts since the start of the process."""
        return self._sender.counters

    def send_request(
        self, request: Message, owner: Hashable, now: float, deadline: float
    ) -> tuple[int | None, Effects]:
        """Send a request to the server.

        Parameters
        ----------
        request : Message
            The caller's request; it is not changed.
        owner : hashable
            Object for which it is sent; the effects that concern the request
            contain it.
        now : float
            Current time in seconds, by the event loop's clock.
        deadline : float
            Time after which the answer is of no use.

        Returns
        -------
        number : int or None
            Number of the exchange.  None if the request was not sent; the
            effect then has the state ``NOT_RUN``.
        effects : list
            Effects to carry out.
        """
        return self._sender.open(request, owner, now, deadline)

    def open_feed(
        self, request: Message, owner: Hashable, now: float, deadline: float
    ) -> tuple[int | None, Effects]:
        """Register a feed; like :meth:`send_request`, ends with `FeedEnded`."""
        if self._exchanges.find_feed(owner) is not None:
            return None, []
        return self._sender.open(request, owner, now, deadline, is_feed=True)

    def close_feed(self, owner: Hashable, now: float) -> Effects:
        """Deregister a feed; does nothing if the owner is unknown."""
        feed = self._exchanges.find_feed(owner)
        if feed is None:
            return []
        return self._sender.close_feed(feed, now)

    def cancel(self, number: int, now: float) -> Effects:
        """Cancel a request whose answer is no longer needed."""
        exchange = self._exchanges.find_by_number(number)
        if exchange is None:
            return []
        return self._sender.give_up(exchange, now, ResultCode.OUTCOME_UNKNOWN)

    def receive(self, packet: bytes, now: float, source: int = 0) -> Effects:
        """Handle a packet that arrived from the server on a socket."""
        return self._receiver.receive(packet, now, source)

    def handle_unreachable(
        self, now: float, packet: bytes = b'', source: int = 0
    ) -> Effects:
        """Handle that no process listens at the server's address.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        packet : bytes
            The packet that could not be delivered, if the host returned it;
            its first four bytes are enough.
        source : int
            Index of the socket from which it was sent.

        Notes
        -----
        The server's process has ended and its state is lost.  A non-idempotent
        request that it had received may have run.  The only answer that can
        still arrive is already in the socket's buffer; therefore the deadline
        is shortened to a brief grace period.  The request whose packet was
        returned has certainly not been run.
        """
        not_run = self._sender.handle_undelivered(packet, source, now)
        grace = self._sender.limits.ack_timeout / 2
        for exchange in self._exchanges.requests():
            if not exchange.idempotent:
                exchange.deadline = min(exchange.deadline, now + grace)
                self._sender.timers.start(exchange.number, exchange.deadline)
        return not_run + self.handle_restart(now)

    def handle_restart(self, now: float) -> Effects:
        """End every feed, because a restarted server has lost them."""
        return self._sender.handle_restart(now)

    def handle_socket_replaced(self, source: int, now: float) -> Effects:
        """Handle that a socket was replaced: end the feeds that used it."""
        self._sender.links.replace(source, self._sender.rng)
        effects: Effects = []
        for feed in self._exchanges.feeds():
            if feed.source == source:
                ended = self._sender.end_feed(feed, now, ResultCode.TIMED_OUT)
                effects.extend(ended)
        return effects

    def poll(self, now: float) -> Effects:
        """Handle due retransmissions, deadlines, refreshes and probes."""
        effects: Effects = []
        for silent in self._sender.links.poll(now):
            effects.append(silent)
            effects.extend(self._end_feeds(now))
        for number in self._sender.timers.pop_due(now):
            exchange = self._exchanges.find_by_number(number)
            if exchange is not None:
                effects.extend(self._sender.handle_timer(exchange, now))
        if now >= self._next_check:
            effects.extend(self._check_feed(now))
        return effects

    def next_due(self) -> float | None:
        """Return when :meth:`poll` is due, or None."""
        dues = [
            self._sender.timers.next_due(),
            self._sender.links.next_due(),
        ]
        if self._exchanges.longest_silent_feed() is not None:
            dues.append(self._next_check)
        return min((due for due in dues if due is not None), default=None)

    def _end_feeds(self, now: float) -> Effects:
        """End every feed after a failed probe.

        Notes
        -----
        A server that hangs does not answer refreshes either, but these find
        one feed after another, and each feed would stay silent for seconds.
        """
        effects: Effects = []
        for feed in self._exchanges.feeds():
            ended = self._sender.end_feed(feed, now, ResultCode.TIMED_OUT)
            effects.extend(ended)
        return effects

    def _check_feed(self, now: float) -> Effects:
        """Register the longest silent feed again, to detect a restart.

        Notes
        -----
        A server that restarts between two requests answers new requests, and
        its feeds stay silent without any error.  The sequence number of its
        answer to the registration is then lower than the last known one.
        """
        interval = self._sender.limits.check_interval
        self._next_check = now + interval
        feed = self._exchanges.longest_silent_feed()
        if feed is None or not feed.registered:
            return []
        if now - feed.observed_at < interval:
            return []
        return self._sender.refresh(feed, now)
