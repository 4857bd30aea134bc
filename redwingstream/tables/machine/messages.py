"""Commands of the replicated log, besides changes by operators."""

import attrs

from redwingstream.tables.rows import Generation, Pool, Role, Route
from redwingstream.wire.messages import message


@message(kind=42)
class AdmitMember:
    """Admit a process that announced itself as a member.

    Parameters
    ----------
    host, role, endpoint, zone, pool, weight
        As in :class:`redwingstream.membership.messages.Announce`.
    boot : int
        Random number of its run; the same number gets the same incarnation.
    """

    host: str
    role: Role
    endpoint: str
    zone: str
    pool: str
    weight: int
    boot: int


@message(kind=43)
class RemoveMember:
    """Remove a member whose lease has expired without a message from it.

    Parameters
    ----------
    host : str
        Name of the member's host.
    incarnation : int
        Incarnation (admitted run) to remove; a later one is kept.
    """

    host: str
    incarnation: int


@message(kind=44)
class SettleView:
    """Mark the newest view of a pool as settled.

    Every home of the view is in effect and its heir holds the whole contents of
    the bucket.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Number of the view; a later view stays unsettled.
    """

    pool: str
    number: int


@message(kind=45)
class LeaveMember:
    """Set a member to draining because it was told to stop.

    Parameters
    ----------
    host : str
        Name of the member's host.
    incarnation : int
        Incarnation (admitted run) that drains.
    """

    host: str
    incarnation: int


@attrs.frozen
class Replacement:
    """Whole configuration that replaces the current one.

    Parameters
    ----------
    generation : Generation
        Its version; it takes effect if it is higher than the current one.
    routes, pools
        All rows of these tables.
    document : bytes
        The configuration as operators wrote it, returned when they read it.
    """

    generation: Generation
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    document: bytes


@message(kind=46)
class StageReplacement:
    """Part of a replacement, which takes effect once all parts have arrived.

    Parameters
    ----------
    digest : bytes
        Digest of the whole encoded and compressed :class:`Replacement`.
    part, parts : int
        Number of the part, from 0, and count of all parts.
    contents : bytes
        Bytes of the part.
    """

    digest: bytes
    part: int
    parts: int
    contents: bytes


@message(kind=47)
class MarkZone:
    """Take an availability zone out of service or put it back.

    Parameters
    ----------
    zone : str
        Name of the zone.
    out : bool
        True to take it out of service.
    """

    zone: str
    out: bool
