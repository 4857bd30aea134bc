"""Log events of the packet decisions."""

from redwingstream.eventlog.lines import event


@event
class FlowRefused:
    """A new flow was refused; no server has received it.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    reason : str
        Reason of the refusal.
    revision : int
        Revision of the tables in force.
    visited : int
        Number of agents that have decided on the flow.
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
    """An agent gave a new flow to its server."""

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
    """A new flow waits at an agent until its server can accept it."""

    flow: str
    reason: str
    expected_wait: float
    waiting: int


@event
class FlowLost:
    """The server beside an agent no longer holds a flow that it held."""

    flow: str
    age: float


@event
class FlowFound:
    """A flow whose carrier was not known was found at this agent."""

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
    """A balancer reset a flow; all agents were queried, and none carries it."""

    flow: str
    revision: int
    confirmed_age: float


@event
class ServerDoubted:
    """The server beside this agent fails requests; others are preferred.

    Parameters
    ----------
    flow : str
        Flow of the last request that failed.
    """

    flow: str


@event
class ServerTrusted:
    """The server beside this agent serves its requests again."""

    flow: str


@event
class AgentDoubted:
    """An agent did not answer a balancer; other agents are preferred."""

    agent: str
    silent_for: float


@event
class AgentTrusted:
    """An agent that was in doubt has answered."""

    agent: str
