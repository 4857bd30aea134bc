"""Decides which agent gets a caller's packet: route, pool, bucket, home.

This is the decision logic of a balancer, without I/O and clock.  It holds the
tables but no flow state that another process needs.  A bucket is a fixed part
of a pool's flows, by a keyed hash of caller and service.  Its home is the agent
that owns it, and its heir is the replica that takes over.
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
    """Reject the packet; see :func:`rejection_response`."""

    reason: ResultCode


@attrs.frozen
class Drop:
    """Drop the packet without an answer, since there are no tables yet.

    Notes
    -----
    A balancer that starts while no control instance is reachable has no tables.
    A rejection would end the feeds of callers that register again through it.
    The caller's retransmission most likely reaches a balancer with tables.
    """


Decision = Forward | Refuse | Drop

RETRY_AFTER_SECONDS = 2
"""Seconds after which a rejected caller is asked to try again."""


class Forwarder:
    """Decides on callers' packets by the newest tables that it was given.

    Parameters
    ----------
    balancer : Endpoint
        Endpoint where this balancer receives the answers of agents.
    key : bytes
        Key of the bucket hash, the same in every process.

    Attributes
    ----------
    links : PeerLinks
        Which agents are silent.
    """

    def __init__(self, balancer: Endpoint, key: bytes) -> None:
        self.links = PeerLinks()
        self._balancer = str(balancer)
        self._key = key
        self._tables = Tables()
        self._routing = Routing({})
        self._pairs_by_pool: dict[str, PairTable] = {}

    def apply_tables(self, tables: Tables) -> None:
        """Replace the tables by newer ones."""
        if tables.route_by_key != self._tables.route_by_key:
            self._routing = Routing(tables.route_by_key)
        old_views = self._tables.view_by_pool
        for pool, view in tables.view_by_pool.items():
            if old_views.get(pool) != view:
                self._pairs_by_pool[pool] = PairTable.from_view(view)
        for pool in old_views.keys() - tables.view_by_pool.keys():
            self._pairs_by_pool.pop(pool, None)
        self._tables = tables

    def decide(
        self, addresses: AddressPair, payload: bytes, now: float
    ) -> Decision:
        """Return which agent gets a packet, or why none does.

        Parameters
        ----------
        addresses : AddressPair
            Addresses of caller and service.
        payload : bytes
            The packet.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if not self._tables.revision:
            return Drop()
        service = str(addresses.service)
        route = self._routing.find(service, addresses.caller)
        if route is None:
            return Refuse(ResultCode.NO_ROUTE)
        pool = self._tables.pool_by_name.get(route.pool)
        if pool is None:
            return Refuse(ResultCode.NO_POOL)
        caller = str(addresses.caller)
        bucket = bucket_of(caller, service, pool.buckets, self._key)
        agent = self._agent_for(pool.name, bucket, now)
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

    def _agent_for(self, pool: str, bucket: int, now: float) -> Endpoint | None:
        """Return the home of a bucket, or the heir of a silent home.

        The heir serves idempotent requests and rejects others until control
        has replaced the home.  So a dead home costs a caller one retransmission
        and not the whole time until its lease ends.
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
    """Return the response to a request that no agent is found for.

    Parameters
    ----------
    request : Message
        The caller's CoAP request.
    reason : ResultCode
        Why no agent is found.

    Notes
    -----
    A request that is not idempotent must not be answered with *not run*.  It
    may be a copy of one that another balancer has forwarded, or this one before
    its tables changed, and that one may have run.  This happens when a route or
    a pool has just been removed.  For an idempotent request the response
    concerns this copy only, and running it again does no harm.
    """
    if coap.is_idempotent(request):
        return coap.refusal(request, reason, RETRY_AFTER_SECONDS)
    return coap.unknown_outcome(request, reason)
