"""The sockets from an agent to its server, and detection of failed ones."""

import random

import attrs

from redwingstream.flows.effects import (
    FRESH_SOURCE,
    SendToServer,
    ServerSilent,
)
from redwingstream.flows.message_ids import MessageIds
from redwingstream.wire import coap

SILENT_TIMEOUTS = 3
"""Consecutive timeouts without a packet after which a socket is probed."""

PROBE_TIMEOUT = 1.0
"""Maximum time in seconds for the server to answer a probe."""


@attrs.define
class _Link:
    message_ids: MessageIds
    last_heard_at: float = 0
    unanswered: int = 0


@attrs.frozen
class _Probe:
    message_id: int
    source: int
    due: float


class ServerLinks:
    """Chooses a socket for each request and detects sockets that fail.

    Parameters
    ----------
    count : int
        Number of sockets.
    rng : random.Random
        Random generator for the first message id of each socket.

    Notes
    -----
    A socket can stop receiving for good while a new one would work, for
    example when a packet filter in between has lost its state.  Requests on
    it then time out one after another, and no packet arrives.  A CoAP ping
    from a new socket distinguishes this from a server that does not answer.
    """

    def __init__(self, count: int, rng: random.Random) -> None:
        self._links = [
            _Link(MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT)))
            for _ in range(count)
        ]
        self._probe_ids = MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT))
        self._last_chosen = 0
        self._probe: _Probe | None = None

    def choose(self, now: float) -> tuple[int, int] | None:
        """Choose a socket for a request.

        Returns
        -------
        tuple of int or None
            Index of the socket, and a message id; None if every socket has
            used up its message ids.
        """
        count = len(self._links)
        self._last_chosen = (self._last_chosen + 1) % count
        order = [(self._last_chosen + step) % count for step in range(count)]
        # Sockets with timeouts come last, so that no request is lost on one
        # that is being probed while another works.
        order.sort(key=lambda source: self._links[source].unanswered)
        for source in order:
            message_id = self._links[source].message_ids.allocate(now)
            if message_id is not None:
                return source, message_id
        return None

    def allocate_message_id(self, source: int, now: float) -> int | None:
        """Return the next message id of one socket."""
        return self._links[source].message_ids.allocate(now)

    def record_heard(self, source: int, now: float) -> None:
        """Record a packet from the server."""
        if source != FRESH_SOURCE:
            link = self._links[source]
            link.last_heard_at = now
            link.unanswered = 0

    def replace(self, source: int, rng: random.Random) -> None:
        """Reset the state of a socket that was replaced by a new one."""
        self._links[source] = _Link(
            MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT))
        )

    def record_timeout(
        self, source: int, sent_at: float, now: float
    ) -> list[SendToServer]:
        """Record that a request timed out; probe the socket if it may be dead.

        Parameters
        ----------
        source : int
            Index of the socket.
        sent_at : float
            When the request was sent; a packet received since then shows that
            the socket works.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of SendToServer
            A CoAP ping from a new socket, or nothing.
        """
        link = self._links[source]
        if link.last_heard_at > sent_at:
            return []
        link.unanswered += 1
        if link.unanswered < SILENT_TIMEOUTS or self._probe is not None:
            return []
        message_id = self._probe_ids.allocate(now)
        if message_id is None:
            return []
        self._probe = _Probe(message_id, source, now + PROBE_TIMEOUT)
        ping = coap.encode(coap.empty(coap.CON, message_id))
        return [SendToServer(ping, FRESH_SOURCE)]

    def handle_probe_answer(self, message_id: int) -> list[ServerSilent]:
        """Handle an RST; it answers the probe if the message id is its own."""
        if self._probe is None or self._probe.message_id != message_id:
            return []
        return self._end_probe(answered=True)

    def poll(self, now: float) -> list[ServerSilent]:
        """End a probe that was not answered in time."""
        if self._probe is None or now < self._probe.due:
            return []
        return self._end_probe(answered=False)

    def next_due(self) -> float | None:
        """Return when :meth:`poll` is due."""
        return None if self._probe is None else self._probe.due

    def _end_probe(self, *, answered: bool) -> list[ServerSilent]:
        probe = self._probe
        self._probe = None
        if probe is None:
            return []
        link = self._links[probe.source]
        if not link.unanswered:
            # A packet arrived on the socket while the probe was in progress.
            return []
        link.unanswered = 1
        return [ServerSilent(probe.source, answered)]
