"""State that the modules of one agent share, and questions about it."""

import attrs

from redwingstream.admission.concurrency_limit import ConcurrencyLimit
from redwingstream.admission.feed_limit import FeedLimit
from redwingstream.admission.peer_choice import PeerLoads
from redwingstream.admission.retry_budget import RetryBudget
from redwingstream.admission.retry_delays import OverloadGauge, RetryDelays
from redwingstream.agent.outputs import Outputs
from redwingstream.agent.store import AgentStore
from redwingstream.endpoints import parse_endpoint
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.upstream import Upstream
from redwingstream.membership.peers import PeerLinks
from redwingstream.node.metrics import Metrics
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.rendezvous import PairTable, bucket_of
from redwingstream.tables.routing import Routing
from redwingstream.tables.rows import Role, ViewMember
from redwingstream.tables.snapshot import Tables

REPLAY_HORIZON = 247.0
"""Seconds in which a caller may repeat a message: EXCHANGE_LIFETIME of
RFC 7252, section 4.8.2."""


@attrs.frozen
class AgentIdentity:
    """Names, address and place of one run of an agent.

    Parameters
    ----------
    host : str
        Name of the instance that it runs on.
    incarnation : int
        Number of this run, assigned at its admission.
    endpoint : str
        ``IP:PORT`` of the agent.
    zone : str
        Its availability zone.
    pool : str
        Pool of its backend server.
    buckets : int
        Number of buckets of the pool.
    key : bytes
        Key of the hash that maps flows to buckets.
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
        """Name of this run in flow records."""
        return carrier_name(self.host, self.incarnation)


@attrs.frozen
class ServerCapacity:
    """Capacity of the backend server.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of concurrent feeds.
    """

    slots: int
    connections: int


@attrs.define(eq=False)
class AgentParts:
    """State that the modules of an agent share; each part has one owner.

    Parameters
    ----------
    identity : AgentIdentity
        This run of the agent.
    out : Outputs
        Sends messages and packets.
    metrics : Metrics
        Counters of the process.
    store : AgentStore
        Ledger, flows and transfers by bucket.
    keeper : BucketKeeper
        Decides which buckets are in effect here, and under which fence.
    upstream : Upstream
        CoAP exchanges with the backend server.
    feeds : FeedCarrier
        Feeds carried here, towards their callers.
    paths : ReturnPaths
        Balancers through which callers can be reached.
    limit : ConcurrencyLimit
        Admission of requests to the server.
    feed_limit : FeedLimit
        Admission of feeds to the server.
    loads : PeerLoads
        Load that the other agents of the pool report.
    come_back : RetryDelays
        Chooses after how many seconds a refused caller is to retry.
    gauge : OverloadGauge
        Recent number of refused requests for each one served.
    budget : RetryBudget
        Limits repeated assignments.
    links : PeerLinks
        Which processes answer what is sent to them.
    tables : Tables
        The newest tables known here.
    routing : Routing
        Routes of these tables, for look-ups.
    pair_table : PairTable, optional
        Home and heir of each bucket in the newest view.
    former_pair_table : PairTable, optional
        The same in the view before that.
    is_leaving : bool
        Whether the agent refuses new work.
    server_is_silent : bool
        Whether the server does not answer.
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
    pair_table: PairTable | None = None
    former_pair_table: PairTable | None = None
    is_leaving: bool = False
    server_is_silent: bool = False

    def apply_tables(self, tables: Tables, now: float) -> None:
        """Apply newer tables."""
        if tables.route_by_key != self.tables.route_by_key:
            self.routing = Routing(tables.route_by_key)
        view = tables.view_by_pool.get(self.identity.pool)
        former = self.tables.view_by_pool.get(self.identity.pool)
        if view is None or former is None or view.number != former.number:
            self.former_pair_table = self.pair_table
            self.pair_table = (
                None if view is None else PairTable.from_view(view)
            )
        self.tables = tables
        self._apply_balancers(now)

    def bucket_of(self, caller: str, service: str) -> int:
        """Return the bucket of a flow in this agent's pool."""
        return bucket_of(
            caller, service, self.identity.buckets, self.identity.key
        )

    def home_of(self, bucket: int) -> ViewMember | None:
        """Return the home of a bucket in the newest view known here."""
        return (
            None
            if self.pair_table is None
            else self.pair_table.pair(bucket).home
        )

    def heir_of(self, bucket: int) -> ViewMember | None:
        """Return the heir of a bucket in the newest view known here."""
        return (
            None
            if self.pair_table is None
            else self.pair_table.pair(bucket).heir
        )

    def former_home_of(self, bucket: int) -> str:
        """Return the carrier name of a bucket's home in the view before.

        Empty if there was none or if it was this agent.
        """
        if self.former_pair_table is None:
            return ''
        home = self.former_pair_table.pair(bucket).home
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
        """Whether the zone of this agent is taken out of service."""
        return self.tables.is_zone_out(self.identity.zone)

    def is_carrier_in_zone_out(self, carrier: str) -> bool:
        """Whether a carrier is in a zone that is taken out of service."""
        member = self.tables.member_by_host.get(carrier.rpartition('#')[0])
        return member is not None and self.tables.is_zone_out(member.zone)

    def is_removed(self) -> bool:
        """Whether the control instances have removed this run of the agent."""
        member = self.tables.member_by_host.get(self.identity.host)
        return member is None or member.incarnation != self.identity.incarnation

    def is_carrier_silent(self, carrier: str, now: float) -> bool:
        """Whether a carrier is removed, or has not answered for a second.

        A carrier that has crashed stays in the tables until its lease ends,
        and indefinitely while no control instance is reachable.  It is
        detected by messages to it that get no answer.
        """
        endpoint = self.endpoint_of_carrier(carrier)
        if endpoint is None:
            return True
        return self.links.is_silent(parse_endpoint(endpoint), now)

    def endpoint_of_carrier(self, carrier: str) -> str | None:
        """Return ``IP:PORT`` of a carrier; None if that run is not a member."""
        host, _, incarnation = carrier.rpartition('#')
        member = self.tables.member_by_host.get(host)
        if member is None or str(member.incarnation) != incarnation:
            return None
        return member.endpoint

    def _apply_balancers(self, now: float) -> None:
        # If all balancers are replaced while callers send nothing, no packet
        # shows the new ones, and feeds would have no return path.
        balancers = [
            member.endpoint
            for member in self.tables.member_by_host.values()
            if member.role is Role.BALANCER
        ]
        if balancers:
            self.paths.set_members(balancers, now)


def carrier_name(host: str, incarnation: int) -> str:
    """Return the name of an agent's run in flow records.

    With the host name alone, a restarted agent, which has lost its state,
    would be taken for the run that carried the flow.
    """
    return f'{host}#{incarnation}'
