"""Log events of changes in what a process of the packet roles knows."""

from redwingstream.eventlog.lines import event


@event
class ServerReported:
    """The server beside this agent has reported a change, or was refused."""

    server: str
    born: int
    sequence: int
    readiness: str
    cold_for: float
    outcome: str


@event
class AgentsChanged:
    """The known state of an agent has changed."""

    agent: str
    pool: str
    zone: str
    readiness: str
    is_cold: bool
    is_silent: bool


@event
class AgentSilent:
    """A control instance has not heard an agent within the silence timeout."""

    agent: str
    pool: str


@event
class TablesChanged:
    """Newer tables are in force in this process."""

    revision: int
    version: int
    routes: int
    zones_out: str
    confirmed_age: float


@event
class ServerEnded:
    """A stopping agent has found that its server's process has ended."""

    server: str
