"""In which order the agents of a pool are asked about a flow.

Weighted rendezvous hashing, as for the buckets of
:mod:`redwingstream.placement.rendezvous`, but by flow: an agent that comes
takes only the flows that it wins, one that goes gives up only its own.  Agents
of the caller's availability zone come first, since bytes between zones cost
time and money.
"""

from collections.abc import Iterable

import xxhash

from redwingstream.directory.view import Agent
from redwingstream.packets.flow import FlowId

_FLOW_BYTES = 12
_POOL_SEED_BITS = 0xFFFFFFFF


def pool_hash(pool: str) -> int:
    """Return the number that stands for a pool in an envelope."""
    return xxhash.xxh3_64_intdigest(pool.encode()) & _POOL_SEED_BITS


def ranked(flow: FlowId, agents: Iterable[Agent], zone: str) -> list[Agent]:
    """Return agents in the order in which they are asked about a flow.

    Parameters
    ----------
    flow : FlowId
        The flow.
    agents : iterable of Agent
        Those of its pool.
    zone : str
        Zone that comes first.
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
    """Return a number below a total that is always the same for a flow."""
    return xxhash.xxh3_64_intdigest(flow.to_bytes(_FLOW_BYTES)) % total
