"""The agent process: sockets and timers around the decision logic."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from absl import logging

from redwingstream.agent.message_types import AGENT_MESSAGES, AgentMessage
from redwingstream.agent.parts import ServerCapacity
from redwingstream.agent.runner import AgentRunner, AgentSetup
from redwingstream.agent.server_sockets import (
    ServerSockets,
    open_server_sockets,
)
from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.membership.messages import Announce, ProbeAck
from redwingstream.node.guard import count_errors
from redwingstream.node.member import MemberNode
from redwingstream.node.metrics import Metrics
from redwingstream.settings.roles import AgentSettings
from redwingstream.tables.rows import Role
from redwingstream.tables.snapshot import Tables

TICK = 0.02
"""Seconds between two ticks of the decision logic."""

_DRAIN_TICK = 0.1
"""Seconds between two checks whether a draining agent has finished."""


class AgentRole:
    """One agent process.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process, with its addresses, zone and pool.
    key : bytes
        Key of all frames and of the bucket hash.
    """

    def __init__(self, settings: AgentSettings, key: bytes) -> None:
        self._settings = settings
        self.metrics = Metrics(
            f'redwingstream.agent.{settings.host}', settings.statsd
        )
        self._runner = AgentRunner(
            _setup(settings, key), self, self.metrics, random.Random()
        )
        self._node = MemberNode(
            settings, key, _announcement(settings), self.metrics
        )
        self._connect()
        self._sockets: ServerSockets | None = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Serve while the context is open."""
        async with self._node.opened():
            with open_server_sockets(
                self._settings.server, self._on_server_packet, self._on_refused
            ) as sockets:
                self._sockets = sockets
                ticking = asyncio.create_task(self._tick())
                logging.info('agent: %s is up.', self._settings.host)
                try:
                    yield
                finally:
                    ticking.cancel()

    async def drain(self) -> None:
        """Leave the pool: accept no new work, finish requests, move feeds.

        What has not finished after ``drain_seconds`` is ended.
        """
        logging.info('agent: %s drains.', self._settings.host)
        self._node.announcer.leaving = True
        self._runner.leave()
        deadline = self._node.now + self._settings.drain_seconds
        while self._node.now < deadline:
            if self._runner.has_left(self._tables()):
                break
            await asyncio.sleep(_DRAIN_TICK)
        self._runner.end_unfinished(self._node.now)
        logging.info('agent: %s has drained.', self._settings.host)

    def to_peer(self, endpoint: str, payload: object) -> None:
        """Send a frame; see :class:`~redwingstream.agent.outputs.Outputs`."""
        self._node.send(parse_endpoint(endpoint), payload)

    def to_server(self, packet: bytes, source: int) -> None:
        """Send a packet to the backend server."""
        if self._sockets is not None:
            self._sockets.send(packet, source)

    def replace_source(self, source: int) -> None:
        """Replace a silent socket."""
        if self._sockets is not None:
            self._sockets.replace(source)

    def fetch_if_newer(self, revision: int, endpoint: str) -> None:
        """Fetch newer tables."""
        self._node.follower.handle_revision(revision, parse_endpoint(endpoint))

    def _connect(self) -> None:
        self._node.follower.on_tables = self._apply_tables
        self._node.vitals = self._runner.vitals
        self._node.describe_state = self._runner.state
        for message_class in AGENT_MESSAGES:
            self._node.register_handler(message_class, self._on_frame)
        self._node.register_handler(ProbeAck, self._on_probe_ack)

    def _tables(self) -> Tables:
        follower = self._node.follower
        return follower.history.tables

    def _apply_tables(self) -> None:
        node = self._node
        incarnation = node.announcer.incarnation
        self._runner.apply_tables(self._tables(), incarnation, node.now)

    def _on_frame(self, message: AgentMessage, source: Endpoint) -> None:
        self._runner.handle_frame(message, str(source), self._node.now)

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self._runner.record_heard(str(source))
        self._node.follower.handle_revision(ack.revision, source)

    def _on_server_packet(self, packet: bytes, source: int) -> None:
        self._runner.handle_server_packet(packet, source, self._node.now)

    def _on_refused(self) -> None:
        self._runner.handle_server_unreachable(self._node.now)

    async def _tick(self) -> None:
        applied_incarnation = 0
        while True:
            await asyncio.sleep(TICK)
            with count_errors('tick', self.metrics):
                if self._node.announcer.incarnation != applied_incarnation:
                    # The admission may arrive after the tables that contain
                    # it.
                    applied_incarnation = self._node.announcer.incarnation
                    self._apply_tables()
                self._runner.tick(self._node.now)


def _setup(settings: AgentSettings, key: bytes) -> AgentSetup:
    return AgentSetup(
        host=settings.host,
        endpoint=str(settings.endpoint),
        zone=settings.zone,
        pool=settings.pool,
        key=key,
        capacity=ServerCapacity(settings.slots, settings.connections),
    )


def _announcement(settings: AgentSettings) -> Announce:
    return Announce(
        host=settings.host,
        role=Role.AGENT,
        endpoint=str(settings.endpoint),
        zone=settings.zone,
        pool=settings.pool,
        weight=settings.weight,
    )
