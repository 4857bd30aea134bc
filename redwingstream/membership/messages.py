"""How a process announces itself to control and stays known.

An announcement takes two steps.  The first gets a challenge; only a process
that is alive now can repeat it.  Without this a first announcement that the
network held back for long could replace the run that came after it.
"""

from redwingstream.tables.rows import Role
from redwingstream.wire.messages import message


@message(kind=2)
class Announce:
    """A run of a process wants to be a member.

    Parameters
    ----------
    host : str
        Name of the host or instance.
    role : Role
        What the process does.
    endpoint : str
        ``IP:PORT`` for frames and calls.
    zone : str
        Its availability zone.
    pool : str
        Pool that its backend server serves; empty for a balancer.
    weight : int
        Share relative to other members of the pool.
    challenge : int
        What the leader sent in :class:`Challenge`; 0 at first.
    """

    host: str
    role: Role
    endpoint: str
    zone: str
    pool: str
    weight: int
    challenge: int = 0


@message(kind=3)
class Challenge:
    """The leader's answer to a first announcement.

    Parameters
    ----------
    challenge : int
        Random number that the repeated announcement has to carry.
    """

    challenge: int


@message(kind=4)
class Heartbeat:
    """A member is alive.

    Parameters
    ----------
    host : str
        Its name.
    incarnation : int
        Which run of it.
    revision : int
        Revision of its tables.
    leaving : bool
        True once it was told to stop and wants to drain.
    settled_view : int
        Highest view of its pool in which it holds all its buckets.
    in_flight : int
        Requests that its server is running.
    flows : int
        Established feeds that it carries.
    limit : int
        Requests that its server may run at once.
    """

    host: str
    incarnation: int
    revision: int
    leaving: bool = False
    settled_view: int = 0
    in_flight: int = 0
    flows: int = 0
    limit: int = 0


@message(kind=5)
class HeartbeatAck:
    """A control instance's answer to an announcement or a heartbeat.

    Parameters
    ----------
    incarnation : int
        The sender's run as admitted; 0 when it has to announce itself.
    revision : int
        Revision of the control instance's tables.
    leader : str
        ``IP:PORT`` of the leader as far as it knows; empty when unknown.
    reason : str
        Why a process was not admitted; empty otherwise.
    """

    incarnation: int
    revision: int
    leader: str
    reason: str = ''


@message(kind=6)
class Probe:
    """Ask a peer on a link that has been silent for a sign of life.

    Parameters
    ----------
    revision : int
        Revision of the sender's tables.
    """

    revision: int


@message(kind=7)
class ProbeAck:
    """Answer to :class:`Probe`, sent at once.

    Parameters
    ----------
    revision : int
        Revision of the sender's tables.
    """

    revision: int


@message(kind=8)
class DumpRequest:
    """Ask any process for its state."""


@message(kind=9)
class DumpAnswer:
    """State of a process as JSON text."""

    text: str
