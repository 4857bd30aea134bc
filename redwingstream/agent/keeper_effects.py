"""Performs the effects of the bucket keeper.

The keeper decides without I/O and returns effects; this module sends its
messages and informs the objects that wait for records or buckets.
"""

from redwingstream.agent.feed_checks import FeedChecks
from redwingstream.agent.feed_moves import FeedMoves
from redwingstream.agent.flow_placement import FlowPlacement
from redwingstream.agent.non_idempotent import NonIdempotentRequests
from redwingstream.agent.packet_dispatcher import PacketDispatcher
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


class KeeperEffectHandler:
    """Passes each effect of the keeper to the object that handles it.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.

    Attributes
    ----------
    non_idempotent, home, moves, checks, dispatcher
        Objects that wait for records and buckets; set by the assembly.
    """

    non_idempotent: NonIdempotentRequests
    home: FlowPlacement
    moves: FeedMoves
    checks: FeedChecks
    dispatcher: PacketDispatcher

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def perform(self, effects: list[Effect], now: float) -> None:
        """Perform effects in their order.

        Notes
        -----
        An object that records something calls this after it has stored the
        ticket, since the keeper may answer the record immediately.
        """
        for effect in effects:
            match effect:
                case Send(endpoint, message):
                    self._parts.out.to_peer(endpoint, message)
                case Recorded(ticket):
                    self._handle_recorded(ticket, now)
                case RecordRefused(ticket, reason):
                    self._handle_refused(ticket, reason, now)
                case BucketInEffect(bucket):
                    self.checks.schedule_check()
                    self.dispatcher.retry_held(bucket, now)
                case FetchNeeded(endpoint):
                    newer = self._parts.tables.revision + 1
                    self._parts.out.fetch_if_newer(newer, endpoint)

    def _handle_recorded(self, ticket: int, now: float) -> None:
        if self.non_idempotent.handle_recorded(ticket, now):
            return
        if not self.home.handle_recorded(ticket, now):
            self.moves.handle_recorded(ticket, now)

    def _handle_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        self._parts.metrics.count(f'record_refused_{reason.name.lower()}')
        self.non_idempotent.handle_record_refused(ticket, reason, now)
        self.home.handle_record_refused(ticket, reason, now)
        self.moves.handle_record_refused(ticket, reason, now)
