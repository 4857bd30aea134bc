"""The agent as a process: sockets and timers round the core."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import attrs
from absl import logging

from redwingstream.agent.core import AGENT_MESSAGES, AgentCore, AgentMessage
from redwingstream.agent.parts import (
    AgentIdentity,
    ServerCapacity,
    make_parts,
)
from redwingstream.agent.server_sockets import (
    ServerSockets,
    open_server_sockets,
)
from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.membership.announcer import Vitals
from redwingstream.membership.messages import Announce, ProbeAck
from redwingstream.node.member import MemberNode
from redwingstream.node.metrics import Metrics
from redwingstream.settings.roles import AgentSettings
from redwingstream.tables.rows import Role

TICK = 0.02
_DRAIN_TICK = 0.1


class AgentRole:
    """One agent process.

    Parameters
    ----------
    settings : AgentSettings
        Where it stands.
    key : bytes
        Key of all frames and of the bucket hash.
    """

    def __init__(self, settings: AgentSettings, key: bytes) -> None:
        self._settings = settings
        self._key = key
        self.metrics = Metrics(
            f'redwingstream.agent.{settings.host}', settings.statsd
        )
        announcement = Announce(
            host=settings.host,
            role=Role.AGENT,
            endpoint=str(settings.endpoint),
            zone=settings.zone,
            pool=settings.pool,
            weight=settings.weight,
        )
        self._node = MemberNode(settings, key, announcement, self.metrics)
        self._node.follower.on_tables = self._adopt
        self._node.vitals = self._vitals
        self._node.state = self._state
        for message_class in AGENT_MESSAGES:
            self._node.handle(message_class, self._on_frame)
        self._node.handle(ProbeAck, self._on_probe_ack)
        self._core: AgentCore | None = None
        self._sockets: ServerSockets | None = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Serve for as long as the block lasts."""
        async with self._node.opened():
            with open_server_sockets(
                self._settings.server, self._on_server, self._on_refused
            ) as sockets:
                self._sockets = sockets
                ticking = asyncio.create_task(self._tick())
                logging.info('agent: %s is up.', self._settings.host)
                try:
                    yield
                finally:
                    ticking.cancel()

    async def drain(self) -> None:
        """Leave: no new work, running requests finish, feeds move away."""
        logging.info('agent: %s drains.', self._settings.host)
        self._node.announcer.leaving = True
        core = self._core
        if core is None:
            return
        core.leave()
        deadline = self._node.now + self._settings.drain_seconds
        while not self._has_left(core) and self._node.now < deadline:
            await asyncio.sleep(_DRAIN_TICK)
        core.give_up(self._node.now)
        logging.info('agent: %s has drained.', self._settings.host)

    def to_peer(self, endpoint: str, payload: object) -> None:
        """Send a frame; see :class:`~redwingstream.agent.outlets.Outlets`."""
        self._node.send(parse_endpoint(endpoint), payload)

    def to_server(self, packet: bytes, source: int) -> None:
        """Send a packet to the backend server."""
        if self._sockets is not None:
            self._sockets.send(packet, source)

    def replace_source(self, source: int) -> None:
        """Replace a silent socket."""
        if self._sockets is not None:
            self._sockets.replace(source)

    def hear_revision(self, revision: int, endpoint: str) -> None:
        """Fetch newer tables."""
        self._node.follower.hear(revision, parse_endpoint(endpoint))

    def _has_left(self, core: AgentCore) -> bool:
        """Whether nothing is left here that a stop would cut.

        The buckets must have gone too: until the newest view is settled, a new
        home may still ask this agent for its records.
        """
        view = self._node.follower.history.tables.view_by_pool.get(
            self._settings.pool
        )
        if view is None:
            return core.is_idle()
        is_in_view = any(map(core.parts.is_me, view.members))
        return core.is_idle() and not is_in_view and not view.unsettled

    def _adopt(self) -> None:
        core = self._core or self._make_core()
        if core is not None:
            core.follow(self._node.follower.history.tables, self._node.now)

    def _make_core(self) -> AgentCore | None:
        """Begin to work once this run is admitted and its pool is known."""
        tables = self._node.follower.history.tables
        settings = self._settings
        pool = tables.pool_by_name.get(settings.pool)
        member = tables.member_by_host.get(settings.host)
        if pool is None or member is None:
            return None
        if member.incarnation != self._node.announcer.incarnation:
            return None
        me = AgentIdentity(
            host=settings.host,
            incarnation=member.incarnation,
            endpoint=str(settings.endpoint),
            zone=settings.zone,
            pool=settings.pool,
            buckets=pool.buckets,
            key=self._key,
        )
        capacity = ServerCapacity(settings.slots, settings.connections)
        parts = make_parts(me, capacity, self, self.metrics, random.Random())
        self._core = AgentCore(parts)
        return self._core

    def _vitals(self) -> Vitals:
        if self._core is None:
            return Vitals(revision=self._node.follower.history.tables.revision)
        return self._core.vitals()

    def _on_frame(self, message: AgentMessage, source: Endpoint) -> None:
        if self._core is None:
            self.metrics.count('frame_before_admission')
            return
        self._core.take(message, str(source), self._node.now)

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        if self._core is not None:
            self._core.parts.links.heard(source)
        self._node.follower.hear(ack.revision, source)

    def _on_server(self, packet: bytes, source: int) -> None:
        if self._core is not None:
            self._core.take_from_server(packet, source, self._node.now)

    def _on_refused(self) -> None:
        if self._core is not None:
            self._core.server_refused(self._node.now)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            if self._core is None:
                self._adopt()
            else:
                self._core.tick(self._node.now)

    def _state(self) -> dict[str, Any]:
        core = self._core
        if core is None:
            return {'admitted': False}
        parts = core.parts
        return {
            'admitted': True,
            'in_flight': parts.limit.in_flight,
            'limit': parts.limit.limit,
            'feed_limit': parts.feed_limit.limit,
            'feeds': len(parts.feeds),
            'flows': len(parts.store.flows),
            'ledger': len(parts.store.ledger),
            'leaving': parts.is_leaving,
            'server_silent': parts.server_is_silent,
            'settled_view': parts.keeper.settled_view(),
            'buckets': {
                bucket: type(parts.keeper.status(bucket)).__name__
                for bucket in range(parts.me.buckets)
            },
            'upstream': attrs.asdict(parts.upstream.counters),
            'feed_counters': attrs.asdict(parts.feeds.counters),
        }
