"""Entry point of an agent's decisions, without I/O and without a clock.

The runner passes messages, packets of the server and the time in; what is to
be sent leaves through :class:`~redwingstream.agent.outputs.Outputs`.
"""

from redwingstream.agent.assembly import AgentComponents
from redwingstream.agent.message_types import AgentMessage
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
"""Seconds for which requests may still run after their zone is taken out."""


class AgentCore:
    """One run of an agent that the control instances have admitted.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    """

    def __init__(self, parts: AgentParts) -> None:
        self.parts = parts
        self._components = AgentComponents(parts)
        self._zone_out_at: float | None = None
        self._is_stopping = False

    def apply_tables(self, tables: Tables, now: float) -> None:
        """Apply newer tables."""
        parts = self.parts
        components = self._components
        parts.store.now = now
        parts.apply_tables(tables, now)
        view = tables.view_by_pool.get(parts.identity.pool)
        if view is not None:
            components.keeper.perform(parts.keeper.apply_view(view, now), now)
        components.handle_view_change(now)
        member = tables.member_by_host.get(parts.identity.host)
        is_marked = member is not None and member.draining
        parts.is_leaving = self._is_stopping or is_marked
        if parts.is_removed():
            # The homes of its feeds place them with other carriers.
            components.feeds.release_all(now)
        self._check_zone(now)

    def handle_message(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        """Handle a message from another process.

        Parameters
        ----------
        message : AgentMessage
            The decoded message.
        source : str
            ``IP:PORT`` of the sender.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        parts = self.parts
        components = self._components
        parts.store.now = now
        parts.links.record_heard(parse_endpoint(source))
        match message:
            case Packet():
                parts.out.fetch_if_newer(message.revision, source)
                components.dispatcher.handle_packet(message, now)
            case Assigned():
                components.assigned.handle_assignment(message, now)
            case RunOutcome():
                components.non_idempotent.handle_outcome(message, now)
            case LoadReport():
                parts.loads.handle_report(message, now)
            case Record() | RecordAck() | TakeBucket() | BucketGiven():
                effects = parts.keeper.on_message(message, now, source)
                components.keeper.perform(effects, now)
            case _:
                self._handle_feed_message(message, source, now)

    def handle_server_packet(
        self, packet: bytes, source: int, now: float
    ) -> None:
        """Handle a packet from the backend server.

        Parameters
        ----------
        packet : bytes
            The encoded CoAP message.
        source : int
            Number of the socket to the server that received it.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        self.parts.store.now = now
        effects = self.parts.upstream.receive(packet, now, source)
        self._components.server.perform(effects, now)

    def handle_server_unreachable(self, now: float) -> None:
        """Handle the ICMP error that no socket listens at the server's port."""
        effects = self.parts.upstream.handle_unreachable(now)
        self._components.server.perform(effects, now)

    def tick(self, now: float) -> None:
        """Run periodic work; called many times a second."""
        parts = self.parts
        parts.store.now = now
        self._components.tick(now)
        parts.store.evict_expired(now)
        out_at = self._zone_out_at
        if out_at is not None and now - out_at > ZONE_OUT_GRACE:
            self._components.executor.cancel_all(now)

    def leave(self) -> None:
        """Refuse new work and ask the homes to place the feeds elsewhere.

        Called when the process was told to stop.  An operator's drain mark in
        the tables has the same effect, and can be removed again.
        """
        self._is_stopping = True
        self.parts.is_leaving = True
        self._components.feeds.schedule_moves()

    def is_idle(self) -> bool:
        """Whether no request awaits its outcome and no feed is carried here."""
        components = self._components
        unfinished = len(components.executor) + len(components.non_idempotent)
        return not unfinished and not len(self.parts.feeds)

    def end_unfinished(self, now: float) -> None:
        """End requests and feeds that are left when the drain time is over.

        Callers are told what is known of their requests: *not run* only of
        those that certainly have not run.
        """
        self._end_requests(now)
        self._components.feeds.end_all(ResultCode.DRAINING, now)

    def retire(self, now: float) -> None:
        """End this run, because a later run of the process is admitted.

        This happens after the process was frozen or cut off for longer than
        its lease.  Other agents hold its buckets by then and its feeds are
        placed elsewhere, so its state is obsolete.  Requests that the server
        is running for it are cancelled and answered as *unknown*.
        """
        self._end_requests(now)
        self._components.feeds.release_all(now)

    def vitals(self) -> Vitals:
        """Return the load and state that the heartbeat carries."""
        parts = self.parts
        return Vitals(
            revision=parts.tables.revision,
            settled_view=parts.keeper.settled_view(),
            in_flight=parts.limit.in_flight,
            flows=len(parts.feeds),
            limit=parts.limit.limit,
        )

    def _handle_feed_message(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        components = self._components
        match message:
            case FeedMove():
                components.moves.handle_feed_move(message, source, now)
            case FeedEnd():
                components.moves.handle_feed_end(message, now)
            case CarriedFeeds():
                components.checks.handle_carried_feeds(message, source, now)
            case TakeFeed():
                components.feeds.handle_take_feed(message, now)
            case FeedMoved():
                effects = self.parts.feeds.handle_moved(message)
                components.feeds.perform(effects, now)

    def _end_requests(self, now: float) -> None:
        self._components.dispatcher.end_all(now)
        self._components.non_idempotent.end_all(now)
        self._components.executor.cancel_all(now)

    def _check_zone(self, now: float) -> None:
        if not self.parts.is_zone_out():
            self._zone_out_at = None
        elif self._zone_out_at is None:
            self._zone_out_at = now
            self._components.feeds.end_all(ResultCode.ZONE_OUT, now)
