"""Creates and connects the objects that handle the messages of an agent."""

from redwingstream.agent.ack_relay import AckRelay
from redwingstream.agent.feed_checks import FeedChecks
from redwingstream.agent.feed_moves import FeedMoves
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.flow_placement import FlowPlacement
from redwingstream.agent.incoming_assignments import IncomingAssignments
from redwingstream.agent.keeper_effects import KeeperEffectHandler
from redwingstream.agent.non_idempotent import NonIdempotentRequests
from redwingstream.agent.outgoing_assignments import OutgoingAssignments
from redwingstream.agent.packet_dispatcher import (
    PacketDispatcher,
    RequestHandlers,
)
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.reports import PeerReports
from redwingstream.agent.request_endings import RequestEndings
from redwingstream.agent.request_executor import RequestExecutor
from redwingstream.agent.runs import RunEnd
from redwingstream.agent.server_effects import ServerEffectHandler


class AgentComponents:
    """The objects of an agent that handle messages and timers.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects that they share.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._replies = Replies(parts)
        self.server = ServerEffectHandler(parts)
        self.keeper = KeeperEffectHandler(parts)
        self.reports = PeerReports(parts)
        self.executor = RequestExecutor(
            parts, self._replies, self._handle_run_end, self.server.perform
        )
        self.feeds = FeedRelay(parts, self._replies, self.server.perform)
        self.assigned = IncomingAssignments(
            parts, self._replies, self.executor, self.feeds
        )
        self._create_home_handlers()
        self._connect()

    def handle_view_change(self, now: float) -> None:
        """Check and report at once what depends on the view."""
        self.checks.schedule_check()
        self.reports.schedule_feed_report()
        self.assigned.notify_new_homes(now)

    def tick(self, now: float) -> None:
        """Do the periodic work of all objects."""
        parts = self._parts
        self.keeper.perform(parts.keeper.tick(now), now)
        self.server.perform(parts.upstream.poll(now), now)
        self.feeds.tick(now)
        self._tick_requests(now)
        self.checks.check(now)
        self.reports.tick(now)

    def _create_home_handlers(self) -> None:
        parts = self._parts
        replies = self._replies
        perform = self.keeper.perform
        assignments = OutgoingAssignments(parts)
        self.endings = RequestEndings(parts, replies, perform)
        self.non_idempotent = NonIdempotentRequests(
            parts, replies, self.executor, assignments, self.endings, perform
        )
        self.home = FlowPlacement(
            parts, replies, self.executor, self.feeds, assignments, perform
        )
        self.moves = FeedMoves(parts, self.feeds, assignments, perform)
        self.checks = FeedChecks(parts, self.feeds, self.moves)
        ack_relay = AckRelay(parts, self.feeds)
        handlers = RequestHandlers(
            self.home, self.non_idempotent, self.endings, ack_relay
        )
        self.dispatcher = PacketDispatcher(parts, replies, handlers)

    def _connect(self) -> None:
        self.server.executor = self.executor
        self.server.feeds = self.feeds
        self.keeper.non_idempotent = self.non_idempotent
        self.keeper.home = self.home
        self.keeper.moves = self.moves
        self.keeper.checks = self.checks
        self.keeper.dispatcher = self.dispatcher

    def _tick_requests(self, now: float) -> None:
        self.executor.tick(now)
        self.non_idempotent.tick(now)
        self.assigned.evict_expired(now)
        self.dispatcher.tick(now)

    def _handle_run_end(self, end: RunEnd, now: float) -> None:
        self._parts.metrics.count(f'run_{end.state}')
        run = end.run
        if run.home:
            self.assigned.report_end(end, now)
        elif run.checksum:
            self.endings.handle_run_end(end, now)
        else:
            self._replies.send(run.packet, end.answer)
