"""Messages between control instances and the processes that poll them.

Tables are confirmed at a time when a majority of control instances has
confirmed that they were the newest at that time.  A server is cold while it
has just started and is given few new flows.
"""

import enum

import attrs

from redwingstream.wire.messages import message

UNSOLICITED = 0
"""Number of a report that answers no inquiry; inquiries count from 1."""


class Readiness(enum.IntEnum):
    """Whether an agent's server may be given new flows.

    A ``GONE`` server has announced its shutdown and may still hold flows.  The
    process of an ``ENDED`` server no longer runs, so it holds none.
    """

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    GONE = 3
    ENDED = 4

    @property
    def is_gone(self) -> bool:
        """Whether the server is shutting down or its process has ended."""
        return self in {Readiness.GONE, Readiness.ENDED}


@attrs.frozen
class AgentRecord:
    """State that an agent reports of itself and its server.

    Parameters
    ----------
    address : int
        Address at which it receives packets, see
        :mod:`redwingstream.packets.flow`.
    zone : str
        Its availability zone.
    pool : str
        Pool that its server belongs to.
    boot : int
        Random number of this run of the agent.
    sequence : int
        Number of the record within this run.
    readiness : Readiness
        As its server reported; unknown before the first report.
    is_cold : bool
        True while its server has just started and is given few new flows.
    """

    address: int
    zone: str
    pool: str
    boot: int
    sequence: int
    readiness: Readiness
    is_cold: bool


@attrs.frozen
class HeardRecord:
    """An agent's record as a control instance has received it.

    Parameters
    ----------
    record : AgentRecord
        Last record of the agent.
    age : float
        Seconds since the record was received.
    is_silent : bool
        True when the agent has not been heard within the silence timeout.
    """

    record: AgentRecord
    age: float
    is_silent: bool


class Wanted(enum.IntEnum):
    """Content that an inquiry requests.

    ``STATUS`` requests the revision of the tables, ``TABLES`` newer tables if
    there are any, ``ALL`` agents' records as well.
    """

    STATUS = 0
    TABLES = 1
    ALL = 2


@message(kind=80)
class Inquiry:
    """Request of a process to a control instance for what is new.

    Parameters
    ----------
    number : int
        Repeated by the answer.
    revision : int
        Revision of the tables that the process has.
    boot, cursor : int
        Run of the control instance that was asked before, and the position up
        to which its records were read; 0 for the first inquiry.
    pool : str
        The only pool whose agents are requested; empty for all.
    record : AgentRecord or None
        The sender's own record, if it is an agent; None from others.
    wanted : Wanted
        Requested content of the answer.
    """

    number: int
    revision: int
    boot: int
    cursor: int
    pool: str = ''
    record: AgentRecord | None = None
    wanted: Wanted = Wanted.ALL


@message(kind=81)
class Report:
    """Answer to an :class:`Inquiry`.

    Parameters
    ----------
    number : int
        Number of the inquiry; ``UNSOLICITED`` when a control instance that has
        started contacts a process first.
    sender : int
        Address of the control instance.
    boot, cursor : int
        To be repeated in the next inquiry.
    records : bytes
        Records that have changed since the cursor, encoded by
        :mod:`redwingstream.directory.packing`.
    update : bytes
        Changes of the tables, packed; empty when there are none.
    revision : int
        Revision of the tables that the control instance has.
    revision_age : float
        Seconds for which it has had that revision.
    confirmed_age : float
        Seconds since the tables of the control instance were last confirmed to
        be the newest.
    has_heard_all : bool
        True when it has been up long enough to have heard every reachable
        agent.
    controls : tuple of int
        Addresses of the control instances that run.
    pause : float
        Requested time in seconds until the next inquiry.
    brings : Wanted
        Content that the inquiry requested.
    """

    number: int
    sender: int
    boot: int
    cursor: int
    records: bytes
    update: bytes
    revision: int
    revision_age: float
    confirmed_age: float
    has_heard_all: bool
    controls: tuple[int, ...]
    pause: float
    brings: Wanted = Wanted.ALL


@attrs.frozen
class ReplicaName:
    """Name and identity of a replica in the control group.

    Parameters
    ----------
    name : str
        Endpoint of its control instance, as text.
    identity : int
        Random number of its data folder.
    """

    name: str
    identity: int


@message(kind=84)
class Unchanged:
    """Short answer to the :class:`Inquiry` of a process that is up to date.

    A control instance gives it only once it has been up long enough to have
    heard all agents.

    Parameters
    ----------
    number : int
        Number of the inquiry.
    sender : int
        Address of the control instance.
    revision : int
        Revision of the tables that both have.
    confirmed_age : float
        Seconds since the tables of the control instance were last confirmed to
        be the newest.
    """

    number: int
    sender: int
    revision: int
    confirmed_age: float


@message(kind=85)
class Status:
    """Answer to an :class:`Inquiry` that requests no records.

    Parameters
    ----------
    number : int
        Number of the inquiry.
    sender : int
        Address of the control instance.
    revision : int
        Revision of the tables that the control instance has.
    confirmed_age : float
        Seconds since the tables of the control instance were last confirmed to
        be the newest.
    pause : float
        Requested time in seconds until the next inquiry.
    """

    number: int
    sender: int
    revision: int
    confirmed_age: float
    pause: float


@message(kind=86)
class FlowSnapshot:
    """Established flows of an agent's server, kept by control instances.

    Parameters
    ----------
    address : int
        Address at which the agent receives packets.
    boot : int
        Random number of the agent's run.
    sequence : int
        Number of the snapshot within this run.
    born : int
        Start of the server's run, in milliseconds by the server's clock.
    flows : bytes
        The flows, packed by :mod:`redwingstream.lost_flows.recorded_flows`.
    """

    address: int
    boot: int
    sequence: int
    born: int
    flows: bytes


@message(kind=87)
class FlowSnapshotQuery:
    """Request of an agent for the snapshot of its earlier run.

    Only a control instance that has one answers.

    Parameters
    ----------
    address : int
        Address at which the agent receives packets.
    boot : int
        Random number of the agent's present run.
    """

    address: int
    boot: int


@message(kind=82)
class ControlHello:
    """Periodic message of a control instance to the others that it runs.

    Parameters
    ----------
    sender : int
        Its address.
    boot : int
        Random number of its run.
    zone : str
        Its availability zone.
    replica : ReplicaName or None
        Its replica; None without a disk.
    is_fresh : bool
        True when the whole system starts for the first time and its replica
        belongs to no group yet.
    founding : tuple of ReplicaName
        The first group that the sender has chosen; empty unless it is the
        instance that chooses.
    controls : tuple of int
        Running control instances that the sender has heard; empty in most
        hellos while they stay the same.
    """

    sender: int
    boot: int
    zone: str
    replica: ReplicaName | None
    is_fresh: bool
    founding: tuple[ReplicaName, ...] = ()
    controls: tuple[int, ...] = ()


@message(kind=83)
class FleetRecord:
    """What a control instance stores on disk of the fleet and the tables.

    Parameters
    ----------
    controls : tuple of int
        Addresses of the control instances that ran.
    processes : tuple of int
        Addresses of the balancers and agents that sent inquiries.
    revision : int
        Revision of the tables.
    tables : bytes
        A full copy of the tables, packed.
    """

    controls: tuple[int, ...] = ()
    processes: tuple[int, ...] = ()
    revision: int = 0
    tables: bytes = b''
