"""The agents, merged from the answers of several control instances."""

from collections.abc import Iterable

import attrs

from redwingstream.directory.messages import HeardRecord, Readiness
from redwingstream.packets.flow import Address

MAX_CONTROLS = 64
"""Maximum number of control instances whose records are kept; a deployment
reserves 8 instances for control."""

CONTROL_TIMEOUT = 3
"""Seconds after its last answer for which a control instance still counts when
the others report an agent as silent."""

EVICT_AFTER = 90
"""Seconds after which an agent that every control instance reports as silent
is evicted.  No flow that it carried is older than a minute."""


@attrs.frozen
class Agent:
    """An agent, as far as forwarding depends on it.

    Parameters
    ----------
    address : Address
        Address at which it receives packets.
    zone, pool : str
        Its availability zone and the pool of its server.
    readiness : Readiness
        Whether its server may be given new flows.
    is_cold : bool
        True while its server has just started and is given few new flows.
    is_silent : bool
        True when no control instance that answers hears it.
    """

    address: Address
    zone: str
    pool: str
    readiness: Readiness
    is_cold: bool
    is_silent: bool


@attrs.define
class _Observation:
    """Last record of an agent from one control instance.

    Parameters
    ----------
    heard : HeardRecord
        The record, as the control instance reported it.
    heard_at : float
        Time at which the control instance received it.
    """

    heard: HeardRecord
    heard_at: float


@attrs.define
class _Source:
    """Last records of all agents from one run of a control instance."""

    boot: int
    answered_at: float
    observation_by_address: dict[Address, _Observation] = attrs.field(
        factory=dict
    )


class AgentView:
    """The agents, as several control instances report them.

    Attributes
    ----------
    is_complete : bool
        True once a control instance has answered that has been up long enough
        to have heard all agents.

    Notes
    -----
    A control instance that is partitioned from an agent reports it as silent
    while the others hear it.  An agent therefore counts as silent only when
    all control instances that answer report it.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._source_by_control: dict[Address, _Source] = {}
        self._expected_controls: frozenset[Address] | None = None
        self._agent_by_address: dict[Address, Agent] = {}
        self._agents_by_pool: dict[str, tuple[Agent, ...]] = {}

    @property
    def agent_by_address(self) -> dict[Address, Agent]:
        """All agents; not to be modified by callers."""
        return self._agent_by_address

    def agents_in_pool(self, pool: str) -> tuple[Agent, ...]:
        """Return the agents of a pool, in no particular order."""
        return self._agents_by_pool.get(pool, ())

    def expect_controls(self, controls: frozenset[Address]) -> None:
        """Set the control instances whose answers are expected."""
        self._expected_controls = controls

    def all_answered_since(self, time: float, now: float) -> bool:
        """Whether all expected control instances have answered after ``time``.

        Without expected ones, all that have answered within
        ``CONTROL_TIMEOUT`` count.  An expected one counts even if it has not
        answered yet.
        """
        answers = [
            source.answered_at
            for source in self._source_by_control.values()
            if now - source.answered_at <= CONTROL_TIMEOUT
        ]
        if self._expected_controls is not None:
            answers = list(map(self._answered_at, self._expected_controls))
        return bool(answers) and min(answers) > time

    def handle_records(
        self,
        control: Address,
        boot: int,
        records: Iterable[HeardRecord],
        now: float,
    ) -> list[Agent]:
        """Store the records of one control instance.

        Parameters
        ----------
        control : Address
            Control instance that has answered.
        boot : int
            Its run; what an earlier run has reported is dropped.
        records : iterable of HeardRecord
            Records that have changed since its last answer.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of Agent
            Agents that have changed.
        """
        source = self._source_by_control.get(control)
        if source is None or source.boot != boot:
            source = _Source(boot, now)
            self._source_by_control[control] = source
            self._evict_oldest_source()
        source.answered_at = now
        changed = []
        for heard in records:
            address = Address(heard.record.address)
            observation = _Observation(heard, now - heard.age)
            source.observation_by_address[address] = observation
            agent = self._merge_observations(address, now)
            if agent is not None and self._store(agent):
                changed.append(agent)
        if changed:
            self._group_by_pool()
        return changed

    def replace_all(self, agents: Iterable[Agent]) -> None:
        """Replace all agents by those from another source."""
        self._agent_by_address = {agent.address: agent for agent in agents}
        self._group_by_pool()

    def refresh(self, now: float) -> list[Agent]:
        """Merge the records of all agents anew, and evict expired agents.

        A control instance that stops answering sends no message that would
        change an agent, so this is to be called periodically.

        Returns
        -------
        list of Agent
            Agents that have changed.
        """
        changed = []
        for address, agent in tuple(self._agent_by_address.items()):
            merged = self._merge_observations(address, now) or agent
            last = self._last_heard_at(address)
            if merged.is_silent and now - last > EVICT_AFTER:
                self._evict(address)
            elif self._store(merged):
                changed.append(merged)
        self._group_by_pool()
        return changed

    def _merge_observations(self, address: Address, now: float) -> Agent | None:
        observations = [
            observation
            for source in self._source_by_control.values()
            if now - source.answered_at <= CONTROL_TIMEOUT
            for observation in (source.observation_by_address.get(address),)
            if observation is not None
        ]
        if not observations:
            return None
        hearing = [
            observation
            for observation in observations
            if not observation.heard.is_silent
        ]
        best = max(
            hearing or observations,
            key=lambda observation: observation.heard_at,
        )
        newest = max(
            (
                observation.heard.record
                for observation in observations
                if observation.heard.record.boot == best.heard.record.boot
            ),
            key=lambda record: record.sequence,
        )
        return Agent(
            address,
            newest.zone,
            newest.pool,
            newest.readiness,
            newest.is_cold,
            not hearing,
        )

    def _answered_at(self, control: Address) -> float:
        source = self._source_by_control.get(control)
        return float('-inf') if source is None else source.answered_at

    def _store(self, agent: Agent) -> bool:
        changed = self._agent_by_address.get(agent.address) != agent
        self._agent_by_address[agent.address] = agent
        return changed

    def _last_heard_at(self, address: Address) -> float:
        return max(
            (
                source.observation_by_address[address].heard_at
                for source in self._source_by_control.values()
                if address in source.observation_by_address
            ),
            default=float('-inf'),
        )

    def _evict(self, address: Address) -> None:
        self._agent_by_address.pop(address)
        for source in self._source_by_control.values():
            source.observation_by_address.pop(address, None)

    def _evict_oldest_source(self) -> None:
        if len(self._source_by_control) <= MAX_CONTROLS:
            return
        oldest = min(
            self._source_by_control,
            key=lambda control: self._source_by_control[control].answered_at,
        )
        self._source_by_control.pop(oldest)

    def _group_by_pool(self) -> None:
        agents_by_pool: dict[str, list[Agent]] = {}
        for agent in self._agent_by_address.values():
            agents_by_pool.setdefault(agent.pool, []).append(agent)
        self._agents_by_pool = {
            pool: tuple(agents) for pool, agents in agents_by_pool.items()
        }
