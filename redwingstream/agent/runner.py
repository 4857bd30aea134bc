"""Keeps the core of an agent process up to date with its admitted run.

A control instance may admit a process again under a newer incarnation.  The
runner then replaces the core, which holds the state of one run.
"""

import random
from typing import Any

import attrs

from redwingstream.agent.core import AgentCore
from redwingstream.agent.factory import make_parts
from redwingstream.agent.message_types import AgentMessage
from redwingstream.agent.outputs import Outputs
from redwingstream.agent.parts import AgentIdentity, ServerCapacity
from redwingstream.agent.status import agent_state
from redwingstream.endpoints import parse_endpoint
from redwingstream.membership.announcer import Vitals
from redwingstream.node.metrics import Metrics
from redwingstream.tables.snapshot import Tables


@attrs.frozen
class AgentSetup:
    """Settings of an agent that are the same for all its runs.

    Parameters
    ----------
    host, endpoint, zone, pool : str
        As in :class:`~redwingstream.agent.parts.AgentIdentity`.
    key : bytes
        Key of the bucket hash.
    capacity : ServerCapacity
        Maximum load of its backend server.
    """

    host: str
    endpoint: str
    zone: str
    pool: str
    key: bytes
    capacity: ServerCapacity


class AgentRunner:
    """Creates the core of each admitted run and passes events to it.

    Parameters
    ----------
    setup : AgentSetup
        Settings of the agent.
    out : Outputs
        Sends frames and packets of the agent.
    metrics : Metrics
        Counters of the agent.
    rng : random.Random
        Random source of tokens, delays and choices.

    Attributes
    ----------
    core : AgentCore or None
        Core of the current run; None before the first run is admitted.
    """

    def __init__(
        self,
        setup: AgentSetup,
        out: Outputs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.core: AgentCore | None = None
        self._setup = setup
        self._out = out
        self._metrics = metrics
        self._rng = rng
        self._is_leaving = False
        self._revision = 0

    def apply_tables(
        self, tables: Tables, incarnation: int, now: float
    ) -> None:
        """Apply newer tables, or a newer incarnation of this process.

        Parameters
        ----------
        tables : Tables
            Newest tables.
        incarnation : int
            Incarnation that was admitted last.
        now : float
            Current time in seconds, by the event loop's clock.

        Notes
        -----
        A process that was frozen or cut off for longer than its lease is
        admitted again.  The state of the former run is no longer valid, and a
        core that kept the former incarnation would never be home of a bucket.
        """
        self._revision = tables.revision
        member = tables.member_by_host.get(self._setup.host)
        is_admitted = member is not None and member.incarnation == incarnation
        if is_admitted and not self._is_current_run(incarnation):
            self._start_run(tables, incarnation, now)
        if self.core is not None:
            self.core.apply_tables(tables, now)

    def handle_frame(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        """Handle a frame of another process."""
        if self.core is None:
            self._metrics.count('frame_before_admission')
            return
        self.core.handle_message(message, source, now)

    def record_heard(self, source: str) -> None:
        """Record that another process has been heard from."""
        if self.core is not None:
            self.core.parts.links.record_heard(parse_endpoint(source))

    def handle_server_packet(
        self, packet: bytes, source: int, now: float
    ) -> None:
        """Handle a packet of the backend server."""
        if self.core is not None:
            self.core.handle_server_packet(packet, source, now)

    def handle_server_unreachable(self, now: float) -> None:
        """Handle the report that no process listens at the server's address."""
        if self.core is not None:
            self.core.handle_server_unreachable(now)

    def tick(self, now: float) -> None:
        """Do the periodic work of the core."""
        if self.core is not None:
            self.core.tick(now)

    def leave(self) -> None:
        """Accept no new work, in this run and in later ones."""
        self._is_leaving = True
        if self.core is not None:
            self.core.leave()

    def has_left(self, tables: Tables) -> bool:
        """Whether the process can stop without interrupting anything.

        The buckets must have been handed over too: until the newest view is
        settled, a new home may still request the records of this agent.
        """
        if self.core is None:
            return True
        if not self.core.is_idle():
            return False
        view = tables.view_by_pool.get(self._setup.pool)
        if view is None:
            return True
        is_in_view = any(map(self.core.parts.is_this_agent, view.members))
        return not is_in_view and not view.unsettled

    def end_unfinished(self, now: float) -> None:
        """End all unfinished work, as the drain time has passed."""
        if self.core is not None:
            self.core.end_unfinished(now)

    def vitals(self) -> Vitals:
        """Return the figures of this agent for the heartbeat."""
        if self.core is None:
            return Vitals(revision=self._revision)
        return self.core.vitals()

    def state(self) -> dict[str, Any]:
        """Return the state of this agent for a dump."""
        if self.core is None:
            return {'admitted': False}
        return agent_state(self.core.parts)

    def _is_current_run(self, incarnation: int) -> bool:
        if self.core is None:
            return False
        return self.core.parts.identity.incarnation == incarnation

    def _start_run(self, tables: Tables, incarnation: int, now: float) -> None:
        setup = self._setup
        pool = tables.pool_by_name.get(setup.pool)
        if pool is None:
            return
        if self.core is not None:
            self.core.retire(now)
        identity = AgentIdentity(
            host=setup.host,
            incarnation=incarnation,
            endpoint=setup.endpoint,
            zone=setup.zone,
            pool=setup.pool,
            buckets=pool.buckets,
            key=setup.key,
        )
        parts = make_parts(
            identity, setup.capacity, self._out, self._metrics, self._rng
        )
        self.core = AgentCore(parts)
        if self._is_leaving:
            self.core.leave()
