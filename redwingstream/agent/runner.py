"""The run of an agent that control has admitted, and its successors."""

import random
from typing import Any

import attrs

from redwingstream.agent.core import AgentCore
from redwingstream.agent.message_types import AgentMessage
from redwingstream.agent.making import make_parts
from redwingstream.agent.outputs import Outputs
from redwingstream.agent.parts import AgentIdentity, ServerCapacity
from redwingstream.agent.status import state_of
from redwingstream.endpoints import parse_endpoint
from redwingstream.membership.announcer import Vitals
from redwingstream.node.metrics import Metrics
from redwingstream.tables.snapshot import Tables


@attrs.frozen
class AgentSetup:
    """Where an agent stands, whichever run of it.

    Parameters
    ----------
    host, endpoint, zone, pool : str
        As in :class:`~redwingstream.agent.parts.AgentIdentity`.
    key : bytes
        Key of the bucket hash.
    capacity : ServerCapacity
        What its server bears.
    """

    host: str
    endpoint: str
    zone: str
    pool: str
    key: bytes
    capacity: ServerCapacity


class AgentRunner:
    """Makes the core of each run that control admits, and hands it events.

    Parameters
    ----------
    setup : AgentSetup
        Where the agent stands.
    out : Outputs
        What it can do.
    metrics : Metrics
        What it counts.
    rng : random.Random
        Where tokens, delays and choices are drawn from.

    Attributes
    ----------
    core : AgentCore or None
        Of the present run; None before the first one is admitted.
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
        """Go by newer tables, or by a newer incarnation.

        Parameters
        ----------
        tables : Tables
            The newest.
        incarnation : int
            What control admitted last.
        now : float
            Seconds.

        Notes
        -----
        A process that was frozen or cut off for longer than its lease is
        admitted anew.  What the former run held is not valid any more, and a
        core that kept its incarnation would be home of nothing for ever.
        """
        self._revision = tables.revision
        member = tables.member_by_host.get(self._setup.host)
        is_admitted = member is not None and member.incarnation == incarnation
        if is_admitted and not self._is_run(incarnation):
            self._start(tables, incarnation, now)
        if self.core is not None:
            self.core.apply_tables(tables, now)

    def handle_frame(
        self, message: AgentMessage, source: str, now: float
    ) -> None:
        """Take a frame of another process."""
        if self.core is None:
            self._metrics.count('frame_before_admission')
            return
        self.core.handle_message(message, source, now)

    def record_heard(self, source: str) -> None:
        """Note a sign of life of another process."""
        if self.core is not None:
            self.core.parts.links.heard(parse_endpoint(source))

    def handle_server_packet(
        self, packet: bytes, source: int, now: float
    ) -> None:
        """Take a packet of the backend server."""
        if self.core is not None:
            self.core.handle_server_packet(packet, source, now)

    def handle_server_unreachable(self, now: float) -> None:
        """Take the hint that nobody listens at the server's address."""
        if self.core is not None:
            self.core.handle_server_unreachable(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.core is not None:
            self.core.tick(now)

    def leave(self) -> None:
        """Take no new work any more, in later runs neither."""
        self._is_leaving = True
        if self.core is not None:
            self.core.leave()

    def has_left(self, tables: Tables) -> bool:
        """Whether nothing is left here that a stop would cut.

        The buckets must have gone too: until the newest view is settled, a new
        home may still ask this agent for its records.
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

    def give_up(self, now: float) -> None:
        """End what has not finished: the time to leave is up."""
        if self.core is not None:
            self.core.end_unfinished(now)

    def vitals(self) -> Vitals:
        """Return what the heartbeat says of this agent."""
        if self.core is None:
            return Vitals(revision=self._revision)
        return self.core.vitals()

    def state(self) -> dict[str, Any]:
        """Return the state for a dump."""
        if self.core is None:
            return {'admitted': False}
        return state_of(self.core.parts)

    def _is_run(self, incarnation: int) -> bool:
        if self.core is None:
            return False
        return self.core.parts.identity.incarnation == incarnation

    def _start(self, tables: Tables, incarnation: int, now: float) -> None:
        setup = self._setup
        pool = tables.pool_by_name.get(setup.pool)
        if pool is None:
            return
        if self.core is not None:
            self.core.retire(now)
        me = AgentIdentity(
            host=setup.host,
            incarnation=incarnation,
            endpoint=setup.endpoint,
            zone=setup.zone,
            pool=setup.pool,
            buckets=pool.buckets,
            key=setup.key,
        )
        parts = make_parts(
            me, setup.capacity, self._out, self._metrics, self._rng
        )
        self.core = AgentCore(parts)
        if self._is_leaving:
            self.core.leave()
