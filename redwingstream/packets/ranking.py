"""Order in which the agents of a pool are tried for a flow.

Rendezvous hashing, as for the buckets of
:mod:`redwingstream.placement.rendezvous`, but by flow and without weights: an
agent that joins becomes first only for the flows on which it ranks highest, and
an agent that leaves affects only the flows on which it was first.  Agents of a
preferred availability zone come first, since traffic between zones costs time
and money.
"""

from collections.abc import Iterable

import xxhash

from redwingstream.directory.view import Agent
from redwingstream.packets.flow import FlowId

_FLOW_BYTES = 12
_POOL_HASH_MASK = 0xFFFFFFFF


def pool_hash(pool: str) -> int:
    """Return the hash that identifies a pool in an envelope."""
    return xxhash.xxh3_64_intdigest(pool.encode()) & _POOL_HASH_MASK


def rank_agents(
    flow: FlowId, agents: Iterable[Agent], zone: str
) -> list[Agent]:
    """Return agents in the order in which they are tried for a flow.

    Parameters
    ----------
    flow : FlowId
        The flow.
    agents : iterable of Agent
        Agents of its pool.
    zone : str
        Availability zone whose agents come first.
    """
    packed = flow.to_bytes(_FLOW_BYTES)
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        agents,
        key=lambda agent: (
            agent.zone != zone,
            digest(packed, agent.address),
        ),
    )


def share_point(flow: FlowId, total: int) -> int:
    """Return a number below ``total`` that depends only on the flow."""
    return xxhash.xxh3_64_intdigest(flow.to_bytes(_FLOW_BYTES)) % total
