"""Rows of the replicated tables.

A route refers to a pool by the pool's name only.  Members and views are part of
the same replicated state as routes and pools, so that one revision number
identifies the contents of all tables.
"""

import enum
import fnmatch

import attrs

ANY_CALLER = '0.0.0.0/0'
DEFAULT_BUCKETS = 256
MAX_BUCKETS = 4096
DEFAULT_WEIGHT = 100
MAX_WEIGHT = 10000
# Maximum number of characters of a name or an address in a row.
MAX_NAME_LENGTH = 255


def is_bucket_count(count: int) -> bool:
    """Whether a count is a power of two from 1 to ``MAX_BUCKETS``."""
    is_power = count & (count - 1) == 0
    return is_power and 0 < count <= MAX_BUCKETS


class Role(enum.StrEnum):
    """Role of a member."""

    AGENT = 'agent'
    BALANCER = 'balancer'


@attrs.frozen
class PoolShare:
    """Share of one pool in the new flows of a route.

    Parameters
    ----------
    pool : str
        Name of the pool.
    weight : int
        Share of the pool, relative to the other pools of the route.
    """

    pool: str
    weight: int


class FlowKind(enum.StrEnum):
    """Kind of the requests that a route's callers send.

    ``NON_IDEMPOTENT`` and ``UPLOAD`` requests may run at most once.  ``UPLOAD``
    and ``DOWNLOAD`` requests carry much data to or from the server.
    ``UNKNOWN`` if operators do not configure it.
    """

    UNKNOWN = ''
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    UPLOAD = 'upload'
    DOWNLOAD = 'download'


DEFAULT_PRIORITY = 2
"""Priority of a route for which operators do not configure one; 0 is the most
urgent."""

MAX_EARLIER_POOLS = 4
"""Maximum number of former pools kept in a route.  Flows last for at most a
minute, and changing the pool of a route more than four times within a minute
serves no purpose."""


@attrs.frozen
class FlowRules:
    """Rules of a route for its flows, besides the pool.

    Parameters
    ----------
    shares : tuple of PoolShare
        Division of new flows among several pools; empty when a single pool
        serves the route.
    earlier : tuple of str
        Names of the pools that served the route before, newest first.  Flows
        that were established in them stay there.
    timeout : float
        Seconds after which a caller gives up a request; 0 if operators do
        not configure it.
    target : float
        Seconds within which a request is to be answered; 0 if operators do
        not configure it.
    kind : FlowKind
        Kind of the requests.
    priority : int
        Priority of the requests; 0 is the most urgent.
    """

    shares: tuple[PoolShare, ...] = ()
    earlier: tuple[str, ...] = ()
    timeout: float = 0
    target: float = 0
    kind: FlowKind = FlowKind.UNKNOWN
    priority: int = DEFAULT_PRIORITY


DEFAULT_FLOW_RULES = FlowRules()


@attrs.frozen
class Route:
    """Assignment of the traffic to a service address to a pool.

    Parameters
    ----------
    service : str
        ``IP:PORT`` that callers send to.
    pool : str
        Name of the pool.
    callers : str
        Network of callers in CIDR form; among the routes of a service whose
        networks contain a caller, the one with the longest prefix applies.
    flows : FlowRules or None
        Further rules for its flows; None for the defaults, which keeps the
        encoded row small.
    """

    service: str
    pool: str
    callers: str = ANY_CALLER
    flows: FlowRules | None = None

    @property
    def rules(self) -> FlowRules:
        """Rules for its flows; the defaults if the row has none."""
        return self.flows or DEFAULT_FLOW_RULES

    @property
    def pools(self) -> tuple[str, ...]:
        """Names of the pools that get new flows."""
        if not self.rules.shares:
            return (self.pool,)
        return tuple(share.pool for share in self.rules.shares)

    @property
    def key(self) -> str:
        """Key of the row in its table."""
        return f'{self.service}|{self.callers}'


