"""All decisions of an agent behind one door, without I/O and clock."""

from redwingstream.agent.assigned import AssignedRequests
from redwingstream.agent.assignments import Assignments
from redwingstream.agent.carrier import Carrier
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.home import HomeDesk
from redwingstream.agent.intake import Intake
from redwingstream.agent.moves import FeedMoves
from redwingstream.agent.once import OnceRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.reports import Reports
from redwingstream.agent.runs import RunEnd
from redwingstream.agent.server_side import ServerSide
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
from redwingstream.placement.effects import (
    BucketInEffect,
    Effect,
    FetchNeeded,
    Recorded,
    RecordRefused,
    Send,
)
from redwingstream.placement.keeper import KeeperMessage
from redwingstream.placement.messages import (
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.tables.snapshot import Tables

AgentMessage = (
    Packet
    | Assigned
    | RunOutcome
    | LoadReport
    | FeedMove
    | FeedMoved
    | FeedEnd
    | TakeFeed
    | CarriedFeeds
    | KeeperMessage
)

AGENT_MESSAGES = (
    Packet,
    Assigned,
    RunOutcome,
    LoadReport,
    FeedMove,
    FeedMoved,
    FeedEnd,
    TakeFeed,
    CarriedFeeds,
    Record,
    RecordAck,
    TakeBucket,
    BucketGiven,
)
"""Classes of frames that an agent takes."""

MOVE_INTERVAL = 1.0
"""Seconds after which a leaving agent asks the homes once more."""

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
        replies = Replies(parts)
        self._replies = replies
        self._server_side = ServerSide(parts)
        perform = self._server_side.perform
        self.carrier = Carrier(parts, replies, self._run_ended, perform)
        self.feeds = FeedRelay(parts, replies, perform)
        self._server_side.carrier = self.carrier
        self._server_side.feeds = self.feeds
        assignments = Assignments(parts)
        self._once = OnceRequests(parts, replies, self.carrier, assignments)
        self._home = HomeDesk(
            parts, replies, self.carrier, self.feeds, assignments
        )
        self._assigned = AssignedRequests(
            parts, replies, self.carrier, self.feeds
        )
        self._moves = FeedMoves(parts, replies, self.feeds, assignments)
        self._intake = Intake(
            parts, replies, self._home, self._once, self.feeds
        )
        self._reports = Reports(parts)
        self._zone_out_at: float | None = None
        self._is_stopping = False
        self._move_at = float()

    def follow(self, tables: Tables, now: float) -> None:
        """Go by newer tables."""
        parts = self.parts
        parts.store.now = now
        parts.follow(tables)
        view = tables.view_by_pool.get(parts.me.pool)
        if view is not None:
            self._perform(parts.keeper.adopt(view, now), now)
        self._moves.check_soon()
        self._reports.assert_soon()
        member = tables.member_by_host.get(parts.me.host)
        is_marked = member is not None and member.draining
        parts.is_leaving = self._is_stopping or is_marked
        if not parts.is_zone_out():
            self._zone_out_at = None
        elif self._zone_out_at is None:
            self._zone_out_at = now
            self.feeds.give_up_all(ResultCode.ZONE_OUT, now)

    def take(self, message: AgentMessage, source: str, now: float) -> None:
        """Take a frame of another process."""
        self.parts.store.now = now
        self.parts.links.heard(parse_endpoint(source))
        match message:
            case Packet():
                self.parts.out.hear_revision(message.revision, source)
                self._perform(self._intake.take(message, source, now), now)
            case Assigned():
                self._assigned.take(message, now)
            case RunOutcome():
                self._perform(self._once.outcome(message, now), now)
            case LoadReport():
                self.parts.loads.reported(message, now)
            case Record() | RecordAck() | TakeBucket() | BucketGiven():
                effects = self.parts.keeper.on_message(message, now, source)
                self._perform(effects, now)
            case _:
                self._take_feed_message(message, source, now)

    def take_from_server(self, packet: bytes, source: int, now: float) -> None:
        """Take a packet of the backend server."""
        effects = self.parts.upstream.receive(packet, now, source)
        self._server_side.perform(effects, now)

    def server_refused(self, now: float) -> None:
        """Take the hint that nobody listens at the server's address."""
        effects = self.parts.upstream.refused(now)
        self._server_side.perform(effects, now)

    def tick(self, now: float) -> None:
        """Do what is due; called many times a second."""
        parts = self.parts
        parts.store.now = now
        self._perform(parts.keeper.tick(now), now)
        self._server_side.perform(parts.upstream.poll(now), now)
        self.feeds.tick(now)
        self._perform(self._once.tick(now), now)
        self._perform(self._intake.tick(now), now)
        self._perform(self._moves.check(now), now)
        self._reports.tick(now)
        parts.store.expire(now)
        self._assigned.expire(now)
        self._end_in_zone_out(now)
        if parts.is_leaving and now >= self._move_at:
            self._move_at = now + MOVE_INTERVAL
            self.feeds.move_all()

    def leave(self) -> None:
        """Take no new work; ask the homes to place the feeds elsewhere.

        Called when the process was told to stop.  Operators' drain marks do
        the same through the tables, and can be taken back.
        """
        self._is_stopping = True
        self.parts.is_leaving = True

    def is_idle(self) -> bool:
        """Whether nothing runs here and no feed is carried."""
        is_running = len(self.carrier) or len(self._once)
        return not is_running and not len(self.parts.feeds)

    def give_up(self, now: float) -> None:
        """End what has not finished, truthfully: the time to leave is up."""
        self.carrier.cancel_all(now)
        self.feeds.give_up_all(ResultCode.DRAINING, now)

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
        match message:
            case FeedMove():
                self._perform(self._moves.move(message, source, now), now)
            case FeedEnd():
                self._perform(self._moves.end(message, now), now)
            case CarriedFeeds():
                self._perform(self._moves.carried(message, now), now)
            case TakeFeed():
                self._moves.take(message, now)
            case FeedMoved():
                self._moves.moved(message, now)

    def _perform(self, effects: list[Effect], now: float) -> None:
        """Carry out what the keeper of buckets asks for."""
        for effect in effects:
            match effect:
                case Send(endpoint, message):
                    self.parts.out.to_peer(endpoint, message)
                case Recorded(ticket):
                    self._recorded(ticket, now)
                case RecordRefused(ticket, reason):
                    self._record_refused(ticket, reason, now)
                case BucketInEffect(bucket):
                    self._moves.check_soon()
                    held = self._intake.bucket_in_effect(bucket, now)
                    self._perform(held, now)
                case FetchNeeded(endpoint):
                    newer = self.parts.tables.revision + 1
                    self.parts.out.hear_revision(newer, endpoint)

    def _recorded(self, ticket: int, now: float) -> None:
        if self._once.recorded(ticket, now):
            return
        if not self._home.recorded(ticket, now):
            self._moves.recorded(ticket, now)

    def _record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        self.parts.metrics.count(f'record_refused_{reason.name.lower()}')
        self._perform(self._once.refused(ticket, reason, now), now)
        self._home.refused(ticket, reason, now)
        self._moves.refused(ticket)

    def _run_ended(self, end: RunEnd, now: float) -> None:
        self.parts.metrics.count(f'run_{end.state}')
        if end.run.home:
            self._assigned.ended(end, now)
        elif end.run.checksum:
            self._perform(self._once.ended(end, now), now)
        else:
            self._replies.send(end.run.packet, end.answer)

    def _end_in_zone_out(self, now: float) -> None:
        is_out = self._zone_out_at is not None
        if is_out and now - self._zone_out_at > ZONE_OUT_GRACE:
            self.carrier.cancel_all(now)
