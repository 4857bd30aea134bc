"""What a process of the packet roles is told at its start."""

from pathlib import Path

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.packets.flow import Address, address_of

CONTROL_OFFSET = 0
BALANCER_OFFSET = 1
AGENT_OFFSET = 2
"""Which of the internal ports a role takes; two roles share an instance."""

DEFAULT_IDLE_TIMEOUT = 15.0
"""Seconds after which a flow without packets is forgotten, until operators
have stated it."""


@attrs.frozen
class ListenEndpoints:
    """Where a process listens; None for what its role does not need.

    Parameters
    ----------
    packets : Endpoint or None
        Packets of callers (balancer) or of other processes (agent).
    outbound : Endpoint or None
        Packets of the server beside an agent.
    readiness : Endpoint or None
        Whether the process is ready.
    control : Endpoint or None
        Operators (control instance) or the server's reports (agent).
    metrics : Endpoint or None
        Counters and histograms.
    """

    packets: Endpoint | None = None
    outbound: Endpoint | None = None
    readiness: Endpoint | None = None
    control: Endpoint | None = None
    metrics: Endpoint | None = None


@attrs.frozen
class LocalServer:
    """The backend server beside an agent.

    Parameters
    ----------
    server : Endpoint
        Where it takes packets.
    pool : str
        Pool that it belongs to.
    """

    server: Endpoint
    pool: str


@attrs.frozen
class Deployment:
    """What a process is told at its start.

    Parameters
    ----------
    node, zone, host : str
        Name, availability zone and IP address of the instance.
    listening : Listening
        Where it listens.
    first_port, last_port : int
        Ports for traffic between processes of the system, the same on every
        instance.
    seeds : tuple of str
        IP addresses of some control instances.
    data_folder : Path or None
        Folder on a disk; None without one.
    is_first_start : bool
        True when the whole system starts for the first time.
    tolerated : int
        Instances with a disk that may be lost at once.
    beside : Beside or None
        The server beside an agent.
    cold_limit : ColdLimit
        What a cold server may get.
    report_interval : float
        Seconds between two reports of a server.
    grace : float
        Seconds from the request to stop until the process is killed.
    flow_life : float
        Seconds after which any flow may be given up.
    """

    node: str
    zone: str
    host: str
    listening: ListenEndpoints
    first_port: int
    last_port: int
    seeds: tuple[str, ...]
    data_folder: Path | None
    is_first_start: bool
    tolerated_losses: int
    local_server: LocalServer | None
    cold_limit: ColdLimit
    report_interval: float
    grace_seconds: float
    max_flow_age: float

    @property
    def group_size(self) -> int:
        """Replicas that count: a majority survives what may be lost."""
        return 2 * self.tolerated_losses + 1

    @property
    def seed_addresses(self) -> tuple[Address, ...]:
        """Where the control instances of the settings talk to others."""
        return tuple(
            address_of(host, self.first_port + CONTROL_OFFSET)
            for host in self.seeds
        )

    def internal(self, offset: int) -> Endpoint:
        """Return where this process talks to others."""
        return Endpoint(self.host, self.first_port + offset)

    def control_endpoint(self, host: str) -> Endpoint:
        """Return where a control instance serves operators."""
        own = self.listening.control
        return Endpoint(host, 0 if own is None else own.port)
