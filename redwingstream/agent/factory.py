"""Creates the decision objects of an agent."""

import random

from redwingstream.admission.concurrency_limit import ConcurrencyLimit
from redwingstream.admission.feed_limit import FeedLimit
from redwingstream.admission.peer_choice import PeerLoads
from redwingstream.admission.retry_budget import RetryBudget
from redwingstream.admission.retry_delays import OverloadGauge, RetryDelays
from redwingstream.agent.outputs import Outputs
from redwingstream.agent.parts import (
    REPLAY_HORIZON,
    AgentIdentity,
    AgentParts,
    ServerCapacity,
)
from redwingstream.agent.store import AgentStore
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.upstream import Upstream
from redwingstream.node.metrics import Metrics
from redwingstream.placement.keeper import BucketKeeper


def make_parts(
    identity: AgentIdentity,
    capacity: ServerCapacity,
    out: Outputs,
    metrics: Metrics,
    rng: random.Random,
) -> AgentParts:
    """Return the parts of an agent that has just been admitted.

    Parameters
    ----------
    identity : AgentIdentity
        Identity of this run of the agent.
    capacity : ServerCapacity
        Maximum load of its backend server.
    out : Outputs
        Sends frames and packets of the agent.
    metrics : Metrics
        Counters of the agent.
    rng : random.Random
        Random source of tokens, delays and choices.
    """
    paths = ReturnPaths()
    store = AgentStore(identity.carrier, REPLAY_HORIZON)
    keeper = BucketKeeper(
        host=identity.host,
        incarnation=identity.incarnation,
        pool=identity.pool,
        store=store,
        replay_horizon=REPLAY_HORIZON,
        buckets=identity.buckets,
    )
    return AgentParts(
        identity=identity,
        out=out,
        metrics=metrics,
        store=store,
        keeper=keeper,
        upstream=Upstream(rng),
        feeds=FeedCarrier(identity.carrier, identity.pool, paths, rng),
        paths=paths,
        limit=ConcurrencyLimit(capacity.slots),
        feed_limit=FeedLimit(capacity.connections),
        loads=PeerLoads(rng),
        come_back=RetryDelays(rng),
        gauge=OverloadGauge(),
        budget=RetryBudget(),
    )
