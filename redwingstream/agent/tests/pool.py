"""A pool simulated in one process, with an in-memory network and clock.

The decisions of agents and balancers are the real code.  Callers, backend
servers and control instances are fakes; there are no sockets and no consensus.
"""

import itertools
import random

import attrs

from redwingstream.agent.core import AgentCore
from redwingstream.agent.parts import ServerCapacity
from redwingstream.agent.runner import AgentRunner, AgentSetup
from redwingstream.agent.tests.exchange import Exchange, Frame
from redwingstream.agent.tests.fake_caller import CallerPacket, FakeCaller
from redwingstream.agent.tests.fake_server import FakeServer, ServerPacket
from redwingstream.balancer.forwarder import (
    Forward,
    Forwarder,
    Refuse,
    rejection_response,
)
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Answer
from redwingstream.membership.messages import Probe, ProbeAck
from redwingstream.node.metrics import Metrics
from redwingstream.placement.rendezvous import bucket_of, pair_of
from redwingstream.tables.rows import (
    EarlierView,
    Member,
    Pool,
    PoolView,
    Role,
    Route,
    ViewMember,
    ZoneMark,
)
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import coap
from redwingstream.wire.fabric import AddressPair

POOL = 'lot-desk'
SERVICE = '198.51.100.1:5683'
CONTROL = '10.9.0.1:7000'
KEY = b'a key of the pool in these tests'
CONNECTIONS = 2000
BUCKETS = 16
LEASE = 3.0
LEAVE_NOTICE_DELAY = 0.6
"""Seconds until the control instances learn that an agent leaves."""

HEARTBEAT_INTERVAL = 0.5
ZONES = ('godoy-cruz', 'lujan', 'maipu')


@attrs.frozen
class Heartbeat:
    """A fake heartbeat."""

    host: str
    boot: int
    incarnation: int
    settled_view: int


@attrs.frozen
class Admitted:
    """Answer of the control instances that contains a process's incarnation."""

    incarnation: int


@attrs.frozen
class Fetch:
    """Request for the tables of another process."""


class Agent:
    """An agent process; implements the outputs of its core."""

    def __init__(
        self, pool: 'FakePool', host: str, boot: int, server: str
    ) -> None:
        self.host = host
        self.endpoint = pool.endpoint_by_host[host]
        self.metrics = Metrics('agent', None)
        self.tables = Tables()
        setup = AgentSetup(
            host=host,
            endpoint=self.endpoint,
            zone=pool.zone_by_host[host],
            pool=POOL,
            key=KEY,
            capacity=ServerCapacity(pool.slots, CONNECTIONS),
        )
        rng = random.Random(f'{host} {boot}')
        self.runner = AgentRunner(setup, self, self.metrics, rng)
        self._boot = boot
        self._exchange = pool.exchange
        self._server = server
        self._incarnation = 0
        self._heartbeat_at = float()

    @property
    def core(self) -> AgentCore:
        """The core of the current run."""
        return self.runner.core

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a frame."""
        match frame.payload:
            case Tables(revision=revision):
                if revision > self.tables.revision:
                    self.tables = frame.payload
                    self._apply_tables(now)
            case Admitted(incarnation):
                self._incarnation = incarnation
                self._apply_tables(now)
            case Fetch():
                self.to_peer(frame.source, self.tables)
            case Probe(revision):
                self.to_peer(frame.source, ProbeAck(self.tables.revision))
                self.fetch_if_newer(revision, frame.source)
            case _:
                self._handle_message(frame, now)

    def tick(self, now: float) -> None:
        """Send a heartbeat if due, and run periodic work."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL
            settled = self.runner.vitals().settled_view
            heartbeat = Heartbeat(
                self.host, self._boot, self._incarnation, settled
            )
            self.to_peer(CONTROL, heartbeat)
        self.runner.tick(now)

    def to_peer(self, endpoint: str, payload: object) -> None:
        """Send a message to a process."""
        self._exchange.send(self.endpoint, endpoint, payload)

    def to_server(self, packet: bytes, source: int) -> None:
        """Send a packet to the fake server."""
        self.to_peer(self._server, ServerPacket(packet, source))

    def replace_source(self, source: int) -> None:
        """Do nothing, because there are no sockets here."""

    def fetch_if_newer(self, revision: int, endpoint: str) -> None:
        """Fetch newer tables."""
        if revision > self.tables.revision:
            self.to_peer(endpoint, Fetch())

    def _handle_message(self, frame: Frame, now: float) -> None:
        match frame.payload:
            case ServerPacket(payload, source):
                self.runner.handle_server_packet(payload, source, now)
            case ProbeAck(revision):
                self.runner.record_heard(frame.source)
                self.fetch_if_newer(revision, frame.source)
            case _:
                self.runner.handle_frame(frame.payload, frame.source, now)

    def _apply_tables(self, now: float) -> None:
        self.runner.apply_tables(self.tables, self._incarnation, now)


