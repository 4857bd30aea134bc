"""A balancer's decisions about packets.

A balancer has no state that another process depends on.  It keeps a *hint* per
flow: the agent that carries the flow, whose server serves it.  Without a hint
it sends the packet to the *home* of the flow, the first agent of the pool by
:func:`redwingstream.packets.ranking.rank_agents`, which knows the carrier or
looks it up.
"""

from collections.abc import Callable

import attrs

from redwingstream.directory.view import AgentView
from redwingstream.links.upload_link import UploadLink
from redwingstream.openings.caller_timeouts import has_caller_given_up
from redwingstream.packets import events
from redwingstream.packets.agent_selector import AgentSelector, pool_for
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.dead_flows import DeadFlows
from redwingstream.packets.early_packets import EarlyPackets
from redwingstream.packets.effects import (
    BulkToPeer,
    Outgoing,
    ToCaller,
    ToPeer,
    peer_datagram,
)
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import (
    NO_ADDRESS,
    Address,
    FlowId,
    Head,
    PacketCodec,
    flow_text,
    text_of,
)
from redwingstream.packets.opening_attempts import OpeningAttempts
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.refusals import Refusals
from redwingstream.packets.route_table import RouteTable
from redwingstream.packets.trust import Trust
from redwingstream.tables.rows import Route
from redwingstream.tables.snapshot import Tables

MAX_HINTS = 60000
"""Maximum number of hints, which take 15 MB.  Without its hint the next packet
of a flow takes one more hop."""


@attrs.define
class BalancerPacketCounters:
    """Counts of packets and flows handled by a balancer since it started.

    Parameters
    ----------
    packets : int
        Packets received from callers.
    opened : int
        Opening packets offered to an agent without a hint.
    copies : int
        Opening packets that are copies.
    by_hint : int
        Packets of open flows sent by a hint.
    by_home : int
        Packets of open flows sent to the home.
    not_carried : int
        Answers that no agent of a pool carries a flow.
    declared_dead : int
        Flows reset because no server holds them.
    malformed : int
        Datagrams that could not be decoded.
    """

    packets: int = 0
    opened: int = 0
    copies: int = 0
    by_hint: int = 0
    by_home: int = 0
    not_carried: int = 0
    declared_dead: int = 0
    malformed: int = 0


