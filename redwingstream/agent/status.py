"""The state of an agent as shown in its dump."""

from typing import Any

import attrs

from redwingstream.agent.parts import AgentParts


def agent_state(parts: AgentParts) -> dict[str, Any]:
    """Return the state of an agent as a dictionary for JSON."""
    keeper = parts.keeper
    return {
        'admitted': True,
        'incarnation': parts.identity.incarnation,
        'in_flight': parts.limit.in_flight,
        'limit': parts.limit.limit,
        'feed_limit': parts.feed_limit.limit,
        'feeds': len(parts.feeds),
        'flows': len(parts.store.flows),
        'ledger': len(parts.store.ledger),
        'leaving': parts.is_leaving,
        'server_silent': parts.server_is_silent,
        'settled_view': keeper.settled_view(),
        'buckets': {
            bucket: type(keeper.status(bucket)).__name__
            for bucket in range(parts.identity.buckets)
        },
        'upstream': attrs.asdict(parts.upstream.counters),
        'feed_counters': attrs.asdict(parts.feeds.counters),
        'counts': dict(parts.metrics.total_by_name),
    }
