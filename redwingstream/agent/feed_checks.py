"""Finds feeds that their carriers do not serve.

The home of a bucket, the agent that owns it, checks the feeds of the bucket.
The carrier, the agent whose server serves a feed, may be gone, silent or in
an availability zone that is out of service, or may not know of the feed.
"""

from redwingstream.agent.feed_moves import FeedMoves, Move
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.records import FlowRecord
from redwingstream.forwarding.messages import CarriedFeeds, FeedMoved

FIRST_CONFIRM_TIMEOUT = 3.0
"""Seconds within which a carrier must report a feed placed with it."""

CONFIRMATION_TIMEOUT = 25.0
"""Seconds for which a report is valid; carriers report every 10 s."""

CHECK_INTERVAL = 1.0
"""Seconds between two checks, thus also between two attempts to place a feed
that has no carrier."""


class FeedChecks:
    """Checks the feeds of the buckets of which this agent is home.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.
    feeds : FeedRelay
        Feeds that this agent carries.
    moves : FeedMoves
        Places feeds at other carriers.
    """

    def __init__(
        self, parts: AgentParts, feeds: FeedRelay, moves: FeedMoves
    ) -> None:
        self._parts = parts
        self._feeds = feeds
        self._moves = moves
        self._check_at = float()
        self._due_by_record: dict[FlowRecord, float] = {}

    def schedule_check(self) -> None:
        """Check at the next call of :meth:`check`, as the tables changed."""
        self._check_at = float()

    def check(self, now: float) -> None:
        """Check all feeds, at most once per ``CHECK_INTERVAL``."""
        if now < self._check_at:
            return
        self._check_at = now + CHECK_INTERVAL
        former_dues = self._due_by_record
        self._due_by_record = {}
        for record in self._parts.store.flows.feed_records():
            key = record.key
            if self._moves.is_home(key) and not self._moves.is_moving(key):
                due = former_dues.get(record, now + FIRST_CONFIRM_TIMEOUT)
                self._due_by_record[record] = due
                self._check_feed(record, now)

    def handle_carried_feeds(
        self, message: CarriedFeeds, source: str, now: float
    ) -> None:
        """Compare the feeds that a carrier reports with the flow table.

        Notes
        -----
        A carrier that was cut off while its feed was moved keeps sending
        notifications.  After 128 s without another notification the caller
        takes them for newer ones (RFC 7641), so the carrier is told to stop.
        """
        for record in message.records:
            if self._moves.is_home(record.key):
                self._compare(record, source, now)

    def _compare(self, record: FlowRecord, source: str, now: float) -> None:
        key = record.key
        known = self._parts.store.flows.record_for(
            key.caller, key.service, key.token, now
        )
        if known == record:
            self._due_by_record[record] = now + CONFIRMATION_TIMEOUT
            return
        if self._moves.is_moving(key):
            return
        if known is None or known.key != key or _replaces(record, known):
            self._moves.store_record(record, now)
        elif known.generation == record.generation:
            moved = FeedMoved(key, record.generation + 1)
            self._parts.out.to_peer(source, moved)
        elif not self._moves.is_handed_over(key, now):
            # The new carrier may not have received the feed.  It tells the
            # former carrier to stop once it serves the feed.
            observe = _highest_observe(record)
            self._moves.hand_over(Move(known, observe, source), now)

    def _check_feed(self, record: FlowRecord, now: float) -> None:
        parts = self._parts
        carrier = record.carrier
        if carrier == parts.identity.carrier:
            if parts.feeds.handover(record.key) is None:
                self._resend_unconfirmed(record, now)
        elif parts.is_carrier_in_zone_out(carrier):
            self._end_feed(record, now)
        elif parts.is_carrier_silent(carrier, now):
            parts.metrics.count('feed_orphaned')
            self._moves.place(record, _highest_observe(record), '', now)
        else:
            self._probe_carrier(record, now)

    def _probe_carrier(self, record: FlowRecord, now: float) -> None:
        """Probe a carrier, and send it a feed that it does not report.

        Guards against the loss of a :class:`TakeFeed` whose sender is lost or
        replaced as well: the records of home and heir then name a carrier that
        does not know the feed, and the feed would stay silent.  Carriers
        report their feeds when the view changes and periodically.
        """
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is None:
            return
        # A probe is sent unless a frame of the carrier arrives first.
        self._parts.links.record_sent(parse_endpoint(endpoint), now)
        self._resend_unconfirmed(record, now)

    def _resend_unconfirmed(self, record: FlowRecord, now: float) -> None:
        if now >= self._due_by_record[record]:
            self._parts.metrics.count('feed_unconfirmed')
            self._due_by_record[record] = now + FIRST_CONFIRM_TIMEOUT
            self._moves.hand_over(Move(record, 0, ''), now)

    def _end_feed(self, record: FlowRecord, now: float) -> None:
        """End a feed whose carrier is in a zone that is out of service.

        Notes
        -----
        The carrier may be unable to tell the caller, or may not know yet that
        its zone is out, so it is told to stop.  This agent takes the feed over
        just to end it: the final message then has a message id from the range
        of this agent.  An id that another carrier has used recently would look
        like a duplicate, and the caller would drop the message.
        """
        self._parts.metrics.count('feed_given_up')
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is not None:
            moved = FeedMoved(record.key, record.generation + 1)
            self._parts.out.to_peer(endpoint, moved)
        self._parts.feeds.take_over(record, 0, now)
        effects = self._parts.feeds.give_up(
            record.key, ResultCode.ZONE_OUT, now
        )
        self._feeds.perform(effects, now)


def _highest_observe(record: FlowRecord) -> int:
    """Return the highest Observe number that a record's generation allows."""
    return sequence_number(record.generation, COUNTER_LIMIT - 1)


def _replaces(record: FlowRecord, known: FlowRecord) -> bool:
    """Whether a record replaces the known one in the flow table.

    Two homes that were cut off from each other may have placed a feed under
    the same generation; then the greater carrier name wins.
    """
    return (record.generation, record.carrier) > (
        known.generation,
        known.carrier,
    )
