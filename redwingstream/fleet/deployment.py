"""Settings that a process of the packet roles gets at its start."""

from pathlib import Path

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.packets.flow import Address, address_of

CONTROL_OFFSET = 0
BALANCER_OFFSET = 1
AGENT_OFFSET = 2
"""Offsets of the roles' ports in the range of internal ports; two roles may
share an instance."""

DEFAULT_IDLE_TIMEOUT = 15.0
"""Seconds after which a flow without packets is dropped, until operators have
set a timeout."""


@attrs.frozen
class ListenEndpoints:
    """Endpoints that a process listens on; None for unused ones.

    Parameters
    ----------
    packets : Endpoint or None
        Packets of callers (balancer) or of other processes (agent).
    outbound : Endpoint or None
        Packets of the server beside an agent.
    readiness : Endpoint or None
        Readiness checks of the process.
    control : Endpoint or None
        Operators' calls (control instance) or the server's reports (agent).
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
    """The backend server on the same instance as an agent.

    Parameters
    ----------
    server : Endpoint
        Endpoint at which it receives packets.
    pool : str
        Pool that it belongs to.
    """

    server: Endpoint
    pool: str


@attrs.frozen
class Deployment:
    """Settings of a process.

    Parameters
    ----------
    node, zone, host : str
        Name, availability zone and IP address of the instance.
    listening : ListenEndpoints
        Endpoints that the process listens on.
    first_port, last_port : int
        Ports for traffic between processes of the system, the same on every
        instance.
    seeds : tuple of str
        IP addresses of some control instances.
    data_folder : Path or None
        Folder on a disk; None without one.
    is_first_start : bool
        True when the whole system starts for the first time.
    tolerated_losses : int
        Number of instances with a disk that may be lost at once.
    local_server : LocalServer or None
        The server beside an agent; None for other roles.
    cold_limit : ColdLimit
        Limit on the new flows of a cold server.
    report_interval : float
        Seconds between two reports of a server.
    grace_seconds : float
        Seconds from the request to stop until the process is killed.
    max_flow_age : float
        Seconds after which any flow may be given up.
    link_rate : float
        Bytes per second that the link of the instance carries in each
        direction; infinite when not known.
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
    link_rate: float = float('inf')

    @property
    def group_size(self) -> int:
        """Voting replicas: a majority remains after the tolerated losses."""
        return 2 * self.tolerated_losses + 1

    @property
    def seed_addresses(self) -> tuple[Address, ...]:
        """Internal addresses of the control instances named by the settings."""
        return tuple(
            address_of(host, self.first_port + CONTROL_OFFSET)
            for host in self.seeds
        )

    def internal_endpoint(self, offset: int) -> Endpoint:
        """Return the endpoint of this process for traffic between processes.

        Parameters
        ----------
        offset : int
            Offset of the role in the range of internal ports.
        """
        return Endpoint(self.host, self.first_port + offset)

    def control_endpoint(self, host: str) -> Endpoint:
        """Return the endpoint at which a control instance serves operators."""
        own = self.listening.control
        return Endpoint(host, 0 if own is None else own.port)
