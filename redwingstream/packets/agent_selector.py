"""Selection of the agent that a balancer sends a packet to."""

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.flow import Address, FlowId
from redwingstream.packets.ranking import pool_hash, rank_agents, share_point
from redwingstream.packets.trust import Trust
from redwingstream.tables.rows import Route
from redwingstream.tables.snapshot import Tables

MAX_DOUBTED = 8
"""Maximum number of doubted agents named in an opening packet: twice the number
of agents that decide on it."""

_PREFERRED = 0
_WOULD_PASS_ON = 1
_TRIED = 2
_SILENT = 3


class AgentSelector:
    """Selects agents for flows.

    Parameters
    ----------
    zone : str
        Availability zone of the balancer.
    view : AgentView
        Agents of all pools.
    trust : Trust
        Knows which agents do not answer.
    """

    def __init__(self, zone: str, view: AgentView, trust: Trust) -> None:
        self.tables = Tables()
        self._zone = zone
        self._view = view
        self._trust = trust

    def select_for_opening(
        self, flow: FlowId, pool: str, tried: tuple[Address, ...], now: float
    ) -> Address | None:
        """Return the agent that is offered a new flow, or None if none exists.

        Parameters
        ----------
        flow : FlowId
            The flow.
        pool : str
            Name of its pool.
        tried : tuple of Address
            Agents that were sent the opening packet or copies of it before.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        order = rank_agents(flow, self._present_agents(pool), self._zone)
        order.sort(key=lambda agent: self._preference(agent, tried, now))
        return order[0].address if order else None

    def find_home(
        self, flow: FlowId, route: Route, searched: tuple[int, ...], now: float
    ) -> Address | None:
        """Return the home of an open flow, or None if there is no agent.

        The home knows the carrier of the flow or looks it up.  The pools that
        serve the route come first, then those that served it before.

        Parameters
        ----------
        flow : FlowId
            The flow.
        route : Route
            Its route.
        searched : tuple of int
            Hashes of pools in which no agent carries the flow.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        first = pool_for(route, flow)
        for pool in dict.fromkeys((first, *route.pools, *route.rules.earlier)):
            if pool_hash(pool) not in searched:
                home = self._home_in(flow, pool, now)
                if home is not None:
                    return home
        return None

    def doubted_agents(
        self, pool: str, target: Address, now: float
    ) -> tuple[Address, ...]:
        """Return doubted agents, which the target must not pass a flow to."""
        found = [
            agent.address
            for agent in self._view.agents_in_pool(pool)
            if agent.address != target
            and self._trust.is_doubted(agent.address, now)
        ]
        return tuple(found[:MAX_DOUBTED])

    def _home_in(self, flow: FlowId, pool: str, now: float) -> Address | None:
        order = rank_agents(flow, self._present_agents(pool), self._zone)
        order.sort(key=lambda agent: self._is_silent(agent, now))
        return order[0].address if order else None

    def _present_agents(self, pool: str) -> list[Agent]:
        return [
            agent
            for agent in self._view.agents_in_pool(pool)
            if not agent.readiness.is_gone
        ]

    def _preference(
        self, agent: Agent, tried: tuple[Address, ...], now: float
    ) -> int:
        """Return the rank of an agent for a new flow; lower is preferred."""
        if self._is_silent(agent, now):
            return _SILENT
        if agent.address in tried:
            return _TRIED
        is_out = self.tables.is_zone_out(agent.zone)
        if is_out or agent.readiness is not Readiness.READY:
            return _WOULD_PASS_ON
        return _PREFERRED

    def _is_silent(self, agent: Agent, now: float) -> bool:
        return agent.is_silent or self._trust.is_doubted(agent.address, now)


def pool_for(route: Route, flow: FlowId) -> str:
    """Return the pool that serves a new flow, by the shares of its route."""
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
