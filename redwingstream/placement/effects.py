"""What the keeper of buckets asks its owner to do, and what it says of one."""

import attrs

from redwingstream.errors import ResultCode
from redwingstream.tables.rows import ViewMember


@attrs.frozen
class Send:
    """Send a message to another agent.

    Parameters
    ----------
    endpoint : str
        ``IP:PORT`` of the receiver.
    message : object
        An instance of a numbered message class.
    """

    endpoint: str
    message: object


@attrs.frozen
class Recorded:
    """Home and heir hold the record: it may take effect now."""

    ticket: int


@attrs.frozen
class RecordRefused:
    """The record must never take effect here.

    Parameters
    ----------
    ticket : int
        What ``BucketKeeper.record`` returned.
    reason : ResultCode
        ``STALE``: another agent is home, hand the request on to it.
        ``OUTCOME_UNKNOWN``: another home has recorded the same request, the
        store says what became of it.  ``RECOVERING``: both of an earlier pair
        are silent, and they may have run it.  ``TIMED_OUT``: the give-up time
        came first.  ``OVERLOADED`` and ``MALFORMED``: never sent to the heir,
        because too many wait or because it is too large.
    """

    ticket: int
    reason: ResultCode


@attrs.frozen
class BucketInEffect:
    """This agent is now home of the bucket in effect.

    Parameters
    ----------
    bucket : int
        Which bucket.
    lost : tuple of int
        Earlier views of whose pair nobody answered within the longest replay
        time; what only these two held is gone.
    """

    bucket: int
    lost: tuple[int, ...] = ()


@attrs.frozen
class FetchNeeded:
    """The agent at this endpoint knows of a newer view: fetch the tables."""

    endpoint: str


Effect = Send | Recorded | RecordRefused | BucketInEffect | FetchNeeded


@attrs.frozen
class NotHome:
    """Another agent is home.

    Parameters
    ----------
    home : ViewMember or None
        Who is; None when the view is empty, or when a newer view than this
        agent's own has fenced the bucket and its home is not known yet.
    """

    home: ViewMember | None = None


@attrs.frozen
class Taking:
    """This agent is home and is asking the earlier pairs.

    Parameters
    ----------
    since : float
        When it started to, in seconds of the caller's clock.
    """

    since: float


@attrs.frozen
class Recovering:
    """This agent is home, and an earlier pair does not answer.

    Parameters
    ----------
    since : float
        When it started to ask, in seconds of the caller's clock.
    """

    since: float


@attrs.frozen
class InEffect:
    """This agent is home and may record and decide."""


BucketStatus = NotHome | Taking | Recovering | InEffect
