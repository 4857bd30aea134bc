"""Metrics of an agent."""

from collections.abc import Iterator

from redwingstream.fleet.agent import Agent
from redwingstream.fleet.observed.common import inquirer_samples
from redwingstream.telemetry.families import (
    FLOW_SNAPSHOTS,
    FLOWS,
    LOST_FLOWS,
    OPENING_SECONDS,
    PACKETS,
    REFUSALS,
    SERVER,
    Sample,
    counters_sample,
)


def agent_samples(agent: Agent) -> Iterator[Sample]:
    """Yield the metrics of an agent."""
    context = agent.context
    inquirer = agent.control_client.inquirer
    now = agent.process.clock()
    load = context.load()
    state = agent.gate.state
    yield counters_sample(PACKETS, context.counters)
    yield counters_sample(REFUSALS, context.refusals.counters)
    yield Sample(
        FLOWS,
        {
            'carried': load.flows,
            'unanswered': load.waiting,
            'held': load.queued,
        },
    )
    yield Sample(
        SERVER,
        {
            'readiness': int(state.readiness),
            'is_cold': int(agent.gate.is_cold(now)),
            'is_in_doubt': int(agent.gate.failures.is_in_doubt),
            'report_age': now - state.received_at,
        },
    )
    lost_flows = agent.lost_flows
    yield counters_sample(LOST_FLOWS, lost_flows.counters)
    yield Sample(
        FLOW_SNAPSHOTS,
        {
            'in_last': len(lost_flows.schedule.sent),
            'is_recording': int(lost_flows.schedule.is_enabled),
        },
    )
    yield from inquirer_samples(inquirer, now)
    yield Sample(OPENING_SECONDS, histogram=context.opening_seconds)
