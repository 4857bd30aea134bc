"""The sockets of an agent to its server, and whether they still work."""

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
"""Timeouts in a row without a packet, after which a link is probed."""

PROBE_TIMEOUT = 1.0
"""Seconds that a server may take to answer a probe."""


@attrs.define
class _Link:
    message_ids: MessageIds
    last_heard: float = 0
    unanswered: int = 0


@attrs.frozen
class _Probe:
    message_id: int
    source: int
    due: float


class ServerLinks:
    """Chooses a socket for each request and finds those gone silent.

    Parameters
    ----------
    count : int
        How many sockets there are.
    rng : random.Random
        Gives each its first message id.

    Notes
    -----
    A socket can go silent for good while a new one works: something between
    both ends, such as a packet filter, has lost its state.  It shows as one
    timeout after another with nothing heard in between.  A CoAP ping from a
    fresh socket tells such a link from a server that is silent itself.
    """

    def __init__(self, count: int, rng: random.Random) -> None:
        self._links = [
            _Link(MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT)))
            for _ in range(count)
        ]
        self._fresh = MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT))
        self._next = 0
        self._probe: _Probe | None = None

    def choose(self, now: float) -> tuple[int, int] | None:
        """Return a source and a message id, or None when all are used up."""
        count = len(self._links)
        self._next = (self._next + 1) % count
        turn = [(self._next + step) % count for step in range(count)]
        # A link with timeouts comes last, so that while it is being probed no
        # request is lost on it if another link works.
        turn.sort(key=lambda source: self._links[source].unanswered)
        for source in turn:
            message_id = self._links[source].message_ids.take(now)
            if message_id is not None:
                return source, message_id
        return None

    def take_message_id(self, source: int, now: float) -> int | None:
        """Return the next message id of one socket."""
        return self._links[source].message_ids.take(now)

    def heard(self, source: int, now: float) -> None:
        """Note a packet from the server."""
        if source != FRESH_SOURCE:
            link = self._links[source]
            link.last_heard = now
            link.unanswered = 0

    def replaced(self, source: int, rng: random.Random) -> None:
        """Note that a socket was replaced by a new one."""
        self._links[source] = _Link(
            MessageIds(rng.randrange(coap.MESSAGE_ID_LIMIT))
        )

    def timed_out(
        self, source: int, sent_at: float, now: float
    ) -> list[SendToServer]:
        """Note that nothing came for a request; probe if it is one of many."""
        link = self._links[source]
        if link.last_heard > sent_at:
            return []
        link.unanswered += 1
        if link.unanswered < SILENT_TIMEOUTS or self._probe is not None:
            return []
        message_id = self._fresh.take(now)
        if message_id is None:
            return []
        self._probe = _Probe(message_id, source, now + PROBE_TIMEOUT)
        ping = coap.encode(coap.empty(coap.CON, message_id))
        return [SendToServer(ping, FRESH_SOURCE)]

    def probe_answered(self, message_id: int) -> list[ServerSilent]:
        """Take the RST that answers a ping."""
        if self._probe is None or self._probe.message_id != message_id:
            return []
        return self._end_probe(answered=True)

    def poll(self, now: float) -> list[ServerSilent]:
        """Give up a probe that was not answered in time."""
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
            # The link was heard again while the probe was on its way.
            return []
        link.unanswered = 1
        return [ServerSilent(probe.source, answered)]
