"""Messages between the homes and heirs of buckets."""

import attrs

from redwingstream.flows.records import FlowRecord
from redwingstream.requests.records import CondensedRequests, LedgerEntry
from redwingstream.wire.messages import message


@attrs.frozen
class BucketContents:
    """What must not be lost when a bucket moves.

    Parameters
    ----------
    entries : tuple of LedgerEntry
        Non-idempotent requests.
    flows : tuple of FlowRecord
        Established feeds and placements elsewhere.
    condensed : CondensedRequests
        Non-idempotent requests without an entry; in the first part only.
    """

    entries: tuple[LedgerEntry, ...] = ()
    flows: tuple[FlowRecord, ...] = ()
    condensed: CondensedRequests = CondensedRequests()


@message(kind=64)
class Record:
    """Home asks heir to remember something before it takes effect.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View under which the sender is home.
    bucket : int
        Which bucket.
    ticket : int
        Number by which the sender knows the answer; within a view and bucket
        each new one is higher, and is sent only after the one before it was
        accepted.
    asked_incarnation : int
        Run of the heir that is in the view.  A later run at the same address
        has no fence yet and must not accept for the former one.
    contents : BucketContents
        What to remember.
    """

    pool: str
    view: int
    bucket: int
    ticket: int
    asked_incarnation: int
    contents: BucketContents


@message(kind=65)
class RecordAck:
    """The heir has remembered it, or refuses because the view is old.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    bucket : int
        Which bucket.
    view : int
        The view in the message that is answered.  A later run of the same
        home counts its tickets from 1 again, but under a newer view.
    ticket : int
        The number in the :class:`Record`; 0 when a :class:`TakeBucket` is
        refused.
    accepted : bool
        False when the asked agent is fenced at a newer view.
    fence : int
        View at which it is fenced.
    """

    pool: str
    bucket: int
    view: int
    ticket: int
    accepted: bool
    fence: int


@message(kind=66)
class TakeBucket:
    """A new home asks one of an earlier pair for a bucket, and fences it.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View under which the sender is home.
    bucket : int
        Which bucket.
    asked_incarnation : int
        Run of the asked agent that was in the earlier view; another run of it
        remembers nothing and must not answer for it.
    part : int
        Which part of the contents is wanted; contents larger than a datagram
        travel in parts.
    """

    pool: str
    view: int
    bucket: int
    asked_incarnation: int
    part: int = 0


@message(kind=67)
class BucketGiven:
    """Contents of a bucket for its new home.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View of the :class:`TakeBucket` that is answered.
    bucket : int
        Which bucket.
    incarnation : int
        Run of the agent that answers.
    part, parts : int
        Which part this is, and how many there are.
    contents : BucketContents
        The part.
    covered : tuple of int
        Earlier views whose pairs the answering agent has itself heard, so
        that these contents include theirs.
    """

    pool: str
    view: int
    bucket: int
    incarnation: int
    part: int
    parts: int
    contents: BucketContents
    covered: tuple[int, ...] = ()
