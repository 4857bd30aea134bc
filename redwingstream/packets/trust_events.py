"""Log events about agents that do not answer a balancer."""

from redwingstream.eventlog.lines import event


@event
class AgentDoubted:
    """An agent did not answer a balancer; other agents are preferred.

    Parameters
    ----------
    agent : str
        Address of the agent.
    silent_for : float
        Seconds since its last envelope arrived.
    """

    agent: str
    silent_for: float


@event
class AgentTrusted:
    """An agent that was in doubt has answered."""

    agent: str
