"""The balancer process: sockets and timers around the decision logic.

The fabric is the network in front of the balancers.  It sends callers' packets
to any balancer, and balancers return the answers through it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from absl import logging

from redwingstream.balancer.forwarder import (
    Drop,
    Forward,
    Forwarder,
    Refuse,
    rejection_response,
)
from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode, WireError
from redwingstream.forwarding.messages import Answer
from redwingstream.membership.messages import Announce, Probe, ProbeAck
from redwingstream.node.guard import count_errors
from redwingstream.node.member import MemberNode
from redwingstream.node.metrics import Metrics
from redwingstream.settings.roles import BalancerSettings
from redwingstream.tables.rows import Role
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import coap, fabric
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams

FABRIC_IDLE_SECONDS = 1.0
"""Seconds without a datagram after which a draining balancer assumes that the
fabric sends it nothing more."""

_PROBE_INTERVAL = 0.1
"""Seconds between two checks which agents to probe, and of a draining balancer
whether the fabric is idle."""


class BalancerRole:
    """One balancer process.

    Parameters
    ----------
    settings : BalancerSettings
        Settings of the process, with its addresses and zone.
    key : bytes
        Key of all frames and of the bucket hash.

    Attributes
    ----------
    metrics : Metrics
        Counters of the process.
    """

    def __init__(self, settings: BalancerSettings, key: bytes) -> None:
        self.settings = settings
        self.metrics = Metrics(
            f'redwingstream.balancer.{settings.host}', settings.statsd
        )
        announcement = Announce(
            host=settings.host,
            role=Role.BALANCER,
            endpoint=str(settings.endpoint),
            zone=settings.zone,
            pool='',
            weight=1,
        )
        self._node = MemberNode(settings, key, announcement, self.metrics)
        self._node.follower.on_tables = self._handle_tables
        self._node.register_handler(Answer, self._handle_answer)
        self._node.register_handler(ProbeAck, self._handle_probe_ack)
        self._forwarder = Forwarder(settings.endpoint, key)
        self._fabric_socket: DatagramSocket | None = None
        self._fabric_source = settings.fabric
        self._fabric_received_at = float()

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Serve while the context is open."""
        async with self._node.opened():
            with open_datagrams(
                self.settings.fabric_endpoint, self._handle_datagram
            ) as sock:
                self._fabric_socket = sock
                probe_task = asyncio.create_task(self._probe_loop())
                logging.info('balancer: %s is up.', self.settings.host)
                try:
                    yield
                finally:
                    probe_task.cancel()

    async def drain(self) -> None:
        """Forward packets until the fabric is idle or the drain time ends."""
        logging.info('balancer: %s drains.', self.settings.host)
        self._node.announcer.leaving = True
        deadline = self._node.now + self.settings.drain_seconds
        self._fabric_received_at = self._node.now
        while self._node.now < min(
            deadline, self._fabric_received_at + FABRIC_IDLE_SECONDS
        ):
            await asyncio.sleep(_PROBE_INTERVAL)
        logging.info('balancer: %s has drained.', self.settings.host)

    def apply_tables(self, tables: Tables) -> None:
        """Replace the tables by newer ones."""
        self._forwarder.apply_tables(tables)

    def _handle_tables(self) -> None:
        self.apply_tables(self._node.follower.history.tables)

    def _handle_datagram(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        try:
            addresses, payload = fabric.unwrap(datagram)
        except WireError:
            self.metrics.count('fabric_malformed')
            return
        self._fabric_source = Endpoint(*source)
        self._fabric_received_at = self._node.now
        match self._forwarder.decide(addresses, payload, self._node.now):
            case Forward(agent, packet):
                self.metrics.count('forwarded')
                self._node.send(agent, packet)
            case Drop():
                self.metrics.count('dropped_without_tables')
            case Refuse(reason):
                self.metrics.count(f'refused_{reason.name.lower()}')
                self._refuse(addresses, payload, reason)

    def _refuse(
        self, addresses: fabric.AddressPair, payload: bytes, reason: ResultCode
    ) -> None:
        try:
            request = coap.decode(payload)
        except WireError:
            self.metrics.count('caller_malformed')
            return
        if coap.is_request(request):
            refusal = rejection_response(request, reason)
            self._send_to_fabric(fabric.wrap(addresses, coap.encode(refusal)))

    def _handle_answer(self, answer: Answer, source: Endpoint) -> None:
        self._forwarder.links.record_heard(source)
        self._node.follower.handle_revision(answer.revision, source)
        self._notify_newer_tables(answer.revision, source)
        try:
            datagram = fabric.wrap_answer(
                answer.caller, answer.service, answer.payload
            )
        except WireError:
            self.metrics.count('answer_malformed')
            return
        self.metrics.count('answered')
        self._send_to_fabric(datagram)

    def _notify_newer_tables(self, revision: int, agent: Endpoint) -> None:
        """Tell an agent with older tables that newer ones exist.

        An agent in a zone that was taken out gets no packets from balancers.
        If control cannot reach it either, its feeds would continue until the
        network partition ends.
        """
        newest = self._node.follower.revision
        if revision < newest:
            self._node.send(agent, ProbeAck(newest))

    def _send_to_fabric(self, datagram: bytes) -> None:
        if self._fabric_source is None or self._fabric_socket is None:
            self.metrics.count('fabric_unknown')
            return
        self._fabric_socket.send(datagram, self._fabric_source.as_pair())

    def _handle_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self._forwarder.links.record_heard(source)
        self._node.follower.handle_revision(ack.revision, source)

    async def _probe_loop(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_INTERVAL)
            with count_errors('probe', self.metrics):
                self._send_probes()

    def _send_probes(self) -> None:
        revision = self._node.follower.revision
        for peer in self._forwarder.links.due_probes(self._node.now):
            self._node.send(peer, Probe(revision))
