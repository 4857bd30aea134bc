"""Carries out what the keeper of buckets asks for."""

from redwingstream.agent.feed_checks import FeedChecks
from redwingstream.agent.home import FlowPlacement
from redwingstream.agent.intake import Intake
from redwingstream.agent.moves import FeedMoves
from redwingstream.agent.once import OnceRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.errors import ResultCode
from redwingstream.placement.effects import (
    BucketInEffect,
    Effect,
    FetchNeeded,
    Recorded,
    RecordRefused,
    Send,
)


class KeeperSide:
    """Hands each effect to who it concerns.

    Parameters
    ----------
    parts : AgentParts
        The agent.

    Attributes
    ----------
    once, home, moves, checks, intake
        Who waits for records and buckets; set by the core.
    """

    once: OnceRequests
    home: FlowPlacement
    moves: FeedMoves
    checks: FeedChecks
    intake: Intake

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def perform(self, effects: list[Effect], now: float) -> None:
        """Carry out effects in their order.

        Notes
        -----
        Called by whoever has recorded something, after it has noted the
        ticket: the keeper may answer at once.
        """
        for effect in effects:
            match effect:
                case Send(endpoint, message):
                    self._parts.out.to_peer(endpoint, message)
                case Recorded(ticket):
                    self._recorded(ticket, now)
                case RecordRefused(ticket, reason):
                    self._refused(ticket, reason, now)
                case BucketInEffect(bucket):
                    self.checks.check_soon()
                    self.intake.bucket_in_effect(bucket, now)
                case FetchNeeded(endpoint):
                    newer = self._parts.tables.revision + 1
                    self._parts.out.hear_revision(newer, endpoint)

    def _recorded(self, ticket: int, now: float) -> None:
        if self.once.recorded(ticket, now):
            return
        if not self.home.recorded(ticket, now):
            self.moves.recorded(ticket, now)

    def _refused(self, ticket: int, reason: ResultCode, now: float) -> None:
        self._parts.metrics.count(f'record_refused_{reason.name.lower()}')
        self.once.refused(ticket, reason, now)
        self.home.refused(ticket, reason, now)
        self.moves.refused(ticket, reason, now)
