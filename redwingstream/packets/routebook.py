"""The routes that a balancer goes by, and how surely it knows them."""

from redwingstream.directory.view import AgentView
from redwingstream.packets.flow import Address
from redwingstream.tables.rows import Route

CONFIRMED_WITHIN = 1.5
"""Seconds within which the tables must have been known to be the newest, for a
route that is not in them to be taken for missing.  Balancers ask each control
instance several times within this time."""


class RouteBook:
    """Routes by the address that callers send to.

    Parameters
    ----------
    view : AgentView
        The agents of all pools.

    Attributes
    ----------
    route_by_service : dict
        The routes in force.
    confirmed_at : float
        When they were last known to be the newest.
    """

    def __init__(self, view: AgentView) -> None:
        self.route_by_service: dict[Address, Route] = {}
        self.confirmed_at = float('-inf')
        self._view = view

    def find(self, service: Address) -> Route | None:
        """Return the route of a service; None when there is none."""
        return self.route_by_service.get(service)

    def is_confirmed(self, now: float) -> bool:
        """Whether the routes are surely the newest ones."""
        return now - self.confirmed_at <= CONFIRMED_WITHIN

    def may_come(self, service: Address, now: float) -> bool:
        """Whether a service cannot be reached yet, but perhaps soon.

        That is so while its route may be missing only here, and while no
        agent of its pools is known and control instances have not heard them
        all.
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
