"""All decisions of an agent behind one door, without I/O and clock."""

from redwingstream.agent.assembly import AgentComponents
from redwingstream.agent.inbox import AgentMessage
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import (
    Assigned,
    CarriedFeeds,
    FeedEnd,
    FeedMove,
    FeedMoved,
    LoadReport,
    Packet,
    RunOutcome,
    TakeFeed,
)
from redwingstream.membership.announcer import Vitals
from redwingstream.placement.messages import (
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.tables.snapshot import Tables

ZONE_OUT_GRACE = 2.0
"""Seconds that running requests have once their zone is taken out."""


class AgentCore:
    """One run of an agent that control has admitted.

    Parameters
    ----------
    parts : AgentParts
        What it is made of.
    """

    def __init__(self, parts: AgentParts) -> None:
        self.parts = parts
        self._desks = AgentComponents(parts)
        self._zone_out_at: float | None = None
        self._is_stopping = False

    def apply_tables(self, tables: Tables, now: float) -> None:
        """Go by newer tables."""
        parts = self.parts
        desks = self._desks
        parts.store.now = now
        parts.apply_tables(tables, now)
        view = tables.view_by_pool.get(parts.identity.pool)
        if view is not None:
            desks.keeper.perform(parts.keeper.adopt(view, now), now)
        desks.handle_view_change(now)
        member = tables.member_by_host.get(parts.identity.host)
        is_marked = member is not None and member.draining
        parts.is_leaving = self._is_stopping or is_marked
        if parts.is_former_run():
            # Its homes place the feeds of a removed run elsewhere.
            desks.feeds.release_all(now)
        self._mind_zone(now)

    def handle_message(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        """Take a frame of another process."""
        parts = self.parts
        desks = self._desks
        parts.store.now = now
        parts.links.heard(parse_endpoint(source))
        match message:
            case Packet():
                parts.out.fetch_if_newer(message.revision, source)
                desks.dispatcher.take(message, now)
            case Assigned():
                desks.assigned.take(message, now)
            case RunOutcome():
                desks.non_idempotent.outcome(message, now)
            case LoadReport():
                parts.loads.handle_report(message, now)
            case Record() | RecordAck() | TakeBucket() | BucketGiven():
                effects = parts.keeper.on_message(message, now, source)
                desks.keeper.perform(effects, now)
            case _:
                self._take_feed_message(message, source, now)

    def handle_server_packet(
        self, packet: bytes, source: int, now: float
    ) -> None:
        """Take a packet of the backend server."""
        self.parts.store.now = now
        effects = self.parts.upstream.receive(packet, now, source)
        self._desks.server.perform(effects, now)

    def handle_server_unreachable(self, now: float) -> None:
        """Take the hint that nobody listens at the server's address."""
        effects = self.parts.upstream.refused(now)
        self._desks.server.perform(effects, now)

    def tick(self, now: float) -> None:
        """Do what is due; called many times a second."""
        parts = self.parts
        parts.store.now = now
        self._desks.tick(now)
        parts.store.expire(now)
        out_at = self._zone_out_at
        if out_at is not None and now - out_at > ZONE_OUT_GRACE:
            self._desks.executor.cancel_all(now)

    def leave(self) -> None:
        """Take no new work; ask the homes to place the feeds elsewhere.

        Called when the process was told to stop.  Operators' drain marks do
        the same through the tables, and can be taken back.
        """
        self._is_stopping = True
        self.parts.is_leaving = True
        self._desks.feeds.schedule_moves()

    def is_idle(self) -> bool:
        """Whether nothing has an outcome outstanding and no feed is here."""
        desks = self._desks
        unfinished = len(desks.executor) + len(desks.non_idempotent)
        return not unfinished and not len(self.parts.feeds)

    def end_unfinished(self, now: float) -> None:
        """End what has not finished, truthfully: the time to leave is up."""
        self._end_requests(now)
        self._desks.feeds.end_all(ResultCode.DRAINING, now)

    def retire(self, now: float) -> None:
        """End this run: control has admitted a later one of this process.

        Guards against a process that was frozen or cut off for longer than
        its lease.  Others hold its buckets now, and its feeds are placed
        elsewhere, so nothing that it still holds is of use; what the server
        is running for it is cancelled and told as *unknown*.
        """
        self._end_requests(now)
        self._desks.feeds.release_all(now)

    def vitals(self) -> Vitals:
        """Return what the heartbeat says of this agent."""
        parts = self.parts
        return Vitals(
            revision=parts.tables.revision,
            settled_view=parts.keeper.settled_view(),
            in_flight=parts.limit.in_flight,
            flows=len(parts.feeds),
            limit=parts.limit.limit,
        )

    def _take_feed_message(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        desks = self._desks
        match message:
            case FeedMove():
                desks.moves.handle_feed_move(message, source, now)
            case FeedEnd():
                desks.moves.handle_feed_end(message, now)
            case CarriedFeeds():
                desks.checks.handle_carried_feeds(message, source, now)
            case TakeFeed():
                desks.feeds.handle_take_feed(message, now)
            case FeedMoved():
                effects = self.parts.feeds.moved(message)
                desks.feeds.perform(effects, now)

    def _end_requests(self, now: float) -> None:
        self._desks.dispatcher.give_up(now)
        self._desks.non_idempotent.give_up(now)
        self._desks.executor.cancel_all(now)

    def _mind_zone(self, now: float) -> None:
        if not self.parts.is_zone_out():
            self._zone_out_at = None
        elif self._zone_out_at is None:
            self._zone_out_at = now
            self._desks.feeds.end_all(ResultCode.ZONE_OUT, now)
