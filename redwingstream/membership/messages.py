"""Messages for membership: announcements, heartbeats, probes and dumps.

An announcement takes two steps.  The leader answers the first with a challenge;
only a process that is alive now can repeat the announcement with it.  Without
the challenge, an announcement that the network delayed for long could replace
the run that came after it.
"""

from redwingstream.tables.rows import Role
from redwingstream.wire.messages import message


@message(kind=2)
class Announce:
    """Request of a run of a process to become a member.

    Parameters
    ----------
    host : str
        Name of the host or instance.
    role : Role
        Role of the process.
    endpoint : str
        ``IP:PORT`` for frames and calls.
    zone : str
        Availability zone of the process.
    pool : str
        Pool of its backend server; empty for a balancer.
    weight : int
        Share of the pool's buckets, relative to other members.
    challenge : int
        Number from the leader's :class:`Challenge`; 0 in the first step.
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
    """Answer of the leader to the first step of an announcement.

    Parameters
    ----------
    challenge : int
        Random number that the second step has to contain.
    """

    challenge: int


@message(kind=4)
class Heartbeat:
    """Sign of life of a member, with its state.

    Parameters
    ----------
    host : str
        Host name of the member.
    incarnation : int
        Incarnation of the member.
    revision : int
        Revision of its tables.
    leaving : bool
        True once the process was told to stop and drains.
    settled_view : int
        Highest view of its pool in which it has settled all its buckets.
    in_flight : int
        Number of requests that its backend server is running.
    flows : int
        Number of established feeds that it carries.
    limit : int
        Maximum number of requests that its backend server may run at once.
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
    """Answer of a control instance to an announcement or a heartbeat.

    Parameters
    ----------
    incarnation : int
        Incarnation of the process; 0 when it has to announce itself.
    revision : int
        Revision of the control instance's tables.
    leader : str
        ``IP:PORT`` of the leader that the control instance knows; empty when
        it knows none.
    reason : str
        Why a process was not admitted; empty otherwise.
    """

    incarnation: int
    revision: int
    leader: str
    reason: str = ''


@message(kind=6)
class Probe:
    """Request for a sign of life from a peer that has not answered.

    Parameters
    ----------
    revision : int
        Revision of the sender's tables.
    """

    revision: int


@message(kind=7)
class ProbeAck:
    """Immediate answer to :class:`Probe`.

    Parameters
    ----------
    revision : int
        Revision of the sender's tables.
    """

    revision: int


@message(kind=8)
class DumpRequest:
    """Request for the state of a process."""


@message(kind=9)
class DumpAnswer:
    """State of a process.

    Parameters
    ----------
    text : str
        The state as JSON.
    """

    text: str
