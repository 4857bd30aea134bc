"""Where a caller's packet goes: route, pool, bucket, home.

Decision logic of a balancer, without I/O and clock.  It holds the tables only:
no flow state that another process needs.
"""

import attrs
from aiocoap.message import Message

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet
from redwingstream.membership.peers import PeerLinks
from redwingstream.placement.rendezvous import PairTable, bucket_of
from redwingstream.tables.routing import Routing
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import coap
from redwingstream.wire.fabric import AddressPair


@attrs.frozen
class Forward:
    """Send the packet to an agent."""

    agent: Endpoint
    packet: Packet


@attrs.frozen
class Refuse:
    """Answer the caller at once; see :func:`final_answer`."""

    reason: ResultCode


@attrs.frozen
class Drop:
    """Leave the packet to another balancer: this one has no tables yet.

    Notes
    -----
    Guards against a balancer that has just started while control is away.  To
    refuse would end feeds whose callers happen to register again through it;
    the caller's repeat most likely reaches a balancer that has tables.
    """


Decision = Forward | Refuse | Drop

COME_BACK = 2
"""Seconds after which a refused caller is asked to come back."""


class Forwarder:
    """Decides on callers' packets by the tables that it was given last.

    Parameters
    ----------
    balancer : Endpoint
        Where this balancer takes answers.
    key : bytes
        Key of the bucket hash, the same in every process.
    """

    def __init__(self, balancer: Endpoint, key: bytes) -> None:
        self.links = PeerLinks()
        self._balancer = str(balancer)
        self._key = key
        self._tables = Tables()
        self._routing = Routing({})
        self._pairs_by_pool: dict[str, PairTable] = {}

    def apply_tables(self, tables: Tables) -> None:
        """Go by newer tables from now on."""
        if tables.route_by_key != self._tables.route_by_key:
            self._routing = Routing(tables.route_by_key)
        old_views = self._tables.view_by_pool
        for pool, view in tables.view_by_pool.items():
            if old_views.get(pool) != view:
                self._pairs_by_pool[pool] = PairTable.from_view(view)
        for pool in old_views.keys() - tables.view_by_pool.keys():
            self._pairs_by_pool.pop(pool, None)
        self._tables = tables

    def decide(self, way: AddressPair, payload: bytes, now: float) -> Decision:
        """Return where a packet goes, or why it is refused.

        Parameters
        ----------
        way : Way
            Caller and service.
        payload : bytes
            The packet.
        now : float
            Seconds on the loop's clock.
        """
        if not self._tables.revision:
            return Drop()
        service = str(way.service)
        route = self._routing.find(service, way.caller)
        if route is None:
            return Refuse(ResultCode.NO_ROUTE)
        pool = self._tables.pool_by_name.get(route.pool)
        if pool is None:
            return Refuse(ResultCode.NO_POOL)
        caller = str(way.caller)
        bucket = bucket_of(caller, service, pool.buckets, self._key)
        agent = self._agent_of(pool.name, bucket, now)
        if agent is None:
            return Refuse(ResultCode.NO_SERVER)
        packet = Packet(
            pool=pool.name,
            revision=self._tables.revision,
            caller=caller,
            service=service,
            balancer=self._balancer,
            payload=payload,
        )
        self.links.record_sent(agent, now)
        return Forward(agent, packet)

    def _agent_of(self, pool: str, bucket: int, now: float) -> Endpoint | None:
        """Return the home of a bucket, or the heir of a silent home.

        The heir serves what is idempotent and refuses the rest until control
        has replaced the home, so a dead home costs a caller one repeat and not
        the whole time until the lease ends.
        """
        pairs = self._pairs_by_pool.get(pool)
        if pairs is None:
            return None
        pair = pairs.pair(bucket)
        if pair.home is None:
            return None
        home = parse_endpoint(pair.home.endpoint)
        if pair.heir is not None and self.links.is_silent(home, now):
            return parse_endpoint(pair.heir.endpoint)
        return home


def rejection_response(request: Message, reason: ResultCode) -> Message:
    """Return what a caller is told whose request no agent is found for.

    Notes
    -----
    Guards against a false *not run*: the request may be the replay of one that
    another balancer has passed on, or that this one did before its tables
    changed, and it may have run.  It shows when a route or a pool has just
    been removed.  Of an idempotent one the answer concerns the copy in hand,
    and to run it once more does no harm.
    """
    if coap.is_idempotent(request):
        return coap.refusal(request, reason, COME_BACK)
    return coap.unknown_outcome(request, reason)
