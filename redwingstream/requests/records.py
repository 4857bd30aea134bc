"""Key, state and ledger entry of a non-idempotent request."""

import enum

import attrs


class RequestState(enum.StrEnum):
    """Progress of a request.

    Notes
    -----
    ``STARTED`` is recorded before the request is passed to a server, so it
    means "may have run".  ``ABANDONED`` means that a home gave up the request
    before its heir acknowledged it: that home certainly did not run it, but a
    duplicate may have reached another home.  ``NOT_RUN`` refers to a recorded
    run: its server refused it, or it was never passed to a server.  All states
    except ``STARTED`` are final.
    """

    ABANDONED = 'abandoned'
    STARTED = 'started'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@attrs.frozen
class RequestKey:
    """Fields that all packets of a request share (RFC 7252, section 4.5).

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends.
    message_id : int
        Message id that the caller chose.
    token : bytes
        Token that the caller chose.
    """

    caller: str
    service: str
    message_id: int
    token: bytes


@attrs.frozen
class LedgerEntry:
    """Entry of a request, as transferred between the ledgers of home and heir.

    Parameters
    ----------
    key : RequestKey
        Key of the request.
    checksum : bytes
        Digest of method, options and payload, which differs if a caller reuses
        a message id for another request.
    state : RequestState
        Progress of the request.
    answer : bytes
        Packet that the caller was sent; empty if there is none.
    age : float
        Seconds since the request was first seen, or since it ended.  Ages are
        transferred instead of times, since the clocks of processes differ.
    """

    key: RequestKey
    checksum: bytes
    state: RequestState
    answer: bytes = b''
    age: float = 0


@attrs.frozen
class CondensedRequests:
    """Bloom filters of the requests of a bucket that have no entries.

    Parameters
    ----------
    refused : bytes
        Filter of requests that certainly did not run; empty for none.
    ended : bytes
        Filter of requests that ran or may have run; empty for none.
    """

    refused: bytes = b''
    ended: bytes = b''
