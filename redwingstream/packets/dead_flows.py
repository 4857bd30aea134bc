"""Detection of open flows that no server holds any more.

A caller whose flow was lost with its server retransmits packets until its
request times out.  After a reset it opens another flow immediately.  A wrong
reset breaks a working flow, so a flow is reset only on proof: every agent that
may carry it has been queried, and the balancer knows all such agents.
"""

from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import Address, FlowId, Head
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.route_table import RouteTable
from redwingstream.tables.rows import MAX_EARLIER_POOLS, Route

MAX_NOT_FOUND = 5000
"""Maximum number of flows that were not found and are remembered.  Others are
searched again when their callers send the next packet."""

SEARCH_INTERVAL = 1
"""Seconds for which a pool is not searched again for a flow that none of its
agents carries."""

SEARCH_VALID_SECONDS = 5
"""Seconds for which the result of a search is valid.  A balancer that has just
started knows all agents after two seconds, and a caller reuses a port only
after minutes."""

MAX_CHECKS = 150
"""Maximum number of flows checked in one call, since packets wait meanwhile."""


@attrs.define
class _NotFoundFlow:
    """A flow that a search did not find.

    Parameters
    ----------
    head : Head
        Header of its last packet.
    searched_at : float
        Time in seconds at which the result of the last search arrived.
    visited_by_pool : dict
        Agents that do not carry the flow, by the hash of their pool.
    """

    head: Head
    searched_at: float
    visited_by_pool: dict[int, frozenset[Address]] = attrs.field(factory=dict)


class DeadFlows:
    """Flows that a balancer's searches did not find, until proven dead.

    Parameters
    ----------
    view : AgentView
        Agents of all pools.

    Notes
    -----
    The proof has three parts.  Every agent of the pools that serve the route or
    have served it was visited; a silent agent cannot be, and its server may
    hold the flow.  Every control instance that answers has answered after the
    search: they knew an agent that carries the flow before the search, so this
    balancer knows it as well.  The control instances have been running for long
    enough to have received the records of all agents.
    """

    def __init__(self, view: AgentView) -> None:
        self._view = view
        self._not_found: BoundedTable[FlowId, _NotFoundFlow] = BoundedTable(
            MAX_NOT_FOUND, SEARCH_VALID_SECONDS
        )
        self._unproved: deque[tuple[float, FlowId]] = deque(
            maxlen=MAX_NOT_FOUND
        )

    def record_not_found(
        self, head: Head, pool: int, visited: Iterable[Address], now: float
    ) -> None:
        """Record a search that did not find a flow.

        Parameters
        ----------
        head : Head
            Header of a packet of the flow.
        pool : int
            Hash of the searched pool.
        visited : iterable of Address
            Agents that do not carry the flow.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        flow = head.inbound
        entry = self._recent(flow, now) or _NotFoundFlow(head, now)
        entry.head = head
        entry.searched_at = now
        entry.visited_by_pool[pool] = frozenset(visited)
        self._not_found.put(flow, entry, now)
        self._unproved.append((now, flow))

    @property
    def has_unproved(self) -> bool:
        """Whether a search awaits an answer of the control instances."""
        return bool(self._unproved)

    def record_found(self, flow: FlowId) -> None:
        """Discard searches for a flow that is carried or is opened again."""
        self._not_found.pop(flow)

    def searched_pools(self, flow: FlowId, now: float) -> tuple[int, ...]:
        """Return hashes of pools that were recently searched for a flow."""
        entry = self._recent(flow, now)
        return () if entry is None else tuple(entry.visited_by_pool)

    def pop_proven(self, routes: RouteTable, now: float) -> list[Head]:
        """Return headers of flows proven dead since the last call.

        Parameters
        ----------
        routes : RouteTable
            The routes in force.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if not self._view.is_complete:
            return []
        present = _PresentAgents(self._view)
        heads = []
        for entry in self._confirmed(now):
            route = routes.find(entry.head.target)
            if route is not None and _is_proof(entry, route, present):
                heads.append(entry.head)
        return heads

    def evict_expired(self, now: float) -> None:
        """Evict searches whose results are no longer valid."""
        self._not_found.evict_expired(now)
        unproved = self._unproved
        while unproved and now - unproved[0][0] > SEARCH_VALID_SECONDS:
            unproved.popleft()

    def _confirmed(self, now: float) -> Iterator[_NotFoundFlow]:
        """Yield flows whose search the control instances have confirmed.

        All of them have answered after the search.
        """
        for _ in range(min(MAX_CHECKS, len(self._unproved))):
            searched_at, flow = self._unproved[0]
            if not self._view.all_answered_since(searched_at, now):
                return
            self._unproved.popleft()
            entry = self._not_found.get(flow, now)
            is_last = entry is not None and entry.searched_at == searched_at
            if is_last and now - searched_at <= SEARCH_VALID_SECONDS:
                yield entry

    def _recent(self, flow: FlowId, now: float) -> _NotFoundFlow | None:
        entry = self._not_found.get(flow, now)
        if entry is None or now - entry.searched_at > SEARCH_INTERVAL:
            return None
        return entry


class _PresentAgents:
    """Agents that may hold a flow, by pool, collected once for many flows."""

    def __init__(self, view: AgentView) -> None:
        self._view = view
        self._addresses_by_pool: dict[str, frozenset[Address]] = {}

    def of_pool(self, pool: str) -> frozenset[Address]:
        """Return the agents of a pool whose servers may hold a flow.

        A server that has announced its end may take a moment to end; its agent
        is silent once both are gone.  A server that has ended holds no flow.
        """
        if pool not in self._addresses_by_pool:
            self._addresses_by_pool[pool] = frozenset(
                agent.address
                for agent in self._view.agents_in_pool(pool)
                if _may_hold_flow(agent)
            )
        return self._addresses_by_pool[pool]


def _may_hold_flow(agent: Agent) -> bool:
    match agent.readiness:
        case Readiness.ENDED:
            return False
        case Readiness.GONE:
            return not agent.is_silent
    return True


def _is_proof(
    entry: _NotFoundFlow, route: Route, present: _PresentAgents
) -> bool:
    if len(route.rules.earlier) >= MAX_EARLIER_POOLS:
        # The list is full, so an earlier pool of the route may be missing.
        return False
    return all(
        present.of_pool(pool)
        <= entry.visited_by_pool.get(pool_hash(pool), frozenset())
        for pool in (*route.pools, *route.rules.earlier)
    )
