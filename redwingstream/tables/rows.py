"""Rows of the tables and how they are named.

Route and pool tables are linked by the pool's name only.  Members and views are
kept beside them in the same replicated state, so that one revision number says
what a process knows of all of them.
"""

import enum
import fnmatch

import attrs

ANY_CALLER = '0.0.0.0/0'
DEFAULT_BUCKETS = 256
MAX_BUCKETS = 4096
DEFAULT_WEIGHT = 100
MAX_WEIGHT = 10000
# Characters of a name or an address in a row.
MAX_NAME_LENGTH = 255


def is_bucket_count(count: int) -> bool:
    """Whether a pool may have so many buckets: a power of two, bounded."""
    is_power = count & (count - 1) == 0
    return is_power and 0 < count <= MAX_BUCKETS


class Role(enum.StrEnum):
    """What a process of the system does."""

    AGENT = 'agent'
    BALANCER = 'balancer'


@attrs.frozen
class PoolShare:
    """A part of a route's new flows.

    Parameters
    ----------
    pool : str
        Name of the pool.
    weight : int
        Its share relative to the other pools of the route.
    """

    pool: str
    weight: int


MAX_EARLIER_POOLS = 4
"""Former pools of a route that are kept.  Flows live for a minute at most, and
more than four changes of one route's pool within a minute are no use to
anybody."""


@attrs.frozen
class FlowRules:
    """What a route says of its flows besides the pool.

    Parameters
    ----------
    shares : tuple of PoolShare
        How new flows are divided where several pools serve the route; empty
        when one serves it alone.
    earlier : tuple of str
        Pools that served the route before, newest first.  Flows that were
        established under them stay where they are.
    timeout : float
        Seconds after which a caller gives a request up; 0 where operators
        state none.
    """

    shares: tuple[PoolShare, ...] = ()
    earlier: tuple[str, ...] = ()
    timeout: float = 0


PLAIN_FLOWS = FlowRules()


@attrs.frozen
class Route:
    """Which pool the traffic to a service address belongs to.

    Parameters
    ----------
    service : str
        ``IP:PORT`` that callers send to.
    pool : str
        Name of the pool.
    callers : str
        Network of callers in CIDR form; the longest one that holds a caller
        wins.
    flows : FlowRules or None
        What else is said of its flows; None for nothing, so that a row without
        it stays small.
    """

    service: str
    pool: str
    callers: str = ANY_CALLER
    flows: FlowRules | None = None

    @property
    def rules(self) -> FlowRules:
        """What is said of its flows."""
        return self.flows or PLAIN_FLOWS

    @property
    def pools(self) -> tuple[str, ...]:
        """Names of the pools that serve new flows."""
        if not self.rules.shares:
            return (self.pool,)
        return tuple(share.pool for share in self.rules.shares)

    @property
    def key(self) -> str:
        """Name of the row in its table."""
        return f'{self.service}|{self.callers}'


@attrs.frozen
class ServerLimits:
    """What a server of a pool bears.

    Parameters
    ----------
    cold_rate : float
        New flows a second after a cold start; 0 where operators state none.
    max_flows : int
        Flows at once; 0 where operators state none.
    """

    cold_rate: float = 0
    max_flows: int = 0


@attrs.frozen
class Pool:
    """Which backend servers may serve a service.

    Parameters
    ----------
    name : str
        What routes call it.
    admits : tuple of str
        Shell-style patterns of host names; a host that announces itself for
        this pool is admitted when one of them fits.
    buckets : int
        Into how many parts its flows are divided; a power of two, fixed for
        the life of the pool.
    limits : ServerLimits or None
        What a server of it bears; None where operators state nothing.
    """

    name: str
    admits: tuple[str, ...]
    buckets: int = DEFAULT_BUCKETS
    limits: ServerLimits | None = None

    @property
    def key(self) -> str:
        """Name of the row in its table."""
        return self.name

    def admits_host(self, host: str) -> bool:
        """Whether a host of this name may serve the pool."""
        return any(fnmatch.fnmatchcase(host, glob) for glob in self.admits)


@attrs.frozen
class ZoneMark:
    """Whether an availability zone is out of service.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    out : bool
        True while operators have taken it out.
    """

    zone: str
    out: bool

    @property
    def key(self) -> str:
        """Name of the row in its table."""
        return self.zone


@attrs.frozen
class Member:
    """A process that announced itself and was admitted.

    Parameters
    ----------
    host : str
        Name of the host or instance it runs on.
    role : Role
        What it does.
    incarnation : int
        Revision at which this run of it was admitted; a later run always has
        a higher one.
    boot : int
        Random number of the run, from its frames.
    endpoint : str
        ``IP:PORT`` for frames (UDP) and calls (TCP).
    zone : str
        Its availability zone.
    pool : str
        Pool that its backend server serves; empty for a balancer.
    weight : int
        Share of the buckets relative to other members of the pool.
    draining : bool
        True once it was asked to leave.
    """

    host: str
    role: Role
    incarnation: int
    boot: int
    endpoint: str
    zone: str
    pool: str = ''
    weight: int = DEFAULT_WEIGHT
    draining: bool = False

    @property
    def key(self) -> str:
        """Name of the row in its table."""
        return self.host


@attrs.frozen
class ViewMember:
    """A member as far as the placement of buckets needs it.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : int
        Which run of the agent.
    endpoint : str
        ``IP:PORT`` of the agent.
    zone : str
        Its availability zone.
    weight : int
        Its share relative to others.
    """

    host: str
    incarnation: int
    endpoint: str
    zone: str
    weight: int = DEFAULT_WEIGHT


@attrs.frozen
class EarlierView:
    """A former view whose buckets may not all have been taken over yet.

    Parameters
    ----------
    number : int
        Its number.
    members : tuple of ViewMember
        Who was in it; empty when that is not known any more, so that nobody can
        be asked.
    """

    number: int
    members: tuple[ViewMember, ...]


@attrs.frozen
class PoolView:
    """Who serves a pool, agreed on by the control instances.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Revision at which it was committed; later views have higher numbers.
    members : tuple of ViewMember
        Agents that may be home or heir of a bucket, by host name.
    unsettled : tuple of EarlierView
        Former views, newest first, from which some bucket of this view may
        still have to be taken over.  A new home must hear from each of them.
    """

    pool: str
    number: int
    members: tuple[ViewMember, ...]
    unsettled: tuple[EarlierView, ...] = ()

    @property
    def key(self) -> str:
        """Name of the row in its table."""
        return self.pool


@attrs.frozen
class Generation:
    """Which configuration is in force, where operators replace it whole.

    Parameters
    ----------
    version : int
        The operators' number for it; the highest one wins.
    idle_timeout : float
        Seconds after which a flow without packets may be forgotten.
    """

    version: int
    idle_timeout: float

    @property
    def key(self) -> str:
        """Name of the only row in its table."""
        return 'generation'


Row = Route | Pool | ZoneMark | Member | PoolView | Generation
