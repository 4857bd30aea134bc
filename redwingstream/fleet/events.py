"""What changes what a packet process believes, for the event log."""

from redwingstream.eventlog.lines import event


@event
class ServerReported:
    """The server beside this agent has changed what it says of itself."""

    server: str
    born: int
    sequence: int
    readiness: str
    cold_for: float
    outcome: str


@event
class AgentsChanged:
    """What is known of an agent has changed."""

    agent: str
    pool: str
    zone: str
    readiness: str
    is_cold: bool
    is_silent: bool


@event
class AgentSilent:
    """A control instance has not heard an agent for a while."""

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
