"""Estimate of the time that a new flow would wait for a server.

How long it may wait is decided in :mod:`redwingstream.openings.wait_limits`.
"""

from collections.abc import Sequence

REQUEST_SECONDS = 0.04
"""Estimated seconds from the start of a request until the server begins to
answer.  Too high an estimate only lets fewer flows wait."""


def expected_slot_wait(
    waiting: int, slots: int, request_seconds: float
) -> float:
    """Return the expected seconds until a server starts one more request.

    Parameters
    ----------
    waiting : int
        Requests that the server has not begun to answer.
    slots : int
        Number of requests that the server runs at once.
    request_seconds : float
        Seconds that the server takes for one request.
    """
    ahead = waiting - slots + 1
    return max(0, ahead) * request_seconds / slots


def expected_rate_wait(
    opened_at: Sequence[float],
    allowed: int,
    queued: int,
    window: float,
    now: float,
) -> float:
    """Return the seconds until the limit of a cold server allows a new flow.

    Parameters
    ----------
    opened_at : sequence of float
        Times of the flows opened within the last window, oldest first.
    allowed : int
        Maximum number of new flows within a window.
    queued : int
        Number of new flows that wait ahead of this one.
    window : float
        Length of the window in seconds.
    now : float
        Current time in seconds, by the event loop's clock.

    Returns
    -------
    float
        Infinite when no new flows are allowed.
    """
    if allowed <= 0:
        return float('inf')
    rounds, position = divmod(len(opened_at) + queued, allowed)
    if rounds == 0:
        return 0
    reference_at = opened_at[position] if position < len(opened_at) else now
    return max(0, reference_at + rounds * window - now)
