"""What a ledger says of a request that has arrived."""

import attrs


@attrs.frozen
class Fresh:
    """Never seen; it is now ``STARTED`` and the asker must run or end it."""


@attrs.frozen
class Running:
    """This process is running it; the answer will follow."""


@attrs.frozen
class Answered:
    """It ran; the caller gets the same answer again.

    Parameters
    ----------
    packet : bytes
        The answer.
    """

    packet: bytes


@attrs.frozen
class WasNotRun:
    """The caller was told *not run*, and it stays so.

    A replay is not given a second chance: it may be a late duplicate, and its
    caller may have sent the same reservation under a new message id since.

    Parameters
    ----------
    packet : bytes
        What the caller was told; empty when that was not kept.
    """

    packet: bytes


@attrs.frozen
class OutcomeUnknown:
    """It may have run; it will not be run again.

    Parameters
    ----------
    packet : bytes
        What the caller was told; empty when it was told nothing yet.
    """

    packet: bytes


@attrs.frozen
class Full:
    """Surely not run: there is no room to remember it, or there was none.

    Parameters
    ----------
    come_back : int
        Seconds until it may be worth a new attempt under a new message id.
    """

    come_back: int


BeginResult = Fresh | Running | Answered | WasNotRun | OutcomeUnknown | Full