class Balancer:
    """A balancer: the real forwarding decisions without the fabric."""

    def __init__(self, pool: 'FakePool', endpoint: str) -> None:
        self.tables = Tables()
        self.endpoint = endpoint
        self._exchange = pool.exchange
        self._forwarder = Forwarder(parse_endpoint(endpoint), KEY)

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a frame from an agent or a packet from a caller."""
        match frame.payload:
            case Tables(revision=revision):
                if revision > self.tables.revision:
                    self.tables = frame.payload
                    self._forwarder.apply_tables(self.tables)
            case CallerPacket():
                self._forward(frame.payload, now)
            case Answer(revision, caller, service, payload):
                self._record_heard(frame.source, revision)
                packet = CallerPacket(caller, service, payload)
                self._exchange.send(self.endpoint, caller, packet)
            case ProbeAck(revision):
                self._record_heard(frame.source, revision)
            case Fetch():
                self._exchange.send(self.endpoint, frame.source, self.tables)

    def tick(self, now: float) -> None:
        """Probe silent agents."""
        for peer in self._forwarder.links.due_probes(now):
            probe = Probe(self.tables.revision)
            self._exchange.send(self.endpoint, str(peer), probe)

    def _record_heard(self, source: str, revision: int) -> None:
        self._forwarder.links.record_heard(parse_endpoint(source))
        if revision > self.tables.revision:
            self._exchange.send(self.endpoint, source, Fetch())

    def _forward(self, packet: CallerPacket, now: float) -> None:
        way = AddressPair(
            parse_endpoint(packet.caller), parse_endpoint(packet.service)
        )
        match self._forwarder.decide(way, packet.payload, now):
            case Forward(agent, forwarded):
                self._exchange.send(self.endpoint, str(agent), forwarded)
            case Refuse(reason):
                self._refuse(packet, reason)

    def _refuse(self, packet: CallerPacket, reason: ResultCode) -> None:
        request = coap.decode(packet.payload)
        if coap.is_request(request):
            payload = coap.encode(rejection_response(request, reason))
            answer = attrs.evolve(packet, payload=payload)
            self._exchange.send(self.endpoint, packet.caller, answer)


class Control:
    """Fake of the control instances: members, leases, views and drain marks."""

    def __init__(self, exchange: Exchange, tables: Tables) -> None:
        self.tables = tables
        self._exchange = exchange
        self._heard_at: dict[str, float] = {}
        self._settled: dict[str, int] = {}
        self._known_revision: dict[str, int] = {}
        self._announced_by_host: dict[str, Member] = {}
        exchange.process_by_address[CONTROL] = self

    def announce(self, member: Member) -> None:
        """Register the member that a process becomes at its first heartbeat."""
        self._announced_by_host[member.host] = member

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a heartbeat or a request for tables."""
        match frame.payload:
            case Heartbeat(host, boot, incarnation, settled):
                self._heard_at[host] = now
                self._settled[host] = settled
                self._answer(frame.source, host, boot, incarnation)
            case Fetch():
                self._exchange.send(CONTROL, frame.source, self.tables)

    def tick(self, now: float) -> None:
        """Remove silent members, settle views, send tables."""
        for member in list(self.tables.member_by_host.values()):
            heard_at = self._heard_at.setdefault(member.host, now)
            if member.role is Role.AGENT and now - heard_at > LEASE:
                self.remove(member.host)
        self._settle()
        revision = self.tables.revision
        for endpoint, process in self._exchange.process_by_address.items():
            if isinstance(process, Agent | Balancer):
                if process.tables.revision < revision:
                    self._exchange.send(CONTROL, endpoint, self.tables)

    def restart(self) -> None:
        """Restart as a new leader, which removes no member before a lease."""
        self._heard_at.clear()
        self._exchange.process_by_address[CONTROL] = self

    def remove(self, host: str) -> None:
        """Remove a member."""
        members = dict(self.tables.member_by_host)
        members.pop(host, None)
        self._commit(members)

    def mark_draining(self, host: str, *, is_draining: bool = True) -> None:
        """Set or clear the drain mark; a draining member is not in the view."""
        members = dict(self.tables.member_by_host)
        if host not in members:
            return
        members[host] = attrs.evolve(members[host], draining=is_draining)
        self._commit(members)

    def replace_balancers(self, balancers: tuple[str, ...]) -> None:
        """Replace the balancers in the tables."""
        members = {
            host: member
            for host, member in self.tables.member_by_host.items()
            if member.role is Role.AGENT
        }
        self._commit(members | balancer_members(balancers))

    def mark_zone(self, zone: str, *, is_out: bool) -> None:
        """Take a zone out of service, or back in."""
        zones = {**self.tables.zone_by_name, zone: ZoneMark(zone, is_out)}
        self.tables = attrs.evolve(self.tables, zone_by_name=zones)
        self._commit(dict(self.tables.member_by_host))

    def _answer(
        self, source: str, host: str, boot: int, incarnation: int
    ) -> None:
        known = self.tables.member_by_host.get(host)
        if known is None or known.boot != boot:
            announced = self._announced_by_host[host]
            members = dict(self.tables.member_by_host)
            known = attrs.evolve(
                announced, boot=boot, incarnation=self.tables.revision + 1
            )
            members[host] = known
            self._commit(members)
        if known.incarnation != incarnation:
            self._exchange.send(CONTROL, source, Admitted(known.incarnation))

    def _commit(self, members: dict[str, Member]) -> None:
        revision = self.tables.revision + 1
        former = self.tables.view_by_pool[POOL]
        serving = tuple(
            ViewMember(
                member.host,
                member.incarnation,
                member.endpoint,
                member.zone,
            )
            for host, member in sorted(members.items())
            if member.role is Role.AGENT
            and not member.draining
            and not self.tables.is_zone_out(member.zone)
        )
        view = former
        if serving != former.members:
            earlier = EarlierView(former.number, former.members)
            unsettled = (earlier, *former.unsettled) if former.number else ()
            view = PoolView(POOL, revision, serving, unsettled)
        self.tables = attrs.evolve(
            self.tables,
            revision=revision,
            member_by_host=members,
            view_by_pool={POOL: view},
        )

    def _settle(self) -> None:
        view = self.tables.view_by_pool[POOL]
        hosts = [member.host for member in view.members]
        if not view.unsettled or not hosts:
            return
        if all(self._settled.get(host, 0) >= view.number for host in hosts):
            settled = attrs.evolve(view, unsettled=())
            self.tables = attrs.evolve(
                self.tables,
                revision=self.tables.revision + 1,
                view_by_pool={POOL: settled},
            )