@attrs.frozen
class ServerLimits:
    """Limits of each backend server of a pool.

    Parameters
    ----------
    cold_rate : float
        New flows per second that a cold server (one that has just started)
        can handle; 0 if operators do not configure it.
    max_flows : int
        Maximum number of concurrent flows; 0 if operators do not configure
        it.
    """

    cold_rate: float = 0
    max_flows: int = 0


@attrs.frozen
class Pool:
    """Group of backend servers that serve the same routes.

    Parameters
    ----------
    name : str
        Name by which routes refer to it.
    admits : tuple of str
        Shell-style patterns of host names; a host that announces itself for
        this pool is admitted if one of them matches.
    buckets : int
        Number of buckets (fixed parts of the pool's flows, by a keyed hash of
        caller and service); a power of two that never changes during the life
        of the pool.
    limits : ServerLimits or None
        Limits of each of its servers; None if operators configure none.
    """

    name: str
    admits: tuple[str, ...]
    buckets: int = DEFAULT_BUCKETS
    limits: ServerLimits | None = None

    @property
    def key(self) -> str:
        """Key of the row in its table."""
        return self.name

    def admits_host(self, host: str) -> bool:
        """Whether the pool admits a host of this name."""
        return any(fnmatch.fnmatchcase(host, glob) for glob in self.admits)


@attrs.frozen
class ZoneMark:
    """Whether an availability zone is out of service.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    out : bool
        True while operators have taken the zone out of service.
    """

    zone: str
    out: bool

    @property
    def key(self) -> str:
        """Key of the row in its table."""
        return self.zone


@attrs.frozen
class Member:
    """Process that announced itself and was admitted.

    Parameters
    ----------
    host : str
        Name of the host or instance that it runs on.
    role : Role
        Role of the process.
    incarnation : int
        Revision at which this run of the process was admitted; a later run
        always has a higher one.
    boot : int
        Random number of the run, as in the frames that it sends.
    endpoint : str
        ``IP:PORT`` for frames (UDP) and calls (TCP).
    zone : str
        Availability zone of the process.
    pool : str
        Pool that its backend server serves; empty for a balancer.
    weight : int
        Share of the buckets, relative to other members of the pool.
    draining : bool
        True once it has been told to drain, by operators or by a request to
        stop.
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
        """Key of the row in its table."""
        return self.host


@attrs.frozen
class ViewMember:
    """The part of a member that the placement of buckets needs.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : int
        Incarnation (admitted run) of the agent.
    endpoint : str
        ``IP:PORT`` of the agent.
    zone : str
        Availability zone of the agent.
    weight : int
        Share of the buckets, relative to other members of the pool.
    """

    host: str
    incarnation: int
    endpoint: str
    zone: str
    weight: int = DEFAULT_WEIGHT


@attrs.frozen
class EarlierView:
    """Former view from which some buckets may not have been taken over yet.

    Parameters
    ----------
    number : int
        Number of the view.
    members : tuple of ViewMember
        Agents of the view; empty if they are no longer known, so that no
        agent can be asked for its buckets.
    """

    number: int
    members: tuple[ViewMember, ...]


@attrs.frozen
class PoolView:
    """Agents that serve a pool, as agreed by the control instances.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Revision at which the view was committed; later views have higher
        numbers.
    members : tuple of ViewMember
        Agents that can be the home (owner) or the heir (replica) of a bucket,
        sorted by host name.
    unsettled : tuple of EarlierView
        Former views, newest first, from which some bucket of this view may
        still have to be taken over.  A new home must get an answer from each
        of them.
    """

    pool: str
    number: int
    members: tuple[ViewMember, ...]
    unsettled: tuple[EarlierView, ...] = ()

    @property
    def key(self) -> str:
        """Key of the row in its table."""
        return self.pool


@attrs.frozen
class Generation:
    """Version of the configuration, where operators replace it as a whole.

    Parameters
    ----------
    version : int
        Version number that operators assign; the highest one applies.
    idle_timeout : float
        Seconds without packets after which a flow may be removed.
    """

    version: int
    idle_timeout: float

    @property
    def key(self) -> str:
        """Key of the only row in its table."""
        return 'generation'


Row = Route | Pool | ZoneMark | Member | PoolView | Generation
