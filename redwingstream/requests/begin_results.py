"""Results of :meth:`~redwingstream.requests.ledger.Ledger.begin`."""

import attrs


@attrs.frozen
class Fresh:
    """New request, now ``STARTED``; the caller of ``begin`` runs or ends it."""


@attrs.frozen
class Running:
    """Request that this process is running; the answer will follow."""


@attrs.frozen
class Answered:
    """Request that has run; the caller gets the same answer again.

    Parameters
    ----------
    packet : bytes
        The recorded answer.
    """

    packet: bytes


@attrs.frozen
class WasNotRun:
    """Request whose caller was told that it was not run; this is final.

    A replay is not run either: it may be a delayed duplicate, and its caller
    may have sent the same reservation with a new message id since.

    Parameters
    ----------
    packet : bytes
        Packet that the caller was sent; empty if it was not kept.
    """

    packet: bytes


@attrs.frozen
class OutcomeUnknown:
    """Request that may have run; it is not run again.

    Parameters
    ----------
    packet : bytes
        Packet that the caller was sent; empty if there is none.
    """

    packet: bytes


@attrs.frozen
class Full:
    """Request that is not run because the ledger has or had no space for it.

    Parameters
    ----------
    retry_after : int
        Seconds after which a new attempt with a new message id may succeed.
    """

    retry_after: int


BeginResult = Fresh | Running | Answered | WasNotRun | OutcomeUnknown | Full
