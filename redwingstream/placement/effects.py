"""Effects that a bucket keeper asks its owner to perform, and bucket status."""

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
        Instance of a class that is declared with ``wire.messages.message``.
    """

    endpoint: str
    message: object


@attrs.frozen
class Recorded:
    """Home and heir hold the record, which may take effect now.

    Parameters
    ----------
    ticket : int
        What ``BucketKeeper.record`` returned.
    """

    ticket: int


@attrs.frozen
class RecordRefused:
    """The record must never take effect at this agent.

    Parameters
    ----------
    ticket : int
        What ``BucketKeeper.record`` returned.
    reason : ResultCode
        ``STALE``: another agent is home; the request is to be forwarded to it.
        ``OUTCOME_UNKNOWN``: another home has recorded the same request; its
        state is in the store.  ``RECOVERING``: neither agent of an earlier
        pair answers, and they may have run the request.  ``TIMED_OUT``: the
        record reached its give-up time before the heir acknowledged it.
        ``OVERLOADED`` and ``MALFORMED``: never sent to the heir, because too
        many bytes wait already or because the record is too large.
    """

    ticket: int
    reason: ResultCode


@attrs.frozen
class BucketInEffect:
    """The takeover of a bucket has ended; this agent decides for it now.

    Parameters
    ----------
    bucket : int
        Number of the bucket.
    lost : tuple of int
        Numbers of earlier views whose home and heir did not answer within the
        longest replay time; contents that only these two held are lost.
    """

    bucket: int
    lost: tuple[int, ...] = ()


@attrs.frozen
class FetchNeeded:
    """Newer tables have to be fetched from an agent that knows a newer view.

    Parameters
    ----------
    endpoint : str
        ``IP:PORT`` of that agent.
    """

    endpoint: str


Effect = Send | Recorded | RecordRefused | BucketInEffect | FetchNeeded


@attrs.frozen
class NotHome:
    """Another agent is home of the bucket.

    Parameters
    ----------
    home : ViewMember or None
        The home; None when the view is empty, or when the bucket is fenced at
        a newer view than this agent has applied, whose home it does not know
        yet.
    """

    home: ViewMember | None = None


@attrs.frozen
class Taking:
    """This agent is home and is fetching contents from the earlier pairs.

    Parameters
    ----------
    since : float
        When the takeover began, in seconds by the event loop's clock.
    """

    since: float


@attrs.frozen
class Recovering:
    """This agent is home, but neither agent of an earlier pair answers.

    Parameters
    ----------
    since : float
        When the takeover began, in seconds by the event loop's clock.
    """

    since: float


@attrs.frozen
class InEffect:
    """This agent is home and may record and decide for the bucket."""


BucketStatus = NotHome | Taking | Recovering | InEffect
