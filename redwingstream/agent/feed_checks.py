"""Finds feeds whose carrier is gone, silent, or stands in a zone out."""

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.moves import FeedMoves
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.records import FlowRecord
from redwingstream.forwarding.messages import CarriedFeeds, FeedMoved

CHECK_INTERVAL = 1.0
"""Seconds after which a feed without a carrier is tried again."""


class FeedChecks:
    """Looks after the feeds of the buckets of which this agent is home.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    feeds : FeedRelay
        Feeds of the own server.
    moves : FeedMoves
        Places feeds anew.
    """

    def __init__(
        self, parts: AgentParts, feeds: FeedRelay, moves: FeedMoves
    ) -> None:
        self._parts = parts
        self._feeds = feeds
        self._moves = moves
        self._check_at = float()

    def check_soon(self) -> None:
        """Have the next :meth:`check` look at once: the tables changed."""
        self._check_at = float()

    def check(self, now: float) -> None:
        """Look for feeds that their carriers do not carry."""
        if now < self._check_at:
            return
        self._check_at = now + CHECK_INTERVAL
        for record in self._parts.store.flows.feeds():
            key = record.key
            if self._moves.is_home(key) and not self._moves.is_moving(key):
                self._check_one(record, now)

    def carried(self, message: CarriedFeeds, source: str, now: float) -> None:
        """Learn of feeds from the agent that carries them.

        Notes
        -----
        A carrier that was cut off while its feed was placed elsewhere goes on
        sending, and to its caller what it sends looks newer again after 128 s
        without a notification (RFC 7641).  So it is told to let go.
        """
        for record in message.records:
            if self._moves.is_home(record.key):
                self._compare(record, source, now)

    def _compare(self, record: FlowRecord, source: str, now: float) -> None:
        key = record.key
        known = self._parts.store.flows.carrier_of(
            key.caller, key.service, key.token, now
        )
        if known == record or self._moves.is_moving(key):
            return
        if known is None or known.key != key or _beats(record, known):
            self._moves.remember(record, now)
        elif not self._moves.is_handed_over(key, now):
            moved = FeedMoved(key, record.generation + 1)
            self._parts.out.to_peer(source, moved)

    def _check_one(self, record: FlowRecord, now: float) -> None:
        parts = self._parts
        carrier = record.carrier
        if carrier == parts.me.carrier:
            return
        if parts.is_carrier_in_zone_out(carrier):
            self._give_up(record, now)
        elif parts.is_carrier_silent(carrier, now):
            parts.metrics.count('feed_orphaned')
            # Whatever the lost carrier may have sent under its generation.
            observe = sequence_number(record.generation, COUNTER_LIMIT - 1)
            self._moves.place(record, observe, '', now)
        else:
            endpoint = parts.endpoint_of_carrier(carrier)
            if endpoint is not None:
                # Probed unless it is heard from before.
                parts.links.sent(parse_endpoint(endpoint), now)

    def _give_up(self, record: FlowRecord, now: float) -> None:
        """Tell the caller, in case the zone's own agent cannot.

        Notes
        -----
        The feed is taken for a moment, so that the last message has a message
        id from the range of this agent.  One that another carrier may have
        used lately would look like a duplicate, and the caller would drop it.
        The carrier, which may not know of the zone's mark yet, lets go.
        """
        self._parts.metrics.count('feed_given_up')
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is not None:
            moved = FeedMoved(record.key, record.generation + 1)
            self._parts.out.to_peer(endpoint, moved)
        self._parts.feeds.take(record, 0, now)
        effects = self._parts.feeds.give_up(
            record.key, ResultCode.ZONE_OUT, now
        )
        self._feeds.carry_out(effects, now)


def _beats(record: FlowRecord, known: FlowRecord) -> bool:
    """Whether a record replaces the known one in the flow table.

    Two homes that were cut off from each other can have placed a feed under
    one generation; the greater name of the carrier decides.
    """
    return (record.generation, record.carrier) > (
        known.generation,
        known.carrier,
    )
