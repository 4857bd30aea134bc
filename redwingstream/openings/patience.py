"""How long callers wait for a new flow, as far as an opening packet tells."""

COPIES_AFTER = (0, 0.2, 0.6)
"""Seconds after its first packet at which a caller sends each copy."""


def waited_for(copies: int) -> float:
    """Return the seconds that a caller has waited when it sent a packet.

    Parameters
    ----------
    copies : int
        How many packets it has sent for this flow before.
    """
    return COPIES_AFTER[min(copies, len(COPIES_AFTER) - 1)]


def has_caller_given_up(copies: int, timeout: float) -> bool:
    """Whether nobody waits any more for the flow of an opening packet.

    Parameters
    ----------
    copies : int
        How many packets its caller has sent before this one.
    timeout : float
        Seconds after which callers give a request up; 0 when that is not
        known.
    """
    return 0 < timeout <= waited_for(copies)
