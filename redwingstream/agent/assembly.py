"""The deciding objects of an agent, connected with each other."""

from redwingstream.agent.assigned import AssignedRequests
from redwingstream.agent.assignments import Assignments
from redwingstream.agent.carrier import Carrier
from redwingstream.agent.endings import Endings
from redwingstream.agent.feed_checks import FeedChecks
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.home import FlowPlacement
from redwingstream.agent.intake import Deciders, Intake
from redwingstream.agent.keeper_side import KeeperSide
from redwingstream.agent.moves import FeedMoves
from redwingstream.agent.once import OnceRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.reactions import Reactions
from redwingstream.agent.replies import Replies
from redwingstream.agent.reports import Reports
from redwingstream.agent.runs import RunEnd
from redwingstream.agent.server_side import ServerSide


class AgentDesks:
    """Everybody at an agent who takes messages.

    Parameters
    ----------
    parts : AgentParts
        What they share.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._replies = Replies(parts)
        self.server = ServerSide(parts)
        self.keeper = KeeperSide(parts)
        self.reports = Reports(parts)
        self.carrier = Carrier(
            parts, self._replies, self._run_ended, self.server.perform
        )
        self.feeds = FeedRelay(parts, self._replies, self.server.perform)
        self.assigned = AssignedRequests(
            parts, self._replies, self.carrier, self.feeds
        )
        self._make_home_side()
        self._connect()

    def view_changed(self, now: float) -> None:
        """Look at once after what a view changes."""
        self.checks.check_soon()
        self.reports.assert_soon()
        self.assigned.follow(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        parts = self._parts
        self.keeper.perform(parts.keeper.tick(now), now)
        self.server.perform(parts.upstream.poll(now), now)
        self.feeds.tick(now)
        self._tick_requests(now)
        self.checks.check(now)
        self.reports.tick(now)

    def _make_home_side(self) -> None:
        parts = self._parts
        replies = self._replies
        perform = self.keeper.perform
        assignments = Assignments(parts)
        self.endings = Endings(parts, replies, perform)
        self.once = OnceRequests(
            parts, replies, self.carrier, assignments, self.endings, perform
        )
        self.home = FlowPlacement(
            parts, replies, self.carrier, self.feeds, assignments, perform
        )
        self.moves = FeedMoves(parts, self.feeds, assignments, perform)
        self.checks = FeedChecks(parts, self.feeds, self.moves)
        reactions = Reactions(parts, self.feeds)
        deciders = Deciders(self.home, self.once, self.endings, reactions)
        self.intake = Intake(parts, replies, deciders)

    def _connect(self) -> None:
        self.server.carrier = self.carrier
        self.server.feeds = self.feeds
        self.keeper.once = self.once
        self.keeper.home = self.home
        self.keeper.moves = self.moves
        self.keeper.checks = self.checks
        self.keeper.intake = self.intake

    def _tick_requests(self, now: float) -> None:
        self.carrier.tick(now)
        self.once.tick(now)
        self.assigned.expire(now)
        self.intake.tick(now)

    def _run_ended(self, end: RunEnd, now: float) -> None:
        self._parts.metrics.count(f'run_{end.state}')
        run = end.run
        if run.home:
            self.assigned.ended(end, now)
        elif run.checksum:
            self.endings.ended(end, now)
        else:
            self._replies.send(run.packet, end.answer)
