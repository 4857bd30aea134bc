"""How long the caller of an opening packet has waited, and when it gives up."""

COPY_DELAYS = (0, 0.2, 0.6)
"""Seconds from a caller's first opening packet to each of its packets: the
first one and its copies (retransmissions)."""


def seconds_waited(copies: int) -> float:
    """Return the seconds that a caller had waited when it sent a packet.

    Parameters
    ----------
    copies : int
        Number of opening packets that it sent earlier for this flow.
    """
    return COPY_DELAYS[min(copies, len(COPY_DELAYS) - 1)]


def has_caller_given_up(copies: int, timeout: float) -> bool:
    """Whether the caller of an opening packet no longer waits for its flow.

    Parameters
    ----------
    copies : int
        Number of opening packets that it sent earlier for this flow.
    timeout : float
        Seconds after which callers give up a request; 0 when not known.
    """
    return 0 < timeout <= seconds_waited(copies)
