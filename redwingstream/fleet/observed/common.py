"""Metrics that several roles export."""

from collections import Counter
from collections.abc import Iterable, Iterator

from redwingstream.directory.inquiry import Inquirer
from redwingstream.fleet.process import Process
from redwingstream.httpd.server import HttpServer
from redwingstream.telemetry.families import (
    AGENTS,
    CALLS,
    DELAYS,
    IN_FORCE_SECONDS,
    LOG_LINES,
    TABLES,
    Sample,
    counters_sample,
)


def process_samples(
    process: Process, servers: Iterable[HttpServer]
) -> Iterator[Sample]:
    """Yield the metrics of every process."""
    yield counters_sample(LOG_LINES, process.log.counters)
    yield Sample(DELAYS, {'process': process.delay_monitor.delays})
    calls: Counter[str] = Counter()
    for server in servers:
        calls.update(counters_sample(CALLS, server.counters).value_by_label)
    yield Sample(CALLS, dict(calls))


def inquirer_samples(inquirer: Inquirer, now: float) -> Iterator[Sample]:
    """Yield the metrics of the tables and agents that are known here."""
    yield _tables(inquirer, now)
    yield _agents(inquirer)
    yield Sample(IN_FORCE_SECONDS, histogram=inquirer.in_force_seconds)


def _tables(inquirer: Inquirer, now: float) -> Sample:
    tables = inquirer.history.tables
    generation = tables.generation
    zones_out = [mark for mark in tables.zone_by_name.values() if mark.out]
    return Sample(
        TABLES,
        {
            'revision': tables.revision,
            'newest_revision': inquirer.newest_revision,
            'version': 0 if generation is None else generation.version,
            'routes': len(tables.route_by_key),
            'zones_out': len(zones_out),
            'confirmed_age': now - inquirer.confirmed_at,
        },
    )


def _agents(inquirer: Inquirer) -> Sample:
    counts: Counter[str] = Counter()
    for agent in inquirer.view.agent_by_address.values():
        counts[agent.readiness.name.lower()] += 1
        counts['cold'] += agent.is_cold
        counts['silent'] += agent.is_silent
    return Sample(AGENTS, dict(counts))
