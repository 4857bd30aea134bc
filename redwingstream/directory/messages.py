"""What agents say of themselves, and how processes ask for it."""

import enum

import attrs

from redwingstream.wire.messages import message

UNASKED = 0
"""Number of an answer that nobody asked for; inquiries count from 1."""


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
    """What an agent says of itself.

    Parameters
    ----------
    address : int
        Where it takes packets, see :mod:`redwingstream.packets.flow`.
    zone : str
        Its availability zone.
    pool : str
        Pool that its server belongs to.
    boot : int
        Random number of this run of the agent.
    sequence : int
        Counts what this run has said.
    readiness : Readiness
        As its server reported, or unknown before it has.
    is_cold : bool
        True while its server is warming up.
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
    """An agent's record as a control instance has it.

    Parameters
    ----------
    record : AgentRecord
        What the agent said last.
    age : float
        Seconds since it was heard.
    is_silent : bool
        True when it has not been heard for a while.
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
    """A process asks a control instance what is new, and says what it is.

    Parameters
    ----------
    number : int
        Repeated by the answer.
    revision : int
        Revision of the tables that the process has.
    boot, cursor : int
        Which run of the control instance was asked before, and how far its
        record was read; 0 for the first time.
    pool : str
        The only pool whose agents the process wants; empty for all.
    record : AgentRecord or None
        What an agent says of itself; None from others.
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
        Of the inquiry; ``UNASKED`` when a control instance that has started
        speaks first.
    sender : int
        Address of the control instance.
    boot, cursor : int
        To be named in the next inquiry.
    records : bytes
        Records that have changed since the cursor, encoded by
        :mod:`redwingstream.directory.packing`.
    update : bytes
        The tables' changes, packed; empty when there are none.
    revision : int
        Revision of the tables that the control instance has.
    revision_age : float
        Seconds since it has had that revision.
    confirmed_age : float
        Seconds since the control instance last knew that its tables were the
        newest ones.
    has_heard_all : bool
        True when it has been up long enough to have heard every reachable
        agent.
    controls : tuple of int
        Addresses of the control instances that run.
    pause : float
        Seconds after which it wants to be asked again.
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
    """A replica's name and identity, as the control group knows it."""

    name: str
    identity: int


@message(kind=84)
class Unchanged:
    """Short answer to an :class:`Inquiry` that misses nothing.

    A control instance gives it once it has been up for long enough to have
    heard all agents.

    Parameters
    ----------
    number : int
        Of the inquiry.
    sender : int
        Address of the control instance.
    revision : int
        Revision of the tables that both have.
    confirmed_age : float
        Seconds since the control instance last knew that its tables were the
        newest ones.
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
        Of the inquiry.
    sender : int
        Address of the control instance.
    revision : int
        Revision of the tables that the control instance has.
    confirmed_age : float
        Seconds since the control instance last knew that its tables were the
        newest ones.
    pause : float
        Seconds after which it wants to be asked again.
    """

    number: int
    sender: int
    revision: int
    confirmed_age: float
    pause: float


@message(kind=82)
class ControlHello:
    """A control instance tells the others that it runs.

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
        knows no group.
    founding : tuple of ReplicaName
        The first group that it has chosen; empty unless it is the one to do
        so.
    controls : tuple of int
        The control instances that it has heard lately; empty in most hellos
        while they are the same.
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
    """Whom a control instance served, and the newest tables accepted.

    Parameters
    ----------
    controls : tuple of int
        Addresses of the control instances that ran.
    processes : tuple of int
        Addresses from which balancers and agents asked.
    revision : int
        Revision of the tables.
    tables : bytes
        A full copy of them, packed.
    """

    controls: tuple[int, ...] = ()
    processes: tuple[int, ...] = ()
    revision: int = 0
    tables: bytes = b''
