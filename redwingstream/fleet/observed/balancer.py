"""Metrics of a balancer."""

from collections.abc import Iterator

from redwingstream.fleet.balancer import Balancer
from redwingstream.fleet.observed.common import inquirer_samples
from redwingstream.links.upload_link import UploadLink
from redwingstream.telemetry.families import (
    FLOWS,
    LINK,
    LINK_QUEUE,
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
    if forwarder.link is not None:
        yield from _link_samples(forwarder.link, now)


def _link_samples(link: UploadLink, now: float) -> Iterator[Sample]:
    scheduler, admission = link.scheduler, link.admission
    yield counters_sample(
        LINK,
        scheduler.counters,
        scheduler.queue.counters,
        admission.counters,
    )
    yield Sample(
        LINK_QUEUE,
        {
            'bytes': scheduler.queue.size,
            'packets': len(scheduler.queue),
            'is_full': int(scheduler.fullness.is_full),
            'uploads': admission.in_progress(now),
            'uploads_limit': admission.limit,
        },
    )
