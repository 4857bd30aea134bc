"""The agent as a process: sockets and timers round the core."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

from absl import logging

from redwingstream.agent.core import AgentCore
from redwingstream.agent.inbox import AGENT_MESSAGES, AgentMessage
from redwingstream.agent.parts import (
    AgentIdentity,
    ServerCapacity,
    make_parts,
)
from redwingstream.agent.server_sockets import (
    ServerSockets,
    open_server_sockets,
)
from redwingstream.agent.status import state_of
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
        self._node.on_tables = self._adopt
        self._node.vitals = self._vitals
        self._node.state = self._state
        for message_class in AGENT_MESSAGES:
            self._node.handle(message_class, self._on_frame)
        self._node.handle(ProbeAck, self._on_probe_ack)
        self._core: AgentCore | None = None
        self._is_leaving = False
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
        self._is_leaving = True
        if self._core is None:
            return
        self._core.leave()
        deadline = self._node.now + self._settings.drain_seconds
        while not self._has_left(self._core) and self._node.now < deadline:
            await asyncio.sleep(_DRAIN_TICK)
        self._core.give_up(self._node.now)
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
        self._node.hear_revision(revision, parse_endpoint(endpoint))

    def _has_left(self, core: AgentCore) -> bool:
        """Whether nothing is left here that a stop would cut.

        The buckets must have gone too: until the newest view is settled, a new
        home may still ask this agent for its records.
        """
        view = self._node.history.tables.view_by_pool.get(self._settings.pool)
        if view is None:
            return core.is_idle()
        is_in_view = any(map(core.parts.is_me, view.members))
        return core.is_idle() and not is_in_view and not view.unsettled

    def _adopt(self) -> None:
        if not self._is_current():
            self._make_core()
        if self._core is not None:
            self._core.follow(self._node.history.tables, self._node.now)

    def _is_current(self) -> bool:
        """Whether the core is that of the run that control has admitted."""
        if self._core is None:
            return False
        return self._core.parts.me.incarnation == self._incarnation()

    def _incarnation(self) -> int | None:
        """Return what control and the tables agree on, else None."""
        host = self._settings.host
        member = self._node.history.tables.member_by_host.get(host)
        admitted = self._node.announcer.incarnation
        if member is None or member.incarnation != admitted:
            return None
        return admitted

    def _make_core(self) -> None:
        """Begin to work once this run is admitted and its pool is known.

        A process that was frozen or cut off for longer than its lease is
        admitted anew: what the former run held is no longer valid, and a core
        that kept its incarnation would be home of nothing for ever.
        """
        settings = self._settings
        pool = self._node.history.tables.pool_by_name.get(settings.pool)
        incarnation = self._incarnation()
        if pool is None or incarnation is None:
            return
        if self._core is not None:
            self._core.retire(self._node.now)
        me = AgentIdentity(
            host=settings.host,
            incarnation=incarnation,
            endpoint=str(settings.endpoint),
            zone=settings.zone,
            pool=settings.pool,
            buckets=pool.buckets,
            key=self._key,
        )
        capacity = ServerCapacity(settings.slots, settings.connections)
        parts = make_parts(me, capacity, self, self.metrics, random.Random())
        self._core = AgentCore(parts)
        if self._is_leaving:
            self._core.leave()

    def _vitals(self) -> Vitals:
        if self._core is None:
            return Vitals(revision=self._node.history.tables.revision)
        return self._core.vitals()

    def _on_frame(self, message: AgentMessage, source: Endpoint) -> None:
        if self._core is None:
            self.metrics.count('frame_before_admission')
            return
        self._core.take(message, str(source), self._node.now)

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        if self._core is not None:
            self._core.parts.links.heard(source)
        self._node.hear_revision(ack.revision, source)

    def _on_server(self, packet: bytes, source: int) -> None:
        if self._core is not None:
            self._core.take_from_server(packet, source, self._node.now)

    def _on_refused(self) -> None:
        if self._core is not None:
            self._core.server_refused(self._node.now)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            if not self._is_current():
                self._adopt()
            if self._core is not None:
                self._core.tick(self._node.now)

    def _state(self) -> dict[str, Any]:
        if self._core is None:
            return {'admitted': False}
        return state_of(self._core.parts)
