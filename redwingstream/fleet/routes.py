"""Use of newer tables and agents by balancers and agents."""

from collections.abc import Iterable, Mapping

from redwingstream.directory.inquiry import Inquirer
from redwingstream.directory.view import Agent
from redwingstream.endpoints import parse_endpoint
from redwingstream.fleet import events
from redwingstream.fleet.process import Process
from redwingstream.packets.flow import Address, address_of, text_of
from redwingstream.tables.rows import FlowKind, FlowRules, Route
from redwingstream.tables.snapshot import Tables


def routes_by_service(tables: Tables) -> dict[Address, Route]:
    """Return the routes by the service address that callers send to."""
    route_by_service = {}
    for route in tables.route_by_key.values():
        endpoint = parse_endpoint(route.service)
        service = address_of(endpoint.host, endpoint.port)
        route_by_service[service] = route
    return route_by_service


def services_without_repetition(
    rules_by_service: Mapping[Address, FlowRules],
) -> frozenset[Address]:
    """Return the services whose requests cannot be repeated."""
    return frozenset(
        service
        for service, rules in rules_by_service.items()
        if rules.kind is FlowKind.NON_IDEMPOTENT
    )


def log_agents(process: Process, agents: Iterable[Agent]) -> None:
    """Log the agents that have changed."""
    for agent in agents:
        process.log.write(
            events.AgentsChanged(
                text_of(agent.address),
                agent.pool,
                agent.zone,
                agent.readiness.name.lower(),
                agent.is_cold,
                agent.is_silent,
            ),
        )


def log_tables(process: Process, inquirer: Inquirer) -> None:
    """Log that newer tables are in force."""
    tables = inquirer.history.tables
    generation = tables.generation
    zones = [mark.zone for mark in tables.zone_by_name.values() if mark.out]
    process.log.write(
        events.TablesChanged(
            tables.revision,
            0 if generation is None else generation.version,
            len(tables.route_by_key),
            ','.join(sorted(zones)),
            round(process.clock() - inquirer.confirmed_at, 3),
        ),
    )
