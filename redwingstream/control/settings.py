"""Settings of a control instance."""

from pathlib import Path

import attrs

from redwingstream.consensus.state import Timing
from redwingstream.endpoints import Endpoint
from redwingstream.membership.leases import DEFAULT_LEASE

DEFAULT_CHANGE_TIMEOUT = 1.5


@attrs.frozen
class ControlSettings:
    """Settings of a control instance.

    Parameters
    ----------
    host : str
        Name of the control instance.
    endpoint : Endpoint
        Where it receives frames (UDP) and calls (TCP).
    zone : str
        Its availability zone.
    data_folder : Path
        Folder of its durable state, not shared with another instance, on a
        disk that honours sync.
    replicas : tuple of Endpoint
        All control instances, this one included; equal on all of them.
    key : bytes
        Key of the fleet; see :class:`redwingstream.wire.frames.FrameCodec`.
    timing : Timing
        Timeouts among the replicas.
    lease : float
        Seconds of silence after which a member is removed.
    change_timeout : float
        Seconds that an operator's call waits for a majority.
    """

    host: str
    endpoint: Endpoint
    zone: str
    data_folder: Path
    replicas: tuple[Endpoint, ...]
    key: bytes
    timing: Timing = Timing()
    lease: float = DEFAULT_LEASE
    change_timeout: float = DEFAULT_CHANGE_TIMEOUT
