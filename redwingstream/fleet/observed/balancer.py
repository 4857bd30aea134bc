"""What a balancer shows."""

from collections.abc import Iterator

from redwingstream.fleet.balancer import Balancer
from redwingstream.fleet.observed.common import inquirer_samples
from redwingstream.telemetry.families import (
    FLOWS,
    PACKETS,
    REFUSALS,
    Sample,
    counted,
)


def balancer_samples(balancer: Balancer) -> Iterator[Sample]:
    """Return what a balancer shows."""
    steering = balancer.forwarder
    inquirer = balancer.following.inquirer
    now = balancer.process.clock()
    yield counted(PACKETS, steering.counters)
    yield counted(REFUSALS, steering.refusals.counters)
    yield Sample(
        FLOWS, {'hints': len(steering.hints), 'early': len(steering.early)}
    )
    yield from inquirer_samples(inquirer, now)
