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
    """A packet was dropped without an answer.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    reason : str
        Reason why it was dropped.
    revision : int
        Revision of the tables in force.
    """

    flow: str
    reason: str
    revision: int


@event
class FlowSent:
    """A balancer sent a new flow to an agent.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    pool : str
        Pool that serves the flow.
    agent : str
        Address of the agent.
    revision : int
        Revision of the tables in force.
    copy : int
        Number of packets that the caller has sent for this flow before.
    tried : int
        Number of agents that were sent the flow before.
    """

    flow: str
    pool: str
    agent: str
    revision: int
    copy: int
    tried: int


@event
class FlowOpened:
    """An agent gave a new flow to its server.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    origin : str
        Address of the balancer that sent the flow.
    hops : int
        Number of agents that passed the flow on.
    waiting : int
        Number of flows that await an answer of the server.
    flows : int
        Number of flows that the server holds.
    is_cold : bool
        True if the server is cold.
    """

    flow: str
    origin: str
    hops: int
    waiting: int
    flows: int
    is_cold: bool


@event
class FlowPassedOn:
    """An agent passed a new flow on to another agent.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    reason : str
        Reason why the agent's server was not given the flow.
    target : str
        Address of the other agent.
    hops : int
        Number of agents that passed the flow on before.
    waiting : int
        Number of flows that await an answer of the agent's server.
    """

    flow: str
    reason: str
    target: str
    hops: int
    waiting: int


@event
class FlowHeld:
    """A new flow waits at an agent until its server can accept it.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    reason : str
        Reason why the server is not given the flow yet.
    expected_wait : float
        Expected wait in seconds.
    waiting : int
        Number of new flows that wait at the agent.
    """

    flow: str
    reason: str
    expected_wait: float
    waiting: int


@event
class FlowLost:
    """The server beside an agent no longer holds a flow that it held.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    age : float
        Seconds since the flow was opened, or since the agent learned of it.
    """

    flow: str
    age: float


@event
class FlowFound:
    """A flow whose carrier was not known was found at this agent.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    hops : int
        Number of agents that passed the packet on.
    home : str
        Address of the agent that is notified as the home of the flow.
    """

    flow: str
    hops: int
    home: str


@event
class FlowMismatch:
    """A packet belongs to another flow than the one that this agent carries.

    Both flows have the same caller port and service.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    kind : str
        Kind of the envelope with the packet.
    state : str
        Progress of the flow that this agent carries.
    age : float
        Seconds since that flow was opened.
    accepted_sequence : int
        Sequence number with which its server accepted it.
    sent_length : int
        Number of sequence numbers that its server has sent from there on.
    acknowledged : int
        Acknowledgement number of the packet, outside of these.
    """

    flow: str
    kind: str
    state: str
    age: float
    accepted_sequence: int
    sent_length: int
    acknowledged: int


@event
class FlowReturned:
    """The server returned a packet of a flow that its agent had an entry for.

    The agent has removed the entry.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    state : str
        Progress of the flow of the entry.
    age : float
        Seconds since that flow was opened.
    is_lookup : bool
        True if the packet came with a lookup of another agent.
    """

    flow: str
    state: str
    age: float
    is_lookup: bool


@event
class FlowNotFound:
    """None of the agents that answered a lookup carries the flow.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    visited : int
        Number of agents that do not carry the flow.
    unanswered : int
        Number of agents that did not answer.
    """

    flow: str
    visited: int
    unanswered: int


@event
class FlowDeclaredDead:
    """A balancer reset a flow; all agents were queried, and none carries it.

    Parameters
    ----------
    flow : str
        Addresses of the flow, as ``caller>service``.
    revision : int
        Revision of the tables in force.
    confirmed_age : float
        Seconds since the tables were last confirmed to be the newest ones.
    """

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
