"""What is remembered of a non-idempotent request."""

import enum

import attrs


class RequestState(enum.StrEnum):
    """How far a request came.

    Notes
    -----
    ``STARTED`` is recorded before the request is handed to a server, so it
    means "may have run".  ``ABANDONED`` means that a home gave the request up
    before its heir acknowledged it: *that* home surely did not run it, but a
    duplicate may have reached another home.  ``NOT_RUN`` is knowledge about a
    recorded run: its server refused it, or it was never handed over.  All but
    ``STARTED`` are final.
    """

    ABANDONED = 'abandoned'
    STARTED = 'started'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@attrs.frozen
class RequestKey:
    """What makes two packets the same request (RFC 7252, section 4.5).

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends.
    message_id : int
        The caller's message id.
    token : bytes
        The caller's token.
    """

    caller: str
    service: str
    message_id: int
    token: bytes


@attrs.frozen
class LedgerEntry:
    """A request as it travels between the ledgers of home and heir.

    Parameters
    ----------
    key : RequestKey
        Which request.
    checksum : bytes
        Digest of method, options and payload: a message id that a caller uses
        again for another request has another one.
    state : RequestState
        How far it came.
    answer : bytes
        The packet that the caller was sent, when there is one.
    age : float
        Seconds since it was first seen, or since it ended; clocks of two
        processes differ, so ages travel and times do not.
    """

    key: RequestKey
    checksum: bytes
    state: RequestState
    answer: bytes = b''
    age: float = 0


@attrs.frozen
class CondensedRequests:
    """Requests of a bucket without entries, as Bloom filters.

    Parameters
    ----------
    refused : bytes
        Filter of those that surely did not run; empty for none.
    ended : bytes
        Filter of those that ran or may have run; empty for none.
    """

    refused: bytes = b''
    ended: bytes = b''
