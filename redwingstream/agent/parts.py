"""The decision objects of one agent, put together."""

import attrs

from redwingstream.admission.peer_choice import PeerLoads
from redwingstream.admission.retry_delays import RetryDelays, OverloadGauge
from redwingstream.admission.feed_limit import FeedLimit
from redwingstream.admission.concurrency_limit import ConcurrencyLimit
from redwingstream.admission.retry_budget import RetryBudget
from redwingstream.agent.outputs import Outputs
from redwingstream.agent.store import AgentStore
from redwingstream.endpoints import parse_endpoint
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.paths import ReturnPaths
from redwingstream.flows.upstream import Upstream
from redwingstream.membership.peers import PeerLinks
from redwingstream.node.metrics import Metrics
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.rendezvous import PairTable, bucket_of
from redwingstream.tables.routing import Routing
from redwingstream.tables.rows import Role, ViewMember
from redwingstream.tables.snapshot import Tables

REPLAY_HORIZON = 247.0
"""Seconds in which a caller may repeat a message (RFC 7252, section 4.8.2)."""


@attrs.frozen
class AgentIdentity:
    """Who this agent is.

    Parameters
    ----------
    host : str
        Name of its host.
    incarnation : int
        Which run of it, as admitted.
    endpoint : str
        ``IP:PORT`` of it.
    zone : str
        Its availability zone.
    pool : str
        Pool that its server serves.
    buckets : int
        How many buckets the pool has.
    key : bytes
        Key of the bucket hash.
    """

    host: str
    incarnation: int
    endpoint: str
    zone: str
    pool: str
    buckets: int
    key: bytes

    @property
    def carrier(self) -> str:
        """How flow records name this run of the agent."""
        return carrier_name(self.host, self.incarnation)


@attrs.frozen
class ServerCapacity:
    """What the backend server can bear at the most.

    Parameters
    ----------
    slots : int
        Requests at once.
    connections : int
        Feeds at once.
    """

    slots: int
    connections: int


@attrs.define(eq=False)
class AgentParts:
    """State that the modules of an agent share; each part has one owner.

    Parameters
    ----------
    me : AgentIdentity
        Who this agent is.
    out : Outputs
        What it can do.
    metrics : Metrics
        What it counts.
    store : AgentStore
        Ledger, flows and transfers by bucket.
    keeper : BucketKeeper
        Which buckets are here, and under which fence.
    upstream : Upstream
        The server's side.
    feeds : FeedCarrier
        The callers' side of the feeds carried here.
    """

    identity: AgentIdentity
    out: Outputs
    metrics: Metrics
    store: AgentStore
    keeper: BucketKeeper
    upstream: Upstream
    feeds: FeedCarrier
    paths: ReturnPaths
    limit: ConcurrencyLimit
    feed_limit: FeedLimit
    loads: PeerLoads
    come_back: RetryDelays
    gauge: OverloadGauge
    budget: RetryBudget
    links: PeerLinks = attrs.field(factory=PeerLinks)
    tables: Tables = attrs.field(factory=Tables)
    routing: Routing = attrs.field(factory=lambda: Routing({}))
    pairs: PairTable | None = None
    former_pairs: PairTable | None = None
    is_leaving: bool = False
    server_is_silent: bool = False

    def apply_tables(self, tables: Tables, now: float) -> None:
        """Go by newer tables from now on."""
        if tables.route_by_key != self.tables.route_by_key:
            self.routing = Routing(tables.route_by_key)
        view = tables.view_by_pool.get(self.identity.pool)
        former = self.tables.view_by_pool.get(self.identity.pool)
        if view is None or former is None or view.number != former.number:
            self.former_pairs = self.pairs
            self.pairs = None if view is None else PairTable.of_view(view)
        self.tables = tables
        self._follow_balancers(now)

    def bucket_of(self, caller: str, service: str) -> int:
        """Return the bucket of a flow in this agent's pool."""
        return bucket_of(
            caller, service, self.identity.buckets, self.identity.key
        )

    def home_of(self, bucket: int) -> ViewMember | None:
        """Return the home of a bucket in the newest view known here."""
        return None if self.pairs is None else self.pairs.pair(bucket).home

    def heir_of(self, bucket: int) -> ViewMember | None:
        """Return the heir of a bucket in the newest view known here."""
        return None if self.pairs is None else self.pairs.pair(bucket).heir

    def former_home_of(self, bucket: int) -> str:
        """Return the run that was home of a bucket before; empty if none."""
        if self.former_pairs is None:
            return ''
        home = self.former_pairs.pair(bucket).home
        if home is None or self.is_this_agent(home):
            return ''
        return carrier_name(home.host, home.incarnation)

    def is_this_agent(self, member: ViewMember | None) -> bool:
        """Whether a member of a view is this run of this agent."""
        if member is None:
            return False
        return (
            carrier_name(member.host, member.incarnation)
            == self.identity.carrier
        )

    def is_zone_out(self) -> bool:
        """Whether the zone of this agent is out of service."""
        return self.tables.is_zone_out(self.identity.zone)

    def is_carrier_in_zone_out(self, carrier: str) -> bool:
        """Whether a carrier stands in a zone that is out of service."""
        member = self.tables.member_by_host.get(carrier.rpartition('#')[0])
        return member is not None and self.tables.is_zone_out(member.zone)

    def is_former_run(self) -> bool:
        """Whether control has removed this run of the agent."""
        member = self.tables.member_by_host.get(self.identity.host)
        return member is None or member.incarnation != self.identity.incarnation

    def is_carrier_silent(self, carrier: str, now: float) -> bool:
        """Whether a carrier is gone, or has not reacted for a second.

        Guards against a carrier that has died without a word: it stays in the
        tables until its lease ends, and for ever while control is gone too.
        It shows as frames to it that nothing follows.
        """
        endpoint = self.endpoint_of_carrier(carrier)
        if endpoint is None:
            return True
        return self.links.is_silent(parse_endpoint(endpoint), now)

    def endpoint_of_carrier(self, carrier: str) -> str | None:
        """Return where a carrier is reached; None when that run is gone."""
        host, _, incarnation = carrier.rpartition('#')
        member = self.tables.member_by_host.get(host)
        if member is None or str(member.incarnation) != incarnation:
            return None
        return member.endpoint

    def _follow_balancers(self, now: float) -> None:
        # When all balancers are replaced while callers send nothing, none of
        # the new ones has been heard from: feeds would have no way back.
        balancers = [
            member.endpoint
            for member in self.tables.member_by_host.values()
            if member.role is Role.BALANCER
        ]
        if balancers:
            self.paths.set_members(balancers, now)


def carrier_name(host: str, incarnation: int) -> str:
    """Return how flow records name a run of an agent.

    A host name alone would let a restarted agent, which remembers nothing,
    pass for the one that carried the flow.
    """
    return f'{host}#{incarnation}'
