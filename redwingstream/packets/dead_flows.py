"""Open flows that no server holds, and when their callers may be told so.

A caller whose flow has died with its server repeats its packets until its
request times out.  Told with a reset, it opens another flow at once.  A false
reset breaks a flow that works, so a proof is needed: every agent that the flow
may be at has looked, none is left out, and no agent is unknown here.
"""

from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import Address, FlowId, Head
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.routebook import RouteBook
from redwingstream.tables.rows import MAX_EARLIER, Route

MAX_MISSED = 5000
"""Flows that were missed and are remembered.  Others are searched again when
their callers repeat a packet."""

MISSED_SECONDS = 1
"""For so long a pool is not searched again for a flow that no agent of it
carries."""

PROOF_SECONDS = 5
"""For so long a search counts.  A balancer that has just started knows all
agents after two seconds; a caller's port comes up again after minutes."""

MAX_PROOFS = 150
"""Flows that are looked at in one go, while packets wait."""


@attrs.define
class _Missed:
    """A flow that was searched for in vain.

    Parameters
    ----------
    head : Head
        Header of its last packet.
    missed_at : float
        When the last search came to its end.
    visited_by_pool : dict
        Agents that do not carry it, by the hash of their pool.
    """

    head: Head
    missed_at: float
    visited_by_pool: dict[int, frozenset[Address]] = attrs.field(factory=dict)


class DeadFlows:
    """What a balancer knows of flows that no agent carries.

    Parameters
    ----------
    view : AgentView
        The agents of all pools.

    Notes
    -----
    The proof has three parts.  Every agent of the pools that serve the route,
    or have served it, was visited; one that is silent cannot be, and its server
    may hold the flow.  Every control instance that answers has answered after
    the search: an agent that carries the flow was known to them before, so it
    would be known here.  And the control instances have been up for long enough
    to have heard all agents.
    """

    def __init__(self, view: AgentView) -> None:
        self._view = view
        self._missed: BoundedTable[FlowId, _Missed] = BoundedTable(
            MAX_MISSED, PROOF_SECONDS
        )
        self._unproved: deque[tuple[float, FlowId]] = deque(maxlen=MAX_MISSED)

    def note(
        self, head: Head, pool: int, visited: Iterable[Address], now: float
    ) -> None:
        """Remember a search that came to its end without the flow."""
        flow = head.inbound
        missed = self._recent(flow, now) or _Missed(head, now)
        missed.head = head
        missed.missed_at = now
        missed.visited_by_pool[pool] = frozenset(visited)
        self._missed.put(flow, missed, now)
        self._unproved.append((now, flow))

    @property
    def has_unproved(self) -> bool:
        """Whether an answer of the control instances is waited for."""
        return bool(self._unproved)

    def note_found(self, flow: FlowId) -> None:
        """Forget searches for a flow that is carried, or opened anew."""
        self._missed.pop(flow)

    def pools_without(self, flow: FlowId, now: float) -> tuple[int, ...]:
        """Return hashes of pools that were searched for a flow just now."""
        missed = self._recent(flow, now)
        return () if missed is None else tuple(missed.visited_by_pool)

    def proved(self, routes: RouteBook, now: float) -> list[Head]:
        """Return headers of flows that are known to be dead since last time.

        Parameters
        ----------
        routes : RouteBook
            The routes in force.
        now : float
            The time in seconds.
        """
        if not self._view.is_complete:
            return []
        present = _PresentAgents(self._view)
        heads = []
        for missed in self._confirmed(now):
            route = routes.find(missed.head.target)
            if route is not None and _is_proof(missed, route, present):
                heads.append(missed.head)
        return heads

    def forget_old(self, now: float) -> None:
        """Forget searches that do not count any more."""
        self._missed.forget_old(now)
        unproved = self._unproved
        while unproved and now - unproved[0][0] > PROOF_SECONDS:
            unproved.popleft()

    def _confirmed(self, now: float) -> Iterator[_Missed]:
        """Return flows since whose search the control instances answered."""
        for _ in range(min(MAX_PROOFS, len(self._unproved))):
            missed_at, flow = self._unproved[0]
            if not self._view.all_answered_since(missed_at, now):
                return
            self._unproved.popleft()
            missed = self._missed.get(flow, now)
            is_last = missed is not None and missed.missed_at == missed_at
            if is_last and now - missed_at <= PROOF_SECONDS:
                yield missed

    def _recent(self, flow: FlowId, now: float) -> _Missed | None:
        missed = self._missed.get(flow, now)
        if missed is None or now - missed.missed_at > MISSED_SECONDS:
            return None
        return missed


class _PresentAgents:
    """Addresses of pools' agents, put together once for many flows."""

    def __init__(self, view: AgentView) -> None:
        self._view = view
        self._addresses_by_pool: dict[str, frozenset[Address]] = {}

    def of_pool(self, pool: str) -> frozenset[Address]:
        """Return the agents of a pool that may hold a flow.

        A server that has said that it ends may take a moment for it; its agent
        falls silent once both are gone.  A server that has ended holds no flow.
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


def _is_proof(missed: _Missed, route: Route, present: _PresentAgents) -> bool:
    if len(route.rules.earlier) >= MAX_EARLIER:
        # A pool that served the route before may be missing from the list.
        return False
    return all(
        present.of_pool(pool)
        <= missed.visited_by_pool.get(pool_hash(pool), frozenset())
        for pool in (*route.pools, *route.rules.earlier)
    )
