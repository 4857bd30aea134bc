"""The balancer as a process: sockets and timers round the forwarder."""

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

QUIET_SECONDS = 1.0
"""A fabric that hands in nothing for so long has stopped to."""

_PROBE_TICK = 0.1


class BalancerRole:
    """Takes datagrams of the fabric and answers of agents.

    Parameters
    ----------
    settings : BalancerSettings
        Where it stands.
    key : bytes
        Key of all frames and of the bucket hash.
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
        self._node.follower.on_tables = self._on_tables
        self._node.register_handler(Answer, self._on_answer)
        self._node.register_handler(ProbeAck, self._on_probe_ack)
        self._forwarder = Forwarder(settings.endpoint, key)
        self._fabric_socket: DatagramSocket | None = None
        self._fabric_source = settings.fabric
        self._fabric_at = float()

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Serve for as long as the block lasts."""
        async with self._node.opened():
            with open_datagrams(
                self.settings.fabric_endpoint, self._on_fabric
            ) as sock:
                self._fabric_socket = sock
                probing = asyncio.create_task(self._probe())
                logging.info('balancer: %s is up.', self.settings.host)
                try:
                    yield
                finally:
                    probing.cancel()

    async def drain(self) -> None:
        """Go on forwarding until the fabric has stopped handing in packets."""
        logging.info('balancer: %s drains.', self.settings.host)
        self._node.announcer.leaving = True
        deadline = self._node.now + self.settings.drain_seconds
        self._fabric_at = self._node.now
        while self._node.now < min(deadline, self._fabric_at + QUIET_SECONDS):
            await asyncio.sleep(_PROBE_TICK)
        logging.info('balancer: %s has drained.', self.settings.host)

    def adopt(self, tables: Tables) -> None:
        """Go by newer tables from now on."""
        self._forwarder.apply_tables(tables)

    def _on_tables(self) -> None:
        self.adopt(self._node.follower.history.tables)

    def _on_fabric(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            way, payload = fabric.unwrap(datagram)
        except WireError:
            self.metrics.count('fabric_malformed')
            return
        self._fabric_source = Endpoint(*source)
        self._fabric_at = self._node.now
        match self._forwarder.decide(way, payload, self._node.now):
            case Forward(agent, packet):
                self.metrics.count('forwarded')
                self._node.send(agent, packet)
            case Drop():
                self.metrics.count('dropped_without_tables')
            case Refuse(reason):
                self.metrics.count(f'refused_{reason.name.lower()}')
                self._refuse(way, payload, reason)

    def _refuse(
        self, way: fabric.AddressPair, payload: bytes, reason: ResultCode
    ) -> None:
        try:
            request = coap.decode(payload)
        except WireError:
            self.metrics.count('caller_malformed')
            return
        if coap.is_request(request):
            refusal = rejection_response(request, reason)
            self._to_fabric(fabric.wrap(way, coap.encode(refusal)))

    def _on_answer(self, answer: Answer, source: Endpoint) -> None:
        self._forwarder.links.record_heard(source)
        self._node.follower.handle_revision(answer.revision, source)
        self._tell_newer(answer.revision, source)
        try:
            datagram = fabric.wrap_answer(
                answer.caller, answer.service, answer.payload
            )
        except WireError:
            self.metrics.count('answer_malformed')
            return
        self.metrics.count('answered')
        self._to_fabric(datagram)

    def _tell_newer(self, revision: int, agent: Endpoint) -> None:
        """Let an agent with older tables know that there are newer ones.

        Guards against an agent that control cannot reach and that balancers
        send nothing to any more, since its zone was taken out: its feeds
        would go on for as long as the cut lasts.
        """
        newest = self._node.follower.revision
        if revision < newest:
            self._node.send(agent, ProbeAck(newest))

    def _to_fabric(self, datagram: bytes) -> None:
        if self._fabric_source is None or self._fabric_socket is None:
            self.metrics.count('fabric_unknown')
            return
        self._fabric_socket.send(datagram, self._fabric_source.as_pair())

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self._forwarder.links.record_heard(source)
        self._node.follower.handle_revision(ack.revision, source)

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_TICK)
            with count_errors('probe', self.metrics):
                self._probe_once()

    def _probe_once(self) -> None:
        revision = self._node.follower.revision
        for peer in self._forwarder.links.due_probes(self._node.now):
            self._node.send(peer, Probe(revision))
