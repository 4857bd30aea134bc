"""Which agent a balancer sends a packet to."""

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.flow import Address, FlowId
from redwingstream.packets.ranking import pool_hash, ranked, share_point
from redwingstream.packets.trust import Trust
from redwingstream.tables.rows import Route
from redwingstream.tables.snapshot import Tables

MAX_NAMED = 8
"""Doubted agents that an opening packet names; twice as many as look at it."""

_WANTED = 0
_PASSES_ON = 1
_TRIED = 2
_SILENT = 3


class Choosing:
    """Chooses agents for flows.

    Parameters
    ----------
    zone : str
        The balancer's availability zone.
    view : AgentView
        The agents of all pools.
    trust : Trust
        Which of them did not answer.
    """

    def __init__(self, zone: str, view: AgentView, trust: Trust) -> None:
        self.tables = Tables()
        self._zone = zone
        self._view = view
        self._trust = trust

    def for_opening(
        self, flow: FlowId, pool: str, tried: tuple[Address, ...], now: float
    ) -> Address | None:
        """Return the agent that is offered a new flow; None without any.

        Parameters
        ----------
        flow : FlowId
            The flow.
        pool : str
            Its pool.
        tried : tuple of Address
            Agents that were sent earlier copies of the opening packet.
        now : float
            The time in seconds.
        """
        order = ranked(flow, self._present(pool), self._zone)
        order.sort(key=lambda agent: self._reluctance(agent, tried, now))
        return order[0].address if order else None

    def home(
        self, flow: FlowId, route: Route, missed: tuple[int, ...], now: float
    ) -> Address | None:
        """Return the agent that knows where an open flow is, or finds out.

        Parameters
        ----------
        flow : FlowId
            The flow.
        route : Route
            Its route.
        missed : tuple of int
            Hashes of pools in which nobody carries it.
        now : float
            The time in seconds.
        """
        first = pool_for(route, flow)
        for pool in dict.fromkeys((first, *route.pools, *route.rules.earlier)):
            if pool_hash(pool) not in missed:
                home = self._home_in(flow, pool, now)
                if home is not None:
                    return home
        return None

    def doubted(
        self, pool: str, target: Address, now: float
    ) -> tuple[Address, ...]:
        """Return agents to which the target is not to pass a new flow on."""
        found = [
            agent.address
            for agent in self._view.agents_in_pool(pool)
            if agent.address != target
            and self._trust.is_doubted(agent.address, now)
        ]
        return tuple(found[:MAX_NAMED])

    def _home_in(self, flow: FlowId, pool: str, now: float) -> Address | None:
        order = ranked(flow, self._present(pool), self._zone)
        order.sort(key=lambda agent: self._is_silent(agent, now))
        return order[0].address if order else None

    def _present(self, pool: str) -> list[Agent]:
        return [
            agent
            for agent in self._view.agents_in_pool(pool)
            if not agent.readiness.is_gone
        ]

    def _reluctance(
        self, agent: Agent, tried: tuple[Address, ...], now: float
    ) -> int:
        if self._is_silent(agent, now):
            return _SILENT
        if agent.address in tried:
            return _TRIED
        is_out = self.tables.is_zone_out(agent.zone)
        if is_out or agent.readiness is not Readiness.READY:
            return _PASSES_ON
        return _WANTED

    def _is_silent(self, agent: Agent, now: float) -> bool:
        return agent.is_silent or self._trust.is_doubted(agent.address, now)


def pool_for(route: Route, flow: FlowId) -> str:
    """Return the pool that serves a new flow, by the route's shares."""
    shares = route.rules.shares
    if not shares:
        return route.pool
    total = sum(share.weight for share in shares)
    point = share_point(flow, max(total, 1))
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.pool
    return route.pool
