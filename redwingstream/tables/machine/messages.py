"""Commands of the replicated log besides the operators' changes."""

from redwingstream.tables.rows import Role
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
