"""Finds feeds whose carrier is gone, silent, or stands in a zone out."""

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.feed_moves import FeedMoves, Move
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.records import FlowRecord
from redwingstream.forwarding.messages import CarriedFeeds, FeedMoved

FIRST_CONFIRM = 3.0
"""Seconds in which a carrier is to name a feed that was placed with it."""

CONFIRMED_FOR = 25.0
"""Seconds for which its word is believed; it repeats it every 10 s."""

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
        self._due_by_record: dict[FlowRecord, float] = {}

    def check_soon(self) -> None:
        """Have the next :meth:`check` look at once: the tables changed."""
        self._check_at = float()

    def check(self, now: float) -> None:
        """Look for feeds that their carriers do not carry."""
        if now < self._check_at:
            return
        self._check_at = now + CHECK_INTERVAL
        former_dues = self._due_by_record
        self._due_by_record = {}
        for record in self._parts.store.flows.feeds():
            key = record.key
            if self._moves.is_home(key) and not self._moves.is_moving(key):
                due = former_dues.get(record, now + FIRST_CONFIRM)
                self._due_by_record[record] = due
                self._check_one(record, now)

    def handle_carried_feeds(
        self, message: CarriedFeeds, source: str, now: float
    ) -> None:
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
        if known == record:
            self._due_by_record[record] = now + CONFIRMED_FOR
            return
        if self._moves.is_moving(key):
            return
        if known is None or known.key != key or _beats(record, known):
            self._moves.remember(record, now)
        elif known.generation == record.generation:
            moved = FeedMoved(key, record.generation + 1)
            self._parts.out.to_peer(source, moved)
        elif not self._moves.is_handed_over(key, now):
            # The new carrier tells the former one, once it serves the feed:
            # it may never have heard of it.
            observe = _last_number(record)
            self._moves.hand_over(Move(known, observe, source), now)

    def _check_one(self, record: FlowRecord, now: float) -> None:
        parts = self._parts
        carrier = record.carrier
        if carrier == parts.identity.carrier:
            if parts.feeds.handover(record.key) is None:
                self._tell_again(record, now)
        elif parts.is_carrier_in_zone_out(carrier):
            self._give_up(record, now)
        elif parts.is_carrier_silent(carrier, now):
            parts.metrics.count('feed_orphaned')
            self._moves.place(record, _last_number(record), '', now)
        else:
            self._expect_sign(record, now)

    def _expect_sign(self, record: FlowRecord, now: float) -> None:
        """Have a carrier probed, and told of a feed that it does not name.

        Guards against the loss of a :class:`TakeFeed` whose sender is lost or
        replaced too: home and heir name a carrier that knows nothing of the
        feed, and it would be silent for good.  Carriers name their feeds when
        the view changes and from time to time.
        """
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is None:
            return
        # Probed unless it is heard from before.
        self._parts.links.sent(parse_endpoint(endpoint), now)
        self._tell_again(record, now)

    def _tell_again(self, record: FlowRecord, now: float) -> None:
        if now >= self._due_by_record[record]:
            self._parts.metrics.count('feed_unconfirmed')
            self._due_by_record[record] = now + FIRST_CONFIRM
            self._moves.hand_over(Move(record, 0, ''), now)

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
        self._feeds.perform(effects, now)


def _last_number(record: FlowRecord) -> int:
    """Return the last number that may have been sent under a record."""
    return sequence_number(record.generation, COUNTER_LIMIT - 1)


def _beats(record: FlowRecord, known: FlowRecord) -> bool:
    """Whether a record replaces the known one in the flow table.

    Two homes that were cut off from each other can have placed a feed under
    one generation; the greater name of the carrier decides.
    """
    return (record.generation, record.carrier) > (
        known.generation,
        known.carrier,
    )
