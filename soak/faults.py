"""What the soak does to a site."""

import attrs


@attrs.frozen
class Kill:
    """A process is killed and started again after a while."""

    process: str
    lasts: float


@attrs.frozen
class Pause:
    """A process stands still for a while."""

    process: str
    lasts: float


@attrs.frozen
class Stop:
    """A process is asked to stop, and started again once it has."""

    process: str


@attrs.frozen
class LoseDisk:
    """A control instance is killed and comes back with an empty disk."""

    process: str
    lasts: float


@attrs.frozen
class FillDisk:
    """Files of a control instance take no more bytes for a while."""

    process: str
    lasts: float


@attrs.frozen
class KillAll:
    """Every process is killed at the same moment and started again."""

    lasts: float


@attrs.frozen
class RestartServer:
    """A server ends without a word and begins anew."""

    server: int


@attrs.frozen
class ReportLate:
    """A server begins anew, and its first report comes late."""

    server: int
    lasts: float


@attrs.frozen
class ThawBesideRestart:
    """A balancer stands still, and goes on when an agent has started again."""

    process: str
    agent: str
    lasts: float


@attrs.frozen
class LosePower:
    """A server and its agent end at once and begin anew."""

    server: int
    lasts: float


@attrs.frozen
class DrainServer:
    """A server drains for a while."""

    server: int
    lasts: float


@attrs.frozen
class TakeZoneOut:
    """Operators take a zone out for a while."""

    zone: str
    lasts: float


@attrs.frozen
class DisturbCalls:
    """Connections of operators are disturbed for a while."""

    how: str
    lasts: float


Fault = (
    Kill
    | Pause
    | Stop
    | LoseDisk
    | FillDisk
    | KillAll
    | RestartServer
    | ReportLate
    | ThawBesideRestart
    | LosePower
    | DrainServer
    | TakeZoneOut
    | DisturbCalls
)
