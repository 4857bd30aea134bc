"""Messages between the homes and heirs of buckets, and bucket contents."""

import attrs

from redwingstream.flows.records import FlowRecord
from redwingstream.requests.records import CondensedRequests, LedgerEntry
from redwingstream.wire.messages import message


@attrs.frozen
class BucketContents:
    """State that must not be lost when a bucket moves to another home.

    Parameters
    ----------
    entries : tuple of LedgerEntry
        Non-idempotent requests.
    flows : tuple of FlowRecord
        Established feeds, and flows that another agent than the home carries.
    condensed : CondensedRequests
        Non-idempotent requests without an entry, as Bloom filters; in the first
        part only.
    """

    entries: tuple[LedgerEntry, ...] = ()
    flows: tuple[FlowRecord, ...] = ()
    condensed: CondensedRequests = CondensedRequests()


@message(kind=64)
class Record:
    """Request of a home to its heir to store contents before they take effect.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View under which the sender is home.
    bucket : int
        Number of the bucket.
    ticket : int
        Number that the answer repeats; within a view and bucket each new one
        is higher, and is sent only after the one before it was accepted.
    asked_incarnation : int
        Incarnation of the heir that is in the view.  A later incarnation at
        the same address has no fence yet and must not accept for the former
        one.
    contents : BucketContents
        Contents to store.
    """

    pool: str
    view: int
    bucket: int
    ticket: int
    asked_incarnation: int
    contents: BucketContents


@message(kind=65)
class RecordAck:
    """Answer that contents are stored, or that the sender's view is outdated.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    bucket : int
        Number of the bucket.
    view : int
        View in the message that is answered.  A later incarnation of the same
        home counts its tickets from 1 again, but under a newer view.
    ticket : int
        Ticket of the :class:`Record`; 0 when a :class:`TakeBucket` is refused.
    accepted : bool
        False when the answering agent is fenced at a newer view.
    fence : int
        Number of the view at which it is fenced.
    """

    pool: str
    bucket: int
    view: int
    ticket: int
    accepted: bool
    fence: int


@message(kind=66)
class TakeBucket:
    """Request of a new home for the contents of a bucket; fences the receiver.

    The receiver is home or heir of the bucket in an earlier view.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View under which the sender is home.
    bucket : int
        Number of the bucket.
    asked_incarnation : int
        Incarnation of the receiver that was in the earlier view; another
        incarnation does not have its contents and must not answer for it.
    part : int
        Index of the requested part, from 0; contents larger than a datagram
        are sent in parts.
    """

    pool: str
    view: int
    bucket: int
    asked_incarnation: int
    part: int = 0


@message(kind=67)
class BucketGiven:
    """Part of the contents of a bucket, for its new home.

    Parameters
    ----------
    pool : str
        Pool of the bucket.
    view : int
        View of the :class:`TakeBucket` that is answered.
    bucket : int
        Number of the bucket.
    incarnation : int
        Incarnation of the answering agent.
    part, parts : int
        Index of this part, from 0, and number of parts.
    contents : BucketContents
        Contents of the part.
    covered : tuple of int
        Numbers of the earlier views whose contents the answering agent has
        itself received in full, so that these contents include them.
    """

    pool: str
    view: int
    bucket: int
    incarnation: int
    part: int
    parts: int
    contents: BucketContents
    covered: tuple[int, ...] = ()
