"""The routes that a balancer applies, and when they were last confirmed."""

from redwingstream.directory.view import AgentView
from redwingstream.packets.flow import Address
from redwingstream.tables.rows import Route

MAX_CONFIRMED_AGE = 1.5
"""Maximum age in seconds of the last confirmation that the tables are the
newest ones, for a route that is not in them to count as missing.  Balancers
poll each control instance several times within this time."""


class RouteTable:
    """Routes by the address that callers send to.

    Parameters
    ----------
    view : AgentView
        Agents of all pools.

    Attributes
    ----------
    route_by_service : dict
        The routes in force, by the address that callers send to.
    confirmed_at : float
        Time in seconds at which they were last confirmed to be the newest ones.
    """

    def __init__(self, view: AgentView) -> None:
        self.route_by_service: dict[Address, Route] = {}
        self.confirmed_at = float('-inf')
        self._view = view

    def find(self, service: Address) -> Route | None:
        """Return the route of an address that callers send to, or None."""
        return self.route_by_service.get(service)

    def is_confirmed(self, now: float) -> bool:
        """Whether the routes were confirmed recently to be the newest ones."""
        return now - self.confirmed_at <= MAX_CONFIRMED_AGE

    def may_become_reachable(self, service: Address, now: float) -> bool:
        """Whether packets cannot be forwarded yet, but perhaps soon.

        This holds while there is no route but the tables are not confirmed, and
        while no agent of the route's pools is known and the control instances
        have not received the records of all agents.
        """
        route = self.route_by_service.get(service)
        if route is None:
            return not self.is_confirmed(now)
        if self._view.is_complete:
            return False
        return not any(map(self._has_agents, route.pools))

    def _has_agents(self, pool: str) -> bool:
        return any(
            not agent.readiness.is_gone
            for agent in self._view.agents_in_pool(pool)
        )
