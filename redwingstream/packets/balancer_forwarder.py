"""A balancer's decisions about packets.

A balancer holds nothing that another process needs.  It remembers where flows
are carried, and without that memory sends a packet to the flow's *home*, the
first agent of the pool by :func:`redwingstream.packets.ranking.ranked`, which
remembers or searches.
"""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.view import AgentView
from redwingstream.openings.caller_timeouts import has_caller_given_up
from redwingstream.packets import events
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.choosing import Choosing, pool_for
from redwingstream.packets.dead_flows import DeadFlows
from redwingstream.packets.early import EarlyPackets
from redwingstream.packets.effects import (
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
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.refusing import Refusing
from redwingstream.packets.routebook import RouteBook
from redwingstream.packets.tries import Tries
from redwingstream.packets.trust import Trust
from redwingstream.tables.rows import Route
from redwingstream.tables.snapshot import Tables

MAX_HINTS = 60000
"""Flows of which a balancer remembers the agent: 15 MB.  Losing one costs its
next packet a hop."""


@attrs.define
class BalancerPacketCounters:
    """What passed a balancer's packet path since the start."""

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
        Where the balancer takes datagrams from other processes.
    zone : str
        Its availability zone.
    codec : PacketCodec
        Reads packets.
    view : AgentView
        The agents of all pools.
    log : callable
        Takes events.
    idle_timeout : float
        Seconds after which a flow without packets is forgotten.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        codec: PacketCodec,
        view: AgentView,
        log: Callable[[Any], None],
        idle_timeout: float,
    ) -> None:
        self.counters = BalancerPacketCounters()
        self.tables = Tables()
        self._address = address
        self._codec = codec
        self._log = log
        self.trust = Trust(log)
        self.refusals = Refusing(codec, log)
        self._choosing = Choosing(zone, view, self.trust)
        self.hints: BoundedTable[FlowId, Address] = BoundedTable(
            MAX_HINTS, idle_timeout
        )
        self._tries = Tries(self.trust)
        self.dead_flows = DeadFlows(view)
        self.early = EarlyPackets()
        self.routes = RouteBook(view)

    def apply_tables(
        self, tables: Tables, route_by_service: dict[Address, Route]
    ) -> None:
        """Go by newer tables from now on."""
        self.tables = tables
        self._choosing.tables = tables
        self.refusals.revision = tables.revision
        self.routes.route_by_service = route_by_service

    def handle_packet(self, packet: bytes, now: float) -> list[Outgoing]:
        """Take a caller's packet from the fabric."""
        self.counters.packets += 1
        return self._steer(self._codec.read(packet), packet, now)

    def retry_early(self, now: float) -> list[Outgoing]:
        """Send on packets that came before the tables or the agents did."""
        sending: list[Outgoing] = []
        for one in self.early.pop_all():
            head = self._codec.read(one.packet)
            if one.is_repeated(now):
                self.refusals.drop(head, 'route or agents not known in time')
            elif self.routes.may_come(head.target, now):
                self.early.keep(one.packet, one.since)
            else:
                sending.extend(self._steer(head, one.packet, now))
        return sending

    def handle_envelope(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        """Take what an agent sent."""
        self.trust.note_heard(source, now)
        match envelope.kind:
            case Kind.CARRIED:
                self._note_carried(envelope, now)
            case Kind.PASSED:
                self._note_passed(envelope, now)
            case Kind.NOT_CARRIED:
                self._note_not_carried(envelope, now)
            case Kind.PING:
                return [peer_datagram(Envelope(Kind.PONG, b''), source)]
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Forget what is old; ask agents that have been silent."""
        self.hints.forget_old(now)
        self._tries.forget_old(now)
        self.dead_flows.forget_old(now)
        ping = Envelope(Kind.PING, b'', self._address)
        pings = [peer_datagram(ping, due) for due in self.trust.due(now)]
        return [*pings, *self.retry_early(now)]

    def reset_dead_flows(self, now: float) -> list[Outgoing]:
        """Tell callers of flows that no server holds; after control answered.

        Without it, callers of flows that have died with their servers wait for
        their requests' time-outs, and the first requests after a loss of power
        fail on dead flows.
        """
        if not self.routes.is_confirmed(now):
            return []
        sending: list[Outgoing] = []
        for head in self.dead_flows.proved(self.routes, now):
            self.counters.declared_dead += 1
            self._log(
                events.FlowDeclaredDead(
                    flow_text(head.inbound),
                    self.tables.revision,
                    round(now - self.routes.confirmed_at, 3),
                ),
            )
            sending.append(ToCaller(self._codec.reset_for(head), head.source))
        return sending

    def _steer(self, head: Head, packet: bytes, now: float) -> list[Outgoing]:
        if head.is_opening:
            return self._open(head, packet, now)
        return self._go_on(head, packet, now)

    def _open(self, head: Head, packet: bytes, now: float) -> list[Outgoing]:
        flow = head.inbound
        self.dead_flows.note_found(flow)
        if self.routes.may_come(head.target, now):
            self.early.keep(packet, now)
            return []
        route = self.routes.find(head.target)
        if route is None:
            return self.refusals.refuse(head, 'no route', 0)
        pool = pool_for(route, flow)
        self.counters.copies += bool(head.acknowledged)
        hint = self.hints.get(flow, now) if head.acknowledged else None
        if hint is not None:
            return [self._opening_to(hint, packet, pool, now)]
        if has_caller_given_up(head.acknowledged, route.rules.timeout):
            return self.refusals.drop(head, 'its caller has given up')
        return self._offer(head, packet, pool, now)

    def _offer(
        self, head: Head, packet: bytes, pool: str, now: float
    ) -> list[Outgoing]:
        flow = head.inbound
        tried = self._tries.tried(flow, now)
        target = self._choosing.for_opening(flow, pool, tried, now)
        if target is None:
            return self.refusals.refuse(head, 'no agent', 0)
        self._tries.note_sent(flow, target, now)
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
        return [self._opening_to(target, packet, pool, now)]

    def _opening_to(
        self, target: Address, packet: bytes, pool: str, now: float
    ) -> ToPeer:
        envelope = Envelope(
            Kind.OPENING,
            packet,
            self._address,
            target,
            pool_hash(pool),
            self.tables.revision,
            visited=self._choosing.doubted(pool, target, now),
        )
        return peer_datagram(envelope, target)

    def _go_on(self, head: Head, packet: bytes, now: float) -> list[Outgoing]:
        flow = head.inbound
        hint = self.hints.get(flow, now)
        if hint is not None:
            self.counters.by_hint += 1
            return [self._ongoing_to(hint, packet)]
        if self.routes.may_come(head.target, now):
            self.early.keep(packet, now)
            return []
        route = self.routes.find(head.target)
        if route is None:
            return self.refusals.drop(head, 'no route')
        missed = self.dead_flows.pools_without(flow, now)
        home = self._choosing.home(flow, route, missed, now)
        if home is None:
            return self.refusals.drop(head, 'no agent')
        self.counters.by_home += 1
        self.trust.note_sent(home, now)
        return [self._ongoing_to(home, packet)]

    def _ongoing_to(self, target: Address, packet: bytes) -> ToPeer:
        envelope = Envelope(
            Kind.ONGOING,
            packet,
            self._address,
            target,
            revision=self.tables.revision,
        )
        return peer_datagram(envelope, target)

    def _note_carried(self, envelope: Envelope, now: float) -> None:
        if envelope.best == NO_ADDRESS:
            return
        flow = self._codec.read(envelope.packet).inbound
        self.hints.put(flow, envelope.best, now)
        self.dead_flows.note_found(flow)
        self._tries.note_answered(flow, now)

    def _note_passed(self, envelope: Envelope, now: float) -> None:
        flow = self._codec.read(envelope.packet).inbound
        self._tries.note_passed(flow, envelope.best, now)

    def _note_not_carried(self, envelope: Envelope, now: float) -> None:
        self.counters.not_carried += 1
        head = self._codec.read(envelope.packet)
        self.hints.pop(head.inbound)
        self.dead_flows.note(head, envelope.pool, envelope.visited, now)
