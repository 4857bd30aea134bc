"""What the packet path writes to the event log."""

from redwingstream.eventlog.lines import event


@event
class FlowRefused:
    """A new flow was refused at once; it has not run anywhere.

    Parameters
    ----------
    flow : str
        ``caller>service``.
    reason : str
        Why.
    revision : int
        Revision of the tables that this was decided by.
    visited : int
        Agents that were asked.
    """

    flow: str
    reason: str
    revision: int
    visited: int


@event
class FlowDropped:
    """A packet was dropped without an answer."""

    flow: str
    reason: str
    revision: int


@event
class FlowSent:
    """A balancer sent a new flow to an agent."""

    flow: str
    pool: str
    agent: str
    revision: int
    copy: int
    tried: int


@event
class FlowOpened:
    """The server beside this agent was given a new flow."""

    flow: str
    origin: str
    hops: int
    waiting: int
    flows: int
    is_cold: bool


@event
class FlowPassedOn:
    """An agent passed a new flow on to another agent."""

    flow: str
    reason: str
    target: str
    hops: int
    waiting: int


@event
class FlowHeld:
    """A new flow waits at this agent until its server takes it."""

    flow: str
    reason: str
    expected_wait: float
    waiting: int


@event
class FlowLost:
    """The server beside this agent lost a flow that it held."""

    flow: str
    age: float


@event
class FlowFound:
    """A flow was found at this agent by a search."""

    flow: str
    hops: int
    home: str


@event
class FlowNotFound:
    """None of the agents that answered a lookup carries the flow."""

    flow: str
    visited: int
    unanswered: int


@event
class FlowDeclaredDead:
    """A balancer reset a flow: all agents were asked, and none carries it."""

    flow: str
    revision: int
    confirmed_age: float


@event
class ServerDoubted:
    """The server beside this agent fails requests; others are preferred.

    Parameters
    ----------
    flow : str
        Flow of the request that it failed last.
    """

    flow: str


@event
class ServerTrusted:
    """The server beside this agent serves its requests again."""

    flow: str


@event
class AgentDoubted:
    """An agent did not answer for a new flow; others are preferred."""

    agent: str
    silent_for: float


@event
class AgentTrusted:
    """An agent that was in doubt has answered."""

    agent: str