class FakePool:
    """A pool of agents and servers, with balancers, control and callers.

    Parameters
    ----------
    hosts : int
        Number of agents.
    slots : int
        Number of concurrent requests that each server can run.
    started : int, optional
        Number of agents started at first; all by default.
    """

    def __init__(
        self, hosts: int = 3, slots: int = 3, started: int | None = None
    ) -> None:
        self.exchange = Exchange()
        self.slots = slots
        self.service = SERVICE
        self.hosts = tuple(f'lot-{number}' for number in range(hosts))
        self.endpoint_by_host = {
            host: f'10.0.0.{number + 1}:7000'
            for number, host in enumerate(self.hosts)
        }
        self.zone_by_host = dict(zip(self.hosts, itertools.cycle(ZONES)))
        self.balancers = tuple(f'10.0.1.{number}:7000' for number in (1, 2, 3))
        self.callers: list[FakeCaller] = []
        self.server_by_host: dict[str, FakeServer] = {}
        self._boots = itertools.count(1)
        self.control = Control(self.exchange, self._first_tables())
        for endpoint in self.balancers:
            self.start_balancer(endpoint)
        for host in self.hosts:
            address = f'server of {host}'
            server = FakeServer(self.exchange, address, slots)
            self.server_by_host[host] = server
        for first in self.hosts[:started]:
            self.start(first)

    def start(self, host: str) -> Agent:
        """Start an agent, for the first time or after it was killed."""
        endpoint = self.endpoint_by_host[host]
        member = Member(
            host=host,
            role=Role.AGENT,
            incarnation=0,
            boot=0,
            endpoint=endpoint,
            zone=self.zone_by_host[host],
            pool=POOL,
        )
        self.control.announce(member)
        agent = Agent(self, host, next(self._boots), f'server of {host}')
        self.exchange.process_by_address[endpoint] = agent
        return agent

    def start_balancer(self, endpoint: str) -> None:
        """Start a balancer, for the first time or after it was killed."""
        balancer = Balancer(self, endpoint)
        self.exchange.process_by_address[endpoint] = balancer

    def replace_balancers(self) -> None:
        """Replace all balancers by new ones at other endpoints."""
        former = self.balancers
        self.balancers = tuple(
            f'10.0.2.{number}:7000' for number in range(1, len(former) + 1)
        )
        for endpoint in self.balancers:
            self.start_balancer(endpoint)
        self.control.replace_balancers(self.balancers)
        for caller in self.callers:
            caller.balancers = self.balancers
        for former_endpoint in former:
            self.kill(former_endpoint)

    def leave(self, host: str) -> None:
        """Make an agent leave, as when its process is told to stop."""
        self.agent(host).runner.leave()
        self.exchange.call_later(
            LEAVE_NOTICE_DELAY, lambda: self.control.mark_draining(host)
        )

    def living(self) -> tuple[str, ...]:
        """Return the hosts whose agents are running."""
        return tuple(
            host
            for host, endpoint in self.endpoint_by_host.items()
            if endpoint in self.exchange.process_by_address
        )

    def kill(self, address: str) -> None:
        """Crash the process at an address."""
        self.exchange.process_by_address.pop(address, None)

    def agent(self, host: str) -> Agent:
        """Return the running agent of a host."""
        return self.exchange.process_by_address[self.endpoint_by_host[host]]

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.exchange.run(seconds)

    def caller(self, number: int = 1) -> FakeCaller:
        """Create and return a caller."""
        address = f'192.0.2.{number}:5000'
        new_caller = FakeCaller(self.exchange, address, SERVICE, self.balancers)
        self.callers.append(new_caller)
        return new_caller

    def pair(self, caller: FakeCaller) -> tuple[str, str]:
        """Return the hosts of home and heir of a caller's bucket."""
        parts = self.agent(self.living()[-1]).core.parts
        bucket = parts.bucket_of(caller.address, SERVICE)
        return parts.home_of(bucket).host, parts.heir_of(bucket).host

    def home_of_all(self, caller: FakeCaller) -> str:
        """Return the home of a caller's bucket once all agents serve."""
        members = tuple(
            ViewMember(host, 1, endpoint, self.zone_by_host[host])
            for host, endpoint in self.endpoint_by_host.items()
        )
        bucket = bucket_of(caller.address, SERVICE, BUCKETS, KEY)
        return pair_of(members, POOL, bucket).home.host

    def runs(self, body: bytes) -> int:
        """Return how often a non-idempotent request has run on any server."""
        servers = self.server_by_host.values()
        return sum(server.runs_by_key[body] for server in servers)

    def total(self, name: str) -> int:
        """Return a counter summed over the running agents."""
        processes = self.exchange.process_by_address.values()
        return sum(
            process.metrics.total_by_name[name]
            for process in processes
            if isinstance(process, Agent)
        )

    def _first_tables(self) -> Tables:
        route = Route(SERVICE, POOL)
        return Tables(
            revision=10,
            route_by_key={route.key: route},
            pool_by_name={POOL: Pool(POOL, ('lot-*',), BUCKETS)},
            member_by_host=balancer_members(self.balancers),
            view_by_pool={POOL: PoolView(POOL, 0, ())},
        )


def balancer_members(balancers: tuple[str, ...]) -> dict[str, Member]:
    """Return rows of the member table for balancers at these endpoints."""
    return {
        f'entry {endpoint}': Member(
            host=f'entry {endpoint}',
            role=Role.BALANCER,
            incarnation=number,
            boot=number,
            endpoint=endpoint,
            zone=ZONES[0],
        )
        for number, endpoint in enumerate(balancers, start=1)
    }
