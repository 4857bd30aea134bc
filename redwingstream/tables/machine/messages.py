"""Commands of the replicated log besides the operators' changes."""

import attrs

from redwingstream.tables.rows import Generation, Pool, Role, Route
from redwingstream.wire.messages import message


@message(kind=42)
class AdmitMember:
    """A process that announced itself becomes a member.

    Parameters
    ----------
    host, role, endpoint, zone, pool, weight
        As in :class:`redwingstream.membership.messages.Announce`.
    boot : int
        Random number of its run; the same one gets the same incarnation.
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
    """A member has been silent for its lease.

    Parameters
    ----------
    host : str
        Its name.
    incarnation : int
        Which run; a later one is not removed.
    """

    host: str
    incarnation: int


@message(kind=44)
class SettleView:
    """Every member of a pool's newest view holds all its buckets.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Which view; a later one stays unsettled.
    """

    pool: str
    number: int


@message(kind=45)
class LeaveMember:
    """A member wants to drain because it was told to stop.

    Parameters
    ----------
    host : str
        Its name.
    incarnation : int
        Which run.
    """

    host: str
    incarnation: int


@attrs.frozen
class Replacement:
    """A whole configuration, in place of the one in force.

    Parameters
    ----------
    generation : Generation
        Its version; it takes effect when it is higher than the one in force.
    routes, pools
        All rows of these tables.
    document : bytes
        The configuration as operators wrote it, for whoever reads it back.
    """

    generation: Generation
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    document: bytes


@message(kind=46)
class StageReplacement:
    """A part of a replacement; the last part that comes makes it take effect.

    Parameters
    ----------
    digest : bytes
        Of the whole packed :class:`Replacement`.
    part, parts : int
        Which part of how many, from 0.
    contents : bytes
        The part's bytes.
    """

    digest: bytes
    part: int
    parts: int
    contents: bytes


@message(kind=47)
class MarkZone:
    """Operators take an availability zone out of service or back in.

    Parameters
    ----------
    zone : str
        Its name.
    out : bool
        True to take it out.
    """

    zone: str
    out: bool
