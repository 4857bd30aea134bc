"""Carries out what the keeper of buckets asks for."""

from redwingstream.agent.feed_checks import FeedChecks
from redwingstream.agent.flow_placement import FlowPlacement
from redwingstream.agent.packet_dispatcher import PacketDispatcher
from redwingstream.agent.feed_moves import FeedMoves
from redwingstream.agent.non_idempotent import NonIdempotentRequests
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

    non_idempotent: NonIdempotentRequests
    home: FlowPlacement
    moves: FeedMoves
    checks: FeedChecks
    dispatcher: PacketDispatcher

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
                    self.dispatcher.retry_held(bucket, now)
                case FetchNeeded(endpoint):
                    newer = self._parts.tables.revision + 1
                    self._parts.out.fetch_if_newer(newer, endpoint)

    def _recorded(self, ticket: int, now: float) -> None:
        if self.non_idempotent.handle_recorded(ticket, now):
            return
        if not self.home.handle_recorded(ticket, now):
            self.moves.recorded(ticket, now)

    def _refused(self, ticket: int, reason: ResultCode, now: float) -> None:
        self._parts.metrics.count(f'record_refused_{reason.name.lower()}')
        self.non_idempotent.handle_record_refused(ticket, reason, now)
        self.home.handle_record_refused(ticket, reason, now)
        self.moves.refused(ticket, reason, now)
