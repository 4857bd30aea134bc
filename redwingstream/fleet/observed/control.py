"""Metrics of a control instance."""

from collections.abc import Iterator

from redwingstream.fleet.control import Control
from redwingstream.telemetry.families import (
    AGENTS,
    CHANGE_SECONDS,
    FLOW_SNAPSHOTS,
    LOST_FLOWS,
    REPLICA,
    SYNC_SECONDS,
    TABLES,
    Sample,
    counters_sample,
)


def control_samples(control: Control) -> Iterator[Sample]:
    """Yield the metrics of a control instance."""
    replication = control.replication
    now = control.process.clock()
    source = control.table_source(now)
    yield Sample(
        TABLES,
        {'revision': source.revision, 'confirmed_age': source.confirmed_age},
    )
    yield Sample(AGENTS, {'heard': len(control.agents)})
    snapshots = control.flow_snapshots
    yield counters_sample(LOST_FLOWS, snapshots.counters)
    yield Sample(FLOW_SNAPSHOTS, {'kept': len(snapshots)})
    if replication.replica is not None:
        consensus = replication.replica.consensus
        yield Sample(
            REPLICA,
            {
                'term': consensus.term,
                'is_leader': int(consensus.is_leader),
                'accepted_index': consensus.commit,
                'counting': len(consensus.log.group),
                'needed': control.process.deployment.group_size,
                'confirmed_age': consensus.confirmed_age(now),
            },
        )
    yield Sample(SYNC_SECONDS, histogram=replication.sync_seconds)
    yield Sample(CHANGE_SECONDS, histogram=replication.change_seconds)
