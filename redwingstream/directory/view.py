"""What a process makes of the records of several control instances."""

from collections.abc import Iterable

import attrs

from redwingstream.directory.messages import HeardRecord, Readiness
from redwingstream.packets.flow import Address

MAX_CONTROLS = 64
"""Control instances whose records are kept; 8 are set aside for control."""

TRUSTED_FOR = 3
"""Seconds for which a control instance that gives no answer still counts when
the others call an agent silent."""

FORGOTTEN_AFTER = 90
"""Seconds after which an agent that every control instance calls silent is
forgotten; no flow that it carried is older than a minute."""


@attrs.frozen
class Agent:
    """An agent, as far as forwarding depends on it.

    Parameters
    ----------
    address : Address
        Where it takes packets.
    zone, pool : str
        Its availability zone and its server's pool.
    readiness : Readiness
        Whether its server may be given new flows.
    is_cold : bool
        True while its server is warming up.
    is_silent : bool
        True when no control instance hears it.
    """

    address: Address
    zone: str
    pool: str
    readiness: Readiness
    is_cold: bool
    is_silent: bool


@attrs.define
class _Opinion:
    """What one control instance last said of an agent."""

    heard: HeardRecord
    heard_at: float


@attrs.define
class _Source:
    boot: int
    answered_at: float
    opinion_by_address: dict[Address, _Opinion] = attrs.field(factory=dict)


class AgentView:
    """The agents, as several control instances know them.

    Notes
    -----
    A control instance that is cut off from an agent calls it silent while the
    others hear it.  So an agent is silent only when all control instances that
    answer say so.  The view is complete once a control instance has answered
    that has been up for long enough to have heard all agents.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._source_by_control: dict[Address, _Source] = {}
        self._expected: frozenset[Address] | None = None
        self._agent_by_address: dict[Address, Agent] = {}
        self._agents_by_pool: dict[str, tuple[Agent, ...]] = {}

    @property
    def agent_by_address(self) -> dict[Address, Agent]:
        """All agents; not to be changed from outside."""
        return self._agent_by_address

    def agents_in_pool(self, pool: str) -> tuple[Agent, ...]:
        """Return the agents of a pool, in no particular order."""
        return self._agents_by_pool.get(pool, ())

    def expect_only(self, controls: frozenset[Address]) -> None:
        """Set the control instances whose answers are expected."""
        self._expected = controls

    def all_answered_since(self, since: float, now: float) -> bool:
        """Whether all control instances that answer have done so since.

        An expected control instance counts even if it has not answered yet.
        """
        answers = [
            source.answered_at
            for source in self._source_by_control.values()
            if now - source.answered_at <= TRUSTED_FOR
        ]
        if self._expected is not None:
            answers = list(map(self._answered_at, self._expected))
        return bool(answers) and min(answers) > since

    def handle_records(
        self,
        control: Address,
        boot: int,
        records: Iterable[HeardRecord],
        now: float,
    ) -> list[Agent]:
        """Take what a control instance said; return agents that changed."""
        source = self._source_by_control.get(control)
        if source is None or source.boot != boot:
            source = _Source(boot, now)
            self._source_by_control[control] = source
            self._drop_oldest()
        source.answered_at = now
        changed = []
        for heard in records:
            address = Address(heard.record.address)
            opinion = _Opinion(heard, now - heard.age)
            source.opinion_by_address[address] = opinion
            agent = self._judge(address, now)
            if agent is not None and self._keep(agent):
                changed.append(agent)
        if changed:
            self._sort_by_pool()
        return changed

    def replace_all(self, agents: Iterable[Agent]) -> None:
        """Know just these agents; for whoever has them from elsewhere."""
        self._agent_by_address = {agent.address: agent for agent in agents}
        self._sort_by_pool()

    def refresh(self, now: float) -> list[Agent]:
        """Judge all agents anew, and forget those that are long lost.

        Returns
        -------
        list of Agent
            Those that have changed.  A control instance that does not answer
            any more stops counting without a word.
        """
        changed = []
        for address, agent in tuple(self._agent_by_address.items()):
            judged = self._judge(address, now) or agent
            last = self._last_heard(address)
            if judged.is_silent and now - last > FORGOTTEN_AFTER:
                self._drop(address)
            elif self._keep(judged):
                changed.append(judged)
        self._sort_by_pool()
        return changed

    def _judge(self, address: Address, now: float) -> Agent | None:
        opinions = [
            opinion
            for source in self._source_by_control.values()
            if now - source.answered_at <= TRUSTED_FOR
            for opinion in (source.opinion_by_address.get(address),)
            if opinion is not None
        ]
        if not opinions:
            return None
        hearing = [
            opinion for opinion in opinions if not opinion.heard.is_silent
        ]
        best = max(hearing or opinions, key=lambda opinion: opinion.heard_at)
        newest = max(
            (
                opinion.heard.record
                for opinion in opinions
                if opinion.heard.record.boot == best.heard.record.boot
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

    def _keep(self, agent: Agent) -> bool:
        changed = self._agent_by_address.get(agent.address) != agent
        self._agent_by_address[agent.address] = agent
        return changed

    def _last_heard(self, address: Address) -> float:
        return max(
            (
                source.opinion_by_address[address].heard_at
                for source in self._source_by_control.values()
                if address in source.opinion_by_address
            ),
            default=float('-inf'),
        )

    def _drop(self, address: Address) -> None:
        self._agent_by_address.pop(address)
        for source in self._source_by_control.values():
            source.opinion_by_address.pop(address, None)

    def _drop_oldest(self) -> None:
        if len(self._source_by_control) <= MAX_CONTROLS:
            return
        oldest = min(
            self._source_by_control,
            key=lambda control: self._source_by_control[control].answered_at,
        )
        self._source_by_control.pop(oldest)

    def _sort_by_pool(self) -> None:
        agents_by_pool: dict[str, list[Agent]] = {}
        for agent in self._agent_by_address.values():
            agents_by_pool.setdefault(agent.pool, []).append(agent)
        self._agents_by_pool = {
            pool: tuple(agents) for pool, agents in agents_by_pool.items()
        }