class BalancerForwarder:
    """Decides on each packet that reaches a balancer; does no I/O.

    Parameters
    ----------
    address : Address
        Address at which the balancer receives datagrams of other processes.
    zone : str
        Availability zone of the balancer.
    codec : PacketCodec
        Reads and writes packet headers.
    view : AgentView
        Agents of all pools.
    log : callable
        Writes a log event.
    idle_timeout : float
        Seconds without packets after which the hint of a flow is evicted.
    link : UploadLink or None
        Link of the instance; None if its rate is not known.  It is used while
        there is a route of uploads.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        codec: PacketCodec,
        view: AgentView,
        log: Callable[[object], None],
        idle_timeout: float,
        link: UploadLink | None = None,
    ) -> None:
        self.counters = BalancerPacketCounters()
        self.tables = Tables()
        self._address = address
        self._codec = codec
        self._log = log
        self.trust = Trust(log)
        self.refusals = Refusals(codec, log)
        self._selector = AgentSelector(zone, view, self.trust)
        self.hints: BoundedTable[FlowId, Address] = BoundedTable(
            MAX_HINTS, idle_timeout
        )
        self._attempts = OpeningAttempts(self.trust)
        self.dead_flows = DeadFlows(view)
        self.early = EarlyPackets()
        self.routes = RouteTable(view)
        self.link: UploadLink | None = None
        self._own_link = link
        if link is not None:
            self.trust.link_full_at = link.scheduler.full_at

    def apply_tables(
        self, tables: Tables, route_by_service: dict[Address, Route]
    ) -> None:
        """Apply newer tables."""
        self.tables = tables
        self._selector.tables = tables
        self.refusals.revision = tables.revision
        self.routes.route_by_service = route_by_service
        link = self._own_link
        if link is not None:
            self.link = link if link.apply_routes(route_by_service) else None

    def handle_packet(self, packet: bytes, now: float) -> list[Outgoing]:
        """Handle a caller's packet, received from the fabric."""
        self.counters.packets += 1
        return self._forward(self._codec.read(packet), packet, now)

    def retry_early(self, now: float) -> list[Outgoing]:
        """Forward packets that arrived before tables or agents were known."""
        outgoing: list[Outgoing] = []
        for one in self.early.pop_all():
            head = self._codec.read(one.packet)
            if one.is_expired(now):
                self.refusals.drop(head, 'route or agents not known in time')
            elif self.routes.may_become_reachable(head.target, now):
                self.early.add(one.packet, one.received_at)
            else:
                outgoing.extend(self._forward(head, one.packet, now))
        return outgoing

    def handle_envelope(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        """Handle an envelope from an agent."""
        self.trust.record_heard(source, now)
        match envelope.kind:
            case Kind.CARRIED:
                self._record_carried(envelope, now)
            case Kind.PASSED:
                self._record_passed(envelope, now)
            case Kind.NOT_CARRIED:
                self._record_not_carried(envelope, now)
            case Kind.PING:
                return [peer_datagram(Envelope(Kind.PONG, b''), source)]
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Evict expired entries, ping silent agents, retry early packets."""
        self.hints.evict_expired(now)
        self._attempts.evict_expired(now)
        self.dead_flows.evict_expired(now)
        if self._own_link is not None:
            self._own_link.scheduler.check(now)
        ping = Envelope(Kind.PING, b'', self._address)
        pings = [peer_datagram(ping, due) for due in self.trust.due_pings(now)]
        return [*pings, *self.retry_early(now)]

    def reset_dead_flows(self, now: float) -> list[Outgoing]:
        """Send resets to the callers of flows that no server holds.

        To be called after a control instance has answered.  Without resets,
        callers of flows that were lost with their servers wait until their
        requests time out, and the first requests after a power loss fail.
        """
        if not self.routes.is_confirmed(now):
            return []
        outgoing: list[Outgoing] = []
        for head in self.dead_flows.pop_proven(self.routes, now):
            self.counters.declared_dead += 1
            self._log(
                events.FlowDeclaredDead(
                    flow_text(head.inbound),
                    self.tables.revision,
                    round(now - self.routes.confirmed_at, 3),
                ),
            )
            outgoing.append(ToCaller(self._codec.reset_for(head), head.source))
        return outgoing

    def _forward(self, head: Head, packet: bytes, now: float) -> list[Outgoing]:
        if head.is_opening:
            return self._forward_opening(head, packet, now)
        return self._forward_ongoing(head, packet, now)

    def _forward_opening(
        self, head: Head, packet: bytes, now: float
    ) -> list[Outgoing]:
        flow = head.inbound
        self.dead_flows.record_found(flow)
        if self.routes.may_become_reachable(head.target, now):
            self.early.add(packet, now)
            return []
        route = self.routes.find(head.target)
        if route is None:
            return self.refusals.refuse(head, 'no route', 0)
        self.counters.copies += bool(head.acknowledged)
        hint = self.hints.get(flow, now) if head.acknowledged else None
        if hint is not None:
            pool = pool_for(route, flow)
            return [self._opening_datagram(hint, packet, pool, now)]
        if has_caller_given_up(head.acknowledged, route.rules.timeout):
            return self.refusals.drop(head, 'its caller has given up')
        return self._offer_flow(head, packet, route, now)

    def _offer_flow(
        self, head: Head, packet: bytes, route: Route, now: float
    ) -> list[Outgoing]:
        link = self.link
        if link and not link.admits(head, route.rules.timeout, now):
            return self.refusals.refuse(head, 'link full', 0)
        flow = head.inbound
        pool = pool_for(route, flow)
        tried = self._attempts.tried_agents(flow, now)
        target = self._selector.select_for_opening(flow, pool, tried, now)
        if target is None:
            return self.refusals.refuse(head, 'no agent', 0)
        self._attempts.record_sent(flow, target, now)
        self.counters.opened += 1
        self._log(
            events.FlowSent(
                flow_text(flow),
                pool,
                text_of(target),
                self.tables.revision,
                head.acknowledged,
                len(tried),
            ),
        )
        return [self._opening_datagram(target, packet, pool, now)]

    def _opening_datagram(
        self, target: Address, packet: bytes, pool: str, now: float
    ) -> ToPeer:
        envelope = Envelope(
            Kind.OPENING,
            packet,
            self._address,
            target,
            pool_hash(pool),
            self.tables.revision,
            visited=self._selector.doubted_agents(pool, target, now),
        )
        return peer_datagram(envelope, target)

    def _forward_ongoing(
        self, head: Head, packet: bytes, now: float
    ) -> list[Outgoing]:
        flow = head.inbound
        hint = self.hints.get(flow, now)
        if hint is not None:
            self.counters.by_hint += 1
            return [self._ongoing_datagram(hint, head, packet, now)]
        if self.routes.may_become_reachable(head.target, now):
            self.early.add(packet, now)
            return []
        route = self.routes.find(head.target)
        if route is None:
            return self.refusals.drop(head, 'no route')
        searched = self.dead_flows.searched_pools(flow, now)
        home = self._selector.find_home(flow, route, searched, now)
        if home is None:
            return self.refusals.drop(head, 'no agent')
        self.counters.by_home += 1
        self.trust.record_sent(home, now)
        return [self._ongoing_datagram(home, head, packet, now)]

    def _ongoing_datagram(
        self, target: Address, head: Head, packet: bytes, now: float
    ) -> ToPeer | BulkToPeer:
        envelope = Envelope(
            Kind.ONGOING,
            packet,
            self._address,
            target,
            revision=self.tables.revision,
        )
        datagram = peer_datagram(envelope, target)
        if self.link is None:
            return datagram
        return self.link.classify(datagram, head, now)

    def _record_carried(self, envelope: Envelope, now: float) -> None:
        if envelope.best == NO_ADDRESS:
            return
        flow = self._codec.read(envelope.packet).inbound
        self.hints.put(flow, envelope.best, now)
        self.dead_flows.record_found(flow)
        self._attempts.record_answered(flow, now)

    def _record_passed(self, envelope: Envelope, now: float) -> None:
        flow = self._codec.read(envelope.packet).inbound
        self._attempts.record_passed(flow, envelope.best, now)

    def _record_not_carried(self, envelope: Envelope, now: float) -> None:
        self.counters.not_carried += 1
        head = self._codec.read(envelope.packet)
        self.hints.pop(head.inbound)
        self.dead_flows.record_not_found(
            head, envelope.pool, envelope.visited, now
        )
