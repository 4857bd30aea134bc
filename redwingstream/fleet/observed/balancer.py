"""Metrics of a balancer."""

from collections.abc import Iterator

from redwingstream.fleet.balancer import Balancer
from redwingstream.fleet.observed.common import inquirer_samples
from redwingstream.telemetry.families import (
    FLOWS,
    PACKETS,
    REFUSALS,
    Sample,
    counters_sample,
)


def balancer_samples(balancer: Balancer) -> Iterator[Sample]:
    """Yield the metrics of a balancer."""
    forwarder = balancer.forwarder
    inquirer = balancer.control_client.inquirer
    now = balancer.process.clock()
    yield counters_sample(PACKETS, forwarder.counters)
    yield counters_sample(REFUSALS, forwarder.refusals.counters)
    yield Sample(
        FLOWS, {'hints': len(forwarder.hints), 'early': len(forwarder.early)}
    )
    yield from inquirer_samples(inquirer, now)
